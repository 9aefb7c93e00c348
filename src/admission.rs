//! Admission: which requests are admitted or shed, and their place among the pending and the queued ones.

use std::time::Duration;

use crate::freshness::MAX_FRESHNESS_WAIT;
use crate::host::{Host, Rpc, RpcId};
use crate::maintenance::DueTime;
use crate::pending_request::PendingRequest;
use crate::router::Router;

/// Past a root utilization of 1, reads are admitted by 1 / this power of it, which is the fourth power of
/// in flight / limit.
const SHED_POWER: i32 = 8;

impl<H: Host> Router<H> {
    /// When the latency objective of an arriving request ends, counted from its first try: a late retry must not crowd
    /// out first tries. A client that marks nothing shows a retry by a shorter wait. None for an unknown method.
    pub(crate) fn objective_end(&mut self, now: Duration, rpc: &Rpc) -> Option<Duration> {
        let method = self.methods.get_mut(rpc.method.0)?;
        let waits_like_first_try = method.first_try_wait.count(rpc.remaining, method.deadline);
        let is_first_try =
            if self.config.clients_mark_retries { !rpc.is_retry } else { waits_like_first_try };
        let left = if is_first_try { method.deadline } else { rpc.remaining };
        let since_first_try = method.deadline.saturating_sub(left);
        Some((now + method.latency_objective).saturating_sub(since_first_try))
    }

    /// The part of the reads that is admitted, 0 to 1, by the root utilization that nodes report. All routers add to an
    /// overload before their own answers tell of it.
    pub(crate) fn admitted_part(&self) -> f64 {
        1.0 / self.fleet_load.root_utilization().powi(SHED_POWER).max(1.0)
    }

    /// Keeps the request until it has its final answer.
    pub(crate) fn track_pending(&mut self, now: Duration, rpc: Rpc, objective_at: Duration) {
        let request = PendingRequest {
            objective_at,
            deadline: now + rpc.remaining,
            arrived: now,
            session_token: rpc.since_write.map(|since| now.saturating_sub(since)),
            attempts: Vec::new(),
            is_queued: false,
            rpc,
        };
        self.pending.insert(request.rpc.id, request);
    }

    /// Puts a request into the wait queue of its replica set.
    pub(crate) fn enqueue(&mut self, now: Duration, id: RpcId) {
        let Some(request) = self.pending.get_mut(&id) else { return };
        request.is_queued = true;
        self.replica_sets.entry(request.rpc.replica_set).or_default().queue.insert(request);
        let request = &self.pending[&id];
        let next = self.send_useful_until(request).min(request.arrived + MAX_FRESHNESS_WAIT).max(now);
        self.due.insert(DueTime { at: next, rpc: id });
    }

    /// Takes a request out of its wait queue.
    pub(crate) fn dequeue(&mut self, id: RpcId) {
        let Some(request) = self.pending.get_mut(&id) else { return };
        request.is_queued = false;
        if let Some(replica_set) = self.replica_sets.get_mut(&request.rpc.replica_set) {
            replica_set.queue.remove(request);
        }
    }
}
