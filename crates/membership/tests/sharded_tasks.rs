//! When a router runs a task, owned or not, by what it knows of the runs of others.

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

/// Fifty tasks, as router 0 sees them.
fn tasks(routers: usize) -> ShardedTasks {
    let mut tasks = ShardedTasks::new(name(0), 1e6, 1e6, ms(0));
    let targets: BTreeMap<TaskTarget, u16> =
        (0..50).map(|number| (TaskTarget::Node(node(number)), 0)).collect();
    tasks.targets_changed(ms(0), params(), &targets);
    tasks.candidates_changed(ms(0), candidates(routers));
    tasks
}

#[test]
fn a_task_that_a_router_does_not_own_is_claimed_only_once_it_is_overdue() {
    let mut tasks = tasks(3);
    let all = candidates(3);
    let other = (0..50).find(|number| rank(task(*number), 0, &name(0), &all) == Some(2)).unwrap();
    tasks.record_run(task(other), ms(1000));
    assert!(!tasks.claim(ms(1100), task(other), false), "its owner may be a little late");
    assert!(tasks.claim(ms(1150), task(other), false));
    assert!(!tasks.claim(ms(1160), task(other), false), "it is running");
    tasks.run_ended(ms(1170), task(other));
    assert!(!tasks.claim(ms(1170), task(other), true), "its minimum interval holds whoever asks");
    tasks.record_run(task(other), ms(1240));
    assert!(!tasks.claim(ms(1251), task(other), false));
    assert!(tasks.claim(ms(1251), task(other), true), "no other run would help");
}

#[test]
fn a_task_that_another_router_has_run_is_not_run_here_and_is_expedited_only_until_then() {
    let mut tasks = tasks(3);
    let all = candidates(3);
    let at = |wanted| (0..50).find(|number| rank(task(*number), 0, &name(0), &all) == Some(wanted)).unwrap();
    let (own, next) = (task(at(0)), task(at(1)));
    let done = |tasks: &mut ShardedTasks, now: u64| -> Vec<TaskId> {
        let all: Vec<TaskId> = std::iter::from_fn(|| tasks.start_next(ms(now))).collect();
        all.iter().for_each(|id| tasks.run_ended(ms(now), *id));
        all
    };
    // All that is due from the start.
    done(&mut tasks, 1000);
    for now in (1010..2000).step_by(10) {
        // Others run both, the later one again and again.
        tasks.record_run(own, ms(now));
        tasks.record_run(next, ms(now));
        let run = done(&mut tasks, now);
        assert!(!run.contains(&own) && !run.contains(&next), "at {now}");
    }
    // Nobody runs them any more: the own one is due after a period, the other a takeover delay later.
    let first = |tasks: &mut ShardedTasks, id: TaskId, from: u64| {
        (from..from + 1000).step_by(10).find(|now| done(tasks, *now).contains(&id))
    };
    assert_eq!(first(&mut tasks, own, 2000), Some(2090));
    tasks.record_run(next, ms(3000));
    assert_eq!(first(&mut tasks, next, 3000), Some(3150));
    // Expedited: at once, if the minimum interval allows it, but not once somebody has run it.
    tasks.record_run(next, ms(4000));
    tasks.expedite(ms(4020), next);
    assert_eq!(first(&mut tasks, next, 4020), Some(4020));
    tasks.record_run(next, ms(6000));
    tasks.expedite(ms(6020), next);
    tasks.record_run(next, ms(6030));
    assert_eq!(first(&mut tasks, next, 6030), Some(6180));
}

#[test]
fn a_task_that_was_last_run_long_ago_is_due_as_soon_as_that_is_known() {
    let mut tasks = ShardedTasks::new(name(0), 1e6, 1e6, ms(10_000));
    let targets: BTreeMap<TaskTarget, u16> =
        (0..50).map(|number| (TaskTarget::Node(node(number)), 0)).collect();
    tasks.candidates_changed(ms(10_000), candidates(1));
    // Tasks that nobody is known to have run are spread over a period.
    tasks.targets_changed(ms(10_000), params(), &targets);
    let late = (0..50).map(task).filter(|id| phase(*id, &name(0)) > 0.5);
    let late: Vec<TaskId> = late.take(2).collect();
    tasks.record_run(late[0], ms(5000));
    tasks.record_run(late[1], ms(9990));
    let now: Vec<TaskId> = std::iter::from_fn(|| tasks.start_next(ms(10_010))).collect();
    assert!(now.contains(&late[0]) && !now.contains(&late[1]), "{now:?}");
}

#[test]
fn a_run_that_never_ends_is_started_again() {
    let mut tasks = tasks(1);
    let started = std::iter::from_fn(|| tasks.start_next(ms(100))).count();
    assert_eq!(started, 50);
    assert_eq!(tasks.start_next(ms(900)), None, "each may still be running");
    assert_eq!(std::iter::from_fn(|| tasks.start_next(ms(1200))).count(), 50);
}

#[test]
fn tasks_whose_subjects_are_gone_are_forgotten() {
    let mut tasks = tasks(1);
    tasks.targets_changed(ms(10), params(), &BTreeMap::from([(TaskTarget::Node(node(7)), 0)]));
    assert_eq!(tasks.counts(), TaskCounts { owned: 1, total: 1 });
    assert!(!tasks.contains(task(8)) && !tasks.claim(ms(500), task(8), true));
    assert_eq!(std::iter::from_fn(|| tasks.start_next(ms(500))).collect::<Vec<_>>(), [task(7)]);
}
