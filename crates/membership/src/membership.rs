//! Which routers are members: gossip with indirect pings, suspicion and refutation, after SWIM (Das, Gupta and Motivala,
//! 2002), with incarnations that come from the clock and a join request that opens a session.
//!
//! Each period one peer is pinged; where no ack comes, some others are asked to ping it. Where that fails too it is suspect,
//! and dead if it does not refute that in time. All of it travels as member records, a few piggybacked on each message.
//!
//! [`Membership`] hands each event to the rules and owns the order in which they act:
//!
//! | module | owns |
//! | --- | --- |
//! | `peer_table` | the records of the peers, and which of two records holds |
//! | `own_record` | this router's own record: refutation, and the conflict with a process of the same name |
//! | `join` | join requests and replies, seeds, reconnecting after a partition |
//! | `failure_detector` | pings, indirect pings, suspicion and death |
//! | `dissemination` | which records are piggybacked on a message |
//! | `pause` | that the process has not run for a while |

mod dissemination;
mod failure_detector;
mod join;
mod own_record;
mod pause;
mod peer_table;

pub use peer_table::MAX_PEERS;

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::host::Host;
use crate::ids::PeerName;
use crate::message::{GossipBody, GossipMessage, MemberRecord, MemberState};

use failure_detector::FailureDetector;
use join::JoinProtocol;
use own_record::OwnRecord;
use pause::PauseDetector;
use peer_table::{MergeOutcome, PeerTable};

/// Whether the sender of a message is to be sent a snapshot of the recent observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationSnapshot {
    /// It has joined, or was not known as an active peer in this incarnation.
    Due,
    /// It has been sent what it needs, or is none that observations are shared with.
    NotDue,
}

/// One router's view of the members, and its part in keeping that up to date.
pub struct Membership {
    own: OwnRecord,
    peers: PeerTable,
    detector: FailureDetector,
    join: JoinProtocol,
    pause: PauseDetector,
    rng: ChaCha8Rng,
}

impl Membership {
    /// A router that knows nobody and joins by its seeds. The state in `own_record` is ignored.
    pub fn new(own_record: MemberRecord, seeds: Vec<SocketAddr>, rng_seed: u64, now: Duration) -> Self {
        Self {
            own: OwnRecord::new(own_record),
            peers: PeerTable::default(),
            detector: FailureDetector::new(now),
            join: JoinProtocol::new(seeds, now),
            pause: PauseDetector::new(now),
            rng: ChaCha8Rng::seed_from_u64(rng_seed),
        }
    }

    /// The record of this router.
    pub fn own_record(&self) -> &MemberRecord {
        self.own.record()
    }

    /// Whether this router may own tasks.
    pub fn may_own_tasks(&self) -> bool {
        self.own.record().state == MemberState::Up && !self.own.is_displaced()
    }

    /// The records of all peers, whatever their state, ordered by name.
    pub fn peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.records()
    }

    /// The records of the peers that may be running, ordered by name.
    pub fn active_peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.active()
    }

    /// Whether the sender of this record is an active peer, in the incarnation that is known here.
    pub fn is_current(&self, sender: &MemberRecord) -> bool {
        self.peers.get(&sender.name).is_some_and(|peer| {
            peer.record.version.incarnation == sender.version.incarnation && peer.record.state.is_active()
        })
    }

    /// The size of the tables in bytes, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        self.peers.state_bytes() + self.detector.state_bytes()
    }

    /// Takes the seeds as configured from now on.
    pub fn seeds_changed(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        self.join.seeds_changed(now, seeds);
    }

    /// Announces to all peers that this router leaves. Its tasks are others' from then on.
    ///
    /// A leave has no body of its own: the state `Left` in the sender's record is what counts.
    pub fn leave(&mut self, host: &mut impl Host) {
        self.own.set_state(MemberState::Left);
        self.own.raise_revision();
        for name in self.active_peer_names() {
            // Twice: one that is lost costs the others a detection.
            for _ in 0..2 {
                self.send_to(&name, GossipBody::JoinRequest, host);
            }
        }
    }

    /// Takes a message whose sender is authentic.
    pub fn message_arrived(
        &mut self,
        now: Duration,
        message: &GossipMessage,
        host: &mut impl Host,
    ) -> ObservationSnapshot {
        let sender = &message.from;
        if sender.name == self.own.record().name {
            self.own.namesake_spoke(sender, host);
            return ObservationSnapshot::NotDue;
        }
        if self.peers.knows_later_incarnation(sender) {
            self.earlier_incarnation_spoke(now, message, host);
            return ObservationSnapshot::NotDue;
        }
        let was_current = self.is_current(sender);
        self.merge_records(now, message, host);
        let Some(state) = self.heard_from(now, &sender.name) else { return ObservationSnapshot::NotDue };
        if !state.is_active() {
            self.inactive_peer_spoke(now, sender, host);
            return ObservationSnapshot::NotDue;
        }
        let has_joined = self.body_arrived(now, message, host);
        if has_joined || !was_current { ObservationSnapshot::Due } else { ObservationSnapshot::NotDue }
    }

    /// Counts a message as the sender's sign of life. Returns the state of the sender, if it is recorded.
    fn heard_from(&mut self, now: Duration, sender: &PeerName) -> Option<MemberState> {
        let state = self.peers.heard_from(now, sender)?;
        self.detector.heard_from(sender);
        Some(state)
    }

    /// A peer spoke that is taken for dead or gone here. Where it takes itself for running, it does not know that yet.
    fn inactive_peer_spoke(&mut self, now: Duration, sender: &MemberRecord, host: &mut impl Host) {
        if sender.state.is_active() {
            self.answer_join_request(now, &sender.name, host);
        }
    }

    /// The sender has been started again since, or its clock has gone back over a restart, or another process has its name.
    /// In the last two cases it sends join requests, and must learn of the later incarnation.
    fn earlier_incarnation_spoke(&mut self, now: Duration, message: &GossipMessage, host: &mut impl Host) {
        let sender = &message.from;
        if message.body != GossipBody::JoinRequest || !self.peers.may_answer_join(now, &sender.name) {
            return;
        }
        let Some(known) = self.peers.get(&sender.name) else { return };
        let records = vec![known.record.clone()];
        self.send(sender.address, Some(sender.version.incarnation), GossipBody::JoinReply, records, host);
    }

    fn merge_records(&mut self, now: Duration, message: &GossipMessage, host: &mut impl Host) {
        self.merge(now, &message.from, host);
        for record in &message.records {
            if record.name == self.own.record().name {
                self.own.gossip_arrived(record, host);
            } else {
                self.merge(now, record, host);
            }
        }
    }

    fn merge(&mut self, now: Duration, record: &MemberRecord, host: &mut impl Host) {
        if self.peers.merge(now, record, host) == MergeOutcome::WorseButOlder {
            self.recheck(now, &record.name);
        }
    }

    /// Handles the body of a message from an active peer. Says whether it was a join request that has been answered.
    fn body_arrived(&mut self, now: Duration, message: &GossipMessage, host: &mut impl Host) -> bool {
        let sender = &message.from.name;
        match &message.body {
            GossipBody::JoinRequest => return self.answer_join_request(now, sender, host),
            GossipBody::JoinReply => self.joined(false, host),
            GossipBody::Ping(number) => self.send_to(sender, GossipBody::Ack(*number), host),
            GossipBody::Ack(number) => self.ack_arrived(now, *number, host),
            GossipBody::IndirectPing(number, target) => {
                self.ping_on_behalf(now, sender, *number, target, host);
            }
            GossipBody::Observations(_) => {}
        }
        false
    }

    /// The periodic work. It may come late.
    pub fn tick(&mut self, now: Duration, host: &mut impl Host) {
        if self.own.record().state == MemberState::Left {
            return;
        }
        self.continue_joining(now, host);
        self.detect_failures(now, host);
        self.reconnect_if_due(now, host);
    }

    fn active_peer_names(&self) -> Vec<PeerName> {
        self.active_peers().map(|record| record.name.clone()).collect()
    }
}
