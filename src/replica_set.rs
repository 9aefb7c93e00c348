//! This router's state of one replica set: its nodes, its primary and its queued requests.

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
    /// When the last primary was lost. The search for the new one skips nodes that have responded as replicas
    /// since then.
    pub primary_lost_at: Duration,
    /// How many more reads may go to the primary.
    pub primary_quota: f64,
    /// When an RPC last needed a node of this replica set.
    pub last_lookup_at: Duration,
    /// The newest session token that was dropped because all nodes had reached it.
    pub newest_dropped_token: Option<Duration>,
    pub queue: WaitQueue,
}

impl ReplicaSet {
    pub fn primary_node(&self) -> Option<NodeId> {
        self.primary.map(|primary| primary.node)
    }
}
