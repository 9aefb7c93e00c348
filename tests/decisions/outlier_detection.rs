//! Nodes that fail, are silent or refuse connects.

use quillpoint::host::*;

use crate::simulation::{AnswerTimes, FinalAnswer, Simulation, ms, node};
use crate::support::{LONG, checked};

#[test]
fn a_silent_node_gets_nothing_more() {
    let mut simulation = checked(3, 0, &[]);
    // Many attempts to the primary, and no answer from it: writes must stop before all are lost there.
    let writes: Vec<RpcId> = (0..6).map(|_| simulation.arrive(4, LONG, None)).collect();
    assert!(writes.iter().all(|id| simulation.sent_to(*id) == [node(1)]));
    simulation.advance(ms(400));
    let late = simulation.arrive(4, LONG, None);
    assert!(simulation.sent_to(late).is_empty(), "queued while the primary is silent");
    simulation.end_health_checks(|_| true);
    assert_eq!(simulation.sent_to(late), [node(1)], "and sent once it is heard");
}

#[test]
fn a_node_that_fails_fast_loses_its_weight() {
    let mut simulation = checked(4, 0, &[]);
    let mut at_two = 0;
    for _ in 0..400 {
        let id = simulation.arrive(1, LONG, None);
        while simulation.answer(id).is_none() {
            let bad = simulation.sent_to(id).last() == Some(&node(2));
            at_two += usize::from(bad);
            simulation.end_attempt(id, if bad { Outcome::Error } else { Outcome::Ok });
        }
        simulation.advance(ms(1));
    }
    assert!((1..40).contains(&at_two), "{at_two} of 400");
}

#[test]
fn a_lost_answer_ejects_no_node_and_a_refused_connect_does() {
    let mut simulation = checked(2, 0, &[]);
    let reset = simulation.arrive(4, LONG, None);
    simulation.end_attempt(reset, Outcome::Reset);
    let refused = simulation.arrive(4, LONG, None);
    simulation.end_attempt(refused, Outcome::ConnectFailed);
    assert_eq!(
        (simulation.answer(reset), simulation.sent_to(refused).len()),
        (Some(FinalAnswer::Aborted), 1)
    );
    // The health check shows that the node is up: it has no connection left, so each is given back after its use.
    simulation.end_health_checks(|_| true);
    assert_eq!(simulation.record().closed_idle, [node(1), node(2)]);
    simulation.end_attempt(refused, Outcome::Ok);
    assert_eq!(simulation.record().closed_idle.last(), Some(&node(1)));
    let again = simulation.arrive(4, LONG, None);
    simulation.end_attempt(again, Outcome::ConnectFailed);
    assert_eq!(simulation.sent_to(again).len(), 1, "others have them: it rests");
    simulation.advance(ms(100));
    assert_eq!(simulation.sent_to(again).len(), 2);
}

#[test]
fn without_health_checks_an_ejected_node_is_tried_again() {
    let mut simulation = Simulation::new(2, 1, &[("allowed.health_checks", Value::Bool(false))]);
    let id = simulation.arrive(4, LONG, None);
    simulation.end_attempt(id, Outcome::ConnectFailed);
    simulation.advance(ms(100));
    assert_eq!(simulation.sent_to(id), [node(1), node(1)]);
}

#[test]
fn a_connect_cut_short_by_its_rpcs_deadline_shows_no_connection_shortage() {
    let mut simulation = checked(2, 0, &[("allowed.connect_timeout", Value::Duration(ms(250)))]);
    // The write may be late, so it goes on until its client gives up, which is before a connect would.
    let write = simulation.arrive(4, ms(120), None);
    simulation.advance(ms(118));
    simulation.answer_times = AnswerTimes::all(ms(118));
    simulation.end_attempt(write, Outcome::ConnectFailed);
    simulation.end_health_checks(|_| true);
    assert!(simulation.record().closed_idle.is_empty(), "connections that are open are worth more than ever");
}

#[test]
fn a_node_that_was_down_costs_no_connections_once_it_is_back() {
    let mut simulation = checked(2, 0, &[]);
    let refused = simulation.arrive(4, LONG, None);
    simulation.end_attempt(refused, Outcome::ConnectFailed);
    simulation.end_health_checks(|_| false);
    simulation.advance(ms(200));
    simulation.end_health_checks(|_| true);
    assert_eq!(simulation.sent_to(refused).len(), 2);
    simulation.end_attempt(refused, Outcome::Ok);
    assert!(simulation.record().closed_idle.is_empty(), "it was short of none");
}
