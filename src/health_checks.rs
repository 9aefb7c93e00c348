//! Health checks: when a node is checked without an RPC, and what its answer, or none, says of it.
//!
//! Checks are paid for: each RPC earns a part of one, by their price, and all checks but those that let a read go are
//! taken from what has been earned.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::host::{Host, NodeId, Outcome};
use crate::node_state::NodeState;
use crate::router::Router;

/// Part of the result that is spent on health checks, in its own unit.
const SPEND_PER_RPC: f64 = 0.006;
/// The least price that is used: nothing may be earned without bound.
const MIN_PRICE: f64 = 1e-3;
/// So many times more is earned where only health checks tell what nodes have in flight.
const LOAD_REPORT_FACTOR: f64 = 3.3;
/// The earnings of so many RPCs may be saved up. A fleet pays for that once for each router at its start.
const SAVED_RPCS: f64 = 100.0;
/// Health checks at a node that none of the routers has heard yet, by all of them together.
const INITIAL_CHECKS_PER_NODE: f64 = 3.0;
/// Failures in a row, and at once, until a node counts as down: a lossy link fails some checks of nodes that are up.
const MIN_FAILURES: u32 = 3;
/// Past this many failures the time to the next check no longer doubles; a removed node is then forgotten.
pub(crate) const MAX_FAILURES: u32 = 7;
/// Time until an ejected node is checked again, before it doubles: tightest staleness bound / this.
const CHECKS_PER_BOUND: u32 = 8;

/// What this router's health checks have shown of one node.
#[derive(Default)]
pub(crate) struct HealthCheckState {
    pub in_flight: bool,
    pub failed_in_row: u32,
    pub ended_at: Duration,
}

/// What the health checks may cost, in health checks.
pub(crate) struct HealthCheckBudget {
    available: f64,
    earned_per_rpc: f64,
}

impl HealthCheckBudget {
    /// `price` is that of one check, in the result's unit. A router may check freely until its first RPC comes.
    pub fn new(allowed: bool, price: f64) -> Self {
        Self {
            available: if allowed { f64::MAX } else { 0.0 },
            earned_per_rpc: SPEND_PER_RPC / price.max(MIN_PRICE),
        }
    }

    /// What an RPC earns. While nodes hold more than their limits, entries are of little use: it then earns less, by
    /// the part of the reads that is admitted. `load_is_known` says that health checks report what is in flight.
    pub fn earn(&mut self, admitted_part: f64, load_is_known: bool) {
        let factor = if load_is_known { admitted_part * LOAD_REPORT_FACTOR } else { 1.0 };
        let earned = self.earned_per_rpc * factor;
        self.available = (self.available + earned).min(self.earned_per_rpc * SAVED_RPCS);
    }

    /// A check that let a read go has paid for itself, and one left to another router was not made.
    pub fn refund(&mut self) {
        self.available += 1.0;
    }

    /// Pays for one check, if there is enough for it.
    fn spend(&mut self) -> bool {
        let is_enough = self.available >= 1.0;
        if is_enough {
            self.available -= 1.0;
        }
        is_enough
    }
}

/// What the end of a health check says of the node.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CheckResult {
    Answered,
    /// It failed at once, which does not count yet: it is made again.
    Inconclusive,
    Failed,
}

impl HealthCheckState {
    /// An error is an answer too. A check that fails at once is made again, until it is the third in a row: a link
    /// that loses some of all, or a router that alone fails to reach a node, would otherwise eject nodes that serve.
    fn result(&self, outcome: Outcome) -> CheckResult {
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => CheckResult::Answered,
            Outcome::TimedOut => CheckResult::Failed,
            _ if self.failed_in_row + 1 < MIN_FAILURES => CheckResult::Inconclusive,
            _ => CheckResult::Failed,
        }
    }

    /// How long an ejected node is left alone after its last check.
    fn retry_delay(&self, tightest_bound: Duration) -> Duration {
        let doublings = self.failed_in_row.saturating_sub(MIN_FAILURES - 1);
        tightest_bound / CHECKS_PER_BOUND * 2u32.pow(doublings)
    }
}

impl<H: Host> Router<H> {
    /// A check that was left to another router, whose observation will come, changes nothing.
    pub(crate) fn cancel_health_check(&mut self, node: NodeId) {
        if let Some(state) = self.nodes.get_mut(&node) {
            state.health_check.in_flight = false;
            self.health_check_budget.refund();
        }
    }

    /// Learns from the end of a health check: an answer clears the node, a failure ejects it and, if it is the primary,
    /// loses it.
    pub(crate) fn record_health_check(&mut self, now: Duration, node: NodeId, outcome: Outcome) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let result = state.health_check.result(outcome);
        state.health_check.in_flight = false;
        state.health_check.ended_at = now;
        if result == CheckResult::Answered {
            state.health.ejected = false;
            state.health.suspicion = 0.0;
            state.health_check.failed_in_row = 0;
            state.log.heard_at = Some(now);
            return self.detect_connection_shortage(now, node);
        }
        state.health_check.failed_in_row = (state.health_check.failed_in_row + 1).min(MAX_FAILURES);
        // What refused connects is down, and not short of them.
        state.refused_connects = 0;
        if result == CheckResult::Inconclusive {
            return self.check_health(node);
        }
        state.health.ejected = true;
        let replica_set = state.replica_set;
        self.lose_primary(now, replica_set, node);
    }

    /// Makes a health check, one at a time at a node and no more than have been earned. Where none are allowed, the
    /// next attempt is what tries an ejected node.
    pub(crate) fn check_health(&mut self, node: NodeId) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        if !self.config.health_checks {
            state.health.ejected = false;
            state.health.suspicion = 0.0;
        } else if !state.health_check.in_flight && self.health_check_budget.spend() {
            state.health_check.in_flight = true;
            self.host.start_health_check(node);
        }
    }

    /// After an attempt: an ejected node is checked at once.
    pub(crate) fn check_if_ejected(&mut self, node: NodeId) {
        if self.nodes.get(&node).is_some_and(|state| state.health.ejected) {
            self.check_health(node);
        }
    }

    /// Checks nodes on behalf of a read that none of them may answer yet, those not heard for half the tightest bound.
    /// With many routers most entries age unread, so none is checked for its age alone: one node after the other, or
    /// each router's part of the first checks where none has been heard yet.
    pub(crate) fn check_for_request(&mut self, now: Duration, mut nodes: Vec<NodeId>) {
        let freshness = self.config.tightest_bound / 2;
        let is_due = |node: &NodeState| node.log.heard_at.unwrap_or_default() + freshness <= now;
        nodes.retain(|node| self.nodes[node].is_open() && is_due(&self.nodes[node]));
        let is_checking = nodes.iter().any(|node| self.nodes[node].health_check.in_flight);
        let none_heard = nodes.iter().all(|node| self.nodes[node].log.heard_at.is_none());
        let initial = INITIAL_CHECKS_PER_NODE * nodes.len() as f64 / self.config.routers;
        let count = if none_heard { initial.ceil() as usize } else { usize::from(!is_checking) };
        let chosen: Vec<NodeId> = nodes.sample(&mut self.rng, count).copied().collect();
        for node in chosen {
            self.check_health(node);
        }
    }

    /// Periodic: ejected nodes are checked again, at a pace that halves with each failure past the second, and only
    /// once an RPC has looked for a node in their replica set since the last check: hundreds of routers would otherwise
    /// keep asking a dead node for which none of them has an RPC.
    pub(crate) fn check_ejected_nodes(&mut self, now: Duration) {
        let is_due = |node: &NodeState| {
            let check = &node.health_check;
            node.health.ejected
                && !node.draining
                && check.ended_at + check.retry_delay(self.config.tightest_bound) <= now
                && self.replica_sets[&node.replica_set].last_wanted >= check.ended_at
        };
        let due: Vec<NodeId> =
            self.nodes.iter().filter(|(_, state)| is_due(state)).map(|(node, _)| *node).collect();
        for node in due {
            self.check_health(node);
        }
    }
}
