//! The primary: its quota of reads, and the search for it.

use quillpoint::host::*;

use crate::simulation::{FinalAnswer, Simulation, ms, node};
use crate::support::{LONG, checked, sent};

#[test]
fn reads_that_no_replica_may_answer_go_to_the_primary_up_to_a_tenth() {
    let mut simulation = checked(2, 500, &[]);
    let write = simulation.arrive(4, LONG, None);
    simulation.end_attempt(write, Outcome::Ok);
    let reads: Vec<RpcId> = (0..100).map(|_| simulation.arrive(0, LONG, None)).collect();
    for _ in 0..20 {
        for id in &reads {
            if simulation.answer(*id).is_none() && simulation.sent_to(*id).len() == 1 {
                simulation.end_attempt(*id, Outcome::Ok);
            }
        }
        simulation.advance(ms(5));
    }
    let ok = reads.iter().filter(|id| simulation.answer(**id) == Some(FinalAnswer::Ok)).count();
    assert!((9..=10).contains(&ok) && reads.iter().all(|id| simulation.answer(*id).is_some()), "{ok} ok");
    let longest = reads.iter().map(|id| simulation.retry_after(*id)).max();
    assert!(longest > Some(ms(0)) && longest < Some(ms(100)), "a short Retry-After: {longest:?}");
}

#[test]
fn saved_quota_of_the_primary_is_used_when_all_replicas_lag() {
    let mut simulation = checked(2, 500, &[]);
    sent(&mut simulation, 4, None, 1);
    sent(&mut simulation, 1, None, 500);
    let at_primary = sent(&mut simulation, 0, None, 100).iter().filter(|at| **at == node(1)).count();
    assert!((50..=61).contains(&at_primary), "a tenth of 500, and of these: {at_primary}");
}

#[test]
fn past_the_quota_a_read_goes_to_the_nearest_replica_where_nodes_check_reads() {
    let mut simulation = checked(3, 900, &[("replication.read_check", Value::Text("reject".into()))]);
    simulation.advance(ms(400));
    let id = simulation.arrive(0, LONG, None);
    simulation.advance(ms(60));
    assert!(!simulation.sent_to(id).is_empty());
}

#[test]
fn many_routers_use_the_quota_of_the_primary_though_none_earns_a_whole_read() {
    let used = (0..40).filter(|seed| {
        let mut simulation = Simulation::new(2, *seed, &[]);
        sent(&mut simulation, 4, None, 1);
        let now = simulation.now();
        simulation.set_position(2, now - ms(900));
        (0..5).any(|_| sent(&mut simulation, 0, None, 1).contains(&node(1)))
    });
    let used = used.count();
    assert!((8..=32).contains(&used), "each earns half a read of the quota: {used} of 40");
}

#[test]
fn the_primary_is_searched_in_sorted_order_and_then_waited_for() {
    let mut simulation = checked(5, 0, &[]);
    simulation.primary = node(9);
    simulation.advance(ms(1));
    let lost = simulation.arrive(4, LONG, None);
    simulation.end_attempt(lost, Outcome::Misrouted);
    for _ in 0..6 {
        if !simulation.record().requests[&lost].attempts.iter().all(|attempt| attempt.outcome.is_some()) {
            simulation.end_attempt(lost, Outcome::Misrouted);
        }
    }
    assert_eq!(simulation.sent_to(lost), [1, 2, 3].map(node), "half the attempts, in order");
    simulation.primary = node(4);
    for _ in 0..60 {
        simulation.advance(ms(20));
        simulation.end_health_checks(|_| true);
    }
    assert_eq!(
        simulation.sent_to(lost).last(),
        Some(&node(4)),
        "sent to the primary that a health check named"
    );
}
