//! One partition of a router's replica of one publisher: its entries at a revision, and how they are dated.
//!
//! A digest covers a partition only if the replica has the revision that it names. What is covered is dated by the
//! digest; the rest keeps its date. So whatever is missed makes observations older and never fresher.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::host::FeedObservation;
use crate::message::{
    Change, DigestNumber, Entry, LAG_CLASSES, LagClass, NodeStatus, PartitionId, Revision, SnapshotChunk,
};

/// The most databases that are kept of a partition, and of a snapshot that is arriving.
const MAX_NODES_PER_PARTITION: usize = 2048;

/// What a digest says of all databases that are `Seen`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Coverage {
    /// The digest's number.
    pub number: DigestNumber,
    /// When each had been seen last, at the earliest, on the router's clock.
    pub seen_at: Duration,
    /// The digest's watermarks.
    pub watermarks: [Option<Duration>; LAG_CLASSES],
}

/// When a database was last seen at the earliest, and the position that it had applied by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Dating {
    seen_at: Duration,
    position: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CachedNode {
    entry: Entry,
    /// The last digest before the entry: only a later one covers it.
    recorded_after: Option<DigestNumber>,
    /// The date before the entry; of one that is down the date of its failure.
    previous: Option<Dating>,
}

/// A snapshot that is arriving: its chunks by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ArrivingSnapshot {
    revision: Revision,
    chunk_count: u16,
    chunks: BTreeMap<u16, Vec<(SocketAddr, Entry)>>,
}

impl ArrivingSnapshot {
    fn entry_count(&self) -> usize {
        self.chunks.values().map(Vec::len).sum()
    }
}

/// A router's replica of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PartitionCache {
    revision: Revision,
    nodes: BTreeMap<SocketAddr, CachedNode>,
    coverage: Option<Coverage>,
    /// A snapshot was taken over, and no digest has covered it since.
    awaits_coverage: bool,
    arriving: Option<ArrivingSnapshot>,
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

    /// How many databases are kept.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// How many entries wait for the rest of their snapshot.
    pub(crate) fn pending_entry_count(&self) -> usize {
        self.arriving.as_ref().map_or(0, ArrivingSnapshot::entry_count)
    }

    /// About the bytes that it holds on the heap, and itself.
    pub(crate) fn state_bytes(&self) -> usize {
        size_of::<Self>()
            + self.node_count() * size_of::<(SocketAddr, CachedNode)>()
            + self.pending_entry_count() * size_of::<(SocketAddr, Entry)>()
    }

    /// What is known of a database.
    pub(crate) fn observation(&self, node: SocketAddr) -> Option<FeedObservation> {
        let cached = self.nodes.get(&node)?;
        let Dating { seen_at, position } = self.dating(cached)?;
        let Entry { primary, started, status } = cached.entry;
        let failed = status == NodeStatus::Down;
        let position = position.filter(|_| !failed);
        Some(FeedObservation { node, seen_at, position, primary, started, failed })
    }

    fn dating(&self, cached: &CachedNode) -> Option<Dating> {
        match (cached.entry.status, self.coverage) {
            (NodeStatus::Seen(LagClass(class)), Some(coverage))
                if cached.recorded_after < Some(coverage.number) =>
            {
                let position = coverage.watermarks.get(usize::from(class)).copied().flatten();
                Some(Dating { seen_at: coverage.seen_at, position })
            }
            _ => cached.previous,
        }
    }

    /// Replaces a database's entry; its date stays until a later digest covers the new one.
    fn set_entry(&mut self, node: SocketAddr, entry: Entry) {
        let previous = self.nodes.get(&node).and_then(|cached| self.dating(cached));
        let recorded_after = self.coverage.map(|coverage| coverage.number);
        self.nodes.insert(node, CachedNode { entry, recorded_after, previous });
    }

    /// Takes a change if it is the next one. Returns whether the database's role, failure or start has changed.
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
            cached.previous = Some(Dating { seen_at, position: None });
        }
        former.is_none_or(|former| differs_by_name(former, entry))
    }

    /// Dates the entries by a digest that names this revision. Returns the databases of a new snapshot whose role, failure
    /// or start the router should learn at once.
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
                cached.previous = Some(Dating { seen_at: coverage.seen_at, position: None });
            }
            if is_down || primary == Some(true) || started.is_some() {
                notable.push(*node);
            }
        }
        notable
    }

    /// Keeps a chunk until all of its revision have arrived, and then takes the snapshot over. A chunk of an earlier
    /// revision, with databases of other partitions or unlike the others changes nothing.
    pub(crate) fn add_chunk(&mut self, chunk: SnapshotChunk) {
        if !self.is_acceptable(&chunk) {
            return;
        }
        let SnapshotChunk { revision, index, chunk_count, groups, .. } = chunk;
        match &self.arriving {
            Some(arriving) if arriving.revision == revision && arriving.chunk_count == chunk_count => {}
            Some(arriving) if arriving.revision > revision => return,
            _ => self.arriving = Some(ArrivingSnapshot { revision, chunk_count, chunks: BTreeMap::new() }),
        }
        let Some(arriving) = &mut self.arriving else { return };
        let entries: Vec<(SocketAddr, Entry)> = groups
            .into_iter()
            .flat_map(|(entry, nodes)| nodes.into_iter().map(move |node| (node, entry)))
            .collect();
        if arriving.entry_count() + entries.len() > MAX_NODES_PER_PARTITION {
            self.arriving = None;
            return;
        }
        arriving.chunks.insert(index, entries);
        if arriving.chunks.len() == usize::from(chunk_count) {
            let entries = std::mem::take(&mut arriving.chunks).into_values().flatten().collect();
            self.arriving = None;
            self.take_over(revision, entries);
        }
    }

    fn is_acceptable(&self, chunk: &SnapshotChunk) -> bool {
        let mut nodes = chunk.groups.iter().flat_map(|(_, nodes)| nodes);
        nodes.all(|node| PartitionId::of(*node) == chunk.partition)
            && chunk.index < chunk.chunk_count
            && usize::from(chunk.chunk_count) <= MAX_NODES_PER_PARTITION
            && chunk.revision > self.revision
    }

    fn take_over(&mut self, revision: Revision, entries: BTreeMap<SocketAddr, Entry>) {
        self.nodes.retain(|node, _| entries.contains_key(node));
        for (node, entry) in entries {
            // An entry that has not changed keeps its date.
            if self.nodes.get(&node).is_some_and(|cached| cached.entry == entry) {
                continue;
            }
            self.set_entry(node, entry);
            if entry.status == NodeStatus::Down
                && let Some(cached) = self.nodes.get_mut(&node)
            {
                // Dated by the first digest that covers it.
                cached.previous = None;
            }
        }
        self.revision = revision;
        self.awaits_coverage = true;
    }
}

/// Whether an entry says more than the former one apart from its lag: another role, failure or start.
fn differs_by_name(former: Entry, entry: Entry) -> bool {
    let has_new_start = entry.started.is_some() && entry.started != former.started;
    let was_down = former.status == NodeStatus::Down;
    let is_down = entry.status == NodeStatus::Down;
    former.primary != entry.primary || was_down != is_down || has_new_start
}
