//! Read-only accessors for the router's host. They make no decisions.

use std::time::Duration;

use crate::host::{Host, NodeId, ReplicaSetId, ZoneId};
use crate::router::Router;

impl<H: Host> Router<H> {
    /// Whether this router has ejected the node. It then has to reach the node itself: health checks of other
    /// routers do not readmit it.
    pub fn is_ejected(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(|state| state.health.ejected)
    }

    /// When the node's process started, on the clock that all routers share, if known.
    pub fn process_start(&self, node: NodeId) -> Option<Duration> {
        self.nodes.get(&node)?.started
    }

    /// The nodes that are on the endpoint list, with their zones.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeId, ZoneId)> {
        self.nodes.iter().filter(|(_, state)| !state.removed).map(|(node, state)| (*node, state.zone))
    }

    /// The nodes of a replica set; none if the replica set is unknown.
    pub fn nodes_of(&self, replica_set: ReplicaSetId) -> impl Iterator<Item = NodeId> {
        self.replica_sets.get(&replica_set).into_iter().flat_map(|set| set.nodes.iter().copied())
    }
}
