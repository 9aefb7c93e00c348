//! Load reports: what nodes say of themselves, and how long that counts.
//!
//! Where reports come with answers, one counts until the next. Where they come with health checks alone, one counts for
//! half the tightest staleness bound; past a load of the whole fleet nodes are then checked before they are sent to.

use std::time::Duration;

use crate::host::{Host, LoadReport, NodeId};
use crate::moving_average::add_sample;
use crate::node_state::NodeState;
use crate::router::Router;

/// Stands for the load of a node that says that requests are queued there, or that rejected an attempt.
const NO_CAPACITY: Option<f64> = Some(f64::INFINITY);
/// From this many queued requests a node that does not report what is in flight has no capacity.
const QUEUED: f64 = 0.5;
/// The most that one report adds to the fleet's root utilization: a malformed one would otherwise count for ever.
const MAX_REPORTED_ROOT_UTILIZATION: f64 = 3.0;
/// Past this root utilization of the fleet (a quarter of the limits in flight), nodes are checked before they are sent
/// to.
const CHECK_FIRST_ROOT_UTILIZATION: f64 = 0.5;

/// A load report and when it came.
#[derive(Clone, Copy)]
pub(crate) struct DatedLoadReport {
    pub received: Duration,
    pub report: LoadReport,
}

/// The load that the nodes of all replica sets report, if health checks tell what they have in flight.
#[derive(Default)]
pub(crate) struct FleetLoad {
    /// Mean of the square roots of in flight / limit, so that a few nodes do not stand for all; 0 where nothing is
    /// reported.
    root_utilization: f64,
}

impl FleetLoad {
    pub fn root_utilization(&self) -> f64 {
        self.root_utilization
    }

    /// Whether nodes report what they have in flight.
    pub fn is_reported(&self) -> bool {
        self.root_utilization > 0.0
    }

    /// Whether nodes have to be checked before they are sent to.
    fn is_high(&self) -> bool {
        self.root_utilization > CHECK_FIRST_ROOT_UTILIZATION
    }

    /// Takes in one node's report of what it has in flight, against its limit for all routers.
    fn record(&mut self, in_flight: f64, limit: f64) {
        let root_utilization = (in_flight.max(0.0) / limit).sqrt().min(MAX_REPORTED_ROOT_UTILIZATION);
        add_sample(&mut self.root_utilization, root_utilization);
    }
}

impl<H: Host> Router<H> {
    /// What the node last said of itself, while that is current.
    pub(crate) fn current_report(&self, now: Duration, node: &NodeState) -> Option<LoadReport> {
        let dated = node.load?;
        let is_current = !self.config.reports_by_health_checks_only
            || dated.received + self.config.tightest_bound / 2 > now;
        is_current.then_some(dated.report)
    }

    /// This router's part of what the node says it has in flight; only where no answer time tells of it.
    pub(crate) fn reported_in_flight(&self, now: Duration, node: &NodeState) -> Option<f64> {
        let report = self.current_report(now, node)?;
        let in_flight = report.in_flight.filter(|_| self.config.reports_by_health_checks_only)?;
        Some(in_flight / self.config.routers)
    }

    /// Whether the node has to be checked before it is sent to: only health checks tell its load, that of the fleet or
    /// its own is high, and its last report is no longer current.
    pub(crate) fn must_check_first(&self, now: Duration, node: &NodeState) -> bool {
        let has_no_capacity = node.load.is_some_and(|load| load.report.in_flight == NO_CAPACITY);
        let load_is_high = has_no_capacity || self.fleet_load.is_high();
        self.config.reports_by_health_checks_only && load_is_high && self.current_report(now, node).is_none()
    }

    /// The node has rejected an attempt: it has no capacity until a report says otherwise.
    pub(crate) fn note_no_capacity(&mut self, now: Duration, node: NodeId) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let report = LoadReport { in_flight: NO_CAPACITY, ..LoadReport::default() };
        state.load = Some(DatedLoadReport { received: now, report });
    }

    /// Keeps a report. Where a node does not say what is in flight, requests that are queued there say that it has no
    /// capacity. Where health checks alone bring reports, what is in flight counts for the fleet.
    pub(crate) fn note_load(&mut self, now: Duration, node: NodeId, report: &LoadReport) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let is_queueing = report.queued.is_some_and(|queued| queued >= QUEUED);
        let in_flight = report.in_flight.or(if is_queueing { NO_CAPACITY } else { None });
        state.load = Some(DatedLoadReport { received: now, report: LoadReport { in_flight, ..*report } });
        if self.config.reports_by_health_checks_only
            && let Some(in_flight) = report.in_flight
        {
            self.fleet_load.record(in_flight, state.concurrency.limit * self.config.routers);
        }
    }

    /// Another router's report of how many requests are queued at a node.
    pub(crate) fn note_peer_load(&mut self, now: Duration, node: NodeId, queued: f64) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let report = LoadReport { queued: Some(queued), ..LoadReport::default() };
        state.load = Some(DatedLoadReport { received: now, report });
    }
}
