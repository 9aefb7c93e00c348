//! What a publisher or a subscriber needs from its host, and the plain data that passes between them.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};

use crate::message::Message;

/// The actions of either side. Each takes effect at once, in the order of the calls.
pub trait Host {
    /// Sends a datagram that may be lost. `receiver` is the receiver's incarnation where it is known: a receiver
    /// accepts nothing but `Subscribe` that does not name its own.
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: Message);
    /// Asks for one call of `timer_fired` after this span.
    fn set_timer(&mut self, after: Duration);
    /// Called for a router alone: a change of a database arrived by name, and should be used without waiting for the
    /// next request.
    fn observation_changed(&mut self, observation: FeedObservation);
    /// Reports an event for the log.
    fn report_event(&mut self, event: Event);
}

/// What a router knows of a database from the feed, dated on the router's clock. Unverified until the database's own
/// answer confirms it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FeedObservation {
    /// The database's address.
    pub node: SocketAddr,
    /// When the database was last seen, at the earliest. The time on the network between control instances is not counted.
    pub seen_at: Duration,
    /// A log position on the deployment's clock that the database had applied by `seen_at`.
    pub position: Option<Duration>,
    /// Whether it is a primary, if known.
    pub primary: Option<bool>,
    /// When it started, on the deployment's clock; `None` once it has long been warm.
    pub started: Option<Duration>,
    /// Several control instances have failed to reach it.
    pub failed: bool,
}

/// An event for the log. docs/on-call.md lists the names under which they are logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Router: the digests of this control instance are used from now on.
    Following(PeerName),
    /// Router: this control instance has been silent too long, or has left.
    Lost(PeerName),
    /// Router: no control instance sends digests; it makes its own health checks within its quota.
    Isolated,
    /// Router: a control instance sends digests again.
    Reconnected,
    /// Control instance: this router was rejected, since the highest number of subscribers is reached.
    SubscriberRejected(PeerName),
    /// Control instance: counts, reported when they have changed.
    SubscriberCounts {
        /// Routers that are subscribed.
        routers: usize,
        /// Snapshots of partitions that wait to be sent.
        pending_snapshots: usize,
    },
}
