//! Whether a peer that takes or sends bytes slowly is still waited for: by its progress, and not by a fixed time, so
//! that an honest peer on a slow connection is served and one that trickles is not.

use std::time::Duration;

/// What is asked of a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MinimumRate {
    /// The longest time in which nothing moves; also what it has before its rate counts.
    pub stall_timeout: Duration,
    /// The mean rate that it must keep up.
    pub bytes_per_second: u64,
}

/// How long a peer that stalls is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutScale {
    /// The stall timeout.
    Full,
    /// A fraction of the stall timeout, as memory is short.
    Reduced,
}

/// With [`TimeoutScale::Reduced`], the stall timeout is divided by this.
const REDUCED_TIMEOUT_DIVISOR: u32 = 4;

/// One transfer, from its beginning on. Times are on any clock that only goes forward.
#[derive(Clone, Copy, Debug)]
pub struct TransferProgress {
    rate: MinimumRate,
    started: Duration,
    last_moved: Duration,
    bytes: u64,
}

impl TransferProgress {
    /// A transfer that begins now.
    pub fn new(rate: MinimumRate, now: Duration) -> Self {
        Self { rate, started: now, last_moved: now, bytes: 0 }
    }

    /// So many bytes more have been taken, or have arrived.
    pub fn record(&mut self, now: Duration, bytes: u64) {
        if bytes > 0 {
            self.last_moved = now;
            self.bytes = self.bytes.saturating_add(bytes);
        }
    }

    /// Until when the peer is waited for if nothing more moves. What has moved has earned it the time that it takes at
    /// the minimum rate.
    pub fn deadline(&self, timeout_scale: TimeoutScale) -> Duration {
        let stall_timeout = match timeout_scale {
            TimeoutScale::Full => self.rate.stall_timeout,
            TimeoutScale::Reduced => self.rate.stall_timeout / REDUCED_TIMEOUT_DIVISOR,
        };
        let earned = Duration::from_secs_f64(self.bytes as f64 / self.rate.bytes_per_second.max(1) as f64);
        (self.started + stall_timeout + earned).min(self.last_moved + stall_timeout)
    }
}
