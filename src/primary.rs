//! The primary of a replica set: which node it is according to the newest evidence, which reads may go to it,
//! and the search for it.

use std::time::Duration;

use crate::balancing::{Candidates, RoutingChoice};
use crate::host::{AttemptEnd, Endpoint, Host, NodeId, Outcome, ReplicaSetId, Role, RpcId};
use crate::node_state::NodeState;
use crate::router::Router;

/// The fraction of a replica set's reads that may go to its primary.
const READ_QUOTA: f64 = 0.1;
/// At most this many reads are saved up, which is the quota of the last thousand reads.
const MAX_SAVED_QUOTA: f64 = 100.0;
/// Older evidence than this does not establish a primary. A proven primary whose evidence is older can be
/// replaced by an observation of another router.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(1000);
/// Reads leave room for writes: they may use the primary's limit / this, if it reports its requests in
/// flight.
const READ_LIMIT_DIVISOR: f64 = 2.0;
/// A write uses at most its attempts / this to search for the primary, and then waits until one is known.
const SEARCH_ATTEMPTS_DIVISOR: usize = 2;

/// A role that a node has shown, and as of when.
#[derive(Clone, Copy)]
pub(crate) struct RoleEvidence {
    pub role: Role,
    pub at: Duration,
}

/// The node that is believed to be the primary.
#[derive(Clone, Copy)]
pub(crate) struct KnownPrimary {
    pub node: NodeId,
    /// Time of the newest evidence.
    pub evidence_at: Duration,
    /// A response has shown it, not only a load report, an observation or the endpoint list.
    pub proven: bool,
}

impl<H: Host> Router<H> {
    /// Each read earns a fraction of a read at the primary, so that at most a tenth of the reads go there.
    pub(crate) fn earn_primary_quota(&mut self, replica_set: ReplicaSetId, is_write: bool) {
        if let Some(replica_set) = self.replica_sets.get_mut(&replica_set) {
            let earned = if is_write { 0.0 } else { READ_QUOTA };
            replica_set.primary_quota = (replica_set.primary_quota + earned).min(MAX_SAVED_QUOTA);
        }
    }

    /// Takes one read from the quota. Fresh reads go to the primary even without quota, and are counted too,
    /// so the quota can become negative.
    pub(crate) fn spend_primary_quota(&mut self, replica_set: ReplicaSetId, node: NodeId, is_write: bool) {
        let replica_set = self.replica_sets.entry(replica_set).or_default();
        if !is_write && replica_set.primary_node() == Some(node) {
            replica_set.primary_quota -= 1.0;
        }
    }

    /// The primary for a read that no replica can serve, if the quota allows one more read. A primary that
    /// has to be checked first is added to the candidates as a node of unknown load.
    pub(crate) fn choose_primary_for_read(
        &self,
        now: Duration,
        id: RpcId,
        candidates: &mut Candidates,
    ) -> Option<NodeId> {
        let replica_set = &self.replica_sets[&self.pending[&id].rpc.replica_set];
        let primary = replica_set.primary_node().filter(|_| replica_set.primary_quota >= 1.0)?;
        let node = &self.nodes[&primary];
        if self.must_check_first(now, node) {
            candidates.any_fresh = true;
            candidates.unknown_load.push(primary);
            return None;
        }
        let in_flight = self.reported_in_flight(now, node).unwrap_or_default();
        let leaves_room_for_writes = READ_LIMIT_DIVISOR * in_flight < node.concurrency.limit;
        (leaves_room_for_writes && self.may_send(now, id, primary)).then_some(primary)
    }

    /// Chooses the node for a write or a fresh read: the known primary, or the next node in the search for
    /// it.
    pub(crate) fn choose_primary(&mut self, now: Duration, id: RpcId) -> RoutingChoice {
        let replica_set = &self.replica_sets[&self.pending[&id].rpc.replica_set];
        let Some(primary) = replica_set.primary_node() else { return self.search_primary(now, id) };
        if self.may_send(now, id, primary) && !self.must_check_first(now, &self.nodes[&primary]) {
            return RoutingChoice::Send(primary);
        }
        if self.config.reports_by_health_checks_only {
            self.check_for_request(now, vec![primary]);
        }
        RoutingChoice::Wait
    }

    /// While no primary is known, a write tries the nodes in sorted order, one after each misrouted attempt.
    /// After half of its attempts it waits until a response or a health check shows the primary. Nodes that
    /// have responded as replicas since the primary was lost are skipped, so that one round serves all
    /// waiting writes.
    fn search_primary(&mut self, now: Duration, id: RpcId) -> RoutingChoice {
        let request = &self.pending[&id];
        let replica_set = &self.replica_sets[&request.rpc.replica_set];
        let lost_at = replica_set.primary_lost_at;
        let misrouted = request.count_ended_with(Outcome::Misrouted);
        let may_try = misrouted * SEARCH_ATTEMPTS_DIVISOR < self.config.max_attempts;
        let is_known_replica = |node: &NodeState| {
            node.log.role.is_some_and(|role| role.at >= lost_at && lost_at > Duration::ZERO)
        };
        let next = replica_set.nodes.iter().copied().find(|node| {
            may_try
                && !is_known_replica(&self.nodes[node])
                && !request.has_tried(*node)
                && self.may_send(now, id, *node)
        });
        if let Some(node) = next {
            return RoutingChoice::Send(node);
        }
        let nodes = replica_set.nodes.iter().copied().collect();
        self.check_for_request(now, nodes);
        RoutingChoice::Wait
    }

    /// Records the role shown by a response. Evidence of a primary is dated by the position in the response,
    /// or otherwise by the time of the send; that of a replica by the arrival of the response.
    pub(crate) fn record_response_role(&mut self, now: Duration, end: &AttemptEnd) {
        let Some(role) = end.role else { return };
        let at = match role {
            Role::Primary => end.position.unwrap_or(now.saturating_sub(end.took)),
            Role::Replica => now,
        };
        self.record_role(now, end.node, RoleEvidence { role, at }, true);
    }

    /// The newest evidence of a role wins. On a tie evidence of a replica wins, because assuming a replica
    /// does no harm. `proven` means that a response itself shows the role, and not only a report.
    pub(crate) fn record_role(&mut self, now: Duration, node: NodeId, evidence: RoleEvidence, proven: bool) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let RoleEvidence { role, at } = evidence;
        let is_older = |known: RoleEvidence| known.at > at || (known.at == at && known.role == Role::Replica);
        if state.log.role.is_some_and(is_older) {
            return;
        }
        state.log.role = Some(evidence);
        let id = state.replica_set;
        let replica_set = self.replica_sets.entry(id).or_default();
        match (role, replica_set.primary) {
            (Role::Primary, Some(known)) if known.node == node => {
                let evidence_at = known.evidence_at.max(at);
                let proven = known.proven || proven;
                replica_set.primary = Some(KnownPrimary { node, evidence_at, proven });
            }
            (Role::Primary, Some(known)) if known.evidence_at > at => {}
            (Role::Primary, _) if at + MAX_EVIDENCE_AGE > now => {
                replica_set.primary = Some(KnownPrimary { node, evidence_at: at, proven });
            }
            (Role::Replica, Some(known)) if at >= known.evidence_at => self.clear_primary(now, id, node),
            _ => {}
        }
    }

    /// Another router has observed a primary. It is used only if no primary has been proven recently.
    pub(crate) fn record_peer_primary(&mut self, now: Duration, node: NodeId, observed_at: Duration) {
        let Some(replica_set) = self.nodes.get(&node).map(|state| state.replica_set) else { return };
        let known = self.replica_sets.get(&replica_set).and_then(|replica_set| replica_set.primary);
        let is_proven =
            |known: KnownPrimary| known.proven && known.evidence_at + MAX_EVIDENCE_AGE > observed_at;
        if !known.is_some_and(is_proven) {
            self.record_role(now, node, RoleEvidence { role: Role::Primary, at: observed_at }, false);
        }
    }

    /// The endpoint list names a primary. The list may be outdated, so the entry is used only if no primary
    /// is known and the node has shown no role since the last primary was lost.
    pub(crate) fn record_listed_primary(&mut self, endpoint: &Endpoint) {
        let node = endpoint.node;
        let Some(state) = self.nodes.get(&node) else { return };
        let Some(replica_set) = self.replica_sets.get_mut(&endpoint.replica_set) else { return };
        let has_no_newer_evidence = state.log.role.is_none_or(|role| role.at < replica_set.primary_lost_at);
        if replica_set.primary.is_none() && has_no_newer_evidence {
            replica_set.primary = Some(KnownPrimary { node, evidence_at: Duration::ZERO, proven: false });
        }
    }

    /// Clears the replica set's primary if it is this node.
    pub(crate) fn clear_primary(&mut self, now: Duration, replica_set: ReplicaSetId, node: NodeId) {
        let replica_set = self.replica_sets.entry(replica_set).or_default();
        if replica_set.primary_node() == Some(node) {
            replica_set.primary = None;
            replica_set.primary_lost_at = now;
        }
    }
}
