//! How late a digest is compared with the others of its publisher, from the send time on the publisher's clock and the
//! arrival time on the router's. The two clocks need not agree: the quickest digest so far is the baseline.

use std::time::Duration;

/// How fast two clocks may drift apart. The baseline rises at this rate, so that it follows the drift.
const MAX_CLOCK_DRIFT: f64 = 500e-6;
/// The first digests only measure the baseline. Those that arrive within half a digest interval count as one, since they
/// may have waited together for this router.
const BASELINE_DIGESTS: u32 = 2;
/// A digest that lowers the baseline by more than this shows that the earlier ones had been queued. It may have been
/// queued as well, so it only measures.
const MAX_BASELINE_DROP: Duration = Duration::from_millis(50);
/// A digest that is later than this is discarded.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The lowest difference so far between arrival time and send time, in nanoseconds, and when it was updated.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayBaseline(Option<(i128, Duration)>);

impl DelayBaseline {
    fn at(&self, now: Duration) -> Option<i128> {
        self.0.map(|(lowest, updated_at)| {
            let elapsed = now.saturating_sub(updated_at);
            lowest + (elapsed.as_nanos() as f64 * MAX_CLOCK_DRIFT) as i128
        })
    }

    /// How far a digest sent at `sent` and read now would lower the baseline; zero if it would not.
    pub fn would_lower_by(&self, now: Duration, sent: Duration) -> Duration {
        let drop = self.at(now).map_or(0, |baseline| baseline - clock_difference(now, sent));
        Duration::from_nanos(u64::try_from(drop.max(0)).unwrap_or(u64::MAX))
    }

    /// Takes a digest into the baseline. Returns how much longer it took than the quickest one.
    pub fn record(&mut self, now: Duration, sent: Duration) -> Duration {
        let difference = clock_difference(now, sent);
        let lowest = self.at(now).map_or(difference, |baseline| baseline.min(difference));
        self.0 = Some((lowest, now));
        Duration::from_nanos(u64::try_from(difference - lowest).unwrap_or(u64::MAX))
    }
}

/// The arrival time less the send time in nanoseconds; the offset of the two clocks is part of it.
fn clock_difference(now: Duration, sent: Duration) -> i128 {
    now.as_nanos() as i128 - sent.as_nanos() as i128
}

/// What a digest's delay lets the router do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestTiming {
    /// Too late to be of use.
    Discarded,
    /// The publisher is alive, but the baseline is not known well enough to date what the digest says.
    BaselineOnly,
    /// What the digest says was true this long before it was read, and its own age more.
    Delayed(Duration),
}

/// The delay measurement of one publisher, from the moment it was followed.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayMeasurement {
    baseline: DelayBaseline,
    counted_digests: u32,
    last_counted_at: Option<Duration>,
}

impl DelayMeasurement {
    /// Takes a digest into the measurement.
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
