//! How the engine exchanges observations with others: as a member of a fleet, or as a subscriber to the feed.

use quillpoint::host::{NodeId, PeerObservation};
use quillpoint_control_plane::{FleetMember, SubscriberService};

use crate::engine::{Finding, Sharing};
use crate::observations;

impl Sharing for FleetMember {
    fn found(&self, finding: Finding) {
        let observation = observations::to_fleet(&finding);
        if finding.probe {
            self.health_check_observed(finding.asked, observation);
        } else {
            self.attempt_observed(finding.asked, observation);
        }
    }

    fn listed(&self) {
        self.nodes_changed();
    }

    fn may_probe(&self, node: NodeId) -> bool {
        self.claim_health_check(node.0)
    }
}

impl Sharing for SubscriberService {
    /// The decisions have it already, and control instances make their own observations.
    fn found(&self, _finding: Finding) {}

    fn listed(&self) {
        self.nodes_changed();
    }

    fn may_probe(&self, node: NodeId) -> bool {
        self.claim_health_check(node.0)
    }

    fn news_of(&self, node: NodeId) -> Option<PeerObservation> {
        self.newer_observation(node.0).map(observations::from_feed)
    }
}
