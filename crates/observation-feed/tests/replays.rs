//! `Subscribe` messages that were recorded before a control instance's restart and are replayed from elsewhere: they name
//! no incarnation, so that a hash alone does not tell them from new ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName, TimestampedObservation};
use quillpoint_observation_feed::publisher::PublisherParams;
use quillpoint_observation_feed::subscriber::SubscriberParams;
use quillpoint_observation_feed::{
    ControlInstance, Event, FeedObservation, Host, Message, Publisher, Subscriber,
};

type Sent = (SocketAddr, Option<Incarnation>, Message);

#[derive(Clone, Default)]
struct RecordingHost(Rc<RefCell<Vec<Sent>>>);

impl Host for RecordingHost {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().push((to, session, message));
    }
    fn set_timer(&mut self, _after: Duration) {}
    fn observation_changed(&mut self, _observation: FeedObservation) {}
    fn report_event(&mut self, _event: Event) {}
}

impl RecordingHost {
    fn take(&self) -> Vec<Sent> {
        std::mem::take(&mut *self.0.borrow_mut())
    }
}

const PERIOD: Duration = Duration::from_millis(100);
const ROUTER: Incarnation = Incarnation(5);
/// Of the control instance, before its restart and after.
const BEFORE: Incarnation = Incarnation(70);
const AFTER: Incarnation = Incarnation(71);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(name: &str) -> PeerName {
    PeerName::new(name).unwrap()
}

fn own() -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 1], 9001))
}

fn elsewhere() -> SocketAddr {
    SocketAddr::from(([10, 66, 6, 6], 666))
}

fn control() -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 9], 7500))
}

/// A control instance that has just started, of ten databases.
struct Instance {
    publisher: Publisher<RecordingHost>,
    host: RecordingHost,
}

impl Instance {
    fn started(now: u64) -> Self {
        let host = RecordingHost::default();
        let params = PublisherParams {
            health_check_period: PERIOD,
            digest_interval: ms(100),
            snapshot_bytes_per_second: 1e6,
            max_subscribers: 4,
        };
        let mut publisher = Publisher::new(host.clone(), params, 1, ms(now));
        publisher.nodes_changed(ms(now), &(0..10).map(|port| ([10, 2, 0, 1], port).into()).collect());
        Self { publisher, host }
    }

    fn receive(&mut self, now: u64, from: SocketAddr, message: Message) {
        self.publisher.message_arrived(ms(now), from, &name("r1"), ROUTER, message);
    }

    /// Ten milliseconds pass. What is sent meanwhile.
    fn turn(&mut self, now: u64) -> Vec<Sent> {
        for port in 0..10 {
            let (node, at) = (SocketAddr::from(([10, 2, 0, 1], port)), ms(now));
            let (position, primary) = (Some(at), Some(port == 0));
            let observation = TimestampedObservation {
                node,
                at,
                position,
                primary,
                waiting: None,
                started: None,
                failed: false,
            };
            self.publisher.observe(at, observation);
        }
        self.publisher.timer_fired(ms(now));
        self.host.take()
    }
}

/// A router that follows it.
struct Follower {
    subscriber: Subscriber<RecordingHost>,
    host: RecordingHost,
}

impl Follower {
    fn new(now: u64) -> Self {
        let host = RecordingHost::default();
        let instances = vec![ControlInstance { name: name("c1"), address: control(), region: None }];
        let params = SubscriberParams {
            region: None,
            digest_interval: ms(100),
            health_check_period: PERIOD,
            router_count: 1,
        };
        let subscriber = Subscriber::new(host.clone(), name("r1"), params, instances, 1, ms(now));
        Self { subscriber, host }
    }

    fn receive(&mut self, now: u64, start: Incarnation, message: Message) {
        self.subscriber.message_arrived(ms(now), &name("c1"), start, message);
    }

    /// What it sends that a process of that incarnation would accept.
    fn sent(&mut self, now: u64, start: Incarnation) -> Vec<Message> {
        if now.is_multiple_of(50) {
            self.subscriber.timer_fired(ms(now));
        }
        let meant = |(to, session, message): Sent| {
            assert_eq!(to, control());
            let open = message == Message::Subscribe && session.is_none();
            (open || session == Some(start)).then_some(message)
        };
        self.host.take().into_iter().filter_map(meant).collect()
    }
}

/// A control instance and a router that speak to each other as long as `replay` says; where its digests went by then.
fn play(
    start: Incarnation,
    from: u64,
    until: u64,
    router: &mut Follower,
    replay: impl Fn(u64) -> bool,
) -> Vec<(u64, SocketAddr)> {
    let (mut instance, mut digests) = (Instance::started(from), Vec::new());
    for now in (from..until).step_by(10) {
        for message in router.sent(now, start) {
            instance.receive(now, own(), message);
        }
        if replay(now) {
            instance.receive(now, elsewhere(), Message::Subscribe);
        }
        for (to, session, message) in instance.turn(now) {
            assert_eq!(session, Some(ROUTER));
            if matches!(message, Message::Digest(_)) {
                digests.push((now, to));
            }
            if to == own() {
                router.receive(now, start, message);
            }
        }
    }
    digests
}

#[test]
fn a_replayed_subscribe_redirects_no_digest_of_a_router_that_has_answered_one() {
    let mut router = Follower::new(1000);
    let before = play(BEFORE, 1000, 4000, &mut router, |_| false);
    assert!(before.len() > 20 && before.iter().all(|(_, to)| *to == own()), "{before:?}");
    // It starts again, and is sent what was recorded, many times over.
    let replayed = |now: u64| now >= 6500 && now.is_multiple_of(130);
    let after = play(AFTER, 4000, 12_000, &mut router, replayed);
    let lost: Vec<_> = after.iter().filter(|(_, to)| *to == elsewhere()).collect();
    assert_eq!(lost, Vec::<&(u64, SocketAddr)>::new());
    let digests = after.iter().filter(|(at, _)| *at >= 6500).count();
    assert!(digests >= 50, "ten a second, whatever is replayed: {digests}");
}

#[test]
fn a_replay_that_arrives_before_the_router_itself_costs_it_nothing() {
    let mut router = Follower::new(1000);
    play(BEFORE, 1000, 4000, &mut router, |_| false);
    // Ahead of the router's own request, once, while the control instance still sees too little to speak.
    let after = play(AFTER, 4000, 12_000, &mut router, |now| now == 4000);
    let own_first = after.iter().find(|(_, to)| *to == own()).map_or(u64::MAX, |(at, _)| *at);
    let lost = || after.iter().filter(|(_, to)| *to == elsewhere());
    assert!(lost().all(|(at, _)| *at < own_first && *at < 5200), "{after:?}");
    assert!(after.iter().filter(|(_, to)| *to == own()).count() >= 60, "{after:?}");
}

#[test]
fn a_replay_of_a_router_that_is_not_there_has_digests_sent_for_little_more_than_a_second() {
    let mut instance = Instance::started(1000);
    let mut sent = Vec::new();
    for now in (1000..8000).step_by(10) {
        if now == 2000 {
            instance.receive(now, elsewhere(), Message::Subscribe);
            // What it could pull is requested with the incarnation that it does not know: such a datagram is not opened.
        }
        sent.extend(instance.turn(now).into_iter().map(|_| now));
    }
    assert!(sent.len() <= 13, "{sent:?}");
    assert_eq!(instance.publisher.subscriber_count(), 0);
}

#[test]
fn a_router_answers_the_first_digest_at_once_and_names_the_incarnation_from_then_on() {
    let mut router = Follower::new(1000);
    let mut instance = Instance::started(1000);
    let (mut said, mut first) = (Vec::new(), None);
    for now in (1000..9000).step_by(10) {
        router.subscriber.timer_fired(ms(now));
        for (_, session, message) in router.host.take() {
            if session.is_none() || session == Some(AFTER) {
                instance.receive(now, own(), message.clone());
            }
            said.push((now, session, message));
        }
        for (_, _, message) in instance.turn(now) {
            first.get_or_insert(now);
            router.receive(now, AFTER, message);
        }
    }
    let first = first.unwrap();
    let asks = |message: &Message| matches!(message, Message::Subscribe | Message::Renew);
    let (early, late): (Vec<&(u64, _, _)>, Vec<_>) =
        said.iter().filter(|(_, _, message)| asks(message)).partition(|(at, _, _)| *at <= first);
    assert!(early.iter().all(|(_, session, _)| session.is_none()), "{early:?}");
    assert!(late.iter().all(|(_, session, message)| (*session, message) == (Some(AFTER), &Message::Renew)));
    assert!(late[0].0 <= first + 10, "{late:?}");
    assert!((5..=12).contains(&late.len()), "about once a second: {late:?}");
    let pulls = |message: &Message| matches!(message, Message::Pull(_));
    assert!(said.iter().all(|(_, _, message)| asks(message) || pulls(message)), "{said:?}");
}
