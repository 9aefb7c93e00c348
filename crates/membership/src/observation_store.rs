//! The observations of nodes: this router's own, which it sends to its peers, and those received from peers.
//!
//! This module decides how far an observation by a peer is trusted:
//!
//! - A log position only allows a read to try a replica. Whether the read succeeds depends on the position in
//!   the replica's response, which the `quillpoint` package checks.
//! - A role only determines which node is tried as the primary.
//! - A failure causes a health check by this router, and is accepted only after several routers have failed
//!   independently.
//! - If a node's response contradicts a peer, all observations by the peer are rejected for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::fast_hash_map::FastHashMap;
use crate::host::TimestampedObservation;
use crate::ids::PeerName;
use crate::message::{MAX_OBSERVATION_BATCH_BYTES, OBSERVATION_BATCH_SIZE, Observation};
use crate::node_observations::{NodeObservations, StoredObservation};
use crate::token_bucket::TokenBucket;

/// Older observations are neither sent nor accepted.
pub const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(10);
/// The approximate encoded size of an observation, by which the budgets are computed.
pub const TYPICAL_OBSERVATION_BYTES: f64 = 40.0;
/// The approximate size of a message without its observations.
const MESSAGE_OVERHEAD_BYTES: f64 = 160.0;
/// How long observations by a peer are rejected after a node's response has contradicted it.
const DISTRUST_PERIOD: Duration = Duration::from_secs(60);
/// The burst of the budget, in seconds at its rate.
const BURST_SECONDS: f64 = 0.25;

/// Whether an observation by a peer is accepted.
#[derive(Debug, PartialEq)]
pub enum Assessment {
    /// It is accepted.
    Accepted(TimestampedObservation),
    /// It is a failure that too few routers have reported so far. This router should check the node itself.
    Unconfirmed,
    /// It is too old, concerns a node that is not listed, is a failure followed by a later successful
    /// observation, or comes from a distrusted peer.
    Rejected,
}

/// The observations of all listed nodes.
pub struct ObservationStore {
    own_name: PeerName,
    /// Must be iterated in the order of addresses, since its own iteration order is arbitrary.
    nodes: FastHashMap<SocketAddr, NodeObservations>,
    /// The nodes for which this router has an own observation that has not been sent yet.
    unsent: BTreeSet<SocketAddr>,
    /// Until when the observations by a peer are rejected.
    distrusted_until: BTreeMap<PeerName, Duration>,
    budget: TokenBucket,
}

impl ObservationStore {
    /// Creates a store without nodes. The budget is in bytes per second to all peers together.
    pub fn new(own_name: PeerName, bytes_per_second: f64, now: Duration) -> Self {
        Self {
            own_name,
            nodes: FastHashMap::default(),
            unsent: BTreeSet::new(),
            distrusted_until: BTreeMap::new(),
            budget: TokenBucket::new(bytes_per_second, bytes_per_second * BURST_SECONDS, now),
        }
    }

    /// Changes the budget, in bytes per second to all peers together.
    pub fn set_budget(&mut self, bytes_per_second: f64) {
        self.budget.set_limits(bytes_per_second, bytes_per_second * BURST_SECONDS);
    }

    /// Sets the listed nodes. The observations of all other nodes are removed.
    pub fn nodes_changed(&mut self, nodes: &BTreeSet<SocketAddr>) {
        self.nodes.retain(|node, _| nodes.contains(node));
        self.unsent.retain(|node| nodes.contains(node));
        for node in nodes {
            self.nodes.entry(*node).or_default();
        }
    }

    /// Records this router's own observation, made by a request sent at `sent_at`. Returns the peer whose
    /// report the node's response contradicts, if any. The observations by that peer are rejected for a
    /// while.
    pub fn record_own(
        &mut self,
        now: Duration,
        sent_at: Duration,
        observation: Observation,
    ) -> Option<PeerName> {
        let entry = self.nodes.get_mut(&observation.node)?;
        self.unsent.insert(observation.node);
        let peer = entry.record_own(now, sent_at, &self.own_name, observation)?;
        self.distrusted_until.insert(peer.clone(), now + DISTRUST_PERIOD);
        Some(peer)
    }

    /// Records an observation by a peer if it is accepted.
    pub fn record_from_peer(
        &mut self,
        now: Duration,
        peer: &PeerName,
        observation: Observation,
    ) -> Assessment {
        let is_distrusted = self.distrusted_until.get(peer).is_some_and(|until| *until > now);
        if is_distrusted || observation.age > MAX_OBSERVATION_AGE {
            return Assessment::Rejected;
        }
        self.distrusted_until.remove(peer);
        let Some(entry) = self.nodes.get_mut(&observation.node) else {
            return Assessment::Rejected;
        };
        let at = now.saturating_sub(observation.age);
        entry.record_from_peer(now, peer, StoredObservation { at, observation })
    }

    /// The latest observation of a node by a peer, unless it is too old.
    pub fn latest_from_peers(&self, now: Duration, node: SocketAddr) -> Option<TimestampedObservation> {
        let latest = self.nodes.get(&node)?.latest_from_peers()?;
        (now.saturating_sub(latest.at) <= MAX_OBSERVATION_AGE).then(|| latest.timestamped(now))
    }

    /// Returns the own observations to send to `peers` peers now, the latest first, one batch per message.
    ///
    /// Observations that the budget does not allow now are kept until they are sent or too old.
    pub fn take_outgoing(&mut self, now: Duration, peers: usize) -> Vec<Vec<Observation>> {
        self.budget.refill(now);
        if peers == 0 {
            // A peer that joins later receives a snapshot.
            self.unsent.clear();
            return Vec::new();
        }
        let mut batches = Batches::default();
        for nodes in self.unsent_latest_first(now).chunks(OBSERVATION_BATCH_SIZE) {
            let message_bytes = MESSAGE_OVERHEAD_BYTES + TYPICAL_OBSERVATION_BYTES * nodes.len() as f64;
            if !self.budget.try_take_in_full(message_bytes * peers as f64) {
                break;
            }
            for node in nodes {
                self.unsent.remove(node);
                if let Some(observation) = self.nodes[node].own().and_then(|own| own.aged(now)) {
                    batches.push(observation);
                }
            }
        }
        batches.batches
    }

    /// The nodes whose own observations are to be sent, the latest first. Drops observations that are too
    /// old.
    fn unsent_latest_first(&mut self, now: Duration) -> Vec<SocketAddr> {
        let mut unsent: Vec<(Duration, SocketAddr)> = Vec::new();
        self.unsent.retain(|node| {
            let observed_at = self.nodes[node].own().map(|own| own.at);
            let recent = observed_at.filter(|at| *at + MAX_OBSERVATION_AGE > now);
            unsent.extend(recent.map(|at| (at, *node)));
            recent.is_some()
        });
        unsent.sort_by(|one, other| other.cmp(one));
        unsent.into_iter().map(|(_, node)| node).collect()
    }

    /// The latest observations of all nodes that are not too old, for a peer that joins, one batch per
    /// message. Failures are omitted: a router may report only failures of its own health checks.
    pub fn snapshot(&self, now: Duration) -> Vec<Vec<Observation>> {
        let mut nodes: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        nodes.sort_unstable();
        let latest = |node: &SocketAddr| self.nodes[node].latest_success()?.aged(now);
        let batches =
            nodes.chunks(OBSERVATION_BATCH_SIZE).map(|nodes| nodes.iter().filter_map(latest).collect());
        batches.filter(|batch: &Vec<Observation>| !batch.is_empty()).collect()
    }

    /// The memory used by the tables in bytes, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        let failures: usize = self.nodes.values().map(NodeObservations::failure_count).sum();
        self.nodes.len() * size_of::<(SocketAddr, NodeObservations)>()
            + self.unsent.len() * size_of::<SocketAddr>()
            + (failures + self.distrusted_until.len()) * size_of::<(PeerName, Duration)>()
    }

    /// The number of listed nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no nodes are listed.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}

/// Packs observations into as few messages as possible: each message costs its sender one system call per
/// peer, and each receiver another.
#[derive(Default)]
struct Batches {
    batches: Vec<Vec<Observation>>,
    /// The bytes that are left in the last batch.
    bytes_left: usize,
}

impl Batches {
    fn push(&mut self, observation: Observation) {
        let bytes = observation.max_encoded_bytes();
        match self.batches.last_mut() {
            Some(last) if bytes <= self.bytes_left => last.push(observation),
            _ => {
                self.batches.push(vec![observation]);
                self.bytes_left = MAX_OBSERVATION_BATCH_BYTES;
            }
        }
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
    }
}
