//! How late a digest is beside the others of its publisher, told by when it was sent on the publisher's clock and when
//! it came on the router's. Neither clock need know the other: the digest that was quickest under way is the measure.

use std::time::Duration;

/// Clocks may run apart by this part of the time that passes, so that what was quickest is forgotten slowly.
const DRIFT: f64 = 500e-6;

/// The shortest way of a digest so far, as the router's clock less the publisher's, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortest(Option<(i128, Duration)>);

impl Shortest {
    /// How much longer than the shortest this one was under way.
    pub fn late(&mut self, now: Duration, sent: Duration) -> Duration {
        let way = now.as_nanos() as i128 - sent.as_nanos() as i128;
        let known = self
            .0
            .map(|(shortest, at)| shortest + (now.saturating_sub(at).as_nanos() as f64 * DRIFT) as i128);
        let shortest = known.map_or(way, |known| known.min(way));
        self.0 = Some((shortest, now));
        Duration::from_nanos(u64::try_from(way - shortest).unwrap_or(u64::MAX))
    }
}
