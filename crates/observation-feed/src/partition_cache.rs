//! A router's cache of one partition of a publisher's snapshot: the entries at one revision, and the times
//! that apply to them.
//!
//! A digest covers a partition only if the cache has the revision that the digest names. The digest dates the
//! entries that it covers; the others keep their dates. Lost messages therefore make observations older,
//! never fresher.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::host::FeedObservation;
use crate::message::{
    Change, DigestNumber, Entry, LAG_CLASSES, LagClass, NodeStatus, PartitionId, Revision, SnapshotChunk,
};

/// Maximum number of databases kept for a partition, and for a partially received snapshot.
const MAX_NODES_PER_PARTITION: usize = 2048;

/// What a digest states about all databases that are `Seen`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Coverage {
    /// The digest's number.
    pub number: DigestNumber,
    /// The earliest time at which any of them was last seen, on the router's clock.
    pub seen_at: Duration,
    /// The digest's watermarks.
    pub watermarks: [Option<Duration>; LAG_CLASSES],
}

/// The earliest time at which a database was last seen, and the log position that it had applied by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LastSeen {
    seen_at: Duration,
    position: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CachedNode {
    entry: Entry,
    /// The last digest before the entry was set: only a later digest covers the entry.
    recorded_after: Option<DigestNumber>,
    /// What applied before the entry was set; for a database that is down, the time of its failure.
    previous: Option<LastSeen>,
}

/// A partially received snapshot: its chunks by index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PartialSnapshot {
    revision: Revision,
    chunk_count: u16,
    chunks: BTreeMap<u16, Vec<(SocketAddr, Entry)>>,
}

impl PartialSnapshot {
    fn entry_count(&self) -> usize {
        self.chunks.values().map(Vec::len).sum()
    }
}

/// A router's cache of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PartitionCache {
    revision: Revision,
    nodes: BTreeMap<SocketAddr, CachedNode>,
    coverage: Option<Coverage>,
    /// A snapshot was installed and no digest has covered it yet.
    awaits_coverage: bool,
    partial_snapshot: Option<PartialSnapshot>,
}

impl PartitionCache {
    /// The revision of the entries; the default before the first snapshot.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether a digest has ever covered the partition.
    pub(crate) fn is_covered(&self) -> bool {
        self.coverage.is_some()
    }

    /// Number of cached databases.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Number of entries in a partially received snapshot.
    pub(crate) fn pending_entry_count(&self) -> usize {
        self.partial_snapshot.as_ref().map_or(0, PartialSnapshot::entry_count)
    }

    /// Approximate memory in bytes, including this struct.
    pub(crate) fn state_bytes(&self) -> usize {
        size_of::<Self>()
            + self.node_count() * size_of::<(SocketAddr, CachedNode)>()
            + self.pending_entry_count() * size_of::<(SocketAddr, Entry)>()
    }

    /// What the cache knows about a database; `None` if no digest has covered its entry.
    pub(crate) fn observation(&self, node: SocketAddr) -> Option<FeedObservation> {
        let cached = self.nodes.get(&node)?;
        let LastSeen { seen_at, position } = self.last_seen(cached)?;
        let Entry { primary, started, status } = cached.entry;
        let failed = status == NodeStatus::Down;
        let position = position.filter(|_| !failed);
        Some(FeedObservation { node, seen_at, position, primary, started, failed })
    }

    fn last_seen(&self, cached: &CachedNode) -> Option<LastSeen> {
        match (cached.entry.status, self.coverage) {
            (NodeStatus::Seen(LagClass(class)), Some(coverage))
                if cached.recorded_after < Some(coverage.number) =>
            {
                let position = coverage.watermarks.get(usize::from(class)).copied().flatten();
                Some(LastSeen { seen_at: coverage.seen_at, position })
            }
            _ => cached.previous,
        }
    }

    /// Replaces a database's entry. It keeps its date until a later digest covers the new entry.
    fn set_entry(&mut self, node: SocketAddr, entry: Entry) {
        let previous = self.nodes.get(&node).and_then(|cached| self.last_seen(cached));
        let recorded_after = self.coverage.map(|coverage| coverage.number);
        self.nodes.insert(node, CachedNode { entry, recorded_after, previous });
    }

    /// Applies a change if its revision is the next one. Returns whether the database's role, failure or
    /// start has changed.
    pub(crate) fn apply_change(&mut self, change: Change, seen_at: Duration) -> bool {
        let Change { revision, node, entry } = change;
        let has_snapshot = self.revision != Revision::default();
        if !has_snapshot || Revision(self.revision.0.wrapping_add(1)) != revision {
            return false;
        }
        self.revision = revision;
        let Some(entry) = entry else {
            self.nodes.remove(&node);
            return false;
        };
        let former = self.nodes.get(&node).map(|cached| cached.entry);
        if former.is_none() && self.nodes.len() >= MAX_NODES_PER_PARTITION {
            return false;
        }
        self.set_entry(node, entry);
        if entry.status == NodeStatus::Down
            && let Some(cached) = self.nodes.get_mut(&node)
        {
            cached.previous = Some(LastSeen { seen_at, position: None });
        }
        former.is_none_or(|former| is_notable_change(former, entry))
    }

    /// Dates the entries by a digest that names this cache's revision. Returns the databases of a newly
    /// installed snapshot whose role, failure or start the router should learn at once.
    pub(crate) fn cover(&mut self, revision: Revision, coverage: Coverage) -> Vec<SocketAddr> {
        if revision == Revision::default() || self.revision != revision {
            return Vec::new();
        }
        self.coverage = Some(coverage);
        if !self.awaits_coverage {
            return Vec::new();
        }
        self.awaits_coverage = false;
        let mut notable = Vec::new();
        for (node, cached) in &mut self.nodes {
            let Entry { primary, started, status } = cached.entry;
            let is_down = status == NodeStatus::Down;
            if is_down && cached.previous.is_none() {
                cached.previous = Some(LastSeen { seen_at: coverage.seen_at, position: None });
            }
            if is_down || primary == Some(true) || started.is_some() {
                notable.push(*node);
            }
        }
        notable
    }

    /// Stores a chunk until all chunks of its revision have arrived, then installs the snapshot. A chunk of
    /// an earlier revision, or with an invalid index or databases of other partitions, is ignored.
    pub(crate) fn add_chunk(&mut self, chunk: SnapshotChunk) {
        if !self.is_acceptable(&chunk) {
            return;
        }
        let SnapshotChunk { revision, index, chunk_count, groups, .. } = chunk;
        match &self.partial_snapshot {
            Some(partial) if partial.revision == revision && partial.chunk_count == chunk_count => {}
            Some(partial) if partial.revision > revision => return,
            _ => {
                self.partial_snapshot =
                    Some(PartialSnapshot { revision, chunk_count, chunks: BTreeMap::new() })
            }
        }
        let Some(partial) = &mut self.partial_snapshot else { return };
        let entries: Vec<(SocketAddr, Entry)> = groups
            .into_iter()
            .flat_map(|(entry, nodes)| nodes.into_iter().map(move |node| (node, entry)))
            .collect();
        if partial.entry_count() + entries.len() > MAX_NODES_PER_PARTITION {
            self.partial_snapshot = None;
            return;
        }
        partial.chunks.insert(index, entries);
        if partial.chunks.len() == usize::from(chunk_count) {
            let entries = std::mem::take(&mut partial.chunks).into_values().flatten().collect();
            self.partial_snapshot = None;
            self.install_snapshot(revision, entries);
        }
    }

    fn is_acceptable(&self, chunk: &SnapshotChunk) -> bool {
        let mut nodes = chunk.groups.iter().flat_map(|(_, nodes)| nodes);
        nodes.all(|node| PartitionId::of(*node) == chunk.partition)
            && chunk.index < chunk.chunk_count
            && usize::from(chunk.chunk_count) <= MAX_NODES_PER_PARTITION
            && chunk.revision > self.revision
    }

    fn install_snapshot(&mut self, revision: Revision, entries: BTreeMap<SocketAddr, Entry>) {
        self.nodes.retain(|node, _| entries.contains_key(node));
        for (node, entry) in entries {
            // An unchanged entry keeps its date.
            if self.nodes.get(&node).is_some_and(|cached| cached.entry == entry) {
                continue;
            }
            self.set_entry(node, entry);
            if entry.status == NodeStatus::Down
                && let Some(cached) = self.nodes.get_mut(&node)
            {
                // Set by the first digest that covers the new snapshot.
                cached.previous = None;
            }
        }
        self.revision = revision;
        self.awaits_coverage = true;
    }
}

/// Whether the role, failure or start differs between two entries, not just the lag or whether the database
/// is seen.
fn is_notable_change(former: Entry, entry: Entry) -> bool {
    let has_new_start = entry.started.is_some() && entry.started != former.started;
    let was_down = former.status == NodeStatus::Down;
    let is_down = entry.status == NodeStatus::Down;
    former.primary != entry.primary || was_down != is_down || has_new_start
}
