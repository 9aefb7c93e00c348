//! What a control instance knows about each database, and the partition snapshots that it publishes.
//!
//! The snapshots change only in [`ObservationStore::update_snapshots`], right before a digest is built, and
//! by no more than that digest can carry. A chunk and a digest of the same revision are therefore consistent,
//! whichever arrives first, and a burst of changes is published step by step instead of invalidating every
//! router's cache at once. Deferring a change is safe: a database in a better state than its entry says
//! remains an exception a little longer, and a partition with a silent database whose entry still says `Seen`
//! is not covered by digests until the change is published.

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

/// A database that has been silent for this many health check periods is always `Unseen`, so that it does not
/// increase the digest's age for all other databases. A database whose checking control instance has died is
/// seen by the next owner within two and a half periods.
const MAX_SILENT_PERIODS: u32 = 4;
/// A database that has been silent for this many periods is already `Unseen` if no more than `MAX_LATE_NODES`
/// databases are that late.
const LATE_PERIODS: f64 = 1.5;
const MAX_LATE_NODES: usize = 8;

/// Whether any router is subscribed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriberPresence {
    /// Changes have to be sent to the subscribers, and are limited to what a digest can carry.
    Present,
    /// No router has a cache that has to follow, so all changes are applied at once.
    Absent,
}

#[derive(Default)]
struct Partition {
    revision: Revision,
    nodes: SortedTable<SocketAddr, NodeRecord>,
    /// Not covered by digests: a database is published as seen but has become silent, and that change is
    /// still queued.
    is_withheld: bool,
}

impl Partition {
    /// No router has a cache of it yet, so its first revision takes all entries.
    fn is_new(&self) -> bool {
        self.revision == Revision::default()
    }
}

/// A change that has not been applied to the snapshot yet.
struct QueuedChange {
    urgency: Urgency,
    /// The partition's position in the order of this update.
    partition_order: usize,
    partition: usize,
    node: SocketAddr,
    entry: Option<Entry>,
}

/// A publisher's observations of all databases, and the snapshots made from them.
pub struct ObservationStore {
    health_check_period: Duration,
    partitions: Vec<Partition>,
    change_log: ChangeLog,
    /// The partition that goes first in the next update; advances with each update, so that no partition
    /// starves.
    first_partition: usize,
}

impl ObservationStore {
    /// `health_check_period` is the interval at which each database is checked, by all control instances
    /// together. The first update begins with partition `first_partition`, taken modulo the number of
    /// partitions.
    pub fn new(health_check_period: Duration, first_partition: usize) -> Self {
        Self {
            health_check_period,
            partitions: (0..PARTITIONS).map(|_| Partition::default()).collect(),
            change_log: ChangeLog::default(),
            first_partition: first_partition % PARTITIONS,
        }
    }

    /// Sets the databases on the endpoint list. Other databases are dropped once their removal has been
    /// published.
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

    /// Records an observation. One that is older than the database's last answer is ignored.
    pub fn observe(&mut self, now: Duration, observation: TimestampedObservation) {
        let partition = &mut self.partitions[PartitionId::of(observation.node).index()];
        if let Some(record) = partition.nodes.get_mut(&observation.node) {
            record.observe(now, observation);
        }
    }

    /// Applies pending changes to the snapshots, as far as they fit into `max_bytes` of a digest. Returns
    /// whether any change had to be deferred.
    pub fn update_snapshots(
        &mut self,
        now: Duration,
        max_bytes: usize,
        subscriber_presence: SubscriberPresence,
    ) -> bool {
        let mut changes = self.queued_changes(now);
        changes.sort_by_key(|change| (change.urgency, change.partition_order));
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

    /// The time without an answer after which a database is unseen. A few late databases become exceptions
    /// early; if many are late, the delay is taken for normal.
    fn max_silence(&self, now: Duration) -> Duration {
        let late = self.health_check_period.mul_f64(LATE_PERIODS);
        let records = self.partitions.iter().flat_map(|partition| partition.nodes.values());
        let late_nodes = records.filter(|record| record.is_overdue(now, late)).count();
        if late_nodes <= MAX_LATE_NODES { late } else { self.health_check_period * MAX_SILENT_PERIODS }
    }

    fn queued_changes(&mut self, now: Duration) -> Vec<QueuedChange> {
        let max_silence = self.max_silence(now);
        let mut changes = Vec::new();
        for partition_order in 0..PARTITIONS {
            let partition = (self.first_partition + partition_order) % PARTITIONS;
            for (node, record) in self.partitions[partition].nodes.iter_mut() {
                let desired = record.desired_change(now, max_silence, self.health_check_period);
                if let Some(DesiredChange { urgency, entry }) = desired {
                    changes.push(QueuedChange { urgency, partition_order, partition, node: *node, entry });
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

    /// Returns the changes for a digest that has `max_bytes` left for them, and counts them as sent.
    pub fn take_changes(&mut self, max_bytes: usize) -> Vec<Change> {
        self.change_log.take(max_bytes)
    }

    /// Sets the fields that depend on the time of sending: the send time, and over all seen databases of the
    /// covered partitions the age of the oldest observation and the lowest log position of each lag class.
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

    /// The revisions for a digest; the default for partitions that it does not cover.
    pub fn revisions(&self) -> Vec<Revision> {
        let revision = |partition: &Partition| match partition.is_withheld {
            true => Revision::default(),
            false => partition.revision,
        };
        self.partitions.iter().map(revision).collect()
    }

    /// The highest revisions that the partitions can have after the next [`Self::update_snapshots`].
    pub fn highest_revisions(&self) -> Vec<Revision> {
        let highest = |partition: &Partition| Revision(partition.revision.0 + MAX_CHANGES_PER_DIGEST as u32);
        self.partitions.iter().map(highest).collect()
    }

    /// The snapshot of a partition, in chunks that each fit into a datagram. Empty before the first revision.
    pub fn snapshot(&self, id: PartitionId) -> Vec<SnapshotChunk> {
        let Some(partition) = self.partitions.get(id.index()).filter(|partition| !partition.is_new()) else {
            return Vec::new();
        };
        let records = partition.nodes.iter();
        let entries = records.filter_map(|(node, record)| Some((*node, record.published?)));
        snapshot::chunks(id, partition.revision, entries)
    }

    /// Approximate heap memory in bytes.
    pub fn state_bytes(&self) -> usize {
        self.partitions.len() * size_of::<Partition>()
            + self.len() * size_of::<(SocketAddr, NodeRecord)>()
            + self.change_log.len() * size_of::<LoggedChange>()
    }

    /// Number of databases in the store.
    pub fn len(&self) -> usize {
        self.partitions.iter().map(|partition| partition.nodes.len()).sum()
    }

    /// Whether the store has no databases.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
