//! The messages between members. Their bytes are the concern of `quillpoint-datagram`; postcard encodes fields and variants
//! by their order here.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{MemberVersion, PeerName, PingNumber};

/// The most member records that are piggybacked on a message, beside the receiver's own.
pub const MAX_PIGGYBACKED_RECORDS: usize = 4;
/// The most member records in a join reply, beside the receiver's own. More do not fit a datagram.
pub const MAX_JOIN_REPLY_RECORDS: usize = 10;
/// The number of observations that fit a datagram whatever they hold, beside records with the longest names.
pub const OBSERVATION_BATCH_SIZE: usize = 10;
/// More observations go into a message while their encoded size is no larger: the rest of a datagram is left for a sender
/// and records with the longest names.
pub const MAX_OBSERVATION_BATCH_BYTES: usize = 680;

/// The state of a member, in ascending order: of two records with the same version the one with the higher state holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It has started, and has no view of the fleet yet.
    Joining,
    /// It is a member.
    Up,
    /// It has not answered a ping, and can still refute the suspicion.
    Suspect,
    /// It has announced that it leaves.
    Left,
    /// It has not refuted a suspicion in time.
    Dead,
}

impl MemberState {
    /// Whether the member may be running: it is sent messages and counted among the routers.
    pub fn is_active(self) -> bool {
        self <= Self::Suspect
    }
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: PeerName,
    /// The version of this record.
    pub version: MemberVersion,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The index of its zone in the deployment's settings.
    pub zone: u16,
    /// Its share of the tasks, relative to that of the others. Zero for none.
    pub weight: u8,
    /// Its state.
    pub state: MemberState,
}

/// What a router has observed of a node. Times are ages at the sending, so that clocks need not agree; log positions and
/// starts are the node's own, on the deployment's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The node.
    pub node: SocketAddr,
    /// How long ago it was observed.
    pub age: Duration,
    /// Its log position: a time up to which all commits are applied there.
    pub position: Option<Duration>,
    /// Whether it said that it is the primary.
    pub primary: Option<bool>,
    /// How many requests were queued there.
    pub waiting: Option<u32>,
    /// When it started, where that is known.
    pub started: Option<Duration>,
    /// A health check of it failed; all else is then empty.
    pub failed: bool,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GossipBody {
    /// Asks for a join reply and for the recent observations. From a member that leaves, it carries the news of that.
    JoinRequest,
    /// Carries a part of the sender's view to a member that has sent a join request.
    JoinReply,
    /// Asks for an ack with this number.
    Ping(PingNumber),
    /// Answers a ping.
    Ack(PingNumber),
    /// Asks the receiver to ping this peer, and to forward the ack under this number.
    IndirectPing(PingNumber, PeerName),
    /// What the sender has observed of nodes.
    Observations(Vec<Observation>),
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The record of the sender.
    pub from: MemberRecord,
    /// What the message is for.
    pub body: GossipBody,
    /// Piggybacked records of members.
    pub records: Vec<MemberRecord>,
}

impl GossipMessage {
    /// The message after a wait of this long in the receiver's socket: its observations are older by that.
    pub fn aged_by(mut self, wait: Duration) -> Self {
        if let GossipBody::Observations(observations) = &mut self.body {
            for observation in observations {
                observation.age = observation.age.saturating_add(wait);
            }
        }
        self
    }
}

impl Observation {
    /// An upper bound of the encoded size in bytes. Postcard encodes a number in a byte for each seven bits.
    pub fn max_encoded_bytes(&self) -> usize {
        let number = |value: u64| (64 - (value | 1).leading_zeros() as usize).div_ceil(7);
        let duration = |value: Duration| number(value.as_secs()) + number(u64::from(value.subsec_nanos()));
        let optional_duration = |value: Option<Duration>| 1 + value.map_or(0, duration);
        let ip_bytes = if self.node.is_ipv4() { 4 } else { 16 };
        let node = 1 + ip_bytes + number(u64::from(self.node.port()));
        let primary = 2;
        let waiting = 1 + self.waiting.map_or(0, |waiting| number(u64::from(waiting)));
        let failed = 1;
        node + duration(self.age)
            + optional_duration(self.position)
            + primary
            + waiting
            + optional_duration(self.started)
            + failed
    }
}
