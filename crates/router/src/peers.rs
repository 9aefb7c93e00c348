//! The engine as what stands around the control side, and the control side as what shares with others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint::host::{NodeId, PeerObservation};
use quillpoint_control_plane::{ControlHost, FleetMember, SubscriberService};
use quillpoint_membership::{DatedObservation, Observation};
use quillpoint_observation_feed::FeedObservation;

use crate::engine::{Engine, LocalObservation, ObservationExchange};

/// Whoever says it, it is hearsay to the module.
fn peer_word(word: FeedObservation) -> PeerObservation {
    let FeedObservation { node, seen_at: at, position, primary, started, failed } = word;
    PeerObservation { node: NodeId(node), at, position, primary, queued: None, started, failed }
}

/// The same of what members of a fleet tell.
pub(crate) fn heard_word(evidence: DatedObservation) -> PeerObservation {
    let DatedObservation { node, at, position, primary, waiting, started, failed } = evidence;
    let (node, waiting) = (NodeId(node), waiting.map(f64::from));
    PeerObservation { node, at, position, primary, queued: waiting, started, failed }
}

/// What a router has found out, as its fleet takes it.
pub(crate) fn news(finding: &LocalObservation) -> Observation {
    let LocalObservation { node: NodeId(node), failed, position, primary, queued: waiting, started, .. } =
        *finding;
    let waiting = waiting.map(|waiting| waiting.clamp(0.0, f64::from(u32::MAX)) as u32);
    Observation { node, age: Duration::ZERO, position, primary, waiting, started, failed }
}

impl ControlHost for Engine {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        Engine::nodes(self).into_iter().map(|(node, zone)| (node.0, zone.0 as u16)).collect()
    }

    fn observation_received(&self, evidence: DatedObservation) {
        self.peer_observed(heard_word(evidence));
    }

    fn learnt(&self, word: FeedObservation) {
        self.peer_observed(peer_word(word));
    }

    fn refreshed(&self) {
        self.refresh_pending_rpcs();
    }

    fn probe(&self, node: SocketAddr) -> bool {
        self.begin_assigned_health_check(NodeId(node))
    }

    fn is_shut(&self, node: SocketAddr) -> bool {
        Engine::is_ejected(self, NodeId(node))
    }
}

impl ObservationExchange for FleetMember {
    fn observed(&self, finding: LocalObservation) {
        self.found(finding.asked, finding.by_health_check, news(&finding));
    }

    fn endpoints_changed(&self) {
        self.listed();
    }

    fn permits_health_check(&self, node: NodeId) -> bool {
        self.may_probe(node.0)
    }
}

impl ObservationExchange for SubscriberService {
    /// Own findings are the module's already, and nobody else's matter: control instances look for themselves.
    fn observed(&self, _finding: LocalObservation) {}

    fn endpoints_changed(&self) {
        self.listed();
    }

    fn permits_health_check(&self, node: NodeId) -> bool {
        self.may_probe(node.0)
    }

    fn latest_observation(&self, node: NodeId) -> Option<PeerObservation> {
        self.news_of(node.0).map(peer_word)
    }
}
