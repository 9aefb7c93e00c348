//! The observations of nodes: this router's own on their way to the peers, and what peers have sent.
//!
//! What a peer's observation may do is decided here. A position in it lets a read try a replica, no more: the position in the
//! answer then decides, in the `quillpoint` package. A role in it says where to look. A failure is a reason for a health
//! check of one's own, and is believed only once several routers have failed by themselves. A peer that a node's own
//! answer contradicts is not believed for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::fast_hash_map::FastHashMap;
use crate::host::TimestampedObservation;
use crate::ids::PeerName;
use crate::message::{MAX_OBSERVATION_BATCH_BYTES, OBSERVATION_BATCH_SIZE, Observation};
use crate::node_observations::{NodeObservations, TimedObservation};
use crate::token_bucket::TokenBucket;

/// An older observation is neither sent nor accepted.
pub const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(10);
/// About the bytes of an observation in a message.
pub const TYPICAL_OBSERVATION_BYTES: f64 = 40.0;
/// About the bytes of a message without its observations.
const MESSAGE_OVERHEAD_BYTES: f64 = 160.0;
/// How long a peer that a node has contradicted is not believed.
const DISTRUST_PERIOD: Duration = Duration::from_secs(60);
/// How many seconds of the budget can be saved up.
const BURST_SECONDS: f64 = 0.25;

/// What a peer's observation is worth.
#[derive(Debug, PartialEq)]
pub enum Assessment {
    /// It is believed.
    Accepted(TimestampedObservation),
    /// A failure that no other router has met yet: a reason for a health check of one's own.
    Unconfirmed,
    /// It is too old, of a node that is not listed, outweighed by a later answer, or from a peer that is not believed.
    Rejected,
}

/// The observations of all listed nodes.
pub struct ObservationStore {
    own_name: PeerName,
    /// Iterated only in the order of addresses.
    nodes: FastHashMap<SocketAddr, NodeObservations>,
    /// Nodes with an own observation that has not been sent.
    unsent: BTreeSet<SocketAddr>,
    /// Until when a peer is not believed.
    distrusted_until: BTreeMap<PeerName, Duration>,
    budget: TokenBucket,
}

impl ObservationStore {
    /// No nodes, with a budget of so many bytes a second to all peers together.
    pub fn new(own_name: PeerName, bytes_per_second: f64, now: Duration) -> Self {
        Self {
            own_name,
            nodes: FastHashMap::default(),
            unsent: BTreeSet::new(),
            distrusted_until: BTreeMap::new(),
            budget: TokenBucket::new(bytes_per_second, bytes_per_second * BURST_SECONDS, now),
        }
    }

    /// Changes the budget, in bytes a second to all peers together.
    pub fn set_budget(&mut self, bytes_per_second: f64) {
        self.budget.set_limits(bytes_per_second, bytes_per_second * BURST_SECONDS);
    }

    /// Takes all listed nodes. Nothing is kept of any other.
    pub fn nodes_changed(&mut self, nodes: &BTreeSet<SocketAddr>) {
        self.nodes.retain(|node, _| nodes.contains(node));
        self.unsent.retain(|node| nodes.contains(node));
        for node in nodes {
            self.nodes.entry(*node).or_default();
        }
    }

    /// Records what this router has observed now, by a request sent at `sent_at`. Returns the peer that the node's answer
    /// contradicts, if there is one. It is not believed for a while.
    pub fn record_own(
        &mut self,
        now: Duration,
        sent_at: Duration,
        observation: Observation,
    ) -> Option<PeerName> {
        let known = self.nodes.get_mut(&observation.node)?;
        self.unsent.insert(observation.node);
        let peer = known.record_own(now, sent_at, &self.own_name, observation)?;
        self.distrusted_until.insert(peer.clone(), now + DISTRUST_PERIOD);
        Some(peer)
    }

    /// Records what a peer has observed, as far as it is to be believed.
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
        let Some(known) = self.nodes.get_mut(&observation.node) else { return Assessment::Rejected };
        let at = now.saturating_sub(observation.age);
        known.record_from_peer(now, peer, TimedObservation { at, observation })
    }

    /// What peers have last observed of a node, unless it is too old.
    pub fn latest_from_peers(&self, now: Duration, node: SocketAddr) -> Option<TimestampedObservation> {
        let latest = self.nodes.get(&node)?.latest_from_peers()?;
        (now.saturating_sub(latest.at) <= MAX_OBSERVATION_AGE).then(|| latest.dated(now))
    }

    /// Takes the own observations that are to be sent to so many peers now, the latest first, a batch for each message.
    ///
    /// What the budget does not allow now stays, and is dropped when it is too old.
    pub fn take_outgoing(&mut self, now: Duration, peers: usize) -> Vec<Vec<Observation>> {
        self.budget.refill(now);
        if peers == 0 {
            // A peer that joins is sent a snapshot.
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

    /// The nodes whose own observation is to be sent. Drops those that are too old.
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

    /// All that is known and not too old, for a peer that joins, a batch for each message. Failures are left out: only a
    /// router that has failed itself may say so.
    pub fn snapshot(&self, now: Duration) -> Vec<Vec<Observation>> {
        let mut nodes: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        nodes.sort_unstable();
        let latest = |node: &SocketAddr| self.nodes[node].latest_answer()?.aged(now);
        let batches =
            nodes.chunks(OBSERVATION_BATCH_SIZE).map(|nodes| nodes.iter().filter_map(latest).collect());
        batches.filter(|batch: &Vec<Observation>| !batch.is_empty()).collect()
    }

    /// The size of the tables in bytes, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        let failures: usize = self.nodes.values().map(NodeObservations::failure_count).sum();
        self.nodes.len() * size_of::<(SocketAddr, NodeObservations)>()
            + self.unsent.len() * size_of::<SocketAddr>()
            + (failures + self.distrusted_until.len()) * size_of::<(PeerName, Duration)>()
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}

/// Observations packed into as few messages as hold them: a message costs its sender a system call for each peer, and each
/// receiver another.
#[derive(Default)]
struct Batches {
    batches: Vec<Vec<Observation>>,
    /// What is left of the last batch.
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
