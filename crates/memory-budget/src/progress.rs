//! Whether a peer that takes or sends bytes slowly is still waited for: by its progress, and not by a fixed time, so
//! that an honest peer on a slow line is served and one that dribbles is not.

use std::time::Duration;

/// What is asked of a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// The longest time in which nothing moves; also what it has before its pace counts.
    pub still: Duration,
    /// Bytes a second that it must keep up in the mean.
    pub least: u64,
}

/// With memory full, a peer has this part of the usual time.
const HURRIED: u32 = 4;

/// One transfer, from its beginning on. Times are on any clock that only goes forward.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    pace: Pace,
    began: Duration,
    moved: Duration,
    bytes: u64,
}

impl Progress {
    pub fn new(pace: Pace, now: Duration) -> Self {
        Self { pace, began: now, moved: now, bytes: 0 }
    }

    /// So many bytes more have been taken, or have come.
    pub fn moved(&mut self, now: Duration, bytes: u64) {
        if bytes > 0 {
            (self.moved, self.bytes) = (now, self.bytes.saturating_add(bytes));
        }
    }

    /// Until when it is waited for if nothing more moves. What has moved has earned it the time that it takes at
    /// the least pace.
    pub fn until(&self, hurried: bool) -> Duration {
        let still = if hurried { self.pace.still / HURRIED } else { self.pace.still };
        let earned = Duration::from_secs_f64(self.bytes as f64 / self.pace.least.max(1) as f64);
        (self.began + still + earned).min(self.moved + still)
    }
}
