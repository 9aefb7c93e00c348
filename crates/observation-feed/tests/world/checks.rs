//! Checks the invariants against records of the world that share no code with the feed.

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint_membership::Incarnation;
use quillpoint_observation_feed::FeedObservation;
use quillpoint_observation_feed::partition_caches::CacheSize;

use super::params::ms;
use super::{HealthCheckResult, World};

/// Maximum clock drift that the feed's dating allows for, in seconds per second.
const MAX_CLOCK_DRIFT: f64 = 500e-6;

/// How much too fresh a publisher's digests may have dated a router's observations: the shortest transit
/// delay of these digests, which the router cannot distinguish from a clock offset. Time in the router's
/// socket buffer does not count. Delays are in seconds.
#[derive(Clone, Copy)]
pub(super) struct DelayBound {
    pub(super) incarnation: Incarnation,
    pub(super) min_delay: f64,
    pub(super) updated_at: Duration,
    pub(super) digest_count: u32,
    /// The maximum of `min_delay` since digests began to date observations, because some may still have their
    /// date from then.
    pub(super) max_min_delay: f64,
}

impl World {
    /// How much too fresh a router's observations may be dated.
    fn allowance(&self, router: usize) -> Duration {
        let delay_bounds = self.delay_bounds.range((router, 0)..(router + 1, 0));
        let max_min_delay =
            delay_bounds.map(|(_, bound)| bound.max_min_delay).fold(self.past_delay_bounds[router], f64::max);
        Duration::from_secs_f64(max_min_delay) + Duration::from_micros(10)
    }

    /// Checks the invariants for one router.
    pub fn check_router(&self, router: usize) {
        let Some(process) = &self.routers[router].process else { return };
        let CacheSize { nodes, pending_entries } = process.state_machine.cache_size();
        // Up to two followed instances, one that is taking another's place, and two retained ones. Each cache
        // may still have databases that have just left the endpoint list.
        assert!(
            nodes <= 5 * self.databases.len() && pending_entries <= 3 * self.databases.len(),
            "router {router}: the caches are too large: {nodes} nodes, {pending_entries} pending entries"
        );
        if !self.checks_invariants {
            return;
        }
        let allowance = self.allowance(router);
        for index in 0..self.databases.len() {
            let Some(observation) = self.observation(router, index) else { continue };
            let database = &self.databases[index];
            assert!(database.listed, "router {router} returns database {index}, which is not listed");
            assert!(
                observation.seen_at <= self.now,
                "database {index} at router {router}: dated in the future"
            );
            if observation.failed {
                continue;
            }
            let seen: Vec<&HealthCheckResult> = database.health_check_results.iter().collect();
            let last = seen.last().expect("the router returns a database that no health check has reached");
            assert!(
                observation.seen_at <= last.at + allowance,
                "database {index} at router {router}: dated at {:?}, last seen at {:?}, allowance {allowance:?}, now {:?}",
                observation.seen_at,
                last.at,
                self.now
            );
            if let Some(position) = observation.position {
                assert!(
                    position <= last.position,
                    "database {index} at router {router}: position {position:?}, but the last reported one is {:?}",
                    last.position
                );
            }
            self.check_role_and_start(router, index, &observation, &seen);
        }
    }

    /// The role and the start time must be those of a health check around the observation's date, or later.
    fn check_role_and_start(
        &self,
        router: usize,
        index: usize,
        observation: &FeedObservation,
        seen: &[&HealthCheckResult],
    ) {
        let since = observation.seen_at.saturating_sub(ms(1500));
        let first = seen.iter().rposition(|result| result.at <= since).unwrap_or(0);
        let candidates = &seen[first..];
        let role =
            observation.primary.is_none_or(|role| candidates.iter().any(|result| result.primary == role));
        assert!(
            role,
            "database {index} at router {router}: wrong role: {observation:?}, seen {candidates:?}"
        );
        let Some(started) = observation.started else { return };
        assert!(
            candidates.iter().any(|result| result.started == started),
            "database {index} at router {router}: wrong start time: {observation:?}, seen {candidates:?}"
        );
    }

    /// Checks that every running router knows the current state of all listed databases: whether each is up,
    /// which are primary, and that each was seen within the last second.
    pub fn check_convergence(&self) -> Result<(), String> {
        for router in (0..self.params.routers).filter(|router| self.is_router_running(*router)) {
            for (index, database) in self.databases.iter().enumerate().filter(|(_, one)| one.listed) {
                let observation = self.observation(router, index);
                let is_current = observation.is_some_and(|observation| match database.up {
                    false => observation.failed,
                    true => {
                        !observation.failed
                            && observation.primary == Some(database.primary)
                            && observation.seen_at + ms(1000) >= self.now
                            && observation.position.is_some()
                    }
                });
                if !is_current {
                    return Err(format!(
                        "router {router} has an outdated observation of database {index}: {observation:?} at {:?}",
                        self.now
                    ));
                }
            }
        }
        Ok(())
    }

    /// The ages of all running routers' observations of databases that are up, sorted.
    pub fn observation_ages(&self) -> Vec<Duration> {
        let mut ages = Vec::new();
        for router in (0..self.params.routers).filter(|router| self.is_router_running(*router)) {
            for index in (0..self.databases.len()).filter(|index| self.databases[*index].up) {
                let at =
                    self.observation(router, index).map_or(Duration::ZERO, |observation| observation.seen_at);
                ages.push(self.now.saturating_sub(at));
            }
        }
        ages.sort_unstable();
        ages
    }
}

/// Updates a delay bound with a digest that arrived after a transit delay of `transit_delay`.
pub(super) fn record_delay(
    delay_bounds: &mut BTreeMap<(usize, usize), DelayBound>,
    key: (usize, usize),
    incarnation: Incarnation,
    now: Duration,
    transit_delay: Duration,
) {
    let transit_delay = transit_delay.as_secs_f64();
    let bound = delay_bounds.entry(key).or_insert(DelayBound {
        incarnation,
        min_delay: transit_delay,
        updated_at: now,
        digest_count: 0,
        max_min_delay: 0.0,
    });
    if incarnation < bound.incarnation {
        return;
    }
    if bound.incarnation != incarnation {
        *bound = DelayBound {
            incarnation,
            min_delay: transit_delay,
            updated_at: now,
            digest_count: 0,
            max_min_delay: 0.0,
        };
    }
    bound.min_delay = (bound.min_delay
        + MAX_CLOCK_DRIFT * now.saturating_sub(bound.updated_at).as_secs_f64())
    .min(transit_delay);
    (bound.updated_at, bound.digest_count) = (now, bound.digest_count + 1);
    if bound.digest_count > 2 {
        bound.max_min_delay = bound.max_min_delay.max(bound.min_delay);
    }
}
