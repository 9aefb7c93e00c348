//! The router's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never goes back: the system's clock is read once, and a monotonic clock runs on top of it.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Duration,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix_at_start, start: Instant::now() }
    }

    /// The time since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.unix_at_start + self.start.elapsed()
    }

    /// A time since the Unix epoch as an instant of the monotonic clock; one before the start is the start.
    pub fn instant(&self, unix_time: Duration) -> Instant {
        self.start + unix_time.saturating_sub(self.unix_at_start)
    }

    /// How long the clock has been running.
    pub(super) fn uptime(&self) -> Duration {
        self.start.elapsed()
    }
}
