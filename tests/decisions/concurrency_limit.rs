//! How many attempts may be in flight to a node.

use quillpoint::host::*;

use crate::simulation::{ResponseTimes, Simulation, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs};

#[test]
fn lost_attempts_do_not_count_against_the_limit() {
    // A primary that never responds to some writes but responds to the rest must still get the rest.
    let mut simulation = checked_simulation(2, 0, &[("routers", Value::Number(5.0))]);
    for _ in 0..30 {
        let id = simulation.arrive(4, LONG_DEADLINE, None);
        simulation.advance(ms(10));
        simulation.end_attempt(id, Outcome::Ok);
    }
    let lost: Vec<RpcId> = (0..2).map(|_| simulation.arrive(4, LONG_DEADLINE, None)).collect();
    let next = simulation.arrive(4, LONG_DEADLINE, None);
    assert!(
        simulation.sent_to(lost[1]).len() == 1 && simulation.sent_to(next).is_empty(),
        "the concurrency limit is reached"
    );
    for _ in 0..10 {
        simulation.advance(ms(40));
        simulation.end_health_checks(|_| true);
    }
    assert_eq!(simulation.sent_to(next), [node(1)]);
}

#[test]
fn node_that_rejects_an_attempt_is_paused() {
    let mut simulation = checked_simulation(2, 0, &[]);
    let id = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(id, Outcome::Rejected);
    assert_eq!(simulation.sent_to(id).len(), 1);
    simulation.advance(ms(100));
    assert_eq!(simulation.sent_to(id).len(), 2);
}

/// Serves an RPC for each response time (in milliseconds) and outcome, and repeats this `rounds` times.
fn serve_rounds(simulation: &mut Simulation, method: usize, rounds: usize, responses: &[(u64, Outcome)]) {
    for (took, outcome) in responses.repeat(rounds) {
        simulation.response_times = ResponseTimes::all(ms(took));
        let id = simulation.arrive(method, LONG_DEADLINE, None);
        simulation.advance(ms(took));
        simulation.end_attempt(id, outcome);
        simulation.advance(ms(30));
    }
}

/// How many of 60 RPCs are sent immediately.
fn count_sent_immediately(simulation: &mut Simulation, method: usize) -> usize {
    let ids: Vec<RpcId> = (0..60).map(|_| simulation.arrive(method, LONG_DEADLINE, None)).collect();
    ids.iter().filter(|id| !simulation.sent_to(**id).is_empty()).count()
}

#[test]
fn timeouts_do_not_lower_the_baseline_response_time() {
    // RPCs that waited in the router time out unless their response is short. Counting only the short ones
    // would lower the baseline, and the node would seem slow although its response times are unchanged.
    let mut simulation = checked_simulation(2, 0, &[]);
    serve_rounds(&mut simulation, 1, 200, &[(10, Outcome::Ok), (20, Outcome::TimedOut)]);
    let sent = count_sent_immediately(&mut simulation, 1);
    assert!(sent >= 10, "{sent}");
}

#[test]
fn unused_limit_does_not_grow() {
    // Otherwise a burst could use a limit at which no response time has been measured, and would queue at the
    // nodes.
    let mut simulation = checked_simulation(2, 0, &[]);
    serve_rounds(&mut simulation, 1, 300, &[(10, Outcome::Ok)]);
    assert_eq!(
        count_sent_immediately(&mut simulation, 1),
        20,
        "ten to the replica, and ten to the primary from its saved quota"
    );
}

#[test]
fn node_that_reports_an_empty_queue_keeps_its_limit() {
    let sent = |queued, took| {
        let mut simulation = checked_simulation(2, 0, &[]);
        serve_rounds(&mut simulation, 4, 150, &[(10, Outcome::Ok)]);
        simulation.queued = queued;
        serve_rounds(&mut simulation, 4, 100, &[(took, Outcome::Ok)]);
        count_sent_immediately(&mut simulation, 4)
    };
    // A new primary that waits longer for its replicas has a longer response time and an empty queue. A node
    // that takes more than twice as long counts as slow in any case.
    assert!(sent(Some(0.0), 18) >= 10, "{}", sent(Some(0.0), 18));
    assert!([sent(Some(4.0), 18), sent(None, 18), sent(Some(0.0), 25)].iter().all(|sent| *sent < 8));
}

#[test]
fn one_router_of_many_does_not_pause_a_node_with_an_empty_queue() {
    // The share of a limit that one of 300 routers has is far below one attempt. A router with several times
    // the average number of RPCs would be held back by it even if its node is idle.
    let count = |queued| {
        let mut simulation = checked_simulation(2, 0, &[("routers", Value::Number(300.0))]);
        simulation.queued = Some(queued);
        let sent = |_| serve_rpcs(&mut simulation, 4, None, 1).len();
        (0..20).map(sent).sum::<usize>()
    };
    assert_eq!((count(0.0), count(3.0)), (20, 4), "with queued RPCs, one and the saved pauses");
}

#[test]
fn pause_after_an_overload_is_bounded() {
    // With many routers and response times of seconds during an overload, the pause afterwards once lasted
    // minutes.
    let mut simulation = checked_simulation(2, 0, &[("routers", Value::Number(100.0))]);
    simulation.response_times = ResponseTimes::all(ms(4000));
    for _ in 0..30 {
        serve_rpcs(&mut simulation, 4, None, 1);
        simulation.advance(ms(2000));
        simulation.end_health_checks(|_| true);
    }
    simulation.advance(ms(10_000));
    simulation.end_health_checks(|_| true);
    assert_eq!(serve_rpcs(&mut simulation, 4, None, 1), [node(1)]);
}
