//! A control instance's side: one digest for all, copies of parts for those who ask, both in turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{DatedObservation, Incarnation, PeerName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::encoded_size;
use crate::host::{Event, Host};
use crate::message::{CLASSES, Digest, DigestNo, Message, PARTITIONS, PartitionId};
use crate::observation_store::ObservationStore;
use crate::token_bucket::TokenBucket;

/// The subscribers are served in so many lots over the time between digests, so that no burst goes out.
const LOTS: u32 = 10;
/// While changes wait, rounds are shorter by this factor: a burst is told within seconds.
const HASTE: u32 = 5;
/// Who has not subscribed again for so long is forgotten: a few misses of one a second.
pub const LEASE: Duration = Duration::from_secs(4);
/// The same as long as its address is not validated (as in RFC 9000, section 8): a wish to subscribe may have been
/// recorded before this start, and be sent again from elsewhere. A router answers the first digest.
pub const TRIAL: Duration = Duration::from_millis(1200);
/// Nothing is told before databases have been listed for so many periods: what one that has just started has not seen
/// yet would be told as unseen, and then as seen, of each.
const SETTLE_PERIODS: u32 = 4;
/// So much of the budget of copies may be saved up, in seconds of it.
const SAVED: f64 = 0.05;
/// No more of them leave at once, so that they find room in the socket, and the rest so much later.
const COPIES_AT_ONCE: usize = 64 * 1024;
const COPIES_AGAIN: Duration = Duration::from_millis(2);
/// About what a datagram costs besides its entries.
const HEAD_BYTES: usize = 90;
/// How often the counts are told, where they have changed.
const TOLD_EVERY: Duration = Duration::from_secs(10);

/// What a publisher is told at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublisherParams {
    /// How often each database is probed, by all control instances together.
    pub period: Duration,
    /// The time between two digests.
    pub every: Duration,
    /// The budget of copies, in bytes a second to all subscribers together.
    pub copy_rate: f64,
    pub most_subscribers: usize,
}

struct Subscriber {
    address: SocketAddr,
    /// It has named this control instance's start from there, so that nothing recorded turns its digests elsewhere.
    validated: bool,
    start: Incarnation,
    until: Duration,
    /// Decides in which lot of a round it is served.
    lot: u32,
    /// The parts that it has asked for, a bit for each.
    wants: u64,
}

pub struct Publisher<H: Host> {
    host: H,
    plan: PublisherParams,
    chance: ChaCha8Rng,
    book: ObservationStore,
    instances: usize,
    subscribers: BTreeMap<PeerName, Subscriber>,
    /// Who waits for copies, each once.
    queue: VecDeque<PeerName>,
    copies: TokenBucket,
    /// When the first databases were listed.
    listed: Option<Duration>,
    /// What this round tells, how many lots it has, and which is next.
    digest: Option<Digest>,
    lots: u32,
    lot: u32,
    next: Duration,
    number: DigestNo,
    told: (usize, Duration),
    full_told: Option<Duration>,
    left: bool,
}

impl<H: Host> Publisher<H> {
    pub fn new(host: H, plan: PublisherParams, seed: u64, now: Duration) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let book = ObservationStore::new(plan.period, chance.next_u32() as usize);
        let copies = TokenBucket::new(plan.copy_rate, plan.copy_rate * SAVED, now);
        let mut publisher = Self {
            host,
            plan,
            chance,
            book,
            instances: 1,
            subscribers: BTreeMap::new(),
            queue: VecDeque::new(),
            copies,
            listed: None,
            digest: None,
            lots: LOTS,
            lot: 0,
            next: now,
            number: DigestNo::default(),
            told: (0, now),
            full_told: None,
            left: false,
        };
        publisher.host.set_timer(Duration::ZERO);
        publisher
    }

    /// The databases there are; nothing is kept of any other.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        self.book.nodes_changed(now, nodes);
        if !nodes.is_empty() {
            self.listed.get_or_insert(now);
        }
    }

    /// This control instance, or another of its fleet, has seen this.
    pub fn seen(&mut self, now: Duration, evidence: DatedObservation) {
        self.book.seen(now, evidence);
    }

    /// How many control instances there are.
    pub fn instances_changed(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// A message that is authentic and not one that came before.
    pub fn message_arrived(
        &mut self,
        now: Duration,
        from: SocketAddr,
        who: &PeerName,
        start: Incarnation,
        message: Message,
    ) {
        if self.left || self.subscribers.get(who).is_some_and(|known| known.start > start) {
            return;
        }
        match message {
            Message::Subscribe => self.subscribe(now, from, who, start, false),
            Message::Renew => self.subscribe(now, from, who, start, true),
            Message::Unsubscribe => {
                if self.subscribers.remove(who).is_some_and(|known| known.wants != 0) {
                    self.queue.retain(|waiting| waiting != who);
                }
            }
            Message::Pull(parts) => {
                let Some(known) = self.subscribers.get_mut(who).filter(|known| known.start == start) else {
                    return;
                };
                (known.address, known.validated, known.until) = (from, true, now + LEASE);
                let waits = known.wants != 0;
                parts.iter().filter(|part| usize::from(part.0) < PARTITIONS).for_each(|part| {
                    known.wants |= 1 << part.0;
                });
                if !waits && known.wants != 0 {
                    self.queue.push_back(who.clone());
                }
            }
            // What a control instance says is no matter of another's.
            Message::Digest(_) | Message::Chunk(_) | Message::Full | Message::Leaving => {}
        }
    }

    /// `validates`: it names this start, and so comes from where the router is.
    fn subscribe(
        &mut self,
        now: Duration,
        from: SocketAddr,
        who: &PeerName,
        start: Incarnation,
        validates: bool,
    ) {
        let until = now + if validates { LEASE } else { TRIAL };
        if let Some(known) = self.subscribers.get_mut(who) {
            if known.start != start {
                // It has started anew, and asks for what it needs.
                (known.wants, known.validated) = (0, false);
                self.queue.retain(|waiting| waiting != who);
            } else if known.validated && !validates {
                // From elsewhere it is a recording; from there it is a router that has missed digests.
                if known.address == from {
                    known.until = known.until.max(until);
                }
                return;
            }
            (known.address, known.start, known.until) = (from, start, until);
            known.validated |= validates;
            return;
        }
        if self.subscribers.len() >= self.plan.most_subscribers {
            if self.full_told.is_none_or(|told| told + TOLD_EVERY <= now) {
                self.full_told = Some(now);
                self.host.tell(Event::TooManySubscribers(who.clone()));
            }
            return self.host.send(from, Some(start), Message::Full);
        }
        let lot = self.chance.next_u32();
        let subscriber = Subscriber { address: from, validated: validates, start, until, lot, wants: 0 };
        self.subscribers.insert(who.clone(), subscriber);
    }

    pub fn timer_fired(&mut self, now: Duration) {
        if self.left {
            return;
        }
        let step = self.plan.every / LOTS;
        if now >= self.next {
            if self.lot == 0 {
                self.begin_round(now);
            }
            self.serve_lot(now);
            self.lot = (self.lot + 1) % self.lots;
            // One that stood still goes on from now, and does not make up for what it has missed.
            self.next = if now > self.next + self.plan.every { now + step } else { self.next + step };
        }
        let more = self.serve_copies(now);
        let next = self.next.saturating_sub(now);
        self.host.set_timer(if more { next.min(COPIES_AGAIN) } else { next });
    }

    /// What the digests of a round say is settled here, but for what holds at the moment of sending.
    fn begin_round(&mut self, now: Duration) {
        self.subscribers.retain(|_, known| known.until > now);
        self.queue.retain(|who| self.subscribers.contains_key(who));
        self.tell_counts(now);
        let settled = self.listed.is_some_and(|at| at + self.plan.period * SETTLE_PERIODS <= now);
        if !settled {
            (self.digest, self.lots) = (None, LOTS);
            return;
        }
        self.number = DigestNo(self.number.0 + 1);
        let mut digest = Digest {
            number: self.number,
            sent: now,
            age: Duration::ZERO,
            watermarks: [Some(now); CLASSES],
            revisions: Vec::new(),
            changes: Vec::new(),
            period: self.plan.period,
            routers: self.routers(),
        };
        // What the rest takes at the most.
        digest.revisions = self.book.highest_revisions();
        let room = encoded_size::ROOM.saturating_sub(encoded_size::digest(&digest));
        let waits = self.book.revise(now, room, !self.subscribers.is_empty());
        digest.revisions = self.book.revisions();
        digest.changes = self.book.changes(room);
        (self.digest, self.lots) = (Some(digest), if waits { LOTS / HASTE } else { LOTS });
    }

    fn serve_lot(&mut self, now: Duration) {
        let Some(digest) = &mut self.digest else { return };
        let (lot, lots) = (self.lot, self.lots);
        let mut filled = false;
        for known in self.subscribers.values().filter(|known| known.lot % lots == lot) {
            if !std::mem::replace(&mut filled, true) {
                self.book.fill(now, digest);
            }
            self.host.send(known.address, Some(known.start), Message::Digest(digest.clone()));
        }
    }

    /// Copies go out one part at a time, each subscriber in its turn, as long as the budget has something left.
    /// Whether more could go out than may at once.
    fn serve_copies(&mut self, now: Duration) -> bool {
        let mut sent = 0;
        // None goes out before the first digest: nothing is settled until then.
        while self.digest.is_some() && self.copies.has(now, 0.0) && !self.queue.is_empty() {
            if sent >= COPIES_AT_ONCE {
                return true;
            }
            let Some(who) = self.queue.pop_front() else { break };
            let Some(known) = self.subscribers.get_mut(&who).filter(|known| known.wants != 0) else {
                continue;
            };
            // Each begins elsewhere, so that not all ask for the same again after a loss.
            let turned = known.wants.rotate_right(known.lot % 64).trailing_zeros();
            let part = (turned + known.lot) % 64;
            known.wants &= !(1 << part);
            for chunk in self.book.copy(PartitionId(part as u8)) {
                let bytes = HEAD_BYTES + encoded_size::chunk(&chunk);
                self.copies.spend(bytes as f64);
                sent += bytes;
                self.host.send(known.address, Some(known.start), Message::Chunk(chunk));
            }
            if known.wants != 0 {
                self.queue.push_back(who);
            }
        }
        false
    }

    /// Each router follows two, where there are two.
    fn routers(&self) -> u32 {
        (self.subscribers.len() * self.instances / self.instances.min(2)) as u32
    }

    fn tell_counts(&mut self, now: Duration) {
        let routers = self.subscribers.len();
        if routers != self.told.0 && now >= self.told.1 + TOLD_EVERY {
            self.told = (routers, now);
            self.host.tell(Event::Subscribers { routers, waiting: self.waiting() });
        }
    }

    /// Says goodbye. Nothing is told from then on.
    pub fn leave(&mut self, _now: Duration) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        for known in self.subscribers.values() {
            self.host.send(known.address, Some(known.start), Message::Leaving);
        }
        self.subscribers.clear();
        self.queue.clear();
    }

    pub fn subscribers(&self) -> usize {
        self.subscribers.len()
    }

    /// About the bytes that all this takes, by count and size of what it holds.
    pub fn state_bytes(&self) -> usize {
        size_of::<Self>()
            + self.book.state_bytes()
            + self.subscribers.len() * size_of::<(PeerName, Subscriber)>()
            + self.queue.len() * size_of::<PeerName>()
    }

    /// How many copies of parts wait to be sent.
    pub fn waiting(&self) -> usize {
        self.subscribers.values().map(|known| known.wants.count_ones() as usize).sum()
    }
}
