//! Join requests and replies, the seeds, and reconnecting to members that were lost.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::Membership;
use crate::host::{Event, Host};
use crate::ids::PeerName;
use crate::message::{GossipBody, MAX_JOIN_REPLY_RECORDS, MemberRecord, MemberState};

/// How often a router that joins sends join requests.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// A router that nobody answers is a member on its own after this.
const JOIN_TIMEOUT: Duration = Duration::from_millis(400);
/// How often a lost peer or a seed is sent a join request. This is what heals partitions.
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
    /// While this router joins: sends the join requests that are due, and ends the wait for a reply.
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

    /// This router is a member from now on, `alone` if nobody has answered its join requests.
    pub(super) fn joined(&mut self, alone: bool, host: &mut impl Host) {
        if self.own.record().state == MemberState::Joining {
            self.own.set_state(MemberState::Up);
            host.report_event(Event::Joined { alone });
        }
    }

    /// Sends the peer the whole view, unless it has just been sent one. Says whether it was sent.
    pub(super) fn answer_join_request(
        &mut self,
        now: Duration,
        name: &PeerName,
        host: &mut impl Host,
    ) -> bool {
        if !self.peers.may_answer_join(now, name) {
            return false;
        }
        self.send_view(name, host);
        true
    }

    fn send_view(&mut self, name: &PeerName, host: &mut impl Host) {
        let Some(peer) = self.peers.get(name) else { return };
        let (to, receiver) = (peer.record.address, Some(peer.record.version.incarnation));
        let own_record = peer.record.clone();
        let others: Vec<MemberRecord> = self.peers().filter(|record| record.name != *name).cloned().collect();
        let mut parts: Vec<Vec<MemberRecord>> =
            others.chunks(MAX_JOIN_REPLY_RECORDS).map(<[MemberRecord]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        // The receiver learns in the first part what is said of it, and can refute it.
        parts[0].push(own_record);
        for part in parts {
            self.send(to, receiver, GossipBody::JoinReply, part, host);
        }
    }

    /// Sends a join request to one lost peer or seed, chosen at random.
    pub(super) fn reconnect_if_due(&mut self, now: Duration, host: &mut impl Host) {
        if now < self.join.next_reconnect {
            return;
        }
        self.join.next_reconnect = now + RECONNECT_INTERVAL;
        let connected: Vec<SocketAddr> = if self.own.is_displaced() {
            // Everybody is asked whether the later process of this name is gone.
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
