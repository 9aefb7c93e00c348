//! How many bytes what is said takes at the most, so that it fits a datagram. Counted for postcard's format, in which
//! a number takes a byte for each seven bits.

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{Change, Digest, Entry};

/// What a datagram of 1200 bytes leaves for a digest or a chunk: without head and hash (55), the name (33), the start
/// (10), and some to spare.
pub const ROOM: usize = 1090;

fn number(value: u64) -> usize {
    (64 - (value | 1).leading_zeros() as usize).div_ceil(7)
}

fn span(span: Duration) -> usize {
    number(span.as_secs()) + number(u64::from(span.subsec_nanos()))
}

fn address(node: SocketAddr) -> usize {
    1 + if node.is_ipv4() { 4 } else { 16 } + number(u64::from(node.port()))
}

/// Role, start, standing.
fn standing(started: Option<Duration>) -> usize {
    2 + 1 + started.map_or(0, span) + 2
}

pub fn entry(entry: &Entry) -> usize {
    address(entry.node) + standing(entry.started)
}

pub fn change(change: &Change) -> usize {
    let entry = change.entry.map_or(0, |(_, started, _)| standing(started));
    number(u64::from(change.revision.0)) + address(change.node) + 1 + entry
}

/// A digest's, with its changes.
pub fn digest(digest: &Digest) -> usize {
    let marks: usize = digest.watermarks.iter().map(|mark| 1 + mark.map_or(0, span)).sum();
    let revisions: usize = digest.revisions.iter().map(|revision| number(u64::from(revision.0))).sum();
    let changes: usize = digest.changes.iter().map(change).sum();
    // Number, the two spans that are set at each sending, lengths, routers.
    5 + 15 + 15 + marks + 2 + revisions + 2 + changes + span(digest.period) + 5
}
