//! What this router knows of one replica set: its nodes, its primary and the requests that wait for it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::host::NodeId;
use crate::primary::KnownPrimary;
use crate::wait_queue::WaitQueue;

/// One primary and its replicas.
#[derive(Default)]
pub(crate) struct ReplicaSet {
    pub nodes: BTreeSet<NodeId>,
    pub primary: Option<KnownPrimary>,
    /// When the last primary was lost: nodes that have answered as replicas since then are left out of the search.
    pub primary_lost_at: Duration,
    /// Reads that may still go to the primary.
    pub primary_quota: f64,
    /// When a node was last looked for here on behalf of an RPC.
    pub last_wanted: Duration,
    /// The newest remembered commit that was dropped because all nodes had passed it.
    pub passed_commit: Option<Duration>,
    pub queue: WaitQueue,
}

impl ReplicaSet {
    /// The node that is known as the primary.
    pub fn primary_node(&self) -> Option<NodeId> {
        self.primary.map(|primary| primary.node)
    }
}
