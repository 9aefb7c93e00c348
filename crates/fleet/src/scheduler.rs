//! Background work by priority within a budget.
//!
//! Jobs have a time from which on they may run, a priority and a cost. Of those that may run, the one with the
//! highest priority goes first, and of equals the one that has waited longest. Costs are paid from a budget that
//! fills evenly and saves up no more than a short burst, so that many jobs due at once are spread out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Lower numbers go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

#[derive(Clone, Copy)]
struct Job {
    due: Duration,
    priority: Priority,
    cost: f64,
}

pub struct Scheduler<J> {
    jobs: BTreeMap<J, Job>,
    /// All jobs by when they are due.
    due: BTreeSet<(Duration, J)>,
    /// Those whose time has come.
    ready: BTreeSet<(Priority, Duration, J)>,
    /// Cost units a second, the most that is saved up, what is there, and when it was counted.
    rate: f64,
    burst: f64,
    saved: f64,
    counted: Duration,
}

impl<J: Copy + Ord> Scheduler<J> {
    /// A budget of `rate` cost units a second, of which `burst` may be saved up.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        let (jobs, due, ready) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        Self { jobs, due, ready, rate, burst, saved: burst, counted: now }
    }

    /// Enters the job, or moves it to another time.
    pub fn set(&mut self, job: J, due: Duration, priority: Priority, cost: f64) {
        self.remove(job);
        self.jobs.insert(job, Job { due, priority, cost });
        self.due.insert((due, job));
    }

    pub fn remove(&mut self, job: J) {
        if let Some(Job { due, priority, .. }) = self.jobs.remove(&job) {
            self.due.remove(&(due, job));
            self.ready.remove(&(priority, due, job));
        }
    }

    /// The next job that may run now. It is out of the schedule until it is set anew.
    pub fn take(&mut self, now: Duration) -> Option<J> {
        let passed = now.saturating_sub(self.counted).as_secs_f64();
        (self.saved, self.counted) =
            ((self.saved + self.rate * passed).min(self.burst), now.max(self.counted));
        while let Some((due, job)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, job));
            self.ready.insert((self.jobs[&job].priority, due, job));
        }
        let (_, _, job) = *self.ready.first()?;
        // A job dearer than the burst would never run; it then takes all that can be saved.
        let cost = self.jobs[&job].cost.min(self.burst);
        if self.saved < cost {
            return None;
        }
        self.saved -= cost;
        self.remove(job);
        Some(job)
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
