//! Dispatch: the order in which the wait queue of a replica set is served, and when a pending request is
//! examined again.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::balancing::RoutingChoice;
use crate::freshness::MAX_FRESHNESS_WAIT;
use crate::host::{Host, MethodId, ReplicaSetId, RpcId};
use crate::maintenance::DueTime;
use crate::router::Router;
use crate::wait_queue::{AttemptStage, QueueHead};

/// Lower bound, in seconds, of a method's work when its value per work is computed.
const MIN_WORK_S: f64 = 1e-4;

impl<H: Host> Router<H> {
    /// Sends the queued requests of a replica set: first attempts before retries, then by value per work,
    /// then the newest first. If no node can take the first request of a method, the rest of that method is
    /// skipped.
    pub(crate) fn dispatch(&mut self, now: Duration, replica_set: ReplicaSetId) {
        for stage in [AttemptStage::First, AttemptStage::Retry] {
            let mut blocked = BTreeSet::new();
            while let Some(head) = self.next_queued(replica_set, stage, &blocked) {
                self.replica_sets.entry(replica_set).or_default().last_lookup_at = now;
                match self.choose_node(now, head.entry.rpc) {
                    RoutingChoice::Send(node) => self.send(now, head.entry.rpc, node),
                    RoutingChoice::Reject => self.finish(head.entry.rpc, MAX_FRESHNESS_WAIT),
                    RoutingChoice::Wait => {
                        blocked.insert(head.method);
                    }
                }
            }
        }
    }

    /// The request to serve next at this stage.
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

    /// A method's value per work, rounded to a power of two, so that between methods of similar value the
    /// time left decides.
    fn rank(&self, method: MethodId) -> i32 {
        let method = &self.methods[method.0];
        (method.priority_weight / method.response_time.baseline_s.max(MIN_WORK_S)).log2().round() as i32
    }

    /// Handles a due time of the request: finishes it, or tries to send it again.
    pub(crate) fn process_due_request(&mut self, now: Duration, id: RpcId) {
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
