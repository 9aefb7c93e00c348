//! Periodic tasks that are divided among the routers: decides which router runs which task, and when.
//!
//! Every router knows, for each task, when any router last ran it. The router with rank r for a task (see
//! [`rendezvous`]) runs the task when it is overdue by r takeover delays. So without failures only the owner,
//! which has rank 0, runs it. If the owner does not run it, the router with the next rank does so one
//! takeover delay later, even if no router has detected yet that the owner is dead. Two routers that both
//! consider themselves the owner learn of each other's runs, and together run the task hardly more often than
//! a single owner, as long as their messages arrive. Whatever the member views and messages are, a router
//! starts a task at most once per minimum interval.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fast_hash_map::FastHashMap;
use crate::ids::{PeerName, TaskId, TaskKind, TaskTarget};
use crate::rendezvous::{self, Candidate};
use crate::scheduler::{Priority, Scheduler};

/// How many of the lowest ranks run an expedited task: the owner and the router that would take over next.
const EXPEDITING_RANKS: u32 = 2;

/// The parameters of all tasks of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskParams {
    /// The kind.
    pub kind: TaskKind,
    /// The interval at which a task is to be run, by all routers together.
    pub period: Duration,
    /// The additional delay after which each further rank takes over an overdue task.
    pub takeover_delay: Duration,
    /// The minimum time between two starts of a task by the same router.
    pub min_interval: Duration,
    /// After this time a run whose end the host has not reported no longer prevents another start.
    pub max_duration: Duration,
    /// The priority among background jobs.
    pub priority: Priority,
    /// The cost of a run, in cost units of the budget.
    pub cost: f64,
}

/// The numbers of tasks that a router knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// The number of tasks that this router owns.
    pub owned: usize,
    /// The number of all tasks.
    pub total: usize,
}

/// The inputs of [`due_at`]: what a router knows about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverInputs {
    /// When any router last ran the task.
    pub last_run: Option<Duration>,
    /// When the task is due if no router is known to have run it.
    pub first_due: Duration,
    /// The earliest time at which this router may start the task again.
    pub earliest_start: Duration,
    /// This router's rank for the task: the number of routers that run it earlier.
    pub rank: u32,
}

/// When a router runs a task. This function is the complete takeover rule.
pub fn due_at(params: &TaskParams, inputs: TakeoverInputs) -> Duration {
    let due = inputs.last_run.map_or(inputs.first_due, |last_run| last_run + params.period);
    (due + params.takeover_delay * inputs.rank).max(inputs.earliest_start)
}

struct ShardedTask {
    params: TaskParams,
    zone: u16,
    /// When any router last ran it, as far as this router knows.
    last_run: Option<Duration>,
    /// When this router last started it.
    last_started: Option<Duration>,
    is_running: bool,
    /// `None` while this router is not a candidate.
    rank: Option<u32>,
    /// When it is due if no router is known to have run it.
    first_due: Duration,
    /// The time at which to run it instead of its due time.
    expedited_to: Option<Duration>,
}

impl ShardedTask {
    /// When this router runs the task if it is not expedited. `None` while this router is not a candidate.
    fn due(&self) -> Option<Duration> {
        let inputs = TakeoverInputs {
            last_run: self.last_run,
            first_due: self.first_due,
            earliest_start: self.earliest_start(),
            rank: self.rank?,
        };
        Some(due_at(&self.params, inputs))
    }

    fn earliest_start(&self) -> Duration {
        let Some(started) = self.last_started else { return Duration::ZERO };
        let TaskParams { min_interval, max_duration, .. } = self.params;
        started + if self.is_running { max_duration.max(min_interval) } else { min_interval }
    }

    /// The time from which on the minimum interval allows another start.
    fn min_interval_end(&self) -> Duration {
        self.last_started.map_or(Duration::ZERO, |started| started + self.params.min_interval)
    }

    /// When this router runs the task, expedited or not.
    fn scheduled_at(&self) -> Option<Duration> {
        self.expedited_to.or_else(|| self.due())
    }

    fn is_overdue(&self, now: Duration) -> bool {
        let TaskParams { period, takeover_delay, .. } = self.params;
        self.last_run.is_none_or(|last_run| last_run + period + takeover_delay <= now)
    }
}

/// The tasks of a deployment from the point of view of one router.
pub struct ShardedTasks {
    own_name: PeerName,
    /// Iterated only where the order does not matter, since the iteration order is arbitrary.
    tasks: FastHashMap<TaskId, ShardedTask>,
    candidates: Vec<Candidate>,
    scheduler: Scheduler<TaskId>,
}

impl ShardedTasks {
    /// Creates an empty set of tasks with a budget of `rate` cost units per second and a burst of `burst`
    /// cost units.
    pub fn new(own_name: PeerName, rate: f64, burst: f64, now: Duration) -> Self {
        let scheduler = Scheduler::new(rate, burst, now);
        Self { own_name, tasks: FastHashMap::default(), candidates: Vec::new(), scheduler }
    }

    /// Sets the routers that can own tasks, and returns whether they have changed. This router owns no tasks
    /// while it is not one of them.
    pub fn candidates_changed(&mut self, now: Duration, candidates: Vec<Candidate>) -> bool {
        if candidates == self.candidates {
            return false;
        }
        self.candidates = candidates;
        for (id, task) in &mut self.tasks {
            if task.rank.is_none() && task.last_run.is_none() {
                // This router was not a candidate before, so the task was not due here.
                task.first_due = first_due(now, &task.params, *id, &self.own_name);
            }
            task.rank = rendezvous::rank(*id, task.zone, &self.own_name, &self.candidates);
            schedule(&mut self.scheduler, *id, task);
        }
        true
    }

    /// Sets the targets of all tasks of a kind, with their zones. Removes the tasks of this kind with other
    /// targets.
    pub fn targets_changed(
        &mut self,
        now: Duration,
        params: TaskParams,
        targets: &BTreeMap<TaskTarget, u16>,
    ) {
        let is_removed = |id: &TaskId| id.kind == params.kind && !targets.contains_key(&id.target);
        for id in self.tasks.keys().copied().filter(is_removed).collect::<Vec<_>>() {
            self.tasks.remove(&id);
            self.scheduler.remove(id);
        }
        for (target, zone) in targets {
            let id = TaskId { kind: params.kind, target: *target };
            let rank = rendezvous::rank(id, *zone, &self.own_name, &self.candidates);
            let task = self.tasks.entry(id).or_insert_with(|| ShardedTask {
                params,
                zone: *zone,
                last_run: None,
                last_started: None,
                is_running: false,
                rank,
                first_due: first_due(now, &params, id, &self.own_name),
                expedited_to: None,
            });
            task.params = params;
            task.zone = *zone;
            task.rank = rank;
            schedule(&mut self.scheduler, id, task);
        }
    }

    /// Changes the budget to `rate` cost units per second and a burst of `burst` cost units.
    pub fn set_budget(&mut self, rate: f64, burst: f64) {
        self.scheduler.set_budget(rate, burst);
    }

    /// Records that a router ran the task at the time `at`, or that a run at that time was made unnecessary,
    /// for example by a response of the node.
    pub fn record_run(&mut self, id: TaskId, at: Duration) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.last_run >= Some(at) {
            return;
        }
        let is_first = task.last_run.replace(at).is_none();
        task.expedited_to = None;
        // A task that has been run before is only postponed. The scheduler queries that when the queued time
        // is reached, since thousands of observations per second arrive here.
        if is_first {
            schedule(&mut self.scheduler, id, task);
        }
    }

    /// Records that this router's own run of the task has ended. The next run is due one period after the
    /// start of this one.
    pub fn run_ended(&mut self, now: Duration, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_running = false;
            task.last_run = task.last_run.max(Some(task.last_started.unwrap_or(now)));
            schedule(&mut self.scheduler, id, task);
        }
    }

    /// Runs the task as soon as possible, for example because a node may have failed. Only the two lowest
    /// ranks do so, as early as their minimum interval allows.
    pub fn expedite(&mut self, now: Duration, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id)
            && task.rank.is_some_and(|rank| rank < EXPEDITING_RANKS)
            && let Some(due) = task.due()
        {
            let start = now.max(task.min_interval_end()).min(due);
            task.expedited_to = Some(start);
            self.scheduler.schedule(id, start, task.params.priority, task.params.cost);
        }
    }

    /// Whether this router may run the task ahead of its schedule, for a request that needs it now. If so,
    /// the task is recorded as started.
    ///
    /// It may if the task is overdue, or if a run by another router would not help (`needs_own_run`), but
    /// never within the minimum interval.
    pub fn claim(&mut self, now: Duration, id: TaskId, needs_own_run: bool) -> bool {
        let Some(task) = self.tasks.get_mut(&id) else { return false };
        let may_start = !task.is_running && task.min_interval_end() <= now;
        let is_needed = needs_own_run || (task.rank.is_some() && task.is_overdue(now));
        if !may_start || !is_needed {
            return false;
        }
        start(&mut self.scheduler, now, id, task);
        true
    }

    /// Starts the next task that is due and returns it. The caller repeats this until no task is due.
    pub fn start_next(&mut self, now: Duration) -> Option<TaskId> {
        let postponed_until = |id| self.tasks.get(&id).and_then(ShardedTask::scheduled_at);
        let id = self.scheduler.pop_unless_postponed(now, postponed_until)?;
        let task = self.tasks.get_mut(&id)?;
        start(&mut self.scheduler, now, id, task);
        Some(id)
    }

    /// The number of all tasks, and of those that this router owns.
    pub fn counts(&self) -> TaskCounts {
        let owned = self.tasks.values().filter(|task| task.rank == Some(0)).count();
        TaskCounts { owned, total: self.tasks.len() }
    }

    /// The memory used by the tables in bytes, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        self.tasks.len() * size_of::<(TaskId, ShardedTask)>()
            + self.candidates.len() * size_of::<Candidate>()
            + self.scheduler.state_bytes()
    }

    /// Whether the task exists.
    pub fn contains(&self, id: TaskId) -> bool {
        self.tasks.contains_key(&id)
    }
}

/// When a task is due at this router if no router is known to have run it.
fn first_due(now: Duration, params: &TaskParams, id: TaskId, own_name: &PeerName) -> Duration {
    now + params.period.mul_f64(rendezvous::phase(id, own_name))
}

/// Records the start of a task. Every start goes through this function, so that the minimum interval always
/// applies.
fn start(scheduler: &mut Scheduler<TaskId>, now: Duration, id: TaskId, task: &mut ShardedTask) {
    task.last_started = Some(now);
    task.is_running = true;
    schedule(scheduler, id, task);
}

fn schedule(scheduler: &mut Scheduler<TaskId>, id: TaskId, task: &mut ShardedTask) {
    task.expedited_to = None;
    match task.due() {
        Some(due) => scheduler.schedule(id, due, task.params.priority, task.params.cost),
        None => scheduler.remove(id),
    }
}
