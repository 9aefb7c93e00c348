//! Commands from the decisions, and the parts of a node's response that are reported back to them.

use std::time::Duration;

use quillpoint::host::{AttemptNumber, LoadReport, NodeId, Outcome, Role, RpcId};

use crate::budget::Reservation;
use crate::pg::QueryResult;

/// A command to the task of an RPC. All variants except `Attempt` are final responses.
pub enum RpcCommand {
    /// Send the statement to a node.
    Attempt(AttemptCommand),
    /// Send a node's answer to the client.
    Answer {
        /// The result row and its command tag.
        answer: QueryResult,
        /// The log position that the node reported with the answer; for a write, its commit time.
        position: Option<Duration>,
        /// The memory charged for the answer.
        memory: Option<Reservation>,
    },
    /// Reject the RPC: nothing ran.
    Reject {
        /// The Retry-After for the client; none is sent if it is zero.
        retry_after: Duration,
    },
    /// Abort the RPC: it may have run.
    Abort {
        /// The outcome of the last attempt that ended, if any.
        last_outcome: Option<Outcome>,
    },
}

/// An attempt to make. Times are those of the engine's clock.
pub struct AttemptCommand {
    /// The RPC of the attempt.
    pub rpc: RpcId,
    /// The number of the attempt within its RPC.
    pub number: AttemptNumber,
    /// The node to send the statement to.
    pub node: NodeId,
    /// When the decisions commanded the attempt.
    pub started: Duration,
    /// When the attempt times out; never later than the deadline of its RPC.
    pub deadline: Duration,
}

/// Work that the decisions queue for the connection pool and that belongs to no RPC.
pub enum BackgroundTask {
    /// Make a health check that this router's decisions want.
    HealthCheck(NodeId),
    /// Make a health check that the fleet or the feed has assigned to this router, on behalf of other routers
    /// too.
    AssignedHealthCheck(NodeId),
    /// Close the idle connections to the node.
    CloseIdle(NodeId),
}

/// What a node reported in its response to a query.
#[derive(Default)]
pub struct NodeResponse {
    /// The answer to the statement, if it arrived completely.
    pub answer: Option<QueryResult>,
    /// The memory charged for the answer.
    pub answer_memory: Option<Reservation>,
    /// The node's role.
    pub role: Option<Role>,
    /// The node's log position, or the commit time of a write.
    pub position: Option<Duration>,
    /// The node's load report.
    pub report: Option<LoadReport>,
}
