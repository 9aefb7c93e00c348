//! Counts the messages and bytes that a process sends.

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint_observation_feed::{Envelope, Message};

use super::network::InFlightMessage;

/// Size of a datagram's header, receiver incarnation, sequence number and hash.
const DATAGRAM_OVERHEAD_BYTES: usize = 55;
const MAX_DATAGRAM_BYTES: usize = 1200;

#[derive(Default, Clone)]
pub struct Costs {
    pub messages: u64,
    pub bytes: u64,
    /// Bytes sent in each tenth of a second: in total, and for snapshots.
    pub bytes_by_tenth: BTreeMap<u64, (u64, u64)>,
    /// `Subscribe` messages sent in each second.
    pub subscribes_by_second: BTreeMap<u64, u64>,
}

pub(super) fn tenth_of_second(now: Duration) -> u64 {
    now.as_millis() as u64 / 100
}

pub(super) fn record_message(costs: &mut Costs, now: Duration, message_in_flight: &InFlightMessage) {
    let InFlightMessage { from, incarnation, message, .. } = message_in_flight;
    let envelope = Envelope { from: from.clone(), incarnation: *incarnation, message: message.clone() };
    let bytes = postcard::to_stdvec(&envelope).unwrap().len() + DATAGRAM_OVERHEAD_BYTES;
    assert!(bytes <= MAX_DATAGRAM_BYTES, "a datagram of {bytes} bytes is too large: {message:?}");
    costs.messages += 1;
    costs.bytes += bytes as u64;
    let tenth = costs.bytes_by_tenth.entry(tenth_of_second(now)).or_default();
    tenth.0 += bytes as u64;
    if matches!(message, Message::Chunk(_)) {
        tenth.1 += bytes as u64;
    }
}

/// The maximum sum over any ten consecutive tenths of a second.
pub fn max_per_second(bytes_by_tenth: impl Iterator<Item = (u64, u64)>) -> u64 {
    let bytes_by_tenth: Vec<(u64, u64)> = bytes_by_tenth.collect();
    let window = |first: u64| {
        bytes_by_tenth.iter().filter(|(at, _)| (first..first + 10).contains(at)).map(|(_, of)| of).sum()
    };
    bytes_by_tenth.iter().map(|(at, _)| window(*at)).max().unwrap_or(0)
}
