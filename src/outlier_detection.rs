//! Outlier detection: what an attempt that ended, or that does not end, shows about its node's health, and
//! when a node is ejected. An ejected node gets no requests until this router hears from it again.

use std::time::Duration;

use crate::connection_shortage::ConnectResult;
use crate::host::{AttemptEnd, Host, NodeId, Outcome};
use crate::moving_average::add_sample;
use crate::router::Router;

/// A node counts as unresponsive when more responses than this are overdue; by chance alone this happens once
/// in about 8,000 (e^9) cases.
const MAX_OVERDUE_RESPONSES: f64 = 9.0;

/// The health of one node as seen by this router.
pub(crate) struct Health {
    /// Fraction of the recent responses that succeeded, 0 to 1.
    pub success_rate: f64,
    /// Responses that were expected since the last one arrived.
    pub overdue_responses: f64,
    /// The node gets no requests until this router hears from it again.
    pub ejected: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self { success_rate: 1.0, overdue_responses: 0.0, ejected: false }
    }
}

impl<H: Host> Router<H> {
    /// Any response readmits a node. A failed connect ejects it, and a health check then decides whether the
    /// process is dead or the link is down. A reset does not eject it, because it may be a single lost
    /// response; nor does a refused connect during a connection shortage.
    pub(crate) fn update_ejection(&mut self, end: &AttemptEnd, connect: ConnectResult) {
        let Some(node) = self.nodes.get_mut(&end.node) else { return };
        match end.outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Misrouted | Outcome::Malformed => {
                node.health.overdue_responses = 0.0;
                node.health.ejected = false;
            }
            Outcome::ConnectFailed if connect != ConnectResult::RefusedInShortage => {
                node.health.ejected = true;
            }
            _ => {}
        }
    }

    /// The success rate lowers a node's weight in balancing. Outcomes that the node did not cause are not
    /// counted.
    pub(crate) fn update_success_rate(&mut self, end: &AttemptEnd) {
        if matches!(end.outcome, Outcome::Misrouted | Outcome::NotSent | Outcome::Cancelled) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(&end.node) {
            let success = if end.outcome == Outcome::Ok { 1.0 } else { 0.0 };
            add_sample(&mut node.health.success_rate, success);
        }
    }

    /// Periodic: ejects a node if more expected responses are missing than chance explains, because the node
    /// hangs or is unreachable. Each attempt in flight adds 1 expected response per expected response time;
    /// `elapsed_s` is the time in seconds since the last call.
    pub(crate) fn eject_unresponsive_nodes(&mut self, now: Duration, elapsed_s: f64) {
        for node in self.nodes.values_mut() {
            let in_flight = node.in_flight.iter().filter(|attempt| !attempt.is_lost(now));
            let due_per_s: f64 = in_flight.map(|attempt| 1.0 / attempt.expected_s).sum();
            node.health.overdue_responses += elapsed_s * due_per_s;
            node.health.ejected |= node.health.overdue_responses > MAX_OVERDUE_RESPONSES;
        }
    }

    /// Several routers have failed to reach the node since this router last heard from it.
    pub(crate) fn eject_unreachable(&mut self, now: Duration, node: NodeId) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        state.health.ejected = true;
        let replica_set = state.replica_set;
        self.clear_primary(now, replica_set, node);
    }
}
