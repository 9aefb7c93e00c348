//! A token bucket that may go into debt.
//!
//! Not that of `quillpoint-membership`, which starts full and refills when it is told to. This one starts empty, so that a
//! control instance or a router that has just started, or been isolated, has saved up nothing; it refills whenever it is
//! asked, and spends whatever its owner says.

use std::time::Duration;

/// Tokens arrive at a rate and are saved up to a burst. What is spent beyond them is a debt that is paid first.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A bucket that is empty at the start; `burst` is the most tokens that are saved.
    pub fn new(tokens_per_second: f64, burst: f64, now: Duration) -> Self {
        Self { tokens_per_second, burst, tokens: 0.0, refilled_at: now }
    }

    /// Changes the rate from now on; saved tokens stay within the new burst.
    pub fn set_rate(&mut self, now: Duration, tokens_per_second: f64, burst: f64) {
        self.refill(now);
        self.tokens_per_second = tokens_per_second;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Whether at least so many tokens are there now.
    pub fn has_at_least(&mut self, now: Duration, tokens: f64) -> bool {
        self.refill(now);
        self.tokens >= tokens
    }

    /// Takes tokens, into debt if need be.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.tokens_per_second * elapsed_seconds).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }
}
