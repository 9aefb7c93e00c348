//! The primary: its read quota, and the search for it.

use quillpoint::host::*;

use crate::simulation::{ClientOutcome, Simulation, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs};

#[test]
fn at_most_a_tenth_of_the_reads_goes_to_the_primary_when_replicas_lag() {
    let mut simulation = checked_simulation(2, 500, &[]);
    let write = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(write, Outcome::Ok);
    let reads: Vec<RpcId> = (0..100).map(|_| simulation.arrive(0, LONG_DEADLINE, None)).collect();
    for _ in 0..20 {
        for id in &reads {
            if simulation.client_outcome(*id).is_none() && simulation.sent_to(*id).len() == 1 {
                simulation.end_attempt(*id, Outcome::Ok);
            }
        }
        simulation.advance(ms(5));
    }
    let ok = reads.iter().filter(|id| simulation.client_outcome(**id) == Some(ClientOutcome::Ok)).count();
    assert!(
        (9..=10).contains(&ok) && reads.iter().all(|id| simulation.client_outcome(*id).is_some()),
        "{ok} reads succeeded"
    );
    let longest = reads.iter().map(|id| simulation.retry_after(*id)).max();
    assert!(
        longest > Some(ms(0)) && longest < Some(ms(100)),
        "expected a short Retry-After, got {longest:?}"
    );
}

#[test]
fn saved_primary_quota_is_used_when_all_replicas_lag() {
    let mut simulation = checked_simulation(2, 500, &[]);
    serve_rpcs(&mut simulation, 4, None, 1);
    serve_rpcs(&mut simulation, 1, None, 500);
    let at_primary =
        serve_rpcs(&mut simulation, 0, None, 100).iter().filter(|target| **target == node(1)).count();
    assert!(
        (50..=61).contains(&at_primary),
        "a tenth of the 500 earlier reads and of these 100: {at_primary}"
    );
}

#[test]
fn without_quota_a_read_goes_to_a_replica_if_nodes_check_reads() {
    let mut simulation =
        checked_simulation(3, 900, &[("replication.read_check", Value::Text("reject".into()))]);
    simulation.advance(ms(400));
    let id = simulation.arrive(0, LONG_DEADLINE, None);
    simulation.advance(ms(60));
    assert!(!simulation.sent_to(id).is_empty());
}

#[test]
fn many_routers_use_the_primary_quota_although_none_earns_a_whole_read() {
    let used = (0..40).filter(|seed| {
        let mut simulation = Simulation::new(2, *seed, &[]);
        serve_rpcs(&mut simulation, 4, None, 1);
        let now = simulation.now();
        simulation.set_position(2, now - ms(900));
        (0..5).any(|_| serve_rpcs(&mut simulation, 0, None, 1).contains(&node(1)))
    });
    let used = used.count();
    assert!((8..=32).contains(&used), "five reads earn half a read of quota: {used} of 40 routers used it");
}

#[test]
fn primary_search_tries_nodes_in_order_and_then_waits() {
    let mut simulation = checked_simulation(5, 0, &[]);
    simulation.primary = node(9);
    simulation.advance(ms(1));
    let lost = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(lost, Outcome::Misrouted);
    for _ in 0..6 {
        if !simulation.record().requests[&lost].attempts.iter().all(|attempt| attempt.outcome.is_some()) {
            simulation.end_attempt(lost, Outcome::Misrouted);
        }
    }
    assert_eq!(simulation.sent_to(lost), [1, 2, 3].map(node), "half of the attempts, in the order of nodes");
    simulation.primary = node(4);
    for _ in 0..60 {
        simulation.advance(ms(20));
        simulation.end_health_checks(|_| true);
    }
    assert_eq!(
        simulation.sent_to(lost).last(),
        Some(&node(4)),
        "sent to the primary that a health check found"
    );
}
