//! A timer with one deadline: an earlier one replaces a later one.

use std::cell::Cell;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;

#[derive(Default)]
pub(crate) struct DeadlineTimer {
    deadline: Cell<Option<Instant>>,
    moved_forward: Event,
}

impl DeadlineTimer {
    /// Sets the deadline, unless an earlier one is set.
    pub(crate) fn schedule(&self, after: Duration) {
        let deadline = Instant::now() + after;
        if self.deadline.get().is_none_or(|current| deadline < current) {
            self.deadline.set(Some(deadline));
            self.moved_forward.notify(1);
        }
    }

    /// Waits for the deadline, and clears it.
    pub(crate) async fn expired(&self) {
        loop {
            let moved_forward = self.moved_forward.listen();
            match self.deadline.get() {
                Some(deadline) if deadline <= Instant::now() => {
                    self.deadline.set(None);
                    return;
                }
                Some(deadline) => {
                    let at_deadline = async { _ = Timer::at(deadline).await };
                    at_deadline.or(moved_forward).await;
                }
                None => moved_forward.await,
            }
        }
    }
}
