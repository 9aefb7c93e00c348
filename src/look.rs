//! What others may ask of a router. Look-ups: they decide nothing.

use std::time::Duration;

use crate::host::{Host, NodeId, ReplicaSetId, ZoneId};
use crate::logic::Router;

impl<H: Host> Router<H> {
    /// Whether this router itself does not reach the node, so that no other's probe is of use to it.
    pub fn is_shut(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|member| member.shut)
    }

    /// When the node started, where that is known.
    pub fn started(&self, node: NodeId) -> Option<Duration> {
        self.members.get(&node)?.started
    }

    /// The nodes that are on the list.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeId, ZoneId)> {
        self.members.iter().filter(|(_, member)| !member.gone).map(|(node, member)| (*node, member.zone))
    }

    /// The nodes of a group; none of one that is not known.
    pub fn nodes_of(&self, group: ReplicaSetId) -> impl Iterator<Item = NodeId> {
        self.groups.get(&group).into_iter().flat_map(|group| group.members.iter().copied())
    }
}
