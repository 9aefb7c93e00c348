//! Splits a partition's snapshot into chunks that each fit into a datagram.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::encoded_size;
use crate::message::{Entry, MAX_ENTRIES_PER_CHUNK, PartitionId, Revision, SnapshotChunk};

type EntryGroup = (Entry, Vec<SocketAddr>);

/// Maximum encoded size of the number of databases in a group.
const GROUP_LENGTH_BYTES: usize = 2;

/// Builds the chunks of a snapshot with these entries.
pub(super) fn chunks(
    partition: PartitionId,
    revision: Revision,
    entries: impl Iterator<Item = (SocketAddr, Entry)>,
) -> Vec<SnapshotChunk> {
    let mut groups: BTreeMap<Entry, Vec<SocketAddr>> = BTreeMap::new();
    for (node, entry) in entries {
        groups.entry(entry).or_default().push(node);
    }
    let mut builder = ChunkBuilder::new();
    for (entry, nodes) in groups {
        builder.add_group(entry, nodes);
    }
    let chunk_count = builder.chunks.len() as u16;
    (0..)
        .zip(builder.chunks)
        .map(|(index, groups)| SnapshotChunk { partition, revision, index, chunk_count, groups })
        .collect()
}

struct ChunkBuilder {
    /// Never empty; entries are added to the last one.
    chunks: Vec<Vec<EntryGroup>>,
    free_bytes: usize,
    entry_count: usize,
}

impl ChunkBuilder {
    fn new() -> Self {
        Self { chunks: vec![Vec::new()], free_bytes: encoded_size::MAX_PAYLOAD_BYTES, entry_count: 0 }
    }

    /// Adds databases that share an entry. The entry is repeated in each chunk that contains some of them.
    fn add_group(&mut self, entry: Entry, nodes: Vec<SocketAddr>) {
        let header_bytes = encoded_size::entry(&entry) + GROUP_LENGTH_BYTES;
        let mut is_group_open = false;
        for node in nodes {
            let bytes = encoded_size::address(node) + if is_group_open { 0 } else { header_bytes };
            if bytes > self.free_bytes || self.entry_count >= MAX_ENTRIES_PER_CHUNK {
                self.begin_chunk(header_bytes);
                is_group_open = false;
            }
            self.free_bytes = self.free_bytes.saturating_sub(bytes);
            self.entry_count += 1;
            let Some(chunk) = self.chunks.last_mut() else { continue };
            match chunk.last_mut() {
                Some((_, group)) if is_group_open => group.push(node),
                _ => chunk.push((entry, vec![node])),
            }
            is_group_open = true;
        }
    }

    fn begin_chunk(&mut self, header_bytes: usize) {
        self.chunks.push(Vec::new());
        self.free_bytes = encoded_size::MAX_PAYLOAD_BYTES - header_bytes;
        self.entry_count = 0;
    }
}
