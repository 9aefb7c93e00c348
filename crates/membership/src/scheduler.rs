//! Background jobs by priority, within a budget.
//!
//! A job has a due time, a priority and a cost. Of the jobs that are due, the one with the highest priority runs first, and
//! of equals the one that has been due longest. Costs are paid from a token bucket, which spreads out jobs that become due
//! together.
//!
//! Most jobs are postponed again and again before they are due, since another router has done them. A postponed job stays
//! where it is queued and is queued anew when that time comes: thousands are postponed a second, and each would else cost
//! a removal and an insertion.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::time::Duration;

use crate::fast_hash_map::FastHashMap;
use crate::token_bucket::TokenBucket;

/// The priority of a job. Lower numbers run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

#[derive(Clone, Copy)]
struct Job {
    due: Duration,
    priority: Priority,
    cost: f64,
    queue: Queue,
}

/// The queue that a job is in.
#[derive(Clone, Copy, PartialEq)]
enum Queue {
    /// In `pending`, under this time, which is no later than the job's own.
    Pending(Duration),
    /// In `ready`, under the job's own time.
    Ready,
}

/// A queue of jobs of type `J`, each of which is in it once.
pub struct Scheduler<J> {
    jobs: FastHashMap<J, Job>,
    /// The jobs that are not ready, by a time before which they are not due.
    pending: BTreeSet<(Duration, J)>,
    /// The jobs whose time has come.
    ready: BTreeSet<(Priority, Duration, J)>,
    budget: TokenBucket,
}

impl<J: Copy + Ord + Hash> Scheduler<J> {
    /// An empty queue with a budget of `rate` cost units a second, of which `burst` can be saved up.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        Self {
            jobs: FastHashMap::default(),
            pending: BTreeSet::new(),
            ready: BTreeSet::new(),
            budget: TokenBucket::new(rate, burst, now),
        }
    }

    /// Changes the budget. What has been saved up stays, as far as the new burst allows.
    pub fn set_budget(&mut self, rate: f64, burst: f64) {
        self.budget.set_limits(rate, burst);
    }

    /// Queues the job, or moves it to another time.
    pub fn schedule(&mut self, job: J, due: Duration, priority: Priority, cost: f64) {
        let entry = Job { due, priority, cost, queue: Queue::Pending(due) };
        let Some(known) = self.jobs.get_mut(&job) else {
            self.jobs.insert(job, entry);
            self.pending.insert((due, job));
            return;
        };
        if let Queue::Pending(queued_at) = known.queue
            && queued_at <= due
        {
            *known = Job { queue: known.queue, ..entry };
            return;
        }
        let previous = std::mem::replace(known, entry);
        self.dequeue(job, previous);
        self.pending.insert((due, job));
    }

    /// Removes the job, if it is there.
    pub fn remove(&mut self, job: J) {
        if let Some(entry) = self.jobs.remove(&job) {
            self.dequeue(job, entry);
        }
    }

    fn dequeue(&mut self, job: J, entry: Job) {
        match entry.queue {
            Queue::Pending(queued_at) => self.pending.remove(&(queued_at, job)),
            Queue::Ready => self.ready.remove(&(entry.priority, entry.due, job)),
        };
    }

    /// Removes and returns the next job that may run now, if there is one that the budget allows.
    pub fn pop(&mut self, now: Duration) -> Option<J> {
        self.pop_unless_postponed(now, |_| None)
    }

    /// As [`pop`](Self::pop), for an owner that postpones jobs without telling: `postponed_until` is asked for the later time
    /// of a job, if it has one, once the job's queued time has come.
    pub fn pop_unless_postponed(
        &mut self,
        now: Duration,
        postponed_until: impl Fn(J) -> Option<Duration>,
    ) -> Option<J> {
        self.budget.refill(now);
        self.move_due_to_ready(now, &postponed_until);
        loop {
            let (_, _, job) = *self.ready.first()?;
            // It may have been postponed while it waited for the budget.
            if let Some(later) = postponed_until(job).filter(|later| *later > now) {
                self.move_to_pending(job, later);
                continue;
            }
            if !self.budget.try_take(self.jobs[&job].cost) {
                return None;
            }
            self.remove(job);
            return Some(job);
        }
    }

    fn move_due_to_ready(&mut self, now: Duration, postponed_until: &impl Fn(J) -> Option<Duration>) {
        while let Some((queued_at, job)) = self.pending.first().copied()
            && queued_at <= now
        {
            self.pending.remove(&(queued_at, job));
            let Some(entry) = self.jobs.get_mut(&job) else { continue };
            entry.due = entry.due.max(postponed_until(job).unwrap_or_default());
            if entry.due <= now {
                entry.queue = Queue::Ready;
                self.ready.insert((entry.priority, entry.due, job));
            } else {
                entry.queue = Queue::Pending(entry.due);
                self.pending.insert((entry.due, job));
            }
        }
    }

    fn move_to_pending(&mut self, job: J, due: Duration) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        let postponed = Job { due, queue: Queue::Pending(due), ..*entry };
        let previous = std::mem::replace(entry, postponed);
        self.dequeue(job, previous);
        self.pending.insert((due, job));
    }

    /// The size of the queue in bytes, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        self.jobs.len() * size_of::<(J, Job)>()
            + self.pending.len() * size_of::<(Duration, J)>()
            + self.ready.len() * size_of::<(Priority, Duration, J)>()
    }

    /// The number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
