//! Which control instances are followed: the two that rank highest, the next in the ranking while these are
//! silent, and the failback to the preferred ones.

use std::time::Duration;

use quillpoint_membership::PeerName;
use rand::RngExt;

use super::Subscriber;
use super::followed_instance::FollowedInstance;
use crate::host::{Event, Host};
use crate::message::Message;
use crate::preference::{ControlInstance, rank_control_instances};
use crate::publisher_cache::{LastDigest, PublisherCache};

/// Number of control instances that are followed; during a failback, one more until it replaces another.
const FOLLOWED_INSTANCES: usize = 2;
/// Maximum number of instances that are no longer followed and whose caches are retained.
const MAX_RETAINED_INSTANCES: usize = 2;
/// An instance that has sent no digest for this many digest intervals is considered lost.
const MAX_SILENT_INTERVALS: u32 = 5;
/// An instance that has sent no digest within this time after it was followed is considered lost.
const FIRST_DIGEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval, before jitter, at which a subscription is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval, before jitter, at which a subscription is requested until the first digest arrives.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(400);
/// The first backoff of a lost instance. It doubles with each loss up to `MAX_BACKOFF_MULTIPLE`, and does not
/// grow while the router is isolated.
const LOST_BACKOFF: Duration = Duration::from_millis(750);
const MAX_BACKOFF_MULTIPLE: u32 = 16;
/// The backoff after an instance has rejected the subscription.
pub(super) const REJECTION_BACKOFF: Duration = Duration::from_secs(10);
/// The backoff after an instance has shut down.
pub(super) const LEAVE_BACKOFF: Duration = Duration::from_secs(3);
/// Time, before jitter, after which a preferred instance is tried again.
const FAILBACK_DELAY: Duration = Duration::from_secs(10);
/// No datagram is in transit for longer than this. After such a silence, any incarnation of an instance is
/// accepted.
const MAX_DATAGRAM_LIFETIME: Duration = Duration::from_secs(10);
/// How long the cache of an instance that is not followed is retained. Where nothing has changed in the
/// meantime, no snapshot is needed when the instance is followed again.
const CACHE_RETENTION: Duration = Duration::from_secs(60);

/// The last digest of an instance that is no longer followed, and when it arrived.
pub(super) struct LastHeard {
    digest: LastDigest,
    at: Duration,
}

/// How long an instance must not be followed.
#[derive(Clone, Copy)]
pub(super) struct InstanceBackoff {
    until: Duration,
    /// The multiple of `LOST_BACKOFF` that was used last.
    multiple: u32,
}

impl<H: Host> Subscriber<H> {
    /// Applies a change of the configured control instances.
    pub fn control_instances_changed(&mut self, now: Duration, instances: Vec<ControlInstance>) {
        self.ranked_instances = rank_control_instances(&self.name, self.params.region.as_deref(), instances);
        let ranked = &self.ranked_instances;
        let has_name = |name: &PeerName| ranked.iter().any(|instance| instance.name == *name);
        self.last_heard.retain(|name, _| has_name(name));
        self.backoffs.retain(|name, _| has_name(name));
        let unlisted = self.followed.iter().filter(|followed| !ranked.contains(&followed.instance));
        let unlisted: Vec<PeerName> = unlisted.map(|followed| followed.instance.name.clone()).collect();
        // Unlisted instances are dropped first, so that the instances that `stop_following` retains do not
        // evict listed ones.
        self.retained.retain(|retained| ranked.contains(&retained.instance));
        for name in &unlisted {
            self.stop_following(name);
        }
        // The instances that were just retained are not listed either.
        self.retained.retain(|retained| self.ranked_instances.contains(&retained.instance));
        self.failback_at = None;
        self.update_isolation(now);
    }

    /// The time without a digest after which an instance is lost.
    pub(super) fn max_silence(&self) -> Duration {
        self.params.digest_interval * MAX_SILENT_INTERVALS
    }

    pub(super) fn drop_silent_instances(&mut self, now: Duration) {
        let max_silence = self.max_silence();
        let is_lost = |followed: &&FollowedInstance| match followed.last_digest_at {
            Some(last_digest_at) => last_digest_at + max_silence < now,
            None => followed.followed_since + FIRST_DIGEST_TIMEOUT < now,
        };
        let lost = self.followed.iter().filter(is_lost);
        let lost: Vec<PeerName> = lost.map(|followed| followed.instance.name.clone()).collect();
        for name in lost {
            let multiple = self.next_backoff_multiple(now, &name);
            self.give_up(now, &name, LOST_BACKOFF * multiple);
            if let Some(backoff) = self.backoffs.get_mut(&name) {
                backoff.multiple = multiple;
            }
        }
    }

    fn next_backoff_multiple(&self, now: Duration, name: &PeerName) -> u32 {
        if !self.has_active_instance(now) {
            return 1;
        }
        self.backoffs.get(name).map_or(1, |backoff| (backoff.multiple * 2).min(MAX_BACKOFF_MULTIPLE))
    }

    /// Stops following an instance and does not follow it again during the backoff, to which jitter is added.
    pub(super) fn give_up(&mut self, now: Duration, name: &PeerName, backoff: Duration) {
        let until = now + backoff.mul_f64(self.rng.random_range(0.75..1.5));
        let multiple = self.backoffs.get(name).map_or(1, |backoff| backoff.multiple);
        self.backoffs.insert(name.clone(), InstanceBackoff { until, multiple });
        if self.stop_following(name) {
            self.host.report_event(Event::Lost(name.clone()));
        }
        self.update_isolation(now);
    }

    /// Stops following an instance and retains its cache. Returns whether it had sent digests.
    fn stop_following(&mut self, name: &PeerName) -> bool {
        let Some(index) = self.followed.iter().position(|followed| followed.instance.name == *name) else {
            return false;
        };
        let mut removed = self.followed.remove(index);
        let was_active = removed.last_digest_at.take().is_some();
        if let Some(digest) = removed.cache.last_digest() {
            let receiver = Some(digest.incarnation);
            self.host.send(removed.instance.address, receiver, Message::Unsubscribe);
            self.last_heard.insert(name.clone(), LastHeard { digest, at: removed.last_heard_at });
            removed.pulls.clear();
            self.retained.push(removed);
            if self.retained.len() > MAX_RETAINED_INSTANCES {
                self.retained.remove(0);
            }
        }
        was_active
    }

    /// Follows the next instances in the ranking that are not backed off, up to `FOLLOWED_INSTANCES`.
    pub(super) fn follow_next_instances(&mut self, now: Duration) {
        while self.followed.len() < FOLLOWED_INSTANCES {
            let mut candidates = self
                .ranked_instances
                .iter()
                .filter(|instance| !self.follows(&instance.name) && !self.is_backed_off(now, &instance.name));
            let Some(next) = candidates.next().cloned() else { return };
            self.follow(now, next);
        }
    }

    /// Whether the instance is followed, that is, its digests are accepted.
    pub fn follows(&self, name: &PeerName) -> bool {
        self.followed.iter().any(|followed| followed.instance.name == *name)
    }

    fn is_backed_off(&self, now: Duration, name: &PeerName) -> bool {
        self.backoffs.get(name).is_some_and(|backoff| backoff.until > now)
    }

    fn follow(&mut self, now: Duration, instance: ControlInstance) {
        self.last_heard.retain(|_, last| last.at + MAX_DATAGRAM_LIFETIME > now);
        self.retained.retain(|retained| retained.last_heard_at + CACHE_RETENTION > now);
        let retained = self.retained.iter().position(|retained| retained.instance == instance);
        let followed = match retained.map(|index| self.retained.remove(index)) {
            Some(mut retained) => {
                if retained.last_heard_at + MAX_DATAGRAM_LIFETIME <= now {
                    retained.cache.accept_any_incarnation();
                }
                retained.followed_again(now)
            }
            None => {
                let last = self.last_heard.get(&instance.name);
                let cache = last
                    .map_or_else(PublisherCache::default, |last| PublisherCache::resuming_after(last.digest));
                FollowedInstance::new(instance, cache, now)
            }
        };
        self.followed.push(followed);
    }

    /// If an instance that is not followed ranks higher than a followed one, the highest such instance is
    /// followed as a third one after a delay, and replaces the lowest-ranked one once its cache is complete.
    pub(super) fn fail_back(&mut self, now: Duration) {
        let rank = |name: &PeerName| self.ranked_instances.iter().position(|ranked| ranked.name == *name);
        let ranks = self.followed.iter().filter_map(|followed| rank(&followed.instance.name));
        let Some(lowest) = ranks.max() else { return };
        if self.followed.len() > FOLLOWED_INSTANCES {
            self.replace_lowest(lowest);
            return;
        }
        let mut higher = self.ranked_instances.iter().take(lowest);
        let preferred = higher.find(|instance| !self.follows(&instance.name)).cloned();
        let Some(preferred) = preferred.filter(|_| self.followed.len() == FOLLOWED_INSTANCES) else {
            self.failback_at = None;
            return;
        };
        match self.failback_at {
            None => {
                let delay = FAILBACK_DELAY.mul_f64(self.rng.random_range(0.5..1.5));
                self.failback_at = Some(now + delay);
            }
            Some(failback_at) if failback_at <= now && !self.is_backed_off(now, &preferred.name) => {
                self.failback_at = None;
                self.follow(now, preferred);
            }
            Some(_) => {}
        }
    }

    fn replace_lowest(&mut self, lowest: usize) {
        if !self.followed.iter().all(FollowedInstance::is_complete) {
            return;
        }
        if let Some(name) = self.ranked_instances.get(lowest).map(|instance| instance.name.clone()) {
            self.stop_following(&name);
            self.failback_at = None;
        }
    }

    /// Sends the subscription requests that are due: a `Subscribe` until the instance has sent a digest, then
    /// a `Renew` with the publisher's incarnation.
    pub(super) fn renew_subscriptions(&mut self, now: Duration) {
        for followed in self.followed.iter_mut().filter(|followed| followed.next_renewal_at <= now) {
            let receiver = followed.incarnation().filter(|_| followed.last_digest_at.is_some());
            let (message, interval) = match receiver {
                Some(_) => (Message::Renew, RENEWAL_INTERVAL),
                None => (Message::Subscribe, SUBSCRIBE_INTERVAL),
            };
            followed.next_renewal_at = now + interval.mul_f64(self.rng.random_range(0.8..1.2));
            self.host.send(followed.instance.address, receiver, message);
        }
    }
}
