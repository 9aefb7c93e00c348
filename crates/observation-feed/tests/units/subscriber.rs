//! A subscriber: what it accepts, what it requests, and whom it follows.

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
fn what_is_out_of_turn_or_of_no_sense_changes_nothing() {
    let host = RecordingHost::default();
    let mut router = subscriber(&host);
    let [one, two, three] = nodes_of_one_partition();
    let control = name("c0");
    let mut tell = |at: u64, start: u64, message: Message| {
        router.message_arrived(ms(at), &control, Incarnation(start), message);
        router.observation(one).map(|observation| observation.seen_at)
    };
    for number in 1..=3 {
        tell(
            1000 + u64::from(number) * 100,
            7,
            Message::Digest(digest(number, 5000 + u64::from(number) * 100, 1)),
        );
    }
    tell(1310, 7, Message::Chunk(chunk(1, 0, 1, &[one, two])));
    let fresh = tell(1400, 7, Message::Digest(digest(4, 5400, 1)));
    assert_eq!(fresh, Some(ms(1350)));
    // A digest that came before, an earlier one, one of an earlier incarnation, one that is much too late, one that is cut.
    assert_eq!(tell(1450, 7, Message::Digest(digest(4, 5450, 1))), fresh);
    assert_eq!(tell(1450, 7, Message::Digest(digest(3, 5450, 1))), fresh);
    assert_eq!(tell(1450, 6, Message::Digest(digest(9, 5450, 1))), fresh);
    assert_eq!(tell(4500, 7, Message::Digest(digest(9, 5600, 1))), fresh);
    let cut = Digest { revisions: vec![Revision(1); 6], ..digest(10, 8400, 1) };
    assert_eq!(tell(4600, 7, Message::Digest(cut)), fresh);
    // What a router says, a stranger, and numbers that make no sense.
    tell(4600, 7, Message::Subscribe);
    tell(4600, 7, Message::Pull(vec![PartitionId(255)]));
    let wild = Entry { status: NodeStatus::Seen(LagClass(255)), ..seen_entry(0) };
    let wild = Change { revision: Revision(2), node: two, entry: Some(wild) };
    let hostile = Digest {
        health_check_period: Duration::MAX,
        router_count: u32::MAX,
        age: Duration::MAX,
        changes: vec![wild],
        ..digest(11, 8400, 2)
    };
    let known = tell(4400, 7, Message::Digest(hostile));
    assert_eq!(known, Some(ms(0)), "as old as it says");
    tell(4500, 7, Message::Chunk(chunk(u32::MAX, 0, 1, &[one])));
    let wild = Change { revision: Revision(0), node: two, entry: None };
    tell(4600, 7, Message::Digest(Digest { changes: vec![wild], ..digest(12, 8600, 2) }));
    router.message_arrived(ms(4700), &name("c7"), Incarnation(1), Message::Digest(digest(99, 9000, 1)));
    router.timer_fired(ms(4700));
    assert_eq!(router.observation(three), None);
    assert!(!router.claim_health_check(ms(4700), node(9), true), "not on the list");
    // Of a later incarnation nothing earlier holds.
    router.message_arrived(ms(4750), &control, Incarnation(8), Message::Digest(digest(1, 100, 1)));
    assert_eq!(router.observation(one), None);
}

#[test]
fn partitions_are_requested_a_few_at_a_time_and_again_ever_later() {
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
    // Nobody answers: no more than sixteen are out there within the time that an answer may take.
    for (from, _) in &requested {
        let out = requested.iter().filter(|(at, _)| (*from..*from + 400).contains(at)).count();
        assert!(out <= 16, "{out} from {from}");
    }
    let early = requested.iter().filter(|(at, _)| *at < 5000).count();
    assert!((32..100).contains(&early), "{early}");
    let of: BTreeSet<PartitionId> = requested.iter().map(|(_, partition)| *partition).collect();
    assert_eq!(of.len(), PARTITIONS, "each in its turn: {of:?}");
}

#[test]
fn a_clock_that_was_set_back_shuts_a_control_instance_out_for_seconds_and_not_for_ever() {
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
    // It starts again with an earlier clock, and speaks ten times a second.
    let mut follows = None;
    for at in (1500..20_000).step_by(50) {
        router.timer_fired(ms(at));
        if at % 100 == 0 {
            let digest = Message::Digest(digest(at as u32 / 100, at, 1));
            router.message_arrived(ms(at), &control, Incarnation(3), digest);
        }
        if at > 2000 && !router.is_isolated() {
            follows.get_or_insert(at);
        }
    }
    assert!(follows.is_some_and(|at| (10_000..16_000).contains(&at)), "{follows:?}");
    assert_eq!(router.observation(one), None, "nothing of the other incarnation holds");
}

#[test]
fn digests_that_waited_together_for_a_router_are_no_fresher_than_they_were_sent() {
    let host = RecordingHost::default();
    let mut router = subscriber(&host);
    let [one, ..] = nodes_of_one_partition();
    let control = name("c0");
    // The publisher's clock is 4 s ahead, nothing is under way for any time, and databases were seen 50 ms before.
    let tell = |router: &mut Subscriber<RecordingHost>, at: u64, sent: u64| {
        let digest = Message::Digest(digest(sent as u32 / 100, sent + 4000, 1));
        router.message_arrived(ms(at), &control, Incarnation(7), digest);
        router.observation(one).map(|observation| observation.seen_at)
    };
    for at in [1100, 1200, 1300] {
        tell(&mut router, at, at);
    }
    router.message_arrived(ms(1310), &control, Incarnation(7), Message::Chunk(chunk(1, 0, 1, &[one])));
    assert_eq!(tell(&mut router, 1400, 1400), Some(ms(1350)));
    // It is lost, and followed again with the replica that was cached.
    let lost = (1450..5000).step_by(50).find(|at| {
        router.timer_fired(ms(*at));
        !router.follows(&control)
    });
    let again = (lost.unwrap() + 50..9000).step_by(50).find(|at| {
        router.timer_fired(ms(*at));
        router.follows(&control)
    });
    // The router then stands still, and reads all that has come meanwhile at one moment, in haste or not.
    let from = again.unwrap().next_multiple_of(100);
    let now = from + 1300;
    for sent in (from..now).step_by(100) {
        let at = tell(&mut router, now, sent).unwrap();
        assert!(at <= ms(sent - 50), "sent at {sent}, read at {now}, dated {at:?}");
    }
    // One more stall, in which less comes together.
    for sent in (now..=now + 300).step_by(100) {
        let at = tell(&mut router, now + 300, sent).unwrap();
        assert!(at <= ms(sent - 50), "sent at {sent}, read at {}, dated {at:?}", now + 300);
    }
    let at = tell(&mut router, now + 400, now + 400).unwrap();
    assert_eq!(at, ms(now + 350), "three that came one by one: it counts");
}

#[test]
fn a_router_that_was_held_up_reads_what_has_come_before_it_takes_anyone_for_silent() {
    let host = RecordingHost::default();
    let mut router = subscriber(&host);
    let control = name("c0");
    let tell = |router: &mut Subscriber<RecordingHost>, at: u64| {
        router.message_arrived(
            ms(at),
            &control,
            Incarnation(7),
            Message::Digest(digest(at as u32 / 100, at, 1)),
        );
    };
    for at in (50..2000).step_by(50) {
        if at % 100 == 0 {
            tell(&mut router, at);
        }
        router.timer_fired(ms(at));
    }
    assert!(router.follows(&control));
    // Held up for longer than a silence may last: its timer comes first, and then what waits in its socket.
    router.timer_fired(ms(2750));
    assert!(router.follows(&control) && !router.is_isolated(), "its digests lie in the socket");
    (2000..2750).step_by(100).for_each(|at| tell(&mut router, at));
    router.timer_fired(ms(2800));
    assert!(router.follows(&control));
    // One that has said nothing by the next look is lost as ever.
    router.timer_fired(ms(4000));
    assert!(router.follows(&control));
    router.timer_fired(ms(4050));
    assert!(!router.follows(&control));
}
