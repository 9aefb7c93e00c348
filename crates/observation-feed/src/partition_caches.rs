//! A router's cache of all partitions of one publisher incarnation.

use std::net::SocketAddr;
use std::time::Duration;

use crate::host::FeedObservation;
use crate::message::{Change, PARTITIONS, PartitionId, Revision, SnapshotChunk};
pub use crate::partition_cache::Coverage;
use crate::partition_cache::PartitionCache;

/// The caches of all partitions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartitionCaches {
    partitions: Vec<PartitionCache>,
}

/// The number of items in a cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheSize {
    /// Databases with an entry.
    pub nodes: usize,
    /// Entries in partially received snapshots.
    pub pending_entries: usize,
}

impl Default for PartitionCaches {
    fn default() -> Self {
        Self { partitions: (0..PARTITIONS).map(|_| PartitionCache::default()).collect() }
    }
}

impl PartitionCaches {
    /// Applies changes in the order of their revisions. A change is ignored unless its revision directly
    /// follows that of its partition. `seen_at` is the date of the digest that contained the changes. Returns
    /// the databases whose role, failure or start has changed.
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

    /// Dates the partitions whose revisions match those in a digest. Returns the databases of newly installed
    /// snapshots whose role, failure or start the router should learn at once.
    pub fn cover(&mut self, revisions: &[Revision], coverage: Coverage) -> Vec<SocketAddr> {
        let partitions = self.partitions.iter_mut().zip(revisions);
        partitions.flat_map(|(partition, revision)| partition.cover(*revision, coverage)).collect()
    }

    /// Stores a chunk until its snapshot is complete, then installs the snapshot. An invalid chunk is
    /// ignored.
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

    /// Whether each partition has been covered by a digest.
    pub fn is_complete(&self) -> bool {
        self.partitions.iter().all(PartitionCache::is_covered)
    }

    /// What the caches know about a database.
    pub fn observation(&self, node: SocketAddr) -> Option<FeedObservation> {
        self.partitions[PartitionId::of(node).index()].observation(node)
    }

    /// Approximate memory in bytes.
    pub fn state_bytes(&self) -> usize {
        size_of::<Self>() + self.partitions.iter().map(PartitionCache::state_bytes).sum::<usize>()
    }

    /// The number of items in the caches.
    pub fn size(&self) -> CacheSize {
        CacheSize {
            nodes: self.partitions.iter().map(PartitionCache::node_count).sum(),
            pending_entries: self.partitions.iter().map(PartitionCache::pending_entry_count).sum(),
        }
    }
}
