//! What is to happen when, in virtual time. Of equals, what was entered first happens first.

use std::collections::BTreeMap;
use std::time::Duration;

pub struct EventQueue<E> {
    events: BTreeMap<(Duration, u64), E>,
    entered: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), entered: 0 }
    }
}

impl<E> EventQueue<E> {
    pub fn schedule(&mut self, at: Duration, event: E) {
        self.entered += 1;
        self.events.insert((at, self.entered), event);
    }

    /// When the next event is.
    pub fn next_time(&self) -> Option<Duration> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
