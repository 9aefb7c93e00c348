//! The interface of the decision module: what it asks of its host, and the plain data that passes.
//!
//! All times are spans on one clock that every router reads and that only goes forward. A log position is a
//! time on the same clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RpcId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub SocketAddr);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaSetId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

/// Place of a method in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MethodId(pub usize);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Which attempt of its RPC, counted from 0 in the order they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// What the module may do. Everything takes effect at once, in the order of the calls.
pub trait Host {
    fn attempt(&mut self, rpc: RpcId, node: NodeId, timeout: Duration);
    /// Final answer: nothing ran, come back after `retry_after` (zero: no advice).
    fn reject(&mut self, rpc: RpcId, retry_after: Duration);
    /// Final answer that promises nothing about the effect.
    fn abort(&mut self, rpc: RpcId);
    fn probe(&mut self, node: NodeId);
    /// Closes this router's idle connections to the node.
    fn close_idle(&mut self, node: NodeId);
    /// Asks for changes to the node list from now on.
    fn watch_endpoints(&mut self);
    /// Asks for one call of `timer_fired` after this span. It cannot be taken back.
    fn set_timer(&mut self, after: Duration);
    fn log(&mut self, line: &str);
}

/// One setting. The map's names are dotted paths, list places as numbers: `methods.0.deadline`.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Flag(bool),
    Number(f64),
    Span(Duration),
    Text(String),
}

/// The settings: a plain map, with a look-up for each type of value.
#[derive(Clone, Debug, Default)]
pub struct ValueMap(pub BTreeMap<String, Value>);

impl ValueMap {
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }
    pub fn span(&self, name: &str) -> Option<Duration> {
        match self.0.get(name) {
            Some(Value::Span(span)) => Some(*span),
            _ => None,
        }
    }
    /// Empty where the setting is missing.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Flag(true)))
    }
    /// Whether the setting says no; one that is missing does not.
    pub fn denies(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Flag(false)))
    }
}

#[derive(Clone, Debug)]
pub struct Rpc {
    pub id: RpcId,
    pub method: MethodId,
    pub session: Option<SessionKey>,
    pub group: ReplicaSetId,
    /// How long the client still waits for this try.
    pub remaining: Duration,
    pub work: Option<Duration>,
    /// How long ago the session's last write was committed, where clients carry that.
    pub since_write: Option<Duration>,
    pub retried: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    /// Turned away unseen: no room, or the node drains.
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never left the router.
    NotSent,
    /// An answer came of which nothing can be made. It has run.
    Malformed,
    /// Turned away untouched: a write at a replica, or a read the node is too far behind for.
    Misrouted,
}

impl Outcome {
    /// Whether no node can have been sent it whole.
    pub fn unwritten(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotSent)
    }
    /// Whether this outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent | Self::Misrouted)
    }
}

/// What a node says of itself, as old as the report is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub position: Option<Duration>,
    pub primary: Option<bool>,
    pub active: Option<f64>,
    pub waiting: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct AttemptEnd {
    pub rpc: RpcId,
    pub call: AttemptNumber,
    pub node: NodeId,
    pub outcome: Outcome,
    /// The RPC is finished; nothing more is owed.
    pub finished: bool,
    pub took: Duration,
    /// What the answer itself says of the node.
    pub role: Option<Role>,
    /// The node's log position, or the commit time of a write that went through.
    pub position: Option<Duration>,
    pub report: Option<LoadReport>,
}

/// What another router has found out about a node, dated on this router's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerObservation {
    pub node: NodeId,
    pub at: Duration,
    pub position: Option<Duration>,
    pub primary: Option<bool>,
    pub waiting: Option<f64>,
    pub started: Option<Duration>,
    /// Several routers have failed to reach it; all else is then empty.
    pub failed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    InService,
    Draining,
    Removed,
}

/// One line of the node list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub node: NodeId,
    pub group: ReplicaSetId,
    pub zone: ZoneId,
    pub kind: usize,
    pub primary: bool,
    pub condition: EndpointStatus,
    pub started: Option<Duration>,
}

/// How far a piece of news about the node list reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only these entries changed.
    Delta,
    /// The whole list as the registry has it; who is missing is gone.
    Snapshot,
    /// The whole list as this router last saw it, perhaps long ago.
    CachedSnapshot,
}
