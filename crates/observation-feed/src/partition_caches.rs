//! A router's replica of all partitions of one publisher's incarnation.

use std::net::SocketAddr;
use std::time::Duration;

use crate::host::FeedObservation;
use crate::message::{Change, PARTITIONS, PartitionId, Revision, SnapshotChunk};
pub use crate::partition_cache::Coverage;
use crate::partition_cache::PartitionCache;

/// The replicas of all partitions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartitionCaches {
    partitions: Vec<PartitionCache>,
}

/// How much a replica holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheSize {
    /// Databases with an entry.
    pub nodes: usize,
    /// Entries that wait for the rest of their snapshot.
    pub pending_entries: usize,
}

impl Default for PartitionCaches {
    fn default() -> Self {
        Self { partitions: (0..PARTITIONS).map(|_| PartitionCache::default()).collect() }
    }
}

impl PartitionCaches {
    /// Takes the changes that follow on the replica's revisions, in their order and none left out. `seen_at`: the date of
    /// the digest that they came with. Returns the databases whose role, failure or start has changed.
    pub fn apply_changes(&mut self, mut changes: Vec<Change>, seen_at: Duration) -> Vec<SocketAddr> {
        changes.sort_by_key(|change| change.revision);
        let mut notable = Vec::new();
        for change in changes {
            let partition = &mut self.partitions[PartitionId::of(change.node).index()];
            if partition.apply_change(change, seen_at) {
                notable.push(change.node);
            }
        }
        notable
    }

    /// Dates the partitions that have the revisions that a digest names. Returns the databases of new snapshots whose role,
    /// failure or start the router should learn at once.
    pub fn cover(&mut self, revisions: &[Revision], coverage: Coverage) -> Vec<SocketAddr> {
        let partitions = self.partitions.iter_mut().zip(revisions);
        partitions.flat_map(|(partition, revision)| partition.cover(*revision, coverage)).collect()
    }

    /// Keeps a chunk until its snapshot is complete, and then takes that over. An unacceptable chunk changes nothing.
    pub fn add_chunk(&mut self, chunk: SnapshotChunk) {
        if let Some(partition) = self.partitions.get_mut(chunk.partition.index()) {
            partition.add_chunk(chunk);
        }
    }

    /// The revision of a partition; the default before its first snapshot.
    pub fn revision(&self, partition: PartitionId) -> Revision {
        self.partitions.get(partition.index()).map_or(Revision::default(), PartitionCache::revision)
    }

    /// Whether a digest has ever covered the partition.
    pub fn is_covered(&self, partition: PartitionId) -> bool {
        self.partitions.get(partition.index()).is_some_and(PartitionCache::is_covered)
    }

    /// Whether each partition has been covered.
    pub fn is_complete(&self) -> bool {
        self.partitions.iter().all(PartitionCache::is_covered)
    }

    /// What is known of a database.
    pub fn observation(&self, node: SocketAddr) -> Option<FeedObservation> {
        self.partitions[PartitionId::of(node).index()].observation(node)
    }

    /// About the bytes that it takes.
    pub fn state_bytes(&self) -> usize {
        size_of::<Self>() + self.partitions.iter().map(PartitionCache::state_bytes).sum::<usize>()
    }

    /// How much it holds.
    pub fn size(&self) -> CacheSize {
        CacheSize {
            nodes: self.partitions.iter().map(PartitionCache::node_count).sum(),
            pending_entries: self.partitions.iter().map(PartitionCache::pending_entry_count).sum(),
        }
    }
}
