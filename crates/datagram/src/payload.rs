//! What a datagram can carry, and what must be known of it to take it or not.

use quillpoint_membership::{GossipBody, GossipMessage, Incarnation, PeerName};
use quillpoint_observation_feed::{Envelope, Message};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The process that a payload is from.
pub struct Sender<'a> {
    /// The same after a restart.
    pub name: &'a PeerName,
    /// Which start of that process.
    pub incarnation: Incarnation,
}

/// A message that datagrams of one kind carry.
pub trait Payload: Serialize + DeserializeOwned {
    /// The second byte of the header, under the hash, so that nothing can pass for a payload of another kind.
    const KIND: u8;
    /// Whether a sender's later incarnation ends what its earlier ones sent. Where it does not, each incarnation has a
    /// window of its own, so that a sender whose clock went back over a restart is heard.
    const LATEST_INCARNATION_ONLY: bool;
    /// Whom it is from.
    fn sender(&self) -> Sender<'_>;
    /// Whether it does no more than ask, so that it may leave the receiver's incarnation open.
    fn may_omit_receiver(&self) -> bool;
}

/// Between members of a fleet.
impl Payload for GossipMessage {
    const KIND: u8 = b'P';
    const LATEST_INCARNATION_ONLY: bool = true;

    fn sender(&self) -> Sender<'_> {
        Sender { name: &self.from.name, incarnation: self.from.version.incarnation }
    }

    fn may_omit_receiver(&self) -> bool {
        self.body == GossipBody::JoinRequest
    }
}

/// Between a control instance and a router.
impl Payload for Envelope {
    const KIND: u8 = b'F';
    const LATEST_INCARNATION_ONLY: bool = false;

    fn sender(&self) -> Sender<'_> {
        Sender { name: &self.from, incarnation: self.incarnation }
    }

    fn may_omit_receiver(&self) -> bool {
        self.message == Message::Subscribe
    }
}
