//! What a publisher or a subscriber asks of its host, and the plain data that passes.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};

use crate::message::Message;

/// What either side may do. Everything takes effect at once, in the order of the calls.
pub trait Host {
    /// Sends a datagram that may be lost. `session` is the receiver's start, where it is known: a receiver takes
    /// nothing but `Subscribe` that does not name its own.
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, message: Message);
    /// Asks for one call of `timer_fired` after this span.
    fn set_timer(&mut self, after: Duration);
    /// To a router alone: something about a database has changed by name, so that nobody should wait until it asks.
    fn learnt(&mut self, word: FeedObservation);
    fn tell(&mut self, event: Event);
}

/// What a router may believe of a database by now, dated on its own clock. Hearsay: an answer proves it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FeedObservation {
    pub node: SocketAddr,
    /// When the database was last seen, at the earliest.
    pub at: Duration,
    /// A log position, on the deployment's clock, that it had shown when that was told.
    pub position: Option<Duration>,
    pub primary: Option<bool>,
    pub started: Option<Duration>,
    pub failed: bool,
}

/// What people may want to know. Names are stable: docs/on-call.md lists them.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A router: this control instance's digests are taken from now on.
    Following(PeerName),
    /// A router: this control instance has been silent too long, or has left.
    Lost(PeerName),
    /// A router: no control instance speaks, it goes on alone; and then not any more.
    Alone,
    NotAlone,
    /// A control instance: more routers ask than it has room for.
    TooManySubscribers(PeerName),
    /// A control instance: so many routers follow, and so many copies of parts wait to be sent.
    Subscribers {
        routers: usize,
        waiting: usize,
    },
}
