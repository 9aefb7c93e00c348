//! Failure detection: pings, indirect pings by way of other peers, suspicion, and death where it is not refuted.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use super::Membership;
use super::peer_table::{MAX_PEERS, Peer};
use crate::host::Host;
use crate::ids::{PeerName, PingNumber};
use crate::message::{GossipBody, MemberState};

/// The protocol period: peers are pinged in turn, one a period.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// When other peers are asked to ping a peer that has not answered.
const INDIRECT_PING_AFTER: Duration = Duration::from_millis(100);
/// How many peers are asked for an indirect ping.
const INDIRECT_PINGS: usize = 3;
/// How long a suspect may take to refute the suspicion. It is multiplied by the floor of log2 of the number of routers, at
/// least 1.
const SUSPICION_TIMEOUT_PER_DOUBLING: Duration = Duration::from_millis(750);
/// How often a suspect is pinged, each time with the record that it has to refute: with one ping a period, loss of a fifth
/// of all datagrams makes running routers dead.
const SUSPECT_PING_INTERVAL: Duration = Duration::from_millis(100);
/// By how many routers a suspect is pinged in each interval, on average.
const SUSPECT_PINGERS: f64 = 5.0;

/// A ping that awaits its ack.
struct OutstandingPing {
    peer: PeerName,
    sent_at: Duration,
    /// No indirect pings are to follow: they have been sent, or the peer is suspect already.
    is_escalated: bool,
}

/// A ping made on behalf of another router.
struct RelayedPing {
    requester: PeerName,
    /// The number under which the requester awaits the ack.
    requester_number: PingNumber,
    expires_at: Duration,
}

/// The pings of this router.
pub(super) struct FailureDetector {
    /// Whom to ping next, the last one first. Shuffled when all have had their turn.
    ping_order: Vec<PeerName>,
    next_ping: Duration,
    outstanding: BTreeMap<PingNumber, OutstandingPing>,
    relayed: BTreeMap<PingNumber, RelayedPing>,
    last_number: PingNumber,
}

impl FailureDetector {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            ping_order: Vec::new(),
            next_ping: now,
            outstanding: BTreeMap::new(),
            relayed: BTreeMap::new(),
            last_number: PingNumber(0),
        }
    }

    /// Drops all pings: their acks may have come while the process did not run.
    pub(super) fn restart(&mut self, now: Duration) {
        self.next_ping = now + PING_INTERVAL;
        self.outstanding.clear();
        self.relayed.clear();
    }

    /// Any message is a sign of life, not only an ack.
    pub(super) fn heard_from(&mut self, name: &PeerName) {
        self.outstanding.retain(|_, ping| ping.peer != *name);
    }

    fn next_number(&mut self) -> PingNumber {
        self.last_number = PingNumber(self.last_number.0.wrapping_add(1));
        self.last_number
    }

    fn numbers_where(&self, condition: impl Fn(&OutstandingPing) -> bool) -> Vec<PingNumber> {
        self.outstanding.iter().filter(|(_, ping)| condition(ping)).map(|(number, _)| *number).collect()
    }

    /// Pings this peer next.
    fn ping_soon(&mut self, name: &PeerName) {
        if self.ping_order.last() != Some(name) {
            self.ping_order.retain(|other| other != name);
            self.ping_order.push(name.clone());
        }
    }

    pub(super) fn state_bytes(&self) -> usize {
        self.ping_order.len() * size_of::<PeerName>()
            + self.outstanding.len() * size_of::<(PingNumber, OutstandingPing)>()
            + self.relayed.len() * size_of::<(PingNumber, RelayedPing)>()
    }
}

impl Membership {
    /// The periodic part of failure detection.
    pub(super) fn detect_failures(&mut self, now: Duration, host: &mut impl Host) {
        self.detector.relayed.retain(|_, ping| ping.expires_at > now);
        self.request_indirect_pings(now, host);
        self.suspect_unanswering(now, host);
        if now >= self.detector.next_ping {
            self.detector.next_ping = now + PING_INTERVAL;
            self.ping_next(now, host);
        }
        self.ping_suspects(now, host);
        self.declare_unrefuted_dead(now, host);
        self.peers.forget_long_gone(now);
    }

    /// Asks some other peers to ping each peer that has not answered directly.
    fn request_indirect_pings(&mut self, now: Duration, host: &mut impl Host) {
        let is_due = |ping: &OutstandingPing| !ping.is_escalated && now >= ping.sent_at + INDIRECT_PING_AFTER;
        for number in self.detector.numbers_where(is_due) {
            let Some(ping) = self.detector.outstanding.get_mut(&number) else { continue };
            ping.is_escalated = true;
            let target = ping.peer.clone();
            let mut others = self.active_peer_names();
            others.retain(|name| *name != target);
            let relays: Vec<PeerName> = others.sample(&mut self.rng, INDIRECT_PINGS).cloned().collect();
            for relay in relays {
                self.send_to(&relay, GossipBody::IndirectPing(number, target.clone()), host);
            }
        }
    }

    /// Suspects each peer that has answered neither a ping nor the indirect ones within a period.
    fn suspect_unanswering(&mut self, now: Duration, host: &mut impl Host) {
        for number in self.detector.numbers_where(|ping| now >= ping.sent_at + PING_INTERVAL) {
            let Some(ping) = self.detector.outstanding.remove(&number) else { continue };
            let Some(peer) = self.peers.get(&ping.peer) else { continue };
            if peer.last_heard < ping.sent_at && peer.record.state < MemberState::Suspect {
                self.peers.set_state(now, &ping.peer, MemberState::Suspect, host);
            }
        }
    }

    fn ping_next(&mut self, now: Duration, host: &mut impl Host) {
        if let Some(name) = self.next_in_turn() {
            self.ping(now, &name, false, host);
        }
    }

    /// The next active peer in turn. Each comes up once before the order is shuffled anew.
    fn next_in_turn(&mut self) -> Option<PeerName> {
        loop {
            match self.detector.ping_order.pop() {
                Some(name) if self.peers.is_active(&name) => return Some(name),
                Some(_) => {}
                None => {
                    let mut names = self.active_peer_names();
                    names.shuffle(&mut self.rng);
                    if names.is_empty() {
                        return None;
                    }
                    self.detector.ping_order = names;
                }
            }
        }
    }

    fn ping(&mut self, now: Duration, name: &PeerName, is_escalated: bool, host: &mut impl Host) {
        let number = self.detector.next_number();
        let ping = OutstandingPing { peer: name.clone(), sent_at: now, is_escalated };
        self.detector.outstanding.insert(number, ping);
        self.send_to(name, GossipBody::Ping(number), host);
    }

    /// Pings the target for another router, which awaits the ack under that number.
    pub(super) fn ping_on_behalf(
        &mut self,
        now: Duration,
        requester: &PeerName,
        requester_number: PingNumber,
        target: &PeerName,
        host: &mut impl Host,
    ) {
        if self.detector.relayed.len() >= MAX_PEERS || self.peers.get(target).is_none() {
            return;
        }
        let number = self.detector.next_number();
        let expires_at = now + PING_INTERVAL;
        let ping = RelayedPing { requester: requester.clone(), requester_number, expires_at };
        self.detector.relayed.insert(number, ping);
        self.send_to(target, GossipBody::Ping(number), host);
    }

    /// An ack came, from the pinged peer or from one that was asked to ping it.
    pub(super) fn ack_arrived(&mut self, now: Duration, number: PingNumber, host: &mut impl Host) {
        if let Some(ping) = self.detector.relayed.remove(&number) {
            self.send_to(&ping.requester, GossipBody::Ack(ping.requester_number), host);
        }
        if let Some(ping) = self.detector.outstanding.remove(&number)
            && let Some(peer) = self.peers.get_mut(&ping.peer)
        {
            peer.last_heard = now;
        }
    }

    /// Pings suspects, each with the record that it has to refute.
    fn ping_suspects(&mut self, now: Duration, host: &mut impl Host) {
        // This router pings and the suspect does not: as many routers ping it as there are active peers.
        let pinging_routers = self.active_peers().count() as f64;
        let is_due = |peer: &Peer| {
            peer.record.state == MemberState::Suspect && now >= peer.suspect_pinged + SUSPECT_PING_INTERVAL
        };
        for name in self.peers.names_where(is_due) {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.suspect_pinged = now;
            }
            if self.rng.random_bool((SUSPECT_PINGERS / pinging_routers).min(1.0)) {
                self.ping(now, &name, true, host);
            }
        }
    }

    /// Declares dead the suspects that have not refuted the suspicion in time.
    fn declare_unrefuted_dead(&mut self, now: Duration, host: &mut impl Host) {
        // The active peers, suspects among them, and this router: the suspicion and its refutation travel through all these.
        let active_routers = self.active_peers().count() as u32 + 1;
        let timeout = SUSPICION_TIMEOUT_PER_DOUBLING * active_routers.max(2).ilog2().max(1);
        let is_over =
            |peer: &Peer| peer.record.state == MemberState::Suspect && now >= peer.state_since + timeout;
        for name in self.peers.names_where(is_over) {
            self.peers.set_state(now, &name, MemberState::Dead, host);
        }
    }

    /// Others have a peer in a worse state by an older version. Either they have missed the newer one, which then travels
    /// again; or the peer has died since, and is pinged next: at a hundred routers its turn would come 25 s later.
    pub(super) fn recheck(&mut self, now: Duration, name: &PeerName) {
        let transmissions = self.peers.transmissions();
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.last_heard + PING_INTERVAL * 2 > now {
            peer.transmissions_left = transmissions;
        } else if peer.record.state < MemberState::Suspect {
            self.detector.ping_soon(name);
        }
    }
}
