//! What a control instance and a router say to each other. The bytes are another package's matter.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Into so many parts the databases are divided. A copy is asked for, sent and checked part by part.
pub const PARTITIONS: usize = 64;
/// Watermarks are told for so many classes of lag: each reaches twice as far behind as the one before.
pub const CLASSES: usize = 8;
/// No more changes travel with a digest, and no more entries in one chunk of a copy. How many fit a datagram is reckoned
/// by their bytes (`size`).
pub const CHANGES_ALONG: usize = 64;
pub const ENTRIES_ALONG: usize = 128;

/// A part of the databases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// Which part a database belongs to: by its address alone, so that all processes agree.
    pub fn of(node: SocketAddr) -> Self {
        let mut bytes = [0; 18];
        bytes[..16].copy_from_slice(&match node.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        });
        bytes[16..].copy_from_slice(&node.port().to_be_bytes());
        Self((xxh3_64(&bytes) % PARTITIONS as u64) as u8)
    }
}

/// The state of a part's copy at one start of one publisher. Grows by one with each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u32);

/// Number of a digest, of one start of one publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DigestNo(pub u32);

/// Place of a class of lag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LagClass(pub u8);

/// How a database stands. All but the first is an exception.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeStatus {
    /// It is seen as often as it should be, and was no further behind than its class of lag says. The class of a
    /// database in step is the first.
    Seen(LagClass),
    /// It answers, but tells no position, or was last seen too long ago.
    Unseen,
    /// Several control instances have failed to reach it, each by itself.
    Down,
}

/// What is told of a database by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub primary: Option<bool>,
    /// When it started, on the deployment's clock, as far as that matters still: a database that has long been warm
    /// needs none.
    pub started: Option<Duration>,
    pub standing: NodeStatus,
}

/// One step of a part's copy: the entry as it stands from that revision on, or that the database is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    pub revision: Revision,
    pub node: SocketAddr,
    /// `None`: the database has left the list.
    pub entry: Option<Entry>,
}

/// One short word for all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub number: DigestNo,
    /// When it was sent, on the publisher's own clock, which only goes forward. The receiver tells by it how late a
    /// digest is beside the others of that publisher, so that lateness passes for age and not for freshness.
    pub sent: Duration,
    /// How long before the sending each database that stands as `Seen` had been seen last, at the most.
    pub age: Duration,
    /// For each class of lag: a log position, on the deployment's clock, that each database of the class had shown
    /// then. `None` where no database is of the class.
    pub watermarks: [Option<Duration>; CLASSES],
    /// The revision of each part that this digest speaks for. It says nothing to whoever has another one. The default
    /// where it speaks for no copy: something has changed there that cannot be told yet.
    pub revisions: Vec<Revision>,
    /// The latest changes, each told in several digests.
    pub changes: Vec<Change>,
    /// How often each database is probed by all control instances together, and about how many routers there are:
    /// what a router needs to know to pace its own probing while no control instance speaks.
    pub period: Duration,
    pub routers: u32,
}

/// A part of a part's copy. A copy is taken over when all its chunks have come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    pub part: PartitionId,
    pub revision: Revision,
    /// Place among the chunks of this copy, and how many they are.
    pub place: u16,
    pub of: u16,
    /// The same is told of many: so each entry comes once, with all that it holds for.
    pub alike: Vec<(Entry, Vec<SocketAddr>)>,
}

/// What has waited longer than this is worth nothing.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

impl Digest {
    /// It has waited for so long in the receiver's own socket: as though sent so much later, and as much older. `None`
    /// where it is worth nothing any more.
    pub fn waited(self, span: Duration) -> Option<Self> {
        let (sent, age) = (self.sent.saturating_add(span), self.age.saturating_add(span));
        (span <= LONGEST_WAIT).then_some(Self { sent, age, ..self })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a router: send me digests from now on, for a short while. Said until the first has come; it does no more than
    /// ask, and is all that may be said before the other's start is known.
    Subscribe,
    /// From a router: I need no more digests.
    Unsubscribe,
    /// From a router: send me copies of these parts.
    Pull(Vec<PartitionId>),
    Digest(Digest),
    Chunk(Chunk),
    /// From a control instance: there is no room here for one more subscriber.
    Full,
    /// From a control instance: it ends.
    Leaving,
    /// From a router that has been told: go on. It names the other's start, which only who takes its digests knows, so
    /// that it shows where the router is, as no recorded `Subscribe` does.
    Renew,
}

impl Message {
    /// As it is worth after so long in the receiver's own socket, where it is worth anything.
    pub fn waited(self, span: Duration) -> Option<Self> {
        match self {
            Self::Digest(digest) => digest.waited(span).map(Self::Digest),
            other => Some(other),
        }
    }
}

/// A message with whom it is from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: PeerName,
    pub start: Incarnation,
    pub message: Message,
}
