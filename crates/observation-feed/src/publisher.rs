//! A control instance's side of the feed: sends digests to all subscribers, and partition snapshots to those
//! that request them. Both are paced.

mod rounds;
mod snapshots;
mod subscriptions;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName, TimestampedObservation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::rounds::Rounds;
use self::snapshots::SnapshotQueue;
use self::subscriptions::{AddressProof, Subscription};
pub use self::subscriptions::{SUBSCRIPTION_LEASE, UNVALIDATED_LEASE};
use crate::host::{Event, Host};
use crate::message::Message;
use crate::observation_store::ObservationStore;

/// Minimum interval between two reports of the subscriber counts, and between two reports of rejected
/// routers.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The settings of a publisher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublisherParams {
    /// Interval at which each database is checked, by all control instances together.
    pub health_check_period: Duration,
    /// Interval between two digests.
    pub digest_interval: Duration,
    /// Bandwidth budget for snapshots, for all subscribers together.
    pub snapshot_bytes_per_second: f64,
    /// Maximum number of subscribed routers; others are rejected.
    pub max_subscribers: usize,
}

/// The publisher's state machine, with one method per external event.
pub struct Publisher<H: Host> {
    host: H,
    params: PublisherParams,
    rng: ChaCha8Rng,
    store: ObservationStore,
    instance_count: usize,
    subscriptions: BTreeMap<PeerName, Subscription>,
    snapshots: SnapshotQueue,
    /// When the endpoint list first contained a database.
    first_listed_at: Option<Duration>,
    rounds: Rounds,
    reported_routers: usize,
    counts_reported_at: Duration,
    rejection_reported_at: Option<Duration>,
    has_left: bool,
}

impl<H: Host> Publisher<H> {
    /// Creates a publisher without databases and subscribers, and sets its first timer.
    pub fn new(host: H, params: PublisherParams, seed: u64, now: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first_partition = rng.next_u32() as usize;
        let mut publisher = Self {
            host,
            params,
            rng,
            store: ObservationStore::new(params.health_check_period, first_partition),
            instance_count: 1,
            subscriptions: BTreeMap::new(),
            snapshots: SnapshotQueue::new(params.snapshot_bytes_per_second, now),
            first_listed_at: None,
            rounds: Rounds::new(now),
            reported_routers: 0,
            counts_reported_at: now,
            rejection_reported_at: None,
            has_left: false,
        };
        publisher.host.set_timer(Duration::ZERO);
        publisher
    }

    /// Sets the databases on the endpoint list. Only these are published.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        self.store.nodes_changed(now, nodes);
        if !nodes.is_empty() {
            self.first_listed_at.get_or_insert(now);
        }
    }

    /// Records an observation made by this control instance or by another member of its fleet.
    pub fn observe(&mut self, now: Duration, observation: TimestampedObservation) {
        self.store.observe(now, observation);
    }

    /// Sets the number of control instances, including this one.
    pub fn instance_count_changed(&mut self, instance_count: usize) {
        self.instance_count = instance_count.max(1);
    }

    /// Handles a message that has been authenticated and is not a replay, except that a `Subscribe` may be
    /// one.
    pub fn message_arrived(
        &mut self,
        now: Duration,
        from: SocketAddr,
        router: &PeerName,
        incarnation: Incarnation,
        message: Message,
    ) {
        let existing = self.subscriptions.get(router);
        if self.has_left || existing.is_some_and(|existing| existing.incarnation > incarnation) {
            return;
        }
        match message {
            Message::Subscribe => {
                self.subscribe(now, from, router, incarnation, AddressProof::None);
            }
            Message::Renew => {
                self.subscribe(now, from, router, incarnation, AddressProof::NamesIncarnation);
            }
            Message::Unsubscribe => self.unsubscribe(router),
            Message::Pull(partitions) => self.pull(now, from, router, incarnation, &partitions),
            // Only sent by control instances, to routers.
            Message::Digest(_) | Message::Chunk(_) | Message::SubscriptionRejected | Message::Leaving => {}
        }
    }

    /// Called when the timer fires: sends what is due and sets the next timer.
    pub fn timer_fired(&mut self, now: Duration) {
        if self.has_left {
            return;
        }
        self.send_due_batch(now);
        let next_snapshots = self.send_snapshots(now);
        let next_batch = self.rounds.next_batch_at().saturating_sub(now);
        self.host.set_timer(next_snapshots.map_or(next_batch, |after| after.min(next_batch)));
    }

    fn report_counts(&mut self, now: Duration) {
        let routers = self.subscriptions.len();
        if routers != self.reported_routers && now >= self.counts_reported_at + REPORT_INTERVAL {
            self.reported_routers = routers;
            self.counts_reported_at = now;
            let pending_snapshots = self.pending_snapshots();
            self.host.report_event(Event::SubscriberCounts { routers, pending_snapshots });
        }
    }

    /// Shuts down: notifies all subscribers, and sends nothing afterwards.
    pub fn leave(&mut self, _now: Duration) {
        if self.has_left {
            return;
        }
        self.has_left = true;
        for subscription in self.subscriptions.values() {
            self.host.send(subscription.address, Some(subscription.incarnation), Message::Leaving);
        }
        self.subscriptions.clear();
        self.snapshots.clear();
    }

    /// Number of subscribed routers.
    pub fn subscriber_count(&self) -> usize {
        self.subscriptions.len()
    }

    /// Approximate memory of the publisher in bytes, computed from the number and size of its items.
    pub fn state_bytes(&self) -> usize {
        size_of::<Self>()
            + self.store.state_bytes()
            + self.subscriptions.len() * size_of::<(PeerName, Subscription)>()
            + self.snapshots.len() * size_of::<PeerName>()
    }

    /// Number of partition snapshots waiting to be sent.
    pub fn pending_snapshots(&self) -> usize {
        self.subscriptions.values().map(Subscription::pending_snapshots).sum()
    }
}
