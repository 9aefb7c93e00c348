//! A timer with a single deadline, which an earlier deadline replaces.

use std::cell::Cell;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;

#[derive(Default)]
pub(crate) struct DeadlineTimer {
    deadline: Cell<Option<Instant>>,
    rescheduled: Event,
}

impl DeadlineTimer {
    /// Sets the deadline, unless an earlier one is already set.
    pub(crate) fn schedule(&self, after: Duration) {
        let deadline = Instant::now() + after;
        if self.deadline.get().is_none_or(|current| deadline < current) {
            self.deadline.set(Some(deadline));
            self.rescheduled.notify(1);
        }
    }

    /// Waits for the deadline and clears it.
    pub(crate) async fn expired(&self) {
        loop {
            let rescheduled = self.rescheduled.listen();
            match self.deadline.get() {
                Some(deadline) if deadline <= Instant::now() => {
                    self.deadline.set(None);
                    return;
                }
                Some(deadline) => {
                    let at_deadline = async { _ = Timer::at(deadline).await };
                    at_deadline.or(rescheduled).await;
                }
                None => rescheduled.await,
            }
        }
    }
}
