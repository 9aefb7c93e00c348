//! Replay protection: a replay window for each sender, for a bounded number of senders.

use std::collections::BTreeMap;

use quillpoint_membership::{Incarnation, PeerName};

use crate::payload::Payload;
use crate::replay_window::ReplayWindow;

/// A sender's name and incarnation.
type SenderKey = (PeerName, Incarnation);

struct SenderState {
    window: ReplayWindow,
    /// The value of [`Senders::datagrams_received`] at this sender's latest datagram.
    last_received: u64,
}

pub struct Senders {
    states: BTreeMap<SenderKey, SenderState>,
    max_senders: usize,
    /// The number of datagrams received so far, from all senders. It serves as the clock that tells which
    /// sender was silent longest.
    datagrams_received: u64,
}

impl Senders {
    pub fn new(max_senders: usize) -> Self {
        Self { states: BTreeMap::new(), max_senders: max_senders.max(1), datagrams_received: 0 }
    }

    /// Whether this datagram is not a replay. If so, its sequence number is recorded.
    pub fn accept<P: Payload>(&mut self, payload: &P, sequence: u64) -> bool {
        let sender = payload.sender();
        let key = (sender.name.clone(), sender.incarnation);
        self.datagrams_received += 1;
        if let Some(state) = self.states.get_mut(&key) {
            state.last_received = self.datagrams_received;
            return state.window.accept(sequence);
        }
        if P::LATEST_INCARNATION_ONLY
            && let Some(tracked) = self.tracked_incarnation(&key.0)
        {
            if tracked.1 > key.1 {
                // From an earlier incarnation: it must not replace the later one's window. Only join requests
                // are let through, which are the only messages of an earlier incarnation that membership
                // handles.
                return payload.may_omit_receiver();
            }
            self.states.remove(&tracked);
        }
        self.evict_if_full();
        let window = ReplayWindow::starting_at(sequence);
        self.states.insert(key, SenderState { window, last_received: self.datagrams_received });
        true
    }

    fn tracked_incarnation(&self, name: &PeerName) -> Option<SenderKey> {
        let first = (name.clone(), Incarnation(0));
        let last = (name.clone(), Incarnation(u64::MAX));
        self.states.range(first..=last).next().map(|(key, _)| key.clone())
    }

    /// Makes room for one more sender by dropping the one that has been silent longest.
    fn evict_if_full(&mut self) {
        if self.states.len() < self.max_senders {
            return;
        }
        let longest_silent = self.states.iter().min_by_key(|(_, state)| state.last_received);
        if let Some(key) = longest_silent.map(|(key, _)| key.clone()) {
            self.states.remove(&key);
        }
    }
}
