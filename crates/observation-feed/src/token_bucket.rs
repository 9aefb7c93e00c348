//! A token bucket that may go into debt.
//!
//! It differs from the token bucket of `quillpoint-membership`, which starts full and is refilled explicitly.
//! This one starts empty, so that a control instance or a router has no burst right after its start or after
//! it became isolated. It refills whenever it is queried, and does not limit how much its owner spends.

use std::time::Duration;

/// Tokens arrive at a rate and accumulate up to a burst. Tokens spent beyond that are a debt, which new
/// tokens pay off first.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket; `burst` is the maximum number of tokens that accumulate.
    pub fn new(tokens_per_second: f64, burst: f64, now: Duration) -> Self {
        Self { tokens_per_second, burst, tokens: 0.0, refilled_at: now }
    }

    /// Changes the rate and the burst as of `now`. Accumulated tokens are limited to the new burst.
    pub fn set_rate(&mut self, now: Duration, tokens_per_second: f64, burst: f64) {
        self.refill(now);
        self.tokens_per_second = tokens_per_second;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Whether the bucket has at least this many tokens.
    pub fn has_at_least(&mut self, now: Duration, tokens: f64) -> bool {
        self.refill(now);
        self.tokens >= tokens
    }

    /// Removes tokens, going into debt if necessary.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.tokens_per_second * elapsed_seconds).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }
}
