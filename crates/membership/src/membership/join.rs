//! Join requests and replies, the seeds, and reconnecting to peers that were declared dead.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::Membership;
use crate::host::{Event, Host};
use crate::ids::PeerName;
use crate::message::{GossipBody, MAX_JOIN_REPLY_RECORDS, MemberRecord, MemberState};

/// The interval at which a joining router sends join requests.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// A router that gets no join reply within this time becomes a member without one.
const JOIN_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval at which a dead peer or a seed is sent a join request, so that the fleet merges again after a
/// partition.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);

pub(super) struct JoinProtocol {
    seeds: Vec<SocketAddr>,
    started_at: Duration,
    next_request: Duration,
    next_reconnect: Duration,
}

impl JoinProtocol {
    pub(super) fn new(seeds: Vec<SocketAddr>, now: Duration) -> Self {
        Self { seeds, started_at: now, next_request: now, next_reconnect: now + RECONNECT_INTERVAL }
    }

    pub(super) fn restart(&mut self, now: Duration) {
        self.started_at = now;
        self.next_request = now;
    }

    pub(super) fn seeds_changed(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.next_reconnect = now;
    }
}

impl Membership {
    /// While this router is joining, sends the join requests that are due, and stops waiting for a reply
    /// after the timeout.
    pub(super) fn continue_joining(&mut self, now: Duration, host: &mut impl Host) {
        if self.own.record().state != MemberState::Joining {
            return;
        }
        if now >= self.join.next_request {
            self.join.next_request = now + JOIN_REQUEST_INTERVAL;
            self.send_join_requests(host);
        }
        if now >= self.join.started_at + JOIN_TIMEOUT {
            self.joined(true, host);
        }
    }

    fn send_join_requests(&mut self, host: &mut impl Host) {
        let peers: Vec<SocketAddr> = self.active_peers().map(|record| record.address).collect();
        let seeds = self.join.seeds.iter().filter(|seed| !peers.contains(seed));
        for seed in seeds.copied().collect::<Vec<SocketAddr>>() {
            self.send(seed, None, GossipBody::JoinRequest, Vec::new(), host);
        }
        for name in self.active_peer_names() {
            self.send_to(&name, GossipBody::JoinRequest, host);
        }
    }

    /// Makes this router a member, `alone` if no peer has replied to its join requests.
    pub(super) fn joined(&mut self, alone: bool, host: &mut impl Host) {
        if self.own.record().state == MemberState::Joining {
            self.own.set_state(MemberState::Up);
            host.report_event(Event::Joined { alone });
        }
    }

    /// Sends the peer all member records, unless they have just been sent to it. Returns whether they were
    /// sent.
    pub(super) fn reply_to_join_request(
        &mut self,
        now: Duration,
        name: &PeerName,
        host: &mut impl Host,
    ) -> bool {
        if !self.peers.may_reply_to_join(now, name) {
            return false;
        }
        self.send_member_records(name, host);
        true
    }

    fn send_member_records(&mut self, name: &PeerName, host: &mut impl Host) {
        let Some(peer) = self.peers.get(name) else { return };
        let (to, receiver) = (peer.record.address, Some(peer.record.version.incarnation));
        let own_record = peer.record.clone();
        let others: Vec<MemberRecord> = self.peers().filter(|record| record.name != *name).cloned().collect();
        let mut parts: Vec<Vec<MemberRecord>> =
            others.chunks(MAX_JOIN_REPLY_RECORDS).map(<[MemberRecord]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        // The first part has the receiver's own record as known here, so that the receiver can refute it.
        parts[0].push(own_record);
        for part in parts {
            self.send(to, receiver, GossipBody::JoinReply, part, host);
        }
    }

    /// Sends a join request to one dead peer or unconnected seed, chosen at random.
    pub(super) fn reconnect_if_due(&mut self, now: Duration, host: &mut impl Host) {
        if now < self.join.next_reconnect {
            return;
        }
        self.join.next_reconnect = now + RECONNECT_INTERVAL;
        let connected: Vec<SocketAddr> = if self.own.is_displaced() {
            // Any peer may know that the other process of this name is gone, so no peer counts as connected.
            Vec::new()
        } else {
            self.active_peers().map(|record| record.address).collect()
        };
        let dead = self.peers().filter(|record| record.state == MemberState::Dead);
        let mut candidates: Vec<SocketAddr> =
            self.join.seeds.iter().copied().chain(dead.map(|record| record.address)).collect();
        let own_address = self.own.record().address;
        candidates.retain(|address| !connected.contains(address) && *address != own_address);
        if let Some(address) = candidates.choose(&mut self.rng) {
            self.send(*address, None, GossipBody::JoinRequest, Vec::new(), host);
        }
    }
}
