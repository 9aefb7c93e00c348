//! The periodic work, and the one timer that drives both this work and the due times of the requests.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::host::{Host, ReplicaSetId, RpcId};
use crate::router::Router;

/// The periodic work runs this many times per tightest staleness bound, so that a health check is late only
/// by a fraction of it.
const ROUNDS_PER_BOUND: u32 = 8;
/// The shortest interval between two rounds of maintenance, per known node.
const MIN_MAINTENANCE_PER_NODE: Duration = Duration::from_millis(1);

/// When a pending request must be examined again. The entry of a finished request stays until its time has
/// come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueTime {
    pub at: Duration,
    pub rpc: RpcId,
}

/// When the periodic work last ran.
pub(crate) struct Maintenance {
    /// Last maintenance of all nodes.
    pub maintained_at: Duration,
    /// Last dispatch of all queued requests.
    pub dispatched_at: Duration,
    /// The earliest time for which the host's timer is set.
    pub timer_at: Option<Duration>,
}

/// When the periodic work is due next.
struct NextRounds {
    maintain_at: Duration,
    dispatch_at: Duration,
}

impl<H: Host> Router<H> {
    fn next_rounds(&self) -> NextRounds {
        let interval = self.config.tightest_bound / ROUNDS_PER_BOUND;
        let all_nodes = MIN_MAINTENANCE_PER_NODE * self.nodes.len() as u32;
        NextRounds {
            maintain_at: self.maintenance.maintained_at + interval.max(all_nodes),
            dispatch_at: self.maintenance.dispatched_at + interval,
        }
    }

    /// Runs the periodic work that is due.
    pub(crate) fn run_due_rounds(&mut self, now: Duration) {
        let next = self.next_rounds();
        if next.maintain_at <= now {
            self.run_maintenance(now);
        }
        if next.dispatch_at <= now {
            self.dispatch_all(now);
        }
    }

    /// Examines each request whose due time has come.
    pub(crate) fn run_due_requests(&mut self, now: Duration) {
        while let Some(due) = self.due.first().copied().filter(|due| due.at <= now) {
            self.due.remove(&due);
            self.process_due_request(now, due.rpc);
        }
    }

    /// The periodic work on all nodes, one call for each concern.
    pub(crate) fn run_maintenance(&mut self, now: Duration) {
        self.poll_endpoints(now);
        let elapsed_s = now.saturating_sub(self.maintenance.maintained_at).as_secs_f64();
        self.maintenance.maintained_at = now;
        self.refill_slow_start_budgets(now, elapsed_s);
        self.eject_unresponsive_nodes(now, elapsed_s);
        self.drop_replicated_tokens();
        self.forget_removed_nodes(now);
        self.check_ejected_nodes(now);
    }

    /// Dispatches all queued requests. Pauses end and budgets refill without an event, so this has to happen
    /// periodically.
    fn dispatch_all(&mut self, now: Duration) {
        self.maintenance.dispatched_at = now;
        let queued = self.pending.values().filter(|request| request.is_queued);
        let replica_sets: BTreeSet<ReplicaSetId> = queued.map(|request| request.rpc.replica_set).collect();
        for replica_set in replica_sets {
            self.dispatch(now, replica_set);
        }
    }

    /// Forgets a timer that was set for now or earlier, because it has fired.
    pub(crate) fn clear_timer(&mut self, now: Duration) {
        self.maintenance.timer_at = self.maintenance.timer_at.filter(|at| *at > now);
    }

    /// Sets the timer for the next periodic work or due time, unless a timer is set that fires by then.
    pub(crate) fn schedule_timer(&mut self, now: Duration) {
        let rounds = self.next_rounds();
        let round = if self.pending.is_empty() {
            rounds.maintain_at
        } else {
            rounds.maintain_at.min(rounds.dispatch_at)
        };
        let next = self.due.first().map_or(round, |due| round.min(due.at)).max(now);
        if self.maintenance.timer_at.is_none_or(|at| at > next) {
            self.maintenance.timer_at = Some(next);
            self.host.set_timer(next - now);
        }
    }
}
