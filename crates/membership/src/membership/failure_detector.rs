//! Failure detection: pings, indirect pings through other peers, suspicion, and death if the suspicion is not
//! refuted.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use super::Membership;
use super::peer_table::{MAX_PEERS, Peer};
use crate::host::Host;
use crate::ids::{PeerName, PingNumber};
use crate::message::{GossipBody, MemberState};

/// The protocol period. In each period one peer is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// How long after a ping without an ack other peers are asked for indirect pings.
const INDIRECT_PING_AFTER: Duration = Duration::from_millis(100);
/// How many peers are asked for an indirect ping of the same target.
const INDIRECT_PINGS: usize = 3;
/// How long a suspect has to refute the suspicion, per doubling of the number of routers: the timeout is this
/// times the base-2 logarithm of that number, rounded down, but at least this.
const SUSPICION_TIMEOUT_PER_DOUBLING: Duration = Duration::from_millis(750);
/// The interval at which suspects are pinged, with the record that they have to refute. With only one ping
/// per protocol period, running routers would be declared dead when a fifth of all datagrams are lost.
const SUSPECT_PING_INTERVAL: Duration = Duration::from_millis(100);
/// How many routers ping a suspect in each such interval, on average; in a smaller fleet all of them do.
const ROUTERS_PINGING_A_SUSPECT: f64 = 5.0;

/// A ping without an ack so far.
struct OutstandingPing {
    peer: PeerName,
    sent_at: Duration,
    /// Set once indirect pings of the peer have been requested, so that they are requested only once. Set
    /// from the start in the extra pings of a suspect, for which none are requested.
    is_escalated: bool,
}

/// A ping sent on behalf of another router.
struct RelayedPing {
    requester: PeerName,
    /// The number of the ack that the requester expects.
    requester_number: PingNumber,
    expires_at: Duration,
}

/// The pings that this router has sent, and which peer it pings next.
pub(super) struct FailureDetector {
    /// The peers that are still to be pinged in this round; the last element is pinged next. Refilled in
    /// random order when it is empty.
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

    /// Starts again after the process was not running for a while. Drops all outstanding pings: their acks
    /// may have arrived during that time.
    pub(super) fn restart(&mut self, now: Duration) {
        self.next_ping = now + PING_INTERVAL;
        self.outstanding.clear();
        self.relayed.clear();
    }

    /// Ends all outstanding pings of the peer: any message shows that it is alive, not only an ack.
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

    /// Makes this peer the next one to be pinged.
    fn move_to_front(&mut self, name: &PeerName) {
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
    /// Does the periodic work of failure detection.
    pub(super) fn detect_failures(&mut self, now: Duration, host: &mut impl Host) {
        self.detector.relayed.retain(|_, ping| ping.expires_at > now);
        self.request_indirect_pings(now, host);
        self.suspect_unresponsive_peers(now, host);
        if now >= self.detector.next_ping {
            self.detector.next_ping = now + PING_INTERVAL;
            self.ping_next(now, host);
        }
        self.ping_suspects(now, host);
        self.declare_expired_suspects_dead(now, host);
        self.peers.remove_long_inactive(now);
    }

    /// Requests indirect pings of each peer that has not acknowledged a direct ping in time.
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

    /// Marks as suspect each peer that has acknowledged neither the direct ping nor the indirect pings within
    /// a period.
    fn suspect_unresponsive_peers(&mut self, now: Duration, host: &mut impl Host) {
        for number in self.detector.numbers_where(|ping| now >= ping.sent_at + PING_INTERVAL) {
            let Some(ping) = self.detector.outstanding.remove(&number) else { continue };
            let Some(peer) = self.peers.get(&ping.peer) else { continue };
            if peer.last_heard < ping.sent_at && peer.record.state < MemberState::Suspect {
                self.peers.set_state(now, &ping.peer, MemberState::Suspect, host);
            }
        }
    }

    fn ping_next(&mut self, now: Duration, host: &mut impl Host) {
        if let Some(name) = self.next_ping_target() {
            self.ping(now, &name, false, host);
        }
    }

    /// The next active peer to ping. Each peer is pinged once per round; each round has a new random order.
    fn next_ping_target(&mut self) -> Option<PeerName> {
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

    /// Pings the target for another router, which expects an ack with the number `requester_number`.
    pub(super) fn send_relayed_ping(
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

    /// Handles an ack, from the pinged peer or from a peer that was asked to ping it.
    pub(super) fn ack_received(&mut self, now: Duration, number: PingNumber, host: &mut impl Host) {
        if let Some(ping) = self.detector.relayed.remove(&number) {
            self.send_to(&ping.requester, GossipBody::Ack(ping.requester_number), host);
        }
        if let Some(ping) = self.detector.outstanding.remove(&number)
            && let Some(peer) = self.peers.get_mut(&ping.peer)
        {
            peer.last_heard = now;
        }
    }

    /// Pings each suspect with the record that it has to refute.
    fn ping_suspects(&mut self, now: Duration, host: &mut impl Host) {
        // The routers that ping a suspect are this one and all active peers except the suspect itself, so
        // their number is that of the active peers.
        let pinging_routers = self.active_peers().count() as f64;
        let is_due = |peer: &Peer| {
            peer.record.state == MemberState::Suspect && now >= peer.last_suspect_ping + SUSPECT_PING_INTERVAL
        };
        for name in self.peers.names_where(is_due) {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.last_suspect_ping = now;
            }
            if self.rng.random_bool((ROUTERS_PINGING_A_SUSPECT / pinging_routers).min(1.0)) {
                self.ping(now, &name, true, host);
            }
        }
    }

    /// Marks as dead each suspect that has not refuted the suspicion before the timeout.
    fn declare_expired_suspects_dead(&mut self, now: Duration, host: &mut impl Host) {
        // The active peers, including suspects, and this router: the suspicion and its refutation spread
        // through all of them.
        let active_routers = self.active_peers().count() as u32 + 1;
        let timeout = SUSPICION_TIMEOUT_PER_DOUBLING * active_routers.max(2).ilog2().max(1);
        let is_expired =
            |peer: &Peer| peer.record.state == MemberState::Suspect && now >= peer.state_since + timeout;
        for name in self.peers.names_where(is_expired) {
            self.peers.set_state(now, &name, MemberState::Dead, host);
        }
    }

    /// Handles the case that another router has an older record of a peer with a worse state. If the peer was
    /// heard from recently, the other router has missed the newer record, which is disseminated again. If
    /// not, the peer may have died since, so it is pinged next: with a hundred routers it would otherwise be
    /// pinged up to 25 s later.
    pub(super) fn recheck(&mut self, now: Duration, name: &PeerName) {
        let transmissions = self.peers.transmissions();
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.last_heard + PING_INTERVAL * 2 > now {
            peer.transmissions_left = transmissions;
        } else if peer.record.state < MemberState::Suspect {
            self.detector.move_to_front(name);
        }
    }
}
