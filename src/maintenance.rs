//! The periodic work and the one timer that drives it and the requests' due times.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::host::{Host, ReplicaSetId, RpcId};
use crate::router::Router;

/// Periodic work is done so often in the tightest staleness bound: a health check is then late by little.
const ROUNDS_PER_BOUND: u32 = 8;
/// The least time between two rounds of maintenance for each node that they go through.
const MIN_MAINTENANCE_PER_NODE: Duration = Duration::from_millis(1);

/// When a pending request is to be looked at. Those that are over stay until their time comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueTime {
    pub at: Duration,
    pub rpc: RpcId,
}

/// When the periodic work was last done.
pub(crate) struct Maintenance {
    /// Maintenance of all nodes.
    pub nodes_at: Duration,
    /// Dispatch of all queued requests.
    pub dispatch_at: Duration,
    /// The earliest time for which the host's timer is set.
    pub timer_at: Option<Duration>,
}

/// When the periodic work is due next.
struct NextRounds {
    nodes_at: Duration,
    dispatch_at: Duration,
}

impl<H: Host> Router<H> {
    fn next_rounds(&self) -> NextRounds {
        let interval = self.config.tightest_bound / ROUNDS_PER_BOUND;
        let all_nodes = MIN_MAINTENANCE_PER_NODE * self.nodes.len() as u32;
        NextRounds {
            nodes_at: self.maintenance.nodes_at + interval.max(all_nodes),
            dispatch_at: self.maintenance.dispatch_at + interval,
        }
    }

    /// Does the periodic work that is due.
    pub(crate) fn run_due_rounds(&mut self, now: Duration) {
        let next = self.next_rounds();
        if next.nodes_at <= now {
            self.maintain(now);
        }
        if next.dispatch_at <= now {
            self.dispatch_all(now);
        }
    }

    /// Looks at each request whose due time has come.
    pub(crate) fn run_due_requests(&mut self, now: Duration) {
        while let Some(due) = self.due.first().copied().filter(|due| due.at <= now) {
            self.due.remove(&due);
            self.request_due(now, due.rpc);
        }
    }

    /// The periodic work on all nodes, one call a concern.
    pub(crate) fn maintain(&mut self, now: Duration) {
        self.poll_endpoints(now);
        let elapsed_s = now.saturating_sub(self.maintenance.nodes_at).as_secs_f64();
        self.maintenance.nodes_at = now;
        self.refill_slow_start_budgets(now, elapsed_s);
        self.eject_silent_nodes(now, elapsed_s);
        self.drop_passed_tokens();
        self.forget_removed_nodes(now);
        self.check_ejected_nodes(now);
    }

    /// Rests end, and budgets and health checks are earned, without an event: so all that waits is dispatched now and
    /// then.
    fn dispatch_all(&mut self, now: Duration) {
        self.maintenance.dispatch_at = now;
        let queued = self.pending.values().filter(|request| request.is_queued);
        let replica_sets: BTreeSet<ReplicaSetId> = queued.map(|request| request.rpc.replica_set).collect();
        for replica_set in replica_sets {
            self.dispatch(now, replica_set);
        }
    }

    /// The timer that was set for now or earlier has fired.
    pub(crate) fn clear_timer(&mut self, now: Duration) {
        self.maintenance.timer_at = self.maintenance.timer_at.filter(|at| *at > now);
    }

    /// Sets the timer for the next periodic work or due time, if none is set that fires by then.
    pub(crate) fn schedule_timer(&mut self, now: Duration) {
        let rounds = self.next_rounds();
        let round =
            if self.pending.is_empty() { rounds.nodes_at } else { rounds.nodes_at.min(rounds.dispatch_at) };
        let next = self.due.first().map_or(round, |due| round.min(due.at)).max(now);
        if self.maintenance.timer_at.is_none_or(|at| at > next) {
            self.maintenance.timer_at = Some(next);
            self.host.set_timer(next - now);
        }
    }
}
