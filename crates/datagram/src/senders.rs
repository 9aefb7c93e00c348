//! The senders that were heard, each with its replay window.

use std::collections::BTreeMap;

use quillpoint_membership::{Incarnation, PeerName};

use crate::payload::Payload;
use crate::replay_window::ReplayWindow;

/// One process: its name, and which of its starts.
type SenderKey = (PeerName, Incarnation);

struct SenderState {
    window: ReplayWindow,
    /// The value of [`Senders::datagrams`] when it was heard last.
    last_heard: u64,
}

pub struct Senders {
    states: BTreeMap<SenderKey, SenderState>,
    max_senders: usize,
    /// Datagrams that were heard so far: the clock by which senders are silent.
    datagrams: u64,
}

impl Senders {
    pub fn new(max_senders: usize) -> Self {
        Self { states: BTreeMap::new(), max_senders: max_senders.max(1), datagrams: 0 }
    }

    /// Whether this datagram is new; its sequence number is then taken.
    pub fn accept<P: Payload>(&mut self, payload: &P, sequence: u64) -> bool {
        let sender = payload.sender();
        let key = (sender.name.clone(), sender.incarnation);
        self.datagrams += 1;
        if let Some(state) = self.states.get_mut(&key) {
            state.last_heard = self.datagrams;
            return state.window.accept(sequence);
        }
        if P::LATEST_INCARNATION_ONLY
            && let Some(known) = self.known_incarnation(&key.0)
        {
            if known.1 > key.1 {
                // No window is turned back for it, and membership drops all but a join request.
                return payload.may_omit_receiver();
            }
            self.states.remove(&known);
        }
        self.make_room();
        let window = ReplayWindow::starting_at(sequence);
        self.states.insert(key, SenderState { window, last_heard: self.datagrams });
        true
    }

    fn known_incarnation(&self, name: &PeerName) -> Option<SenderKey> {
        let first = (name.clone(), Incarnation(0));
        let last = (name.clone(), Incarnation(u64::MAX));
        self.states.range(first..=last).next().map(|(key, _)| key.clone())
    }

    fn make_room(&mut self) {
        if self.states.len() < self.max_senders {
            return;
        }
        let longest_silent = self.states.iter().min_by_key(|(_, state)| state.last_heard);
        if let Some(key) = longest_silent.map(|(key, _)| key.clone()) {
            self.states.remove(&key);
        }
    }
}
