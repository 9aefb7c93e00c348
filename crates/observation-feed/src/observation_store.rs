//! What a control instance knows of each database, and the snapshots of the partitions that it publishes.
//!
//! The snapshots change only in [`ObservationStore::update_snapshots`], right before a digest, and by no more than that digest can
//! carry. So a chunk and a digest of the same revision say the same, whichever arrives first, and a burst of changes is
//! published in order instead of making every replica useless at once. What has to wait does no harm: a database that is
//! better than its entry says is an exception a little longer; a partition with one that is silent although its entry says
//! `Seen` is not covered until its turn comes.

mod change_log;
mod node_record;
mod snapshot;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::TimestampedObservation;

use self::change_log::{ChangeLog, LoggedChange};
pub use self::node_record::START_TIME_PUBLISHED_FOR;
use self::node_record::{DesiredChange, NodeRecord, Urgency};
use crate::encoded_size;
use crate::message::{
    Change, Digest, Entry, LAG_CLASSES, LagClass, MAX_CHANGES_PER_DIGEST, PARTITIONS, PartitionId, Revision,
    SnapshotChunk,
};
use crate::sorted_table::SortedTable;

/// A database that has been silent for this many periods is `Unseen` in any case, so that it does not age the others. One
/// whose health checker has died is seen by its successor within two and a half.
const MAX_SILENT_PERIODS: u32 = 4;
/// A database that is later than this many periods is `Unseen` sooner, while no more than `MAX_LATE_NODES` are.
const LATE_PERIODS: f64 = 1.5;
const MAX_LATE_NODES: usize = 8;

/// Whether any router receives the digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriberPresence {
    /// Changes have to reach subscribers.
    Present,
    /// Nobody has a replica: all changes are taken at once.
    Absent,
}

#[derive(Default)]
struct Partition {
    revision: Revision,
    nodes: SortedTable<SocketAddr, NodeRecord>,
    /// Not covered by digests: a database is published as seen but silent, and that change still waits.
    is_withheld: bool,
}

impl Partition {
    /// Nobody has a replica of it yet: its first revision takes all entries.
    fn is_new(&self) -> bool {
        self.revision == Revision::default()
    }
}

/// A change that waits for its turn.
struct QueuedChange {
    urgency: Urgency,
    /// The partition's place in this revision's order.
    turn: usize,
    partition: usize,
    node: SocketAddr,
    entry: Option<Entry>,
}

/// A publisher's knowledge of all databases.
pub struct ObservationStore {
    health_check_period: Duration,
    partitions: Vec<Partition>,
    change_log: ChangeLog,
    /// The partition that goes first in the next revision; moves on with each, so that none waits for ever.
    first_partition: usize,
}

impl ObservationStore {
    /// `health_check_period`: how often each database is checked by all control instances together. The first revision
    /// begins with `first_partition`, of any size.
    pub fn new(health_check_period: Duration, first_partition: usize) -> Self {
        Self {
            health_check_period,
            partitions: (0..PARTITIONS).map(|_| Partition::default()).collect(),
            change_log: ChangeLog::default(),
            first_partition: first_partition % PARTITIONS,
        }
    }

    /// The databases on the endpoint list; nothing is kept of any other once its removal is published.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        for partition in &mut self.partitions {
            for (node, record) in partition.nodes.iter_mut() {
                record.is_removed = !nodes.contains(node);
            }
            partition.nodes.retain(|_, record| !record.is_removed || record.published.is_some());
        }
        let mut nodes_by_partition: Vec<Vec<SocketAddr>> = vec![Vec::new(); PARTITIONS];
        for node in nodes {
            nodes_by_partition[PartitionId::of(*node).index()].push(*node);
        }
        for (partition, nodes) in self.partitions.iter_mut().zip(nodes_by_partition) {
            partition.nodes.insert_missing(nodes, || NodeRecord::new(now));
        }
    }

    /// Takes an observation. One that is older than what is known changes nothing.
    pub fn observe(&mut self, now: Duration, observation: TimestampedObservation) {
        let partition = &mut self.partitions[PartitionId::of(observation.node).index()];
        if let Some(record) = partition.nodes.get_mut(&observation.node) {
            record.observe(now, observation);
        }
    }

    /// Takes into the snapshots what has changed, as far as `max_bytes` of a digest can carry it. Returns whether any
    /// change has to wait.
    pub fn update_snapshots(
        &mut self,
        now: Duration,
        max_bytes: usize,
        subscriber_presence: SubscriberPresence,
    ) -> bool {
        let mut changes = self.queued_changes(now);
        changes.sort_by_key(|change| (change.urgency, change.turn));
        self.first_partition = (self.first_partition + 1) % PARTITIONS;
        let has_backlog = self.apply_changes(changes, max_bytes, subscriber_presence);
        let withheld_after = self.health_check_period * MAX_SILENT_PERIODS;
        for partition in &mut self.partitions {
            if partition.is_new() {
                partition.revision = Revision(1);
            }
            let mut records = partition.nodes.values();
            partition.is_withheld = records.any(|record| record.is_wrongly_published(now, withheld_after));
        }
        self.change_log.trim();
        has_backlog
    }

    /// After which silence a database is unseen. The few that are later than all others are published by name; where many
    /// are late, that is the normal delay here.
    fn max_silence(&self, now: Duration) -> Duration {
        let late = self.health_check_period.mul_f64(LATE_PERIODS);
        let records = self.partitions.iter().flat_map(|partition| partition.nodes.values());
        let late_nodes = records.filter(|record| record.is_overdue(now, late)).count();
        if late_nodes <= MAX_LATE_NODES { late } else { self.health_check_period * MAX_SILENT_PERIODS }
    }

    fn queued_changes(&mut self, now: Duration) -> Vec<QueuedChange> {
        let max_silence = self.max_silence(now);
        let mut changes = Vec::new();
        for turn in 0..PARTITIONS {
            let partition = (self.first_partition + turn) % PARTITIONS;
            for (node, record) in self.partitions[partition].nodes.iter_mut() {
                let desired = record.desired_change(now, max_silence, self.health_check_period);
                if let Some(DesiredChange { urgency, entry }) = desired {
                    changes.push(QueuedChange { urgency, turn, partition, node: *node, entry });
                }
            }
        }
        changes
    }

    fn apply_changes(
        &mut self,
        changes: Vec<QueuedChange>,
        max_bytes: usize,
        subscriber_presence: SubscriberPresence,
    ) -> bool {
        let mut free_bytes = max_bytes;
        let mut change_count = 0;
        let mut has_backlog = false;
        for QueuedChange { partition, node, entry, .. } in changes {
            let partition = &mut self.partitions[partition];
            let is_unbounded = partition.is_new() || subscriber_presence == SubscriberPresence::Absent;
            let change = Change { revision: Revision(partition.revision.0 + 1), node, entry };
            let bytes = encoded_size::change(&change);
            if !is_unbounded && (bytes > free_bytes || change_count >= MAX_CHANGES_PER_DIGEST) {
                has_backlog = true;
                continue;
            }
            match (entry, partition.nodes.get_mut(&node)) {
                (Some(entry), Some(record)) => record.publish(entry),
                _ => partition.nodes.remove(&node),
            }
            if partition.is_new() {
                continue;
            }
            partition.revision = change.revision;
            if subscriber_presence == SubscriberPresence::Present {
                free_bytes -= bytes;
                change_count += 1;
                self.change_log.push(change);
            }
        }
        has_backlog
    }

    /// The changes for a digest that has room for `max_bytes` of them. They count as sent.
    pub fn take_changes(&mut self, max_bytes: usize) -> Vec<Change> {
        self.change_log.take(max_bytes)
    }

    /// Sets what holds at this moment of all databases that are seen in the partitions that the digest covers: the send
    /// time, the age of the oldest, and the lowest position of each lag class.
    pub fn fill_digest(&self, now: Duration, digest: &mut Digest) {
        let mut watermarks: [Option<Duration>; LAG_CLASSES] = [None; LAG_CLASSES];
        let mut oldest = now;
        let partitions = self.partitions.iter().zip(&digest.revisions);
        let covered = partitions.filter(|(_, revision)| **revision != Revision::default());
        for record in covered.flat_map(|(partition, _)| partition.nodes.values()) {
            if let Some(LagClass(class)) = record.published_class()
                && let (Some(answered_at), Some(position)) = (record.answered_at, record.position)
            {
                oldest = oldest.min(answered_at);
                let watermark = &mut watermarks[usize::from(class)];
                *watermark = Some(watermark.map_or(position, |lowest| lowest.min(position)));
            }
        }
        digest.sent = now;
        digest.age = now.saturating_sub(oldest);
        digest.watermarks = watermarks;
    }

    /// The revisions for a digest: the default where it does not cover the partition.
    pub fn revisions(&self) -> Vec<Revision> {
        let revision = |partition: &Partition| match partition.is_withheld {
            true => Revision::default(),
            false => partition.revision,
        };
        self.partitions.iter().map(revision).collect()
    }

    /// The highest revisions that the partitions can have after the next `update_snapshots`.
    pub fn highest_revisions(&self) -> Vec<Revision> {
        let highest = |partition: &Partition| Revision(partition.revision.0 + MAX_CHANGES_PER_DIGEST as u32);
        self.partitions.iter().map(highest).collect()
    }

    /// The snapshot of a partition in chunks that fit a datagram each. None before the first revision.
    pub fn snapshot(&self, id: PartitionId) -> Vec<SnapshotChunk> {
        let Some(partition) = self.partitions.get(id.index()).filter(|partition| !partition.is_new()) else {
            return Vec::new();
        };
        let records = partition.nodes.iter();
        let entries = records.filter_map(|(node, record)| Some((*node, record.published?)));
        snapshot::chunks(id, partition.revision, entries)
    }

    /// About the bytes that it holds on the heap.
    pub fn state_bytes(&self) -> usize {
        self.partitions.len() * size_of::<Partition>()
            + self.len() * size_of::<(SocketAddr, NodeRecord)>()
            + self.change_log.len() * size_of::<LoggedChange>()
    }

    /// How many databases are kept.
    pub fn len(&self) -> usize {
        self.partitions.iter().map(|partition| partition.nodes.len()).sum()
    }

    /// Whether no database is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
