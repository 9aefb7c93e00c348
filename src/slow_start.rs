//! Slow start: what a node that has just started may be sent, by all routers together.
//!
//! Such a node earns a budget of work evenly over time. It is sent to while it owes nothing; each attempt costs the
//! shortest answer time of its method. Work is in seconds of answer time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::host::{Host, NodeId, Outcome, ValueMap};
use crate::method::heaviest_work;
use crate::router::Router;

/// Seconds over which the work rate of a node is averaged.
const WORK_RATE_WINDOW_S: f64 = 2.0;
/// The least that all routers together may send to a warming node in an overload window, in attempts of the heaviest
/// method: with less, a node that no other of its kind has shown the strength of would never warm up.
const MIN_ATTEMPTS_PER_WINDOW: f64 = 4.0;
/// Budget of an overload window / this may be saved up: more would be a burst at the node.
const SAVED_WINDOW_DIVISOR: f64 = 4.0;
/// What an assigned health check costs a warming node, as a part of the heaviest method's work.
const HEALTH_CHECK_WORK: f64 = 0.1;

/// The promise towards nodes that have just started.
pub(crate) struct SlowStartConfig {
    /// Time from a node's start until it has its whole capacity.
    pub duration: Duration,
    /// The part of its capacity that it has at its start.
    pub initial_capacity: f64,
    /// How many times the load that it can carry may be sent to it.
    pub overload_multiple: f64,
    /// Seconds over which that is counted.
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

    /// The part of its capacity that a node surely has, from the initial capacity to 1. A node whose start is not known
    /// has all of it.
    fn capacity_fraction(&self, now: Duration, started: Option<Duration>) -> f64 {
        let age = started.map_or(self.duration, |at| now.saturating_sub(at)).min(self.duration);
        let part = if age == self.duration { 1.0 } else { age.div_duration_f64(self.duration) };
        self.initial_capacity + (1.0 - self.initial_capacity) * part
    }
}

/// The slow start of one node.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Seconds of work answered a second, for this router.
    pub work_rate: f64,
    /// The part of its capacity that it surely has, from the initial capacity to 1; 0 until the first maintenance.
    pub capacity_fraction: f64,
    /// Seconds of answer time that it may be sent while `capacity_fraction` is below 1; below zero it owes.
    pub budget_s: f64,
}

impl SlowStart {
    /// Whether its fraction is still 0: that of a new node until the next maintenance, and that of a node whose initial
    /// capacity is 0, if its age was 0 at the last maintenance. Either is restarted when the list names it.
    pub fn has_no_capacity_yet(&self) -> bool {
        self.capacity_fraction == 0.0
    }

    /// Whether the node may be sent to: it is warm, or owes nothing.
    pub fn permits_attempt(&self) -> bool {
        self.capacity_fraction >= 1.0 || self.budget_s >= 0.0
    }
}

/// Work rates of all nodes of one kind.
#[derive(Clone, Copy, Default)]
struct WorkRateSum {
    sum: f64,
    nodes: f64,
}

impl<H: Host> Router<H> {
    /// A new process at a node: what was known of the old one is void. It owes a part of the heaviest work, drawn by
    /// chance, or all routers would send their first attempts to it at the same moment.
    pub(crate) fn restart_node(&mut self, node: NodeId, started: Option<Duration>) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let most_debt_s = heaviest_work(&self.methods);
        state.slow_start.budget_s = -most_debt_s * self.rng.random_range(0.0..1.0);
        state.health.ejected = false;
        state.health.suspicion = 0.0;
        state.health_check.failed_in_row = 0;
        state.log.position = None;
        state.log.observed_position = None;
        state.started = state.started.max(started);
    }

    /// Another router has observed a new start of the node. It is warming up from now on, and not from the next
    /// maintenance on.
    pub(crate) fn note_peer_start(&mut self, now: Duration, node: NodeId, started: Option<Duration>) {
        let known = self.nodes.get(&node).and_then(|state| state.started);
        if started > known && started <= Some(now) {
            self.restart_node(node, started);
            self.maintain(now);
        }
    }

    /// Periodic: each node's capacity fraction and budget after `elapsed_s` seconds. A warming node earns what nodes of
    /// its kind carry in the mean for this router, times its capacity fraction and the overload multiple. The sum over
    /// all routers is then the mean load of a node, which lies under what a node could do.
    pub(crate) fn refill_slow_start_budgets(&mut self, now: Duration, elapsed_s: f64) {
        let kinds = self.work_rates_by_kind();
        let heaviest = heaviest_work(&self.methods);
        let config = &self.config.slow_start;
        let window_s = config.overload_window_s;
        let least = MIN_ATTEMPTS_PER_WINDOW * heaviest / window_s / self.config.routers;
        for node in self.nodes.values_mut() {
            let slow_start = &mut node.slow_start;
            slow_start.work_rate *= (-elapsed_s / WORK_RATE_WINDOW_S).exp();
            slow_start.capacity_fraction = config.capacity_fraction(now, node.started);
            let kind = kinds.get(&node.machine_type).copied().unwrap_or(WorkRateSum { sum: 0.0, nodes: 1.0 });
            let mean = kind.sum / kind.nodes;
            let rate = (mean * slow_start.capacity_fraction * config.overload_multiple).max(least);
            let most_saved = rate * window_s / SAVED_WINDOW_DIVISOR;
            slow_start.budget_s = (slow_start.budget_s + rate * elapsed_s).min(most_saved);
        }
    }

    fn work_rates_by_kind(&self) -> BTreeMap<usize, WorkRateSum> {
        let mut kinds: BTreeMap<usize, WorkRateSum> = BTreeMap::new();
        for node in self.nodes.values().filter(|node| node.is_open()) {
            let kind = kinds.entry(node.machine_type).or_default();
            kind.sum += node.slow_start.work_rate;
            kind.nodes += 1.0;
        }
        kinds
    }

    /// An attempt that went through adds its work, in seconds, to the node's work rate.
    pub(crate) fn record_work(&mut self, node: NodeId, work_s: f64, outcome: Outcome) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        if outcome == Outcome::Ok {
            state.slow_start.work_rate += work_s / WORK_RATE_WINDOW_S;
        }
    }

    /// An assigned health check is work for the node too.
    pub(crate) fn charge_assigned_health_check(&mut self, node: NodeId) {
        let heaviest = heaviest_work(&self.methods);
        if let Some(state) = self.nodes.get_mut(&node) {
            state.slow_start.budget_s -= HEALTH_CHECK_WORK * heaviest;
        }
    }
}
