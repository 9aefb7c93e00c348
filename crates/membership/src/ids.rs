//! Identifiers of members, of versions of their records, and of tasks.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The maximum length of a router's name. The sizes of datagrams are computed from it.
pub const MAX_PEER_NAME_BYTES: usize = 32;

/// The error of a text that is not a valid name of a router.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a member name must have 1 to {MAX_PEER_NAME_BYTES} letters, digits, dots, dashes or underscores, \
     found {found:?}"
)]
pub struct InvalidPeerName {
    /// The invalid text.
    pub found: String,
}

/// The name of a router, which stays the same across restarts. Names are ordered by their bytes.
///
/// The bytes are stored inline, without a heap allocation: names are compared for each observation, and an
/// allocation would cost more than the comparison.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PeerName {
    /// Padded with zeros after the end of the name.
    bytes: [u8; MAX_PEER_NAME_BYTES],
    length: u8,
}

impl PeerName {
    /// Creates a name from its text.
    ///
    /// # Errors
    /// The text is empty, is longer than [`MAX_PEER_NAME_BYTES`], or has characters other than ASCII letters,
    /// digits, dots, dashes and underscores.
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
        // `new` accepts only ASCII, so the conversion cannot fail.
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

/// Identifies one start of a router: the Unix time of the start in microseconds, or a higher number if peers
/// know a later incarnation (after the clock went back).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The version of a member's record, ordered by incarnation, then by revision. The higher version takes
/// precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberVersion {
    /// The incarnation of the router that the record describes.
    pub incarnation: Incarnation,
    /// Incremented by the router itself each time it refutes a suspicion, joins again or leaves.
    pub revision: u32,
}

/// The sequence number of a ping, assigned by the router that sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PingNumber(pub u32);

/// A kind of sharded task. All routers that share tasks must use the same numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKind(pub u8);

/// What a sharded task is run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskTarget {
    /// One node.
    Node(SocketAddr),
    /// The whole deployment, for tasks such as a comparison of endpoint lists or a report.
    Deployment,
}

/// A sharded task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The kind of the task.
    pub kind: TaskKind,
    /// What the task is run on.
    pub target: TaskTarget,
}
