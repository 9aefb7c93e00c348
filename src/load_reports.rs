//! Load reports: what nodes report about themselves, and how long a report is valid.
//!
//! A report that comes with a response is valid until the next one. Where reports come only with health
//! checks, a report is valid for half the tightest staleness bound, and while the load of the whole fleet is
//! high, a node is checked before requests are sent to it.

use std::time::Duration;

use crate::host::{Host, LoadReport, NodeId};
use crate::moving_average::add_sample;
use crate::node_state::NodeState;
use crate::router::Router;

/// The requests in flight of a node without free capacity: one that reports queued requests, or that rejected
/// an attempt.
const NO_CAPACITY: Option<f64> = Some(f64::INFINITY);
/// A node that does not report its requests in flight has no free capacity if it reports at least this many
/// queued requests.
const QUEUED_THRESHOLD: f64 = 0.5;
/// Upper bound of what one report contributes to the fleet's root utilization. Without it, the mean would
/// never recover from an invalid report.
const MAX_REPORTED_ROOT_UTILIZATION: f64 = 3.0;
/// If the fleet's root utilization is above this (a quarter of the limits in flight), nodes are checked
/// before requests are sent to them.
const CHECK_FIRST_ROOT_UTILIZATION: f64 = 0.5;

/// A load report and when it was received.
#[derive(Clone, Copy)]
pub(crate) struct DatedLoadReport {
    pub received: Duration,
    pub report: LoadReport,
}

/// The load that the nodes of all replica sets report. It is known only if health checks report the requests
/// in flight.
#[derive(Default)]
pub(crate) struct FleetLoad {
    /// Mean of the square roots of in flight / limit. The square root keeps a few nodes from dominating the
    /// mean. 0 if nothing is reported.
    root_utilization: f64,
}

impl FleetLoad {
    pub fn root_utilization(&self) -> f64 {
        self.root_utilization
    }

    /// Whether nodes report their requests in flight.
    pub fn is_reported(&self) -> bool {
        self.root_utilization > 0.0
    }

    /// Whether nodes have to be checked before requests are sent to them.
    fn is_high(&self) -> bool {
        self.root_utilization > CHECK_FIRST_ROOT_UTILIZATION
    }

    /// Adds one node's reported requests in flight, relative to its limit for all routers.
    fn record(&mut self, in_flight: f64, limit: f64) {
        let root_utilization = (in_flight.max(0.0) / limit).sqrt().min(MAX_REPORTED_ROOT_UTILIZATION);
        add_sample(&mut self.root_utilization, root_utilization);
    }
}

impl<H: Host> Router<H> {
    /// The node's last report, if it is still valid.
    pub(crate) fn current_report(&self, now: Duration, node: &NodeState) -> Option<LoadReport> {
        let dated = node.load?;
        let is_current = !self.config.reports_by_health_checks_only
            || dated.received + self.config.tightest_bound / 2 > now;
        is_current.then_some(dated.report)
    }

    /// This router's share of the node's reported requests in flight. Used only where reports come with
    /// health checks alone; elsewhere the response times show the load.
    pub(crate) fn reported_in_flight(&self, now: Duration, node: &NodeState) -> Option<f64> {
        let report = self.current_report(now, node)?;
        let in_flight = report.in_flight.filter(|_| self.config.reports_by_health_checks_only)?;
        Some(in_flight / self.config.routers)
    }

    /// Whether the node has to be checked before a request is sent to it: its load is known only from health
    /// checks, the fleet's load is high or the node has no free capacity, and its last report is no longer
    /// valid.
    pub(crate) fn must_check_first(&self, now: Duration, node: &NodeState) -> bool {
        let has_no_capacity = node.load.is_some_and(|load| load.report.in_flight == NO_CAPACITY);
        let load_is_high = has_no_capacity || self.fleet_load.is_high();
        self.config.reports_by_health_checks_only && load_is_high && self.current_report(now, node).is_none()
    }

    /// Marks a node that has rejected an attempt: it has no capacity until a report says otherwise.
    pub(crate) fn record_no_capacity(&mut self, now: Duration, node: NodeId) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let report = LoadReport { in_flight: NO_CAPACITY, ..LoadReport::default() };
        state.load = Some(DatedLoadReport { received: now, report });
    }

    /// Stores a report. If it lacks the requests in flight, queued requests mean that the node has no free
    /// capacity. Where reports come only with health checks, the requests in flight also count towards the
    /// fleet's load.
    pub(crate) fn record_load(&mut self, now: Duration, node: NodeId, report: &LoadReport) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let is_queueing = report.queued.is_some_and(|queued| queued >= QUEUED_THRESHOLD);
        let in_flight = report.in_flight.or(if is_queueing { NO_CAPACITY } else { None });
        state.load = Some(DatedLoadReport { received: now, report: LoadReport { in_flight, ..*report } });
        if self.config.reports_by_health_checks_only
            && let Some(in_flight) = report.in_flight
        {
            self.fleet_load.record(in_flight, state.concurrency.limit * self.config.routers);
        }
    }

    /// Stores another router's report of how many requests are queued at a node.
    pub(crate) fn record_peer_load(&mut self, now: Duration, node: NodeId, queued: f64) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let report = LoadReport { queued: Some(queued), ..LoadReport::default() };
        state.load = Some(DatedLoadReport { received: now, report });
    }
}
