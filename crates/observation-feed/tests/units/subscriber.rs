//! The subscriber: which messages it accepts, what it requests, and which instances it follows.

use std::collections::BTreeSet;
use std::time::Duration;

use quillpoint_membership::Incarnation;
use quillpoint_observation_feed::message::{
    Digest, DigestNumber, LAG_CLASSES, LagClass, PARTITIONS, PartitionId, Revision,
};
use quillpoint_observation_feed::subscriber::SubscriberParams;
use quillpoint_observation_feed::{Change, Entry, Message, NodeStatus, Subscriber};

use crate::fixtures::{
    PERIOD, RecordingHost, chunk, control_instances, ms, name, node, nodes_of_one_partition, seen_entry,
};

fn subscriber(host: &RecordingHost) -> Subscriber<RecordingHost> {
    let params = SubscriberParams {
        region: None,
        digest_interval: ms(100),
        health_check_period: PERIOD,
        router_count: 10,
    };
    let mut subscriber =
        Subscriber::new(host.clone(), name("r1"), params, control_instances(2, 1), 1, ms(1000));
    subscriber.nodes_changed(ms(1000), &nodes_of_one_partition().into_iter().collect());
    subscriber.timer_fired(ms(1000));
    subscriber
}

fn digest(number: u32, sent: u64, revision: u32) -> Digest {
    let mut revisions = vec![Revision::default(); PARTITIONS];
    revisions[5] = Revision(revision);
    Digest {
        number: DigestNumber(number),
        sent: ms(sent),
        age: ms(50),
        watermarks: [Some(ms(sent - 60)); LAG_CLASSES],
        revisions,
        changes: Vec::new(),
        health_check_period: PERIOD,
        router_count: 10,
    }
}

#[test]
fn outdated_duplicate_and_invalid_messages_are_ignored() {
    let host = RecordingHost::default();
    let mut router = subscriber(&host);
    let [one, two, three] = nodes_of_one_partition();
    let control = name("c0");
    let mut receive = |at: u64, incarnation: u64, message: Message| {
        router.message_arrived(ms(at), &control, Incarnation(incarnation), message);
        router.observation(one).map(|observation| observation.seen_at)
    };
    for number in 1..=3 {
        receive(
            1000 + u64::from(number) * 100,
            7,
            Message::Digest(digest(number, 5000 + u64::from(number) * 100, 1)),
        );
    }
    receive(1310, 7, Message::Chunk(chunk(1, 0, 1, &[one, two])));
    let fresh = receive(1400, 7, Message::Digest(digest(4, 5400, 1)));
    assert_eq!(fresh, Some(ms(1350)));
    // A duplicate digest, an earlier one, one of an earlier incarnation, one that is much too late, and one
    // with too few revisions.
    assert_eq!(receive(1450, 7, Message::Digest(digest(4, 5450, 1))), fresh);
    assert_eq!(receive(1450, 7, Message::Digest(digest(3, 5450, 1))), fresh);
    assert_eq!(receive(1450, 6, Message::Digest(digest(9, 5450, 1))), fresh);
    assert_eq!(receive(4500, 7, Message::Digest(digest(9, 5600, 1))), fresh);
    let truncated = Digest { revisions: vec![Revision(1); 6], ..digest(10, 8400, 1) };
    assert_eq!(receive(4600, 7, Message::Digest(truncated)), fresh);
    // Messages that only routers send, extreme values, and a control instance that is not followed.
    receive(4600, 7, Message::Subscribe);
    receive(4600, 7, Message::Pull(vec![PartitionId(255)]));
    let invalid = Entry { status: NodeStatus::Seen(LagClass(255)), ..seen_entry(0) };
    let invalid = Change { revision: Revision(2), node: two, entry: Some(invalid) };
    let extreme = Digest {
        health_check_period: Duration::MAX,
        router_count: u32::MAX,
        age: Duration::MAX,
        changes: vec![invalid],
        ..digest(11, 8400, 2)
    };
    let seen_at = receive(4400, 7, Message::Digest(extreme));
    assert_eq!(
        seen_at,
        Some(ms(0)),
        "an age beyond the start of the clock must date the observation at zero"
    );
    receive(4500, 7, Message::Chunk(chunk(u32::MAX, 0, 1, &[one])));
    let invalid = Change { revision: Revision(0), node: two, entry: None };
    receive(4600, 7, Message::Digest(Digest { changes: vec![invalid], ..digest(12, 8600, 2) }));
    router.message_arrived(ms(4700), &name("c7"), Incarnation(1), Message::Digest(digest(99, 9000, 1)));
    router.timer_fired(ms(4700));
    assert_eq!(router.observation(three), None);
    assert!(!router.claim_health_check(ms(4700), node(9), true), "granted for a database that is not listed");
    // A later incarnation invalidates everything received before.
    router.message_arrived(ms(4750), &control, Incarnation(8), Message::Digest(digest(1, 100, 1)));
    assert_eq!(router.observation(one), None);
}

#[test]
fn snapshot_requests_are_limited_in_number_and_repeated_with_backoff() {
    let host = RecordingHost::default();
    let mut router = subscriber(&host);
    let mut requested = Vec::new();
    for at in (1100..9000).step_by(50) {
        if at % 100 == 0 {
            let digest =
                Digest { revisions: vec![Revision(1); PARTITIONS], ..digest(at as u32, at + 4000, 1) };
            router.message_arrived(ms(at), &name("c0"), Incarnation(7), Message::Digest(digest));
        }
        router.timer_fired(ms(at));
        for (_, message) in std::mem::take(&mut host.0.borrow_mut().sent) {
            if let Message::Pull(partitions) = message {
                requested.extend(partitions.into_iter().map(|partition| (at, partition)));
            }
        }
    }
    // No request is answered: at most sixteen are outstanding within the time that an answer may take.
    for (from, _) in &requested {
        let in_flight = requested.iter().filter(|(at, _)| (*from..*from + 400).contains(at)).count();
        assert!(in_flight <= 16, "{in_flight} requests within 400 ms from {from}");
    }
    let early = requested.iter().filter(|(at, _)| *at < 5000).count();
    assert!((32..100).contains(&early), "{early} requests in the first four seconds");
    let partitions: BTreeSet<PartitionId> = requested.iter().map(|(_, partition)| *partition).collect();
    assert_eq!(partitions.len(), PARTITIONS, "not every partition was requested: {partitions:?}");
}

#[test]
fn a_control_instance_whose_clock_was_set_back_is_accepted_again_after_seconds() {
    let host = RecordingHost::default();
    let mut router = subscriber(&host);
    let [one, ..] = nodes_of_one_partition();
    let control = name("c0");
    for number in 1..=3 {
        let digest = digest(number, 5000 + u64::from(number) * 100, 1);
        router.message_arrived(
            ms(1000 + u64::from(number) * 100),
            &control,
            Incarnation(7),
            Message::Digest(digest),
        );
    }
    router.message_arrived(ms(1310), &control, Incarnation(7), Message::Chunk(chunk(1, 0, 1, &[one])));
    router.message_arrived(ms(1400), &control, Incarnation(7), Message::Digest(digest(4, 5400, 1)));
    assert!(router.observation(one).is_some() && !router.is_isolated());
    // The instance restarts with an earlier clock, and therefore an earlier incarnation, and sends ten
    // digests a second.
    let mut accepted_at = None;
    for at in (1500..20_000).step_by(50) {
        router.timer_fired(ms(at));
        if at % 100 == 0 {
            let digest = Message::Digest(digest(at as u32 / 100, at, 1));
            router.message_arrived(ms(at), &control, Incarnation(3), digest);
        }
        if at > 2000 && !router.is_isolated() {
            accepted_at.get_or_insert(at);
        }
    }
    assert!(accepted_at.is_some_and(|at| (10_000..16_000).contains(&at)), "accepted at {accepted_at:?} ms");
    assert_eq!(router.observation(one), None, "an observation of the previous incarnation is still returned");
}

#[test]
fn digests_that_were_queued_while_the_router_was_paused_are_not_dated_too_fresh() {
    let host = RecordingHost::default();
    let mut router = subscriber(&host);
    let [one, ..] = nodes_of_one_partition();
    let control = name("c0");
    // The publisher's clock is 4 s ahead, there is no transit delay, and databases were seen 50 ms before the
    // digest.
    let receive = |router: &mut Subscriber<RecordingHost>, at: u64, sent: u64| {
        let digest = Message::Digest(digest(sent as u32 / 100, sent + 4000, 1));
        router.message_arrived(ms(at), &control, Incarnation(7), digest);
        router.observation(one).map(|observation| observation.seen_at)
    };
    for at in [1100, 1200, 1300] {
        receive(&mut router, at, at);
    }
    router.message_arrived(ms(1310), &control, Incarnation(7), Message::Chunk(chunk(1, 0, 1, &[one])));
    assert_eq!(receive(&mut router, 1400, 1400), Some(ms(1350)));
    // The instance is lost, and followed again with its retained cache.
    let lost = (1450..5000).step_by(50).find(|at| {
        router.timer_fired(ms(*at));
        !router.follows(&control)
    });
    let again = (lost.unwrap() + 50..9000).step_by(50).find(|at| {
        router.timer_fired(ms(*at));
        router.follows(&control)
    });
    // The router is then paused, and afterwards reads all digests that arrived meanwhile at the same moment.
    let from = again.unwrap().next_multiple_of(100);
    let now = from + 1300;
    for sent in (from..now).step_by(100) {
        let at = receive(&mut router, now, sent).unwrap();
        assert!(at <= ms(sent - 50), "sent at {sent}, read at {now}, dated {at:?}");
    }
    // A second, shorter pause.
    for sent in (now..=now + 300).step_by(100) {
        let at = receive(&mut router, now + 300, sent).unwrap();
        assert!(at <= ms(sent - 50), "sent at {sent}, read at {}, dated {at:?}", now + 300);
    }
    let at = receive(&mut router, now + 400, now + 400).unwrap();
    assert_eq!(at, ms(now + 350), "the baseline must be established after digests at three different times");
}

#[test]
fn a_paused_router_reads_queued_digests_before_it_declares_an_instance_lost() {
    let host = RecordingHost::default();
    let mut router = subscriber(&host);
    let control = name("c0");
    let receive = |router: &mut Subscriber<RecordingHost>, at: u64| {
        router.message_arrived(
            ms(at),
            &control,
            Incarnation(7),
            Message::Digest(digest(at as u32 / 100, at, 1)),
        );
    };
    for at in (50..2000).step_by(50) {
        if at % 100 == 0 {
            receive(&mut router, at);
        }
        router.timer_fired(ms(at));
    }
    assert!(router.follows(&control));
    // The router is paused for longer than the maximum silence. Its timer fires first; then it reads the
    // queued digests.
    router.timer_fired(ms(2750));
    assert!(
        router.follows(&control) && !router.is_isolated(),
        "the instance was lost although its digests wait in the socket"
    );
    (2000..2750).step_by(100).for_each(|at| receive(&mut router, at));
    router.timer_fired(ms(2800));
    assert!(router.follows(&control));
    // After a pause without queued digests, the instance is lost when the timer fires the next time.
    router.timer_fired(ms(4000));
    assert!(router.follows(&control));
    router.timer_fired(ms(4050));
    assert!(!router.follows(&control));
}
