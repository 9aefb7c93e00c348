//! What the word of another router may do, and what it may not.

mod world;

use quillpoint::host::*;
use world::{Stage, ms, node};

const LONG: std::time::Duration = std::time::Duration::from_millis(3000);

/// A primary and two replicas, of which nothing has been heard but the list.
fn unheard() -> Stage {
    Stage::new(3, 1, &[])
}

#[test]
fn a_peers_word_lets_a_read_go_at_once_and_spares_the_probe() {
    let mut stage = unheard();
    let now = stage.now();
    stage.set_position(2, now - ms(50));
    for number in 1..=3 {
        let word = stage.position_word(number, now - ms(50));
        stage.word(number, word);
    }
    let read = stage.arrive(0, LONG, None);
    assert_eq!(stage.sent_to(read).len(), 1);
    assert!(stage.books.0.borrow().probes.is_empty(), "nobody need be asked");
    stage.end(read, Outcome::Ok);
    assert_eq!(stage.answer(read), Some("ok"));
}

#[test]
fn an_answer_that_shows_the_word_to_be_false_does_not_pass() {
    let mut stage = unheard();
    let now = stage.now();
    for number in [2, 3] {
        stage.books.0.borrow_mut().nodes.get_mut(&node(number)).unwrap().position = now - ms(5000);
    }
    let lie = stage.position_word(2, now);
    stage.word(2, lie);
    let read = stage.arrive(0, LONG, None);
    assert_eq!(stage.sent_to(read), [node(2)]);
    stage.end(read, Outcome::Ok);
    assert_ne!(stage.answer(read), Some("ok"), "5 s old, and 300 ms are allowed");
    // The node's own answer has told its position, so the word counts no longer.
    let next = stage.arrive(0, LONG, None);
    assert!(!stage.sent_to(next).contains(&node(2)));
    // Told again from then on, it is tried again, and found out again.
    let lie = stage.position_word(2, stage.now());
    stage.word(2, lie);
    let third = stage.arrive(0, LONG, None);
    assert_eq!(stage.sent_to(third), [node(2)]);
    stage.end(third, Outcome::Ok);
    assert_ne!(stage.answer(third), Some("ok"));
}

#[test]
fn an_answer_without_a_position_proves_nothing() {
    let mut stage = Stage::new(3, 1, &[("replication.stamps", Value::Flag(false))]);
    let word = stage.position_word(2, stage.now());
    stage.word(2, word);
    let read = stage.arrive(0, LONG, None);
    assert_eq!(stage.sent_to(read), [node(2)]);
    stage.end(read, Outcome::Ok);
    assert_ne!(stage.answer(read), Some("ok"));
}

#[test]
fn a_position_later_than_now_counts_for_nothing() {
    let mut stage = unheard();
    let word = stage.position_word(2, stage.now() + ms(5000));
    stage.word(2, word);
    let read = stage.arrive(0, LONG, None);
    assert_eq!(stage.sent_to(read), []);
}

#[test]
fn a_word_never_makes_own_evidence_worse() {
    let mut stage = unheard();
    stage.arrive(0, ms(1), None);
    stage.end_probes(|_| true);
    let write = stage.arrive(4, LONG, None);
    stage.end(write, Outcome::Ok);
    stage.pass(ms(20));
    // An older position, an older failure, another primary: none of it counts against what was heard here.
    let mut word = stage.position_word(2, stage.now() - ms(9000));
    stage.word(2, word);
    (word.failed, word.position, word.at) = (true, None, stage.now() - ms(500));
    stage.word(2, word);
    stage.word(3, PeerObservation { node: node(3), ..word });
    word = stage.position_word(3, stage.now() - ms(30));
    word.primary = Some(true);
    stage.word(3, word);
    let read = stage.arrive(0, LONG, None);
    assert_eq!(stage.sent_to(read).len(), 1, "both replicas are open and fresh");
    let write = stage.arrive(4, LONG, None);
    assert_eq!(stage.sent_to(write), [node(1)], "the primary that has answered");
}

#[test]
fn several_failures_shut_a_node_until_it_is_heard_here() {
    let mut stage = unheard();
    stage.arrive(0, ms(1), None);
    stage.end_probes(|_| true);
    stage.pass(ms(50));
    let mut word = stage.position_word(2, stage.now());
    (word.failed, word.position) = (true, None);
    stage.word(2, word);
    assert!(stage.router.is_ejected(node(2)));
    let good = stage.position_word(2, stage.now());
    stage.word(2, good);
    assert!(stage.router.is_ejected(node(2)), "others reach it, which is of no use here");
    stage.pass(ms(200));
    stage.end_probes(|_| true);
    assert!(!stage.router.is_ejected(node(2)));
}

#[test]
fn a_probe_left_to_another_changes_nothing() {
    let mut stage = unheard();
    stage.arrive(0, LONG, None);
    let probes = std::mem::take(&mut stage.books.0.borrow_mut().probes);
    assert!(probes.contains(&node(2)));
    let now = stage.now();
    probes.iter().for_each(|node| stage.router.health_check_ended(now, *node, Outcome::Cancelled, None));
    assert!(probes.iter().all(|node| !stage.router.is_ejected(*node)));
    // And it may be asked again.
    stage.arrive(0, LONG, None);
    assert!(stage.books.0.borrow().probes.contains(&node(2)));
}

#[test]
fn probes_in_turn_count_against_a_cold_nodes_credit() {
    let reads = |probes: usize| {
        let mut stage = unheard();
        let mut entry = stage.listed(2, EndpointStatus::InService);
        entry.started = Some(stage.now());
        stage.list(EndpointUpdate::Delta, &[entry]);
        for _ in 0..probes {
            assert!(stage.router.begin_assigned_health_check(node(2)));
            assert!(!stage.router.begin_assigned_health_check(node(2)), "one at a time");
            let now = stage.now();
            let report = LoadReport { position: Some(now), ..LoadReport::default() };
            stage.router.health_check_ended(now, node(2), Outcome::Ok, Some(report));
        }
        let word = stage.position_word(2, stage.now());
        stage.word(2, word);
        stage.set_position(2, stage.now());
        stage.pass(ms(400));
        let word = stage.position_word(2, stage.now());
        stage.word(2, word);
        let ids: Vec<RpcId> = (0..20).map(|_| stage.arrive(1, LONG, None)).collect();
        ids.iter().filter(|id| stage.sent_to(**id) == [node(2)]).count()
    };
    assert!(reads(200) < reads(0), "{} {}", reads(200), reads(0));
}
