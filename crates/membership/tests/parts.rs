//! The parts of the fleet one by one: the line for a duty, the scheduler's budget, the book of news.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::ids::{Subject, TaskId, TaskKind};
use quillpoint_membership::observation_store::{OLDEST, ObservationStore, Verdict};
use quillpoint_membership::rendezvous::{Candidate, phase, place};
use quillpoint_membership::scheduler::{Priority, Scheduler};
use quillpoint_membership::sharded_tasks::{ShardedTasks, TaskParams};
use quillpoint_membership::{Observation, PeerName};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(number: usize) -> PeerName {
    PeerName::new(&format!("r{number}")).unwrap()
}

fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], number))
}

fn duty(number: u16) -> TaskId {
    TaskId { kind: TaskKind(0), subject: Subject::Node(node(number)) }
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(|number| Candidate { name: name(number), zone: (number % 2) as u16, weight: 1 }).collect()
}

/// Who heads the line for each of so many duties, all in zone 0.
fn heads(candidates: &[Candidate], duties: u16) -> Vec<PeerName> {
    let head = |number: u16| {
        let first = |candidate: &&Candidate| place(duty(number), 0, &candidate.name, candidates) == Some(0);
        candidates.iter().find(first).unwrap().name.clone()
    };
    (0..duties).map(head).collect()
}

#[test]
fn each_place_in_a_line_is_taken_once() {
    let all = candidates(7);
    for number in 0..200 {
        let places: BTreeSet<u32> =
            all.iter().map(|candidate| place(duty(number), 0, &candidate.name, &all).unwrap()).collect();
        assert_eq!(places, (0..7).collect());
    }
}

#[test]
fn one_that_goes_moves_only_its_own_duties() {
    let all = candidates(10);
    let before = heads(&all, 500);
    let after = heads(&all[..9], 500);
    for (before, after) in before.iter().zip(&after) {
        assert!(*before == name(9) || before == after, "{before} to {after}");
    }
}

#[test]
fn a_probers_own_zone_is_preferred_and_weight_counts() {
    let near = heads(&candidates(10), 1000)
        .iter()
        .filter(|head| head.as_str().ends_with(['0', '2', '4', '6', '8']))
        .count();
    assert!((700..900).contains(&near), "four to one: {near}");
    let mut weighted = candidates(4);
    weighted.iter_mut().for_each(|candidate| candidate.zone = 0);
    weighted[1].weight = 3;
    weighted[2].weight = 0;
    let heads = heads(&weighted, 1000);
    let of = |number: usize| heads.iter().filter(|head| **head == name(number)).count();
    assert_eq!(of(2), 0, "no weight, no duties");
    assert!((500..700).contains(&of(1)), "three in five: {}", of(1));
}

#[test]
fn phases_spread_over_the_period_and_differ_between_routers() {
    let early = (0..1000).filter(|number| phase(duty(*number), &name(0)) < 0.25).count();
    assert!((200..300).contains(&early), "{early}");
    assert_ne!(phase(duty(1), &name(0)), phase(duty(1), &name(1)));
}

#[test]
fn the_scheduler_goes_by_priority_then_by_what_has_waited_longest() {
    let mut scheduler = Scheduler::new(1000.0, 1000.0, ms(0));
    for (job, due, priority) in [(1, 30, 1), (2, 10, 1), (3, 40, 0), (4, 500, 0)] {
        scheduler.set(job, ms(due), Priority(priority), 1.0);
    }
    assert_eq!(scheduler.take(ms(5)), None, "none is due");
    let order: Vec<i32> = std::iter::from_fn(|| scheduler.take(ms(100))).collect();
    assert_eq!(order, [3, 2, 1]);
    assert_eq!(scheduler.len(), 1);
    // Set anew while it was ready, it waits for its new time.
    scheduler.set(5, ms(100), Priority(0), 1.0);
    scheduler.set(5, ms(900), Priority(0), 1.0);
    assert_eq!(scheduler.take(ms(200)), None);
}

#[test]
fn the_budget_spreads_out_what_is_due_at_once() {
    // Eight units a second, two saved up: of jobs that are all due, two go at once and then one each 125 ms.
    let mut scheduler = Scheduler::new(8.0, 2.0, ms(0));
    (0..10).for_each(|job| scheduler.set(job, ms(0), Priority(0), 1.0));
    let mut times = Vec::new();
    for at in (0..2000).step_by(125) {
        times.extend(std::iter::from_fn(|| scheduler.take(ms(at))).map(|_| at));
    }
    assert_eq!(times, [0, 0, 125, 250, 375, 500, 625, 750, 875, 1000]);
    // One dearer than all that can be saved goes when as much as can be is.
    scheduler.set(99, ms(0), Priority(0), 50.0);
    assert_eq!(scheduler.take(ms(5000)), Some(99));
    assert!(scheduler.is_empty());
}

#[test]
fn what_was_put_off_without_a_word_waits_for_its_new_time() {
    let mut scheduler = Scheduler::new(1000.0, 1.0, ms(0));
    (1..=3).for_each(|job| scheduler.set(job, ms(100), Priority(0), 1.0));
    let off = |until: &[u64]| {
        let until: Vec<Duration> = until.iter().map(|at| ms(*at)).collect();
        move |job: i32| Some(until[job as usize - 1])
    };
    // The first was put off before its time came up, the third while it waited for the budget.
    assert_eq!(scheduler.take_but(ms(100), off(&[300, 100, 100])), Some(2));
    assert_eq!(scheduler.take_but(ms(100), off(&[300, 100, 100])), None, "nothing is left to spend");
    assert_eq!(scheduler.take_but(ms(200), off(&[300, 100, 250])), None);
    assert_eq!(scheduler.take_but(ms(260), off(&[300, 100, 250])), Some(3));
    assert_eq!(scheduler.take_but(ms(299), off(&[300, 100, 250])), None);
    assert_eq!(scheduler.take_but(ms(300), off(&[300, 100, 250])), Some(1));
    assert!(scheduler.is_empty());
    // An earlier time than it was set for moves nothing.
    scheduler.set(1, ms(900), Priority(0), 1.0);
    assert_eq!(scheduler.take_but(ms(800), off(&[400, 0, 0])), None);
    assert_eq!(scheduler.take_but(ms(900), off(&[400, 0, 0])), Some(1));
}

#[test]
fn a_budget_that_is_changed_holds_from_then_on() {
    let mut scheduler = Scheduler::new(8.0, 2.0, ms(0));
    (0..40).for_each(|job| scheduler.set(job, ms(0), Priority(0), 1.0));
    let count = |scheduler: &mut Scheduler<i32>, at| std::iter::from_fn(|| scheduler.take(ms(at))).count();
    assert_eq!(count(&mut scheduler, 0), 2);
    scheduler.budget_changed(80.0, 20.0);
    assert_eq!((count(&mut scheduler, 100), count(&mut scheduler, 350)), (8, 20));
    scheduler.budget_changed(8.0, 2.0);
    assert_eq!(count(&mut scheduler, 9000), 2);
}

fn plan() -> TaskParams {
    TaskParams {
        kind: TaskKind(0),
        period: ms(100),
        grace: ms(50),
        floor: ms(100),
        longest: ms(1000),
        priority: Priority(0),
        cost: 1.0,
    }
}

/// The duties of router 0, of which it heads none that are named.
fn duties(routers: usize) -> ShardedTasks {
    let mut duties = ShardedTasks::new(name(0), 1e6, 1e6, ms(0));
    let subjects: BTreeMap<Subject, u16> = (0..50).map(|number| (Subject::Node(node(number)), 0)).collect();
    duties.subjects_changed(ms(0), plan(), &subjects);
    duties.view_changed(ms(0), candidates(routers));
    duties
}

#[test]
fn what_a_router_does_not_own_it_claims_only_once_it_is_overdue() {
    let mut duties = duties(3);
    let all = candidates(3);
    let other = (0..50).find(|number| place(duty(*number), 0, &name(0), &all) == Some(2)).unwrap();
    duties.done(duty(other), ms(1000));
    assert!(!duties.claim(ms(1100), duty(other), false), "its owner may be a little late");
    assert!(duties.claim(ms(1150), duty(other), false));
    assert!(!duties.claim(ms(1160), duty(other), false), "it is at it");
    duties.ended(ms(1170), duty(other));
    assert!(!duties.claim(ms(1170), duty(other), true), "its floor holds, alone or not");
    duties.done(duty(other), ms(1240));
    assert!(!duties.claim(ms(1251), duty(other), false));
    assert!(duties.claim(ms(1251), duty(other), true), "nobody's doing could stand in for it");
}

#[test]
fn what_another_did_meanwhile_is_not_done_here_and_a_doubt_hurries_it_until_then() {
    let mut duties = duties(3);
    let all = candidates(3);
    let at = |stands| (0..50).find(|number| place(duty(*number), 0, &name(0), &all) == Some(stands)).unwrap();
    let (own, next) = (duty(at(0)), duty(at(1)));
    let done = |duties: &mut ShardedTasks, now: u64| -> Vec<TaskId> {
        let all: Vec<TaskId> = std::iter::from_fn(|| duties.next(ms(now))).collect();
        all.iter().for_each(|id| duties.ended(ms(now), *id));
        all
    };
    // Whatever was owed from the start on.
    done(&mut duties, 1000);
    for now in (1010..2000).step_by(10) {
        // Others do both, the later one again and again.
        duties.done(own, ms(now));
        duties.done(next, ms(now));
        let doing = done(&mut duties, now);
        assert!(!doing.contains(&own) && !doing.contains(&next), "at {now}");
    }
    // Nobody does any more: the own one after a period, the other's a grace later.
    let first = |duties: &mut ShardedTasks, id: TaskId, from: u64| {
        (from..from + 1000).step_by(10).find(|now| done(duties, *now).contains(&id))
    };
    assert_eq!(first(&mut duties, own, 2000), Some(2090));
    duties.done(next, ms(3000));
    assert_eq!(first(&mut duties, next, 3000), Some(3150));
    // A doubt: at once, if its own floor lets it; not once somebody has done it.
    duties.done(next, ms(4000));
    duties.doubted(ms(4020), next);
    assert_eq!(first(&mut duties, next, 4020), Some(4020));
    duties.done(next, ms(6000));
    duties.doubted(ms(6020), next);
    duties.done(next, ms(6030));
    assert_eq!(first(&mut duties, next, 6030), Some(6180));
}

#[test]
fn what_was_last_done_long_ago_is_owed_as_soon_as_that_is_heard() {
    let mut duties = ShardedTasks::new(name(0), 1e6, 1e6, ms(10_000));
    let subjects: BTreeMap<Subject, u16> = (0..50).map(|number| (Subject::Node(node(number)), 0)).collect();
    duties.view_changed(ms(10_000), candidates(1));
    // What nobody is known to have done is spread over a period.
    duties.subjects_changed(ms(10_000), plan(), &subjects);
    let late = (0..50).map(duty).filter(|id| phase(*id, &name(0)) > 0.5);
    let late: Vec<TaskId> = late.take(2).collect();
    duties.done(late[0], ms(5000));
    duties.done(late[1], ms(9990));
    let now: Vec<TaskId> = std::iter::from_fn(|| duties.next(ms(10_010))).collect();
    assert!(now.contains(&late[0]) && !now.contains(&late[1]), "{now:?}");
}

#[test]
fn a_doing_that_never_ends_is_done_anew() {
    let mut duties = duties(1);
    let began = std::iter::from_fn(|| duties.next(ms(100))).count();
    assert_eq!(began, 50);
    assert_eq!(duties.next(ms(900)), None, "each may still be under way");
    assert_eq!(std::iter::from_fn(|| duties.next(ms(1200))).count(), 50);
}

#[test]
fn subjects_that_go_are_forgotten() {
    let mut duties = duties(1);
    duties.subjects_changed(ms(10), plan(), &BTreeMap::from([(Subject::Node(node(7)), 0)]));
    assert_eq!(duties.owned(), (1, 1));
    assert!(!duties.is_known(duty(8)) && !duties.claim(ms(500), duty(8), true));
    assert_eq!(std::iter::from_fn(|| duties.next(ms(500))).collect::<Vec<_>>(), [duty(7)]);
}

fn news(number: u16, position: u64) -> Observation {
    let position = Some(ms(position));
    Observation {
        node: node(number),
        age: ms(0),
        position,
        primary: None,
        waiting: None,
        started: None,
        failed: false,
    }
}

fn failure(number: u16) -> Observation {
    Observation { position: None, failed: true, ..news(number, 0) }
}

fn book(nodes: u16, rate: f64) -> ObservationStore {
    let mut book = ObservationStore::new(name(0), rate, ms(0));
    book.nodes_changed(&(0..nodes).map(node).collect());
    book
}

#[test]
fn the_newest_news_goes_first_and_the_rest_within_the_budget() {
    let mut book = book(100, 4000.0);
    (0..100).for_each(|number| _ = book.found(ms(10_000 + u64::from(number)), ms(0), news(number, 9000)));
    // A thousand bytes are saved up, of which a letter of ten takes 560.
    let first = book.outgoing(ms(10_100), 1);
    let nodes: Vec<u16> = first.concat().iter().map(|news| news.node.port()).collect();
    assert_eq!(nodes, (90..100).rev().collect::<Vec<u16>>());
    assert_eq!(first[0][0].age, ms(1));
    assert!(book.outgoing(ms(10_100), 1).is_empty(), "nothing is left to spend");
    let later = book.outgoing(ms(10_300), 1);
    assert_eq!(later.concat()[0].node.port(), 89);
    // What has grown too old meanwhile is not sent at all.
    let late = book.outgoing(ms(10_100) + OLDEST, 1);
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn nothing_piles_up_while_there_is_nobody_to_tell() {
    let mut book = book(10, 1e6);
    (0..10).for_each(|number| _ = book.found(ms(1000), ms(0), news(number, 900)));
    assert!(book.outgoing(ms(1000), 0).is_empty());
    assert!(book.outgoing(ms(1010), 1).is_empty());
    assert_eq!(book.record(ms(1020)).concat().len(), 10, "who comes is told the record");
}

#[test]
fn the_record_holds_the_newest_of_own_and_told_but_no_failures() {
    let mut book = book(3, 1e6);
    book.found(ms(1000), ms(0), news(0, 900));
    book.told(ms(1100), &name(1), news(0, 1050));
    book.told(ms(1100), &name(1), news(1, 1060));
    book.found(ms(1200), ms(0), failure(1));
    book.found(ms(1200), ms(0), failure(2));
    let record = book.record(ms(1300)).concat();
    let told: Vec<_> =
        record.iter().map(|news| (news.node.port(), news.position.unwrap(), news.age)).collect();
    assert_eq!(told, [(0, ms(1050), ms(200)), (1, ms(1060), ms(200))]);
}

#[test]
fn what_was_told_last_is_known_to_who_asks_as_long_as_it_is_of_use() {
    let mut book = book(2, 1e6);
    assert_eq!(book.latest_observation(ms(900), node(0)), None);
    let Verdict::Believed(first) = book.told(ms(1000), &name(1), news(0, 900)) else { panic!("an answer") };
    assert_eq!(book.latest_observation(ms(1000), node(0)), Some(first));
    // Older words, failures and own findings are no later word of others.
    book.told(ms(1000), &name(2), Observation { age: ms(500), ..news(0, 400) });
    book.told(ms(1100), &name(2), failure(0));
    book.found(ms(1200), ms(1190), news(0, 1150));
    assert_eq!(book.latest_observation(ms(1200), node(0)), Some(first));
    let Verdict::Believed(later) = book.told(ms(1300), &name(2), news(0, 1290)) else { panic!("an answer") };
    assert_eq!(book.latest_observation(ms(1300) + OLDEST, node(0)), Some(later));
    assert_eq!(book.latest_observation(ms(1301) + OLDEST, node(0)), None, "too old");
    assert_eq!(
        (book.latest_observation(ms(1300), node(1)), book.latest_observation(ms(1300), node(9))),
        (None, None)
    );
    // The node itself contradicts it.
    assert_eq!(book.found(ms(1400), ms(1350), news(0, 1000)), Some(name(2)));
    assert_eq!(book.latest_observation(ms(1400), node(0)), None);
}

#[test]
fn one_voice_is_a_doubt_and_two_of_late_are_heard() {
    let mut book = book(1, 1e6);
    assert_eq!(book.told(ms(5000), &name(1), failure(0)), Verdict::Doubt);
    assert_eq!(book.told(ms(5100), &name(1), failure(0)), Verdict::Doubt, "the same voice twice");
    assert_eq!(book.told(ms(8000), &name(2), failure(0)), Verdict::Doubt, "too far apart");
    let Verdict::Believed(evidence) = book.told(ms(8500), &name(1), failure(0)) else { panic!("two voices") };
    assert!(evidence.failed);
    // Its own answer outweighs failures that were found before.
    book.found(ms(9000), ms(8990), news(0, 8900));
    assert_eq!(book.told(ms(9000), &name(1), Observation { age: ms(100), ..failure(0) }), Verdict::Dropped);
    assert_eq!(book.told(ms(9100), &name(1), failure(0)), Verdict::Doubt, "counted anew");
}

#[test]
fn an_answer_that_was_long_in_coming_makes_no_liar() {
    let mut book = book(1, 1e6);
    book.told(ms(1000), &name(1), news(0, 990));
    // Asked before that word, answered after it: the node had not got so far yet.
    assert_eq!(book.found(ms(1200), ms(900), news(0, 890)), None);
    // Asked after it, the node should have said no less.
    assert_eq!(book.found(ms(1300), ms(1100), news(0, 890)), Some(name(1)));
    assert_eq!(book.told(ms(1400), &name(1), news(0, 1390)), Verdict::Dropped, "not believed for a while");
    assert!(matches!(book.told(ms(70_000), &name(1), news(0, 69_000)), Verdict::Believed(_)));
}

#[test]
fn what_is_old_or_of_no_listed_node_or_of_the_future_counts_for_nothing() {
    let mut book = book(1, 1e6);
    let old = Observation { age: OLDEST + ms(1), ..news(0, 900) };
    assert_eq!(book.told(ms(20_000), &name(1), old), Verdict::Dropped);
    assert_eq!(book.told(ms(20_000), &name(1), news(9, 900)), Verdict::Dropped);
    let Verdict::Believed(evidence) = book.told(ms(20_000), &name(1), news(0, 20_001)) else {
        panic!("an answer")
    };
    assert_eq!(evidence.position, None);
    assert_eq!(book.len(), 1);
}
