//! What a control instance knows, and the entries that it publishes.

use std::collections::BTreeSet;
use std::time::Duration;

use quillpoint_membership::TimestampedObservation;
use quillpoint_observation_feed::message::{
    Digest, DigestNumber, LAG_CLASSES, LagClass, PartitionId, Revision,
};
use quillpoint_observation_feed::observation_store::{ObservationStore, SubscriberPresence};
use quillpoint_observation_feed::{NodeStatus, encoded_size};

use crate::fixtures::{PERIOD, ms, node, observation};

/// A store of so many databases, all seen at that time, whose first revision has been made.
fn settled_store(nodes: u16, now: Duration) -> ObservationStore {
    let mut store = ObservationStore::new(PERIOD, 0);
    store.nodes_changed(now, &(0..nodes).map(node).collect());
    (0..nodes).for_each(|number| store.observe(now, observation(number, now, ms(0))));
    assert!(!store.update_snapshots(now, 1000, SubscriberPresence::Present));
    store
}

fn digest(store: &ObservationStore, now: Duration) -> Digest {
    let mut digest = Digest {
        number: DigestNumber(1),
        sent: now,
        age: ms(0),
        watermarks: [None; LAG_CLASSES],
        revisions: store.revisions(),
        changes: Vec::new(),
        health_check_period: PERIOD,
        router_count: 1,
    };
    store.fill_digest(now, &mut digest);
    digest
}

fn status(store: &ObservationStore, number: u16) -> NodeStatus {
    let all = store.snapshot(PartitionId::of(node(number))).into_iter().flat_map(|chunk| chunk.groups);
    all.filter(|(_, nodes)| nodes.contains(&node(number))).map(|(entry, _)| entry.status).next().unwrap()
}

#[test]
fn a_lag_that_goes_to_and_fro_is_published_once() {
    let mut store = settled_store(10, ms(10_000));
    let mut changes = 0;
    for step in 1..100 {
        let now = ms(10_000) + PERIOD * step;
        // Now within a period, now nearly three behind.
        (0..10).for_each(|number| store.observe(now, observation(number, now, PERIOD * (step % 2) * 3)));
        assert!(!store.update_snapshots(now, 1000, SubscriberPresence::Present));
        changes +=
            store.take_changes(1000).iter().map(|change| change.revision).collect::<BTreeSet<_>>().len();
        let digest = digest(&store, now);
        // What the watermarks say is true whatever the class.
        let shown = now - PERIOD * (step % 2) * 3;
        assert!(
            digest
                .watermarks
                .iter()
                .flatten()
                .all(|watermark| *watermark <= shown && *watermark + PERIOD * 4 >= shown)
        );
        if step > 1 {
            assert_eq!(status(&store, 4), NodeStatus::Seen(LagClass(2)));
        }
    }
    assert!(changes <= 30, "each published once, three times over: {changes}");
    // It is published as better when it has been so for a while.
    for step in 100..115 {
        let now = ms(10_000) + PERIOD * step;
        (0..10).for_each(|number| store.observe(now, observation(number, now, ms(0))));
        store.update_snapshots(now, 1000, SubscriberPresence::Present);
    }
    assert_eq!(status(&store, 4), NodeStatus::Seen(LagClass(0)));
}

#[test]
fn one_that_is_late_is_unseen_and_seen_again_at_once() {
    // Seen only every fourth period, as where its health checker has died and its successor is busy.
    let mut store = settled_store(10, ms(10_000));
    let (mut now, mut is_seen) = (ms(10_000), Vec::new());
    for step in 1..=16 {
        now += PERIOD;
        (1..10).for_each(|number| store.observe(now, observation(number, now, ms(0))));
        if step % 4 == 0 {
            store.observe(now, observation(0, now, ms(0)));
        }
        store.update_snapshots(now, 1000, SubscriberPresence::Present);
        is_seen.push(status(&store, 0) != NodeStatus::Unseen);
    }
    assert_eq!(is_seen, [true, false, false, true].repeat(4));
}

#[test]
fn a_digest_is_as_old_as_the_oldest_that_it_covers_and_no_older() {
    let mut store = settled_store(100, ms(10_000));
    for step in 1..=10 {
        let now = ms(10_000) + PERIOD * step;
        (1..100).for_each(|number| store.observe(now, observation(number, now, ms(0))));
        store.update_snapshots(now, 1000, SubscriberPresence::Present);
        let digest = digest(&store, now + ms(30));
        let silent = PERIOD * step;
        if silent <= PERIOD {
            assert_eq!(digest.age, silent + ms(30), "not late yet: it ages all");
        } else {
            assert_eq!((digest.age, status(&store, 0)), (ms(30), NodeStatus::Unseen), "{step}");
        }
    }
}

#[test]
fn a_partition_whose_changes_wait_is_not_covered() {
    // All but one are silent at once, and a digest has room for a few of them.
    let mut store = settled_store(1000, ms(10_000));
    let mut now = ms(10_000);
    let mut rounds = 0;
    loop {
        now += PERIOD;
        store.observe(now, observation(7, now, ms(0)));
        let has_backlog = store.update_snapshots(now, 300, SubscriberPresence::Present);
        let digest = digest(&store, now);
        assert!(digest.age <= PERIOD * 4, "{:?}", digest.age);
        let changes = store.take_changes(300);
        assert!(changes.iter().map(encoded_size::change).sum::<usize>() <= 300);
        rounds += 1;
        if !has_backlog && rounds > 5 {
            break;
        }
    }
    assert!((40..120).contains(&rounds), "{rounds}");
    assert!((0..1000).all(|number| (status(&store, number) == NodeStatus::Unseen) == (number != 7)));
    assert!(digest(&store, now).revisions.iter().all(|revision| *revision != Revision::default()));
}

#[test]
fn an_older_observation_changes_nothing_and_a_failure_holds_until_an_answer() {
    let mut store = settled_store(10, ms(10_000));
    store.observe(
        ms(10_050),
        TimestampedObservation { failed: true, position: None, ..observation(1, ms(9000), ms(0)) },
    );
    store.update_snapshots(ms(10_050), 1000, SubscriberPresence::Present);
    assert_eq!(status(&store, 1), NodeStatus::Seen(LagClass(0)), "it has been seen since");
    store.observe(
        ms(10_080),
        TimestampedObservation { failed: true, position: None, ..observation(1, ms(10_080), ms(0)) },
    );
    store.update_snapshots(ms(10_080), 1000, SubscriberPresence::Present);
    assert_eq!(status(&store, 1), NodeStatus::Down);
    store.observe(ms(10_090), observation(1, ms(10_070), ms(0)));
    store.update_snapshots(ms(10_090), 1000, SubscriberPresence::Present);
    // Answered before the failure, heard after it: it had been seen later than was known, and that is all.
    store.observe(ms(10_095), observation(1, ms(10_095), ms(0)));
    store.update_snapshots(ms(10_095), 1000, SubscriberPresence::Present);
    assert_eq!(status(&store, 1), NodeStatus::Seen(LagClass(0)));
    // One that is not listed is nobody's.
    store.observe(ms(10_100), observation(77, ms(10_100), ms(0)));
    assert_eq!(store.len(), 10);
}
