//! The observations of a control instance, and the entries that it publishes.

use std::collections::BTreeSet;
use std::time::Duration;

use quillpoint_membership::TimestampedObservation;
use quillpoint_observation_feed::message::{
    Digest, DigestNumber, LAG_CLASSES, LagClass, PartitionId, Revision,
};
use quillpoint_observation_feed::observation_store::{ObservationStore, SubscriberPresence};
use quillpoint_observation_feed::{NodeStatus, encoded_size};

use crate::fixtures::{PERIOD, ms, node, observation};

/// A store of databases that have all been seen at `now` and are published in the first revision.
fn published_store(nodes: u16, now: Duration) -> ObservationStore {
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
fn an_alternating_lag_is_published_once() {
    let mut store = published_store(10, ms(10_000));
    let mut changes = 0;
    for step in 1..100 {
        let now = ms(10_000) + PERIOD * step;
        // The lag alternates between zero and three periods.
        (0..10).for_each(|number| store.observe(now, observation(number, now, PERIOD * (step % 2) * 3)));
        assert!(!store.update_snapshots(now, 1000, SubscriberPresence::Present));
        changes +=
            store.take_changes(1000).iter().map(|change| change.revision).collect::<BTreeSet<_>>().len();
        let digest = digest(&store, now);
        // The watermarks are correct whatever class is published.
        let position = now - PERIOD * (step % 2) * 3;
        assert!(
            digest
                .watermarks
                .iter()
                .flatten()
                .all(|watermark| *watermark <= position && *watermark + PERIOD * 4 >= position)
        );
        if step > 1 {
            assert_eq!(status(&store, 4), NodeStatus::Seen(LagClass(2)));
        }
    }
    assert!(changes <= 30, "expected one change for each of ten databases, in three digests each: {changes}");
    // The lower lag class is published after it has lasted for a while.
    for step in 100..115 {
        let now = ms(10_000) + PERIOD * step;
        (0..10).for_each(|number| store.observe(now, observation(number, now, ms(0))));
        store.update_snapshots(now, 1000, SubscriberPresence::Present);
    }
    assert_eq!(status(&store, 4), NodeStatus::Seen(LagClass(0)));
}

#[test]
fn a_late_database_becomes_unseen_and_is_published_as_seen_again_at_once() {
    // The database is seen only every fourth period, as when the control instance that checks it has died and
    // the next owner is busy.
    let mut store = published_store(10, ms(10_000));
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
fn the_age_of_a_digest_is_that_of_the_oldest_observation_that_it_covers() {
    let mut store = published_store(100, ms(10_000));
    for step in 1..=10 {
        let now = ms(10_000) + PERIOD * step;
        (1..100).for_each(|number| store.observe(now, observation(number, now, ms(0))));
        store.update_snapshots(now, 1000, SubscriberPresence::Present);
        let digest = digest(&store, now + ms(30));
        let silent = PERIOD * step;
        if silent <= PERIOD {
            assert_eq!(
                digest.age,
                silent + ms(30),
                "a silent database that is not late yet determines the age"
            );
        } else {
            assert_eq!((digest.age, status(&store, 0)), (ms(30), NodeStatus::Unseen), "{step}");
        }
    }
}

#[test]
fn a_partition_with_deferred_changes_is_not_covered() {
    // All databases but one become silent at once, and a digest has space for only a few changes.
    let mut store = published_store(1000, ms(10_000));
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
    assert!((40..120).contains(&rounds), "all changes were published after {rounds} rounds");
    assert!((0..1000).all(|number| (status(&store, number) == NodeStatus::Unseen) == (number != 7)));
    assert!(digest(&store, now).revisions.iter().all(|revision| *revision != Revision::default()));
}

#[test]
fn an_outdated_observation_is_ignored_and_a_failure_lasts_until_the_next_answer() {
    let mut store = published_store(10, ms(10_000));
    store.observe(
        ms(10_050),
        TimestampedObservation { failed: true, position: None, ..observation(1, ms(9000), ms(0)) },
    );
    store.update_snapshots(ms(10_050), 1000, SubscriberPresence::Present);
    assert_eq!(
        status(&store, 1),
        NodeStatus::Seen(LagClass(0)),
        "a failure older than the last answer was applied"
    );
    store.observe(
        ms(10_080),
        TimestampedObservation { failed: true, position: None, ..observation(1, ms(10_080), ms(0)) },
    );
    store.update_snapshots(ms(10_080), 1000, SubscriberPresence::Present);
    assert_eq!(status(&store, 1), NodeStatus::Down);
    store.observe(ms(10_090), observation(1, ms(10_070), ms(0)));
    store.update_snapshots(ms(10_090), 1000, SubscriberPresence::Present);
    // That answer was given before the failure but arrived after it. A newer answer ends the failure in any
    // case.
    store.observe(ms(10_095), observation(1, ms(10_095), ms(0)));
    store.update_snapshots(ms(10_095), 1000, SubscriberPresence::Present);
    assert_eq!(status(&store, 1), NodeStatus::Seen(LagClass(0)));
    // An observation of a database that is not listed is ignored.
    store.observe(ms(10_100), observation(77, ms(10_100), ms(0)));
    assert_eq!(store.len(), 10);
}
