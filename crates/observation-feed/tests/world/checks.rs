//! The rules, checked by records that share no code with what decides.

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint_membership::Incarnation;
use quillpoint_observation_feed::FeedObservation;
use quillpoint_observation_feed::partition_caches::CacheSize;

use super::shape::ms;
use super::{Sighting, World};

/// How much the rules of dating allow clocks to drift, a second.
const MAX_CLOCK_DRIFT: f64 = 500e-6;

/// How fresh digests of a publisher may have made what a router knows: the shortest of their delays as they were drawn,
/// by the rule. How long they then wait until the router reads them makes nothing fresher.
#[derive(Clone, Copy)]
pub(super) struct DelayBound {
    pub(super) start: Incarnation,
    pub(super) least: f64,
    pub(super) at: Duration,
    pub(super) digests: u32,
    /// The longest that it was since observations were dated by it: some may date from then.
    pub(super) most: f64,
}

impl World {
    /// How much too fresh what a router knows may be dated: the shortest bound that its digests had.
    fn allowance(&self, router: usize) -> Duration {
        let delay_bounds = self.delay_bounds.range((router, 0)..(router + 1, 0));
        let most = delay_bounds.map(|(_, bound)| bound.most).fold(self.past_delay_bounds[router], f64::max);
        Duration::from_secs_f64(most) + Duration::from_micros(10)
    }

    /// The rules, for one router.
    pub fn check_router(&self, router: usize) {
        let Some(process) = &self.routers[router].process else { return };
        let CacheSize { nodes, pending_entries } = process.side.cache_size();
        // Two that are followed, one on its bound in, two that rest; each may still name what has just left the list.
        assert!(
            nodes <= 5 * self.databases.len() && pending_entries <= 3 * self.databases.len(),
            "{nodes} {pending_entries}"
        );
        if !self.checked {
            return;
        }
        let allowance = self.allowance(router);
        for index in 0..self.databases.len() {
            let Some(observation) = self.known(router, index) else { continue };
            let database = &self.databases[index];
            assert!(database.listed, "knows one that is not listed");
            assert!(observation.seen_at <= self.now, "of the future");
            if observation.failed {
                continue;
            }
            let seen: Vec<&Sighting> = database.sightings.iter().collect();
            let last = seen.last().expect("knows one that nobody has seen");
            assert!(
                observation.seen_at <= last.at + allowance,
                "database {index} at router {router}: dated at {:?}, seen last at {:?}, bound {allowance:?}, now {:?}",
                observation.seen_at,
                last.at,
                self.now
            );
            if let Some(position) = observation.position {
                assert!(
                    position <= last.position,
                    "database {index} at router {router}: position {position:?}, showed {:?}",
                    last.position
                );
            }
            self.check_names(router, index, &observation, &seen);
        }
    }

    /// A role and a start are those that were seen about when the observation is dated, or since.
    fn check_names(&self, router: usize, index: usize, observation: &FeedObservation, seen: &[&Sighting]) {
        let since = observation.seen_at.saturating_sub(ms(1500));
        let first = seen.iter().rposition(|sighting| sighting.at <= since).unwrap_or(0);
        let may = &seen[first..];
        let role = observation.primary.is_none_or(|role| may.iter().any(|sighting| sighting.primary == role));
        assert!(role, "database {index} at router {router}: {observation:?}, seen {may:?}");
        let Some(started) = observation.started else { return };
        assert!(
            may.iter().any(|sighting| sighting.started == started),
            "database {index} at router {router}: {observation:?}, seen {may:?}"
        );
    }

    /// Whether all routers that run know all that is true by now: who is up, who is primary, seen within a second.
    pub fn agrees(&self) -> Result<(), String> {
        for router in (0..self.shape.routers).filter(|router| self.runs_router(*router)) {
            for (index, database) in self.databases.iter().enumerate().filter(|(_, one)| one.listed) {
                let observation = self.known(router, index);
                let good = observation.is_some_and(|observation| match database.up {
                    false => observation.failed,
                    true => {
                        !observation.failed
                            && observation.primary == Some(database.primary)
                            && observation.seen_at + ms(1000) >= self.now
                            && observation.position.is_some()
                    }
                });
                if !good {
                    return Err(format!(
                        "router {router}, database {index}: {observation:?} at {:?}",
                        self.now
                    ));
                }
            }
        }
        Ok(())
    }

    /// Ages of what routers that run know of databases that are up, in order.
    pub fn ages(&self) -> Vec<Duration> {
        let mut ages = Vec::new();
        for router in (0..self.shape.routers).filter(|router| self.runs_router(*router)) {
            for index in (0..self.databases.len()).filter(|index| self.databases[*index].up) {
                let at = self.known(router, index).map_or(Duration::ZERO, |observation| observation.seen_at);
                ages.push(self.now.saturating_sub(at));
            }
        }
        ages.sort_unstable();
        ages
    }
}

pub(super) fn note_delay(
    delay_bounds: &mut BTreeMap<(usize, usize), DelayBound>,
    key: (usize, usize),
    start: Incarnation,
    now: Duration,
    took: Duration,
) {
    let took = took.as_secs_f64();
    let bound =
        delay_bounds.entry(key).or_insert(DelayBound { start, least: took, at: now, digests: 0, most: 0.0 });
    if start < bound.start {
        return;
    }
    if bound.start != start {
        *bound = DelayBound { start, least: took, at: now, digests: 0, most: 0.0 };
    }
    bound.least = (bound.least + MAX_CLOCK_DRIFT * now.saturating_sub(bound.at).as_secs_f64()).min(took);
    (bound.at, bound.digests) = (now, bound.digests + 1);
    if bound.digests > 2 {
        bound.most = bound.most.max(bound.least);
    }
}
