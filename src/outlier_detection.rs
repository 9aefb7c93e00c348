//! Outlier detection: what an ended attempt, or one that does not end, says of a node's health, and when a node is
//! ejected, which means not sent to until it is heard again.

use std::time::Duration;

use crate::connection_shortage::ConnectResult;
use crate::host::{AttemptEnd, Host, NodeId, Outcome};
use crate::moving_average::add_sample;
use crate::router::Router;

/// A node is silent after so many due answers have stayed away: by chance alone once in about 8,000 (e^9) times.
const SILENT_ANSWERS: f64 = 9.0;

/// The health of one node as this router sees it.
pub(crate) struct Health {
    /// Part of its latest answers that were ok, 0 to 1.
    pub success_rate: f64,
    /// Answers that were due since the last one came.
    pub suspicion: f64,
    /// Not sent to until it is heard again.
    pub ejected: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self { success_rate: 1.0, suspicion: 0.0, ejected: false }
    }
}

impl<H: Host> Router<H> {
    /// Any answer clears a node. A failed connect ejects it, and a health check decides: the process may be dead or the
    /// link cut. A reset does not, as it may be one lost answer, nor does a refusal in a shortage of connections.
    pub(crate) fn update_ejection(&mut self, end: &AttemptEnd, connect: ConnectResult) {
        let Some(node) = self.nodes.get_mut(&end.node) else { return };
        match end.outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Misrouted | Outcome::Malformed => {
                node.health.suspicion = 0.0;
                node.health.ejected = false;
            }
            Outcome::ConnectFailed if connect != ConnectResult::RefusedInShortage => {
                node.health.ejected = true;
            }
            _ => {}
        }
    }

    /// The success rate lowers a node's weight in balancing. What the node had no part in does not count.
    pub(crate) fn update_success_rate(&mut self, end: &AttemptEnd) {
        if matches!(end.outcome, Outcome::Misrouted | Outcome::NotSent | Outcome::Cancelled) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(&end.node) {
            let success = if end.outcome == Outcome::Ok { 1.0 } else { 0.0 };
            add_sample(&mut node.health.success_rate, success);
        }
    }

    /// Periodic: a node is ejected when answers that were due stay away beyond chance, as it hangs or is cut off. Each
    /// attempt in flight makes 1 answer due in each expected answer time; `elapsed_s` are the seconds since the last
    /// look.
    pub(crate) fn eject_silent_nodes(&mut self, now: Duration, elapsed_s: f64) {
        for node in self.nodes.values_mut() {
            let in_flight = node.in_flight.iter().filter(|attempt| !attempt.is_lost(now));
            let due_per_s: f64 = in_flight.map(|attempt| 1.0 / attempt.expected_s).sum();
            node.health.suspicion += elapsed_s * due_per_s;
            node.health.ejected |= node.health.suspicion > SILENT_ANSWERS;
        }
    }

    /// Several routers have failed to reach the node since it was last heard here.
    pub(crate) fn eject_unreachable(&mut self, now: Duration, node: NodeId) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        state.health.ejected = true;
        let replica_set = state.replica_set;
        self.lose_primary(now, replica_set, node);
    }
}
