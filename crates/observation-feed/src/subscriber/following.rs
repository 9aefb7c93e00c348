//! Which control instances are followed: the two that rank highest, their successors while these are silent, and the way
//! back.

use std::time::Duration;

use quillpoint_membership::PeerName;
use rand::RngExt;

use super::Subscriber;
use super::followed_instance::FollowedInstance;
use crate::host::{Event, Host};
use crate::message::Message;
use crate::preference::{ControlInstance, rank_control_instances};
use crate::publisher_cache::{LastDigest, PublisherCache};

/// How many control instances are followed; one more while it takes another's place.
const FOLLOWED_INSTANCES: usize = 2;
/// Of how many others the replicas are cached.
const MAX_RETAINED_INSTANCES: usize = 2;
/// An instance that has sent no digest for this many intervals is lost.
const MAX_SILENT_INTERVALS: u32 = 5;
/// An instance that has sent no digest within this time of being followed is lost.
const FIRST_DIGEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a subscription is renewed, and how often it is requested before the first digest; about.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(400);
/// The first backoff of an instance that is lost. It doubles each time up to a multiple, and stays the first while the
/// router is isolated.
const LOST_BACKOFF: Duration = Duration::from_millis(750);
const MAX_BACKOFF_MULTIPLE: u32 = 16;
/// The backoff of an instance that has rejected the subscription.
pub(super) const REJECTION_BACKOFF: Duration = Duration::from_secs(10);
/// The backoff of an instance that shuts down.
pub(super) const LEAVE_BACKOFF: Duration = Duration::from_secs(3);
/// After about how long a preferred instance is tried again.
const FAILBACK_DELAY: Duration = Duration::from_secs(10);
/// No datagram is under way for this long: after it any incarnation of an instance is accepted.
const MAX_DATAGRAM_LIFETIME: Duration = Duration::from_secs(10);
/// How long a replica is cached: where nothing has changed meanwhile, no snapshot is needed.
const CACHE_RETENTION: Duration = Duration::from_secs(60);

/// The last digest of an instance that has been followed.
pub(super) struct LastHeard {
    digest: LastDigest,
    at: Duration,
}

/// An instance that is not followed for a while.
#[derive(Clone, Copy)]
pub(super) struct InstanceBackoff {
    until: Duration,
    multiple: u32,
}

impl<H: Host> Subscriber<H> {
    /// The configured control instances have changed.
    pub fn control_instances_changed(&mut self, now: Duration, instances: Vec<ControlInstance>) {
        self.ranked_instances = rank_control_instances(&self.name, self.params.region.as_deref(), instances);
        let ranked = &self.ranked_instances;
        let has_name = |name: &PeerName| ranked.iter().any(|instance| instance.name == *name);
        self.last_heard.retain(|name, _| has_name(name));
        self.backoffs.retain(|name, _| has_name(name));
        let unlisted = self.followed.iter().filter(|followed| !ranked.contains(&followed.instance));
        let unlisted: Vec<PeerName> = unlisted.map(|followed| followed.instance.name.clone()).collect();
        // Before those that are followed no longer are cached, so that they push out none that is still listed.
        self.retained.retain(|retained| ranked.contains(&retained.instance));
        for name in &unlisted {
            self.stop_following(name);
        }
        // And after it, since they are not listed themselves.
        self.retained.retain(|retained| self.ranked_instances.contains(&retained.instance));
        self.failback_at = None;
        self.update_isolation(now);
    }

    /// After which silence an instance is lost.
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

    /// Stops following an instance for about as long as the backoff.
    pub(super) fn give_up(&mut self, now: Duration, name: &PeerName, backoff: Duration) {
        let until = now + backoff.mul_f64(self.rng.random_range(0.75..1.5));
        let multiple = self.backoffs.get(name).map_or(1, |backoff| backoff.multiple);
        self.backoffs.insert(name.clone(), InstanceBackoff { until, multiple });
        if self.stop_following(name) {
            self.host.report_event(Event::Lost(name.clone()));
        }
        self.update_isolation(now);
    }

    /// Stops following an instance and caches its replica. Returns whether it had sent digests.
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

    /// Follows the next instances in the ranking that are not backed off, up to the number that is followed.
    pub(super) fn follow_enough(&mut self, now: Duration) {
        while self.followed.len() < FOLLOWED_INSTANCES {
            let mut candidates = self
                .ranked_instances
                .iter()
                .filter(|instance| !self.follows(&instance.name) && !self.is_backed_off(now, &instance.name));
            let Some(next) = candidates.next().cloned() else { return };
            self.follow(now, next);
        }
    }

    /// Whether the digests of this instance are accepted.
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

    /// Where an instance ranks higher than those that are followed, the first of them is followed as a third after a while,
    /// and replaces the lowest once its replica is complete.
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

    /// Sends the subscriptions that are due, with the publisher's incarnation as soon as it has sent a digest.
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
