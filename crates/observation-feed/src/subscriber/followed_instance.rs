//! A control instance that is followed or retained: its cache and the state of the subscription.

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint_membership::Incarnation;

use super::snapshot_pulls::PendingPull;
use crate::digest_delay::DelayMeasurement;
use crate::message::PartitionId;
use crate::preference::ControlInstance;
use crate::publisher_cache::PublisherCache;

pub(super) struct FollowedInstance {
    pub(super) instance: ControlInstance,
    pub(super) followed_since: Duration,
    /// When the last digest arrived; `None` if none has arrived since the instance was followed.
    pub(super) last_digest_at: Option<Duration>,
    /// When the last digest arrived, including earlier periods of following; initially when it was first
    /// followed.
    pub(super) last_heard_at: Duration,
    pub(super) next_renewal_at: Duration,
    pub(super) cache: PublisherCache,
    /// The delays of its digests since it was followed.
    pub(super) delays: DelayMeasurement,
    /// The partitions for which its last digest names a later revision than the cache has.
    pub(super) pulls: BTreeMap<PartitionId, PendingPull>,
    /// When to start pulling snapshots of partitions that another instance already covers.
    pub(super) redundant_pulls_from: Option<Duration>,
}

impl FollowedInstance {
    pub(super) fn new(instance: ControlInstance, cache: PublisherCache, now: Duration) -> Self {
        Self {
            instance,
            followed_since: now,
            last_digest_at: None,
            last_heard_at: now,
            next_renewal_at: now,
            cache,
            delays: DelayMeasurement::default(),
            pulls: BTreeMap::new(),
            redundant_pulls_from: None,
        }
    }

    /// The same instance, followed again with its retained cache. The delay measurement starts over, because
    /// the network path may have changed.
    pub(super) fn followed_again(self, now: Duration) -> Self {
        Self {
            followed_since: now,
            next_renewal_at: now,
            delays: DelayMeasurement::default(),
            redundant_pulls_from: None,
            ..self
        }
    }

    /// Resets the state after a restart of the instance: nothing received from its earlier process is valid.
    pub(super) fn restart(&mut self, now: Duration) {
        self.delays = DelayMeasurement::default();
        self.redundant_pulls_from = None;
        self.pulls.clear();
        self.next_renewal_at = now;
    }

    /// Records the arrival of a digest. Returns whether it is the first one since the instance was followed.
    /// The first one is answered at once, because until then the subscription has only the lease of an
    /// unvalidated address.
    pub(super) fn record_digest(&mut self, now: Duration) -> bool {
        self.last_heard_at = now;
        let is_first = self.last_digest_at.replace(now).is_none();
        if is_first {
            self.next_renewal_at = now;
        }
        is_first
    }

    /// Whether a digest has arrived within the last `max_silence`.
    pub(super) fn is_active(&self, now: Duration, max_silence: Duration) -> bool {
        self.last_digest_at.is_some_and(|last_digest_at| last_digest_at + max_silence >= now)
    }

    pub(super) fn is_complete(&self) -> bool {
        self.cache.partitions().is_complete()
    }

    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.cache.last_digest().map(|last| last.incarnation)
    }
}
