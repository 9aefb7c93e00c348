//! Balancing: which node a request goes to now.
//!
//! Among the replicas that are fresh enough and have capacity, one is drawn by its free capacity. A read that none of
//! them may answer goes to the primary within a quota, or waits.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::freshness::MAX_FRESHNESS_WAIT;
use crate::host::{Host, NodeId, RpcId};
use crate::method::{Consistency, Method};
use crate::node_state::NodeState;
use crate::pending_request::PendingRequest;
use crate::router::Router;

/// Nodes of a zone that is farther than this are not checked on behalf of a read: the answer would come too late.
const MIN_CHECK_LOCALITY: f64 = 0.5;
/// A zone's weight falls with this power of its locality.
const LOCALITY_POWER: i32 = 4;
/// A read is long if its answers take more than half (1 / this) of the tightest staleness bound, and more than twice
/// (times this) the time of bounded reads.
const LONG_READ_FACTOR: f64 = 2.0;

/// Where a request goes now.
pub(crate) enum RoutingChoice {
    Send(NodeId),
    /// It stays in the queue until an event or the next round of dispatch.
    Wait,
    /// No node can answer it in time.
    Reject,
}

/// A replica that is fresh enough and has capacity.
pub(crate) struct Candidate {
    pub node: NodeId,
    /// Free capacity, lowered by the node's health and its zone's latency.
    pub weight: f64,
    /// It is known to be fresh enough, and not only expected to be.
    pub is_fresh: bool,
}

/// What the replicas of a set offer to one read, each list in the order of nodes.
#[derive(Default)]
pub(crate) struct Candidates {
    /// A node is fresh enough, whether it has capacity or not.
    pub any_fresh: bool,
    pub available: Vec<Candidate>,
    /// Fresh enough, but their load has to be checked first.
    pub unknown_load: Vec<NodeId>,
    /// Not known to be fresh enough; a health check may tell.
    pub unknown_freshness: Vec<NodeId>,
}

impl Candidates {
    /// Nodes that are known to be fresh enough come before those expected to be.
    fn prefer_fresh(&mut self) {
        if self.available.iter().any(|candidate| candidate.is_fresh) {
            self.available.retain(|candidate| candidate.is_fresh);
        }
    }
}

impl<H: Host> Router<H> {
    /// Chooses the node for a request.
    pub(crate) fn choose_node(&mut self, now: Duration, id: RpcId) -> RoutingChoice {
        let method = &self.methods[self.pending[&id].rpc.method.0];
        if matches!(method.consistency, Consistency::Write | Consistency::Fresh) {
            return self.choose_primary(now, id);
        }
        let mut candidates = self.candidates(now, id);
        candidates.prefer_fresh();
        if self.keeps_to_one_replica(method) {
            self.keep_last(now, &mut candidates);
        }
        let drawn = candidates.available.choose_weighted(&mut self.rng, |candidate| candidate.weight);
        if let Ok(candidate) = drawn {
            return RoutingChoice::Send(candidate.node);
        }
        if let Some(primary) = self.choose_primary_for_read(now, id, &mut candidates) {
            return RoutingChoice::Send(primary);
        }
        let may_wait = now < self.pending[&id].arrived + MAX_FRESHNESS_WAIT;
        let mut to_check = if may_wait { candidates.unknown_freshness } else { Vec::new() };
        to_check.extend(candidates.unknown_load);
        self.check_for_request(now, to_check);
        if candidates.any_fresh || may_wait { RoutingChoice::Wait } else { RoutingChoice::Reject }
    }

    /// The replicas that the request may go to, sorted by what is known of each.
    fn candidates(&self, now: Duration, id: RpcId) -> Candidates {
        let request = &self.pending[&id];
        let replica_set = &self.replica_sets[&request.rpc.replica_set];
        let mut candidates = Candidates::default();
        for node in replica_set.nodes.iter().copied() {
            let state = &self.nodes[&node];
            if Some(node) == replica_set.primary_node() || !state.is_open() || request.has_tried(node) {
                continue;
            }
            let is_fresh = self.is_fresh_enough(now, request, node);
            let weight = self.balancing_weight(now, state);
            let must_check_first = self.must_check_first(now, state);
            if !is_fresh && !self.is_expected_fresh(now, request, state) {
                let is_near = self.zones.locality(state.zone) > MIN_CHECK_LOCALITY;
                if is_near && (weight > 0.0 || must_check_first) {
                    candidates.unknown_freshness.push(node);
                }
                continue;
            }
            candidates.any_fresh = true;
            if self.config.reports_by_health_checks_only && (weight == 0.0 || must_check_first) {
                candidates.unknown_load.push(node);
            } else if weight > 0.0 && self.may_order_attempt(now, id, node) {
                candidates.available.push(Candidate { node, weight, is_fresh });
            }
        }
        candidates
    }

    /// Where nodes check reads themselves, one whose entry has aged is tried if it would pass at an even pace since it
    /// was heard. Quiet routers, whose entries are always old, then read from replicas too, and nodes that lag are not
    /// flooded with misrouted reads.
    fn is_expected_fresh(&self, now: Duration, request: &PendingRequest, node: &NodeState) -> bool {
        let since_heard = now - node.log.heard_at.unwrap_or(now);
        let expected = node.log.position.unwrap_or_default() + since_heard;
        self.config.nodes_check_reads && expected >= self.required_position(now, request)
    }

    /// Whether reads of this method keep to one replica of the set: they are long, and longer than bounded ones, so
    /// that they would keep every replica that answers them from applying the log.
    fn keeps_to_one_replica(&self, method: &Method) -> bool {
        let shortest_s = method.answer_time.shortest_s;
        let is_bounded = |other: &Method| matches!(other.consistency, Consistency::Bounded(_));
        let is_longer = |other: &Method| shortest_s > LONG_READ_FACTOR * other.answer_time.shortest_s;
        method.consistency == Consistency::Any
            && LONG_READ_FACTOR * shortest_s > self.config.tightest_bound.as_secs_f64()
            && self.methods.iter().all(|other| !is_bounded(other) || is_longer(other))
    }

    /// Keeps only the last replica that may take the read. Long reads go to the last replica in node order, the same
    /// from every router, so that the others keep applying the log. An open node of unknown load that is later in the
    /// order is checked before an earlier one is used.
    fn keep_last(&self, now: Duration, candidates: &mut Candidates) {
        let available = &mut candidates.available;
        available.drain(..available.len().saturating_sub(1));
        let unknown = &mut candidates.unknown_load;
        unknown.retain(|node| self.must_check_first(now, &self.nodes[node]));
        unknown.drain(..unknown.len().saturating_sub(1));
        available.retain(|candidate| Some(&candidate.node) > unknown.last());
    }

    /// Free capacity at a node as a weight of the draw. It falls with the square of the part of its answers that
    /// failed: what fails everywhere alike costs no node its share. It falls with the latency of the node's zone.
    fn balancing_weight(&self, now: Duration, node: &NodeState) -> f64 {
        let success_rate = node.health.success_rate;
        let locality = self.zones.locality(node.zone).powi(LOCALITY_POWER);
        let capacity = self.available_capacity(now, node);
        node.slow_start.capacity_fraction * success_rate * success_rate * locality * capacity
    }

    /// Whether the node has capacity and passes the attempt check.
    pub(crate) fn may_send(&self, now: Duration, id: RpcId, node: NodeId) -> bool {
        self.available_capacity(now, &self.nodes[&node]) > 0.0 && self.may_order_attempt(now, id, node)
    }
}
