//! What memory is held for.

/// What memory is held for: the leaves of a tree, in which the part of a name before the dot is the branch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Category {
    /// Messages of clients that have not arrived completely, and what is read ahead.
    IncomingMessages,
    /// Statements of RPCs under way.
    Statements,
    /// Responses of nodes that have not gone on to their clients completely.
    Responses,
    /// What is being written to clients: responses that have been given and not been read.
    ResponseWrites,
    /// Pending RPCs: what the decisions and the command queues keep of each.
    PendingRpcs,
    /// Sessions of clients.
    ClientConnections,
    /// Connections to nodes.
    NodeConnections,
    /// The endpoint list, the state of the nodes, session tokens and request ids.
    NodeState,
    /// Members of the fleet, assigned tasks and gossip.
    Membership,
}

impl Category {
    /// All categories.
    pub const ALL: [Self; 9] = [
        Self::IncomingMessages,
        Self::Statements,
        Self::Responses,
        Self::ResponseWrites,
        Self::PendingRpcs,
        Self::ClientConnections,
        Self::NodeConnections,
        Self::NodeState,
        Self::Membership,
    ];

    /// Its place in tables of all categories.
    pub(crate) fn index(self) -> usize {
        self as usize
    }

    /// The stable name, for logs and error messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::IncomingMessages => "buffers.coming",
            Self::Statements => "buffers.statements",
            Self::Responses => "buffers.answers",
            Self::ResponseWrites => "buffers.writes",
            Self::PendingRpcs => "queued",
            Self::ClientConnections => "connections.clients",
            Self::NodeConnections => "connections.nodes",
            Self::NodeState => "record",
            Self::Membership => "fleet",
        }
    }
}
