//! How much may be in flight to a node.

use quillpoint::host::*;

use crate::simulation::{AnswerTimes, Simulation, ms, node};
use crate::support::{LONG, checked, sent};

#[test]
fn lost_attempts_do_not_fill_the_limit() {
    // A primary that loses some writes and answers the rest must still get the rest.
    let mut simulation = checked(2, 0, &[("routers", Value::Number(5.0))]);
    for _ in 0..30 {
        let id = simulation.arrive(4, LONG, None);
        simulation.advance(ms(10));
        simulation.end_attempt(id, Outcome::Ok);
    }
    let lost: Vec<RpcId> = (0..2).map(|_| simulation.arrive(4, LONG, None)).collect();
    let next = simulation.arrive(4, LONG, None);
    assert!(
        simulation.sent_to(lost[1]).len() == 1 && simulation.sent_to(next).is_empty(),
        "a limit is reached"
    );
    for _ in 0..10 {
        simulation.advance(ms(40));
        simulation.end_health_checks(|_| true);
    }
    assert_eq!(simulation.sent_to(next), [node(1)]);
}

#[test]
fn a_node_that_rejects_rests() {
    let mut simulation = checked(2, 0, &[]);
    let id = simulation.arrive(4, LONG, None);
    simulation.end_attempt(id, Outcome::Rejected);
    assert_eq!(simulation.sent_to(id).len(), 1);
    simulation.advance(ms(100));
    assert_eq!(simulation.sent_to(id).len(), 2);
}

/// So many rounds of each answer time and outcome.
fn answer_rounds(simulation: &mut Simulation, method: usize, rounds: usize, answers: &[(u64, Outcome)]) {
    for (took, outcome) in answers.repeat(rounds) {
        simulation.answer_times = AnswerTimes::all(ms(took));
        let id = simulation.arrive(method, LONG, None);
        simulation.advance(ms(took));
        simulation.end_attempt(id, outcome);
        simulation.advance(ms(30));
    }
}

/// How many of 60 are sent at once.
fn sent_at_once(simulation: &mut Simulation, method: usize) -> usize {
    let ids: Vec<RpcId> = (0..60).map(|_| simulation.arrive(method, LONG, None)).collect();
    ids.iter().filter(|id| !simulation.sent_to(**id).is_empty()).count()
}

#[test]
fn timeouts_do_not_make_the_answers_that_are_left_seem_short() {
    // RPCs that waited here time out unless they are short: the node is as quick as ever.
    let mut simulation = checked(2, 0, &[]);
    answer_rounds(&mut simulation, 1, 200, &[(10, Outcome::Ok), (20, Outcome::TimedOut)]);
    let sent = sent_at_once(&mut simulation, 1);
    assert!(sent >= 10, "{sent}");
}

#[test]
fn a_limit_that_is_not_used_does_not_grow() {
    // A burst would otherwise find a limit that no answer time has tried, and queue at the nodes.
    let mut simulation = checked(2, 0, &[]);
    answer_rounds(&mut simulation, 1, 300, &[(10, Outcome::Ok)]);
    assert_eq!(
        sent_at_once(&mut simulation, 1),
        20,
        "ten at the replica, and the ten that the primary's quota has saved"
    );
}

#[test]
fn a_node_that_reports_nothing_queued_keeps_its_limit() {
    let sent = |queued, took| {
        let mut simulation = checked(2, 0, &[]);
        answer_rounds(&mut simulation, 4, 150, &[(10, Outcome::Ok)]);
        simulation.queued = queued;
        answer_rounds(&mut simulation, 4, 100, &[(took, Outcome::Ok)]);
        sent_at_once(&mut simulation, 4)
    };
    // As when a new primary waits longer for its replicas; a node that is twice as slow is slow all the same.
    assert!(sent(Some(0.0), 18) >= 10, "{}", sent(Some(0.0), 18));
    assert!([sent(Some(4.0), 18), sent(None, 18), sent(Some(0.0), 25)].iter().all(|sent| *sent < 8));
}

#[test]
fn one_router_of_many_does_not_rest_where_nothing_is_queued() {
    // The part of a limit that one of 300 routers has is far below one attempt; one with several times the mean of
    // the RPCs would be held back by it though its node is idle.
    let count = |queued| {
        let mut simulation = checked(2, 0, &[("routers", Value::Number(300.0))]);
        simulation.queued = Some(queued);
        let sent = |_| sent(&mut simulation, 4, None, 1).len();
        (0..20).map(sent).sum::<usize>()
    };
    assert_eq!((count(0.0), count(3.0)), (20, 4), "one and the saved rests, where RPCs are queued");
}

#[test]
fn no_overload_is_held_against_a_node_for_long() {
    // Many routers, and answers that took seconds in an overload: the rest after them was minutes.
    let mut simulation = checked(2, 0, &[("routers", Value::Number(100.0))]);
    simulation.answer_times = AnswerTimes::all(ms(4000));
    for _ in 0..30 {
        sent(&mut simulation, 4, None, 1);
        simulation.advance(ms(2000));
        simulation.end_health_checks(|_| true);
    }
    simulation.advance(ms(10_000));
    simulation.end_health_checks(|_| true);
    assert_eq!(sent(&mut simulation, 4, None, 1), [node(1)]);
}
