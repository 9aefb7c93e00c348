//! What the messages of a process cost.

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint_observation_feed::{Envelope, Message};

use super::network::InFlightMessage;

/// Head, receiver's incarnation, number and hash of a datagram, in bytes.
const DATAGRAM_OVERHEAD_BYTES: usize = 55;
/// No datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 1200;

#[derive(Default, Clone)]
pub struct Costs {
    pub messages: u64,
    pub bytes: u64,
    /// Bytes sent in each tenth of a second, all and those of copies.
    pub by_tenth: BTreeMap<u64, (u64, u64)>,
    pub subscribes: BTreeMap<u64, u64>,
}

pub(super) fn tenth(now: Duration) -> u64 {
    now.as_millis() as u64 / 100
}

pub(super) fn count(costs: &mut Costs, now: Duration, message_in_flight: &InFlightMessage) {
    let InFlightMessage { from, start, message, .. } = message_in_flight;
    let envelope = Envelope { from: from.clone(), incarnation: *start, message: message.clone() };
    let bytes = postcard::to_stdvec(&envelope).unwrap().len() + DATAGRAM_OVERHEAD_BYTES;
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes: {message:?}");
    costs.messages += 1;
    costs.bytes += bytes as u64;
    let tenth = costs.by_tenth.entry(tenth(now)).or_default();
    tenth.0 += bytes as u64;
    if matches!(message, Message::Chunk(_)) {
        tenth.1 += bytes as u64;
    }
}

/// The most in any second.
pub fn most_a_second(by_tenth: impl Iterator<Item = (u64, u64)>) -> u64 {
    let by_tenth: Vec<(u64, u64)> = by_tenth.collect();
    let window = |first: u64| {
        by_tenth.iter().filter(|(at, _)| (first..first + 10).contains(at)).map(|(_, of)| of).sum()
    };
    by_tenth.iter().map(|(at, _)| window(*at)).max().unwrap_or(0)
}
