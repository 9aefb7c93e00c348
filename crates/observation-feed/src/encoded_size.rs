//! Upper bounds for the encoded size of messages in bytes, so that each fits a datagram. Counted for postcard's format,
//! in which a number takes a byte for each seven bits.

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{Change, Digest, Entry, SnapshotChunk};

/// What a datagram of 1200 bytes leaves for a digest or a chunk: without header and hash (55), the sender's name (33), its
/// incarnation (10), and a reserve.
pub const MAX_PAYLOAD_BYTES: usize = 1080;

fn number(value: u64) -> usize {
    (64 - (value | 1).leading_zeros() as usize).div_ceil(7)
}

fn duration(value: Duration) -> usize {
    number(value.as_secs()) + number(u64::from(value.subsec_nanos()))
}

/// Bytes of a socket address.
pub fn address(node: SocketAddr) -> usize {
    1 + if node.is_ipv4() { 4 } else { 16 } + number(u64::from(node.port()))
}

/// Bytes of an entry: role, start time, status.
pub fn entry(entry: &Entry) -> usize {
    2 + 1 + entry.started.map_or(0, duration) + 2
}

/// Bytes of a change.
pub fn change(change: &Change) -> usize {
    number(u64::from(change.revision.0)) + address(change.node) + 1 + change.entry.as_ref().map_or(0, entry)
}

/// Bytes of a chunk's entries and of the addresses that they apply to.
pub fn chunk(chunk: &SnapshotChunk) -> usize {
    let group = |(shared_entry, nodes): &(Entry, Vec<SocketAddr>)| {
        entry(shared_entry) + 2 + nodes.iter().copied().map(address).sum::<usize>()
    };
    chunk.groups.iter().map(group).sum()
}

/// Bytes of a digest with its changes.
pub fn digest(digest: &Digest) -> usize {
    let watermarks: usize = digest.watermarks.iter().map(|watermark| 1 + watermark.map_or(0, duration)).sum();
    let revisions: usize = digest.revisions.iter().map(|revision| number(u64::from(revision.0))).sum();
    let changes: usize = digest.changes.iter().map(change).sum();
    // Number, the two durations that are set at each sending, lengths, router count.
    5 + 15 + 15 + watermarks + 2 + revisions + 2 + changes + duration(digest.health_check_period) + 5
}
