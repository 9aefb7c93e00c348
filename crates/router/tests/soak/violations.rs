//! That the checks of a soak find each violation of a rule: a record without any, and one for each.

use std::time::{Duration, Instant};

use crate::plan::Plan;
use crate::record::{Arrival, Ending, Lifetime, ListDelivery, Record, Request, Span};
use crate::routers::Run;
use crate::rules::check;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A record that breaks nothing: one request, sent 10 s after the start and answered in time, and a server that drains.
struct Case {
    start: Instant,
    record: Record,
    lifetime: Lifetime,
}

impl Case {
    fn new() -> Self {
        let (start, record) = (Instant::now(), Record::default());
        let sent = start + ms(10_000);
        record.versions.lock().unwrap().extend([start, start + ms(1000)]);
        record.drains.lock().unwrap().push((1, 1));
        record.requests.lock().unwrap().push(Request {
            id: "a".to_string(),
            class: "enter".to_string(),
            router: 0,
            process: 0,
            begun: sent,
            sent,
            wait: ms(500),
            ended: sent + ms(20),
            ending: Ending::Value,
        });
        record.arrivals.lock().unwrap().push(Arrival {
            id: "a".to_string(),
            class: "enter".to_string(),
            server: 0,
            router: 0,
            first: sent + ms(5),
            complete: sent + ms(5),
            wait: ms(490),
            stale: false,
            never_ran: false,
        });
        let lifetime = Lifetime {
            router: 0,
            process: 0,
            started: start,
            known_version: 0,
            told_to_stop: None,
            ended: None,
        };
        Self { start, record, lifetime }
    }

    fn request(self, change: impl FnOnce(&mut Request)) -> Self {
        change(&mut self.record.requests.lock().unwrap()[0]);
        self
    }

    fn arrival(self, change: impl FnOnce(&mut Arrival)) -> Self {
        change(&mut self.record.arrivals.lock().unwrap()[0]);
        self
    }

    fn sent_again(self, change: impl FnOnce(&mut Arrival)) -> Self {
        let mut again = self.record.arrivals.lock().unwrap()[0].clone();
        again.complete += ms(1);
        change(&mut again);
        self.record.arrivals.lock().unwrap().push(again);
        self
    }

    /// The record of another request that was served, so that something was.
    fn served(self) -> Self {
        let mut other = self.record.requests.lock().unwrap()[0].clone();
        (other.id, other.ending) = ("b".to_string(), Ending::Value);
        self.record.requests.lock().unwrap().push(other);
        self
    }

    /// What is found, by the first word of each.
    fn found(self) -> Vec<String> {
        let mut plan = Plan::from_seed(1);
        (plan.idle_clients, plan.drain_grace) = (0, ms(1000));
        let violations = check(&Run::recorded(plan, self.record, vec![self.lifetime]));
        violations
            .iter()
            .map(|violation| violation.split(':').next().unwrap_or_default().to_string())
            .collect()
    }
}

#[test]
fn a_record_that_breaks_nothing_is_found_to_break_nothing() {
    assert_eq!(Case::new().found(), Vec::<String>::new());
    // Sent again after it is known not to have run.
    assert!(
        Case::new()
            .arrival(|first| first.never_ran = true)
            .sent_again(|again| again.never_ran = false)
            .found()
            .is_empty()
    );
    // Closed by a router that stops, and not sent on.
    let mut closed = Case::new().arrival(|other| other.id = "c".into()).served();
    closed.lifetime.told_to_stop = Some(closed.start);
    assert!(closed.request(|request| request.ending = Ending::Closed).found().is_empty());
}

#[test]
fn each_lost_request_is_found() {
    let lost = |ending: Ending| Case::new().served().request(|request| request.ending = ending).found();
    assert_eq!(lost(Ending::Silent), ["lost"]);
    assert_eq!(lost(Ending::Closed), ["lost"], "it was sent on");
    let late = Case::new().request(|request| request.ended = request.sent + ms(1100));
    assert_eq!(late.found(), ["lost"]);
    let without_need = Case::new().served().arrival(|other| other.id = "c".into());
    assert_eq!(without_need.request(|request| request.ending = Ending::Closed).found(), ["lost"]);
    let after_leaving = Case::new().served().arrival(|sent| sent.first += ms(400));
    assert_eq!(
        after_leaving.request(|request| request.ending = Ending::ClientDisconnected).found(),
        ["lost", "deadline"]
    );
    let mut not_ended = Case::new();
    not_ended.lifetime.told_to_stop = Some(not_ended.start);
    not_ended.lifetime.ended = Some((not_ended.start + ms(1000), false));
    assert_eq!(not_ended.found(), ["lost"]);
}

#[test]
fn each_effect_that_may_have_happened_twice_is_found() {
    assert_eq!(Case::new().sent_again(|_| ()).found(), ["duplicate"]);
    let rejected = Case::new().served().request(|request| request.ending = Ending::Error("53300".into()));
    assert_eq!(rejected.found(), ["duplicate"]);
}

#[test]
fn a_deadline_that_is_passed_on_too_long_and_a_stale_read_are_found() {
    assert_eq!(Case::new().arrival(|sent| sent.wait = ms(700)).found(), ["deadline"]);
    assert_eq!(Case::new().arrival(|sent| sent.stale = true).found(), ["stale"]);
}

#[test]
fn a_request_that_was_sent_once_more_has_the_time_of_its_last_send() {
    // Its first connection broke with a router that was killed; 300 ms later it was sent once more.
    let mut case = Case::new()
        .arrival(|sent| (sent.first, sent.complete) = (sent.first + ms(300), sent.complete + ms(300)));
    case.lifetime.ended = Some((case.start + ms(10_010), false));
    let mut again = case.record.requests.lock().unwrap()[0].clone();
    (again.begun, again.sent, again.process) = (again.begun + ms(300), again.sent + ms(300), 1);
    again.ended += ms(300);
    case = case.request(|first| first.ending = Ending::Closed);
    case.record.requests.lock().unwrap().push(again);
    assert_eq!(case.found(), Vec::<String>::new());
}

#[test]
fn a_send_to_a_server_that_drains_is_found_whichever_way_its_router_was_notified() {
    let to_drained = || Case::new().arrival(|sent| sent.server = 1);
    let reach = |case: &Case, from: u64, to: u64| {
        let span = Span { from: case.start + ms(from), to: case.start + ms(to) };
        case.record.reachable.lock().unwrap().push(span);
    };
    let deliver = |case: &Case, at: u64| {
        let delivery = ListDelivery { router: 0, version: 1, at: case.start + ms(at) };
        case.record.list_deliveries.lock().unwrap().push(delivery);
    };
    assert!(to_drained().found().is_empty(), "it was not notified");
    let written = to_drained();
    deliver(&written, 8900);
    assert_eq!(written.found(), ["drain"]);
    let in_the_grace = to_drained();
    deliver(&in_the_grace, 9100);
    assert!(in_the_grace.found().is_empty());
    let mut from_the_start = to_drained();
    from_the_start.lifetime.known_version = 1;
    assert_eq!(from_the_start.found(), ["drain"]);
    let reachable = to_drained();
    reach(&reachable, 2000, 10_000);
    assert_eq!(reachable.found(), ["drain"], "discovery could be reached for six seconds");
    let too_short = to_drained();
    reach(&too_short, 2000, 7900);
    assert!(too_short.found().is_empty());
}
