//! The attempt check before the first byte.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms};
use crate::support::{LONG_DEADLINE, checked_simulation};

#[test]
fn read_that_waited_for_a_connection_is_not_sent_once_its_node_is_too_stale() {
    let mut simulation = checked_simulation(3, 400, &[("methods.0.late_weight", Value::Number(0.5))]);
    let read = simulation.arrive(0, LONG_DEADLINE, None);
    let (first, now) = (AttemptNumber(0), simulation.now());
    assert!(simulation.router.permits_attempt(now + ms(290), read, first));
    assert!(
        !simulation.router.permits_attempt(now + ms(310), read, first),
        "the last reported position is from now, so it is too stale by then"
    );
    simulation.router.client_disconnected(read);
    assert!(!simulation.router.permits_attempt(now, read, first), "the RPC has ended");
}

#[test]
fn attempt_is_not_sent_if_its_node_starts_draining_before_the_first_byte() {
    let mut simulation = checked_simulation(3, 0, &[]);
    let read = simulation.arrive(1, LONG_DEADLINE, None);
    let (target, now) = (simulation.sent_to(read)[0], simulation.now());
    assert!(simulation.router.permits_attempt(now, read, AttemptNumber(0)));
    let draining: Vec<Endpoint> =
        (1..=3).map(|number| simulation.endpoint(number, EndpointStatus::Draining)).collect();
    simulation.update_endpoints(EndpointUpdate::Delta, &draining);
    assert!(!simulation.router.permits_attempt(now, read, AttemptNumber(0)), "attempt at {target:?}");
}

#[test]
fn attempt_whose_node_restarts_before_the_first_byte_is_charged_to_slow_start() {
    let mut simulation = checked_simulation(3, 0, &[("methods.1.late_weight", Value::Number(0.5))]);
    let reads: Vec<RpcId> = (0..30).map(|_| simulation.arrive(1, LONG_DEADLINE, None)).collect();
    simulation.advance(ms(10));
    let restarted: Vec<Endpoint> = (1..=3)
        .map(|number| Endpoint {
            started: Some(simulation.now() - ms(1)),
            ..simulation.endpoint(number, EndpointStatus::InService)
        })
        .collect();
    simulation.update_endpoints(EndpointUpdate::Delta, &restarted);
    let sent: Vec<RpcId> = reads.into_iter().filter(|read| !simulation.sent_to(*read).is_empty()).collect();
    let now = simulation.now();
    let count_permitted = |simulation: &mut Simulation, at| {
        sent.iter().filter(|read| simulation.router.permits_attempt(at, **read, AttemptNumber(0))).count()
    };
    assert!(sent.len() > 10, "{}", sent.len());
    assert_eq!(count_permitted(&mut simulation, now), 0, "the restarted nodes begin with a negative budget");
    simulation.advance(ms(900));
    let now = simulation.now();
    let permitted = count_permitted(&mut simulation, now);
    assert!((1..=9).contains(&permitted), "each attempt is charged: {permitted}");
}

#[test]
fn retry_that_would_arrive_after_its_idempotency_window_is_not_sent() {
    let keyed = [
        ("methods.1.idempotency", Value::Text("keyed".into())),
        ("methods.1.idempotency_scope", Value::Text("all".into())),
        ("methods.1.late_weight", Value::Number(0.5)),
    ];
    // The idempotency window is 400 ms, and a response is assumed to take 50 ms.
    let mut simulation = checked_simulation(4, 0, &keyed);
    let read = simulation.arrive(1, LONG_DEADLINE, None);
    let first = simulation.now();
    simulation.advance(ms(20));
    simulation.end_attempt(read, Outcome::Reset);
    assert_eq!(simulation.sent_to(read).len(), 2);
    assert!(simulation.router.permits_attempt(first + ms(340), read, AttemptNumber(1)));
    assert!(!simulation.router.permits_attempt(first + ms(360), read, AttemptNumber(1)));
}
