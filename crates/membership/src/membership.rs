//! Membership by gossip after SWIM (Das, Gupta and Motivala, 2002): indirect pings, suspicion and refutation.
//! It differs from SWIM in that incarnations are taken from the clock, and in that a join request opens a
//! session.
//!
//! In each protocol period a router pings one peer. If it gets no ack, it asks some other peers to ping that
//! peer. If that fails as well, the peer becomes suspect, and dead if it does not refute the suspicion in
//! time. All this is disseminated as member records, of which a few are piggybacked on each message.
//!
//! [`Membership`] passes each input to these modules, and determines the order in which they act:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `peer_table` | the records of the peers, and which of two records takes precedence |
//! | `own_record` | this router's own record: refutation, and conflicts with another process of its name |
//! | `join` | join requests and replies, seeds, reconnecting after a partition |
//! | `failure_detector` | pings, indirect pings, suspicion and death |
//! | `dissemination` | sending messages, and which records are piggybacked on them |
//! | `pause` | detecting that the process was not running for a while |

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

/// Whether the sender of a message needs a snapshot of the recent observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationSnapshot {
    /// It has sent a join request, or was not known as an active peer with this incarnation.
    Due,
    /// It receives observations already, or is not an active peer.
    NotDue,
}

/// One router's view of the members, and the protocol that keeps it up to date.
pub struct Membership {
    own: OwnRecord,
    peers: PeerTable,
    detector: FailureDetector,
    join: JoinProtocol,
    pause: PauseDetector,
    rng: ChaCha8Rng,
}

impl Membership {
    /// Creates a router that knows no peers and joins through its seeds. The state in `own_record` is
    /// ignored.
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

    /// Whether the sender of this record is known as an active peer with the same incarnation.
    pub fn is_current(&self, sender: &MemberRecord) -> bool {
        self.peers.get(&sender.name).is_some_and(|peer| {
            peer.record.version.incarnation == sender.version.incarnation && peer.record.state.is_active()
        })
    }

    /// The memory used by the tables in bytes, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        self.peers.state_bytes() + self.detector.state_bytes()
    }

    /// Replaces the seeds after a change of the configuration.
    pub fn seeds_changed(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        self.join.seeds_changed(now, seeds);
    }

    /// Announces to all active peers that this router leaves, so that they take over its tasks.
    ///
    /// There is no message body for leaving: the peers recognize it by the state `Left` in the sender's
    /// record.
    pub fn leave(&mut self, host: &mut impl Host) {
        self.own.set_state(MemberState::Left);
        self.own.increment_revision();
        for name in self.active_peer_names() {
            // Sent twice: if the message is lost, the peer learns of the leave only by failure detection.
            for _ in 0..2 {
                self.send_to(&name, GossipBody::JoinRequest, host);
            }
        }
    }

    /// Handles a message, which the caller has checked to be authentic.
    pub fn message_arrived(
        &mut self,
        now: Duration,
        message: &GossipMessage,
        host: &mut impl Host,
    ) -> ObservationSnapshot {
        let sender = &message.from;
        if sender.name == self.own.record().name {
            self.own.same_name_message_received(sender, host);
            return ObservationSnapshot::NotDue;
        }
        if self.peers.knows_later_incarnation(sender) {
            self.earlier_incarnation_message_received(now, message, host);
            return ObservationSnapshot::NotDue;
        }
        let was_current = self.is_current(sender);
        self.merge_records(now, message, host);
        let Some(state) = self.heard_from(now, &sender.name) else { return ObservationSnapshot::NotDue };
        if !state.is_active() {
            self.inactive_peer_message_received(now, sender, host);
            return ObservationSnapshot::NotDue;
        }
        let join_reply_sent = self.body_received(now, message, host);
        if join_reply_sent || !was_current { ObservationSnapshot::Due } else { ObservationSnapshot::NotDue }
    }

    /// Records that the sender is alive. Returns its state, or `None` if it is not in the peer table.
    fn heard_from(&mut self, now: Duration, sender: &PeerName) -> Option<MemberState> {
        let state = self.peers.heard_from(now, sender)?;
        self.detector.heard_from(sender);
        Some(state)
    }

    /// Handles a message of a peer that is recorded as dead or left. If the peer considers itself active, it
    /// is sent this record, so that it can refute it.
    fn inactive_peer_message_received(&mut self, now: Duration, sender: &MemberRecord, host: &mut impl Host) {
        if sender.state.is_active() {
            self.reply_to_join_request(now, &sender.name, host);
        }
    }

    /// Handles a message of a sender of which a later incarnation is known. Either the sender has restarted
    /// since, or its clock went back during a restart, or another process has the same name. In the last two
    /// cases it sends join requests, and must learn of the later incarnation.
    fn earlier_incarnation_message_received(
        &mut self,
        now: Duration,
        message: &GossipMessage,
        host: &mut impl Host,
    ) {
        let sender = &message.from;
        if message.body != GossipBody::JoinRequest || !self.peers.may_reply_to_join(now, &sender.name) {
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
                self.own.record_received(record, host);
            } else {
                self.merge(now, record, host);
            }
        }
    }

    fn merge(&mut self, now: Duration, record: &MemberRecord, host: &mut impl Host) {
        if self.peers.merge(now, record, host) == MergeOutcome::OlderButWorse {
            self.recheck(now, &record.name);
        }
    }

    /// Handles the body of a message from an active peer. Returns whether it was a join request that got a
    /// reply.
    fn body_received(&mut self, now: Duration, message: &GossipMessage, host: &mut impl Host) -> bool {
        let sender = &message.from.name;
        match &message.body {
            GossipBody::JoinRequest => return self.reply_to_join_request(now, sender, host),
            GossipBody::JoinReply => self.joined(false, host),
            GossipBody::Ping(number) => self.send_to(sender, GossipBody::Ack(*number), host),
            GossipBody::Ack(number) => self.ack_received(now, *number, host),
            GossipBody::IndirectPing(number, target) => {
                self.send_relayed_ping(now, sender, *number, target, host);
            }
            GossipBody::Observations(_) => {}
        }
        false
    }

    /// Does the periodic work. The call may be delayed.
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
