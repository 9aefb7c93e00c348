//! How many bytes what is said takes at the most, so that it fits a datagram. Counted for postcard's format, in which
//! a number takes a byte for each seven bits.

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{Change, Chunk, Digest, Entry};

/// What a datagram of 1200 bytes leaves for a digest or a chunk: without head and hash (55), the name (33), the start
/// (10), and some to spare.
pub const ROOM: usize = 1080;

fn number(value: u64) -> usize {
    (64 - (value | 1).leading_zeros() as usize).div_ceil(7)
}

fn span(span: Duration) -> usize {
    number(span.as_secs()) + number(u64::from(span.subsec_nanos()))
}

pub fn address(node: SocketAddr) -> usize {
    1 + if node.is_ipv4() { 4 } else { 16 } + number(u64::from(node.port()))
}

/// Role, start, standing.
pub fn entry(entry: &Entry) -> usize {
    2 + 1 + entry.started.map_or(0, span) + 2
}

pub fn change(change: &Change) -> usize {
    number(u64::from(change.revision.0)) + address(change.node) + 1 + change.entry.as_ref().map_or(0, entry)
}

/// What a chunk takes for its entries and those that they hold for.
pub fn chunk(chunk: &Chunk) -> usize {
    let group = |(alike, nodes): &(Entry, Vec<SocketAddr>)| {
        entry(alike) + 2 + nodes.iter().copied().map(address).sum::<usize>()
    };
    chunk.alike.iter().map(group).sum()
}

/// A digest's, with its changes.
pub fn digest(digest: &Digest) -> usize {
    let marks: usize = digest.watermarks.iter().map(|mark| 1 + mark.map_or(0, span)).sum();
    let revisions: usize = digest.revisions.iter().map(|revision| number(u64::from(revision.0))).sum();
    let changes: usize = digest.changes.iter().map(change).sum();
    // Number, the two spans that are set at each sending, lengths, routers.
    5 + 15 + 15 + marks + 2 + revisions + 2 + changes + span(digest.period) + 5
}
