//! A router among its peers: the engine is what stands around the control side, and what it finds is shared there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint::host::{NodeId, PeerWord};
use quillpoint_control::{Around, Peers};
use quillpoint_feed::Word;
use quillpoint_fleet::{Evidence, News};

use crate::engine::{Engine, Finding, Sharing};

impl Around for Engine {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        Engine::nodes(self).into_iter().map(|(node, zone)| (node.0, zone.0 as u16)).collect()
    }

    fn hear(&self, evidence: Evidence) {
        let Evidence { node, at, position, primary, waiting, started, failed } = evidence;
        let (node, waiting) = (NodeId(node), waiting.map(f64::from));
        self.peer_told(PeerWord { node, at, position, primary, waiting, started, failed });
    }

    fn learnt(&self, word: Word) {
        let Word { node, at, position, primary, started, failed } = word;
        let node = NodeId(node);
        self.peer_told(PeerWord { node, at, position, primary, waiting: None, started, failed });
    }

    fn probe(&self, node: SocketAddr) -> bool {
        self.probe_in_turn(NodeId(node))
    }

    fn is_shut(&self, node: SocketAddr) -> bool {
        Engine::is_shut(self, NodeId(node))
    }
}

impl Sharing for Peers {
    fn found(&self, finding: Finding) {
        let Finding { node: NodeId(node), asked, probe, failed, position, primary, waiting, started } =
            finding;
        let waiting = waiting.map(|waiting| waiting.clamp(0.0, f64::from(u32::MAX)) as u32);
        let news = News { node, age: Duration::ZERO, position, primary, waiting, started, failed };
        self.found(asked, probe, news);
    }

    fn listed(&self) {
        self.listed();
    }

    fn may_probe(&self, node: NodeId) -> bool {
        self.may_probe(node.0)
    }
}
