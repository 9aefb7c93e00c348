//! The check before an attempt's first byte.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms};
use crate::support::{LONG, checked};

#[test]
fn a_read_that_has_waited_for_its_connection_goes_only_while_its_bound_holds() {
    let mut simulation = checked(3, 400, &[("methods.0.late_weight", Value::Number(0.5))]);
    let read = simulation.arrive(0, LONG, None);
    let (first, now) = (AttemptNumber(0), simulation.now());
    assert!(simulation.router.permits_attempt(now + ms(290), read, first));
    assert!(
        !simulation.router.permits_attempt(now + ms(310), read, first),
        "known to stand at now, so too old by then"
    );
    simulation.router.client_disconnected(read);
    assert!(!simulation.router.permits_attempt(now, read, first), "its RPC is over");
}

#[test]
fn an_attempt_whose_node_was_told_to_drain_meanwhile_does_not_begin() {
    let mut simulation = checked(3, 0, &[]);
    let read = simulation.arrive(1, LONG, None);
    let (at, now) = (simulation.sent_to(read)[0], simulation.now());
    assert!(simulation.router.permits_attempt(now, read, AttemptNumber(0)));
    let drains: Vec<Endpoint> =
        (1..=3).map(|number| simulation.endpoint(number, EndpointStatus::Draining)).collect();
    simulation.update_endpoints(EndpointUpdate::Delta, &drains);
    assert!(!simulation.router.permits_attempt(now, read, AttemptNumber(0)), "{at:?}");
}

#[test]
fn an_attempt_whose_node_has_started_anew_meanwhile_pays_from_the_slow_start_budget() {
    let mut simulation = checked(3, 0, &[("methods.1.late_weight", Value::Number(0.5))]);
    let reads: Vec<RpcId> = (0..30).map(|_| simulation.arrive(1, LONG, None)).collect();
    simulation.advance(ms(10));
    let anew: Vec<Endpoint> = (1..=3)
        .map(|number| Endpoint {
            started: Some(simulation.now() - ms(1)),
            ..simulation.endpoint(number, EndpointStatus::InService)
        })
        .collect();
    simulation.update_endpoints(EndpointUpdate::Delta, &anew);
    let sent: Vec<RpcId> = reads.into_iter().filter(|read| !simulation.sent_to(*read).is_empty()).collect();
    let now = simulation.now();
    let begin = |simulation: &mut Simulation, at| {
        sent.iter().filter(|read| simulation.router.permits_attempt(at, **read, AttemptNumber(0))).count()
    };
    assert!(sent.len() > 10, "{}", sent.len());
    assert_eq!(begin(&mut simulation, now), 0, "they owe by the start");
    simulation.advance(ms(900));
    let now = simulation.now();
    let begun = begin(&mut simulation, now);
    assert!((1..=9).contains(&begun), "each pays: {begun}");
}

#[test]
fn a_retry_that_would_arrive_after_its_window_does_not_begin() {
    let keyed = [
        ("methods.1.idempotency", Value::Text("keyed".into())),
        ("methods.1.idempotency_scope", Value::Text("all".into())),
        ("methods.1.late_weight", Value::Number(0.5)),
    ];
    // A window of 400 ms; its answers are taken to need 50 ms.
    let mut simulation = checked(4, 0, &keyed);
    let read = simulation.arrive(1, LONG, None);
    let first = simulation.now();
    simulation.advance(ms(20));
    simulation.end_attempt(read, Outcome::Reset);
    assert_eq!(simulation.sent_to(read).len(), 2);
    assert!(simulation.router.permits_attempt(first + ms(340), read, AttemptNumber(1)));
    assert!(!simulation.router.permits_attempt(first + ms(360), read, AttemptNumber(1)));
}
