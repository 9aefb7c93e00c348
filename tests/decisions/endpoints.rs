//! The endpoint list.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};
use crate::support::{LONG, checked, sent};

#[test]
fn a_poll_that_is_never_answered_is_made_again() {
    let mut simulation = Simulation::new(2, 1, &[("discovery", Value::Text("subscribe".into()))]);
    simulation.advance(ms(7900));
    assert_eq!(simulation.record().polls, 2, "within the duty to ask every 8 s");
}

#[test]
fn a_node_that_drained_and_was_forgotten_is_not_sent_to_when_it_is_listed_as_removed_again() {
    let mut simulation = checked(3, 0, &[("rules.only_listed_draining", Value::Bool(true))]);
    for status in [EndpointStatus::Draining, EndpointStatus::Removed, EndpointStatus::Removed] {
        let entry = simulation.endpoint(2, status);
        simulation.update_endpoints(EndpointUpdate::Delta, &[entry]);
        simulation.advance(ms(500));
    }
    assert!(simulation.record().closed_idle.contains(&node(2)), "forgotten");
    assert!(!sent(&mut simulation, 1, None, 40).contains(&node(2)));
}

#[test]
fn a_removed_node_is_forgotten_once_its_attempts_have_ended() {
    // Where nodes are always new, the old ones must not be kept for ever.
    let mut simulation = checked(3, 0, &[]);
    simulation.advance(ms(10));
    let read = simulation.arrive(1, LONG, None);
    let at = simulation.sent_to(read)[0];
    let number = (2..=3).find(|number| node(*number) == at).unwrap();
    let removed = [1, number].map(|number| simulation.endpoint(number, EndpointStatus::Removed));
    simulation.update_endpoints(EndpointUpdate::Delta, &removed);
    simulation.advance(ms(100));
    assert_eq!(simulation.record().closed_idle, [node(1)], "the other has an attempt in flight");
    simulation.end_attempt(read, Outcome::Ok);
    simulation.advance(ms(100));
    assert_eq!(simulation.record().closed_idle, [node(1), at]);
    let write = simulation.arrive(4, LONG, None);
    assert_eq!(
        simulation.sent_to(write),
        [node(5 - number)],
        "a new primary is searched among those that are left"
    );
    let back = simulation.endpoint(number, EndpointStatus::InService);
    simulation.update_endpoints(
        EndpointUpdate::Snapshot,
        &[back, simulation.endpoint(5 - number, EndpointStatus::InService)],
    );
    simulation.advance(ms(100));
    assert!(sent(&mut simulation, 1, None, 20).contains(&at), "it may come back");
}

#[test]
fn where_only_listed_nodes_drain_an_unlisted_one_is_kept_while_it_serves_and_forgotten_once_it_is_dead() {
    let mut simulation = checked(3, 0, &[("rules.only_listed_draining", Value::Bool(true))]);
    let left = [1, 3].map(|number| simulation.endpoint(number, EndpointStatus::InService));
    simulation.update_endpoints(EndpointUpdate::Snapshot, &left);
    assert!(sent(&mut simulation, 1, None, 40).contains(&node(2)), "it was not told to drain");
    let forgotten = |simulation: &Simulation| simulation.record().closed_idle.contains(&node(2));
    for round in 0..100 {
        // Its connects fail and its health checks with them; reads come all the time.
        let id = simulation.arrive(1, LONG, None);
        let at = simulation.sent_to(id)[0];
        simulation.end_attempt(id, if at == node(2) { Outcome::ConnectFailed } else { Outcome::Ok });
        simulation.sent_to(id)[1..].iter().for_each(|_| simulation.end_attempt(id, Outcome::Ok));
        simulation.advance(ms(100));
        simulation.end_health_checks(|at| at != node(2));
        assert!(round > 0 || !forgotten(&simulation));
    }
    assert!(forgotten(&simulation), "what is remembered of nodes has a bound");
    let drains = simulation.endpoint(3, EndpointStatus::Draining);
    simulation.update_endpoints(EndpointUpdate::Delta, &[drains]);
    simulation.update_endpoints(EndpointUpdate::Snapshot, &left[..1]);
    simulation.end_health_checks(|_| true);
    simulation.advance(ms(100));
    assert!(simulation.record().closed_idle.contains(&node(3)), "nor is one kept that drained and left");
}
