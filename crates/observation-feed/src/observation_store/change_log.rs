//! The latest changes. Each is repeated in several digests, so that the loss of one digest does not require a
//! snapshot.

use std::collections::VecDeque;

use crate::encoded_size;
use crate::message::{Change, MAX_CHANGES_PER_DIGEST};

/// Number of digests in which each change is sent, space permitting.
const REPETITIONS: u8 = 3;
/// Maximum number of changes kept for repetition.
const MAX_CHANGES: usize = 256;

pub(super) struct LoggedChange {
    change: Change,
    times_sent: u8,
}

#[derive(Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<LoggedChange>,
}

impl ChangeLog {
    pub(super) fn push(&mut self, change: Change) {
        self.changes.push_back(LoggedChange { change, times_sent: 0 });
    }

    /// Drops the oldest changes beyond `MAX_CHANGES`.
    pub(super) fn trim(&mut self) {
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the changes for a digest that has `max_bytes` left for them: those that were sent least often,
    /// in the order in which they were made. Drops changes that have been sent often enough.
    pub(super) fn take(&mut self, max_bytes: usize) -> Vec<Change> {
        let mut by_priority: Vec<usize> = (0..self.changes.len()).collect();
        by_priority.sort_by_key(|index| (self.changes[*index].times_sent, *index));
        let mut free_bytes = max_bytes;
        let mut selected = Vec::new();
        for index in by_priority {
            let bytes = encoded_size::change(&self.changes[index].change);
            if bytes > free_bytes || selected.len() >= MAX_CHANGES_PER_DIGEST {
                break;
            }
            free_bytes -= bytes;
            self.changes[index].times_sent += 1;
            selected.push(index);
        }
        selected.sort_unstable();
        let changes = selected.into_iter().map(|index| self.changes[index].change).collect();
        self.changes.retain(|logged| logged.times_sent < REPETITIONS);
        changes
    }

    pub(super) fn len(&self) -> usize {
        self.changes.len()
    }
}
