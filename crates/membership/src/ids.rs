//! The kinds of id of a fleet, each a type of its own.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Longer names would crowd out what datagrams are for.
pub const LONGEST_NAME: usize = 32;

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a name has 1 to {LONGEST_NAME} letters, digits, dots, dashes and underscores")]
pub struct InvalidPeerName;

/// The name of a router, the same after a restart. Held in place: names are compared at each piece of news, and a look
/// elsewhere in memory would cost more than all else that is done with one. In the order of their letters.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PeerName {
    /// Zero from the name's end on.
    letters: [u8; LONGEST_NAME],
    length: u8,
}

impl PeerName {
    pub fn new(name: &str) -> Result<Self, InvalidPeerName> {
        let fits = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        if !(1..=LONGEST_NAME).contains(&name.len()) || !name.bytes().all(fits) {
            return Err(InvalidPeerName);
        }
        let mut letters = [0; LONGEST_NAME];
        letters[..name.len()].copy_from_slice(name.as_bytes());
        Ok(Self { letters, length: name.len() as u8 })
    }
    pub fn as_str(&self) -> &str {
        // Letters of ASCII alone are taken.
        str::from_utf8(&self.letters[..usize::from(self.length)]).unwrap_or_default()
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

/// Which start of a router: microseconds of Unix time at that start, or more where a peer remembers a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Orders what is said of a router: a later start wins, and within one the later word of the router itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberVersion {
    pub incarnation: Incarnation,
    /// Grows each time the router contradicts what others say of it.
    pub version: u32,
}

/// Number of a ping, of the router that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PingNumber(pub u32);

/// Place of a kind of duty in the plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKind(pub u8);

/// What a duty is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    Node(SocketAddr),
    /// The whole installation, as for a comparison of lists or a report.
    Installation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub kind: TaskKind,
    pub subject: Subject,
}
