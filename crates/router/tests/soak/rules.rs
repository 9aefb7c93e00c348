//! The rules, checked on the record of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::record::{Arrival, Ending, Lifetime, Request, RouterIndex, ServerIndex};
use crate::routers::Run;

/// Every limit on sockets is so much longer.
const ON_SOCKETS: Duration = Duration::from_millis(50);
/// A list counts as delivered by then, where discovery could be reached.
const DELIVERED_BY: Duration = Duration::from_secs(6);
/// A late answer only earns nothing for so long; after that it is lost.
const LATE: Duration = Duration::from_millis(500);
/// An attempt for a client that has left may begin up to this time later.
const AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// By so much the time that a server is told may exceed what the client has left.
const WAIT_SLACK: Duration = Duration::from_millis(150);
/// The router says that nothing ran.
const REJECTIONS: [&str; 2] = ["53300", "57P03"];

/// All violations of the rules, in words.
pub fn check(run: &Run) -> Vec<String> {
    let requests = run.record.requests.lock().unwrap().clone();
    let arrivals = run.record.arrivals.lock().unwrap().clone();
    let mut by_id = BTreeMap::<&str, Vec<&Arrival>>::new();
    for arrival in &arrivals {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    by_id.values_mut().for_each(|arrivals| arrivals.sort_by_key(|arrival| arrival.complete));
    let checker = Checker { run };
    let of = |request: &Request| by_id.get(&*request.id).cloned().unwrap_or_default();
    let mut violations: Vec<String> =
        requests.iter().flat_map(|request| checker.request(request, &of(request))).collect();
    // A client that sends once more what a killed router had taken takes the risk on itself.
    let killed = requests.iter().filter(|request| checker.was_killed(request));
    let risked: BTreeSet<&str> = killed.map(|request| &*request.id).collect();
    let others = by_id.iter().filter(|(id, _)| !risked.contains(*id));
    violations.extend(others.filter_map(|(_, arrivals)| duplicate_effect(arrivals)));
    violations.extend(arrivals.iter().filter_map(|arrival| checker.drained(arrival)));
    violations.extend(run.lifetimes.iter().filter_map(|process| checker.stopped(process)));
    if !requests.iter().any(|request| request.ending == Ending::Value) {
        violations.push("nothing was served".to_string());
    }
    violations
}

/// An effect that may have happened twice.
fn duplicate_effect(arrivals: &[&Arrival]) -> Option<String> {
    let may_have_run = arrivals.iter().position(|arrival| !arrival.never_ran)?;
    let again = arrivals.get(may_have_run + 1).filter(|again| again.class == "enter")?;
    let (first, later) = (arrivals[may_have_run], again.complete - arrivals[may_have_run].complete);
    Some(format!(
        "duplicate: {} reached server {} from router {}, {later:?} after server {} from router {}",
        again.id, again.server, again.router, first.server, first.router
    ))
}

struct Checker<'a> {
    run: &'a Run,
}

impl Checker<'_> {
    fn lateness(&self, from: Instant, to: Instant) -> Duration {
        self.run.record.lateness(from, to)
    }

    fn process(&self, request: &Request) -> Option<&Lifetime> {
        self.run.lifetimes.iter().find(|process| process.process == request.process)
    }

    fn request(&self, request: &Request, arrivals: &[&Arrival]) -> Vec<String> {
        let checks = [
            self.lost(request, arrivals),
            self.late(request),
            self.rejected_after_it_ran(request, arrivals),
            self.sent_after_disconnect(request, arrivals),
            self.given_too_much_time(request, arrivals),
            self.stale(request, arrivals),
        ];
        checks.into_iter().flatten().collect()
    }

    /// Killed without a word before: what was pending is gone with it.
    fn was_killed(&self, request: &Request) -> bool {
        let killed = |process: &Lifetime| {
            process.told_to_stop.is_none()
                && process.ended.is_some_and(|(at, by_itself)| !by_itself && at <= request.ended + ON_SOCKETS)
        };
        self.process(request).is_some_and(killed)
    }

    /// When a request came and ended, since its router was told to stop.
    fn in_the_stop(&self, request: &Request) -> String {
        let Some(told) = self.process(request).and_then(|process| process.told_to_stop) else {
            return "its router was not told to stop".to_string();
        };
        let since = |at: Instant| at.saturating_duration_since(told);
        format!("from {:?} to {:?} after SIGTERM", since(request.sent), since(request.ended))
    }

    fn lost(&self, request: &Request, arrivals: &[&Arrival]) -> Option<String> {
        if self.was_killed(request) {
            return None;
        }
        let Request { id, router, ending, .. } = request;
        let forwarded = |arrival: &&Arrival| arrival.router == *router && arrival.complete >= request.begun;
        match ending {
            Ending::Silent => Some(format!("lost: {id} had no answer from router {router}")),
            Ending::Closed if arrivals.iter().any(forwarded) => {
                let when = self.in_the_stop(request);
                Some(format!("lost: {id} was sent on by router {router}, and its connection closed, {when}"))
            }
            Ending::Closed if !self.may_close(request) => {
                Some(format!("lost: router {router} closed the connection of {id} without need"))
            }
            _ => None,
        }
    }

    /// A router that stops closes idle connections, and one whose descriptors are short.
    fn may_close(&self, request: &Request) -> bool {
        let stops = |process: &Lifetime| process.told_to_stop.is_some_and(|at| at <= request.ended);
        self.run.plan.idle_clients > 0 || self.process(request).is_some_and(stops)
    }

    fn late(&self, request: &Request) -> Option<String> {
        let Request { id, sent, wait, ended, ending, .. } = request;
        let answered = matches!(ending, Ending::Value | Ending::Error(_));
        let most = *wait + LATE + ON_SOCKETS + self.lateness(*sent, *ended);
        let took = *ended - *sent;
        (answered && took > most).then(|| format!("lost: {id} was answered after {took:?} of {wait:?}"))
    }

    fn rejected_after_it_ran(&self, request: &Request, arrivals: &[&Arrival]) -> Option<String> {
        let Ending::Error(code) = &request.ending else { return None };
        let ran = arrivals.iter().any(|arrival| !arrival.never_ran && arrival.complete < request.ended);
        let rejected = request.class == "enter" && REJECTIONS.contains(&&**code) && ran;
        rejected.then(|| format!("duplicate: {} was rejected with {code} and may have run", request.id))
    }

    fn sent_after_disconnect(&self, request: &Request, arrivals: &[&Arrival]) -> Option<String> {
        let left = (request.ending == Ending::ClientDisconnected).then_some(request.ended)?;
        let after = arrivals.iter().find(|arrival| {
            arrival.first > left + AFTER_DISCONNECT + ON_SOCKETS + self.lateness(left, arrival.first)
        })?;
        let later = after.first - left;
        Some(format!(
            "lost: {} was sent to server {} {later:?} after its client left",
            request.id, after.server
        ))
    }

    /// When its client sent it once more.
    fn sent_again(&self, request: &Request) -> Option<Instant> {
        let requests = self.run.record.requests.lock().unwrap();
        let later = requests.iter().filter(|other| other.id == request.id && other.begun > request.begun);
        later.map(|other| other.begun).min()
    }

    fn given_too_much_time(&self, request: &Request, arrivals: &[&Arrival]) -> Option<String> {
        let Request { id, sent, wait, .. } = request;
        let ends = *sent + *wait;
        // An earlier send of the same request has a time of its own, and so has a later one.
        let again = self.sent_again(request);
        let own = arrivals.iter().filter(|arrival| {
            let by_this_send =
                arrival.complete >= request.begun && again.is_none_or(|again| arrival.complete < again);
            by_this_send && arrival.router == request.router
        });
        let too_much = own.filter(|arrival| {
            let left = ends.saturating_duration_since(arrival.first);
            arrival.wait > left + WAIT_SLACK + self.lateness(*sent, arrival.first)
        });
        let arrival = too_much.min_by_key(|arrival| arrival.first)?;
        let left = ends.saturating_duration_since(arrival.first);
        Some(format!("deadline: {id} was sent with {:?} where {left:?} were left", arrival.wait))
    }

    fn stale(&self, request: &Request, arrivals: &[&Arrival]) -> Option<String> {
        let only = if let [only] = arrivals { only } else { return None };
        let lateness = self.lateness(request.sent, request.ended);
        let stale = only.stale && request.ending == Ending::Value && lateness.is_zero();
        stale.then(|| format!("stale: {} was answered by server {}", request.id, only.server))
    }

    fn drained(&self, arrival: &Arrival) -> Option<String> {
        let Arrival { id, server, router, first, .. } = arrival;
        let notified = self.notified_of_drain(*router, *server, *first)?;
        let most = self.run.plan.drain_grace + ON_SOCKETS + self.lateness(notified, *first);
        let after = first.saturating_duration_since(notified);
        let late = after > most;
        late.then(|| {
            format!(
                "drain: {id} from router {router} reached server {server} {after:?} after it was notified"
            )
        })
    }

    /// When the process that this router had at this time was first notified, or counts as notified, that the server drains.
    fn notified_of_drain(&self, router: RouterIndex, server: ServerIndex, by: Instant) -> Option<Instant> {
        let record = &self.run.record;
        let drains = record.drains.lock().unwrap();
        let (_, version) = *drains.iter().find(|(drains, _)| *drains == server)?;
        let of_router = self.run.lifetimes.iter().filter(|process| process.router == router);
        let process =
            of_router.filter(|process| process.started <= by).max_by_key(|process| process.started)?;
        let from_start = (process.known_version >= version).then_some(process.started);
        let deliveries = record.list_deliveries.lock().unwrap();
        let notifies = |delivery: &&crate::record::ListDelivery| {
            delivery.router == router && delivery.version >= version && delivery.at >= process.started
        };
        let delivered = deliveries.iter().filter(notifies).map(|delivery| delivery.at).min();
        let made = record.versions.lock().unwrap()[version].max(process.started);
        let reachable = record.reachable.lock().unwrap();
        let counts = reachable.iter().filter_map(|span| {
            let at = made.max(span.from) + DELIVERED_BY;
            (at <= span.to).then_some(at)
        });
        from_start.into_iter().chain(delivered).chain(counts.min()).min().filter(|at| *at <= by)
    }

    fn stopped(&self, process: &Lifetime) -> Option<String> {
        let told = process.told_to_stop?;
        let (ended, by_itself) = process.ended?;
        // A machine that delayed it for longer than its margin says nothing of it.
        let was_delayed = self.lateness(told, ended) > Duration::from_millis(200);
        let router = process.router;
        (!by_itself && !was_delayed)
            .then(|| format!("lost: router {router} had not ended {:?} after SIGTERM", ended - told))
    }
}
