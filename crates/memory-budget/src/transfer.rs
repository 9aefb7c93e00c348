//! Timeouts for peers that read or send slowly. They depend on the progress of the transfer instead of a
//! fixed total time, so that a peer on a slow connection is served, while one that only trickles bytes to
//! keep its connection open is disconnected.

use std::time::Duration;

/// The progress that a peer must make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MinimumRate {
    /// The maximum time without progress. It is also the grace period at the start of a transfer, before the
    /// rate is enforced.
    pub stall_timeout: Duration,
    /// The minimum mean rate since the start of the transfer.
    pub bytes_per_second: u64,
}

/// How much of the stall timeout applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutScale {
    /// The whole stall timeout.
    Full,
    /// A fraction of the stall timeout, for use while memory is short.
    Reduced,
}

/// [`TimeoutScale::Reduced`] divides the stall timeout by this.
const REDUCED_TIMEOUT_DIVISOR: u32 = 4;

/// The progress of one transfer. Times are measured from any fixed point on a monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct TransferProgress {
    rate: MinimumRate,
    started: Duration,
    last_progress: Duration,
    bytes: u64,
}

impl TransferProgress {
    /// A transfer that starts at `now`.
    pub fn new(rate: MinimumRate, now: Duration) -> Self {
        Self { rate, started: now, last_progress: now, bytes: 0 }
    }

    /// Records that the peer has read or sent `bytes` more bytes.
    pub fn record(&mut self, now: Duration, bytes: u64) {
        if bytes > 0 {
            self.last_progress = now;
            self.bytes = self.bytes.saturating_add(bytes);
        }
    }

    /// When the transfer times out if there is no further progress: when the stall timeout has passed since
    /// the last progress, or when the mean rate after the grace period falls below the minimum, whichever is
    /// earlier.
    pub fn deadline(&self, timeout_scale: TimeoutScale) -> Duration {
        let stall_timeout = match timeout_scale {
            TimeoutScale::Full => self.rate.stall_timeout,
            TimeoutScale::Reduced => self.rate.stall_timeout / REDUCED_TIMEOUT_DIVISOR,
        };
        let time_at_minimum_rate =
            Duration::from_secs_f64(self.bytes as f64 / self.rate.bytes_per_second.max(1) as f64);
        (self.started + stall_timeout + time_at_minimum_rate).min(self.last_progress + stall_timeout)
    }
}
