//! Upper bounds for the encoded size of messages in bytes, used to keep every message within one datagram.
//! Computed for the postcard format, which encodes integers as varints with seven bits per byte.

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{Change, Digest, Entry, SnapshotChunk};

/// Space for a digest or a snapshot chunk in a datagram of 1200 bytes, after the header and hash (55 bytes),
/// the sender's name (33), the sender's incarnation (10) and a reserve.
pub const MAX_PAYLOAD_BYTES: usize = 1080;

fn varint(value: u64) -> usize {
    (64 - (value | 1).leading_zeros() as usize).div_ceil(7)
}

fn duration(value: Duration) -> usize {
    varint(value.as_secs()) + varint(u64::from(value.subsec_nanos()))
}

/// Encoded size of a socket address.
pub fn address(node: SocketAddr) -> usize {
    1 + if node.is_ipv4() { 4 } else { 16 } + varint(u64::from(node.port()))
}

/// Encoded size of an entry: role, start time, status.
pub fn entry(entry: &Entry) -> usize {
    2 + 1 + entry.started.map_or(0, duration) + 2
}

/// Encoded size of a change.
pub fn change(change: &Change) -> usize {
    varint(u64::from(change.revision.0)) + address(change.node) + 1 + change.entry.as_ref().map_or(0, entry)
}

/// Encoded size of a chunk's entries with the addresses that they apply to.
pub fn chunk(chunk: &SnapshotChunk) -> usize {
    let group = |(shared_entry, nodes): &(Entry, Vec<SocketAddr>)| {
        entry(shared_entry) + 2 + nodes.iter().copied().map(address).sum::<usize>()
    };
    chunk.groups.iter().map(group).sum()
}

/// Encoded size of a digest with its changes.
pub fn digest(digest: &Digest) -> usize {
    let watermarks: usize = digest.watermarks.iter().map(|watermark| 1 + watermark.map_or(0, duration)).sum();
    let revisions: usize = digest.revisions.iter().map(|revision| varint(u64::from(revision.0))).sum();
    let changes: usize = digest.changes.iter().map(change).sum();
    // 5: number. 15 each: the two durations that are set when a copy is sent. 2 each: list lengths. 5: router
    // count.
    5 + 15 + 15 + watermarks + 2 + revisions + 2 + changes + duration(digest.health_check_period) + 5
}
