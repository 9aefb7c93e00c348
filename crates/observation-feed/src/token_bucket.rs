//! A budget that fills evenly.

use std::time::Duration;

/// Units that come at a rate and are saved up to a bound. What is taken beyond them is owed, and paid first.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    most: f64,
    saved: f64,
    counted: Duration,
}

impl TokenBucket {
    /// So many units a second, of which `most` may be saved up; empty at the start.
    pub fn new(rate: f64, most: f64, now: Duration) -> Self {
        Self { rate, most, saved: 0.0, counted: now }
    }

    /// Another rate from now on; what is saved stays within the new bound.
    pub fn set(&mut self, now: Duration, rate: f64, most: f64) {
        self.fill(now);
        (self.rate, self.most, self.saved) = (rate, most, self.saved.min(most));
    }

    /// Whether anything is there to be spent.
    pub fn has(&mut self, now: Duration, units: f64) -> bool {
        self.fill(now);
        self.saved >= units
    }

    pub fn spend(&mut self, units: f64) {
        self.saved -= units;
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.counted).as_secs_f64();
        (self.saved, self.counted) =
            ((self.saved + self.rate * passed).min(self.most), now.max(self.counted));
    }
}
