//! Concurrency limits: how many attempts of this router may be in flight to a node.
//!
//! The limit follows the ratio of the shortest answer time to the present one. A node that cannot take one attempt of
//! each router rests between two of them.

use std::time::Duration;

use crate::attempt_evidence::AttemptEvidence;
use crate::connection_shortage::ConnectResult;
use crate::host::{AttemptEnd, Host, Outcome};
use crate::moving_average::SAMPLE_WEIGHT;
use crate::node_state::NodeState;
use crate::router::Router;

/// Limit at a node until answers tell, of all routers together.
const INITIAL_LIMIT: f64 = 10.0;
/// The least limit at a node, of all routers together; one for each router where they are few.
const MIN_LIMIT: f64 = 6.0;
/// A relative latency up to this leaves the limit as it is: a little queueing keeps a node busy.
const LATENCY_TOLERANCE: f64 = 1.15;
/// The same where the node itself says that nothing is queued there, as at a primary that waits for its replicas.
const UNQUEUED_LATENCY_TOLERANCE: f64 = 2.0;
/// The limit shrinks by half at the most for one answer, before the answer's weight.
const MIN_LIMIT_RATIO: f64 = 0.5;
/// The least relative latency that is used: answers that take no time would divide by zero.
const MIN_RELATIVE_LATENCY: f64 = 0.1;
/// The part of a limit that must be in use for it to grow.
const GROWTH_UTILIZATION: f64 = 0.7;
/// A report of fewer queued requests than this says that nothing is queued.
const UNQUEUED: f64 = 0.5;
/// How long a node rests that rejected an attempt, or that has no connection left.
const REJECTED_REST: Duration = Duration::from_millis(50);
/// So many rests may be saved up, as requests come in clumps.
const SAVED_RESTS: u32 = 3;
/// The longest rest after one answer: after an overload, a rest must not outlast it by much.
const MAX_REST: Duration = Duration::from_millis(10_000);
/// A latency of all zones past this lengthens the rests, by its square.
const CROWDED_LATENCY: f64 = 1.5;

/// What this router may have in flight to one node.
pub(crate) struct ConcurrencyLimit {
    /// Attempts; below one where there are more routers than the node can take attempts.
    pub limit: f64,
    /// Present answer time against the shortest of each method.
    pub relative_latency: f64,
    /// Answers that make up the relative latency.
    pub answers: f64,
    /// Nothing is sent to the node until then, unless it says that it has capacity.
    pub rests_until: Duration,
}

impl ConcurrencyLimit {
    pub fn new(routers: f64) -> Self {
        Self {
            limit: INITIAL_LIMIT / routers,
            relative_latency: 1.0,
            answers: 0.0,
            rests_until: Duration::ZERO,
        }
    }

    /// Takes in one answer's time against its method's shortest. The first answers make up a plain mean.
    fn record_latency(&mut self, relative_latency: f64) {
        self.answers += 1.0;
        let weight = SAMPLE_WEIGHT.max(1.0 / (self.answers + 1.0));
        self.relative_latency += (relative_latency - self.relative_latency) * weight;
    }

    /// Moves the limit by the latency gradient. It grows only while it is used: a burst must not find a limit that no
    /// answer time has tried.
    fn adapt(&mut self, in_flight: f64, tolerance: f64, routers: f64) {
        let ratio = (tolerance / self.relative_latency.max(MIN_RELATIVE_LATENCY)).clamp(MIN_LIMIT_RATIO, 1.0);
        let is_used = in_flight + 1.0 >= self.limit * GROWTH_UTILIZATION;
        let growth = if is_used { 1.0 } else { 0.0 };
        self.limit += (self.limit * (ratio - 1.0) + growth / routers) * SAMPLE_WEIGHT;
    }

    /// Spaces attempts: after an answer the node rests `answer_times` x `took`. Up to `SAVED_RESTS` unused rests carry
    /// over, so that a clump of requests is not held back.
    fn rest(&mut self, now: Duration, took: Duration, answer_times: f64) {
        let rest = took.mul_f64(answer_times).min(MAX_REST);
        self.rests_until = self.rests_until.max(now.saturating_sub(rest * SAVED_RESTS)) + rest;
    }
}

/// Whether a node that reports so many queued requests says that nothing is queued there.
pub(crate) fn is_unqueued(queued: Option<f64>) -> bool {
    queued.is_some_and(|queued| queued < UNQUEUED)
}

impl<H: Host> Router<H> {
    /// A node that rejected an attempt, or has no connection left, is not answered with the next attempt at once. Where
    /// reports come with health checks alone, one of them must say that there is capacity again: hundreds of routers
    /// would otherwise come back after each rest.
    pub(crate) fn rest_after_rejection(
        &mut self,
        now: Duration,
        end: &AttemptEnd,
        evidence: &AttemptEvidence,
    ) {
        let Some(node) = self.nodes.get_mut(&end.node) else { return };
        let rejected = end.outcome == Outcome::Rejected;
        if rejected || evidence.connect == ConnectResult::RefusedInShortage {
            node.concurrency.rests_until = now + REJECTED_REST;
        }
        if rejected && self.config.reports_by_health_checks_only {
            self.note_no_capacity(now, end.node);
        }
    }

    /// The limit after an attempt ended. `relative_latency` is its answer time against the shortest of its method.
    pub(crate) fn adapt_concurrency_limit(
        &mut self,
        now: Duration,
        end: &AttemptEnd,
        evidence: &AttemptEvidence,
        relative_latency: f64,
    ) {
        let Some(node) = self.nodes.get_mut(&end.node) else { return };
        let routers = self.config.routers;
        if matches!(end.outcome, Outcome::Ok | Outcome::TimedOut) && !evidence.lost {
            node.concurrency.record_latency(relative_latency);
            self.zones.record(node.zone, relative_latency);
            let unqueued = is_unqueued(evidence.queued_before);
            let tolerance = if unqueued { UNQUEUED_LATENCY_TOLERANCE } else { LATENCY_TOLERANCE };
            let in_flight = node.in_flight_count(now);
            node.concurrency.adapt(in_flight, tolerance, routers);
        }
        node.concurrency.limit = node.concurrency.limit.max((MIN_LIMIT / routers).min(1.0));
    }

    /// Below a limit of one the node rests between two attempts, the longer the more crowded all nodes are. One router
    /// of many sees too little for that by itself: where the node says that nothing is queued, there is no rest.
    pub(crate) fn rest_after_answer(&mut self, now: Duration, end: &AttemptEnd, evidence: &AttemptEvidence) {
        let Some(node) = self.nodes.get_mut(&end.node) else { return };
        let queued = end.report.map_or(evidence.queued_before, |report| report.queued);
        let needs_no_rest = evidence.load_is_known || evidence.lost || is_unqueued(queued);
        let crowding = (evidence.lowest_zone_latency / CROWDED_LATENCY).max(1.0).powi(2);
        let answer_times =
            if needs_no_rest { 0.0 } else { (crowding / node.concurrency.limit - 1.0).max(0.0) };
        node.concurrency.rest(now, end.took, answer_times);
    }

    /// This router's part of the free capacity at a node, in attempts. A rest stands in for a report of what the node
    /// holds, so a current report ends it where only health checks bring reports.
    pub(crate) fn available_capacity(&self, now: Duration, node: &NodeState) -> f64 {
        let has_report =
            self.config.reports_by_health_checks_only && self.current_report(now, node).is_some();
        let rests = node.concurrency.rests_until > now && !has_report;
        if !node.is_open() || rests {
            return 0.0;
        }
        let in_flight = self.reported_in_flight(now, node).unwrap_or(node.in_flight_count(now));
        (node.concurrency.limit - in_flight).max(0.0)
    }
}
