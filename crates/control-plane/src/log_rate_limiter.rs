//! Prevents events that could occur with every RPC from flooding the log.

use std::cell::Cell;
use std::time::{Duration, Instant};

const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Limits one kind of log line to one a second.
#[derive(Default)]
pub struct LogRateLimiter {
    last_logged: Cell<Option<Instant>>,
}

impl LogRateLimiter {
    /// Whether a line may be logged now. If so, it is counted as logged.
    pub fn try_acquire(&self) -> bool {
        let is_free = self.last_logged.get().is_none_or(|last| last.elapsed() >= MIN_INTERVAL);
        if is_free {
            self.last_logged.set(Some(Instant::now()));
        }
        is_free
    }
}
