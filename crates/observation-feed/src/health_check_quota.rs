//! What a router may probe by itself: its share of what all may do together, so that thousands who lose their control
//! instances at once are no storm on the databases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::token_bucket::TokenBucket;

/// All routers together probe so many times as often as the control instances do. One would leave a router that uses
/// many databases with answers that are minutes old; a database that bears its clients bears a few probes more.
pub const TIMES: f64 = 4.0;
/// One database is probed by no more than so many routers in each period, whatever the number of routers.
pub const CROWD: f64 = 100.0;
/// Routers that have reason to look at a database at the same moment do so at this rate, one after the other.
const LOOKS: f64 = 4000.0;
/// The number of routers falls by no more than two thirds in about so long, in seconds, however often digests come.
const FALLS_IN: f64 = 10.0;
/// No more than this counts of the time since the last digest: while none spoke, nobody knew better.
const FALLS_BETWEEN: Duration = Duration::from_secs(1);
/// So much of its share a router may save up, in seconds of it.
const SAVED: f64 = 0.05;
/// A database is looked at again after its floor and up to this part of it more, so that who began together does not
/// come together again and again.
const FLOOR_JITTER: f64 = 0.5;
/// So long after the last word of a control instance do first probes begin, at random.
const FIRST: Duration = Duration::from_secs(1);

/// What a router's share is reckoned from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaParams {
    pub period: Duration,
    pub routers: u32,
}

struct Claim {
    due: Duration,
    at: Option<Duration>,
}

pub struct HealthCheckQuota {
    basis: QuotaParams,
    /// To where the number of routers may have fallen, and when that was reckoned.
    least: (f64, Duration),
    nodes: BTreeSet<SocketAddr>,
    /// When the last spell alone began for it.
    begun: Duration,
    tokens: TokenBucket,
    /// The databases that it has asked to probe.
    claims: BTreeMap<SocketAddr, Claim>,
}

impl HealthCheckQuota {
    pub fn new(basis: QuotaParams, now: Duration) -> Self {
        let (nodes, claims) = (BTreeSet::new(), BTreeMap::new());
        let least = (f64::from(basis.routers), now);
        let mut share =
            Self { basis, least, nodes, begun: now, tokens: TokenBucket::new(0.0, 1.0, now), claims };
        share.reckon(now);
        share
    }

    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        self.nodes.clone_from(nodes);
        self.claims.retain(|node, _| nodes.contains(node));
        self.reckon(now);
    }

    /// A digest says so. A control instance that has just started counts few routers at first: the number falls slowly,
    /// so that losing it then lets nobody think that it is one of few.
    pub fn basis_changed(&mut self, now: Duration, basis: QuotaParams) {
        let (least, reckoned) = self.least;
        let passed = now.saturating_sub(reckoned).min(FALLS_BETWEEN).as_secs_f64();
        let least = (least * (-passed / FALLS_IN).exp()).max(f64::from(basis.routers));
        self.least = (least, now.max(reckoned));
        let basis = QuotaParams { routers: least.ceil() as u32, ..basis };
        if basis != self.basis {
            self.basis = basis;
            self.reckon(now);
        }
    }

    fn reckon(&mut self, now: Duration) {
        let all = self.nodes.len() as f64 / self.basis.period.as_secs_f64().max(1e-3);
        let rate = all * (TIMES / f64::from(self.basis.routers.max(1))).min(1.0);
        self.tokens.set(now, rate, (rate * SAVED).max(1.0));
    }

    /// All others are in the same case at this moment: nothing is saved, and each begins at its own time. What could
    /// have been looked at long ago is due for all of them at once, so each draws anew when it looks.
    pub fn begin(&mut self, now: Duration, chance: &mut ChaCha8Rng) {
        self.begun = now + FIRST.mul_f64(chance.random_range(0.0..1.0));
        for claim in self.claims.values_mut().filter(|claim| claim.due <= self.begun) {
            claim.due = self.begun + soon(self.basis.routers, chance);
        }
        self.tokens = TokenBucket::new(0.0, 1.0, self.begun);
        self.reckon(now);
    }

    /// About the bytes that it takes.
    pub fn state_bytes(&self) -> usize {
        self.nodes.len() * size_of::<SocketAddr>() + self.claims.len() * size_of::<(SocketAddr, Claim)>()
    }

    pub fn is_listed(&self, node: SocketAddr) -> bool {
        self.nodes.contains(&node)
    }

    /// Whether the database may be probed now. `news`: when others have last heard of it, where that is a reason to
    /// look again.
    pub fn claim(
        &mut self,
        now: Duration,
        node: SocketAddr,
        news: Option<Duration>,
        chance: &mut ChaCha8Rng,
    ) -> bool {
        if !self.nodes.contains(&node) {
            return false;
        }
        let (routers, from) = (self.basis.routers, now.max(self.begun));
        let claim =
            self.claims.entry(node).or_insert_with(|| Claim { due: from + soon(routers, chance), at: None });
        // It has been heard of since this router looked: one look more, and not before a period has passed.
        if let (Some(news), Some(at)) = (news, claim.at)
            && news > at + self.basis.period
            && claim.due > now + self.basis.period
        {
            claim.due = now + soon(routers, chance);
        }
        if claim.due > now || !self.tokens.has(now, 1.0) {
            return false;
        }
        self.tokens.spend(1.0);
        let floor = self.basis.period.mul_f64((f64::from(routers) / CROWD).max(1.0));
        let due = now + floor.mul_f64(chance.random_range(1.0..1.0 + FLOOR_JITTER));
        *claim = Claim { due, at: Some(now) };
        true
    }
}

/// How long one of so many waits who have reason to look at the same moment.
fn soon(routers: u32, chance: &mut ChaCha8Rng) -> Duration {
    Duration::from_secs_f64(chance.random_range(0.0..1.0) * f64::from(routers) / LOOKS)
}
