//! Admission: which request is admitted, queued or shed, and in what order the wait queue is served.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::balancing::RoutingChoice;
use crate::freshness::FRESHNESS_WAIT;
use crate::host::{Host, MethodId, ReplicaSetId, Rpc, RpcId};
use crate::maintenance::DueTime;
use crate::pending_request::PendingRequest;
use crate::router::Router;
use crate::wait_queue::{AttemptStage, QueueHead};

/// Past a root utilization of 1, reads are admitted by 1 / this power of it, which is the fourth power of
/// in flight / limit.
const SHED_POWER: i32 = 8;
/// The least work that a method's value is divided by, in seconds.
const MIN_WORK_S: f64 = 1e-4;

impl<H: Host> Router<H> {
    /// When the latency objective of a request ends that just arrived, counted from its first try: a retry that came
    /// late must not crowd out first tries. Where clients mark nothing, a retry is told by its wait. None for an unknown
    /// method.
    pub(crate) fn objective_end(&mut self, now: Duration, rpc: &Rpc) -> Option<Duration> {
        let method = self.methods.get_mut(rpc.method.0)?;
        let waits_like_first_try = method.first_try_wait.count(rpc.remaining, method.deadline);
        let is_first_try = if self.config.clients_mark_retries { !rpc.retried } else { waits_like_first_try };
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
    pub(crate) fn admit(&mut self, now: Duration, rpc: Rpc, objective_at: Duration) {
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
        let next = self.send_useful_until(request).min(request.arrived + FRESHNESS_WAIT).max(now);
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

    /// Sends what waits in a replica set: first attempts before retries, then by value for the work, then the newest.
    /// A method whose first request finds no node is passed over.
    pub(crate) fn dispatch(&mut self, now: Duration, replica_set: ReplicaSetId) {
        for stage in [AttemptStage::First, AttemptStage::Retry] {
            let mut blocked = BTreeSet::new();
            while let Some(head) = self.next_queued(replica_set, stage, &blocked) {
                self.replica_sets.entry(replica_set).or_default().last_wanted = now;
                match self.choose_node(now, head.entry.rpc) {
                    RoutingChoice::Send(node) => self.send(now, head.entry.rpc, node),
                    RoutingChoice::Reject => self.finish(head.entry.rpc, FRESHNESS_WAIT),
                    RoutingChoice::Wait => {
                        blocked.insert(head.method);
                    }
                }
            }
        }
    }

    /// The request that is served next at this stage.
    fn next_queued(
        &self,
        replica_set: ReplicaSetId,
        stage: AttemptStage,
        blocked: &BTreeSet<MethodId>,
    ) -> Option<QueueHead> {
        let heads = self.replica_sets.get(&replica_set)?.queue.heads(stage);
        let heads = heads.filter(|head| !blocked.contains(&head.method));
        heads.max_by_key(|head| (self.rank(head.method), head.entry))
    }

    /// A method's value for its work, in steps of two: methods of about equal value go by time left.
    fn rank(&self, method: MethodId) -> i32 {
        let method = &self.methods[method.0];
        (method.priority_weight / method.answer_time.shortest_s.max(MIN_WORK_S)).log2().round() as i32
    }

    /// A due time of the request has come: it ends, or is looked at again.
    pub(crate) fn request_due(&mut self, now: Duration, id: RpcId) {
        let Some(request) = self.pending.get(&id) else { return };
        let ends_at = request.deadline.saturating_sub(self.config.tick);
        let next = if request.is_queued { self.send_useful_until(request).min(ends_at) } else { ends_at };
        if now >= next {
            return self.finish(id, self.config.max_retry_after);
        }
        self.due.insert(DueTime { at: next, rpc: id });
        self.dispatch(now, request.rpc.replica_set);
    }
}
