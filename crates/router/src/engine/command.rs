//! What the decisions command, and what comes back of a node's response.

use std::time::Duration;

use quillpoint::host::{AttemptNumber, LoadReport, NodeId, Outcome, Role, RpcId};

use crate::pg::QueryResult;

/// A command to the task of one RPC. All but an attempt are final responses.
pub enum RpcCommand {
    /// Make an attempt.
    Attempt(AttemptCommand),
    /// Send a node's answer to the client.
    Answer {
        /// The row and its tag.
        answer: QueryResult,
        /// The log position that the node reported with it; of a write, its commit time.
        position: Option<Duration>,
    },
    /// Reject the RPC: nothing ran.
    Reject {
        /// When the client is advised to come back; zero is no advice.
        retry_after: Duration,
    },
    /// Abort the RPC: it may have run.
    Abort {
        /// How its last attempt ended, if one has.
        last_outcome: Option<Outcome>,
    },
}

/// One attempt that is to be made. Times are those of the engine's clock.
pub struct AttemptCommand {
    /// The RPC that it is made for.
    pub rpc: RpcId,
    /// Which attempt of its RPC it is.
    pub number: AttemptNumber,
    /// The node that it goes to.
    pub node: NodeId,
    /// When it was commanded.
    pub started: Duration,
    /// When it times out, which is no later than its client leaves.
    pub deadline: Duration,
}

/// Work that the decisions ask of the connection pool, for no RPC.
pub enum BackgroundTask {
    /// A health check that the decisions of this router ask for.
    HealthCheck(NodeId),
    /// A health check that is assigned to this router on behalf of others as well.
    AssignedHealthCheck(NodeId),
    /// Close the idle connections to the node.
    CloseIdle(NodeId),
}

/// What a node's response says.
#[derive(Default)]
pub struct NodeResponse {
    /// The answer to the statement, where it is complete.
    pub answer: Option<QueryResult>,
    /// The node's role.
    pub role: Option<Role>,
    /// The node's log position, or the commit time of a write.
    pub position: Option<Duration>,
    /// The node's load.
    pub report: Option<LoadReport>,
}
