//! Makes the engine the host of the fleet member and of the feed's publisher and subscriber.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint::host::NodeId;
use quillpoint_control_plane::ControlHost;
use quillpoint_membership::TimestampedObservation;
use quillpoint_observation_feed::FeedObservation;

use crate::engine::Engine;
use crate::observations;

impl ControlHost for Engine {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        Engine::nodes(self).into_iter().map(|(node, zone)| (node.0, zone.0 as u16)).collect()
    }

    fn observation_received(&self, observation: TimestampedObservation) {
        self.peer_observed(observations::from_fleet(observation));
    }

    fn feed_observation_received(&self, observation: FeedObservation) {
        self.peer_observed(observations::from_feed(observation));
    }

    fn digest_received(&self) {
        self.refresh_pending_rpcs();
    }

    fn start_health_check(&self, node: SocketAddr) -> bool {
        self.begin_assigned_health_check(NodeId(node))
    }

    fn is_ejected(&self, node: SocketAddr) -> bool {
        Engine::is_ejected(self, NodeId(node))
    }
}
