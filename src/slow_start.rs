//! Slow start: how much work all routers together may send to a recently started node.
//!
//! Such a node earns a budget of work at a constant rate. It may be sent requests while its budget is not
//! negative; each attempt costs the baseline response time of its method. Work is measured in seconds of
//! response time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::host::{Host, NodeId, Outcome, ValueMap};
use crate::method::heaviest_work;
use crate::router::Router;

/// Seconds over which the work rate of a node is averaged.
const WORK_RATE_WINDOW_S: f64 = 2.0;
/// What all routers together may always send to a warming node in an overload window, in attempts of the
/// heaviest method. With less, a node would never warm up if no other node of its machine type has shown its
/// capacity.
const MIN_ATTEMPTS_PER_WINDOW: f64 = 4.0;
/// At most the budget of an overload window / this is saved up: more would cause a burst at the node.
const SAVED_WINDOW_DIVISOR: f64 = 4.0;
/// The cost of an assigned health check to a warming node, as a fraction of the heaviest method's work.
const HEALTH_CHECK_WORK: f64 = 0.1;

/// The deployment's limits on the load of recently started nodes.
pub(crate) struct SlowStartConfig {
    /// Time from a node's start until it has its full capacity.
    pub duration: Duration,
    /// The fraction of its capacity that a node has at its start.
    pub initial_capacity: f64,
    /// A warming node may be sent this multiple of the load that it can carry.
    pub overload_multiple: f64,
    /// The window, in seconds, over which the load is measured.
    pub overload_window_s: f64,
}

impl SlowStartConfig {
    pub fn new(values: &ValueMap) -> Self {
        let window = values.duration("rules.overload_window").unwrap_or(Duration::from_millis(1000));
        Self {
            duration: values.duration("rules.slow_start_duration").unwrap_or_default(),
            initial_capacity: values.number("rules.slow_start_initial_capacity").unwrap_or(1.0),
            overload_multiple: values.number("rules.overload_multiple").unwrap_or(1.0),
            overload_window_s: window.as_secs_f64(),
        }
    }

    /// The fraction of its capacity that a node is guaranteed to have, from the initial capacity to 1. A node
    /// with an unknown start has all of it.
    fn capacity_fraction(&self, now: Duration, started: Option<Duration>) -> f64 {
        let age = started.map_or(self.duration, |at| now.saturating_sub(at)).min(self.duration);
        let progress = if age == self.duration { 1.0 } else { age.div_duration_f64(self.duration) };
        self.initial_capacity + (1.0 - self.initial_capacity) * progress
    }
}

/// The slow-start state of one node.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Seconds of work per second that the node has completed for this router.
    pub work_rate: f64,
    /// The fraction of its capacity that the node is guaranteed to have, from the initial capacity to 1; 0
    /// until the first maintenance.
    pub capacity_fraction: f64,
    /// Seconds of response time that may be sent while `capacity_fraction` is below 1; a negative budget must
    /// first be earned back.
    pub budget_s: f64,
}

impl SlowStart {
    /// Whether the capacity fraction is still 0. This applies to a new node until the next maintenance, and
    /// to a node with an initial capacity of 0 whose age was 0 at the last maintenance. Both are restarted
    /// when the list names them.
    pub fn has_no_capacity_yet(&self) -> bool {
        self.capacity_fraction == 0.0
    }

    /// Whether an attempt may be sent: the node is warm, or its budget is not negative.
    pub fn permits_attempt(&self) -> bool {
        self.capacity_fraction >= 1.0 || self.budget_s >= 0.0
    }
}

/// Work rates of all nodes of one machine type.
#[derive(Clone, Copy, Default)]
struct WorkRateSum {
    sum: f64,
    nodes: f64,
}

impl<H: Host> Router<H> {
    /// A new process has started at the node, so what was known about the old one no longer applies. The
    /// budget starts with a random debt of up to the work of the heaviest method; otherwise all routers would
    /// send their first attempts to the node at the same moment.
    pub(crate) fn restart_node(&mut self, node: NodeId, started: Option<Duration>) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let max_debt_s = heaviest_work(&self.methods);
        state.slow_start.budget_s = -max_debt_s * self.rng.random_range(0.0..1.0);
        state.health.ejected = false;
        state.health.overdue_responses = 0.0;
        state.health_check.failed_in_row = 0;
        state.log.position = None;
        state.log.observed_position = None;
        state.started = state.started.max(started);
    }

    /// Another router has observed a new start of the node. It is warming up from now on, not only from the
    /// next maintenance on.
    pub(crate) fn record_peer_start(&mut self, now: Duration, node: NodeId, started: Option<Duration>) {
        let known = self.nodes.get(&node).and_then(|state| state.started);
        if started > known && started <= Some(now) {
            self.restart_node(node, started);
            self.run_maintenance(now);
        }
    }

    /// Periodic: updates each node's capacity fraction and budget after `elapsed_s` seconds. A warming node
    /// earns the mean work rate of the nodes of its machine type for this router, times its capacity fraction
    /// and the overload multiple. Summed over all routers, that mean is the average load of a node, which is
    /// below a node's capacity.
    pub(crate) fn refill_slow_start_budgets(&mut self, now: Duration, elapsed_s: f64) {
        let rate_sums = self.work_rates_by_machine_type();
        let heaviest = heaviest_work(&self.methods);
        let config = &self.config.slow_start;
        let window_s = config.overload_window_s;
        let min_rate = MIN_ATTEMPTS_PER_WINDOW * heaviest / window_s / self.config.routers;
        for node in self.nodes.values_mut() {
            let slow_start = &mut node.slow_start;
            slow_start.work_rate *= (-elapsed_s / WORK_RATE_WINDOW_S).exp();
            slow_start.capacity_fraction = config.capacity_fraction(now, node.started);
            let rate_sum =
                rate_sums.get(&node.machine_type).copied().unwrap_or(WorkRateSum { sum: 0.0, nodes: 1.0 });
            let mean = rate_sum.sum / rate_sum.nodes;
            let rate = (mean * slow_start.capacity_fraction * config.overload_multiple).max(min_rate);
            let max_saved = rate * window_s / SAVED_WINDOW_DIVISOR;
            slow_start.budget_s = (slow_start.budget_s + rate * elapsed_s).min(max_saved);
        }
    }

    fn work_rates_by_machine_type(&self) -> BTreeMap<usize, WorkRateSum> {
        let mut rate_sums: BTreeMap<usize, WorkRateSum> = BTreeMap::new();
        for node in self.nodes.values().filter(|node| node.is_routable()) {
            let rate_sum = rate_sums.entry(node.machine_type).or_default();
            rate_sum.sum += node.slow_start.work_rate;
            rate_sum.nodes += 1.0;
        }
        rate_sums
    }

    /// A successful attempt adds its work, in seconds, to the node's work rate.
    pub(crate) fn record_work(&mut self, node: NodeId, work_s: f64, outcome: Outcome) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        if outcome == Outcome::Ok {
            state.slow_start.work_rate += work_s / WORK_RATE_WINDOW_S;
        }
    }

    /// An assigned health check also costs the node work.
    pub(crate) fn charge_assigned_health_check(&mut self, node: NodeId) {
        let heaviest = heaviest_work(&self.methods);
        if let Some(state) = self.nodes.get_mut(&node) {
            state.slow_start.budget_s -= HEALTH_CHECK_WORK * heaviest;
        }
    }
}
