//! Model checks of the takeover of one task among three routers. The model uses the takeover rule
//! ([`due_at`]) and the ranks of rendezvous hashing, and covers every order in which messages arrive or are
//! lost, routers die and restart, and member views change. Time passes in ticks.
//!
//! Each test states the faults and what must hold under them; docs/duties.md has the table.

use std::time::Duration;

use quillpoint_membership::PeerName;
use quillpoint_membership::ids::{TaskId, TaskKind, TaskTarget};
use quillpoint_membership::rendezvous::{Candidate, rank};
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::{TakeoverInputs, TaskParams, due_at};
use stateright::{Checker, Model, Property};

const ROUTERS: usize = 3;
const PERIOD: u64 = 3;
const TAKEOVER_DELAY: u64 = 2;
const MIN_INTERVAL: u64 = 2;
/// The time at which the model starts. Not zero, so that a run before it can be represented.
const START: u64 = 10;

/// The faults that may occur, and the parameters of the model.
#[derive(Clone, Copy)]
struct Faults {
    /// The number of messages that may be lost.
    losses: u8,
    /// The number of times that a router may be killed.
    kills: u8,
    /// The number of times that the view of a router may change, to any set of routers that includes the
    /// router itself.
    wrong_views: u8,
    /// Breaks the takeover rule, to test the model: every router considers itself the owner.
    ignores_ranks: bool,
    /// The time at which the model ends.
    ends_at: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Router {
    alive: bool,
    /// The routers that this router considers active, one bit for each.
    view: u8,
    last_run: Option<u64>,
    last_started: Option<u64>,
    first_due: u64,
    /// The number of restarts.
    restarts: u8,
}

/// One run of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct TaskRun {
    at: u64,
    router: usize,
    /// The number of restarts of the router before the run.
    restarts: u8,
}

/// Informs a router that the task was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    to: usize,
    run_at: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    routers: [Router; ROUTERS],
    /// Messages in transit.
    messages: Vec<Message>,
    /// The runs of the task that the properties can depend on.
    runs: Vec<TaskRun>,
    /// How many more messages may be lost.
    losses: u8,
    /// How many more times a router may be killed.
    kills: u8,
    /// How many more times a view may change.
    wrong_views: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time passes, when all due runs have been made and all messages have arrived or are lost.
    Tick,
    Run(usize),
    Arrive(usize),
    Lose(usize),
    Kill(usize),
    Restart(usize),
    ChangeView(usize, u8),
}

fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn params() -> TaskParams {
    TaskParams {
        kind: TaskKind(0),
        period: ticks(PERIOD),
        takeover_delay: ticks(TAKEOVER_DELAY),
        min_interval: ticks(MIN_INTERVAL),
        max_duration: ticks(MIN_INTERVAL),
        priority: Priority(0),
        cost: 1.0,
    }
}

fn name(router: usize) -> PeerName {
    PeerName::new(&format!("r{router}")).unwrap()
}

impl Faults {
    /// When this router runs the task next.
    fn due(&self, world: &World, router: usize) -> Option<u64> {
        let own = world.routers[router];
        if !own.alive {
            return None;
        }
        let active = (0..ROUTERS).filter(|other| own.view & (1 << other) != 0);
        let candidates: Vec<Candidate> =
            active.map(|other| Candidate { name: name(other), zone: 0, weight: 1 }).collect();
        let task = TaskId { kind: TaskKind(0), target: TaskTarget::Deployment };
        let inputs = TakeoverInputs {
            last_run: own.last_run.map(ticks),
            first_due: ticks(own.first_due),
            earliest_start: own.last_started.map_or(Duration::ZERO, |started| ticks(started + MIN_INTERVAL)),
            rank: if self.ignores_ranks { 0 } else { rank(task, 0, &name(router), &candidates)? },
        };
        Some(due_at(&params(), inputs).as_secs())
    }

    fn is_due(&self, world: &World, router: usize) -> bool {
        self.due(world, router).is_some_and(|at| at <= world.now)
    }
}

impl Model for Faults {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let router = Router {
            alive: true,
            view: 0b111,
            last_run: Some(START - 1),
            last_started: None,
            first_due: START,
            restarts: 0,
        };
        vec![World {
            now: START,
            routers: [router; ROUTERS],
            messages: vec![],
            runs: vec![TaskRun { at: START - 1, router: 0, restarts: u8::MAX }],
            losses: self.losses,
            kills: self.kills,
            wrong_views: self.wrong_views,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        let due: Vec<usize> = (0..ROUTERS).filter(|router| self.is_due(world, *router)).collect();
        // Messages and runs take less than a tick.
        if due.is_empty() && world.messages.is_empty() && world.now < self.ends_at {
            actions.push(Step::Tick);
        }
        actions.extend(due.into_iter().map(Step::Run));
        for index in 0..world.messages.len() {
            actions.push(Step::Arrive(index));
            if world.losses > 0 {
                actions.push(Step::Lose(index));
            }
        }
        for router in 0..ROUTERS {
            let alive = world.routers.iter().filter(|router| router.alive).count();
            if world.routers[router].alive && world.kills > 0 && alive > 1 {
                actions.push(Step::Kill(router));
            }
            if !world.routers[router].alive {
                actions.push(Step::Restart(router));
            }
            if world.routers[router].alive && world.wrong_views > 0 {
                let own = 1 << router;
                let others = (0..8_u8).filter(|view| view & own != 0 && *view != world.routers[router].view);
                actions.extend(others.map(|view| Step::ChangeView(router, view)));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick => {
                world.now += 1;
                let now = world.now;
                world.runs.retain(|run| run.at + 2 * (PERIOD + 2 * TAKEOVER_DELAY) > now);
            }
            Step::Run(router) => {
                let now = world.now;
                let restarts = world.routers[router].restarts;
                world.runs.push(TaskRun { at: now, router, restarts });
                world.routers[router].last_started = Some(now);
                world.routers[router].last_run = Some(now);
                let others = (0..ROUTERS).filter(|other| *other != router);
                world.messages.extend(others.map(|to| Message { to, run_at: now }));
            }
            Step::Arrive(index) => {
                let Message { to, run_at } = world.messages.remove(index);
                let router = &mut world.routers[to];
                if router.alive {
                    router.last_run = router.last_run.max(Some(run_at));
                }
            }
            Step::Lose(index) => {
                world.messages.remove(index);
                world.losses -= 1;
            }
            Step::Kill(router) => {
                world.routers[router].alive = false;
                world.kills -= 1;
            }
            Step::Restart(router) => {
                // A restarted router knows only what the snapshots of its peers contain, and runs tasks after
                // it has received them.
                let alive = world.routers.iter().filter(|other| other.alive);
                world.routers[router] = Router {
                    alive: true,
                    view: 0b111,
                    last_run: alive.filter_map(|other| other.last_run).max(),
                    last_started: None,
                    first_due: world.now,
                    restarts: world.routers[router].restarts + 1,
                };
            }
            Step::ChangeView(router, view) => {
                world.routers[router].view = view;
                world.wrong_views -= 1;
            }
        }
        world.messages.sort_unstable();
        world.runs.sort_unstable();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a process runs the task at most once per minimum interval",
                |_, world: &World| {
                    let mut runs = world.runs.clone();
                    runs.sort_by_key(|run| (run.router, run.restarts, run.at));
                    runs.windows(2).all(|pair| {
                        let (earlier, later) = (pair[0], pair[1]);
                        let is_same_process =
                            (earlier.router, earlier.restarts) == (later.router, later.restarts);
                        !is_same_process || earlier.at + MIN_INTERVAL <= later.at
                    })
                },
            ),
            Property::always(
                "runs in a period stay within the limit for the faults",
                |model: &Self, world: &World| most_runs_in_a_period(world) <= model.max_runs_in_a_period(),
            ),
            Property::always(
                "the delay of a run stays within the limit for the faults",
                |model: &Self, world: &World| {
                    let last = world.runs.iter().map(|run| run.at).max().unwrap_or(0);
                    world.now <= last + PERIOD + model.max_takeover_delays() * TAKEOVER_DELAY
                },
            ),
            Property::sometimes("the task is run repeatedly until the end", |model: &Self, world: &World| {
                world.now == model.ends_at && world.runs.len() > 1
            }),
        ]
    }
}

fn most_runs_in_a_period(world: &World) -> usize {
    let runs_from =
        |from: u64| world.runs.iter().filter(|run| (from..from + PERIOD).contains(&run.at)).count();
    world.runs.iter().map(|run| runs_from(run.at)).max().unwrap_or(0)
}

impl Faults {
    /// The maximum number of runs within one period.
    fn max_runs_in_a_period(&self) -> usize {
        // Without faults there is one run. A lost message leaves one router uninformed. A wrong view makes
        // one more router the owner. A router that restarts before any peer has received its last message
        // does not know of its own run.
        1 + usize::from(self.losses) + usize::from(self.wrong_views) + usize::from(self.kills)
    }

    /// The maximum number of takeover delays before a router runs the task: one for each dead router with a
    /// lower rank, and two if a view is wrong.
    fn max_takeover_delays(&self) -> u64 {
        u64::from(self.kills).min(ROUTERS as u64 - 1) + u64::from(self.wrong_views > 0) * 2
    }
}

/// Asserts that all properties hold under the faults, and returns the number of distinct states of the model.
fn check_model(faults: Faults) -> usize {
    let checker = faults.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}

const NO_FAULTS: Faults =
    Faults { losses: 0, kills: 0, wrong_views: 0, ignores_ranks: false, ends_at: START + 12 };

/// Guards against duplicate or missed runs when all messages arrive.
#[test]
fn without_faults_the_task_is_run_once_per_period() {
    assert!(check_model(NO_FAULTS) > 10);
}

/// Guards against a task that no router runs because its owner has died, and against duplicate runs after a
/// restart.
#[test]
fn the_next_ranks_take_over_after_any_two_deaths_and_restarts() {
    assert!(check_model(Faults { kills: 2, ends_at: START + 10, ..NO_FAULTS }) > 500);
}

/// Guards against repeated duplicate runs after a router has missed the message about a run.
#[test]
fn a_lost_message_causes_at_most_one_extra_run_per_period() {
    assert!(check_model(Faults { losses: 1, ends_at: START + 9, ..NO_FAULTS }) > 50);
}

/// Guards against a task that no router runs because a message was lost and a router has died.
#[test]
fn the_task_is_taken_over_after_a_lost_message_and_a_death() {
    assert!(check_model(Faults { losses: 1, kills: 1, ends_at: START + 8, ..NO_FAULTS }) > 1000);
}

/// Guards against duplicate or missing runs while the views of the routers differ, so that the routers
/// disagree about the owner.
#[test]
fn any_single_wrong_view_causes_at_most_one_extra_run_per_period() {
    assert!(check_model(Faults { wrong_views: 1, ends_at: START + 9, ..NO_FAULTS }) > 500);
}

/// Guards against a model that cannot fail: without ranks all routers run the task in the same period.
#[test]
fn the_model_detects_a_takeover_rule_without_ranks() {
    let checker = Faults { ignores_ranks: true, ..NO_FAULTS }.checker().spawn_bfs().join();
    assert!(checker.discovery("runs in a period stay within the limit for the faults").is_some());
}
