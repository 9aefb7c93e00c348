//! Whether any control instance sends digests, and which health checks the router makes itself.

use std::net::SocketAddr;
use std::time::Duration;

use super::Subscriber;
use crate::host::{Event, Host};

/// An observation that is no older than this is current.
const OBSERVATION_CURRENT_FOR: Duration = Duration::from_secs(1);
/// Isolation is reported after this long without a digest. It begins earlier, after `max_silence`; the delay
/// avoids a warning on a mere switch to another instance.
const ISOLATION_REPORTED_AFTER: Duration = Duration::from_secs(1);

/// Whether the router is isolated from all control instances.
pub(super) struct Isolation {
    pub(super) last_digest_at: Duration,
    pub(super) is_isolated: bool,
    is_reported: bool,
}

impl Isolation {
    pub(super) fn new(now: Duration) -> Self {
        Self { last_digest_at: now, is_isolated: true, is_reported: false }
    }
}

impl<H: Host> Subscriber<H> {
    pub(super) fn has_active_instance(&self, now: Duration) -> bool {
        let max_silence = self.max_silence();
        self.followed.iter().any(|followed| followed.is_active(now, max_silence))
    }

    /// Updates whether the router is isolated, and reports changes that have lasted.
    pub(super) fn update_isolation(&mut self, now: Duration) {
        let is_isolated = !self.has_active_instance(now);
        let was_isolated = self.isolation.is_isolated;
        if was_isolated && !is_isolated && self.isolation.is_reported {
            self.isolation.is_reported = false;
            self.host.report_event(Event::Reconnected);
        }
        if !was_isolated && is_isolated {
            self.quota.begin_isolation(now, &mut self.rng);
        }
        self.isolation.is_isolated = is_isolated;
        let has_lasted = self.isolation.last_digest_at + ISOLATION_REPORTED_AFTER < now;
        if is_isolated && !self.isolation.is_reported && has_lasted {
            self.isolation.is_reported = true;
            self.host.report_event(Event::Isolated);
        }
    }

    /// Whether this router may check a database now. If so, the check is counted against the router's quota.
    /// While the feed has a current observation of the database, this requires `needs_own_check`, which means
    /// that the checks of other processes do not help this router.
    pub fn claim_health_check(&mut self, now: Duration, node: SocketAddr, needs_own_check: bool) -> bool {
        if self.has_left {
            return false;
        }
        self.update_isolation(now);
        let observation = self.observation(node).filter(|_| !self.isolation.is_isolated);
        let is_current = observation.is_some_and(|observation| {
            observation.failed || observation.seen_at + OBSERVATION_CURRENT_FOR >= now
        });
        if is_current && !needs_own_check {
            return false;
        }
        let last_seen = observation.filter(|observation| !observation.failed);
        let last_seen = last_seen.map(|observation| observation.seen_at);
        self.quota.claim(now, node, last_seen, &mut self.rng)
    }
}
