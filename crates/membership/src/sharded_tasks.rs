//! Periodic duties: who does each of them when.
//!
//! Every router knows of each duty when it was last done by anybody. The router at place r in the duty's line
//! (see `rendezvous`) does it once it is overdue by r graces. So in calm times only the head of the line acts; a
//! duty that its owner leaves undone is done by the next in line one grace later, whether or not anybody has
//! noticed by then that the owner is dead. Two who both think that they own a duty hear of each other's doing and
//! so do it no more often together than one alone, as long as their letters arrive. Whatever the views and letters
//! say, a router does a duty no more often than once in its floor.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fast_hash_map::FastHashMap;
use crate::ids::{PeerName, Subject, TaskId, TaskKind};
use crate::rendezvous::{self, Candidate};
use crate::scheduler::{Priority, Scheduler};

/// What holds for all duties of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskParams {
    pub kind: TaskKind,
    /// How often it is to be done, by all routers together.
    pub period: Duration,
    /// How much later each further one in line picks it up.
    pub grace: Duration,
    /// The least time between two beginnings at one router, whatever happens: its own ceiling.
    pub floor: Duration,
    /// How long one may be under way; a host that says nothing of its end is not waited for longer.
    pub longest: Duration,
    pub priority: Priority,
    /// In units of the budget.
    pub cost: f64,
}

struct ShardedTask {
    plan: TaskParams,
    zone: u16,
    /// When anybody last did it, as far as is known.
    done: Option<Duration>,
    /// When this router last began it, and whether it is at it.
    begun: Option<Duration>,
    running: bool,
    /// Who stands before this router in line; `None` while it owns no duties.
    place: Option<u32>,
    /// From when on it is owed where nobody has done it yet.
    since: Duration,
    /// There is reason to do it then, sooner than it is due.
    hurried: Option<Duration>,
}

/// The rule of hand-over, all of it: when the router that so many stand before would do a duty, by what it knows of
/// when anybody last did it (or since when it is owed), and from when on its own last beginning lets it.
pub fn due(
    plan: &TaskParams,
    done: Option<Duration>,
    since: Duration,
    rested: Duration,
    place: u32,
) -> Duration {
    let owed = done.map_or(since, |done| done + plan.period);
    (owed + plan.grace * place).max(rested)
}

impl ShardedTask {
    /// When this router would do it; never while it owns no duties.
    fn due(&self) -> Option<Duration> {
        let rested = self.begun.map_or(Duration::ZERO, |begun| {
            begun + if self.running { self.plan.longest.max(self.plan.floor) } else { self.plan.floor }
        });
        Some(due(&self.plan, self.done, self.since, rested, self.place?))
    }

    /// The same, with what there is reason to do sooner.
    fn wanted(&self) -> Option<Duration> {
        self.hurried.or_else(|| self.due())
    }
}

pub struct ShardedTasks {
    me: PeerName,
    /// By hash, as each piece of news looks one up; whoever goes through all of them does the same to each.
    duties: FastHashMap<TaskId, ShardedTask>,
    candidates: Vec<Candidate>,
    scheduler: Scheduler<TaskId>,
}

impl ShardedTasks {
    /// With a budget in cost units a second and the most that may be saved of it.
    pub fn new(me: PeerName, rate: f64, burst: f64, now: Duration) -> Self {
        let scheduler = Scheduler::new(rate, burst, now);
        Self { me, duties: FastHashMap::default(), candidates: Vec::new(), scheduler }
    }

    /// The routers that own duties by now. This one owns none while it is not among them. Whether they are others
    /// than before.
    pub fn view_changed(&mut self, now: Duration, candidates: Vec<Candidate>) -> bool {
        if candidates == self.candidates {
            return false;
        }
        self.candidates = candidates;
        for (id, duty) in &mut self.duties {
            let place = rendezvous::place(*id, duty.zone, &self.me, &self.candidates);
            if duty.place.is_none() && duty.done.is_none() {
                // Only now does anybody here owe it.
                duty.since = now + duty.plan.period.mul_f64(rendezvous::phase(*id, &self.me));
            }
            duty.place = place;
            schedule(&mut self.scheduler, *id, duty);
        }
        true
    }

    /// The subjects of a kind, with their zones: those that are not named are forgotten.
    pub fn subjects_changed(&mut self, now: Duration, plan: TaskParams, subjects: &BTreeMap<Subject, u16>) {
        let gone = |id: &TaskId| id.kind == plan.kind && !subjects.contains_key(&id.subject);
        for id in self.duties.keys().copied().filter(gone).collect::<Vec<_>>() {
            self.duties.remove(&id);
            self.scheduler.remove(id);
        }
        for (subject, zone) in subjects {
            let id = TaskId { kind: plan.kind, subject: *subject };
            let since = now + plan.period.mul_f64(rendezvous::phase(id, &self.me));
            let place = rendezvous::place(id, *zone, &self.me, &self.candidates);
            let duty = self.duties.entry(id).or_insert(ShardedTask {
                plan,
                zone: *zone,
                done: None,
                begun: None,
                running: false,
                place,
                since,
                hurried: None,
            });
            (duty.plan, duty.zone, duty.place) = (plan, *zone, place);
            schedule(&mut self.scheduler, id, duty);
        }
    }

    /// From now on the budget is this one.
    pub fn budget_changed(&mut self, rate: f64, burst: f64) {
        self.scheduler.budget_changed(rate, burst);
    }

    /// Somebody did it then, or something else made it needless.
    pub fn done(&mut self, id: TaskId, at: Duration) {
        if let Some(duty) = self.duties.get_mut(&id)
            && duty.done < Some(at)
        {
            // Later than before, unless nobody had done it: the scheduler asks for that when its time comes up. Each
            // piece of news would else cost a look at the schedule, thousands of times a second.
            let is_first = duty.done.replace(at).is_none();
            duty.hurried = None;
            if is_first {
                schedule(&mut self.scheduler, id, duty);
            }
        }
    }

    /// This router's own doing has ended; how long it takes does not matter to the next.
    pub fn ended(&mut self, now: Duration, id: TaskId) {
        if let Some(duty) = self.duties.get_mut(&id) {
            duty.running = false;
            duty.done = duty.done.max(Some(duty.begun.unwrap_or(now)));
            schedule(&mut self.scheduler, id, duty);
        }
    }

    /// There is reason to do it sooner: to the next two in line it is owed at once.
    pub fn doubted(&mut self, now: Duration, id: TaskId) {
        if let Some(duty) = self.duties.get_mut(&id)
            && duty.place.is_some_and(|place| place <= 1)
            && let Some(due) = duty.due()
        {
            let floor = duty.begun.map_or(Duration::ZERO, |begun| begun + duty.plan.floor);
            let at = now.max(floor).min(due);
            duty.hurried = Some(at);
            self.scheduler.set(id, at, duty.plan.priority, duty.plan.cost);
        }
    }

    /// Whether it may be done here out of turn, for one who needs it now; it then counts as begun. Only what is
    /// overdue is, or what nobody else's doing could stand in for (`alone`), and never below the floor.
    pub fn claim(&mut self, now: Duration, id: TaskId, alone: bool) -> bool {
        let Some(duty) = self.duties.get_mut(&id) else { return false };
        let overdue = duty.done.is_none_or(|done| done + duty.plan.period + duty.plan.grace <= now);
        let rested = duty.begun.is_none_or(|begun| begun + duty.plan.floor <= now);
        let takes = rested && !duty.running && (alone || (duty.place.is_some() && overdue));
        if takes {
            begin(&mut self.scheduler, now, id, duty);
        }
        takes
    }

    /// What is to be done now, one at a time until nothing is.
    pub fn next(&mut self, now: Duration) -> Option<TaskId> {
        let put_off = |id| self.duties.get(&id).and_then(ShardedTask::wanted);
        let id = self.scheduler.take_but(now, put_off)?;
        let duty = self.duties.get_mut(&id)?;
        begin(&mut self.scheduler, now, id, duty);
        Some(id)
    }

    /// How many duties this router heads the line for, and how many there are.
    pub fn owned(&self) -> (usize, usize) {
        (self.duties.values().filter(|duty| duty.place == Some(0)).count(), self.duties.len())
    }

    /// In bytes, without what an allocator adds.
    pub fn state_bytes(&self) -> usize {
        self.duties.len() * size_of::<(TaskId, ShardedTask)>()
            + self.candidates.len() * size_of::<Candidate>()
            + self.scheduler.state_bytes()
    }

    pub fn is_known(&self, id: TaskId) -> bool {
        self.duties.contains_key(&id)
    }
}

/// The one place where a duty is begun, so that its floor holds on every way.
fn begin(scheduler: &mut Scheduler<TaskId>, now: Duration, id: TaskId, duty: &mut ShardedTask) {
    (duty.begun, duty.running) = (Some(now), true);
    schedule(scheduler, id, duty);
}

fn schedule(scheduler: &mut Scheduler<TaskId>, id: TaskId, duty: &mut ShardedTask) {
    duty.hurried = None;
    match duty.due() {
        Some(due) => scheduler.set(id, due, duty.plan.priority, duty.plan.cost),
        None => scheduler.remove(id),
    }
}
