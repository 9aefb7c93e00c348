//! What a datagram can carry, and what must be known of it to take it or not.

use quillpoint_membership::{GossipBody, GossipMessage, Incarnation, PeerName};
use quillpoint_observation_feed::{Envelope, Message};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub trait Payload: Serialize + DeserializeOwned {
    /// The second byte of the head, under the hash, so that nothing can pass for a payload of another kind.
    const KIND: u8;
    /// Whether a sender's later start ends what its earlier ones sent. Where it does not, each start has a window of
    /// its own, so that a sender whose clock went back over a restart is heard.
    const LATEST_START_ONLY: bool;
    /// Whom it is from, and which start of that process.
    fn sender(&self) -> (&PeerName, Incarnation);
    /// Whether it does no more than ask, so that it may leave the receiver's start open.
    fn only_asks(&self) -> bool;
}

/// Between members of a fleet.
impl Payload for GossipMessage {
    const KIND: u8 = b'P';
    const LATEST_START_ONLY: bool = true;
    fn sender(&self) -> (&PeerName, Incarnation) {
        (&self.from.name, self.from.version.incarnation)
    }
    fn only_asks(&self) -> bool {
        self.body == GossipBody::JoinRequest
    }
}

/// Between a control instance and a router.
impl Payload for Envelope {
    const KIND: u8 = b'F';
    const LATEST_START_ONLY: bool = false;
    fn sender(&self) -> (&PeerName, Incarnation) {
        (&self.from, self.incarnation)
    }
    fn only_asks(&self) -> bool {
        self.message == Message::Subscribe
    }
}
