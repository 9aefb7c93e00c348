//! Background work by priority within a budget.
//!
//! Jobs have a time from which on they may run, a priority and a cost. Of those that may run, the one with the
//! highest priority goes first, and of equals the one that has waited longest. Costs are paid from a budget that
//! fills evenly and saves up no more than a short burst, so that many jobs due at once are spread out.
//!
//! Most jobs are put off again and again before they are ever due, as somebody else has done them. One that is put off
//! stays where it is queued, and goes to its own time when that place comes up: thousands are put off a second, and
//! each would else cost a removal and an insertion.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::time::Duration;

use crate::fast_hash_map::FastHashMap;

/// Lower numbers go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

#[derive(Clone, Copy)]
struct Job {
    due: Duration,
    priority: Priority,
    cost: f64,
    queued: Queued,
}

/// Where a job is: in `due`, at no later a time than its own, or in `ready`, at just that.
#[derive(Clone, Copy, PartialEq)]
enum Queued {
    Due(Duration),
    Ready,
}

pub struct Scheduler<J> {
    /// Looked up, never gone through: nothing hangs on its order.
    jobs: FastHashMap<J, Job>,
    /// All jobs that are not ready, by a time before which they are not due.
    due: BTreeSet<(Duration, J)>,
    /// Those whose time has come.
    ready: BTreeSet<(Priority, Duration, J)>,
    /// Cost units a second, the most that is saved up, what is there, and when it was counted.
    rate: f64,
    burst: f64,
    saved: f64,
    counted: Duration,
}

impl<J: Copy + Ord + Hash> Scheduler<J> {
    /// A budget of `rate` cost units a second, of which `burst` may be saved up.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        let (jobs, due, ready) = (FastHashMap::default(), BTreeSet::new(), BTreeSet::new());
        Self { jobs, due, ready, rate, burst, saved: burst, counted: now }
    }

    /// From now on the budget is this one. What has been saved stays, as far as it may be.
    pub fn budget_changed(&mut self, rate: f64, burst: f64) {
        (self.rate, self.burst) = (rate, burst);
    }

    /// Enters the job, or moves it to another time.
    pub fn set(&mut self, job: J, due: Duration, priority: Priority, cost: f64) {
        if let Some(known) = self.jobs.get_mut(&job) {
            match known.queued {
                Queued::Due(at) if at <= due => {
                    (known.due, known.priority, known.cost) = (due, priority, cost);
                    return;
                }
                Queued::Due(at) => _ = self.due.remove(&(at, job)),
                Queued::Ready => _ = self.ready.remove(&(known.priority, known.due, job)),
            }
            *known = Job { due, priority, cost, queued: Queued::Due(due) };
        } else {
            self.jobs.insert(job, Job { due, priority, cost, queued: Queued::Due(due) });
        }
        self.due.insert((due, job));
    }

    pub fn remove(&mut self, job: J) {
        if let Some(Job { due, priority, queued, .. }) = self.jobs.remove(&job) {
            match queued {
                Queued::Due(at) => _ = self.due.remove(&(at, job)),
                Queued::Ready => _ = self.ready.remove(&(priority, due, job)),
            }
        }
    }

    /// The next job that may run now. It is out of the schedule until it is set anew.
    pub fn take(&mut self, now: Duration) -> Option<J> {
        self.take_but(now, |_| None)
    }

    /// The same where whoever owns the jobs puts them off without a word: `put_off` is asked, once a job's time has
    /// come, for a later one. Nearly all that is put off is put off again before that.
    pub fn take_but(&mut self, now: Duration, put_off: impl Fn(J) -> Option<Duration>) -> Option<J> {
        let passed = now.saturating_sub(self.counted).as_secs_f64();
        (self.saved, self.counted) =
            ((self.saved + self.rate * passed).min(self.burst), now.max(self.counted));
        while let Some((at, job)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, job));
            let Some(known) = self.jobs.get_mut(&job) else { continue };
            known.due = known.due.max(put_off(job).unwrap_or_default());
            if known.due <= now {
                known.queued = Queued::Ready;
                self.ready.insert((known.priority, known.due, job));
            } else {
                known.queued = Queued::Due(known.due);
                self.due.insert((known.due, job));
            }
        }
        loop {
            let (priority, due, job) = *self.ready.first()?;
            // It may have been put off while it waited for the budget.
            if let Some(later) = put_off(job).filter(|later| *later > now) {
                self.ready.remove(&(priority, due, job));
                self.due.insert((later, job));
                self.jobs.get_mut(&job).into_iter().for_each(|known| {
                    (known.due, known.queued) = (later, Queued::Due(later));
                });
                continue;
            }
            // A job dearer than the burst would never run; it then takes all that can be saved.
            let cost = self.jobs[&job].cost.min(self.burst);
            if self.saved < cost {
                return None;
            }
            self.saved -= cost;
            self.remove(job);
            return Some(job);
        }
    }

    /// In bytes, without what an allocator adds.
    pub fn state_bytes(&self) -> usize {
        self.jobs.len() * size_of::<(J, Job)>()
            + self.due.len() * size_of::<(Duration, J)>()
            + self.ready.len() * size_of::<(Priority, Duration, J)>()
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
