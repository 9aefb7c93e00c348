//! Sending messages, and which member records are piggybacked on them.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::Membership;
use crate::host::Host;
use crate::ids::{Incarnation, PeerName};
use crate::message::{GossipBody, GossipMessage, MAX_PIGGYBACKED_RECORDS, MemberRecord, MemberState};

impl Membership {
    /// Sends a message to a peer. Piggybacks the receiver's own record if the receiver has to refute it, and
    /// the records that have been sent least often.
    pub fn send_to(&mut self, name: &PeerName, body: GossipBody, host: &mut impl Host) {
        let Some(peer) = self.peers.get(name) else { return };
        let (to, receiver) = (peer.record.address, Some(peer.record.version.incarnation));
        let mut records: Vec<MemberRecord> = Vec::new();
        if peer.record.state >= MemberState::Suspect {
            records.push(peer.record.clone());
        }
        for other in self.least_transmitted(name) {
            if let Some(peer) = self.peers.get_mut(&other) {
                peer.transmissions_left -= 1;
                records.push(peer.record.clone());
            }
        }
        self.send(to, receiver, body, records, host);
    }

    /// The peers other than the receiver whose records have the most transmissions left. Ties are ordered by
    /// name.
    fn least_transmitted(&self, receiver: &PeerName) -> Vec<PeerName> {
        let mut changed: Vec<(Reverse<u32>, &PeerName)> = self
            .peers
            .iter()
            .filter(|(name, peer)| peer.transmissions_left > 0 && *name != receiver)
            .map(|(name, peer)| (Reverse(peer.transmissions_left), name))
            .collect();
        changed.sort();
        changed.into_iter().map(|(_, name)| name.clone()).take(MAX_PIGGYBACKED_RECORDS).collect()
    }

    /// Sends a message to an address. `receiver` is the incarnation of the receiver, if it is known.
    pub(super) fn send(
        &self,
        to: SocketAddr,
        receiver: Option<Incarnation>,
        body: GossipBody,
        records: Vec<MemberRecord>,
        host: &mut impl Host,
    ) {
        if to == self.own.record().address {
            return;
        }
        // A displaced router sends only join requests: peers would attribute other messages to the later
        // process of the same name.
        if self.own.is_displaced() && body != GossipBody::JoinRequest {
            return;
        }
        host.send(to, receiver, GossipMessage { from: self.own.record().clone(), body, records });
    }
}
