//! Which nodes may serve a read.

use quillpoint::host::*;

use crate::simulation::{ClientOutcome, Simulation, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs};

#[test]
fn bounded_read_skips_a_lagging_replica() {
    let mut simulation = checked_simulation(4, 500, &[]);
    let nodes = serve_rpcs(&mut simulation, 0, None, 40);
    assert!(nodes.len() == 40 && nodes.iter().all(|target| [node(3), node(4)].contains(target)), "{nodes:?}");
    assert!(serve_rpcs(&mut simulation, 1, None, 40).contains(&node(2)), "any-consistency reads may use it");
}

#[test]
fn restarted_process_must_report_its_position_again() {
    // The node is warm from its start, so slow start does not keep reads away from it.
    let mut simulation =
        checked_simulation(3, 0, &[("rules.slow_start_initial_capacity", Value::Number(1.0))]);
    assert!(serve_rpcs(&mut simulation, 0, None, 20).iter().any(|target| *target == node(3)));
    let mut entry = simulation.endpoint(3, EndpointStatus::InService);
    entry.started = Some(simulation.now());
    simulation.update_endpoints(EndpointUpdate::Delta, &[entry]);
    simulation.advance(ms(30));
    let reads: Vec<RpcId> = (0..20).map(|_| simulation.arrive(0, LONG_DEADLINE, None)).collect();
    assert!(
        reads.iter().all(|read| !simulation.sent_to(*read).contains(&node(3))),
        "the new process may have started from an older copy"
    );
}

#[test]
fn stale_response_is_rejected_even_if_its_node_was_proven_fresh() {
    let mut simulation = checked_simulation(2, 0, &[]);
    let (read, now) = (simulation.arrive(0, LONG_DEADLINE, None), simulation.now());
    assert_eq!(simulation.sent_to(read), [node(2)]);
    assert!(!simulation.router.permits_response(now, read, AttemptNumber(0), Some(now - ms(301))));
    assert!(simulation.router.permits_response(now, read, AttemptNumber(0), Some(now - ms(299))));
    assert!(
        simulation.router.permits_response(now, read, AttemptNumber(0), None),
        "the node had proven the position before the send"
    );
}

#[test]
fn first_read_of_a_new_router_waits_for_health_checks() {
    let mut simulation = Simulation::new(3, 1, &[]);
    let id = simulation.arrive(0, LONG_DEADLINE, None);
    simulation.advance(ms(20));
    assert!(simulation.sent_to(id).is_empty() && simulation.client_outcome(id).is_none());
    simulation.end_health_checks(|_| true);
    assert_eq!(simulation.sent_to(id).len(), 1);
    simulation = Simulation::new(3, 1, &[]);
    let id = simulation.arrive(0, LONG_DEADLINE, None);
    simulation.advance(ms(60));
    assert_eq!(
        simulation.client_outcome(id),
        Some(ClientOutcome::Rejected),
        "a read waits for freshness no longer than 50 ms"
    );
}

#[test]
fn implausible_position_is_ignored() {
    let mut simulation = checked_simulation(3, 500, &[]);
    let later = simulation.now() + LONG_DEADLINE;
    simulation.record_mut().nodes.get_mut(&node(2)).unwrap().position = later;
    assert!(serve_rpcs(&mut simulation, 1, None, 40).contains(&node(2)));
    assert!(serve_rpcs(&mut simulation, 0, None, 40).iter().all(|target| *target == node(3)));
}
