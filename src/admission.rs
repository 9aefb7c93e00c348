//! Admission: which requests are admitted and which are shed. Also adds requests to the pending requests and
//! the wait queues.

use std::time::Duration;

use crate::freshness::MAX_FRESHNESS_WAIT;
use crate::host::{Host, Rpc, RpcId};
use crate::maintenance::DueTime;
use crate::pending_request::PendingRequest;
use crate::router::Router;

/// While the root utilization is above 1, the admitted fraction of the reads is 1 / this power of it, which
/// is the fourth power of in flight / limit.
const SHED_EXPONENT: i32 = 8;

impl<H: Host> Router<H> {
    /// When the latency objective of an arriving request ends. It is counted from the request's first try, so
    /// that a late retry does not displace first tries. If clients do not mark retries, a retry is recognized
    /// by its shorter wait. None for an unknown method.
    pub(crate) fn objective_end(&mut self, now: Duration, rpc: &Rpc) -> Option<Duration> {
        let method = self.methods.get_mut(rpc.method.0)?;
        let has_first_try_wait = method.first_try_wait.count_vote(rpc.remaining, method.deadline);
        let is_first_try = if self.config.clients_mark_retries { !rpc.is_retry } else { has_first_try_wait };
        let time_left = if is_first_try { method.deadline } else { rpc.remaining };
        let since_first_try = method.deadline.saturating_sub(time_left);
        Some((now + method.latency_objective).saturating_sub(since_first_try))
    }

    /// The fraction of the reads that is admitted, 0 to 1, according to the root utilization that nodes
    /// report. The reports show an overload that all routers cause together before this router's own response
    /// times show it.
    pub(crate) fn admitted_fraction(&self) -> f64 {
        1.0 / self.fleet_load.root_utilization().powi(SHED_EXPONENT).max(1.0)
    }

    /// Keeps the request until it has its final response.
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

    /// Adds a request to the wait queue of its replica set.
    pub(crate) fn enqueue(&mut self, now: Duration, id: RpcId) {
        let Some(request) = self.pending.get_mut(&id) else { return };
        request.is_queued = true;
        self.replica_sets.entry(request.rpc.replica_set).or_default().queue.insert(request);
        let request = &self.pending[&id];
        let next = self.send_useful_until(request).min(request.arrived + MAX_FRESHNESS_WAIT).max(now);
        self.due.insert(DueTime { at: next, rpc: id });
    }

    /// Removes a request from its wait queue.
    pub(crate) fn dequeue(&mut self, id: RpcId) {
        let Some(request) = self.pending.get_mut(&id) else { return };
        request.is_queued = false;
        if let Some(replica_set) = self.replica_sets.get_mut(&request.rpc.replica_set) {
            replica_set.queue.remove(request);
        }
    }
}
