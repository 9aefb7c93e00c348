//! What nodes report of their load.

use quillpoint::host::*;

use crate::simulation::{AnswerTimes, ms, node};
use crate::support::{LONG, checked, sent, with_load};

#[test]
fn where_only_health_checks_report_load_nodes_are_checked_first_once_it_is_high() {
    for (in_flight, at_once) in [(0.0, true), (6.0, false)] {
        let mut simulation = with_load(in_flight);
        simulation.advance(ms(400));
        let read = simulation.arrive(1, LONG, None);
        assert_eq!(simulation.sent_to(read).len() == 1, at_once, "{in_flight} in flight");
        // One after the other; the primary, of whose limit reads get half, may be the first.
        (0..4).for_each(|_| simulation.end_health_checks(|_| true));
        assert_eq!(simulation.sent_to(read).len(), 1, "there is capacity");
    }
}

#[test]
fn a_health_check_that_reports_nothing_queued_ends_a_rest_and_no_other_does() {
    for (queued, sent) in [(0.0, 1), (3.0, 0)] {
        let change = [("reports.source", Value::Text("probe".into())), ("routers", Value::Number(100.0))];
        let mut simulation = checked(2, 0, &change);
        simulation.answer_times = AnswerTimes::all(ms(20));
        for _ in 0..4 {
            let write = simulation.arrive(4, LONG, None);
            simulation.sent_to(write).iter().for_each(|_| simulation.end_attempt(write, Outcome::Ok));
        }
        // One of a hundred routers: its part of the limit makes it rest between two attempts.
        let write = simulation.arrive(4, LONG, None);
        simulation.advance(ms(160));
        assert!(simulation.sent_to(write).is_empty() && simulation.record().health_checks.contains(&node(1)));
        simulation.queued = Some(queued);
        simulation.end_health_checks(|_| true);
        assert_eq!(simulation.sent_to(write).len(), sent, "{queued} queued");
    }
}

#[test]
fn a_malformed_load_report_is_outlived() {
    for in_flight in [f64::NAN, f64::INFINITY, 1e300, -5.0] {
        let mut simulation = with_load(in_flight);
        simulation.in_flight = Some(0.0);
        for _ in 0..200 {
            simulation.advance(ms(200));
            simulation.arrive(0, ms(100), None);
            simulation.end_health_checks(|_| true);
        }
        let reads = (0..10).filter(|_| sent(&mut simulation, 1, None, 1).len() == 1).count();
        assert_eq!(reads, 10, "{in_flight} was reported");
    }
}
