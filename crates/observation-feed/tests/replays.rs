//! Replay of `Subscribe` messages that were recorded before a control instance restarted, from an attacker's
//! address. These messages name no incarnation, so the datagram's hash alone does not distinguish them from
//! new ones.

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

type SentDatagram = (SocketAddr, Option<Incarnation>, Message);

#[derive(Clone, Default)]
struct RecordingHost(Rc<RefCell<Vec<SentDatagram>>>);

impl Host for RecordingHost {
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().push((to, receiver, message));
    }
    fn set_timer(&mut self, _after: Duration) {}
    fn observation_changed(&mut self, _observation: FeedObservation) {}
    fn report_event(&mut self, _event: Event) {}
}

impl RecordingHost {
    fn take(&self) -> Vec<SentDatagram> {
        std::mem::take(&mut *self.0.borrow_mut())
    }
}

const PERIOD: Duration = Duration::from_millis(100);
const ROUTER_INCARNATION: Incarnation = Incarnation(5);
/// The incarnations of the control instance.
const INCARNATION_BEFORE_RESTART: Incarnation = Incarnation(70);
const INCARNATION_AFTER_RESTART: Incarnation = Incarnation(71);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(name: &str) -> PeerName {
    PeerName::new(name).unwrap()
}

fn router_address() -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 1], 9001))
}

fn attacker_address() -> SocketAddr {
    SocketAddr::from(([10, 66, 6, 6], 666))
}

fn control_address() -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 9], 7500))
}

/// A control instance that has just started and has ten databases.
struct TestControlInstance {
    publisher: Publisher<RecordingHost>,
    host: RecordingHost,
}

impl TestControlInstance {
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
        self.publisher.message_arrived(ms(now), from, &name("r1"), ROUTER_INCARNATION, message);
    }

    /// Observes all databases and fires the timer. Returns what the control instance sends.
    fn step(&mut self, now: u64) -> Vec<SentDatagram> {
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

/// A router that follows the control instance.
struct TestRouter {
    subscriber: Subscriber<RecordingHost>,
    host: RecordingHost,
}

impl TestRouter {
    fn new(now: u64) -> Self {
        let host = RecordingHost::default();
        let instances = vec![ControlInstance { name: name("c1"), address: control_address(), region: None }];
        let params = SubscriberParams {
            region: None,
            digest_interval: ms(100),
            health_check_period: PERIOD,
            router_count: 1,
        };
        let subscriber = Subscriber::new(host.clone(), name("r1"), params, instances, 1, ms(now));
        Self { subscriber, host }
    }

    fn receive(&mut self, now: u64, incarnation: Incarnation, message: Message) {
        self.subscriber.message_arrived(ms(now), &name("c1"), incarnation, message);
    }

    /// Fires the timer where due, and returns the messages that a control instance of this incarnation would
    /// accept.
    fn accepted_messages(&mut self, now: u64, incarnation: Incarnation) -> Vec<Message> {
        if now.is_multiple_of(50) {
            self.subscriber.timer_fired(ms(now));
        }
        let accepted = |(to, receiver, message): SentDatagram| {
            assert_eq!(to, control_address());
            let is_subscribe = message == Message::Subscribe && receiver.is_none();
            (is_subscribe || receiver == Some(incarnation)).then_some(message)
        };
        self.host.take().into_iter().filter_map(accepted).collect()
    }
}

/// Runs a new control instance with a router from `from` to `until`, and replays a `Subscribe` from the
/// attacker's address whenever `replay` returns true. Returns the time and receiver of each digest.
fn run_with_replays(
    incarnation: Incarnation,
    from: u64,
    until: u64,
    router: &mut TestRouter,
    replay: impl Fn(u64) -> bool,
) -> Vec<(u64, SocketAddr)> {
    let (mut instance, mut digests) = (TestControlInstance::started(from), Vec::new());
    for now in (from..until).step_by(10) {
        for message in router.accepted_messages(now, incarnation) {
            instance.receive(now, router_address(), message);
        }
        if replay(now) {
            instance.receive(now, attacker_address(), Message::Subscribe);
        }
        for (to, receiver, message) in instance.step(now) {
            assert_eq!(receiver, Some(ROUTER_INCARNATION));
            if matches!(message, Message::Digest(_)) {
                digests.push((now, to));
            }
            if to == router_address() {
                router.receive(now, incarnation, message);
            }
        }
    }
    digests
}

#[test]
fn a_replayed_subscribe_does_not_redirect_the_digests_of_a_validated_router() {
    let mut router = TestRouter::new(1000);
    let before = run_with_replays(INCARNATION_BEFORE_RESTART, 1000, 4000, &mut router, |_| false);
    assert!(before.len() > 20 && before.iter().all(|(_, to)| *to == router_address()), "{before:?}");
    // The control instance restarts and receives the recorded message many times.
    let replayed = |now: u64| now >= 6500 && now.is_multiple_of(130);
    let after = run_with_replays(INCARNATION_AFTER_RESTART, 4000, 12_000, &mut router, replayed);
    let redirected: Vec<_> = after.iter().filter(|(_, to)| *to == attacker_address()).collect();
    assert_eq!(redirected, Vec::<&(u64, SocketAddr)>::new());
    let digests = after.iter().filter(|(at, _)| *at >= 6500).count();
    assert!(digests >= 50, "expected ten digests per second despite the replays, found {digests} in total");
}

#[test]
fn a_replay_that_arrives_before_the_router_subscribes_costs_it_no_digests() {
    let mut router = TestRouter::new(1000);
    run_with_replays(INCARNATION_BEFORE_RESTART, 1000, 4000, &mut router, |_| false);
    // The replay arrives once, before the router's own request, while the control instance has not warmed up
    // yet.
    let after = run_with_replays(INCARNATION_AFTER_RESTART, 4000, 12_000, &mut router, |now| now == 4000);
    let own_first = after.iter().find(|(_, to)| *to == router_address()).map_or(u64::MAX, |(at, _)| *at);
    let redirected = || after.iter().filter(|(_, to)| *to == attacker_address());
    assert!(redirected().all(|(at, _)| *at < own_first && *at < 5200), "{after:?}");
    assert!(after.iter().filter(|(_, to)| *to == router_address()).count() >= 60, "{after:?}");
}

#[test]
fn a_replayed_subscribe_of_an_absent_router_causes_digests_for_little_more_than_a_second() {
    let mut instance = TestControlInstance::started(1000);
    let mut sent = Vec::new();
    for now in (1000..8000).step_by(10) {
        if now == 2000 {
            instance.receive(now, attacker_address(), Message::Subscribe);
            // The attacker cannot pull snapshots: a `Pull` names the incarnation, which it does not know, and
            // a datagram without it is rejected.
        }
        sent.extend(instance.step(now).into_iter().map(|_| now));
    }
    assert!(sent.len() <= 13, "too many digests were sent, at {sent:?}");
    assert_eq!(instance.publisher.subscriber_count(), 0);
}

#[test]
fn a_router_answers_the_first_digest_at_once_and_then_names_the_publishers_incarnation() {
    let mut router = TestRouter::new(1000);
    let mut instance = TestControlInstance::started(1000);
    let (mut router_sent, mut first) = (Vec::new(), None);
    for now in (1000..9000).step_by(10) {
        router.subscriber.timer_fired(ms(now));
        for (_, receiver, message) in router.host.take() {
            if receiver.is_none() || receiver == Some(INCARNATION_AFTER_RESTART) {
                instance.receive(now, router_address(), message.clone());
            }
            router_sent.push((now, receiver, message));
        }
        for (_, _, message) in instance.step(now) {
            first.get_or_insert(now);
            router.receive(now, INCARNATION_AFTER_RESTART, message);
        }
    }
    let first = first.unwrap();
    let is_subscription = |message: &Message| matches!(message, Message::Subscribe | Message::Renew);
    let (early, late): (Vec<&(u64, _, _)>, Vec<_>) = router_sent
        .iter()
        .filter(|(_, _, message)| is_subscription(message))
        .partition(|(at, _, _)| *at <= first);
    assert!(early.iter().all(|(_, receiver, _)| receiver.is_none()), "{early:?}");
    assert!(
        late.iter().all(|(_, receiver, message)| (*receiver, message)
            == (Some(INCARNATION_AFTER_RESTART), &Message::Renew))
    );
    assert!(late[0].0 <= first + 10, "{late:?}");
    assert!((5..=12).contains(&late.len()), "expected about one renewal per second: {late:?}");
    let is_pull = |message: &Message| matches!(message, Message::Pull(_));
    assert!(
        router_sent.iter().all(|(_, _, message)| is_subscription(message) || is_pull(message)),
        "{router_sent:?}"
    );
}
