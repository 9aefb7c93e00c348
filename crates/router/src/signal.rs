//! A request that is made once and awaited by one task, such as to close a session. Thousands of sessions hold
//! one, so it takes less memory than a channel.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;

#[derive(Default)]
struct State {
    is_set: Cell<bool>,
    changed: Event,
}

/// The request. Clones share it.
#[derive(Clone, Default)]
pub struct Signal(Rc<State>);

impl Signal {
    /// Makes the request. It stays until it is taken.
    pub fn set(&self) {
        self.0.is_set.set(true);
        self.0.changed.notify(1);
    }

    /// Takes the request back. Returns whether there was one.
    pub fn take(&self) -> bool {
        self.0.is_set.take()
    }

    /// Waits for the request and takes it.
    pub async fn wait(&self) {
        while !self.take() {
            let changed = self.0.changed.listen();
            if self.take() {
                return;
            }
            changed.await;
        }
    }
}
