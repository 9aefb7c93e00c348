//! Paces the reads of a socket, so that a flood of datagrams gets no more than its share of the thread.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

/// How many datagrams are read before other tasks have their turn.
const MAX_READS_IN_A_ROW: u32 = 32;
/// The interval in which reads are counted, and the pause when they are too many.
pub(crate) const READ_PAUSE: Duration = Duration::from_millis(10);

pub(crate) struct ReadPacer {
    max_datagrams_per_second: u64,
    progress: RefCell<Progress>,
}

struct Progress {
    interval_began: Instant,
    reads_in_interval: u32,
    reads_in_a_row: u32,
}

impl Progress {
    fn begin_interval(&mut self) {
        self.interval_began = Instant::now();
        self.reads_in_interval = 1;
    }
}

/// What the next read has to wait for.
struct NextRead {
    yields: bool,
    pauses: bool,
}

impl ReadPacer {
    pub(crate) fn new(max_datagrams_per_second: u64) -> Self {
        let progress = Progress { interval_began: Instant::now(), reads_in_interval: 0, reads_in_a_row: 0 };
        Self { max_datagrams_per_second, progress: RefCell::new(progress) }
    }

    /// Waits until the next read may begin.
    pub(crate) async fn wait(&self) {
        let NextRead { yields, pauses } = self.next_read();
        if yields {
            future::yield_now().await;
        }
        if pauses {
            Timer::after(READ_PAUSE).await;
            self.progress.borrow_mut().begin_interval();
        }
    }

    fn next_read(&self) -> NextRead {
        let progress = &mut *self.progress.borrow_mut();
        progress.reads_in_interval += 1;
        progress.reads_in_a_row += 1;
        let yields = progress.reads_in_a_row > MAX_READS_IN_A_ROW;
        if yields {
            progress.reads_in_a_row = 1;
        }
        if progress.interval_began.elapsed() >= READ_PAUSE {
            progress.begin_interval();
            return NextRead { yields, pauses: false };
        }
        let max_reads = (self.max_datagrams_per_second as f64 * READ_PAUSE.as_secs_f64()).max(1.0);
        NextRead { yields, pauses: f64::from(progress.reads_in_interval) > max_reads + 1.0 }
    }
}
