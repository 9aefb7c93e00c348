//! Which snapshots are pulled from which control instance, and when requests are repeated if no snapshot
//! arrives.

use std::time::Duration;

use rand::RngExt;

use super::Subscriber;
use super::followed_instance::FollowedInstance;
use crate::host::Host;
use crate::message::{Message, PartitionId, Revision};

/// Maximum number of partitions requested from an instance at the same time.
const MAX_IN_FLIGHT: usize = 16;
/// A request is repeated after this backoff, which doubles with each attempt.
const RETRY_BACKOFF: Duration = Duration::from_millis(600);
/// Limits the backoff, because observations of a partition whose snapshot has been lost several times grow
/// older in the meantime. Repeated requests are cheap: a publisher queues a partition once, however often it
/// is requested, and paces what it sends.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(1600);
/// Jitter reduces a backoff to no less than this fraction, which leaves 400 ms for the first answer.
const MIN_BACKOFF_FRACTION: f64 = 2.0 / 3.0;
/// A snapshot of a partition that another instance already covers is pulled after once to twice this time.
const REDUNDANT_PULL_DELAY: Duration = Duration::from_secs(3);

/// A partition whose snapshot is needed.
pub(super) struct PendingPull {
    /// When it is requested next.
    due: Duration,
    attempts: u32,
}

impl PendingPull {
    fn is_in_flight(&self, now: Duration) -> bool {
        self.attempts > 0 && self.due > now
    }
}

impl FollowedInstance {
    fn revision(&self, partition: PartitionId) -> Revision {
        self.cache.partitions().revision(partition)
    }
}

impl<H: Host> Subscriber<H> {
    /// Schedules a pull of each partition for which a digest names a later revision than the cache has.
    pub(super) fn schedule_pulls(&mut self, now: Duration, index: usize, revisions: &[Revision]) {
        // A missed change is repeated in the next digests. The snapshot is pulled only if that does not help.
        let repetition_time = self.params.digest_interval * 2;
        let followed = &mut self.followed[index];
        for (partition, revision) in (0..).map(PartitionId).zip(revisions) {
            let cached_revision = followed.revision(partition);
            if cached_revision >= *revision {
                followed.pulls.remove(&partition);
            } else {
                let delay =
                    if cached_revision == Revision::default() { Duration::ZERO } else { repetition_time };
                let due = now + delay.mul_f64(self.rng.random_range(1.0..2.0));
                followed.pulls.entry(partition).or_insert(PendingPull { due, attempts: 0 });
            }
        }
    }

    /// Requests the snapshots that are due, a limited number at a time from each instance that sends digests.
    pub(super) fn pull_snapshots(&mut self, now: Duration) {
        let max_silence = self.max_silence();
        let is_complete = self.is_complete();
        let is_active = |index: &usize| self.followed[*index].is_active(now, max_silence);
        let active: Vec<usize> = (0..self.followed.len()).filter(is_active).collect();
        for (position, index) in active.iter().enumerate() {
            let partitions = self.due_pulls(now, &active, position);
            let redundant_pull_delay = REDUNDANT_PULL_DELAY.mul_f64(self.rng.random_range(1.0..2.0));
            if is_complete {
                let redundant_pulls_from = &mut self.followed[*index].redundant_pulls_from;
                redundant_pulls_from.get_or_insert(now + redundant_pull_delay);
            }
            self.request_snapshots(now, *index, partitions);
        }
    }

    /// The partitions to request now from the instance `active[position]`.
    fn due_pulls(&self, now: Duration, active: &[usize], position: usize) -> Vec<PartitionId> {
        let followed = &self.followed[active[position]];
        let in_flight = followed.pulls.values().filter(|pull| pull.is_in_flight(now)).count();
        let due = followed
            .pulls
            .iter()
            .filter(|(partition, pull)| pull.due <= now && self.may_pull(now, active, position, **partition));
        let mut due: Vec<(u32, PartitionId)> =
            due.map(|(partition, pull)| (pull.attempts, *partition)).collect();
        // Fewest attempts first, so that partitions whose requests went unanswered do not delay the others.
        due.sort_unstable();
        let free = MAX_IN_FLIGHT.saturating_sub(in_flight);
        due.into_iter().take(free).map(|(_, partition)| partition).collect()
    }

    /// Whether the partition may be pulled from this instance now. The first snapshot of a partition is
    /// pulled from only one instance, with half of the partitions assigned to each of two: pulling all of
    /// them from both would take twice as long. The redundant snapshots follow later, when the load has
    /// dropped.
    fn may_pull(&self, now: Duration, active: &[usize], position: usize, partition: PartitionId) -> bool {
        let followed = &self.followed[active[position]];
        let has_snapshot = followed.revision(partition) != Revision::default();
        if has_snapshot {
            return true;
        }
        let mut others = active.iter().filter(|other| **other != active[position]);
        let is_covered_elsewhere =
            others.any(|other| self.followed[*other].cache.partitions().is_covered(partition));
        if is_covered_elsewhere {
            return followed.redundant_pulls_from.is_some_and(|from| from <= now);
        }
        let is_assigned = partition.index() % active.len() == position;
        is_assigned || followed.followed_since + REDUNDANT_PULL_DELAY <= now
    }

    fn request_snapshots(&mut self, now: Duration, index: usize, partitions: Vec<PartitionId>) {
        let followed = &mut self.followed[index];
        for partition in &partitions {
            let Some(pull) = followed.pulls.get_mut(partition) else { continue };
            let backoff = RETRY_BACKOFF.saturating_mul(1 << pull.attempts.min(16)).min(MAX_RETRY_BACKOFF);
            pull.due = now + backoff.mul_f64(self.rng.random_range(MIN_BACKOFF_FRACTION..1.0));
            pull.attempts = pull.attempts.saturating_add(1);
        }
        if !partitions.is_empty() {
            let receiver = followed.incarnation();
            self.host.send(followed.instance.address, receiver, Message::Pull(partitions));
        }
    }
}
