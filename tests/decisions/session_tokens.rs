//! Sessions read their own writes.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs};

#[test]
fn session_read_skips_a_replica_without_its_write() {
    let mut simulation = checked_simulation(3, 500, &[]);
    assert!(serve_rpcs(&mut simulation, 2, Some(ms(200)), 20).iter().all(|target| *target == node(3)));
    assert!(serve_rpcs(&mut simulation, 2, Some(ms(900)), 20).contains(&node(2)));
}

#[test]
fn session_read_sees_a_write_that_succeeded_after_its_client_disconnected() {
    let overrides = [("replication.session_tokens", Value::Text("remembered".into()))];
    let mut simulation = checked_simulation(3, 500, &overrides);
    let write = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.disconnect(write);
    simulation.advance(ms(20));
    let now = simulation.now();
    simulation.set_position(3, now);
    simulation.end_attempt(write, Outcome::Ok);
    // Node 3 has not reported a position since the write, and node 2 lags: only the primary is known to have
    // the commit.
    assert!(serve_rpcs(&mut simulation, 2, None, 20).iter().all(|target| *target == node(1)));
}

/// A primary and two replicas whose positions health checks have just shown to be recent. The router
/// remembers the sessions' writes, and no response contains a position.
fn with_remembered_tokens() -> Simulation {
    let overrides = [
        ("replication.session_tokens", Value::Text("remembered".into())),
        ("replication.stamps", Value::Bool(false)),
    ];
    let mut simulation = checked_simulation(3, 500, &overrides);
    assert!(
        serve_rpcs(&mut simulation, 2, None, 20).iter().any(|target| *target != node(1)),
        "nothing has been written yet"
    );
    simulation.advance(ms(20));
    simulation
}

#[test]
fn session_read_sees_a_write_whose_response_has_no_commit_time() {
    let mut simulation = with_remembered_tokens();
    serve_rpcs(&mut simulation, 4, None, 1);
    assert!(serve_rpcs(&mut simulation, 2, None, 20).iter().all(|target| *target == node(1)));
}

#[test]
fn session_read_sees_a_write_whose_response_was_lost() {
    let mut simulation = with_remembered_tokens();
    let write = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.advance(ms(130));
    assert!(
        serve_rpcs(&mut simulation, 2, None, 20).iter().all(|target| *target == node(1)),
        "the write may be committed by now"
    );
    simulation.end_attempt(write, Outcome::Reset);
    assert!(
        serve_rpcs(&mut simulation, 2, None, 20).iter().all(|target| *target == node(1)),
        "the write may have been committed before the reset"
    );
    let now = simulation.now();
    [2, 3].iter().for_each(|number| simulation.set_position(*number, now));
    simulation.advance(ms(300));
    simulation.arrive(2, LONG_DEADLINE, None);
    simulation.end_health_checks(|_| true);
    assert!(
        serve_rpcs(&mut simulation, 2, None, 20).iter().any(|target| *target != node(1)),
        "replicas have passed the write"
    );
}
