//! A control instance: what it finds by itself and what its fleet tells it are seen by its publisher, here alone.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use quillpoint::host::{NodeId, PeerObservation};
use quillpoint_control_plane::{ControlHost, FleetMember, PublisherService};
use quillpoint_membership::{DatedObservation, Observation};
use quillpoint_observation_feed::FeedObservation;

use crate::engine::{Engine, LocalObservation, ObservationExchange};
use crate::peers;

/// How often the members of the fleet are counted.
const COUNTED_EVERY: Duration = Duration::from_secs(1);

pub struct Instance {
    engine: Rc<Engine>,
    publication: Rc<PublisherService>,
    /// Set once, right after it was made: either needs the other.
    peers: OnceCell<Rc<FleetMember>>,
}

impl Instance {
    pub fn new(engine: Rc<Engine>, publication: Rc<PublisherService>) -> Rc<Self> {
        Rc::new(Self { engine, publication, peers: OnceCell::new() })
    }

    /// Its part in the fleet of control instances.
    pub fn takes_part(&self, peers: Rc<FleetMember>) {
        _ = self.peers.set(peers);
    }

    fn seen(&self, evidence: DatedObservation) {
        self.publication.seen(evidence);
    }

    /// Counts the members of its fleet as long as the process runs.
    pub async fn count(self: Rc<Self>) {
        loop {
            if let Some(peers) = self.peers.get() {
                let fleet = peers.fleet();
                let others = fleet.members().peers().filter(|card| card.state.is_active()).count();
                self.publication.instances_changed(others + 1);
            }
            Timer::after(COUNTED_EVERY).await;
        }
    }
}

impl ControlHost for Instance {
    fn now(&self) -> Duration {
        ControlHost::now(&*self.engine)
    }

    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        ControlHost::nodes(&*self.engine)
    }

    /// What others find is told to the module while RPCs are under way, and asked for when one comes: of thousands of
    /// databases it may come a hundred thousand times a second, and an instance may serve nobody. One that is not
    /// reached is told at once.
    fn observation_received(&self, evidence: DatedObservation) {
        self.seen(evidence);
        if evidence.failed || self.engine.pending_rpcs() > 0 {
            self.engine.observation_received(evidence);
        }
    }

    fn learnt(&self, word: FeedObservation) {
        self.engine.learnt(word);
    }

    fn probe(&self, node: SocketAddr) -> bool {
        self.engine.probe(node)
    }

    fn is_shut(&self, node: SocketAddr) -> bool {
        ControlHost::is_shut(&*self.engine, node)
    }
}

impl ObservationExchange for Instance {
    fn observed(&self, finding: LocalObservation) {
        let Observation { node, position, primary, waiting, started, failed, .. } = peers::news(&finding);
        // A failure counts when several have failed by themselves: the fleet says so. What was asked for at a moment
        // may have been read then, and no later.
        if !failed {
            let at = finding.asked;
            self.seen(DatedObservation { node, at, position, primary, waiting, started, failed });
        }
        if let Some(peers) = self.peers.get() {
            ObservationExchange::observed(&**peers, finding);
        }
    }

    fn endpoints_changed(&self) {
        self.publication.listed();
        if let Some(peers) = self.peers.get() {
            peers.listed();
        }
    }

    fn permits_health_check(&self, node: NodeId) -> bool {
        self.peers.get().is_none_or(|peers| peers.may_probe(node.0))
    }

    fn latest_observation(&self, node: NodeId) -> Option<PeerObservation> {
        self.peers.get()?.latest_observation(node.0).map(peers::heard_word)
    }
}
