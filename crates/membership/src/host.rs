//! What a fleet asks of its host, and the plain data that passes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{Incarnation, MemberVersion, PeerName, TaskId};
use crate::message::{GossipMessage, MemberState};

/// What a fleet may do. Everything takes effect at once, in the order of the calls.
pub trait Host {
    /// Sends a datagram that may be lost. `session` is the receiver's start, where it is known: a receiver
    /// takes nothing but a hello that does not name its own.
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, letter: GossipMessage);
    /// Asks for one call of `timer_fired` after this span.
    fn set_timer(&mut self, after: Duration);
    /// Does the duty once; its end is told by `task_ended`.
    fn run_task(&mut self, duty: TaskId);
    /// What peers found out about a node.
    fn observation_received(&mut self, evidence: DatedObservation);
    fn tell(&mut self, event: Event);
}

/// News that may be believed, dated on this router's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatedObservation {
    pub node: SocketAddr,
    /// When it was found out, at the latest: the flight is not counted.
    pub at: Duration,
    pub position: Option<Duration>,
    pub primary: Option<bool>,
    pub waiting: Option<u32>,
    pub started: Option<Duration>,
    /// Several routers' probes have failed of late, each by itself.
    pub failed: bool,
}

/// What people may want to know. Names are stable: docs/on-call.md lists them.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This router takes part from now on; whether it heard from peers first.
    Joined {
        alone: bool,
    },
    /// It was stopped for so long, and joins anew.
    Stopped(Duration),
    PeerChanged {
        peer: PeerName,
        life: MemberVersion,
        was: Option<MemberState>,
        state: MemberState,
    },
    /// Others said this of us, which is contradicted.
    Contradicted(MemberState),
    /// A later process of our name runs at that address: this one takes no duties.
    Displaced(SocketAddr),
    /// The other one is gone.
    Restored,
    /// No more peers are kept.
    TooManyPeers(PeerName),
    /// A node's own answer contradicts what this peer told, who is not believed for a while.
    Liar {
        peer: PeerName,
        node: SocketAddr,
    },
    /// So many duties are owned here now, of so many, among so many routers.
    TasksAssigned {
        owned: usize,
        all: usize,
        routers: usize,
    },
}
