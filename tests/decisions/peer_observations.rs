//! What the observation of another router may do, and what it may not.

use quillpoint::host::*;

use crate::simulation::{FinalAnswer, Simulation, ms, node};
use crate::support::LONG;

/// A primary and two replicas, of which nothing has been heard but the list.
fn unheard() -> Simulation {
    Simulation::new(3, 1, &[])
}

#[test]
fn a_peer_observation_lets_a_read_go_at_once_and_spares_the_health_check() {
    let mut simulation = unheard();
    let now = simulation.now();
    simulation.set_position(2, now - ms(50));
    for number in 1..=3 {
        let observation = simulation.observation(number, now - ms(50));
        simulation.peer_observes(observation);
    }
    let read = simulation.arrive(0, LONG, None);
    assert_eq!(simulation.sent_to(read).len(), 1);
    assert!(simulation.record().health_checks.is_empty(), "no node needs to be checked");
    simulation.end_attempt(read, Outcome::Ok);
    assert_eq!(simulation.answer(read), Some(FinalAnswer::Ok));
}

#[test]
fn an_answer_that_contradicts_the_observation_does_not_pass() {
    let mut simulation = unheard();
    let now = simulation.now();
    for number in [2, 3] {
        simulation.record_mut().nodes.get_mut(&node(number)).unwrap().position = now - ms(5000);
    }
    let false_observation = simulation.observation(2, now);
    simulation.peer_observes(false_observation);
    let read = simulation.arrive(0, LONG, None);
    assert_eq!(simulation.sent_to(read), [node(2)]);
    simulation.end_attempt(read, Outcome::Ok);
    assert_ne!(simulation.answer(read), Some(FinalAnswer::Ok), "5 s old, and 300 ms are allowed");
    // The node's own answer has told its position, so the observation counts no longer.
    let next = simulation.arrive(0, LONG, None);
    assert!(!simulation.sent_to(next).contains(&node(2)));
    // Told again from then on, it is tried again, and found out again.
    let false_observation = simulation.observation(2, simulation.now());
    simulation.peer_observes(false_observation);
    let third = simulation.arrive(0, LONG, None);
    assert_eq!(simulation.sent_to(third), [node(2)]);
    simulation.end_attempt(third, Outcome::Ok);
    assert_ne!(simulation.answer(third), Some(FinalAnswer::Ok));
}

#[test]
fn an_answer_without_a_position_proves_nothing() {
    let mut simulation = Simulation::new(3, 1, &[("replication.stamps", Value::Bool(false))]);
    let observation = simulation.observation(2, simulation.now());
    simulation.peer_observes(observation);
    let read = simulation.arrive(0, LONG, None);
    assert_eq!(simulation.sent_to(read), [node(2)]);
    simulation.end_attempt(read, Outcome::Ok);
    assert_ne!(simulation.answer(read), Some(FinalAnswer::Ok));
}

#[test]
fn a_position_later_than_now_counts_for_nothing() {
    let mut simulation = unheard();
    let observation = simulation.observation(2, simulation.now() + ms(5000));
    simulation.peer_observes(observation);
    let read = simulation.arrive(0, LONG, None);
    assert_eq!(simulation.sent_to(read), []);
}

#[test]
fn an_observation_never_makes_own_evidence_worse() {
    let mut simulation = unheard();
    simulation.arrive(0, ms(1), None);
    simulation.end_health_checks(|_| true);
    let write = simulation.arrive(4, LONG, None);
    simulation.end_attempt(write, Outcome::Ok);
    simulation.advance(ms(20));
    // An older position, an older failure, another primary: none of it counts against what was heard here.
    let mut observation = simulation.observation(2, simulation.now() - ms(9000));
    simulation.peer_observes(observation);
    (observation.failed, observation.position, observation.at) = (true, None, simulation.now() - ms(500));
    simulation.peer_observes(observation);
    simulation.peer_observes(PeerObservation { node: node(3), ..observation });
    observation = simulation.observation(3, simulation.now() - ms(30));
    observation.primary = Some(true);
    simulation.peer_observes(observation);
    let read = simulation.arrive(0, LONG, None);
    assert_eq!(simulation.sent_to(read).len(), 1, "both replicas are open and fresh");
    let write = simulation.arrive(4, LONG, None);
    assert_eq!(simulation.sent_to(write), [node(1)], "the primary that has answered");
}

#[test]
fn several_failures_eject_a_node_until_it_is_heard_here() {
    let mut simulation = unheard();
    simulation.arrive(0, ms(1), None);
    simulation.end_health_checks(|_| true);
    simulation.advance(ms(50));
    let mut observation = simulation.observation(2, simulation.now());
    (observation.failed, observation.position) = (true, None);
    simulation.peer_observes(observation);
    assert!(simulation.router.is_ejected(node(2)));
    let good = simulation.observation(2, simulation.now());
    simulation.peer_observes(good);
    assert!(simulation.router.is_ejected(node(2)), "others reach it, which is of no use here");
    simulation.advance(ms(200));
    simulation.end_health_checks(|_| true);
    assert!(!simulation.router.is_ejected(node(2)));
}

#[test]
fn a_health_check_left_to_another_router_changes_nothing() {
    let mut simulation = unheard();
    simulation.arrive(0, LONG, None);
    let checks = std::mem::take(&mut simulation.record_mut().health_checks);
    assert!(checks.contains(&node(2)));
    let now = simulation.now();
    checks.iter().for_each(|node| simulation.router.health_check_ended(now, *node, Outcome::Cancelled, None));
    assert!(checks.iter().all(|node| !simulation.router.is_ejected(*node)));
    // And it may be checked again.
    simulation.arrive(0, LONG, None);
    assert!(simulation.record().health_checks.contains(&node(2)));
}
