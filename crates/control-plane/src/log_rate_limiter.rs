//! Keeps a line that could come with every RPC from flooding the log.

use std::cell::Cell;
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_secs(1);

/// One kind of line, told once a second at most.
#[derive(Default)]
pub struct LogRateLimiter(Cell<Option<Instant>>);

impl LogRateLimiter {
    /// Whether the line may be told now.
    pub fn is_due(&self) -> bool {
        let due = self.0.get().is_none_or(|told| told.elapsed() >= EVERY);
        if due {
            self.0.set(Some(Instant::now()));
        }
        due
    }
}
