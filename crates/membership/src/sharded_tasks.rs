//! Periodic tasks that the routers divide among them: which router runs which task when.
//!
//! Every router knows of each task when any router last ran it. The router with rank r at a task (see
//! [`rendezvous`]) runs it once it is overdue by r takeover delays. So in calm times only the owner, of
//! rank 0, runs it; a task that its owner leaves undone is run by the next rank one delay later, whether or not anybody has
//! noticed by then that the owner is dead. Two routers that both take themselves for the owner hear of each other's runs, and
//! together run the task hardly more often than one alone, as long as their messages arrive. Whatever the views and messages
//! say, a router runs a task no more often than once in its minimum interval.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fast_hash_map::FastHashMap;
use crate::ids::{PeerName, TaskId, TaskKind, TaskTarget};
use crate::rendezvous::{self, Candidate};
use crate::scheduler::{Priority, Scheduler};

/// The ranks that run a task at once where there is reason to: the owner and the next.
const EXPEDITING_RANKS: u32 = 2;

/// What holds for all tasks of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskParams {
    /// The kind.
    pub kind: TaskKind,
    /// How often a task is to be run, by all routers together.
    pub period: Duration,
    /// How much later each further rank takes a task over.
    pub takeover_delay: Duration,
    /// The least time between two starts at one router, whatever happens.
    pub min_interval: Duration,
    /// The longest that a run is waited for, where the host reports no end of it.
    pub max_duration: Duration,
    /// The priority among background jobs.
    pub priority: Priority,
    /// The cost of a run, in units of the budget.
    pub cost: f64,
}

/// How many tasks there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that this router owns.
    pub owned: usize,
    /// All tasks.
    pub total: usize,
}

/// What one router knows of a task when it decides by [`due_at`] when to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverInputs {
    /// When any router last ran it.
    pub last_run: Option<Duration>,
    /// Since when it is due where nobody has run it yet.
    pub due_since: Duration,
    /// From when on this router may start it again.
    pub earliest_start: Duration,
    /// This router's rank at the task: how many others precede it.
    pub rank: u32,
}

/// The rule of takeover, all of it: when a router runs a task.
pub fn due_at(params: &TaskParams, inputs: TakeoverInputs) -> Duration {
    let due = inputs.last_run.map_or(inputs.due_since, |done| done + params.period);
    (due + params.takeover_delay * inputs.rank).max(inputs.earliest_start)
}

struct ShardedTask {
    params: TaskParams,
    zone: u16,
    /// When any router last ran it, as far as is known.
    last_run: Option<Duration>,
    /// When this router last started it.
    last_started: Option<Duration>,
    is_running: bool,
    /// `None` while this router owns no tasks.
    rank: Option<u32>,
    /// Since when it is due where nobody has run it yet.
    due_since: Duration,
    /// When to run it instead of when it is due.
    expedited_to: Option<Duration>,
}

impl ShardedTask {
    /// When this router would run it; never while it owns no tasks.
    fn due(&self) -> Option<Duration> {
        let inputs = TakeoverInputs {
            last_run: self.last_run,
            due_since: self.due_since,
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

    /// From when on the minimum interval allows a start.
    fn min_interval_ends(&self) -> Duration {
        self.last_started.map_or(Duration::ZERO, |started| started + self.params.min_interval)
    }

    /// When this router would run it, expedited or not.
    fn planned(&self) -> Option<Duration> {
        self.expedited_to.or_else(|| self.due())
    }

    fn is_overdue(&self, now: Duration) -> bool {
        let TaskParams { period, takeover_delay, .. } = self.params;
        self.last_run.is_none_or(|done| done + period + takeover_delay <= now)
    }
}

/// The tasks of an installation, as one router sees them.
pub struct ShardedTasks {
    own_name: PeerName,
    /// Iterated only where the order does not matter.
    tasks: FastHashMap<TaskId, ShardedTask>,
    candidates: Vec<Candidate>,
    scheduler: Scheduler<TaskId>,
}

impl ShardedTasks {
    /// No tasks, with a budget of `rate` cost units a second, of which `burst` can be saved up.
    pub fn new(own_name: PeerName, rate: f64, burst: f64, now: Duration) -> Self {
        let scheduler = Scheduler::new(rate, burst, now);
        Self { own_name, tasks: FastHashMap::default(), candidates: Vec::new(), scheduler }
    }

    /// Takes the routers that own tasks from now on, and says whether they have changed. This router owns none
    /// while it is not among them.
    pub fn candidates_changed(&mut self, now: Duration, candidates: Vec<Candidate>) -> bool {
        if candidates == self.candidates {
            return false;
        }
        self.candidates = candidates;
        for (id, task) in &mut self.tasks {
            if task.rank.is_none() && task.last_run.is_none() {
                // Nobody here has been responsible for it before.
                task.due_since = first_due(now, &task.params, *id, &self.own_name);
            }
            task.rank = rendezvous::rank(*id, task.zone, &self.own_name, &self.candidates);
            schedule(&mut self.scheduler, *id, task);
        }
        true
    }

    /// Takes all targets of the kind, with their zones. Tasks of the kind with other targets are removed.
    pub fn targets_changed(
        &mut self,
        now: Duration,
        params: TaskParams,
        targets: &BTreeMap<TaskTarget, u16>,
    ) {
        let is_gone = |id: &TaskId| id.kind == params.kind && !targets.contains_key(&id.target);
        for id in self.tasks.keys().copied().filter(is_gone).collect::<Vec<_>>() {
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
                due_since: first_due(now, &params, id, &self.own_name),
                expedited_to: None,
            });
            task.params = params;
            task.zone = *zone;
            task.rank = rank;
            schedule(&mut self.scheduler, id, task);
        }
    }

    /// Changes the budget, in cost units a second and the most that can be saved up.
    pub fn set_budget(&mut self, rate: f64, burst: f64) {
        self.scheduler.set_budget(rate, burst);
    }

    /// Records that a router ran the task at that time, or that something else made a run needless.
    pub fn record_run(&mut self, id: TaskId, at: Duration) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.last_run >= Some(at) {
            return;
        }
        let is_first = task.last_run.replace(at).is_none();
        task.expedited_to = None;
        // A task that was done before is only postponed by this, and the scheduler asks for that when the queued time
        // comes: there are thousands of observations a second.
        if is_first {
            schedule(&mut self.scheduler, id, task);
        }
    }

    /// Records that this router's own run has ended. The next is due a period after the start of this one.
    pub fn run_ended(&mut self, now: Duration, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_running = false;
            task.last_run = task.last_run.max(Some(task.last_started.unwrap_or(now)));
            schedule(&mut self.scheduler, id, task);
        }
    }

    /// There is reason to run the task at once: the two lowest ranks run it, within their minimum interval.
    pub fn expedite(&mut self, now: Duration, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id)
            && task.rank.is_some_and(|rank| rank < EXPEDITING_RANKS)
            && let Some(due) = task.due()
        {
            let start = now.max(task.min_interval_ends()).min(due);
            task.expedited_to = Some(start);
            self.scheduler.schedule(id, start, task.params.priority, task.params.cost);
        }
    }

    /// Whether the task may be run here out of turn, for a request that needs it now. If so, it counts as started.
    ///
    /// An overdue task may, and one where no other router's run would help (`only_own_run_helps`), but never within the
    /// minimum interval.
    pub fn claim(&mut self, now: Duration, id: TaskId, only_own_run_helps: bool) -> bool {
        let Some(task) = self.tasks.get_mut(&id) else { return false };
        let may_start = !task.is_running && task.min_interval_ends() <= now;
        let is_wanted = only_own_run_helps || (task.rank.is_some() && task.is_overdue(now));
        if !may_start || !is_wanted {
            return false;
        }
        start(&mut self.scheduler, now, id, task);
        true
    }

    /// Starts the next task that is due and returns it. Called until there is none.
    pub fn start_next(&mut self, now: Duration) -> Option<TaskId> {
        let postponed_until = |id| self.tasks.get(&id).and_then(ShardedTask::planned);
        let id = self.scheduler.pop_unless_postponed(now, postponed_until)?;
        let task = self.tasks.get_mut(&id)?;
        start(&mut self.scheduler, now, id, task);
        Some(id)
    }

    /// How many tasks there are, and how many of them this router owns.
    pub fn counts(&self) -> TaskCounts {
        let owned = self.tasks.values().filter(|task| task.rank == Some(0)).count();
        TaskCounts { owned, total: self.tasks.len() }
    }

    /// The size of the tables in bytes, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        self.tasks.len() * size_of::<(TaskId, ShardedTask)>()
            + self.candidates.len() * size_of::<Candidate>()
            + self.scheduler.state_bytes()
    }

    /// Whether there is such a task.
    pub fn contains(&self, id: TaskId) -> bool {
        self.tasks.contains_key(&id)
    }
}

/// When a task that nobody is known to have run is due at this router.
fn first_due(now: Duration, params: &TaskParams, id: TaskId, own_name: &PeerName) -> Duration {
    now + params.period.mul_f64(rendezvous::phase(id, own_name))
}

/// The one place where a task is started, so that its minimum interval holds on every way.
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
