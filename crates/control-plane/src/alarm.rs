//! One timer: a wish for an earlier moment replaces the one for a later moment, after which it is asked for anew.

use std::cell::Cell;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;

#[derive(Default)]
pub struct Alarm {
    at: Cell<Option<Instant>>,
    sooner: Event,
}

impl Alarm {
    pub fn ask(&self, after: Duration) {
        let at = Instant::now() + after;
        if self.at.get().is_none_or(|armed| at < armed) {
            self.at.set(Some(at));
            self.sooner.notify(1);
        }
    }

    /// Ends when the moment has come that was asked for; nothing is asked for from then on.
    pub async fn due(&self) {
        loop {
            let sooner = self.sooner.listen();
            match self.at.get() {
                Some(at) if at <= Instant::now() => return self.at.set(None),
                Some(at) => {
                    let timed = async { _ = Timer::at(at).await };
                    timed.or(sooner).await;
                }
                None => sooner.await,
            }
        }
    }
}
