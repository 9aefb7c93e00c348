//! Balancing: which node a request goes to.
//!
//! One of the replicas that are fresh enough and have free capacity is drawn at random, weighted by free
//! capacity. A read that no replica can take goes to the primary within a quota, or waits.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::freshness::MAX_FRESHNESS_WAIT;
use crate::host::{Host, NodeId, RpcId};
use crate::method::{Consistency, Method};
use crate::node_state::NodeState;
use crate::pending_request::PendingRequest;
use crate::router::Router;

/// Nodes in a zone with a lower locality than this are not checked on behalf of a read: the result would come
/// too late.
const MIN_CHECK_LOCALITY: f64 = 0.5;
/// A zone's weight is its locality to this power.
const LOCALITY_EXPONENT: i32 = 4;
/// A read is long if its response takes more than half (1 / this) of the tightest staleness bound and more
/// than twice (times this) as long as that of every bounded read.
const LONG_READ_FACTOR: f64 = 2.0;

/// Where a request goes now.
pub(crate) enum RoutingChoice {
    Send(NodeId),
    /// It stays queued until an event or the next periodic dispatch.
    Wait,
    /// No node can respond in time.
    Reject,
}

/// A replica that is fresh enough and has free capacity.
pub(crate) struct Candidate {
    pub node: NodeId,
    /// Free capacity, reduced by the node's error rate, slow start and zone latency.
    pub weight: f64,
    /// The node is known to be fresh enough, and not only expected to be.
    pub is_fresh: bool,
}

/// What the replicas of a set offer to one read. Each list is in the order of nodes.
#[derive(Default)]
pub(crate) struct Candidates {
    /// At least one node is fresh enough, whether it has free capacity or not.
    pub any_fresh: bool,
    pub available: Vec<Candidate>,
    /// Nodes that are fresh enough, but whose load has to be checked first.
    pub unknown_load: Vec<NodeId>,
    /// Nodes that are not known to be fresh enough. A health check may show that they are.
    pub unknown_freshness: Vec<NodeId>,
}

impl Candidates {
    /// Keeps only nodes that are known to be fresh enough if there are any; otherwise keeps those expected to
    /// be.
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
        if self.uses_one_replica(method) {
            self.keep_last_replica(now, &mut candidates);
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

    /// Classifies the replicas that the request may go to.
    fn candidates(&self, now: Duration, id: RpcId) -> Candidates {
        let request = &self.pending[&id];
        let replica_set = &self.replica_sets[&request.rpc.replica_set];
        let mut candidates = Candidates::default();
        for node in replica_set.nodes.iter().copied() {
            let state = &self.nodes[&node];
            if Some(node) == replica_set.primary_node() || !state.is_routable() || request.has_tried(node) {
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
            } else if weight > 0.0 && self.may_start_attempt(now, id, node) {
                candidates.available.push(Candidate { node, weight, is_fresh });
            }
        }
        candidates
    }

    /// Where nodes check reads themselves, a node whose last known position is too old is still tried if it
    /// would be fresh enough had its position advanced with the clock since it was last heard from. This lets
    /// routers with little traffic, whose information is always old, read from replicas too, and it does not
    /// flood lagging nodes with reads that they reject.
    fn is_expected_fresh(&self, now: Duration, request: &PendingRequest, node: &NodeState) -> bool {
        let since_heard = now - node.log.last_heard_at.unwrap_or(now);
        let expected = node.log.position.unwrap_or_default() + since_heard;
        self.config.nodes_check_reads && expected >= self.required_position(now, request)
    }

    /// Whether all reads of this method go to one replica of the set. This applies to long reads that also
    /// take longer than bounded ones. A replica cannot apply the log during a long read, so if such reads
    /// were spread over the replicas, all of them would lag.
    fn uses_one_replica(&self, method: &Method) -> bool {
        let baseline_s = method.response_time.baseline_s;
        let is_bounded = |other: &Method| matches!(other.consistency, Consistency::Bounded(_));
        let is_longer = |other: &Method| baseline_s > LONG_READ_FACTOR * other.response_time.baseline_s;
        method.consistency == Consistency::Any
            && LONG_READ_FACTOR * baseline_s > self.config.tightest_bound.as_secs_f64()
            && self.methods.iter().all(|other| !is_bounded(other) || is_longer(other))
    }

    /// Keeps only the last replica that may take the read. Long reads go to the last replica in node order,
    /// which is the same for every router, so that the others keep applying the log. A routable node of
    /// unknown load that is later in the order is checked before an earlier one is used.
    fn keep_last_replica(&self, now: Duration, candidates: &mut Candidates) {
        let available = &mut candidates.available;
        available.drain(..available.len().saturating_sub(1));
        let unknown = &mut candidates.unknown_load;
        unknown.retain(|node| self.must_check_first(now, &self.nodes[node]));
        unknown.drain(..unknown.len().saturating_sub(1));
        available.retain(|candidate| Some(&candidate.node) > unknown.last());
    }

    /// The weight of a node in the random draw: its free capacity, times the square of its success rate,
    /// times its slow-start fraction and a factor for the latency of its zone. Errors that occur at all nodes
    /// alike lower all weights alike and so do not shift traffic.
    fn balancing_weight(&self, now: Duration, node: &NodeState) -> f64 {
        let success_rate = node.health.success_rate;
        let locality = self.zones.locality(node.zone).powi(LOCALITY_EXPONENT);
        let capacity = self.available_capacity(now, node);
        node.slow_start.capacity_fraction * success_rate * success_rate * locality * capacity
    }

    /// Whether the node has free capacity and the request passes the attempt check there.
    pub(crate) fn may_send(&self, now: Duration, id: RpcId, node: NodeId) -> bool {
        self.available_capacity(now, &self.nodes[&node]) > 0.0 && self.may_start_attempt(now, id, node)
    }
}
