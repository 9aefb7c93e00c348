//! The records of the peers, and which of two records about a peer holds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::host::{Event, Host};
use crate::ids::PeerName;
use crate::message::{MemberRecord, MemberState};

/// The most peers that are recorded. A fleet with more routers is not fully known to any of them.
pub const MAX_PEERS: usize = 256;
/// A peer that has been gone for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// The least time between two join replies to one name: a flood of requests is not answered with a flood.
const JOIN_REPLY_INTERVAL: Duration = Duration::from_millis(40);
/// With how many messages a changed record travels, for each doubling of the routers.
const TRANSMISSIONS_PER_DOUBLING: u32 = 4;

/// A peer, with what the rules remember of it.
pub(super) struct Peer {
    pub(super) record: MemberRecord,
    /// When its state last changed, or when it last spoke as a suspect.
    pub(super) state_since: Duration,
    /// When it last sent a message itself.
    pub(super) last_heard: Duration,
    /// With how many more messages its record travels.
    pub(super) transmissions_left: u32,
    /// When it was last sent a join reply.
    join_answered: Duration,
    /// When it was last due to be pinged as a suspect.
    pub(super) suspect_pinged: Duration,
}

/// What [`PeerTable::merge`] has made of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// It is recorded now.
    Applied,
    /// What is known holds.
    Ignored,
    /// What is known holds, but others have the peer in a worse state by an older version.
    WorseButOlder,
}

/// All peers by name.
#[derive(Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<PeerName, Peer>,
    /// It has been reported that the table is full.
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

    /// The number of messages with which a changed record travels.
    pub(super) fn transmissions(&self) -> u32 {
        // Peers that are gone count as well, so that the number is rather too high than too low. The logarithm is that of one
        // more than the routers.
        let recorded_routers = self.peers.len() as u32 + 1;
        TRANSMISSIONS_PER_DOUBLING * (recorded_routers + 1).ilog2().max(1)
    }

    /// The one place where a record of a peer is taken over, if it is newer, or worse in the same version.
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
            return MergeOutcome::WorseButOlder;
        }
        MergeOutcome::Ignored
    }

    fn insert(&mut self, now: Duration, record: &MemberRecord, host: &mut impl Host) -> MergeOutcome {
        // A peer that is long gone need not be known, and a flood of names must not displace others.
        if !record.state.is_active() || !self.make_room(&record.name, host) {
            return MergeOutcome::Ignored;
        }
        let peer = Peer {
            record: record.clone(),
            state_since: now,
            last_heard: now,
            transmissions_left: 0,
            join_answered: Duration::ZERO,
            suspect_pinged: Duration::ZERO,
        };
        self.peers.insert(record.name.clone(), peer);
        self.record_changed(now, &record.name, None, host);
        MergeOutcome::Applied
    }

    /// Whether there is room for one more peer. A peer that has been gone for the longest time makes room.
    fn make_room(&mut self, name: &PeerName, host: &mut impl Host) -> bool {
        if self.peers.len() < MAX_PEERS {
            self.is_full_reported = false;
            return true;
        }
        let gone = self.peers.iter().filter(|(_, peer)| !peer.record.state.is_active());
        let longest_gone = gone.min_by_key(|(_, peer)| peer.state_since).map(|(name, _)| name.clone());
        if let Some(longest_gone) = longest_gone {
            self.peers.remove(&longest_gone);
            return true;
        }
        if !self.is_full_reported {
            self.is_full_reported = true;
            host.report_event(Event::TooManyPeers(name.clone()));
        }
        false
    }

    /// Changes the state of a peer by what this router has found out itself.
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

    /// A record that has changed travels from here on.
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

    /// Records that the peer has sent a message, and returns its state.
    pub(super) fn heard_from(&mut self, now: Duration, name: &PeerName) -> Option<MemberState> {
        let peer = self.peers.get_mut(name)?;
        peer.last_heard = now;
        if peer.record.state == MemberState::Suspect {
            // It is running, so it has time to refute the suspicion.
            peer.state_since = now;
        }
        Some(peer.record.state)
    }

    /// Counts all active peers as heard now: nobody comes under suspicion for silence while this process did not run. Only
    /// `last_heard` restarts; the time that a suspect has to refute its suspicion (`state_since`) does not.
    pub(super) fn heard_from_all_active(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            if peer.record.state.is_active() {
                peer.last_heard = now;
            }
        }
    }

    /// Whether the peer may be sent a join reply now, which then counts as sent.
    pub(super) fn may_answer_join(&mut self, now: Duration, name: &PeerName) -> bool {
        let Some(peer) = self.peers.get_mut(name) else { return false };
        if now < peer.join_answered + JOIN_REPLY_INTERVAL {
            return false;
        }
        peer.join_answered = now;
        true
    }

    pub(super) fn forget_long_gone(&mut self, now: Duration) {
        self.peers.retain(|_, peer| peer.record.state.is_active() || now < peer.state_since + FORGET_AFTER);
    }

    pub(super) fn state_bytes(&self) -> usize {
        let names: usize = self.peers.keys().map(|name| 2 * name.as_str().len()).sum();
        names + self.peers.len() * size_of::<(PeerName, Peer)>()
    }
}
