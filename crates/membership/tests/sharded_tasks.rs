//! When a router runs a task that it owns or does not own, depending on what it knows about the runs by other
//! routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::PeerName;
use quillpoint_membership::ids::{TaskId, TaskKind, TaskTarget};
use quillpoint_membership::rendezvous::{Candidate, phase, rank};
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::{ShardedTasks, TaskCounts, TaskParams};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(number: usize) -> PeerName {
    PeerName::new(&format!("r{number}")).unwrap()
}

fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], number))
}

fn task(number: u16) -> TaskId {
    TaskId { kind: TaskKind(0), target: TaskTarget::Node(node(number)) }
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(|number| Candidate { name: name(number), zone: (number % 2) as u16, weight: 1 }).collect()
}

fn params() -> TaskParams {
    TaskParams {
        kind: TaskKind(0),
        period: ms(100),
        takeover_delay: ms(50),
        min_interval: ms(100),
        max_duration: ms(1000),
        priority: Priority(0),
        cost: 1.0,
    }
}

/// Fifty tasks from the point of view of router 0.
fn tasks(routers: usize) -> ShardedTasks {
    let mut tasks = ShardedTasks::new(name(0), 1e6, 1e6, ms(0));
    let targets: BTreeMap<TaskTarget, u16> =
        (0..50).map(|number| (TaskTarget::Node(node(number)), 0)).collect();
    tasks.targets_changed(ms(0), params(), &targets);
    tasks.candidates_changed(ms(0), candidates(routers));
    tasks
}

/// Guards against requests that make every router check the same node, and against claims within the minimum
/// interval.
#[test]
fn a_task_of_another_router_is_claimed_only_when_it_is_overdue_or_needs_an_own_run() {
    let mut tasks = tasks(3);
    let all = candidates(3);
    let other = (0..50).find(|number| rank(task(*number), 0, &name(0), &all) == Some(2)).unwrap();
    tasks.record_run(task(other), ms(1000));
    assert!(!tasks.claim(ms(1100), task(other), false), "it is not overdue by the takeover delay yet");
    assert!(tasks.claim(ms(1150), task(other), false));
    assert!(!tasks.claim(ms(1160), task(other), false), "it is running already");
    tasks.run_ended(ms(1170), task(other));
    assert!(!tasks.claim(ms(1170), task(other), true), "its minimum interval has not passed");
    tasks.record_run(task(other), ms(1240));
    assert!(!tasks.claim(ms(1251), task(other), false));
    assert!(tasks.claim(ms(1251), task(other), true), "an own run is needed");
}

/// Guards against running a task that another router has just run, against taking it over too early or too
/// late, and against an expedited run that is no longer needed.
#[test]
fn a_run_by_another_router_postpones_the_task_and_cancels_an_expedited_run() {
    let mut tasks = tasks(3);
    let all = candidates(3);
    let with_rank =
        |wanted| (0..50).find(|number| rank(task(*number), 0, &name(0), &all) == Some(wanted)).unwrap();
    let (own, next) = (task(with_rank(0)), task(with_rank(1)));
    let run_due = |tasks: &mut ShardedTasks, now: u64| -> Vec<TaskId> {
        let all: Vec<TaskId> = std::iter::from_fn(|| tasks.start_next(ms(now))).collect();
        all.iter().for_each(|id| tasks.run_ended(ms(now), *id));
        all
    };
    // Runs everything that is due from the start.
    run_due(&mut tasks, 1000);
    for now in (1010..2000).step_by(10) {
        // Other routers run both tasks in every step.
        tasks.record_run(own, ms(now));
        tasks.record_run(next, ms(now));
        let run = run_due(&mut tasks, now);
        assert!(
            !run.contains(&own) && !run.contains(&next),
            "run at {now} although another router has just run it"
        );
    }
    // Other routers stop running the tasks: the owned one is due after a period, the other one a takeover
    // delay later.
    let first_run = |tasks: &mut ShardedTasks, id: TaskId, from: u64| {
        (from..from + 1000).step_by(10).find(|now| run_due(tasks, *now).contains(&id))
    };
    assert_eq!(first_run(&mut tasks, own, 2000), Some(2090));
    tasks.record_run(next, ms(3000));
    assert_eq!(first_run(&mut tasks, next, 3000), Some(3150));
    // An expedited task runs immediately if the minimum interval allows it, unless another router runs it
    // first.
    tasks.record_run(next, ms(4000));
    tasks.expedite(ms(4020), next);
    assert_eq!(first_run(&mut tasks, next, 4020), Some(4020));
    tasks.record_run(next, ms(6000));
    tasks.expedite(ms(6020), next);
    tasks.record_run(next, ms(6030));
    assert_eq!(first_run(&mut tasks, next, 6030), Some(6180));
}

/// Guards against waiting for the initial phase of a task when a peer reports that its last run was long ago.
#[test]
fn a_task_whose_last_run_was_long_ago_is_due_when_that_becomes_known() {
    let mut tasks = ShardedTasks::new(name(0), 1e6, 1e6, ms(10_000));
    let targets: BTreeMap<TaskTarget, u16> =
        (0..50).map(|number| (TaskTarget::Node(node(number)), 0)).collect();
    tasks.candidates_changed(ms(10_000), candidates(1));
    // Tasks that no router is known to have run are spread over a period.
    tasks.targets_changed(ms(10_000), params(), &targets);
    let late = (0..50).map(task).filter(|id| phase(*id, &name(0)) > 0.5);
    let late: Vec<TaskId> = late.take(2).collect();
    tasks.record_run(late[0], ms(5000));
    tasks.record_run(late[1], ms(9990));
    let now: Vec<TaskId> = std::iter::from_fn(|| tasks.start_next(ms(10_010))).collect();
    assert!(
        now.contains(&late[0]) && !now.contains(&late[1]),
        "only the task whose last run was long ago must run: {now:?}"
    );
}

/// Guards against a task that is never run again because the host has not reported the end of its run.
#[test]
fn a_run_without_a_reported_end_is_started_again_after_the_maximum_duration() {
    let mut tasks = tasks(1);
    let started = std::iter::from_fn(|| tasks.start_next(ms(100))).count();
    assert_eq!(started, 50);
    assert_eq!(tasks.start_next(ms(900)), None, "the runs have not reached the maximum duration yet");
    assert_eq!(std::iter::from_fn(|| tasks.start_next(ms(1200))).count(), 50);
}

/// Guards against tasks that are still run for nodes that have been removed from the endpoint list.
#[test]
fn tasks_of_removed_targets_are_removed() {
    let mut tasks = tasks(1);
    tasks.targets_changed(ms(10), params(), &BTreeMap::from([(TaskTarget::Node(node(7)), 0)]));
    assert_eq!(tasks.counts(), TaskCounts { owned: 1, total: 1 });
    assert!(!tasks.contains(task(8)) && !tasks.claim(ms(500), task(8), true));
    assert_eq!(std::iter::from_fn(|| tasks.start_next(ms(500))).collect::<Vec<_>>(), [task(7)]);
}
