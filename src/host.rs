//! The interface of the decisions: what they ask of their host, and the plain data that passes.
//!
//! All times are spans on one clock that every router reads and that only goes forward. A log position is a time on the
//! same clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// An RPC, unique while its router runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RpcId(pub u64);

/// A node: one PostgreSQL server, by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub SocketAddr);

/// A replica set: one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaSetId(pub u64);

/// A client's session, whose reads see its own writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

/// Place of a method in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MethodId(pub usize);

/// A failure domain that nodes share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Which attempt of its RPC, counted from 0 in the order in which they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// What a router may do. Everything takes effect at once, in the order of the calls.
pub trait Host {
    /// Sends the RPC to the node; the attempt ends with [`Outcome::TimedOut`] after `timeout`.
    fn start_attempt(&mut self, rpc: RpcId, node: NodeId, timeout: Duration);
    /// Final answer: nothing ran, come back after `retry_after` (zero: no advice).
    fn reject(&mut self, rpc: RpcId, retry_after: Duration);
    /// Final answer that promises nothing about the effect.
    fn abort(&mut self, rpc: RpcId);
    /// Asks the node how it is, without an RPC; `health_check_ended` has to be called when that ends.
    fn start_health_check(&mut self, node: NodeId);
    /// Closes this router's idle connections to the node.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Asks for updates of the endpoint list from now on.
    fn watch_endpoints(&mut self);
    /// Asks for one call of `timer_fired` after this span. It cannot be taken back.
    fn set_timer(&mut self, after: Duration);
    /// Writes a line to the host's log, for an operator to read. The decisions write none at present.
    fn log(&mut self, line: &str);
}

/// The value of one setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A boolean.
    Bool(bool),
    /// A count or a ratio.
    Number(f64),
    /// A duration.
    Duration(Duration),
    /// A word, such as the name of a mode.
    Text(String),
}

/// The settings by name. A name is a dotted path in which a number is a list index, such as `methods.0.deadline`. A
/// value whose type differs from the one that is asked for counts as missing.
#[derive(Clone, Debug, Default)]
pub struct ValueMap(pub BTreeMap<String, Value>);

impl ValueMap {
    /// The setting's value if it is a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// The setting's value if it is a duration.
    pub fn duration(&self, name: &str) -> Option<Duration> {
        match self.0.get(name) {
            Some(Value::Duration(duration)) => Some(*duration),
            _ => None,
        }
    }

    /// The setting's value if it is a text, otherwise an empty string.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    /// Whether the setting is explicitly true; a missing one is not.
    pub fn is_true(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Bool(true)))
    }

    /// Whether the setting is explicitly false; a missing one is not.
    pub fn is_false(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Bool(false)))
    }
}

/// An RPC as it arrives.
#[derive(Clone, Debug)]
pub struct Rpc {
    /// Its number.
    pub id: RpcId,
    /// The method that it calls.
    pub method: MethodId,
    /// The session that it is part of.
    pub session: Option<SessionKey>,
    /// The replica set that it is for.
    pub replica_set: ReplicaSetId,
    /// How long the client still waits for this try.
    pub remaining: Duration,
    /// The work that it states.
    pub work: Option<Duration>,
    /// How long ago the session's last write was committed, where clients carry that.
    pub since_write: Option<Duration>,
    /// The client marks it as a retry of its own.
    pub is_retry: bool,
}

/// What a node is in its replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It applies the primary's log.
    Replica,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It went through.
    Ok,
    /// The node answered with an error.
    Error,
    /// Rejected unseen: the node has no capacity, or drains.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection to the node came about.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// It was given up from here.
    Cancelled,
    /// It never left the router.
    NotSent,
    /// The response cannot be read, or is an ok that `permits_response` found stale. The attempt has run.
    Malformed,
    /// Rejected untouched: a write at a replica, or a read that the node is too far behind for.
    Misrouted,
}

impl Outcome {
    /// Whether no node can have been sent the whole request.
    pub fn never_sent(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotSent)
    }

    /// Whether this outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent | Self::Misrouted)
    }
}

/// What a node says of itself, as old as the report is. None stands for what it does not say.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Its log position.
    pub position: Option<Duration>,
    /// Whether it is the primary.
    pub primary: Option<bool>,
    /// Requests in flight there, from all routers.
    pub in_flight: Option<f64>,
    /// Requests queued there, from all routers.
    pub queued: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The RPC.
    pub rpc: RpcId,
    /// Which of its attempts.
    pub attempt: AttemptNumber,
    /// The node that it went to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// The RPC has its final answer; nothing more is owed.
    pub rpc_finished: bool,
    /// Time from the attempt's order to its end.
    pub took: Duration,
    /// What the answer itself says of the node's role.
    pub role: Option<Role>,
    /// The node's log position, or the commit time of a write that went through.
    pub position: Option<Duration>,
    /// The report that came with the answer.
    pub report: Option<LoadReport>,
}

/// What another router has found out about a node, dated on this router's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerObservation {
    /// The node.
    pub node: NodeId,
    /// When it was observed.
    pub at: Duration,
    /// Its log position then.
    pub position: Option<Duration>,
    /// Whether it was the primary.
    pub primary: Option<bool>,
    /// Requests queued there.
    pub queued: Option<f64>,
    /// When its process started.
    pub started: Option<Duration>,
    /// Several routers have failed to reach it; all else is then empty.
    pub failed: bool,
}

/// Whether a node may be sent to, by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It may.
    InService,
    /// It is told to drain.
    Draining,
    /// It is off the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The replica set that it is part of.
    pub replica_set: ReplicaSetId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// The kind of machine that it runs on.
    pub machine_type: usize,
    /// Whether it was the primary when the list was made.
    pub primary: bool,
    /// Whether it may be sent to.
    pub status: EndpointStatus,
    /// When its process started, where the list says so.
    pub started: Option<Duration>,
}

/// How much of the endpoint list an update covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only these entries changed.
    Delta,
    /// The whole list as the registry has it; a node that is missing is removed.
    Snapshot,
    /// The whole list as this router last saw it, perhaps long ago.
    CachedSnapshot,
}
