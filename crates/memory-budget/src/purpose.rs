//! What memory is held for: the leaves of the tree of accounts. A part of a name before the dot is its branch.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Messages of clients that have not come whole, and what is read ahead.
    Coming,
    /// Statements of RPCs under way.
    Statements,
    /// Answers of nodes that have not gone on to their clients whole.
    Answers,
    /// What is being written to clients: answers that have been given and not been read.
    Writes,
    /// RPCs that are held: what the module and the mailboxes keep of each.
    Queued,
    /// Sessions of clients.
    Clients,
    /// Connections to nodes.
    Nodes,
    /// The list of nodes, their record, tokens and ids.
    Record,
    /// Peers, duties and news.
    Fleet,
}

impl Purpose {
    pub const ALL: [Self; 9] = [
        Self::Coming,
        Self::Statements,
        Self::Answers,
        Self::Writes,
        Self::Queued,
        Self::Clients,
        Self::Nodes,
        Self::Record,
        Self::Fleet,
    ];

    /// Its place in tables of all purposes.
    pub(crate) fn place(self) -> usize {
        self as usize
    }

    /// The stable name, for logs and pages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Coming => "buffers.coming",
            Self::Statements => "buffers.statements",
            Self::Answers => "buffers.answers",
            Self::Writes => "buffers.writes",
            Self::Queued => "queued",
            Self::Clients => "connections.clients",
            Self::Nodes => "connections.nodes",
            Self::Record => "record",
            Self::Fleet => "fleet",
        }
    }
}
