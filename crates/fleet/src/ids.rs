//! The kinds of id of a fleet, each a type of its own.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Longer names would crowd out what datagrams are for.
pub const LONGEST_NAME: usize = 32;

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a name has 1 to {LONGEST_NAME} letters, digits, dots, dashes and underscores")]
pub struct BadName;

/// The name of a router, the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PeerName(String);

impl PeerName {
    pub fn new(name: &str) -> Result<Self, BadName> {
        Self::try_from(name.to_string())
    }
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for PeerName {
    type Error = BadName;
    fn try_from(name: String) -> Result<Self, BadName> {
        let fits = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        let good = (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(fits);
        good.then_some(Self(name)).ok_or(BadName)
    }
}

impl From<PeerName> for String {
    fn from(name: PeerName) -> Self {
        name.0
    }
}

impl fmt::Display for PeerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Which start of a router: microseconds of Unix time at that start, or more where a peer remembers a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Orders what is said of a router: a later start wins, and within one the later word of the router itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    pub incarnation: Incarnation,
    /// Grows each time the router contradicts what others say of it.
    pub version: u32,
}

/// Number of a ping, of the router that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PingNo(pub u32);

/// Place of a kind of duty in the plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u8);

/// What a duty is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    Node(SocketAddr),
    /// The whole installation, as for a comparison of lists or a report.
    Installation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DutyId {
    pub kind: KindId,
    pub subject: Subject,
}
