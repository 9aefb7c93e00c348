//! Logs when a node becomes unreachable, and when it is reachable again, as attempts find it.

use quillpoint::host::{NodeId, Outcome};

use super::ConnectionPool;
use crate::log_rate_limiter::LogRateLimiter;

/// What was last logged of a node.
#[derive(Default)]
pub(super) struct ReachabilityLog {
    is_unreachable: bool,
    rate_limiter: LogRateLimiter,
}

impl ReachabilityLog {
    /// Logs a change that the outcome of an attempt shows, unless changes are logged too often.
    fn record(&mut self, node: NodeId, outcome: Outcome) {
        let Some(is_unreachable) = shows_unreachable(outcome) else { return };
        if is_unreachable == self.is_unreachable || !self.rate_limiter.try_acquire() {
            return;
        }
        self.is_unreachable = is_unreachable;
        if is_unreachable {
            log::warn!("node {} is unreachable: {outcome:?}", node.0);
        } else {
            log::info!("node {} is reachable again", node.0);
        }
    }
}

/// Whether an outcome shows that a node is unreachable; `None` if it shows neither.
fn shows_unreachable(outcome: Outcome) -> Option<bool> {
    match outcome {
        Outcome::ConnectFailed | Outcome::Reset => Some(true),
        Outcome::Ok | Outcome::Misrouted | Outcome::Error | Outcome::Rejected | Outcome::Malformed => {
            Some(false)
        }
        Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => None,
    }
}

impl ConnectionPool {
    /// Logs a change of a node's reachability that the outcome of an attempt shows.
    pub(super) fn log_reachability(&self, node: NodeId, outcome: Outcome) {
        self.nodes.borrow_mut().entry(node).or_default().reachability_log.record(node, outcome);
    }
}
