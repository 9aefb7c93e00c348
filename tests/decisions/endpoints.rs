//! The endpoint list: added, draining and removed nodes, and the polls of the list.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs};

#[test]
fn unanswered_poll_is_repeated() {
    let mut simulation = Simulation::new(2, 1, &[("discovery", Value::Text("subscribe".into()))]);
    simulation.advance(ms(7900));
    assert_eq!(simulation.record().polls, 2, "polled again within the poll interval of 8 s");
}

#[test]
fn forgotten_node_that_is_listed_as_removed_again_gets_no_requests() {
    let mut simulation = checked_simulation(3, 0, &[("rules.only_listed_draining", Value::Bool(true))]);
    for status in [EndpointStatus::Draining, EndpointStatus::Removed, EndpointStatus::Removed] {
        let entry = simulation.endpoint(2, status);
        simulation.update_endpoints(EndpointUpdate::Delta, &[entry]);
        simulation.advance(ms(500));
    }
    assert!(
        simulation.record().closed_idle.contains(&node(2)),
        "its connections are closed when it is forgotten"
    );
    assert!(!serve_rpcs(&mut simulation, 1, None, 40).contains(&node(2)));
}

#[test]
fn removed_node_is_forgotten_once_its_attempts_have_ended() {
    // In a deployment whose nodes are constantly replaced, keeping the state of old ones would leak memory.
    let mut simulation = checked_simulation(3, 0, &[]);
    simulation.advance(ms(10));
    let read = simulation.arrive(1, LONG_DEADLINE, None);
    let target = simulation.sent_to(read)[0];
    let number = (2..=3).find(|number| node(*number) == target).unwrap();
    let removed = [1, number].map(|number| simulation.endpoint(number, EndpointStatus::Removed));
    simulation.update_endpoints(EndpointUpdate::Delta, &removed);
    simulation.advance(ms(100));
    assert_eq!(simulation.record().closed_idle, [node(1)], "the other node still has an attempt in flight");
    simulation.end_attempt(read, Outcome::Ok);
    simulation.advance(ms(100));
    assert_eq!(simulation.record().closed_idle, [node(1), target]);
    let write = simulation.arrive(4, LONG_DEADLINE, None);
    assert_eq!(
        simulation.sent_to(write),
        [node(5 - number)],
        "the search for a new primary tries the remaining node"
    );
    let back = simulation.endpoint(number, EndpointStatus::InService);
    simulation.update_endpoints(
        EndpointUpdate::Snapshot,
        &[back, simulation.endpoint(5 - number, EndpointStatus::InService)],
    );
    simulation.advance(ms(100));
    assert!(serve_rpcs(&mut simulation, 1, None, 20).contains(&target), "a removed node may return");
}

#[test]
fn with_only_listed_draining_an_unlisted_node_is_used_until_it_is_dead_and_then_forgotten() {
    let mut simulation = checked_simulation(3, 0, &[("rules.only_listed_draining", Value::Bool(true))]);
    let left = [1, 3].map(|number| simulation.endpoint(number, EndpointStatus::InService));
    simulation.update_endpoints(EndpointUpdate::Snapshot, &left);
    assert!(serve_rpcs(&mut simulation, 1, None, 40).contains(&node(2)), "it was not listed as draining");
    let forgotten = |simulation: &Simulation| simulation.record().closed_idle.contains(&node(2));
    for round in 0..100 {
        // Connects to node 2 and its health checks fail, and reads keep arriving.
        let id = simulation.arrive(1, LONG_DEADLINE, None);
        let target = simulation.sent_to(id)[0];
        simulation.end_attempt(id, if target == node(2) { Outcome::ConnectFailed } else { Outcome::Ok });
        simulation.sent_to(id)[1..].iter().for_each(|_| simulation.end_attempt(id, Outcome::Ok));
        simulation.advance(ms(100));
        simulation.end_health_checks(|target| target != node(2));
        assert!(round > 0 || !forgotten(&simulation));
    }
    assert!(forgotten(&simulation), "the state of a dead unlisted node is dropped");
    let draining = simulation.endpoint(3, EndpointStatus::Draining);
    simulation.update_endpoints(EndpointUpdate::Delta, &[draining]);
    simulation.update_endpoints(EndpointUpdate::Snapshot, &left[..1]);
    simulation.end_health_checks(|_| true);
    simulation.advance(ms(100));
    assert!(
        simulation.record().closed_idle.contains(&node(3)),
        "the state of a node that drained and was removed is dropped"
    );
}
