//! How the load that nodes report is used.

use quillpoint::host::*;

use crate::simulation::{ResponseTimes, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs, with_reported_load};

#[test]
fn under_high_load_nodes_are_checked_first_if_only_health_checks_report_load() {
    for (in_flight, sent_immediately) in [(0.0, true), (6.0, false)] {
        let mut simulation = with_reported_load(in_flight);
        simulation.advance(ms(400));
        let read = simulation.arrive(1, LONG_DEADLINE, None);
        assert_eq!(simulation.sent_to(read).len() == 1, sent_immediately, "{in_flight} in flight reported");
        // Nodes are checked one after the other. The first may be the primary, of whose limit reads may use
        // half.
        (0..4).for_each(|_| simulation.end_health_checks(|_| true));
        assert_eq!(simulation.sent_to(read).len(), 1, "sent after a health check has reported capacity");
    }
}

#[test]
fn only_a_health_check_that_reports_an_empty_queue_ends_a_pause() {
    for (queued, sent) in [(0.0, 1), (3.0, 0)] {
        let overrides = [("reports.source", Value::Text("probe".into())), ("routers", Value::Number(100.0))];
        let mut simulation = checked_simulation(2, 0, &overrides);
        simulation.response_times = ResponseTimes::all(ms(20));
        for _ in 0..4 {
            let write = simulation.arrive(4, LONG_DEADLINE, None);
            simulation.sent_to(write).iter().for_each(|_| simulation.end_attempt(write, Outcome::Ok));
        }
        // One of a hundred routers: its share of the limit is below one, so the node is paused between two
        // attempts.
        let write = simulation.arrive(4, LONG_DEADLINE, None);
        simulation.advance(ms(160));
        assert!(simulation.sent_to(write).is_empty() && simulation.record().health_checks.contains(&node(1)));
        simulation.queued = Some(queued);
        simulation.end_health_checks(|_| true);
        assert_eq!(simulation.sent_to(write).len(), sent, "{queued} queued reported");
    }
}

#[test]
fn router_recovers_from_a_malformed_load_report() {
    for in_flight in [f64::NAN, f64::INFINITY, 1e300, -5.0] {
        let mut simulation = with_reported_load(in_flight);
        simulation.in_flight = Some(0.0);
        for _ in 0..200 {
            simulation.advance(ms(200));
            simulation.arrive(0, ms(100), None);
            simulation.end_health_checks(|_| true);
        }
        let reads = (0..10).filter(|_| serve_rpcs(&mut simulation, 1, None, 1).len() == 1).count();
        assert_eq!(reads, 10, "{in_flight} in flight was reported before");
    }
}
