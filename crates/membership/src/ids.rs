//! The identifiers of members, their versions, and tasks, each a type of its own.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The longest name of a router. The sizes of datagrams are computed with it.
pub const MAX_PEER_NAME_BYTES: usize = 32;

/// The text is not the name of a router.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a name has 1 to {MAX_PEER_NAME_BYTES} letters, digits, dots, dashes and underscores, found {found:?}"
)]
pub struct InvalidPeerName {
    /// The text that was given.
    pub found: String,
}

/// The name of a router, which is the same after a restart. Names are ordered by their bytes.
///
/// The bytes are stored in place: names are compared for each observation, where a heap allocation would cost more than
/// the comparison.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PeerName {
    /// Zero from the end of the name on.
    bytes: [u8; MAX_PEER_NAME_BYTES],
    length: u8,
}

impl PeerName {
    /// The name with this text.
    ///
    /// # Errors
    /// The text is empty, too long, or has other characters than ASCII letters, digits, dots, dashes and underscores.
    pub fn new(name: &str) -> Result<Self, InvalidPeerName> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        if !(1..=MAX_PEER_NAME_BYTES).contains(&name.len()) || !name.bytes().all(is_allowed) {
            return Err(InvalidPeerName { found: name.to_string() });
        }
        let mut bytes = [0; MAX_PEER_NAME_BYTES];
        bytes[..name.len()].copy_from_slice(name.as_bytes());
        Ok(Self { bytes, length: name.len() as u8 })
    }

    /// The text of the name.
    pub fn as_str(&self) -> &str {
        // `new` has accepted ASCII alone.
        str::from_utf8(&self.bytes[..usize::from(self.length)]).unwrap_or_default()
    }
}

impl TryFrom<String> for PeerName {
    type Error = InvalidPeerName;
    fn try_from(name: String) -> Result<Self, InvalidPeerName> {
        Self::new(&name)
    }
}

impl From<PeerName> for String {
    fn from(name: PeerName) -> Self {
        name.as_str().to_string()
    }
}

impl fmt::Display for PeerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for PeerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("PeerName").field(&self.as_str()).finish()
    }
}

/// One start of a router: microseconds of Unix time at that start, or more where a peer remembers a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The version of a member's record: a later incarnation wins, and within one the later revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberVersion {
    /// The start of the router that the record is about.
    pub incarnation: Incarnation,
    /// Raised by the router itself each time it refutes a suspicion, joins again or leaves.
    pub revision: u32,
}

/// The number of a ping, chosen by the router that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PingNumber(pub u32);

/// A kind of sharded task. Routers that share tasks number the kinds alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKind(pub u8);

/// What a sharded task is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskTarget {
    /// One node.
    Node(SocketAddr),
    /// The whole installation, as for a comparison of lists or a report.
    Deployment,
}

/// A sharded task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// What is done.
    pub kind: TaskKind,
    /// What it is done to.
    pub target: TaskTarget,
}
