//! Freshness: which nodes of a replica set may serve a read, according to their known log positions.
//!
//! A log position is the time up to which a node has applied every commit; it never decreases. Another
//! router's observation allows a read to try a node, but only the node's own response proves that it is fresh
//! enough.

use std::time::Duration;

use crate::host::{AttemptEnd, AttemptNumber, Host, LoadReport, NodeId, Role, RpcId};
use crate::method::Consistency;
use crate::pending_request::{PendingRequest, RequiredPosition};
use crate::primary::RoleEvidence;
use crate::router::Router;

/// How long a read may wait for a node that is known to be fresh enough. If it is then rejected, this is also
/// its Retry-After.
pub const MAX_FRESHNESS_WAIT: Duration = Duration::from_millis(50);
/// Positions are times on the nodes' clocks. A position further ahead of this router's clock than this is
/// invalid; if accepted, it would never be outdated.
const MAX_POSITION_LEAD: Duration = Duration::from_millis(50);
/// The position in a response may be a commit time, which nodes round up to this unit, so the log is known to
/// reach only the position minus this. The engine of quillpoint-router subtracts the same 1 ms from the
/// positions that it shares.
const COMMIT_ROUNDING: Duration = Duration::from_millis(1);
/// Positions of one node from different sources may differ by this much.
const POSITION_TOLERANCE: Duration = Duration::from_millis(2);

/// What is known about a node's log.
#[derive(Default)]
pub(crate) struct LogState {
    /// The highest position that the node itself has reported since its start.
    pub position: Option<Duration>,
    /// The highest position that other routers have observed and that no response has contradicted.
    pub observed_position: Option<Duration>,
    /// When this router or another one last heard from the node.
    pub last_heard_at: Option<Duration>,
    /// The newest evidence of the node's role.
    pub role: Option<RoleEvidence>,
}

/// Whether a position is possible: it is ahead of the clock by no more than the clocks may differ.
pub(crate) fn is_plausible(now: Duration, position: Duration) -> bool {
    position <= now + MAX_POSITION_LEAD
}

impl<H: Host> Router<H> {
    /// The position that a node must have reached to serve the request.
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

    /// Whether the node has proven that it is fresh enough, by a position that it reported itself or by being
    /// the proven primary.
    pub(crate) fn is_proven_fresh(&self, now: Duration, request: &PendingRequest, node: NodeId) -> bool {
        let primary = self.replica_sets[&request.rpc.replica_set].primary;
        primary.is_some_and(|primary| primary.node == node && primary.proven)
            || self.nodes[&node].log.position.unwrap_or_default() >= self.required_position(now, request)
    }

    /// Rule 5: whether the request may be sent to the node. Either the node has proven that it is fresh
    /// enough, or another router has observed a sufficient position. In the latter case the response still
    /// has to prove it (`permits_response`).
    pub(crate) fn is_fresh_enough(&self, now: Duration, request: &PendingRequest, node: NodeId) -> bool {
        let observed = self.nodes[&node].log.observed_position;
        self.is_proven_fresh(now, request, node)
            || observed.is_some_and(|position| position >= self.required_position(now, request))
    }

    /// What the response to an attempt at this node has to prove. None if nodes check reads themselves.
    pub(crate) fn required_of_response(
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

    /// Whether a successful response may be passed on: its position must be at least the one required when
    /// the attempt was sent. A response without a position may pass if the node had proven that position
    /// before.
    pub(crate) fn response_is_fresh_enough(
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

    /// Records the position in a response. It may be a commit time that was rounded up, so it is rounded down
    /// again.
    pub(crate) fn record_response_position(&mut self, now: Duration, end: &AttemptEnd) {
        if let Some(position) = end.position {
            self.record_position(now, end.node, position.saturating_sub(COMMIT_ROUNDING));
        }
    }

    /// Records a position that a node itself reported. A log only grows, so a higher position observed by
    /// other routers cannot belong to this process and is dropped.
    pub(crate) fn record_position(&mut self, now: Duration, node: NodeId, position: Duration) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let log = &mut state.log;
        log.position = log.position.max(Some(position.min(now)));
        log.last_heard_at = Some(now);
        log.observed_position =
            log.observed_position.filter(|observed| *observed <= position + POSITION_TOLERANCE);
    }

    /// Records a position that another router observed at a node at the time `observed_at`.
    pub(crate) fn record_peer_position(
        &mut self,
        now: Duration,
        node: NodeId,
        position: Option<Duration>,
        observed_at: Duration,
    ) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let position = position.filter(|position| *position <= now);
        state.log.observed_position = state.log.observed_position.max(position);
        state.log.last_heard_at = state.log.last_heard_at.max(Some(observed_at.min(now)));
    }

    /// Records a load report: load, position and role. The report was made some time ago, but not before the
    /// position in it, so that position is used as the time of its role.
    pub(crate) fn record_report(&mut self, now: Duration, node: NodeId, report: Option<&LoadReport>) {
        let Some(report) = report else { return };
        self.record_load(now, node, report);
        let position = report.position.filter(|position| is_plausible(now, *position));
        let Some(position) = position else { return };
        self.record_position(now, node, position);
        if let Some(primary) = report.primary {
            let role = if primary { Role::Primary } else { Role::Replica };
            self.record_role(now, node, RoleEvidence { role, at: position }, false);
        }
    }
}
