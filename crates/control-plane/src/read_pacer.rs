//! Paces the reads of a socket, so that a flood of datagrams does not starve other tasks of the thread.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

/// Number of datagrams that are read in a row before yielding to other tasks.
const MAX_READS_IN_A_ROW: u32 = 32;
/// The interval over which reads are counted, and the pause after too many reads.
pub(crate) const READ_PAUSE: Duration = Duration::from_millis(10);

pub(crate) struct ReadPacer {
    max_datagrams_per_second: u64,
    counts: RefCell<ReadCounts>,
}

/// Reads in the current interval and since the last yield.
struct ReadCounts {
    interval_began: Instant,
    reads_in_interval: u32,
    reads_in_a_row: u32,
}

impl ReadCounts {
    fn begin_interval(&mut self) {
        self.interval_began = Instant::now();
        self.reads_in_interval = 1;
    }
}

/// What has to happen before the next read.
struct NextRead {
    yields: bool,
    pauses: bool,
}

impl ReadPacer {
    pub(crate) fn new(max_datagrams_per_second: u64) -> Self {
        let counts = ReadCounts { interval_began: Instant::now(), reads_in_interval: 0, reads_in_a_row: 0 };
        Self { max_datagrams_per_second, counts: RefCell::new(counts) }
    }

    /// Waits until the next read may begin.
    pub(crate) async fn wait(&self) {
        let NextRead { yields, pauses } = self.next_read();
        if yields {
            future::yield_now().await;
        }
        if pauses {
            Timer::after(READ_PAUSE).await;
            self.counts.borrow_mut().begin_interval();
        }
    }

    fn next_read(&self) -> NextRead {
        let counts = &mut *self.counts.borrow_mut();
        counts.reads_in_interval += 1;
        counts.reads_in_a_row += 1;
        let yields = counts.reads_in_a_row > MAX_READS_IN_A_ROW;
        if yields {
            counts.reads_in_a_row = 1;
        }
        if counts.interval_began.elapsed() >= READ_PAUSE {
            counts.begin_interval();
            return NextRead { yields, pauses: false };
        }
        let max_reads = (self.max_datagrams_per_second as f64 * READ_PAUSE.as_secs_f64()).max(1.0);
        NextRead { yields, pauses: f64::from(counts.reads_in_interval) > max_reads + 1.0 }
    }
}
