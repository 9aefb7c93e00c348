//! The messages between a control instance and a router. `quillpoint-datagram` encodes them by position: the
//! order of fields and variants here is the wire format.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of partitions into which the databases are divided. Snapshots are requested, sent and validated per
/// partition.
pub const PARTITIONS: usize = 64;
/// Number of lag classes, each with its own watermark. The lag limit of each class is twice that of the one
/// before.
pub const LAG_CLASSES: usize = 8;
/// Maximum number of changes in one digest. How many fit into a datagram also depends on their encoded size
/// ([`crate::encoded_size`]).
pub const MAX_CHANGES_PER_DIGEST: usize = 64;
/// Maximum number of entries in one snapshot chunk.
pub const MAX_ENTRIES_PER_CHUNK: usize = 128;
/// A digest that has waited longer than this in the receiver's socket buffer is discarded.
const MAX_SOCKET_DELAY: Duration = Duration::from_secs(2);

/// Identifies a partition of the databases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// The partition that a database belongs to. Depends only on a hash of its address, so that all processes
    /// agree.
    pub fn of(node: SocketAddr) -> Self {
        let mut bytes = [0; 18];
        bytes[..16].copy_from_slice(&match node.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        });
        bytes[16..].copy_from_slice(&node.port().to_be_bytes());
        Self((xxh3_64(&bytes) % PARTITIONS as u64) as u8)
    }

    /// The partition's index in a list of all partitions.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The revision of a partition's snapshot within one incarnation of one publisher. Increases by one with each
/// change; the default means that there is no snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u32);

/// Sequence number of a digest within one incarnation of one publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DigestNumber(pub u32);

/// Index of a lag class, less than [`LAG_CLASSES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LagClass(pub u8);

/// The status of a database. Digests cover those that are `Seen`; the others are exceptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeStatus {
    /// Health checks reach it as often as they should, and its lag is within the limit of its lag class. A
    /// database that is up to date is in the first class.
    Seen(LagClass),
    /// It answers without a log position, or was last seen too long ago.
    Unseen,
    /// Several control instances have failed to reach it, each with its own health check.
    Down,
}

/// What a snapshot or a change states about one database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Whether it is a primary, if known.
    pub primary: Option<bool>,
    /// When it started, on the deployment's clock; `None` if that was too long ago to matter for slow start.
    pub started: Option<Duration>,
    /// Whether digests cover it, and if not, why.
    pub status: NodeStatus,
}

/// A snapshot delta for one database: its new entry, or its removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The partition's revision after the change.
    pub revision: Revision,
    /// The database's address.
    pub node: SocketAddr,
    /// The new entry; `None` if the database has left the endpoint list.
    pub entry: Option<Entry>,
}

/// The summary of all databases that a publisher regularly sends to every subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Increases by one with each round.
    pub number: DigestNumber,
    /// When it was sent, on the publisher's monotonic clock. The receiver compares it with the publisher's
    /// other digests to estimate the transit delay, which it adds to the age of the observations.
    pub sent: Duration,
    /// At the time of sending, every database that is `Seen` had last been seen no longer ago than this.
    pub age: Duration,
    /// For each lag class, a log position, on the deployment's clock, that each database of the class had
    /// applied when it was last seen. `None` if no database is in the class.
    pub watermarks: [Option<Duration>; LAG_CLASSES],
    /// The revision of each partition. The digest covers a partition only for receivers that have the same
    /// revision. The default means that the digest does not cover the partition, because a change to it has
    /// not been published yet.
    pub revisions: Vec<Revision>,
    /// The latest changes; each is repeated in several digests.
    pub changes: Vec<Change>,
    /// Interval at which each database is checked, by all control instances together. Together with
    /// `router_count` it determines a router's quota of health checks while it is isolated.
    pub health_check_period: Duration,
    /// Approximate number of routers.
    pub router_count: u32,
}

/// A chunk of a partition's snapshot. The receiver installs the snapshot once all its chunks have arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The partition that the snapshot is of.
    pub partition: PartitionId,
    /// The snapshot's revision.
    pub revision: Revision,
    /// Index among the chunks of this snapshot, from zero.
    pub index: u16,
    /// Number of chunks in the snapshot.
    pub chunk_count: u16,
    /// The databases grouped by entry, since most entries are equal.
    pub groups: Vec<(Entry, Vec<SocketAddr>)>,
}

impl Digest {
    /// Whether it has one revision for each partition and no more changes than allowed.
    pub fn is_well_formed(&self) -> bool {
        self.revisions.len() == PARTITIONS && self.changes.len() <= MAX_CHANGES_PER_DIGEST
    }

    /// The digest after it has waited for `socket_delay` in the receiver's socket buffer: both its send time
    /// and its age are increased by the wait. `None` if it waited too long to be usable.
    pub fn aged_by(self, socket_delay: Duration) -> Option<Self> {
        if socket_delay > MAX_SOCKET_DELAY {
            return None;
        }
        // The wait is part of the age now. Moving `sent` by it keeps `DelayMeasurement` from counting it
        // again.
        let sent = self.sent.saturating_add(socket_delay);
        let age = self.age.saturating_add(socket_delay);
        Some(Self { sent, age, ..self })
    }
}

/// A message of the observation feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a router: requests digests for a short time. Repeated until the first digest arrives. The only
    /// message that is accepted without the receiver's incarnation; it has no other effect.
    Subscribe,
    /// From a router: ends the subscription.
    Unsubscribe,
    /// From a router: requests snapshots of these partitions.
    Pull(Vec<PartitionId>),
    /// From a control instance: sent to each subscriber at a fixed interval.
    Digest(Digest),
    /// From a control instance: part of a snapshot requested by `Pull`.
    Chunk(SnapshotChunk),
    /// From a control instance: the subscription is rejected because the maximum number of subscribers is
    /// reached.
    SubscriptionRejected,
    /// From a control instance: it is shutting down.
    Leaving,
    /// From a router that receives digests: renews the subscription. It names the receiver's incarnation,
    /// which only a router that has received a digest knows. It therefore validates the router's address,
    /// unlike a `Subscribe`, which may be a replay.
    Renew,
}

impl Message {
    /// The message after it has waited for `socket_delay` in the receiver's socket buffer. `None` if it is
    /// too old to be usable.
    pub fn aged_by(self, socket_delay: Duration) -> Option<Self> {
        match self {
            Self::Digest(digest) => digest.aged_by(socket_delay).map(Self::Digest),
            other => Some(other),
        }
    }
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's name.
    pub from: PeerName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub message: Message,
}
