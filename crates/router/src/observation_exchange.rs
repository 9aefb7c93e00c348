//! How the engine exchanges observations with others: as a member of a fleet, or as a subscriber to the feed.

use quillpoint::host::{NodeId, PeerObservation};
use quillpoint_control_plane::{FleetMember, SubscriberService};

use crate::engine::{LocalObservation, ObservationExchange};
use crate::observations;

impl ObservationExchange for FleetMember {
    fn observed(&self, own: LocalObservation) {
        let observation = observations::to_fleet(&own);
        if own.by_health_check {
            self.health_check_observed(own.requested_at, observation);
        } else {
            self.attempt_observed(own.requested_at, observation);
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
    /// The decisions have it already, and control instances make their own observations.
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
