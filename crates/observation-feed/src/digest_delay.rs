//! Estimates how much longer a digest was in transit than the fastest digest of the same publisher, from its
//! send time on the publisher's clock and its arrival time on the router's clock. The two clocks need not be
//! synchronized: the lowest difference between arrival and send time so far is the baseline.

use std::time::Duration;

/// Maximum drift between two clocks, in seconds per second. The baseline rises at this rate to follow the
/// drift.
const MAX_CLOCK_DRIFT: f64 = 500e-6;
/// The first digests only establish the baseline. Digests that arrive within half a digest interval of each
/// other count as one, since they may have been queued together while this router was not reading.
const BASELINE_DIGESTS: u32 = 2;
/// A digest that lowers the baseline by more than this shows that the earlier digests had been queued. It may
/// have been queued itself, so it only updates the baseline.
const MAX_BASELINE_DROP: Duration = Duration::from_millis(50);
/// A digest with a longer delay than this is discarded.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The lowest difference so far between arrival time and send time, in nanoseconds, and the time of its last
/// update.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayBaseline(Option<(i128, Duration)>);

impl DelayBaseline {
    fn at(&self, now: Duration) -> Option<i128> {
        self.0.map(|(lowest, updated_at)| {
            let elapsed = now.saturating_sub(updated_at);
            lowest + (elapsed.as_nanos() as f64 * MAX_CLOCK_DRIFT) as i128
        })
    }

    /// How far a digest sent at `sent` and received at `now` would lower the baseline; zero if it would not.
    pub fn would_lower_by(&self, now: Duration, sent: Duration) -> Duration {
        let drop = self.at(now).map_or(0, |baseline| baseline - clock_difference(now, sent));
        Duration::from_nanos(u64::try_from(drop.max(0)).unwrap_or(u64::MAX))
    }

    /// Updates the baseline with a digest. Returns how much longer the digest took than the fastest one.
    pub fn record(&mut self, now: Duration, sent: Duration) -> Duration {
        let difference = clock_difference(now, sent);
        let lowest = self.at(now).map_or(difference, |baseline| baseline.min(difference));
        self.0 = Some((lowest, now));
        Duration::from_nanos(u64::try_from(difference - lowest).unwrap_or(u64::MAX))
    }
}

/// Arrival time minus send time in nanoseconds. Includes the offset between the two clocks.
fn clock_difference(now: Duration, sent: Duration) -> i128 {
    now.as_nanos() as i128 - sent.as_nanos() as i128
}

/// How a router may use a digest, given its delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestTiming {
    /// Too late; the digest is ignored.
    Discarded,
    /// The digest shows that the publisher is alive and updates the baseline, but the baseline is not yet
    /// reliable enough to date the digest's observations.
    BaselineOnly,
    /// The digest was delayed by this much. Its observations are as old as this delay plus the age in the
    /// digest.
    Delayed(Duration),
}

/// Measures the delays of one publisher's digests. Starts over whenever the publisher is followed again.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayMeasurement {
    baseline: DelayBaseline,
    counted_digests: u32,
    last_counted_at: Option<Duration>,
}

impl DelayMeasurement {
    /// Adds a digest to the measurement and decides how the digest may be used.
    pub fn record(&mut self, now: Duration, sent: Duration, digest_interval: Duration) -> DigestTiming {
        let baseline_drop = self.baseline.would_lower_by(now, sent);
        let delay = self.baseline.record(now, sent);
        if delay > MAX_DELAY {
            return DigestTiming::Discarded;
        }
        if self.last_counted_at.is_none_or(|at| at + digest_interval / 2 <= now) {
            self.counted_digests = self.counted_digests.saturating_add(1);
            self.last_counted_at = Some(now);
        }
        if self.counted_digests <= BASELINE_DIGESTS || baseline_drop > MAX_BASELINE_DROP {
            return DigestTiming::BaselineOnly;
        }
        DigestTiming::Delayed(delay)
    }
}
