//! What a [`Fleet`](crate::Fleet) asks of the process that it runs in, and what it reports.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{Incarnation, MemberVersion, PeerName, TaskId};
use crate::message::{GossipMessage, MemberState};

/// The effects of a fleet. Each takes place at once, in the order of the calls.
pub trait Host {
    /// Sends a datagram, which may be lost. `receiver` is the incarnation of the receiver, where it is known: a receiver
    /// accepts nothing but a join request that does not name its own.
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: GossipMessage);
    /// Asks for one call of `timer_fired` after this time.
    fn set_timer(&mut self, after: Duration);
    /// Runs the task once. Its end is reported by `task_ended`.
    fn run_task(&mut self, task: TaskId);
    /// Takes what peers have observed of a node.
    fn observation_received(&mut self, observation: TimestampedObservation);
    /// Reports a change that operators want to know of.
    fn report_event(&mut self, event: Event);
}

/// A peer's observation that is believed, with its age turned into a time on this router's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimestampedObservation {
    /// The node that was observed.
    pub node: SocketAddr,
    /// When it was observed, at the latest: the time on the network is not counted.
    pub at: Duration,
    /// The log position of the node: a time up to which all commits are applied there.
    pub position: Option<Duration>,
    /// Whether the node said that it is the primary.
    pub primary: Option<bool>,
    /// How many requests were queued there.
    pub waiting: Option<u32>,
    /// When the node started.
    pub started: Option<Duration>,
    /// Several routers have lately failed to reach it, each by a health check of its own.
    pub failed: bool,
}

/// A change that is logged; docs/on-call.md lists the names of the log events.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This router is a member from now on.
    Joined {
        /// No peer has answered its join requests.
        alone: bool,
    },
    /// The process has not run for this long, and joins again.
    ProcessPaused(Duration),
    /// A peer has become known, or its state has changed.
    PeerChanged {
        /// The peer.
        peer: PeerName,
        /// The version of its record.
        version: MemberVersion,
        /// Its state before; none if it was unknown.
        previous: Option<MemberState>,
        /// Its state now.
        state: MemberState,
    },
    /// Peers had this router in that state, which it has refuted.
    SuspicionRefuted(MemberState),
    /// A later process of the same name runs at this address: this one owns no tasks.
    Displaced(SocketAddr),
    /// The later process of the same name is gone.
    Restored,
    /// The table of peers is full: this one is not recorded.
    TooManyPeers(PeerName),
    /// A node's own answer contradicts what this peer has reported of it. The peer is not believed for a while.
    PeerContradicted {
        /// The peer.
        peer: PeerName,
        /// The node.
        node: SocketAddr,
    },
    /// The tasks that this router owns, or the routers that share them, have changed.
    TasksAssigned {
        /// Tasks that this router owns.
        owned: usize,
        /// All tasks.
        total: usize,
        /// Routers among which the tasks are divided.
        routers: usize,
    },
}
