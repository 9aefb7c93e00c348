//! Health checks: when a node is checked without an RPC, and what the result means.
//!
//! Health checks have a budget: each RPC earns a fraction of a check, depending on the cost of one. Every
//! check is paid from the budget, except one that allows a read to be sent.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::host::{Host, NodeId, Outcome};
use crate::node_state::NodeState;
use crate::router::Router;

/// How much each RPC adds to the budget for health checks, as a fraction of the value of a response.
const BUDGET_PER_RPC: f64 = 0.006;
/// Lower bound of the cost of a check, so that the budget cannot grow without limit.
const MIN_HEALTH_CHECK_COST: f64 = 1e-3;
/// RPCs earn this many times more where only health checks show what nodes have in flight.
const LOAD_REPORT_FACTOR: f64 = 3.3;
/// The budget holds at most the earnings of this many RPCs. At startup a fleet spends that much once per
/// router.
const MAX_SAVED_RPCS: f64 = 100.0;
/// Checks of a node that no router has heard from yet, for all routers together.
const INITIAL_CHECKS_PER_NODE: f64 = 3.0;
/// Consecutive immediate failures after which a node counts as down: a lossy link fails some checks of nodes
/// that are up.
const MIN_FAILURES: u32 = 3;
/// After this many failures the time to the next check no longer doubles, and a removed node is forgotten.
pub(crate) const MAX_FAILURES: u32 = 7;
/// The delay until an ejected node is checked again, before it doubles: tightest staleness bound / this.
const CHECKS_PER_BOUND: u32 = 8;

/// The results of this router's health checks of one node.
#[derive(Default)]
pub(crate) struct HealthCheckState {
    pub in_flight: bool,
    pub failed_in_row: u32,
    pub ended_at: Duration,
}

/// The remaining budget, in health checks.
pub(crate) struct HealthCheckBudget {
    available: f64,
    earned_per_rpc: f64,
}

impl HealthCheckBudget {
    /// `cost` is that of one check, in the unit of the value of responses. Until its first RPC, a router may
    /// check without limit.
    pub fn new(allowed: bool, cost: f64) -> Self {
        Self {
            available: if allowed { f64::MAX } else { 0.0 },
            earned_per_rpc: BUDGET_PER_RPC / cost.max(MIN_HEALTH_CHECK_COST),
        }
    }

    /// Adds what one RPC earns. While nodes are over their limits, knowing more about them helps little, so
    /// an RPC earns less, in proportion to the admitted reads. `load_is_known` means that health checks
    /// report the requests in flight.
    pub fn earn(&mut self, admitted_fraction: f64, load_is_known: bool) {
        let factor = if load_is_known { admitted_fraction * LOAD_REPORT_FACTOR } else { 1.0 };
        let earned = self.earned_per_rpc * factor;
        self.available = (self.available + earned).min(self.earned_per_rpc * MAX_SAVED_RPCS);
    }

    /// Returns the cost of a check that allowed a read to be sent, or that was left to another router and so
    /// not made.
    pub fn refund(&mut self) {
        self.available += 1.0;
    }

    /// Pays for one check if the budget allows it.
    fn spend(&mut self) -> bool {
        let is_enough = self.available >= 1.0;
        if is_enough {
            self.available -= 1.0;
        }
        is_enough
    }
}

/// What the end of a health check shows about the node.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CheckResult {
    Responded,
    /// The check failed immediately, which does not count yet; it is repeated.
    Inconclusive,
    Failed,
}

impl HealthCheckState {
    /// An error response also shows that the node is up. A check that fails immediately is repeated and
    /// counts only as the third failure in a row: otherwise a lossy link, or a router that alone cannot reach
    /// a node, would eject nodes that serve requests.
    fn result(&self, outcome: Outcome) -> CheckResult {
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => CheckResult::Responded,
            Outcome::TimedOut => CheckResult::Failed,
            _ if self.failed_in_row + 1 < MIN_FAILURES => CheckResult::Inconclusive,
            _ => CheckResult::Failed,
        }
    }

    /// The delay after the last check of an ejected node until the next one.
    fn retry_delay(&self, tightest_bound: Duration) -> Duration {
        let doublings = self.failed_in_row.saturating_sub(MIN_FAILURES - 1);
        tightest_bound / CHECKS_PER_BOUND * 2u32.pow(doublings)
    }
}

impl<H: Host> Router<H> {
    /// Cancels a check that was left to another router. That router's observation will follow, so no other
    /// state changes.
    pub(crate) fn cancel_health_check(&mut self, node: NodeId) {
        if let Some(state) = self.nodes.get_mut(&node) {
            state.health_check.in_flight = false;
            self.health_check_budget.refund();
        }
    }

    /// Records the end of a health check. A response readmits the node. A failure ejects it, and it no longer
    /// counts as the primary. An inconclusive check is repeated.
    pub(crate) fn record_health_check(&mut self, now: Duration, node: NodeId, outcome: Outcome) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let result = state.health_check.result(outcome);
        state.health_check.in_flight = false;
        state.health_check.ended_at = now;
        if result == CheckResult::Responded {
            state.health.ejected = false;
            state.health.overdue_responses = 0.0;
            state.health_check.failed_in_row = 0;
            state.log.last_heard_at = Some(now);
            return self.detect_connection_shortage(now, node);
        }
        state.health_check.failed_in_row = (state.health_check.failed_in_row + 1).min(MAX_FAILURES);
        // The refused connects mean that the node is down, not that it is short of connections.
        state.refused_connects = 0;
        if result == CheckResult::Inconclusive {
            return self.check_health(node);
        }
        state.health.ejected = true;
        let replica_set = state.replica_set;
        self.clear_primary(now, replica_set, node);
    }

    /// Starts a health check, unless one to the node is in flight or the budget is spent. If health checks
    /// are not allowed, the node is readmitted so that the next attempt can try it.
    pub(crate) fn check_health(&mut self, node: NodeId) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        if !self.config.health_checks {
            state.health.ejected = false;
            state.health.overdue_responses = 0.0;
        } else if !state.health_check.in_flight && self.health_check_budget.spend() {
            state.health_check.in_flight = true;
            self.host.start_health_check(node);
        }
    }

    /// Checks the node immediately if it is ejected, after an attempt has ended.
    pub(crate) fn check_if_ejected(&mut self, node: NodeId) {
        if self.nodes.get(&node).is_some_and(|state| state.health.ejected) {
            self.check_health(node);
        }
    }

    /// Checks nodes for a request that no node can serve yet. Only nodes that were not heard from for half
    /// the tightest bound are checked. With many routers most of this information becomes outdated without
    /// being used, so no node is checked for its age alone. One node is checked at a time, or, if none has
    /// been heard from yet, this router's share of the initial checks.
    pub(crate) fn check_for_request(&mut self, now: Duration, mut nodes: Vec<NodeId>) {
        let max_age = self.config.tightest_bound / 2;
        let is_due = |node: &NodeState| node.log.last_heard_at.unwrap_or_default() + max_age <= now;
        nodes.retain(|node| self.nodes[node].is_routable() && is_due(&self.nodes[node]));
        let is_checking = nodes.iter().any(|node| self.nodes[node].health_check.in_flight);
        let none_heard_from = nodes.iter().all(|node| self.nodes[node].log.last_heard_at.is_none());
        let initial = INITIAL_CHECKS_PER_NODE * nodes.len() as f64 / self.config.routers;
        let count = if none_heard_from { initial.ceil() as usize } else { usize::from(!is_checking) };
        let chosen: Vec<NodeId> = nodes.sample(&mut self.rng, count).copied().collect();
        for node in chosen {
            self.check_health(node);
        }
    }

    /// Periodic: checks ejected nodes again. The rate halves with each failure past the second. A node is
    /// checked only if an RPC has needed its replica set since the last check: otherwise hundreds of routers
    /// would keep checking a dead node for which none of them has an RPC.
    pub(crate) fn check_ejected_nodes(&mut self, now: Duration) {
        let is_due = |node: &NodeState| {
            let check = &node.health_check;
            node.health.ejected
                && !node.draining
                && check.ended_at + check.retry_delay(self.config.tightest_bound) <= now
                && self.replica_sets[&node.replica_set].last_lookup_at >= check.ended_at
        };
        let due: Vec<NodeId> =
            self.nodes.iter().filter(|(_, state)| is_due(state)).map(|(node, _)| *node).collect();
        for node in due {
            self.check_health(node);
        }
    }
}
