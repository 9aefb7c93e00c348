//! RPCs: their arrival, their attempts, and how these end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint::host::{AttemptEnd, LoadReport, MethodId, NodeId, Outcome, Role, Rpc, RpcId};

use super::Engine;
use super::command::{AttemptCommand, NodeResponse, RpcCommand};
use super::host::PendingRpc;
use super::observations::{ObservationSource, ObservedState};
use super::pending_response::PendingResponse;
use crate::statement::Statement;

impl Engine {
    /// Takes an RPC on. It is pending until its final response, or until what is returned is dropped.
    ///
    /// None where its time is over, which runs from `received`, when its last byte came. `last_commit` is the last
    /// commit that its connection knows of for its session.
    pub fn rpc_arrived(
        self: &Rc<Self>,
        method: MethodId,
        statement: &Statement,
        received: Instant,
        last_commit: Option<Duration>,
    ) -> Option<PendingResponse> {
        let now = self.clock.now();
        let time_to_shutdown =
            self.shutdown_deadline.get().map_or(Duration::MAX, |deadline| deadline.saturating_sub(now));
        let deadline = self.methods.get(method).deadline;
        let wait = statement.remaining.min(deadline).saturating_sub(received.elapsed());
        let remaining = wait.min(time_to_shutdown);
        // Its own time alone: an RPC that the shutdown cuts short is handed over, and so rejected with Retry-After.
        if wait.is_zero() {
            return None;
        }
        let (commands, command_receiver) = async_channel::unbounded();
        let id = self.next_rpc_id();
        let replica_set = statement.replica_set;
        self.refresh_observations(replica_set);
        let deadline = now + remaining;
        let pending = PendingRpc { commands, replica_set, deadline, attempts: 0, last_outcome: None };
        self.host.pending.borrow_mut().insert(id, pending);
        self.admit(id, method, statement, remaining, last_commit);
        Some(PendingResponse::new(Rc::clone(self), id, command_receiver))
    }

    /// Counted here: a client's own id could come twice, and must not mix up two RPCs.
    fn next_rpc_id(&self) -> RpcId {
        let id = RpcId(self.next_rpc.get());
        self.next_rpc.set(id.0 + 1);
        id
    }

    /// Hands an RPC to the decisions.
    fn admit(
        &self,
        id: RpcId,
        method: MethodId,
        statement: &Statement,
        remaining: Duration,
        last_commit: Option<Duration>,
    ) {
        let has_sessions = self.methods.get(method).has_sessions;
        let last_write = statement.last_write.max(last_commit);
        // By the time that the decisions read too: with a later one, the write would lie past its commit.
        self.with_decisions(|decisions, now| {
            let rpc = Rpc {
                id,
                method,
                session: statement.session.filter(|_| has_sessions),
                replica_set: statement.replica_set,
                remaining,
                work: None,
                since_write: last_write.map(|at| now.saturating_sub(at)),
                is_retry: statement.retried,
            };
            decisions.rpc_arrived(now, rpc);
        });
    }

    pub(super) fn client_disconnected(&self, rpc: RpcId) {
        if self.host.remove(rpc).is_some() {
            self.with_decisions(|decisions, _| decisions.client_disconnected(rpc));
        }
    }

    /// Whether an attempt may be written, or more of it.
    pub fn permits_attempt(&self, attempt: &AttemptCommand) -> bool {
        let is_pending = self.host.pending.borrow().contains_key(&attempt.rpc);
        is_pending
            && self.decisions.borrow_mut().permits_attempt(self.clock.now(), attempt.rpc, attempt.number)
    }

    /// An attempt has ended; its RPC may be over by then.
    pub fn attempt_ended(&self, attempt: AttemptCommand, outcome: Outcome, response: NodeResponse) {
        self.record_attempt_end(attempt, outcome, response);
        // Ends what the call above commanded and cannot be made.
        self.with_decisions(|_, _| ());
    }

    /// Records the end of an attempt; the caller ends what this commanded and cannot be made.
    pub(super) fn record_attempt_end(
        &self,
        attempt: AttemptCommand,
        mut outcome: Outcome,
        response: NodeResponse,
    ) {
        let AttemptCommand { rpc, number, node, started, .. } = attempt;
        let NodeResponse { answer, role, position, report } = response;
        let now = self.clock.now();
        if outcome == Outcome::Ok && !self.decisions.borrow().permits_response(now, rpc, number, position) {
            log::debug!("{}: an answer that does not show that it is fresh", node.0);
            outcome = Outcome::Malformed;
        }
        if let Some(answer) = answer.filter(|_| outcome == Outcome::Ok) {
            // The first answer goes to the client without asking the decisions again.
            self.host.finish(rpc, |_| RpcCommand::Answer { answer, position });
        }
        let rpc_finished = !self.record_outcome(rpc, outcome);
        let took = now.saturating_sub(started);
        let end =
            AttemptEnd { rpc, attempt: number, node, outcome, rpc_finished, took, role, position, report };
        self.decisions.borrow_mut().attempt_ended(now, end);
        self.share_attempt(node, started, role, position, report);
    }

    /// Notes how an attempt ended with its RPC. False where the RPC is over.
    fn record_outcome(&self, rpc: RpcId, outcome: Outcome) -> bool {
        match self.host.pending.borrow_mut().get_mut(&rpc) {
            Some(pending) => {
                pending.last_outcome = Some(outcome);
                true
            }
            None => false,
        }
    }

    /// Shares what an attempt's response says of its node.
    fn share_attempt(
        &self,
        node: NodeId,
        started: Duration,
        role: Option<Role>,
        position: Option<Duration>,
        report: Option<LoadReport>,
    ) {
        // Stands for `COMMIT_ROUNDING` of the decisions: nodes round a commit time up to a millisecond, so that as a
        // position it is shared a millisecond lower.
        let committed = position.map(|at| at.saturating_sub(Duration::from_millis(1)));
        let position = committed.max(report.and_then(|report| report.position));
        if position.is_none() && role.is_none() {
            return;
        }
        let primary = role.map(|role| role == Role::Primary);
        let queued = report.and_then(|report| report.queued);
        let observed = ObservedState { position, primary, queued };
        self.share(node, started, ObservationSource::Attempt, observed);
    }

    /// A health check that was begun at `requested_at` has ended, with the node's load report if it gave one.
    pub fn health_check_ended(
        &self,
        node: NodeId,
        requested_at: Duration,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.with_decisions(|decisions, now| decisions.health_check_ended(now, node, outcome, report));
        let failed = !matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let LoadReport { position, primary, queued, .. } = report.filter(|_| !failed).unwrap_or_default();
        let observed = ObservedState { position, primary, queued };
        self.share(node, requested_at, ObservationSource::HealthCheck { failed }, observed);
    }
}
