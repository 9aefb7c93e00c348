//! The records of the peers, and which of two records of a peer takes precedence.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::host::{Event, Host};
use crate::ids::PeerName;
use crate::message::{MemberRecord, MemberState};

/// The maximum number of peers in the table. In a fleet with more routers, none of them knows all.
pub const MAX_PEERS: usize = 256;
/// A peer that has been dead, or has left, for this long is removed from the table.
const REMOVE_INACTIVE_AFTER: Duration = Duration::from_secs(600);
/// The minimum time between two join replies to the same peer, so that a flood of requests does not cause a
/// flood of replies.
const JOIN_REPLY_INTERVAL: Duration = Duration::from_millis(40);
/// How many messages a changed record is piggybacked on, per doubling of the number of routers.
const TRANSMISSIONS_PER_DOUBLING: u32 = 4;

/// A peer, with the state that the protocol keeps for it.
pub(super) struct Peer {
    pub(super) record: MemberRecord,
    /// When its state last changed, or, for a suspect, when it last sent a message.
    pub(super) state_since: Duration,
    /// When this router last received a message from the peer, or an ack of an indirect ping of it.
    pub(super) last_heard: Duration,
    /// How many more messages its record is piggybacked on.
    pub(super) transmissions_left: u32,
    /// When it was last sent a join reply.
    last_join_reply: Duration,
    /// When a ping was last due to it as a suspect, whether or not this router sent it.
    pub(super) last_suspect_ping: Duration,
}

/// What [`PeerTable::merge`] has done with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// It has replaced the known record, or is the first record of the peer.
    Applied,
    /// The known record takes precedence, or the peer is not to be recorded.
    Ignored,
    /// The known record takes precedence, but the received one has an older version with a worse state.
    OlderButWorse,
}

/// All known peers by name.
#[derive(Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<PeerName, Peer>,
    /// Whether [`Event::TooManyPeers`] has been reported since the table last had room.
    is_full_reported: bool,
}

impl PeerTable {
    pub(super) fn get(&self, name: &PeerName) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &PeerName) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&PeerName, &Peer)> {
        self.peers.iter()
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    pub(super) fn active(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.state.is_active())
    }

    pub(super) fn is_active(&self, name: &PeerName) -> bool {
        self.get(name).is_some_and(|peer| peer.record.state.is_active())
    }

    pub(super) fn names_where(&self, condition: impl Fn(&Peer) -> bool) -> Vec<PeerName> {
        self.iter().filter(|(_, peer)| condition(peer)).map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn knows_later_incarnation(&self, record: &MemberRecord) -> bool {
        self.get(&record.name)
            .is_some_and(|peer| peer.record.version.incarnation > record.version.incarnation)
    }

    /// The number of messages that a changed record is piggybacked on.
    pub(super) fn transmissions(&self) -> u32 {
        // Inactive peers are counted as well: too many transmissions are better than too few. The logarithm
        // is that of the number of routers plus one.
        let recorded_routers = self.peers.len() as u32 + 1;
        TRANSMISSIONS_PER_DOUBLING * (recorded_routers + 1).ilog2().max(1)
    }

    /// Applies a record of a peer if it is newer than the known one, or has the same version and a worse
    /// state. All records that are received go through this function.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        record: &MemberRecord,
        host: &mut impl Host,
    ) -> MergeOutcome {
        let Some(known) = self.peers.get_mut(&record.name) else {
            return self.insert(now, record, host);
        };
        let previous = known.record.state;
        if (record.version, record.state) > (known.record.version, previous) {
            if known.record.version.incarnation != record.version.incarnation {
                known.last_heard = now;
            }
            known.record = record.clone();
            self.record_changed(now, &record.name, Some(previous), host);
            return MergeOutcome::Applied;
        }
        if record.state > previous && record.version < known.record.version {
            return MergeOutcome::OlderButWorse;
        }
        MergeOutcome::Ignored
    }

    fn insert(&mut self, now: Duration, record: &MemberRecord, host: &mut impl Host) -> MergeOutcome {
        // Inactive peers that are not known yet are not recorded, and a flood of names must not evict active
        // peers.
        if !record.state.is_active() || !self.make_room(&record.name, host) {
            return MergeOutcome::Ignored;
        }
        let peer = Peer {
            record: record.clone(),
            state_since: now,
            last_heard: now,
            transmissions_left: 0,
            last_join_reply: Duration::ZERO,
            last_suspect_ping: Duration::ZERO,
        };
        self.peers.insert(record.name.clone(), peer);
        self.record_changed(now, &record.name, None, host);
        MergeOutcome::Applied
    }

    /// Makes room for one more peer, by removing the peer that has been inactive for the longest time if the
    /// table is full. Returns whether there is room.
    fn make_room(&mut self, name: &PeerName, host: &mut impl Host) -> bool {
        if self.peers.len() < MAX_PEERS {
            self.is_full_reported = false;
            return true;
        }
        let inactive = self.peers.iter().filter(|(_, peer)| !peer.record.state.is_active());
        let longest_inactive =
            inactive.min_by_key(|(_, peer)| peer.state_since).map(|(name, _)| name.clone());
        if let Some(longest_inactive) = longest_inactive {
            self.peers.remove(&longest_inactive);
            return true;
        }
        if !self.is_full_reported {
            self.is_full_reported = true;
            host.report_event(Event::TooManyPeers(name.clone()));
        }
        false
    }

    /// Changes the state of a peer as detected by this router itself.
    pub(super) fn set_state(
        &mut self,
        now: Duration,
        name: &PeerName,
        state: MemberState,
        host: &mut impl Host,
    ) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let previous = std::mem::replace(&mut peer.record.state, state);
        self.record_changed(now, name, Some(previous), host);
    }

    /// Starts the dissemination of a changed record, and reports a change of the state.
    fn record_changed(
        &mut self,
        now: Duration,
        name: &PeerName,
        previous: Option<MemberState>,
        host: &mut impl Host,
    ) {
        let transmissions = self.transmissions();
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.transmissions_left = transmissions;
        let (version, state) = (peer.record.version, peer.record.state);
        if previous != Some(state) {
            peer.state_since = now;
            host.report_event(Event::PeerChanged { peer: name.clone(), version, previous, state });
        }
    }

    /// Records that the peer has sent a message, and returns its state. `None` if the peer is not known.
    pub(super) fn heard_from(&mut self, now: Duration, name: &PeerName) -> Option<MemberState> {
        let peer = self.peers.get_mut(name)?;
        peer.last_heard = now;
        if peer.record.state == MemberState::Suspect {
            // The peer is running, so its time to refute the suspicion starts again.
            peer.state_since = now;
        }
        Some(peer.record.state)
    }

    /// Treats all active peers as heard now, so that none is suspected because no message was received while
    /// this process was not running. Only `last_heard` is set; the time that a suspect has to refute its
    /// suspicion (`state_since`) does not start again.
    pub(super) fn mark_active_peers_heard(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            if peer.record.state.is_active() {
                peer.last_heard = now;
            }
        }
    }

    /// Whether a join reply may be sent to the peer now. If so, the reply is recorded as sent.
    pub(super) fn may_reply_to_join(&mut self, now: Duration, name: &PeerName) -> bool {
        let Some(peer) = self.peers.get_mut(name) else { return false };
        if now < peer.last_join_reply + JOIN_REPLY_INTERVAL {
            return false;
        }
        peer.last_join_reply = now;
        true
    }

    pub(super) fn remove_long_inactive(&mut self, now: Duration) {
        self.peers.retain(|_, peer| {
            peer.record.state.is_active() || now < peer.state_since + REMOVE_INACTIVE_AFTER
        });
    }

    pub(super) fn state_bytes(&self) -> usize {
        let names: usize = self.peers.keys().map(|name| 2 * name.as_str().len()).sum();
        names + self.peers.len() * size_of::<(PeerName, Peer)>()
    }
}
