//! RPC events: arrivals, attempts, health checks, and their ends.

use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint::host::{AttemptEnd, LoadReport, MethodId, NodeId, Outcome, Role, Rpc, RpcId};

use super::Engine;
use super::command::{AttemptCommand, NodeResponse, RpcCommand};
use super::command_queue::command_queue;
use super::host::PendingRpc;
use super::observations::{ObservationSource, ObservedState};
use super::pending_response::PendingResponse;
use crate::statement::Statement;

impl Engine {
    /// Admits an RPC. It is pending until its final response, or until the returned value is dropped.
    ///
    /// Returns `None` if its deadline, which counts from `received`, the arrival of its last byte, has
    /// passed. `last_commit` is the last commit of the RPC's session that its connection knows of.
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
        let max_wait = self.methods.get(method).deadline;
        let wait = statement.remaining.min(max_wait).saturating_sub(received.elapsed());
        let remaining = wait.min(time_to_shutdown);
        // Considers the RPC's own time alone. One that the shutdown cuts short is passed to the decisions,
        // which reject it with Retry-After.
        if wait.is_zero() {
            return None;
        }
        let (commands, command_receiver) = command_queue();
        let id = self.next_rpc_id();
        let replica_set = statement.replica_set;
        self.refresh_observations(replica_set);
        let deadline = now + remaining;
        let pending = PendingRpc { commands, replica_set, deadline, attempts: 0, last_outcome: None };
        self.host.pending.borrow_mut().insert(id, pending);
        self.admit(id, method, statement, remaining, last_commit);
        Some(PendingResponse::new(Rc::clone(self), id, command_receiver))
    }

    /// Numbers RPCs in the router, since clients could use the same id for two RPCs.
    fn next_rpc_id(&self) -> RpcId {
        let id = RpcId(self.next_rpc_number.get());
        self.next_rpc_number.set(id.0 + 1);
        id
    }

    /// Passes an RPC to the decisions.
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
        // Relative to the same `now` that the decisions get: with a later one, the write would appear older
        // than it is.
        self.with_decisions(|decisions, now| {
            let rpc = Rpc {
                id,
                method,
                session: statement.session.filter(|_| has_sessions),
                replica_set: statement.replica_set,
                remaining,
                work: None,
                since_write: last_write.map(|at| now.saturating_sub(at)),
                is_retry: statement.is_retry,
            };
            decisions.rpc_arrived(now, rpc);
        });
    }

    pub(super) fn client_disconnected(&self, rpc: RpcId) {
        if self.host.remove(rpc).is_some() {
            self.with_decisions(|decisions, _| decisions.client_disconnected(rpc));
        }
    }

    /// Whether an attempt's statement, or the rest of it, may be written to the node.
    pub fn permits_attempt(&self, attempt: &AttemptCommand) -> bool {
        let is_pending = self.host.pending.borrow().contains_key(&attempt.rpc);
        is_pending
            && self.decisions.borrow_mut().permits_attempt(self.clock.now(), attempt.rpc, attempt.number)
    }

    /// Reports the end of an attempt. Its RPC may have ended before.
    pub fn attempt_ended(&self, attempt: AttemptCommand, outcome: Outcome, response: NodeResponse) {
        self.record_attempt_end(attempt, outcome, response);
        // The call above may have commanded attempts that cannot be made. This reports them as not sent.
        self.with_decisions(|_, _| ());
    }

    /// Records the end of an attempt. The decisions may command attempts that cannot be made, which the caller
    /// must report.
    pub(super) fn record_attempt_end(
        &self,
        attempt: AttemptCommand,
        mut outcome: Outcome,
        response: NodeResponse,
    ) {
        let AttemptCommand { rpc, number, node, started, .. } = attempt;
        let NodeResponse { answer, answer_memory, role, position, report } = response;
        let now = self.clock.now();
        if outcome == Outcome::Ok && !self.decisions.borrow().permits_response(now, rpc, number, position) {
            log::debug!("node {}: rejected an answer that does not prove its freshness", node.0);
            outcome = Outcome::Malformed;
        }
        if let Some(answer) = answer.filter(|_| outcome == Outcome::Ok) {
            // The first valid answer is sent to the client without another decision.
            self.host.finish(rpc, |_| RpcCommand::Answer { answer, position, memory: answer_memory });
        }
        let rpc_finished = !self.record_outcome(rpc, outcome);
        let took = now.saturating_sub(started);
        let end =
            AttemptEnd { rpc, attempt: number, node, outcome, rpc_finished, took, role, position, report };
        self.decisions.borrow_mut().attempt_ended(now, end);
        self.share_attempt(node, started, role, position, report);
    }

    /// Stores the outcome of an attempt with its RPC. Returns false if the RPC has ended.
    fn record_outcome(&self, rpc: RpcId, outcome: Outcome) -> bool {
        match self.host.pending.borrow_mut().get_mut(&rpc) {
            Some(pending) => {
                pending.last_outcome = Some(outcome);
                true
            }
            None => false,
        }
    }

    /// Shares the node state that an attempt's response reported.
    fn share_attempt(
        &self,
        node: NodeId,
        started: Duration,
        role: Option<Role>,
        position: Option<Duration>,
        report: Option<LoadReport>,
    ) {
        // The equivalent of `COMMIT_ROUNDING` in the decisions: nodes round commit times up to a millisecond,
        // so one millisecond is subtracted before a commit time is shared as a log position.
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

    /// Reports the end of a health check that started at `requested_at`, with the node's load report if it
    /// sent one.
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
