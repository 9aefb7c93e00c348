//! Which requests are admitted, queued or shed, and which are served first.

use quillpoint::host::*;

use crate::simulation::{ClientOutcome, Simulation, ms};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs, with_reported_load_and_retry_after};

#[test]
fn newest_requests_are_served_first_when_capacity_is_short() {
    let mut simulation = checked_simulation(2, 0, &[]);
    let first: Vec<RpcId> = (0..60).map(|_| simulation.arrive(1, LONG_DEADLINE, None)).collect();
    let is_sent = |simulation: &Simulation, id: RpcId| !simulation.sent_to(id).is_empty();
    let queued: Vec<RpcId> = first.iter().copied().filter(|id| !is_sent(&simulation, *id)).collect();
    assert!(queued.len() > 20, "requests queue above the concurrency limit");
    let newest = simulation.arrive(1, LONG_DEADLINE, None);
    simulation.end_attempt(first[0], Outcome::Ok);
    assert!(is_sent(&simulation, newest) && !is_sent(&simulation, queued[0]));
}

#[test]
fn retry_past_its_latency_objective_is_rejected() {
    // First tries have 300 ms left here and the whole deadline is 600 ms, so 250 ms left mean that 350 ms
    // have passed since the first try.
    let mut simulation = checked_simulation(4, 0, &[("methods.1.deadline", Value::Duration(ms(600)))]);
    for _ in 0..30 {
        let id = simulation.arrive(1, ms(300), None);
        simulation.end_attempt(id, Outcome::Ok);
    }
    let late = simulation.arrive(1, ms(250), None);
    simulation.advance(ms(1));
    assert!(
        simulation.sent_to(late).is_empty()
            && simulation.client_outcome(late) == Some(ClientOutcome::Rejected)
    );
    let early = simulation.arrive(1, ms(550), None);
    assert_eq!(simulation.sent_to(early).len(), 1, "50 ms after the first try it can still be served");
}

#[test]
fn short_wait_is_no_retry_when_clients_mark_retries() {
    // If its short wait made it count as a retry, its latency objective would have ended before it arrived.
    let deadline = ("methods.1.deadline", Value::Duration(ms(600)));
    let mut simulation = checked_simulation(3, 0, &[("clients.mark_retries", Value::Bool(true)), deadline]);
    serve_rpcs(&mut simulation, 1, None, 60);
    let short = simulation.arrive(1, ms(150), None);
    assert_eq!(simulation.sent_to(short).len(), 1, "counts as a first try");
}

#[test]
fn rpc_for_a_replica_set_without_nodes_is_rejected_immediately() {
    let mut simulation = checked_simulation(2, 0, &[]);
    simulation.replica_set = ReplicaSetId(u64::MAX);
    let id = simulation.arrive(1, LONG_DEADLINE, None);
    assert_eq!(
        (simulation.client_outcome(id), simulation.retry_after(id)),
        (Some(ClientOutcome::Rejected), ms(50))
    );
}

#[test]
fn some_reads_are_shed_while_nodes_report_load_above_their_limits() {
    for (retry_after, expected) in [(false, ms(0)), (true, ms(1000))] {
        let mut simulation = with_reported_load_and_retry_after(20.0, retry_after);
        let reads: Vec<RpcId> = (0..40).map(|_| simulation.arrive(1, LONG_DEADLINE, None)).collect();
        let shed = reads
            .iter()
            .filter(|id| simulation.client_outcome(**id) == Some(ClientOutcome::Rejected))
            .count();
        assert!((20..=39).contains(&shed), "{shed}");
        let longest = reads.iter().map(|id| simulation.retry_after(*id)).max();
        assert_eq!(longest, Some(expected), "Retry-After only if clients get one");
        let write = simulation.arrive(4, LONG_DEADLINE, None);
        assert_eq!(simulation.client_outcome(write), None, "writes are queued, not shed");
    }
}
