//! What others may ask of a router. Accessors: they decide nothing.

use std::time::Duration;

use crate::host::{Host, NodeId, ReplicaSetId, ZoneId};
use crate::router::Router;

impl<H: Host> Router<H> {
    /// Whether this router itself does not reach the node, so that no other router's health check is of use to it.
    pub fn is_ejected(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(|state| state.health.ejected)
    }

    /// When the node's process started, on the clock that all routers read; none where that is not known.
    pub fn process_start(&self, node: NodeId) -> Option<Duration> {
        self.nodes.get(&node)?.started
    }

    /// The nodes that are on the endpoint list, with their zones.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeId, ZoneId)> {
        self.nodes.iter().filter(|(_, state)| !state.removed).map(|(node, state)| (*node, state.zone))
    }

    /// The nodes of a replica set; none of one that is not known.
    pub fn nodes_of(&self, replica_set: ReplicaSetId) -> impl Iterator<Item = NodeId> {
        self.replica_sets.get(&replica_set).into_iter().flat_map(|set| set.nodes.iter().copied())
    }
}
