//! A router's side of the feed: which control instances it follows, what it learns from them about the
//! databases, and which health checks it makes itself while none of them sends digests.

mod followed_instance;
mod following;
mod isolation;
mod snapshot_pulls;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::followed_instance::FollowedInstance;
use self::following::{InstanceBackoff, LEAVE_BACKOFF, LastHeard, REJECTION_BACKOFF};
use self::isolation::Isolation;
use self::snapshot_pulls::PendingPull;
use crate::digest_delay::DigestTiming;
use crate::health_check_quota::{HealthCheckQuota, QuotaParams};
use crate::host::{Event, FeedObservation, Host};
use crate::message::{Digest, Message, PARTITIONS, PartitionId};
use crate::partition_caches::{CacheSize, Coverage};
use crate::preference::{ControlInstance, rank_control_instances};
use crate::publisher_cache::IncarnationOrder;

/// Interval of the timer.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// If the timer fires this long after the previous time, the process has been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);
/// The health check period in a digest is clamped to these limits.
const MIN_HEALTH_CHECK_PERIOD: Duration = Duration::from_millis(1);
const MAX_HEALTH_CHECK_PERIOD: Duration = Duration::from_secs(3600);

/// The settings of a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberParams {
    /// The router's region. Control instances of the same region are preferred.
    pub region: Option<String>,
    /// Interval between two digests.
    pub digest_interval: Duration,
    /// Interval at which each database is checked, used until the first digest states it.
    pub health_check_period: Duration,
    /// Approximate number of routers, used until the first digest states it.
    pub router_count: u32,
}

/// The subscriber's state machine, with one method per external event.
pub struct Subscriber<H: Host> {
    host: H,
    name: PeerName,
    params: SubscriberParams,
    rng: ChaCha8Rng,
    /// All control instances, in order of preference.
    ranked_instances: Vec<ControlInstance>,
    followed: Vec<FollowedInstance>,
    /// Instances that are no longer followed, kept for their caches.
    retained: Vec<FollowedInstance>,
    /// The last digest of each instance that was followed until recently.
    last_heard: BTreeMap<PeerName, LastHeard>,
    backoffs: BTreeMap<PeerName, InstanceBackoff>,
    /// When a preferred instance will be followed again; `None` if no failback is pending.
    failback_at: Option<Duration>,
    quota: HealthCheckQuota,
    isolation: Isolation,
    has_left: bool,
    last_tick: Duration,
}

impl<H: Host> Subscriber<H> {
    /// Creates a subscriber of the two most preferred of these control instances, and sets its first timer.
    pub fn new(
        host: H,
        name: PeerName,
        params: SubscriberParams,
        control_instances: Vec<ControlInstance>,
        seed: u64,
        now: Duration,
    ) -> Self {
        let ranked_instances = rank_control_instances(&name, params.region.as_deref(), control_instances);
        let SubscriberParams { health_check_period, router_count, .. } = params;
        let mut subscriber = Self {
            host,
            name,
            params,
            rng: ChaCha8Rng::seed_from_u64(seed),
            ranked_instances,
            followed: Vec::new(),
            retained: Vec::new(),
            last_heard: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            failback_at: None,
            quota: HealthCheckQuota::new(QuotaParams { health_check_period, router_count }, now),
            isolation: Isolation::new(now),
            has_left: false,
            last_tick: now,
        };
        subscriber.quota.begin_isolation(now, &mut subscriber.rng);
        let first_timer = TICK_INTERVAL.mul_f64(subscriber.rng.random_range(0.0..1.0));
        subscriber.host.set_timer(first_timer);
        subscriber
    }

    /// Sets the databases on the endpoint list. Observations of other databases are not returned.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        self.quota.nodes_changed(now, nodes);
    }

    /// Handles a message that has been authenticated and is not a replay.
    pub fn message_arrived(
        &mut self,
        now: Duration,
        from: &PeerName,
        incarnation: Incarnation,
        message: Message,
    ) {
        if self.has_left {
            return;
        }
        let Some(index) = self.followed.iter().position(|followed| followed.instance.name == *from) else {
            return;
        };
        let followed = &mut self.followed[index];
        match followed.cache.check_incarnation(incarnation) {
            IncarnationOrder::Earlier => return,
            IncarnationOrder::Same => {}
            IncarnationOrder::Later => followed.restart(now),
        }
        match message {
            Message::Digest(digest) => self.digest_arrived(now, index, digest),
            Message::Chunk(chunk) => followed.cache.partitions_mut().add_chunk(chunk),
            Message::SubscriptionRejected => self.give_up(now, from, REJECTION_BACKOFF),
            Message::Leaving => self.give_up(now, from, LEAVE_BACKOFF),
            // Only sent by routers, to control instances.
            Message::Subscribe | Message::Renew | Message::Unsubscribe | Message::Pull(_) => {}
        }
    }

    fn digest_arrived(&mut self, now: Duration, index: usize, digest: Digest) {
        let digest_interval = self.params.digest_interval;
        let followed = &mut self.followed[index];
        if !digest.is_well_formed() || !followed.cache.accept_digest(digest.number) {
            return;
        }
        let timing = followed.delays.record(now, digest.sent, digest_interval);
        if timing == DigestTiming::Discarded {
            return;
        }
        if followed.record_digest(now) {
            let name = followed.instance.name.clone();
            self.backoffs.remove(&name);
            self.host.report_event(Event::Following(name));
            self.renew_subscriptions(now);
        }
        self.isolation.last_digest_at = now;
        let health_check_period =
            digest.health_check_period.clamp(MIN_HEALTH_CHECK_PERIOD, MAX_HEALTH_CHECK_PERIOD);
        let quota_params = QuotaParams { health_check_period, router_count: digest.router_count };
        self.quota.params_changed(now, quota_params);
        self.update_isolation(now);
        if let DigestTiming::Delayed(delay) = timing {
            self.apply_digest(now, index, digest, delay);
        }
    }

    /// Applies a digest's contents, dated by its age and its delay.
    fn apply_digest(&mut self, now: Duration, index: usize, digest: Digest, delay: Duration) {
        let Digest { number, age, watermarks, revisions, changes, .. } = digest;
        let seen_at = now.saturating_sub(delay).saturating_sub(age);
        let partitions = self.followed[index].cache.partitions_mut();
        let mut notable = partitions.apply_changes(changes, seen_at);
        notable.extend(partitions.cover(&revisions, Coverage { number, seen_at, watermarks }));
        self.schedule_pulls(now, index, &revisions);
        let partitions = self.followed[index].cache.partitions();
        for node in notable.into_iter().filter(|node| self.quota.is_listed(*node)) {
            if let Some(observation) = partitions.observation(node) {
                self.host.observation_changed(observation);
            }
        }
    }

    /// Called when the timer fires: does what is due and sets the next timer.
    pub fn timer_fired(&mut self, now: Duration) {
        if self.has_left {
            return;
        }
        let was_paused = now.saturating_sub(self.last_tick) >= PAUSE_THRESHOLD;
        self.last_tick = now;
        // After a pause, the datagrams that arrived meanwhile have to be read first. Otherwise the router
        // would mistake its own pause for silence of the control instances.
        if !was_paused {
            self.drop_silent_instances(now);
            self.update_isolation(now);
            self.follow_next_instances(now);
            self.fail_back(now);
            self.renew_subscriptions(now);
            self.pull_snapshots(now);
        }
        self.host.set_timer(TICK_INTERVAL);
    }

    /// The newest observation of a database in the caches of followed and retained instances.
    pub fn observation(&self, node: SocketAddr) -> Option<FeedObservation> {
        if !self.quota.is_listed(node) {
            return None;
        }
        let instances_with_cache = self.instances_with_cache();
        instances_with_cache
            .filter_map(|followed| followed.cache.partitions().observation(node))
            .max_by_key(|observation| observation.seen_at)
    }

    fn instances_with_cache(&self) -> impl Iterator<Item = &FollowedInstance> {
        self.followed.iter().chain(&self.retained)
    }

    /// Shuts down: unsubscribes, and sends nothing afterwards.
    pub fn leave(&mut self, _now: Duration) {
        if self.has_left {
            return;
        }
        self.has_left = true;
        for followed in &self.followed {
            if let Some(incarnation) = followed.incarnation() {
                self.host.send(followed.instance.address, Some(incarnation), Message::Unsubscribe);
            }
        }
    }

    /// Approximate memory of the subscriber in bytes, computed from the number and size of its items.
    pub fn state_bytes(&self) -> usize {
        let cache_bytes = |followed: &FollowedInstance| {
            size_of::<FollowedInstance>()
                + followed.cache.partitions().state_bytes()
                + followed.pulls.len() * size_of::<(PartitionId, PendingPull)>()
        };
        let instance_bytes = size_of::<ControlInstance>() + 2 * size_of::<PeerName>();
        size_of::<Self>()
            + self.ranked_instances.len() * instance_bytes
            + self.instances_with_cache().map(cache_bytes).sum::<usize>()
            + self.quota.state_bytes()
    }

    /// The number of items in all caches, including those of retained instances.
    pub fn cache_size(&self) -> CacheSize {
        let mut total = CacheSize::default();
        for followed in self.instances_with_cache() {
            let size = followed.cache.partitions().size();
            total.nodes += size.nodes;
            total.pending_entries += size.pending_entries;
        }
        total
    }

    /// Whether each partition is covered by a followed instance that sends digests.
    pub fn is_complete(&self) -> bool {
        let is_covered = |partition: PartitionId| {
            self.active_instances().any(|active| active.cache.partitions().is_covered(partition))
        };
        (0..PARTITIONS as u8).map(PartitionId).all(is_covered)
    }

    fn active_instances(&self) -> impl Iterator<Item = &FollowedInstance> {
        self.followed.iter().filter(|followed| followed.last_digest_at.is_some())
    }

    /// The names of the followed instances that send digests.
    pub fn active_instance_names(&self) -> impl Iterator<Item = &PeerName> {
        self.active_instances().map(|followed| &followed.instance.name)
    }

    /// Whether no control instance sends digests.
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_isolated
    }
}
