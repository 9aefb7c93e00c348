//! Further attempts and final answers.

use quillpoint::host::*;

use crate::simulation::FinalAnswer;
use crate::simulation::ms;
use crate::support::{LONG, checked, sent};

#[test]
fn an_rpc_that_errs_at_two_nodes_is_itself_at_fault() {
    let mut simulation = checked(6, 0, &[]);
    let id = simulation.arrive(1, LONG, None);
    simulation.end_attempt(id, Outcome::Error);
    simulation.end_attempt(id, Outcome::Error);
    assert_eq!((simulation.sent_to(id).len(), simulation.answer(id)), (2, Some(FinalAnswer::Rejected)));
    assert_eq!(simulation.retry_after(id), ms(1000));
}

#[test]
fn a_method_whose_answers_were_slow_is_still_sent() {
    // Two methods compete for capacity; the one whose answers once took long must not be given up for good.
    let mut simulation = checked(2, 0, &[("methods.2.latency_objective", Value::Duration(ms(16)))]);
    sent(&mut simulation, 2, None, 200);
    simulation.advance(ms(100));
    let busy: Vec<RpcId> = (0..30).map(|_| simulation.arrive(1, LONG, None)).collect();
    let waits = simulation.arrive(2, LONG, None);
    simulation.advance(ms(3));
    assert_eq!(simulation.answer(waits), None, "it may wait for a quarter of its time");
    simulation.end_attempt(busy[0], Outcome::Ok);
    assert_eq!(simulation.sent_to(waits).len(), 1);
}

#[test]
fn an_rpc_that_no_node_was_sent_ends_before_half_of_its_time() {
    let mut simulation = checked(2, 0, &[]);
    let refused = simulation.arrive(4, ms(400), None);
    simulation.end_attempt(refused, Outcome::ConnectFailed);
    let unsent = simulation.arrive(4, ms(400), None);
    assert!(simulation.sent_to(unsent).is_empty(), "the primary is ejected until a health check is answered");
    simulation.advance(ms(170));
    assert_eq!(simulation.answer(unsent), None);
    simulation.advance(ms(20));
    assert_eq!([refused, unsent].map(|id| simulation.answer(id)), [Some(FinalAnswer::Rejected); 2]);
}
