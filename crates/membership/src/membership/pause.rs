//! Detects that the process was not running for a while, for example because it was stopped. Other routers
//! may have taken over its tasks by then, so it joins again before it does anything else.

use std::time::Duration;

use super::Membership;
use crate::host::{Event, Host};
use crate::message::MemberState;

/// A process that was not running for this long is considered paused. Less than the time after which peers
/// declare a router dead.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(800);

pub(super) struct PauseDetector {
    last_run: Duration,
}

impl PauseDetector {
    pub(super) fn new(now: Duration) -> Self {
        Self { last_run: now }
    }

    /// Records that the process is running now. Returns the time since the last call if that is a pause.
    fn record_running(&mut self, now: Duration) -> Option<Duration> {
        let elapsed = now.saturating_sub(self.last_run);
        self.last_run = now.max(self.last_run);
        (elapsed >= PAUSE_THRESHOLD).then_some(elapsed)
    }
}

impl Membership {
    /// Joins again if the process was paused, and returns whether it was. Called on every message and every
    /// call of the timer, so at the latest one tick after the process has resumed.
    pub fn rejoin_after_pause(&mut self, now: Duration, host: &mut impl Host) -> bool {
        let Some(pause) = self.pause.record_running(now) else { return false };
        if self.own.record().state == MemberState::Left {
            return false;
        }
        host.report_event(Event::ProcessPaused(pause));
        self.own.set_state(MemberState::Joining);
        self.own.increment_revision();
        self.join.restart(now);
        self.detector.restart(now);
        self.peers.mark_active_peers_heard(now);
        true
    }
}
