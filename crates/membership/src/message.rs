//! The messages between members. `quillpoint-datagram` encodes them by postcard, in which the order of the
//! fields and variants here is the wire format.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{MemberVersion, PeerName, PingNumber};

/// The maximum number of member records that are piggybacked on a message, in addition to the receiver's own.
pub const MAX_PIGGYBACKED_RECORDS: usize = 4;
/// The maximum number of member records in a join reply, in addition to the receiver's own. More do not fit
/// in a datagram.
pub const MAX_JOIN_REPLY_RECORDS: usize = 10;
/// This many observations fit in a datagram whatever their values are, together with piggybacked records of
/// members with the longest names.
pub const OBSERVATION_BATCH_SIZE: usize = 10;
/// A message with new observations carries more than [`OBSERVATION_BATCH_SIZE`] of them as long as their
/// encoded size does not exceed this. The rest of a datagram is reserved for the records of the sender and of
/// other members, with the longest names.
pub const MAX_OBSERVATION_BATCH_BYTES: usize = 680;

/// The state of a member. The variants are in ascending order; a higher state is called worse. Of two records
/// with the same version, the one with the higher state takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It has started, or resumed after a pause, and has no current view of the fleet yet.
    Joining,
    /// It is a member.
    Up,
    /// It has not acknowledged a ping, and can still refute the suspicion.
    Suspect,
    /// It has announced that it leaves the fleet.
    Left,
    /// It has not refuted a suspicion before the timeout.
    Dead,
}

impl MemberState {
    /// Whether the member may be running. Only active members count as members of the fleet and are chosen as
    /// receivers of pings and observations. Inactive ones may still get join requests and join replies, so
    /// that they can return.
    pub fn is_active(self) -> bool {
        self <= Self::Suspect
    }
}

/// What one member knows about another, or states about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: PeerName,
    /// The version of this record.
    pub version: MemberVersion,
    /// The address at which its peers reach it.
    pub address: SocketAddr,
    /// The index of its zone in the deployment's settings.
    pub zone: u16,
    /// Its share of the tasks, relative to the weights of the other members. With zero it owns none.
    pub weight: u8,
    /// Its state.
    pub state: MemberState,
}

/// A member's observation of a node. The time of the observation is sent as an age, so that the members'
/// clocks need not be synchronized; the log position and the start time are reported by the node, on the
/// deployment's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The node.
    pub node: SocketAddr,
    /// The time since the observation, as of the sending of the message.
    pub age: Duration,
    /// Its log position: the time up to which it has applied all commits.
    pub position: Option<Duration>,
    /// Whether it reported that it is the primary.
    pub primary: Option<bool>,
    /// The number of requests that were queued at the node.
    pub waiting: Option<u32>,
    /// When it started, if known.
    pub started: Option<Duration>,
    /// Whether a health check of the node failed. All optional fields are then `None`.
    pub failed: bool,
}

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GossipBody {
    /// Requests a join reply and the recent observations. A member that leaves announces it by a join
    /// request, in which its own record has the state [`MemberState::Left`].
    JoinRequest,
    /// Carries a part of the sender's member records. Sent to a member that has sent a join request, or any
    /// message while the sender has it recorded as dead or left.
    JoinReply,
    /// Requests an ack with this number.
    Ping(PingNumber),
    /// Acknowledges the ping with this number.
    Ack(PingNumber),
    /// Requests that the receiver pings this peer, and answers with an ack of this number when the peer has
    /// acknowledged.
    IndirectPing(PingNumber, PeerName),
    /// Observations of nodes.
    Observations(Vec<Observation>),
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The record of the sender.
    pub from: MemberRecord,
    /// The body of the message.
    pub body: GossipBody,
    /// The piggybacked records of members, which may include the receiver.
    pub records: Vec<MemberRecord>,
}

impl GossipMessage {
    /// Adds to the ages of the observations the time that the message has waited in the receiver's socket.
    pub fn aged_by(mut self, socket_delay: Duration) -> Self {
        if let GossipBody::Observations(observations) = &mut self.body {
            for observation in observations {
                observation.age = observation.age.saturating_add(socket_delay);
            }
        }
        self
    }
}

impl Observation {
    /// An upper bound of the encoded size in bytes. Postcard encodes an integer as a varint, with seven bits
    /// per byte.
    pub fn max_encoded_bytes(&self) -> usize {
        let varint = |value: u64| (64 - (value | 1).leading_zeros() as usize).div_ceil(7);
        let duration = |value: Duration| varint(value.as_secs()) + varint(u64::from(value.subsec_nanos()));
        let optional_duration = |value: Option<Duration>| 1 + value.map_or(0, duration);
        let ip_bytes = if self.node.is_ipv4() { 4 } else { 16 };
        let node = 1 + ip_bytes + varint(u64::from(self.node.port()));
        let primary = 2;
        let waiting = 1 + self.waiting.map_or(0, |waiting| varint(u64::from(waiting)));
        let failed = 1;
        node + duration(self.age)
            + optional_duration(self.position)
            + primary
            + waiting
            + optional_duration(self.started)
            + failed
    }
}
