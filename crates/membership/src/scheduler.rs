//! A scheduler of background jobs with priorities and a budget.
//!
//! A job has a due time, a priority and a cost. Of the jobs that are due, the one with the highest priority
//! runs first; of jobs with the same priority, the one that became due first. The costs are taken from a
//! token bucket, which spreads out jobs that become due at the same time.
//!
//! Most jobs are postponed repeatedly before they are due, because another router has run them. A postponed
//! job is not moved in the queue at once, but only when its queued time is reached: thousands of jobs are
//! postponed per second, and each move costs a removal and an insertion.

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
    /// The job is in `pending` with this time, which is not later than its due time.
    Pending(Duration),
    /// The job is in `ready` with its due time.
    Ready,
}

/// A queue of jobs of type `J`. Each job is in the queue at most once.
pub struct Scheduler<J> {
    jobs: FastHashMap<J, Job>,
    /// The jobs that are not ready, ordered by a lower bound of their due times.
    pending: BTreeSet<(Duration, J)>,
    /// The jobs that are due and wait for the budget, in the order in which they run.
    ready: BTreeSet<(Priority, Duration, J)>,
    budget: TokenBucket,
}

impl<J: Copy + Ord + Hash> Scheduler<J> {
    /// Creates an empty queue with a budget of `rate` cost units per second and a burst of `burst` cost
    /// units.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        Self {
            jobs: FastHashMap::default(),
            pending: BTreeSet::new(),
            ready: BTreeSet::new(),
            budget: TokenBucket::new(rate, burst, now),
        }
    }

    /// Changes the budget. Tokens in the bucket are kept, up to the new burst.
    pub fn set_budget(&mut self, rate: f64, burst: f64) {
        self.budget.set_limits(rate, burst);
    }

    /// Adds the job to the queue, or changes its due time, priority and cost if it is queued already.
    pub fn schedule(&mut self, job: J, due: Duration, priority: Priority, cost: f64) {
        let entry = Job { due, priority, cost, queue: Queue::Pending(due) };
        let Some(queued) = self.jobs.get_mut(&job) else {
            self.jobs.insert(job, entry);
            self.pending.insert((due, job));
            return;
        };
        if let Queue::Pending(queued_at) = queued.queue
            && queued_at <= due
        {
            *queued = Job { queue: queued.queue, ..entry };
            return;
        }
        let previous = std::mem::replace(queued, entry);
        self.dequeue(job, previous);
        self.pending.insert((due, job));
    }

    /// Removes the job if it is in the queue.
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

    /// Removes and returns the next job that is due, if the budget allows it.
    pub fn pop(&mut self, now: Duration) -> Option<J> {
        self.pop_unless_postponed(now, |_| None)
    }

    /// Like [`pop`](Self::pop), for an owner that postpones jobs without calling
    /// [`schedule`](Self::schedule). When the queued time of a job is reached, `postponed_until` returns its
    /// new due time, if it has one.
    pub fn pop_unless_postponed(
        &mut self,
        now: Duration,
        postponed_until: impl Fn(J) -> Option<Duration>,
    ) -> Option<J> {
        self.budget.refill(now);
        self.move_due_to_ready(now, &postponed_until);
        loop {
            let (_, _, job) = *self.ready.first()?;
            // The job may have been postponed while it waited for the budget.
            if let Some(new_due) = postponed_until(job).filter(|new_due| *new_due > now) {
                self.move_to_pending(job, new_due);
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

    /// The memory used by the queue in bytes, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        self.jobs.len() * size_of::<(J, Job)>()
            + self.pending.len() * size_of::<(Duration, J)>()
            + self.ready.len() * size_of::<(Priority, Duration, J)>()
    }

    /// The number of jobs in the queue.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the queue has no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
