//! The categories of memory use.

/// A use of memory that is accounted for separately. In a category's name, the part before the dot is the
/// group that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Category {
    /// Client messages that have not arrived completely, and bytes that were read ahead of the current
    /// message.
    IncomingMessages,
    /// Statements of RPCs that are being processed.
    Statements,
    /// Responses from nodes that have not been forwarded to their clients completely.
    Responses,
    /// Final responses that are being written to clients and that the clients have not read yet.
    ResponseWrites,
    /// State of pending RPCs in the routing core and in the command queues.
    PendingRpcs,
    /// Client sessions.
    ClientConnections,
    /// Connections to nodes.
    NodeConnections,
    /// The endpoint list, the state of the nodes, session tokens and request ids.
    NodeState,
    /// Fleet members, assigned tasks and gossip.
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

    /// The position of this category in [`Category::ALL`] and in tables of all categories.
    pub(crate) fn index(self) -> usize {
        self as usize
    }

    /// The name in logs and error messages. It does not change between releases.
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
