//! The messages between a control instance and a router. `quillpoint-datagram` turns them into bytes: the order of
//! fields and variants here is the wire format.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How many partitions the databases are divided into. Snapshots are requested, sent and checked by partition.
pub const PARTITIONS: usize = 64;
/// How many lag classes have a watermark. Each reaches twice as far behind as the one before.
pub const LAG_CLASSES: usize = 8;
/// The most changes in one digest. How many fit a datagram is computed from their size ([`crate::encoded_size`]).
pub const MAX_CHANGES_PER_DIGEST: usize = 64;
/// The most entries in one chunk of a snapshot.
pub const MAX_ENTRIES_PER_CHUNK: usize = 128;
/// A digest that has waited longer than this in the receiver's socket is discarded.
const MAX_SOCKET_DELAY: Duration = Duration::from_secs(2);

/// A partition of the databases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// The partition that a database belongs to: a hash of its address alone, so that all processes agree.
    pub fn of(node: SocketAddr) -> Self {
        let mut bytes = [0; 18];
        bytes[..16].copy_from_slice(&match node.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        });
        bytes[16..].copy_from_slice(&node.port().to_be_bytes());
        Self((xxh3_64(&bytes) % PARTITIONS as u64) as u8)
    }

    /// The partition's place in a list of all of them.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The revision of a partition's snapshot in one incarnation of one publisher. Grows by one with each change; the
/// default is that of no snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u32);

/// Sequence number of a digest in one incarnation of one publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DigestNumber(pub u32);

/// Index of a lag class, below [`LAG_CLASSES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LagClass(pub u8);

/// The status of a database. Digests cover those that are `Seen`; the others are exceptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeStatus {
    /// It is seen as often as it should be, and was no further behind than its lag class says. A database in step is
    /// of the first class.
    Seen(LagClass),
    /// It answers without a log position, or was last seen too long ago.
    Unseen,
    /// Several control instances have failed to reach it, each by itself.
    Down,
}

/// What a snapshot or a change says of one database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Whether it is a primary, if known.
    pub primary: Option<bool>,
    /// When it started, on the deployment's clock; `None` once it has long been warm.
    pub started: Option<Duration>,
    /// Its status.
    pub status: NodeStatus,
}

/// A delta of one database: its entry from that revision on, or its removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The partition's revision after the change.
    pub revision: Revision,
    /// The database.
    pub node: SocketAddr,
    /// `None`: the database has left the endpoint list.
    pub entry: Option<Entry>,
}

/// The summary of all databases that a publisher sends to every subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Grows by one with each round.
    pub number: DigestNumber,
    /// When it was sent, on the publisher's monotonic clock. The receiver finds out by it how late a digest is compared
    /// with the others of that publisher, so that delay counts as age.
    pub sent: Duration,
    /// How long before the sending each database that is `Seen` had been seen last, at the most.
    pub age: Duration,
    /// For each lag class a log position, on the deployment's clock, that each database of the class had applied by
    /// then. `None` where no database is of the class.
    pub watermarks: [Option<Duration>; LAG_CLASSES],
    /// The revision of each partition that the digest covers. It says nothing to a receiver that has another one. The
    /// default where it does not cover the partition: a change there is still waiting.
    pub revisions: Vec<Revision>,
    /// The latest changes; each is repeated in several digests.
    pub changes: Vec<Change>,
    /// How often each database is checked by all control instances together: with `router_count` the base of a router's
    /// quota of health checks while it is isolated.
    pub health_check_period: Duration,
    /// About how many routers there are.
    pub router_count: u32,
}

/// A chunk of a partition's snapshot. A snapshot is taken over when all its chunks have arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The partition.
    pub partition: PartitionId,
    /// The snapshot's revision.
    pub revision: Revision,
    /// Place among the chunks of this snapshot, from zero.
    pub index: u16,
    /// How many chunks the snapshot has.
    pub chunk_count: u16,
    /// Each entry once, with all databases that it applies to: most entries are equal.
    pub groups: Vec<(Entry, Vec<SocketAddr>)>,
}

impl Digest {
    /// Whether it has a revision of each partition and no more changes than may be sent.
    pub fn is_well_formed(&self) -> bool {
        self.revisions.len() == PARTITIONS && self.changes.len() <= MAX_CHANGES_PER_DIGEST
    }

    /// The digest after it has waited for `socket_delay` in the receiver's socket: as if sent later by that, and older by
    /// that. `None` if it waited too long to be of use.
    pub fn aged_by(self, socket_delay: Duration) -> Option<Self> {
        if socket_delay > MAX_SOCKET_DELAY {
            return None;
        }
        // The wait moves from the delay to the age: `sent` is later by it, so that `DelayMeasurement` does not count it again.
        let sent = self.sent.saturating_add(socket_delay);
        let age = self.age.saturating_add(socket_delay);
        Some(Self { sent, age, ..self })
    }
}

/// A message of the feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a router: send digests for a short while. Repeated until the first digest arrives. It is the only message
    /// that is accepted without the receiver's incarnation, and does no more than this.
    Subscribe,
    /// From a router: send no more digests.
    Unsubscribe,
    /// From a router: send snapshots of these partitions.
    Pull(Vec<PartitionId>),
    /// From a control instance.
    Digest(Digest),
    /// From a control instance, in answer to `Pull`.
    Chunk(SnapshotChunk),
    /// From a control instance: the highest number of subscribers is reached.
    SubscriptionRejected,
    /// From a control instance: it shuts down.
    Leaving,
    /// From a router that receives digests: go on. It names the receiver's incarnation, which only a router that
    /// received a digest knows; so it validates the router's address, which a replayed `Subscribe` does not.
    Renew,
}

impl Message {
    /// The message after it has waited for `socket_delay` in the receiver's socket. `None` if it is of no use any more.
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
