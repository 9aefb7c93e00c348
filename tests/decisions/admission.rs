//! Which request is admitted, queued or shed, and which is served first.

use quillpoint::host::*;

use crate::simulation::{FinalAnswer, Simulation, ms};
use crate::support::{LONG, checked, sent, with_load_and_retry_after};

#[test]
fn the_newest_are_served_first_when_capacity_is_short() {
    let mut simulation = checked(2, 0, &[]);
    let first: Vec<RpcId> = (0..60).map(|_| simulation.arrive(1, LONG, None)).collect();
    let is_sent = |simulation: &Simulation, id: RpcId| !simulation.sent_to(id).is_empty();
    let queued: Vec<RpcId> = first.iter().copied().filter(|id| !is_sent(&simulation, *id)).collect();
    assert!(queued.len() > 20, "a limit on what is in flight");
    let newest = simulation.arrive(1, LONG, None);
    simulation.end_attempt(first[0], Outcome::Ok);
    assert!(is_sent(&simulation, newest) && !is_sent(&simulation, queued[0]));
}

#[test]
fn a_retry_past_its_latency_objective_is_not_served() {
    // First tries wait 300 ms here, and the whole deadline is 600 ms: 250 ms left tell that 350 ms have gone.
    let mut simulation = checked(4, 0, &[("methods.1.deadline", Value::Duration(ms(600)))]);
    for _ in 0..30 {
        let id = simulation.arrive(1, ms(300), None);
        simulation.end_attempt(id, Outcome::Ok);
    }
    let late = simulation.arrive(1, ms(250), None);
    simulation.advance(ms(1));
    assert!(simulation.sent_to(late).is_empty() && simulation.answer(late) == Some(FinalAnswer::Rejected));
    let early = simulation.arrive(1, ms(550), None);
    assert_eq!(simulation.sent_to(early).len(), 1, "50 ms gone leave time enough");
}

#[test]
fn a_marked_retry_is_told_by_its_mark_and_not_by_its_wait() {
    // Taken for a retry, its latency objective would have ended before it came.
    let deadline = ("methods.1.deadline", Value::Duration(ms(600)));
    let mut simulation = checked(3, 0, &[("clients.mark_retries", Value::Bool(true)), deadline]);
    sent(&mut simulation, 1, None, 60);
    let short = simulation.arrive(1, ms(150), None);
    assert_eq!(simulation.sent_to(short).len(), 1, "a first try");
}

#[test]
fn an_rpc_for_a_replica_set_without_nodes_is_rejected_at_once() {
    let mut simulation = checked(2, 0, &[]);
    simulation.replica_set = ReplicaSetId(u64::MAX);
    let id = simulation.arrive(1, LONG, None);
    assert_eq!((simulation.answer(id), simulation.retry_after(id)), (Some(FinalAnswer::Rejected), ms(50)));
}

#[test]
fn a_part_of_the_reads_is_shed_while_nodes_report_more_than_their_limits() {
    for (retry_after, told) in [(false, ms(0)), (true, ms(1000))] {
        let mut simulation = with_load_and_retry_after(20.0, retry_after);
        let reads: Vec<RpcId> = (0..40).map(|_| simulation.arrive(1, LONG, None)).collect();
        let shed = reads.iter().filter(|id| simulation.answer(**id) == Some(FinalAnswer::Rejected)).count();
        assert!((20..=39).contains(&shed), "{shed}");
        let longest = reads.iter().map(|id| simulation.retry_after(*id)).max();
        assert_eq!(longest, Some(told), "a Retry-After, where clients get one");
        let write = simulation.arrive(4, LONG, None);
        assert_eq!(simulation.answer(write), None, "writes wait");
    }
}
