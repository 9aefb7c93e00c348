//! What an observation of another router may and may not change.

use quillpoint::host::*;

use crate::simulation::{ClientOutcome, Simulation, ms, node};
use crate::support::LONG_DEADLINE;

/// A primary and two replicas of which only the endpoint list is known.
fn without_observations() -> Simulation {
    Simulation::new(3, 1, &[])
}

#[test]
fn peer_observation_allows_a_read_without_a_health_check() {
    let mut simulation = without_observations();
    let now = simulation.now();
    simulation.set_position(2, now - ms(50));
    for number in 1..=3 {
        let observation = simulation.observation(number, now - ms(50));
        simulation.peer_observes(observation);
    }
    let read = simulation.arrive(0, LONG_DEADLINE, None);
    assert_eq!(simulation.sent_to(read).len(), 1);
    assert!(simulation.record().health_checks.is_empty(), "no node needs to be checked");
    simulation.end_attempt(read, Outcome::Ok);
    assert_eq!(simulation.client_outcome(read), Some(ClientOutcome::Ok));
}

#[test]
fn response_that_contradicts_the_observation_is_rejected() {
    let mut simulation = without_observations();
    let now = simulation.now();
    for number in [2, 3] {
        simulation.record_mut().nodes.get_mut(&node(number)).unwrap().position = now - ms(5000);
    }
    let false_observation = simulation.observation(2, now);
    simulation.peer_observes(false_observation);
    let read = simulation.arrive(0, LONG_DEADLINE, None);
    assert_eq!(simulation.sent_to(read), [node(2)]);
    simulation.end_attempt(read, Outcome::Ok);
    assert_ne!(
        simulation.client_outcome(read),
        Some(ClientOutcome::Ok),
        "the response is 5 s old and the bound is 300 ms"
    );
    // The node has reported its own position, so the observation no longer counts.
    let next = simulation.arrive(0, LONG_DEADLINE, None);
    assert!(!simulation.sent_to(next).contains(&node(2)));
    // A later observation makes the router try the node again, and the response contradicts it again.
    let false_observation = simulation.observation(2, simulation.now());
    simulation.peer_observes(false_observation);
    let third = simulation.arrive(0, LONG_DEADLINE, None);
    assert_eq!(simulation.sent_to(third), [node(2)]);
    simulation.end_attempt(third, Outcome::Ok);
    assert_ne!(simulation.client_outcome(third), Some(ClientOutcome::Ok));
}

#[test]
fn response_without_a_position_does_not_confirm_an_observation() {
    let mut simulation = Simulation::new(3, 1, &[("replication.stamps", Value::Bool(false))]);
    let observation = simulation.observation(2, simulation.now());
    simulation.peer_observes(observation);
    let read = simulation.arrive(0, LONG_DEADLINE, None);
    assert_eq!(simulation.sent_to(read), [node(2)]);
    simulation.end_attempt(read, Outcome::Ok);
    assert_ne!(simulation.client_outcome(read), Some(ClientOutcome::Ok));
}

#[test]
fn observed_position_in_the_future_is_ignored() {
    let mut simulation = without_observations();
    let observation = simulation.observation(2, simulation.now() + ms(5000));
    simulation.peer_observes(observation);
    let read = simulation.arrive(0, LONG_DEADLINE, None);
    assert_eq!(simulation.sent_to(read), []);
}

#[test]
fn observation_does_not_override_own_newer_evidence() {
    let mut simulation = without_observations();
    simulation.arrive(0, ms(1), None);
    simulation.end_health_checks(|_| true);
    let write = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(write, Outcome::Ok);
    simulation.advance(ms(20));
    // An older position, an older failure and another primary: none of them overrides what this router has
    // observed itself.
    let mut observation = simulation.observation(2, simulation.now() - ms(9000));
    simulation.peer_observes(observation);
    (observation.failed, observation.position, observation.at) = (true, None, simulation.now() - ms(500));
    simulation.peer_observes(observation);
    simulation.peer_observes(PeerObservation { node: node(3), ..observation });
    observation = simulation.observation(3, simulation.now() - ms(30));
    observation.primary = Some(true);
    simulation.peer_observes(observation);
    let read = simulation.arrive(0, LONG_DEADLINE, None);
    assert_eq!(simulation.sent_to(read).len(), 1, "both replicas are routable and fresh");
    let write = simulation.arrive(4, LONG_DEADLINE, None);
    assert_eq!(simulation.sent_to(write), [node(1)], "the primary that has responded here");
}

#[test]
fn node_that_several_routers_cannot_reach_is_ejected_until_it_responds_here() {
    let mut simulation = without_observations();
    simulation.arrive(0, ms(1), None);
    simulation.end_health_checks(|_| true);
    simulation.advance(ms(50));
    let mut observation = simulation.observation(2, simulation.now());
    (observation.failed, observation.position) = (true, None);
    simulation.peer_observes(observation);
    assert!(simulation.router.is_ejected(node(2)));
    let good = simulation.observation(2, simulation.now());
    simulation.peer_observes(good);
    assert!(
        simulation.router.is_ejected(node(2)),
        "an observation does not readmit a node that this router may not reach"
    );
    simulation.advance(ms(200));
    simulation.end_health_checks(|_| true);
    assert!(!simulation.router.is_ejected(node(2)));
}

#[test]
fn health_check_left_to_another_router_changes_nothing() {
    let mut simulation = without_observations();
    simulation.arrive(0, LONG_DEADLINE, None);
    let checks = std::mem::take(&mut simulation.record_mut().health_checks);
    assert!(checks.contains(&node(2)));
    let now = simulation.now();
    checks.iter().for_each(|node| simulation.router.health_check_ended(now, *node, Outcome::Cancelled, None));
    assert!(checks.iter().all(|node| !simulation.router.is_ejected(*node)));
    // The node may be checked again.
    simulation.arrive(0, LONG_DEADLINE, None);
    assert!(simulation.record().health_checks.contains(&node(2)));
}
