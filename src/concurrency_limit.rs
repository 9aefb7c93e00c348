//! Concurrency limits: how many attempts of this router may be in flight to a node.
//!
//! The limit follows the ratio of the baseline response time to the average one. A node that cannot take one
//! attempt from each router is paused between two attempts.

use std::time::Duration;

use crate::attempt_evidence::AttemptEvidence;
use crate::connection_shortage::ConnectResult;
use crate::host::{AttemptEnd, Host, Outcome};
use crate::moving_average::SAMPLE_WEIGHT;
use crate::node_state::NodeState;
use crate::router::Router;

/// Initial limit of a node, for all routers together.
const INITIAL_LIMIT: f64 = 10.0;
/// The lowest limit of a node, for all routers together. With fewer routers than this, each may have at least
/// one attempt in flight.
const MIN_LIMIT: f64 = 6.0;
/// A relative latency up to this leaves the limit unchanged: a short queue keeps a node busy.
const LATENCY_TOLERANCE: f64 = 1.15;
/// The same if the node reports an empty queue, as a primary does that waits for its replicas.
const EMPTY_QUEUE_LATENCY_TOLERANCE: f64 = 2.0;
/// One response shrinks the limit by half at most, before the weight of the sample is applied.
const MIN_LIMIT_RATIO: f64 = 0.5;
/// Lower bound of the relative latency, since a response time of zero would cause a division by zero.
const MIN_RELATIVE_LATENCY: f64 = 0.1;
/// The limit grows only if at least this fraction of it is in use.
const GROWTH_UTILIZATION: f64 = 0.7;
/// A node that reports fewer queued requests than this has an empty queue.
const EMPTY_QUEUE_THRESHOLD: f64 = 0.5;
/// How long a node is paused after it rejected an attempt or had no connection left.
const REJECTION_PAUSE: Duration = Duration::from_millis(50);
/// Up to this many unused pauses carry over, because requests come in bursts.
const MAX_SAVED_PAUSES: u32 = 3;
/// The longest pause after one response: pauses must not outlast an overload by much.
const MAX_PAUSE: Duration = Duration::from_millis(10_000);
/// If the relative latency of every zone exceeds this, pauses are lengthened by the square of the excess.
const CONGESTED_LATENCY: f64 = 1.5;

/// How much this router may have in flight to one node.
pub(crate) struct ConcurrencyLimit {
    /// The limit in attempts; less than one if there are more routers than the node can take attempts.
    pub limit: f64,
    /// Average ratio of a response time to the baseline of its method.
    pub relative_latency: f64,
    /// Number of responses in the relative latency.
    pub responses: f64,
    /// Until then nothing is sent to the node, unless it reports that it has capacity.
    pub paused_until: Duration,
}

impl ConcurrencyLimit {
    pub fn new(routers: f64) -> Self {
        Self {
            limit: INITIAL_LIMIT / routers,
            relative_latency: 1.0,
            responses: 0.0,
            paused_until: Duration::ZERO,
        }
    }

    /// Adds the relative latency of one response. The first responses are averaged with equal weights.
    fn record_latency(&mut self, relative_latency: f64) {
        self.responses += 1.0;
        let weight = SAMPLE_WEIGHT.max(1.0 / (self.responses + 1.0));
        self.relative_latency += (relative_latency - self.relative_latency) * weight;
    }

    /// Adapts the limit by the latency gradient. It grows only while it is used: otherwise a burst could use
    /// a limit at which no response time has been measured.
    fn adapt(&mut self, in_flight: f64, tolerance: f64, routers: f64) {
        let ratio = (tolerance / self.relative_latency.max(MIN_RELATIVE_LATENCY)).clamp(MIN_LIMIT_RATIO, 1.0);
        let is_used = in_flight + 1.0 >= self.limit * GROWTH_UTILIZATION;
        let growth = if is_used { 1.0 } else { 0.0 };
        self.limit += (self.limit * (ratio - 1.0) + growth / routers) * SAMPLE_WEIGHT;
    }

    /// Paces attempts: after a response the node is paused for `took` times `response_times`. Up to
    /// `MAX_SAVED_PAUSES` unused pauses carry over, so that a burst of requests is not held back.
    fn pause(&mut self, now: Duration, took: Duration, response_times: f64) {
        let pause = took.mul_f64(response_times).min(MAX_PAUSE);
        self.paused_until = self.paused_until.max(now.saturating_sub(pause * MAX_SAVED_PAUSES)) + pause;
    }
}

/// Whether this reported number of queued requests means that the node's queue is empty.
pub(crate) fn has_empty_queue(queued: Option<f64>) -> bool {
    queued.is_some_and(|queued| queued < EMPTY_QUEUE_THRESHOLD)
}

impl<H: Host> Router<H> {
    /// Pauses a node that rejected an attempt or has no connection left, so that the next attempt does not
    /// follow immediately. Where load reports come only with health checks, a health check must first report
    /// free capacity: otherwise hundreds of routers would send again after each pause.
    pub(crate) fn pause_after_rejection(
        &mut self,
        now: Duration,
        end: &AttemptEnd,
        evidence: &AttemptEvidence,
    ) {
        let Some(node) = self.nodes.get_mut(&end.node) else { return };
        let rejected = end.outcome == Outcome::Rejected;
        if rejected || evidence.connect == ConnectResult::RefusedInShortage {
            node.concurrency.paused_until = now + REJECTION_PAUSE;
        }
        if rejected && self.config.reports_by_health_checks_only {
            self.record_no_capacity(now, end.node);
        }
    }

    /// Adapts the limit after an attempt ended. `relative_latency` is the ratio of its response time to the
    /// baseline of its method.
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
            let is_queue_empty = has_empty_queue(evidence.queued_before);
            let tolerance = if is_queue_empty { EMPTY_QUEUE_LATENCY_TOLERANCE } else { LATENCY_TOLERANCE };
            let in_flight = node.in_flight_count(now);
            node.concurrency.adapt(in_flight, tolerance, routers);
        }
        node.concurrency.limit = node.concurrency.limit.max((MIN_LIMIT / routers).min(1.0));
    }

    /// While the limit is below one, pauses the node between two attempts, and longer the more congested all
    /// nodes are. One of many routers sees too few responses to judge the load alone, so there is no pause if
    /// the node reports an empty queue.
    pub(crate) fn pause_after_response(
        &mut self,
        now: Duration,
        end: &AttemptEnd,
        evidence: &AttemptEvidence,
    ) {
        let Some(node) = self.nodes.get_mut(&end.node) else { return };
        let queued = end.report.map_or(evidence.queued_before, |report| report.queued);
        let needs_no_pause = evidence.load_is_known || evidence.lost || has_empty_queue(queued);
        let congestion = (evidence.lowest_zone_latency / CONGESTED_LATENCY).max(1.0).powi(2);
        let response_times =
            if needs_no_pause { 0.0 } else { (congestion / node.concurrency.limit - 1.0).max(0.0) };
        node.concurrency.pause(now, end.took, response_times);
    }

    /// This router's share of the free capacity of a node, in attempts. A pause substitutes for a report of
    /// the node's load, so where reports come only with health checks, a current report ends the pause.
    pub(crate) fn available_capacity(&self, now: Duration, node: &NodeState) -> f64 {
        let has_report =
            self.config.reports_by_health_checks_only && self.current_report(now, node).is_some();
        let is_paused = node.concurrency.paused_until > now && !has_report;
        if !node.is_routable() || is_paused {
            return 0.0;
        }
        let in_flight = self.reported_in_flight(now, node).unwrap_or(node.in_flight_count(now));
        (node.concurrency.limit - in_flight).max(0.0)
    }
}
