//! The queue of scheduled events in virtual time. Events that are due at the same time run in the order in
//! which they were scheduled.

use std::collections::BTreeMap;
use std::time::Duration;

/// Events ordered by due time, then by the order of scheduling.
pub struct EventQueue<E> {
    events: BTreeMap<(Duration, u64), E>,
    scheduled_count: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), scheduled_count: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a virtual time.
    pub fn schedule(&mut self, at: Duration, event: E) {
        self.scheduled_count += 1;
        self.events.insert((at, self.scheduled_count), event);
    }

    /// The due time of the next event.
    pub fn next_time(&self) -> Option<Duration> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the next event and returns it with its due time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
