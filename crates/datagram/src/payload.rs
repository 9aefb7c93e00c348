//! The messages that datagrams carry, and the properties of them that replay protection depends on.

use quillpoint_membership::{GossipBody, GossipMessage, Incarnation, PeerName};
use quillpoint_observation_feed::{Envelope, Message};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The process that sent a payload.
pub struct Sender<'a> {
    /// Its name, which stays the same across restarts.
    pub name: &'a PeerName,
    /// Identifies the run of that process: a restart begins a new incarnation.
    pub incarnation: Incarnation,
}

/// A type of message that is sent in datagrams of a kind of its own.
pub trait Payload: Serialize + DeserializeOwned {
    /// The kind, which is the second byte of the header. The hash covers it, so that a payload cannot be
    /// passed off as one of another kind.
    const KIND: u8;
    /// Whether a later incarnation of a sender invalidates the datagrams of its earlier ones. If not, each
    /// incarnation has its own replay window, so that a sender is still accepted if its clock went back
    /// across a restart and its new incarnation is therefore lower.
    const LATEST_INCARNATION_ONLY: bool;
    /// The process that sent it.
    fn sender(&self) -> Sender<'_>;
    /// Whether the datagram may leave the receiver's incarnation open. This is so only for the first message
    /// to a process whose incarnation is not known yet, which does nothing but ask for a reply.
    fn may_omit_receiver(&self) -> bool;
}

/// Gossip between the members of a fleet.
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

/// The observation feed between a control instance and a router.
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
