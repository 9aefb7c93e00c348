//! Further attempts and final responses.

use quillpoint::host::*;

use crate::simulation::ClientOutcome;
use crate::simulation::ms;
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs};

#[test]
fn rpc_that_fails_at_two_nodes_is_not_retried() {
    let mut simulation = checked_simulation(6, 0, &[]);
    let id = simulation.arrive(1, LONG_DEADLINE, None);
    simulation.end_attempt(id, Outcome::Error);
    simulation.end_attempt(id, Outcome::Error);
    assert_eq!(
        (simulation.sent_to(id).len(), simulation.client_outcome(id)),
        (2, Some(ClientOutcome::Rejected))
    );
    assert_eq!(simulation.retry_after(id), ms(1000));
}

#[test]
fn method_with_slow_past_responses_is_still_sent() {
    // Two methods compete for capacity. The one whose responses were slow must not be given up for good.
    let mut simulation =
        checked_simulation(2, 0, &[("methods.2.latency_objective", Value::Duration(ms(16)))]);
    serve_rpcs(&mut simulation, 2, None, 200);
    simulation.advance(ms(100));
    let busy: Vec<RpcId> = (0..30).map(|_| simulation.arrive(1, LONG_DEADLINE, None)).collect();
    let waits = simulation.arrive(2, LONG_DEADLINE, None);
    simulation.advance(ms(3));
    assert_eq!(simulation.client_outcome(waits), None, "it may wait for a quarter of its time");
    simulation.end_attempt(busy[0], Outcome::Ok);
    assert_eq!(simulation.sent_to(waits).len(), 1);
}

#[test]
fn rpc_that_was_never_sent_is_rejected_before_half_of_its_time() {
    let mut simulation = checked_simulation(2, 0, &[]);
    let refused = simulation.arrive(4, ms(400), None);
    simulation.end_attempt(refused, Outcome::ConnectFailed);
    let unsent = simulation.arrive(4, ms(400), None);
    assert!(simulation.sent_to(unsent).is_empty(), "the primary is ejected until a health check succeeds");
    simulation.advance(ms(170));
    assert_eq!(simulation.client_outcome(unsent), None);
    simulation.advance(ms(20));
    assert_eq!([refused, unsent].map(|id| simulation.client_outcome(id)), [Some(ClientOutcome::Rejected); 2]);
}
