//! The interface between the decisions and their host: the calls that the router makes and the plain data
//! that both sides exchange.
//!
//! A point in time is a `Duration` since the origin of one monotonic clock that all routers share. A log
//! position is a time on the same clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies an RPC; unique for the lifetime of its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RpcId(pub u64);

/// Identifies a node, which is one PostgreSQL server, by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub SocketAddr);

/// Identifies a replica set: one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaSetId(pub u64);

/// Identifies a client session, whose reads see its own writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

/// The index of a method in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MethodId(pub usize);

/// Identifies a zone: a failure domain that several nodes share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// The number of an attempt within its RPC, counted from 0 in the order in which the attempts were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// The actions of a router. Each takes effect immediately, in the order of the calls.
pub trait Host {
    /// Sends the RPC to the node. If no response arrives within `timeout`, the attempt ends with
    /// [`Outcome::TimedOut`].
    fn start_attempt(&mut self, rpc: RpcId, node: NodeId, timeout: Duration);
    /// Final response: the RPC was rejected, and repeating it does no harm. The client is advised to wait
    /// `retry_after` first; zero means no advice.
    fn reject(&mut self, rpc: RpcId, retry_after: Duration);
    /// Final response: the RPC failed, and it may or may not have run.
    fn abort(&mut self, rpc: RpcId);
    /// Checks the node's health without an RPC; the host must call `health_check_ended` with the result.
    fn start_health_check(&mut self, node: NodeId);
    /// Closes this router's idle connections to the node.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Subscribes to updates of the endpoint list.
    fn watch_endpoints(&mut self);
    /// Requests one call of `timer_fired` after this duration. It cannot be cancelled.
    fn set_timer(&mut self, after: Duration);
    /// Writes a line to the host's log for an operator. The decisions currently log nothing.
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

/// The settings by name. A name is a dotted path in which a number is a list index, such as
/// `methods.0.deadline`. A value of another type than the one asked for counts as missing.
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

/// An incoming RPC.
#[derive(Clone, Debug)]
pub struct Rpc {
    /// The RPC's identifier.
    pub id: RpcId,
    /// The method that it calls.
    pub method: MethodId,
    /// The session that the RPC belongs to.
    pub session: Option<SessionKey>,
    /// The replica set that holds the RPC's data.
    pub replica_set: ReplicaSetId,
    /// How long the client will still wait for this try.
    pub remaining: Duration,
    /// The amount of work that the client declares for the RPC. No decision uses it.
    pub work: Option<Duration>,
    /// How long ago the session's last write was committed, where clients carry session tokens.
    pub since_write: Option<Duration>,
    /// Whether the client marks the RPC as a retry of its own.
    pub is_retry: bool,
}

/// The role of a node in its replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates the primary's log.
    Replica,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success.
    Ok,
    /// The node responded with an error.
    Error,
    /// The node rejected the request without running it, because it has no capacity or is draining.
    Rejected,
    /// No response arrived in time.
    TimedOut,
    /// No connection to the node could be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// This router gave up on it.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The response cannot be parsed, or `permits_response` found that a successful response was stale. The
    /// attempt has run.
    Malformed,
    /// The node rejected the request without running it: a write at a replica, or a read for which the node
    /// lags too far.
    Misrouted,
}

impl Outcome {
    /// Whether this outcome proves that no node received the whole request.
    pub fn never_sent(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotSent)
    }

    /// Whether this outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent | Self::Misrouted)
    }
}

/// A node's report of its own state, as of when the report was made. None means that the node does not report
/// the value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The node's log position.
    pub position: Option<Duration>,
    /// Whether the node is the primary.
    pub primary: Option<bool>,
    /// Requests in flight at the node, from all routers.
    pub in_flight: Option<f64>,
    /// Requests queued at the node, from all routers.
    pub queued: Option<f64>,
}

/// The end of an attempt and what was learned from it.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The RPC that the attempt belongs to.
    pub rpc: RpcId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The node that the attempt was sent to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the RPC already has its final response, so that the router must not give another one.
    pub rpc_finished: bool,
    /// Time from the start of the attempt to its end.
    pub took: Duration,
    /// The node's role according to the response itself.
    pub role: Option<Role>,
    /// The node's log position, or the commit time of a successful write.
    pub position: Option<Duration>,
    /// The load report in the response.
    pub report: Option<LoadReport>,
}

/// What another router has observed about a node, with times converted to this router's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerObservation {
    /// The observed node.
    pub node: NodeId,
    /// Time of the observation.
    pub at: Duration,
    /// The node's log position at that time.
    pub position: Option<Duration>,
    /// Whether the node was the primary.
    pub primary: Option<bool>,
    /// Requests queued at the node.
    pub queued: Option<f64>,
    /// When the node's process started.
    pub started: Option<Duration>,
    /// Several routers have failed to reach the node. All other values are then empty.
    pub failed: bool,
}

/// The status of a node according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The node may be sent requests.
    InService,
    /// The node is listed as draining.
    Draining,
    /// The node is no longer on the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node's identifier.
    pub node: NodeId,
    /// The replica set that the node belongs to.
    pub replica_set: ReplicaSetId,
    /// The zone that the node is in.
    pub zone: ZoneId,
    /// The type of machine that the node runs on, as an index.
    pub machine_type: usize,
    /// Whether the node was the primary when the list was made.
    pub primary: bool,
    /// Whether the node may be sent requests.
    pub status: EndpointStatus,
    /// When the node's process started, if the list says so.
    pub started: Option<Duration>,
}

/// How much of the endpoint list an update covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Delta,
    /// The whole list according to the discovery service. A node that is missing from it has been removed.
    Snapshot,
    /// The whole list as this router last saw it, possibly long ago.
    CachedSnapshot,
}
