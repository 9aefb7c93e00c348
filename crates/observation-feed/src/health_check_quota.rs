//! Limits the health checks that a router makes itself to its share of a limit for all routers together, so
//! that thousands of routers that lose their control instances at once do not overload the databases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::token_bucket::TokenBucket;

/// All isolated routers together may check this many times as often as the control instances do. With a
/// multiple of 1, a router that uses many databases would have observations that are minutes old.
pub const ISOLATED_RATE_MULTIPLE: f64 = 4.0;
/// Maximum number of routers that check the same database in one health check period, however many routers
/// there are.
pub const MAX_ROUTERS_PER_NODE_AND_PERIOD: f64 = 100.0;
/// When all routers want to check the same database at the same moment, their first checks are spread out to
/// this rate.
const FIRST_CHECKS_PER_SECOND: f64 = 4000.0;
/// Time constant of the decay of the router count: it falls at most by a factor of e in this time, however
/// often digests arrive.
const ROUTER_COUNT_DECAY_SECONDS: f64 = 10.0;
/// Maximum time between two digests that counts towards the decay: without digests there is no evidence of
/// fewer routers.
const MAX_DECAY_STEP: Duration = Duration::from_secs(1);
/// Burst of the quota: the tokens that accumulate in this many seconds.
const BURST_SECONDS: f64 = 0.05;
/// A database is checked again after its minimum interval plus a random part of up to this fraction of it, so
/// that routers that started together spread out.
const INTERVAL_JITTER: f64 = 0.5;
/// An isolated router starts its own checks at a random time within this duration.
const ISOLATION_JITTER: Duration = Duration::from_secs(1);

/// The values from which a router computes its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaParams {
    /// Interval at which the control instances check each database.
    pub health_check_period: Duration,
    /// Approximate number of routers.
    pub router_count: u32,
}

/// State of a database for which the router has requested a health check.
struct Claim {
    /// The earliest time of the next check.
    due: Duration,
    last_granted: Option<Duration>,
}

/// A lower bound for the router count: the announced count, but decaying slowly when the announced count
/// drops.
struct RouterCountFloor {
    routers: f64,
    updated_at: Duration,
}

/// A router's quota of health checks.
pub struct HealthCheckQuota {
    params: QuotaParams,
    router_count_floor: RouterCountFloor,
    nodes: BTreeSet<SocketAddr>,
    /// No check is granted before this time, a random moment after the router became isolated.
    isolated_from: Duration,
    tokens: TokenBucket,
    claims: BTreeMap<SocketAddr, Claim>,
}

impl HealthCheckQuota {
    /// Creates a quota with an empty token bucket and no databases.
    pub fn new(params: QuotaParams, now: Duration) -> Self {
        let mut quota = Self {
            params,
            router_count_floor: RouterCountFloor { routers: f64::from(params.router_count), updated_at: now },
            nodes: BTreeSet::new(),
            isolated_from: now,
            tokens: TokenBucket::new(0.0, 1.0, now),
            claims: BTreeMap::new(),
        };
        quota.update_rate(now);
        quota
    }

    /// Sets the databases on the endpoint list. Only these may be checked.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        self.nodes.clone_from(nodes);
        self.claims.retain(|node, _| nodes.contains(node));
        self.update_rate(now);
    }

    /// Applies the parameters of a digest. A control instance that has just started counts few routers, so a
    /// lower count takes effect only slowly; otherwise every router that lost this instance soon afterwards
    /// would compute too large a share for itself.
    pub fn params_changed(&mut self, now: Duration, params: QuotaParams) {
        let floor = &mut self.router_count_floor;
        let elapsed = now.saturating_sub(floor.updated_at).min(MAX_DECAY_STEP).as_secs_f64();
        let decayed = floor.routers * (-elapsed / ROUTER_COUNT_DECAY_SECONDS).exp();
        floor.routers = decayed.max(f64::from(params.router_count));
        floor.updated_at = now.max(floor.updated_at);
        let params = QuotaParams { router_count: floor.routers.ceil() as u32, ..params };
        if params != self.params {
            self.params = params;
            self.update_rate(now);
        }
    }

    fn update_rate(&mut self, now: Duration) {
        let all_per_second =
            self.nodes.len() as f64 / self.params.health_check_period.as_secs_f64().max(1e-3);
        let own_share = ISOLATED_RATE_MULTIPLE / f64::from(self.params.router_count.max(1));
        let rate = all_per_second * own_share.min(1.0);
        self.tokens.set_rate(now, rate, (rate * BURST_SECONDS).max(1.0));
    }

    /// Called when the last control instance has stopped sending digests. All other routers are probably in
    /// the same situation, so the bucket starts empty and each router starts at a random time. Checks that
    /// have long been due would be due on all routers at once, so they are rescheduled to random times.
    pub fn begin_isolation(&mut self, now: Duration, rng: &mut ChaCha8Rng) {
        self.isolated_from = now + ISOLATION_JITTER.mul_f64(rng.random_range(0.0..1.0));
        for claim in self.claims.values_mut().filter(|claim| claim.due <= self.isolated_from) {
            claim.due = self.isolated_from + first_check_delay(self.params.router_count, rng);
        }
        self.tokens = TokenBucket::new(0.0, 1.0, self.isolated_from);
        self.update_rate(now);
    }

    /// Approximate heap memory in bytes.
    pub fn state_bytes(&self) -> usize {
        self.nodes.len() * size_of::<SocketAddr>() + self.claims.len() * size_of::<(SocketAddr, Claim)>()
    }

    /// Whether the database is on the endpoint list.
    pub fn is_listed(&self, node: SocketAddr) -> bool {
        self.nodes.contains(&node)
    }

    /// Whether the router may check the database now. If so, the check is counted against the quota.
    /// `last_seen` is when other processes last saw the database, if that is a reason to check it again.
    pub fn claim(
        &mut self,
        now: Duration,
        node: SocketAddr,
        last_seen: Option<Duration>,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        if !self.nodes.contains(&node) {
            return false;
        }
        let QuotaParams { health_check_period, router_count } = self.params;
        let earliest = now.max(self.isolated_from);
        let claim = self.claims.entry(node).or_insert_with(|| Claim {
            due: earliest + first_check_delay(router_count, rng),
            last_granted: None,
        });
        // Another process has reached the database since this router's last check: the remaining interval is
        // skipped, but at least one period must have passed.
        if let (Some(last_seen), Some(last_granted)) = (last_seen, claim.last_granted)
            && last_seen > last_granted + health_check_period
            && claim.due > now + health_check_period
        {
            claim.due = now + first_check_delay(router_count, rng);
        }
        if claim.due > now || !self.tokens.has_at_least(now, 1.0) {
            return false;
        }
        self.tokens.spend(1.0);
        let periods_per_check = f64::from(router_count) / MAX_ROUTERS_PER_NODE_AND_PERIOD;
        let min_interval = health_check_period.mul_f64(periods_per_check.max(1.0));
        claim.due = now + min_interval.mul_f64(rng.random_range(1.0..1.0 + INTERVAL_JITTER));
        claim.last_granted = Some(now);
        true
    }
}

/// Random delay of a router's first check when `router_count` routers want to check the same database at the
/// same moment.
fn first_check_delay(router_count: u32, rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_secs_f64(rng.random_range(0.0..1.0) * f64::from(router_count) / FIRST_CHECKS_PER_SECOND)
}
