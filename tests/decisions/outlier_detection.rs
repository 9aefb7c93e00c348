//! Nodes that fail, do not respond or refuse connects.

use quillpoint::host::*;

use crate::simulation::{ClientOutcome, ResponseTimes, Simulation, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation};

#[test]
fn unresponsive_node_gets_no_more_requests() {
    let mut simulation = checked_simulation(3, 0, &[]);
    // The primary responds to none of many attempts: writes must stop before all of them are lost there.
    let writes: Vec<RpcId> = (0..6).map(|_| simulation.arrive(4, LONG_DEADLINE, None)).collect();
    assert!(writes.iter().all(|id| simulation.sent_to(*id) == [node(1)]));
    simulation.advance(ms(400));
    let late = simulation.arrive(4, LONG_DEADLINE, None);
    assert!(simulation.sent_to(late).is_empty(), "queued while the primary does not respond");
    simulation.end_health_checks(|_| true);
    assert_eq!(simulation.sent_to(late), [node(1)], "sent once the primary has responded to a health check");
}

#[test]
fn node_that_fails_fast_loses_its_weight() {
    let mut simulation = checked_simulation(4, 0, &[]);
    let mut at_two = 0;
    for _ in 0..400 {
        let id = simulation.arrive(1, LONG_DEADLINE, None);
        while simulation.client_outcome(id).is_none() {
            let bad = simulation.sent_to(id).last() == Some(&node(2));
            at_two += usize::from(bad);
            simulation.end_attempt(id, if bad { Outcome::Error } else { Outcome::Ok });
        }
        simulation.advance(ms(1));
    }
    assert!((1..40).contains(&at_two), "{at_two} attempts at the failing node for 400 RPCs");
}

#[test]
fn refused_connect_ejects_a_node_and_a_lost_response_does_not() {
    let mut simulation = checked_simulation(2, 0, &[]);
    let reset = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(reset, Outcome::Reset);
    let refused = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(refused, Outcome::ConnectFailed);
    assert_eq!(
        (simulation.client_outcome(reset), simulation.sent_to(refused).len()),
        (Some(ClientOutcome::Aborted), 1)
    );
    // The health check shows that the node is up, so it refused the connect because it has no connection
    // left. Each connection is now closed after its use.
    simulation.end_health_checks(|_| true);
    assert_eq!(simulation.record().closed_idle, [node(1), node(2)]);
    simulation.end_attempt(refused, Outcome::Ok);
    assert_eq!(simulation.record().closed_idle.last(), Some(&node(1)));
    let again = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(again, Outcome::ConnectFailed);
    assert_eq!(simulation.sent_to(again).len(), 1, "no connection is left, so the node is paused");
    simulation.advance(ms(100));
    assert_eq!(simulation.sent_to(again).len(), 2);
}

#[test]
fn ejected_node_is_tried_again_without_health_checks() {
    let mut simulation = Simulation::new(2, 1, &[("allowed.health_checks", Value::Bool(false))]);
    let id = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(id, Outcome::ConnectFailed);
    simulation.advance(ms(100));
    assert_eq!(simulation.sent_to(id), [node(1), node(1)]);
}

#[test]
fn connect_ended_by_the_rpc_deadline_is_no_connection_shortage() {
    let mut simulation = checked_simulation(2, 0, &[("allowed.connect_timeout", Value::Duration(ms(250)))]);
    // A late response to this write is useful, so its attempt runs until the client's deadline, which is
    // earlier than the connect timeout.
    let write = simulation.arrive(4, ms(120), None);
    simulation.advance(ms(118));
    simulation.response_times = ResponseTimes::all(ms(118));
    simulation.end_attempt(write, Outcome::ConnectFailed);
    simulation.end_health_checks(|_| true);
    assert!(simulation.record().closed_idle.is_empty(), "open connections are kept");
}

#[test]
fn recovery_of_a_node_is_no_connection_shortage() {
    let mut simulation = checked_simulation(2, 0, &[]);
    let refused = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(refused, Outcome::ConnectFailed);
    simulation.end_health_checks(|_| false);
    simulation.advance(ms(200));
    simulation.end_health_checks(|_| true);
    assert_eq!(simulation.sent_to(refused).len(), 2);
    simulation.end_attempt(refused, Outcome::Ok);
    assert!(simulation.record().closed_idle.is_empty(), "the node was not short of connections");
}
