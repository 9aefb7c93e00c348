//! Detects that the process has not run for a while. What it took for its own tasks is others' by then, so it joins again
//! before it does anything.

use std::time::Duration;

use super::Membership;
use crate::host::{Event, Host};
use crate::message::MemberState;

/// A process that has not run for this long has been stopped. Its peers need longer to declare it dead.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(800);

pub(super) struct PauseDetector {
    last_run: Duration,
}

impl PauseDetector {
    pub(super) fn new(now: Duration) -> Self {
        Self { last_run: now }
    }

    /// Records that the process runs now. How long it has not run before, if that is a pause.
    fn ran(&mut self, now: Duration) -> Option<Duration> {
        let idle = now.saturating_sub(self.last_run);
        self.last_run = now.max(self.last_run);
        (idle >= PAUSE_THRESHOLD).then_some(idle)
    }
}

impl Membership {
    /// Joins again if the process has not run for a while, and says whether it has. Called where a message or the
    /// timer arrives, at the latest a tick after the process runs again.
    pub fn rejoin_after_pause(&mut self, now: Duration, host: &mut impl Host) -> bool {
        let Some(pause) = self.pause.ran(now) else { return false };
        if self.own.record().state == MemberState::Left {
            return false;
        }
        host.report_event(Event::ProcessPaused(pause));
        self.own.set_state(MemberState::Joining);
        self.own.raise_revision();
        self.join.restart(now);
        self.detector.restart(now);
        self.peers.heard_from_all_active(now);
        true
    }
}
