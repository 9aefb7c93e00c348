//! Which node may answer a read.

use quillpoint::host::*;

use crate::simulation::{FinalAnswer, Simulation, ms, node};
use crate::support::{LONG, checked, sent};

#[test]
fn a_bounded_read_skips_the_replica_that_lags() {
    let mut simulation = checked(4, 500, &[]);
    let nodes = sent(&mut simulation, 0, None, 40);
    assert!(nodes.len() == 40 && nodes.iter().all(|at| [node(3), node(4)].contains(at)), "{nodes:?}");
    assert!(sent(&mut simulation, 1, None, 40).contains(&node(2)), "any read may use it");
}

#[test]
fn a_process_that_starts_anew_has_to_show_its_position_again() {
    // Warm from the start, so that nothing else keeps reads from it.
    let mut simulation = checked(3, 0, &[("rules.slow_start_initial_capacity", Value::Number(1.0))]);
    assert!(sent(&mut simulation, 0, None, 20).iter().any(|at| *at == node(3)));
    let mut entry = simulation.endpoint(3, EndpointStatus::InService);
    entry.started = Some(simulation.now());
    simulation.update_endpoints(EndpointUpdate::Delta, &[entry]);
    simulation.advance(ms(30));
    let reads: Vec<RpcId> = (0..20).map(|_| simulation.arrive(0, LONG, None)).collect();
    assert!(
        reads.iter().all(|read| !simulation.sent_to(*read).contains(&node(3))),
        "it may go on from a copy"
    );
}

#[test]
fn a_stale_answer_does_not_pass_whatever_its_node_had_proven() {
    let mut simulation = checked(2, 0, &[]);
    let (read, now) = (simulation.arrive(0, LONG, None), simulation.now());
    assert_eq!(simulation.sent_to(read), [node(2)]);
    assert!(!simulation.router.permits_response(now, read, AttemptNumber(0), Some(now - ms(301))));
    assert!(simulation.router.permits_response(now, read, AttemptNumber(0), Some(now - ms(299))));
    assert!(simulation.router.permits_response(now, read, AttemptNumber(0), None), "it had proven as much");
}

#[test]
fn a_new_router_queues_its_first_read_for_its_health_checks() {
    let mut simulation = Simulation::new(3, 1, &[]);
    let id = simulation.arrive(0, LONG, None);
    simulation.advance(ms(20));
    assert!(simulation.sent_to(id).is_empty() && simulation.answer(id).is_none());
    simulation.end_health_checks(|_| true);
    assert_eq!(simulation.sent_to(id).len(), 1);
    simulation = Simulation::new(3, 1, &[]);
    let id = simulation.arrive(0, LONG, None);
    simulation.advance(ms(60));
    assert_eq!(simulation.answer(id), Some(FinalAnswer::Rejected), "and no longer than 50 ms");
}

#[test]
fn an_implausible_position_is_ignored() {
    let mut simulation = checked(3, 500, &[]);
    let later = simulation.now() + LONG;
    simulation.record_mut().nodes.get_mut(&node(2)).unwrap().position = later;
    assert!(sent(&mut simulation, 1, None, 40).contains(&node(2)));
    assert!(sent(&mut simulation, 0, None, 40).iter().all(|at| *at == node(3)));
}
