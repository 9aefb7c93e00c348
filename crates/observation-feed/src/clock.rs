//! How late a digest is beside the others of its publisher, told by when it was sent on the publisher's clock and when
//! it came on the router's. Neither clock need know the other: the digest that was quickest under way is the measure.

use std::time::Duration;

/// Clocks may run apart by this part of the time that passes, so that what was quickest is forgotten slowly.
const DRIFT: f64 = 500e-6;

/// The shortest way of a digest so far, as the router's clock less the publisher's, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortest(Option<(i128, Duration)>);

impl Shortest {
    fn known(&self, now: Duration) -> Option<i128> {
        self.0.map(|(shortest, at)| shortest + (now.saturating_sub(at).as_nanos() as f64 * DRIFT) as i128)
    }

    /// How much shorter than the shortest so far this one's way is.
    pub fn quicker(&self, now: Duration, sent: Duration) -> Duration {
        let by = self.known(now).map_or(0, |known| known - way(now, sent));
        Duration::from_nanos(u64::try_from(by.max(0)).unwrap_or(u64::MAX))
    }

    /// How much longer than the shortest this one was under way.
    pub fn late(&mut self, now: Duration, sent: Duration) -> Duration {
        let way = way(now, sent);
        let shortest = self.known(now).map_or(way, |known| known.min(way));
        self.0 = Some((shortest, now));
        Duration::from_nanos(u64::try_from(way - shortest).unwrap_or(u64::MAX))
    }
}

fn way(now: Duration, sent: Duration) -> i128 {
    now.as_nanos() as i128 - sent.as_nanos() as i128
}
