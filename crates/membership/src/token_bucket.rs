//! A token bucket that starts full.
//!
//! Not that of `quillpoint-observation-feed`, which starts empty, refills whenever it is asked and lets its owner spend into
//! any debt. This one refills only when it is told to, and says itself whether a cost may be taken: what costs more than
//! the burst is let through by a full bucket.

use std::time::Duration;

/// A token bucket. The tokens are cost units or bytes, as its owner counts.
pub(crate) struct TokenBucket {
    tokens_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket that holds `burst` tokens at the most.
    pub(crate) fn new(tokens_per_second: f64, burst: f64, now: Duration) -> Self {
        Self { tokens_per_second, burst, tokens: burst, refilled_at: now }
    }

    /// Changes the rate and the burst. The tokens stay until the next refill, which takes away what no longer fits.
    pub(crate) fn set_limits(&mut self, tokens_per_second: f64, burst: f64) {
        self.tokens_per_second = tokens_per_second;
        self.burst = burst;
    }

    /// Adds the tokens since the last refill.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.tokens_per_second * elapsed).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Takes so many tokens, or none and says `false` where there are fewer.
    ///
    /// What costs more than the burst could never be paid for: it is let through by a full bucket, which it empties.
    pub(crate) fn try_take(&mut self, cost: f64) -> bool {
        let cost = cost.min(self.burst);
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }

    /// As [`try_take`](Self::try_take), but what costs more than the burst is paid for in full: the bucket goes below zero.
    pub(crate) fn try_take_in_full(&mut self, cost: f64) -> bool {
        if self.tokens < cost.min(self.burst) {
            return false;
        }
        self.tokens -= cost;
        true
    }
}
