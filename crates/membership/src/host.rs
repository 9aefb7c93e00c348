//! The interface between a [`Fleet`](crate::Fleet) and the process that it runs in.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{Incarnation, MemberVersion, PeerName, TaskId};
use crate::message::{GossipMessage, MemberState};

/// Executes the effects of a fleet, without delay and in the order of the calls.
pub trait Host {
    /// Sends a datagram, which may be lost. `receiver` is the incarnation of the receiver, if it is known: a
    /// router rejects a message that names another incarnation than its own, and one that names none unless
    /// it is a join request.
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: GossipMessage);
    /// Requests one call of [`Fleet::timer_fired`](crate::Fleet::timer_fired) after this delay.
    fn set_timer(&mut self, after: Duration);
    /// Runs the task once. The process reports its end by [`Fleet::task_ended`](crate::Fleet::task_ended).
    fn run_task(&mut self, task: TaskId);
    /// Receives an accepted observation of a node by a peer.
    fn observation_received(&mut self, observation: TimestampedObservation);
    /// Reports a change that is logged for operators.
    fn report_event(&mut self, event: Event);
}

/// A peer's observation of a node that has been accepted, with its age converted to a time on this router's
/// clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimestampedObservation {
    /// The node that was observed.
    pub node: SocketAddr,
    /// Upper bound of the time at which it was observed: the network delay is not subtracted.
    pub at: Duration,
    /// The log position of the node: the time up to which it has applied all commits.
    pub position: Option<Duration>,
    /// Whether the node reported that it is the primary.
    pub primary: Option<bool>,
    /// The number of requests that were queued at the node.
    pub waiting: Option<u32>,
    /// When the node started.
    pub started: Option<Duration>,
    /// Whether several routers have recently failed to reach the node, each in a health check of its own.
    pub failed: bool,
}

/// A change that is logged; docs/on-call.md lists the names of the log events.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This router has become a member.
    Joined {
        /// Whether it became a member because no peer replied to its join requests.
        alone: bool,
    },
    /// The process was not running for this long, so this router joins again.
    ProcessPaused(Duration),
    /// A peer was discovered, or its state has changed.
    PeerChanged {
        /// The peer.
        peer: PeerName,
        /// The version of its record.
        version: MemberVersion,
        /// Its previous state; `None` if the peer was not known.
        previous: Option<MemberState>,
        /// Its new state.
        state: MemberState,
    },
    /// Peers recorded this router in this state, and it has refuted that.
    SuspicionRefuted(MemberState),
    /// Another process with this router's name and a later incarnation runs at this address. This router owns
    /// no tasks until [`Event::Restored`].
    Displaced(SocketAddr),
    /// The other process with this router's name is gone, so this router may own tasks again.
    Restored,
    /// The peer table is full, and this peer was not recorded.
    TooManyPeers(PeerName),
    /// A response of a node contradicts what this peer has reported about the node. Observations of the peer
    /// are rejected for a while.
    PeerContradicted {
        /// The peer.
        peer: PeerName,
        /// The node.
        node: SocketAddr,
    },
    /// The number of tasks, of tasks that this router owns, or of routers that share the tasks has changed.
    TasksAssigned {
        /// The number of tasks that this router owns.
        owned: usize,
        /// The number of all tasks.
        total: usize,
        /// The number of routers among which the tasks are divided.
        routers: usize,
    },
}
