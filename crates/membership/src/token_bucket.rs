//! A token bucket that starts full.
//!
//! It differs from the token bucket of `quillpoint-observation-feed`, which starts empty, refills on every
//! query and lets its owner go into unlimited debt. This one refills only on an explicit call, and decides
//! itself whether a cost may be taken: a cost above the burst is allowed when the bucket is full.

use std::time::Duration;

/// A token bucket. The tokens are cost units or bytes, depending on its owner.
pub(crate) struct TokenBucket {
    tokens_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket with a capacity of `burst` tokens.
    pub(crate) fn new(tokens_per_second: f64, burst: f64, now: Duration) -> Self {
        Self { tokens_per_second, burst, tokens: burst, refilled_at: now }
    }

    /// Changes the rate and the burst. The next refill removes tokens above the new burst.
    pub(crate) fn set_limits(&mut self, tokens_per_second: f64, burst: f64) {
        self.tokens_per_second = tokens_per_second;
        self.burst = burst;
    }

    /// Adds the tokens for the time since the last refill.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.tokens_per_second * elapsed).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Takes `cost` tokens and returns `true`, or takes none and returns `false` if there are fewer.
    ///
    /// A cost above the burst, for which there can never be enough tokens, takes all tokens of a full bucket.
    pub(crate) fn try_take(&mut self, cost: f64) -> bool {
        let cost = cost.min(self.burst);
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }

    /// Like [`try_take`](Self::try_take), but takes the whole of a cost above the burst, so that the bucket
    /// goes below zero.
    pub(crate) fn try_take_in_full(&mut self, cost: f64) -> bool {
        if self.tokens < cost.min(self.burst) {
            return false;
        }
        self.tokens -= cost;
        true
    }
}
