//! Implements the engine's exchange of observations for a fleet member and for a subscriber to the feed.

use quillpoint::host::{NodeId, PeerObservation};
use quillpoint_control_plane::{FleetMember, SubscriberService};

use crate::engine::{LocalObservation, ObservationExchange};
use crate::observations;

impl ObservationExchange for FleetMember {
    fn observed(&self, local: LocalObservation) {
        let observation = observations::to_fleet(&local);
        if local.by_health_check {
            self.health_check_observed(local.requested_at, observation);
        } else {
            self.attempt_observed(local.requested_at, observation);
        }
    }

    fn endpoints_changed(&self) {
        self.nodes_changed();
    }

    fn permits_health_check(&self, node: NodeId) -> bool {
        self.claim_health_check(node.0)
    }
}

impl ObservationExchange for SubscriberService {
    /// Does nothing: the decision module already knows its own observations, and control instances make
    /// theirs themselves.
    fn observed(&self, _observation: LocalObservation) {}

    fn endpoints_changed(&self) {
        self.nodes_changed();
    }

    fn permits_health_check(&self, node: NodeId) -> bool {
        self.claim_health_check(node.0)
    }

    fn latest_observation(&self, node: NodeId) -> Option<PeerObservation> {
        self.newer_observation(node.0).map(observations::from_feed)
    }
}
