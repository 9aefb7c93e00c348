//! Freshness: which node of a replica set may answer a read, by the log positions that are known of it.
//!
//! A log position is a time up to which a node has applied every commit; it never goes back. An observation of another
//! router lets a read try a node, but only the node's own answer proves that it is fresh enough.

use std::time::Duration;

use crate::host::{AttemptEnd, AttemptNumber, Host, LoadReport, NodeId, Role, RpcId};
use crate::method::Consistency;
use crate::pending_request::{PendingRequest, RequiredPosition};
use crate::primary::RoleEvidence;
use crate::router::Router;

/// How long a read may wait for a node that is known to be fresh enough. Its client is then told to come back after the
/// same time.
pub const MAX_FRESHNESS_WAIT: Duration = Duration::from_millis(50);
/// Positions are times on the nodes' clocks: one further ahead of the router's is malformed, and would count for ever.
const MAX_POSITION_LEAD: Duration = Duration::from_millis(50);
/// An answer's position may be a commit time, which nodes round up to this: the log surely reaches only as far as the
/// position less this. The engine of quillpoint-router shares positions lower by the same 1 ms.
const COMMIT_ROUNDING: Duration = Duration::from_millis(1);
/// Positions of one node from different sources agree within this.
const POSITION_TOLERANCE: Duration = Duration::from_millis(2);

/// What is known of a node's log.
#[derive(Default)]
pub(crate) struct LogPosition {
    /// The highest position that the node itself has told since its start.
    pub position: Option<Duration>,
    /// The highest position that other routers have observed, where no answer has contradicted it.
    pub observed_position: Option<Duration>,
    /// When the node was last heard, by this router or another.
    pub heard_at: Option<Duration>,
    /// The newest evidence of its role.
    pub role: Option<RoleEvidence>,
}

/// Whether a position can be: it is not further ahead of the clock than clocks differ.
pub(crate) fn is_plausible(now: Duration, position: Duration) -> bool {
    position <= now + MAX_POSITION_LEAD
}

impl<H: Host> Router<H> {
    /// The position that a node must have reached to answer the request.
    pub(crate) fn required_position(&self, now: Duration, request: &PendingRequest) -> Duration {
        match self.methods[request.rpc.method.0].consistency {
            Consistency::Any | Consistency::Write => Duration::ZERO,
            Consistency::Fresh => request.arrived,
            Consistency::Session => {
                let remembered = self.remembered_commit(now, &request.rpc);
                request.session_token.max(remembered).unwrap_or_default()
            }
            Consistency::Bounded(bound) => now.saturating_sub(bound),
        }
    }

    /// Whether the node has proven that it is fresh enough: by a position that it told itself, or by being the primary.
    pub(crate) fn is_proven_fresh(&self, now: Duration, request: &PendingRequest, node: NodeId) -> bool {
        let primary = self.replica_sets[&request.rpc.replica_set].primary;
        primary.is_some_and(|primary| primary.node == node && primary.proven)
            || self.nodes[&node].log.position.unwrap_or_default() >= self.required_position(now, request)
    }

    /// Rule 5: whether the node may be sent the request. It has proven to be fresh enough, or another router has
    /// observed that it is; its answer then has to prove it (`permits_response`).
    pub(crate) fn is_fresh_enough(&self, now: Duration, request: &PendingRequest, node: NodeId) -> bool {
        let observed = self.nodes[&node].log.observed_position;
        self.is_proven_fresh(now, request, node)
            || observed.is_some_and(|position| position >= self.required_position(now, request))
    }

    /// What the answer of an attempt at this node has to prove. None where nodes check reads themselves.
    pub(crate) fn required_of_answer(
        &self,
        now: Duration,
        request: &PendingRequest,
        node: NodeId,
    ) -> Option<RequiredPosition> {
        if self.config.nodes_check_reads {
            return None;
        }
        Some(RequiredPosition {
            position: self.required_position(now, request),
            proven_before: self.is_proven_fresh(now, request, node),
        })
    }

    /// Whether an ok may be passed on: its position meets what was required at the send. Without a position it passes
    /// if the node had proven as much before.
    pub(crate) fn answer_is_fresh_enough(
        &self,
        now: Duration,
        id: RpcId,
        attempt: AttemptNumber,
        position: Option<Duration>,
    ) -> bool {
        let attempt = self.pending.get(&id).and_then(|request| request.attempts.get(attempt.0 as usize));
        let Some(required) = attempt.and_then(|attempt| attempt.required) else { return true };
        match position.filter(|position| is_plausible(now, *position)) {
            Some(position) => position >= required.position,
            None => required.proven_before,
        }
    }

    /// Takes in the position that an answer told: rounded up if it is a commit, so it is rounded down again.
    pub(crate) fn note_answered_position(&mut self, now: Duration, end: &AttemptEnd) {
        if let Some(position) = end.position {
            self.note_position(now, end.node, position.saturating_sub(COMMIT_ROUNDING));
        }
    }

    /// Takes in a position that a node told itself. What other routers have observed above it was not observed at this
    /// process, as a log only grows.
    pub(crate) fn note_position(&mut self, now: Duration, node: NodeId, position: Duration) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let log = &mut state.log;
        log.position = log.position.max(Some(position.min(now)));
        log.heard_at = Some(now);
        log.observed_position =
            log.observed_position.filter(|observed| *observed <= position + POSITION_TOLERANCE);
    }

    /// Takes in a position that another router observed at a node at the time `observed_at`.
    pub(crate) fn note_peer_position(
        &mut self,
        now: Duration,
        node: NodeId,
        position: Option<Duration>,
        observed_at: Duration,
    ) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let position = position.filter(|position| *position <= now);
        state.log.observed_position = state.log.observed_position.max(position);
        state.log.heard_at = state.log.heard_at.max(Some(observed_at.min(now)));
    }

    /// Takes in a load report: load, position and role. A report was made some time ago, but not before the position in
    /// it: that dates what it says of the role.
    pub(crate) fn note_report(&mut self, now: Duration, node: NodeId, report: Option<&LoadReport>) {
        let Some(report) = report else { return };
        self.note_load(now, node, report);
        let position = report.position.filter(|position| is_plausible(now, *position));
        let Some(position) = position else { return };
        self.note_position(now, node, position);
        if let Some(primary) = report.primary {
            let role = if primary { Role::Primary } else { Role::Replica };
            self.note_role(now, node, RoleEvidence { role, at: position }, false);
        }
    }
}
