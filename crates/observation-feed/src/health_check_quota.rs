//! Which health checks a router may make by itself: its quota of what all routers may make together, so that thousands
//! that lose their control instances at once do not overload the databases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::token_bucket::TokenBucket;

/// All isolated routers together check this many times as often as the control instances do. A multiple of 1
/// would leave a router that uses many databases with observations minutes old.
pub const ISOLATED_RATE_MULTIPLE: f64 = 4.0;
/// The most routers that check one database in each period, whatever the number of routers.
pub const MAX_ROUTERS_PER_NODE_AND_PERIOD: f64 = 100.0;
/// The rate at which routers that have reason to check one database at the same moment do so.
const FIRST_CHECKS_PER_SECOND: f64 = 4000.0;
/// The number of routers falls by a factor of e in this time at the fastest, however often digests arrive.
const ROUTER_COUNT_DECAY_SECONDS: f64 = 10.0;
/// The most that counts of the time between two digests: while none arrived, nobody knew better.
const MAX_DECAY_STEP: Duration = Duration::from_secs(1);
/// How much of its quota a router may save up, in seconds of it.
const BURST_SECONDS: f64 = 0.05;
/// A database is checked again after its minimum interval and up to this fraction of it more, so that routers that
/// began together spread out.
const INTERVAL_JITTER: f64 = 0.5;
/// First checks begin at random within this time after the last digest.
const ISOLATION_JITTER: Duration = Duration::from_secs(1);

/// What a router's quota is computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaParams {
    /// How often the control instances check each database.
    pub health_check_period: Duration,
    /// About how many routers there are.
    pub router_count: u32,
}

/// A database that the router has wanted to check.
struct Claim {
    due: Duration,
    last_granted: Option<Duration>,
}

/// The lowest number of routers that is believed by now.
struct RouterCountFloor {
    routers: f64,
    updated_at: Duration,
}

/// A router's quota of health checks.
pub struct HealthCheckQuota {
    params: QuotaParams,
    router_count_floor: RouterCountFloor,
    nodes: BTreeSet<SocketAddr>,
    /// When this router begins to check after the last digest.
    isolated_from: Duration,
    tokens: TokenBucket,
    claims: BTreeMap<SocketAddr, Claim>,
}

impl HealthCheckQuota {
    /// A quota with an empty bucket and no databases.
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

    /// The databases on the endpoint list; no other is checked.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        self.nodes.clone_from(nodes);
        self.claims.retain(|node, _| nodes.contains(node));
        self.update_rate(now);
    }

    /// Takes the parameters of a digest. A control instance that has just started counts few routers: the number falls
    /// slowly, so that no router that loses it then takes itself for one of few.
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
        let own_part = ISOLATED_RATE_MULTIPLE / f64::from(self.params.router_count.max(1));
        let rate = all_per_second * own_part.min(1.0);
        self.tokens.set_rate(now, rate, (rate * BURST_SECONDS).max(1.0));
    }

    /// The last control instance has fallen silent. All other routers are in the same situation: nothing is saved up, and
    /// each begins at its own time. Checks that have long been due would be due at all routers at once, so each draws a
    /// new time.
    pub fn begin_isolation(&mut self, now: Duration, rng: &mut ChaCha8Rng) {
        self.isolated_from = now + ISOLATION_JITTER.mul_f64(rng.random_range(0.0..1.0));
        for claim in self.claims.values_mut().filter(|claim| claim.due <= self.isolated_from) {
            claim.due = self.isolated_from + first_check_delay(self.params.router_count, rng);
        }
        self.tokens = TokenBucket::new(0.0, 1.0, self.isolated_from);
        self.update_rate(now);
    }

    /// About the bytes that it holds on the heap.
    pub fn state_bytes(&self) -> usize {
        self.nodes.len() * size_of::<SocketAddr>() + self.claims.len() * size_of::<(SocketAddr, Claim)>()
    }

    /// Whether the database is on the endpoint list.
    pub fn is_listed(&self, node: SocketAddr) -> bool {
        self.nodes.contains(&node)
    }

    /// Whether the router may check the database now; if so, the check counts as made. `last_seen`: when others have last
    /// seen it, where that is a reason to check again.
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
        // Others have reached it since: the long interval need not be waited for, but a period has to pass.
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
        let crowding = f64::from(router_count) / MAX_ROUTERS_PER_NODE_AND_PERIOD;
        let min_interval = health_check_period.mul_f64(crowding.max(1.0));
        claim.due = now + min_interval.mul_f64(rng.random_range(1.0..1.0 + INTERVAL_JITTER));
        claim.last_granted = Some(now);
        true
    }
}

/// How long one of so many routers waits that have reason to check one database at the same moment.
fn first_check_delay(router_count: u32, rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_secs_f64(rng.random_range(0.0..1.0) * f64::from(router_count) / FIRST_CHECKS_PER_SECOND)
}
