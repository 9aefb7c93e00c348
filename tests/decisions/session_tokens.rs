//! Sessions that see their own writes.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};
use crate::support::{LONG, checked, sent};

#[test]
fn a_session_read_waits_for_its_write_to_reach_a_replica() {
    let mut simulation = checked(3, 500, &[]);
    assert!(sent(&mut simulation, 2, Some(ms(200)), 20).iter().all(|at| *at == node(3)));
    assert!(sent(&mut simulation, 2, Some(ms(900)), 20).contains(&node(2)));
}

#[test]
fn a_session_read_sees_the_write_whose_ok_came_after_its_client_disconnected() {
    let change = [("replication.session_tokens", Value::Text("remembered".into()))];
    let mut simulation = checked(3, 500, &change);
    let write = simulation.arrive(4, LONG, None);
    simulation.disconnect(write);
    simulation.advance(ms(20));
    let now = simulation.now();
    simulation.set_position(3, now);
    simulation.end_attempt(write, Outcome::Ok);
    // Node 3 has shown nothing since, node 2 lags: only the primary is known to have the commit.
    assert!(sent(&mut simulation, 2, None, 20).iter().all(|at| *at == node(1)));
}

/// A primary and two replicas that stood at the moment just past, as health checks have shown, and sessions whose
/// writes are remembered. No answer tells a position.
fn with_remembered_tokens() -> Simulation {
    let change = [
        ("replication.session_tokens", Value::Text("remembered".into())),
        ("replication.stamps", Value::Bool(false)),
    ];
    let mut simulation = checked(3, 500, &change);
    assert!(sent(&mut simulation, 2, None, 20).iter().any(|at| *at != node(1)), "nothing was written yet");
    simulation.advance(ms(20));
    simulation
}

#[test]
fn a_session_read_sees_a_write_whose_answer_was_cut_off_before_its_commit() {
    let mut simulation = with_remembered_tokens();
    sent(&mut simulation, 4, None, 1);
    assert!(sent(&mut simulation, 2, None, 20).iter().all(|at| *at == node(1)));
}

#[test]
fn a_session_read_sees_a_write_whose_answer_was_lost() {
    let mut simulation = with_remembered_tokens();
    let write = simulation.arrive(4, LONG, None);
    simulation.advance(ms(130));
    assert!(sent(&mut simulation, 2, None, 20).iter().all(|at| *at == node(1)), "it may be committed by now");
    simulation.end_attempt(write, Outcome::Reset);
    assert!(sent(&mut simulation, 2, None, 20).iter().all(|at| *at == node(1)), "and have been then");
    let now = simulation.now();
    [2, 3].iter().for_each(|number| simulation.set_position(*number, now));
    simulation.advance(ms(300));
    simulation.arrive(2, LONG, None);
    simulation.end_health_checks(|_| true);
    assert!(sent(&mut simulation, 2, None, 20).iter().any(|at| *at != node(1)), "replicas have passed it");
}
