//! What one router says to another. The bytes are another package's matter.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{MemberVersion, PeerName, PingNumber};

/// So many cards travel with any letter, and so many in one that tells the whole view.
pub const CARDS_ALONG: usize = 4;
pub const CARDS_WHOLE: usize = 10;
/// So many pieces of news fill a letter: with a sender and cards of the longest names it stays within a datagram.
pub const NEWS_ALONG: usize = 10;
/// More do as long as they take no more bytes than this, which leaves room for the longest sender and cards.
pub const NEWS_ROOM: usize = 680;

/// How a router stands, worst last: of two words about the same life the worse one holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Has started, and still asks for the record.
    Joining,
    Up,
    /// Has not answered somebody, and may contradict.
    Suspect,
    /// Said itself that it goes.
    Left,
    Dead,
}

impl MemberState {
    /// Whether it may act, so that letters and duties go to it.
    pub fn is_there(self) -> bool {
        self <= Self::Suspect
    }
}

/// What is known of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: PeerName,
    pub life: MemberVersion,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Place of its zone in the deployment's settings.
    pub zone: u16,
    /// Its share of duties beside that of others.
    pub weight: u8,
    pub state: MemberState,
}

/// What a router found out about a node. Times are spans back from the sending, so that clocks need not agree;
/// log positions are the node's own, on the deployment's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    pub node: SocketAddr,
    pub age: Duration,
    pub position: Option<Duration>,
    /// What it said of its role.
    pub primary: Option<bool>,
    /// How many wait there.
    pub waiting: Option<u32>,
    /// When it started, where that is known.
    pub started: Option<Duration>,
    /// A probe of it failed; all else is then empty.
    pub failed: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GossipBody {
    /// Asks for a welcome, and for the record.
    JoinRequest,
    /// A part of the view, to one who has said hello.
    JoinReply,
    Ping(PingNumber),
    Ack(PingNumber),
    /// Asks the receiver to ping this peer and to pass on its ack.
    IndirectPing(PingNumber, PeerName),
    Observations(Vec<Observation>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    pub from: MemberRecord,
    pub body: GossipBody,
    pub cards: Vec<MemberRecord>,
}

impl GossipMessage {
    /// It has waited for so long in the receiver's own socket: what it tells is as much older.
    pub fn waited(mut self, span: Duration) -> Self {
        if let GossipBody::Observations(news) = &mut self.body {
            news.iter_mut().for_each(|news| news.age = news.age.saturating_add(span));
        }
        self
    }
}

impl Observation {
    /// How many bytes it takes at the most, in postcard's format: a number takes a byte for each seven bits.
    pub fn bytes(&self) -> usize {
        let number = |value: u64| (64 - (value | 1).leading_zeros() as usize).div_ceil(7);
        let span = |span: Duration| number(span.as_secs()) + number(u64::from(span.subsec_nanos()));
        let option = |span_or_none: Option<Duration>| 1 + span_or_none.map_or(0, span);
        let address = 1 + if self.node.is_ipv4() { 4 } else { 16 } + number(u64::from(self.node.port()));
        let waiting = 1 + self.waiting.map_or(0, |waiting| number(u64::from(waiting)));
        address + span(self.age) + option(self.position) + 2 + waiting + option(self.started) + 1
    }
}
