//! The clock of the engine and the decisions.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock of Unix time: the system clock is read once at the start, and elapsed monotonic time is
/// added.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Duration,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the current time of the system clock.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix_at_start, start: Instant::now() }
    }

    /// Returns the time since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.unix_at_start + self.start.elapsed()
    }

    /// Converts a time since the Unix epoch to an instant. A time before the clock's start maps to its start.
    pub fn instant(&self, unix_time: Duration) -> Instant {
        self.start + unix_time.saturating_sub(self.unix_at_start)
    }

    /// Returns the time since the clock was started, which is the uptime of the router.
    pub(super) fn uptime(&self) -> Duration {
        self.start.elapsed()
    }
}
