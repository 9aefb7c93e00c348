//! The interface between a publisher or subscriber and its host, and the data types that it uses.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};

use crate::message::Message;

/// The actions of a publisher or a subscriber. Each takes effect immediately, in the order of the calls.
pub trait Host {
    /// Sends a datagram, which may be lost. `receiver` is the receiver's incarnation if it is known: a
    /// receiver rejects every message but `Subscribe` that does not name its own incarnation.
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: Message);
    /// Requests one call of `timer_fired` after this delay.
    fn set_timer(&mut self, after: Duration);
    /// Only called by a subscriber: a role, failure or start time of a single database has changed. The
    /// router should apply it now instead of waiting for the next request.
    fn observation_changed(&mut self, observation: FeedObservation);
    /// Reports an event for the log.
    fn report_event(&mut self, event: Event);
}

/// What a router knows about a database from the feed, with times on the router's clock. Unverified until an
/// answer of the database itself confirms it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FeedObservation {
    /// The database's address.
    pub node: SocketAddr,
    /// The earliest possible time at which the database was last seen. Network delay between control
    /// instances is not taken into account.
    pub seen_at: Duration,
    /// A log position, on the deployment's clock, that the database had applied by `seen_at`.
    pub position: Option<Duration>,
    /// Whether it is a primary, if known.
    pub primary: Option<bool>,
    /// When it started, on the deployment's clock; `None` if that was too long ago to matter for slow start.
    pub started: Option<Duration>,
    /// Several control instances have failed to reach it.
    pub failed: bool,
}

/// An event for the log. docs/on-call.md lists the names under which events are logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Router: it has received the first digest of this control instance and now uses its digests.
    Following(PeerName),
    /// Router: this control instance has been silent for too long, has rejected the subscription or is
    /// shutting down.
    Lost(PeerName),
    /// Router: no control instance sends digests; the router makes its own health checks within its quota.
    Isolated,
    /// Router: a control instance sends digests again.
    Reconnected,
    /// Control instance: this router's subscription was rejected because the maximum number of subscribers is
    /// reached.
    SubscriberRejected(PeerName),
    /// Control instance: counts, reported when the number of subscribed routers has changed.
    SubscriberCounts {
        /// Subscribed routers.
        routers: usize,
        /// Partition snapshots waiting to be sent.
        pending_snapshots: usize,
    },
}
