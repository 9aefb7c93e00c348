//! Datagrams that wait in the socket's receive buffer while the process is paused are aged by that time when
//! they are read.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_io::Timer;
use futures_lite::future;
use quillpoint_control_plane::{ControlHost, FleetMember, MemberConfig, SubscriberConfig, SubscriberService};
use quillpoint_datagram::keys::Keyring;
use quillpoint_datagram::{Opener, Sealer};
use quillpoint_membership::ids::TaskKind;
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::TaskParams;
use quillpoint_membership::{
    FleetParams, GossipBody, GossipMessage, Incarnation, MemberRecord, MemberState, MemberVersion,
    Observation, PeerName, TimestampedObservation,
};
use quillpoint_observation_feed::message::{
    Digest, DigestNumber, LAG_CLASSES, LagClass, PARTITIONS, PartitionId, Revision, SnapshotChunk,
};
use quillpoint_observation_feed::subscriber::SubscriberParams;
use quillpoint_observation_feed::{ControlInstance, Entry, Envelope, FeedObservation, Message, NodeStatus};

/// How long the process is paused, or idle.
const PROCESS_PAUSE: Duration = Duration::from_millis(400);
/// Tolerance for the time between sending and arrival, and for clocks that are read one after the other.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Time in which a running process reads its datagrams.
const READ_TIME: Duration = Duration::from_millis(20);

/// A process with a clock and one database, which records the observations that it receives.
struct TestHost {
    unix_at_start: Duration,
    started_at: Instant,
    received: RefCell<Vec<TimestampedObservation>>,
}

impl TestHost {
    fn new() -> Rc<Self> {
        let unix_at_start = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        Rc::new(Self { unix_at_start, started_at: Instant::now(), received: RefCell::default() })
    }
}

impl ControlHost for TestHost {
    fn now(&self) -> Duration {
        self.unix_at_start + self.started_at.elapsed()
    }
    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        BTreeMap::from([(node(), 0)])
    }
    fn observation_received(&self, observation: TimestampedObservation) {
        self.received.borrow_mut().push(observation);
    }
    fn feed_observation_received(&self, _: FeedObservation) {}
    fn start_health_check(&self, _: SocketAddr) -> bool {
        false
    }
    fn is_ejected(&self, _: SocketAddr) -> bool {
        false
    }
}

fn node() -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], 5432))
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn name(name: &str) -> PeerName {
    PeerName::new(name).unwrap()
}

fn keys() -> Keyring {
    Keyring::parse(&"7e".repeat(32)).unwrap()
}

fn fleet_params() -> FleetParams {
    let health_check = TaskParams {
        kind: TaskKind(0),
        period: Duration::from_secs(60),
        takeover_delay: Duration::from_secs(60),
        min_interval: Duration::from_secs(60),
        max_duration: Duration::from_secs(1),
        priority: Priority(0),
        cost: 1.0,
    };
    FleetParams {
        health_check,
        work_rate: 100.0,
        work_burst: 100.0,
        gossip_bytes_per_second: 1e6,
        budgets_grow_with_nodes: false,
    }
}

/// Gossip of another member with an observation that is 10 ms old when it is sent.
fn gossip(address: SocketAddr, position: u64) -> GossipMessage {
    let version = MemberVersion { incarnation: Incarnation(5), revision: 0 };
    let from =
        MemberRecord { name: name("r2"), version, address, zone: 0, weight: 1, state: MemberState::Up };
    let observation = Observation {
        node: node(),
        age: Duration::from_millis(10),
        position: Some(Duration::from_secs(position)),
        primary: Some(true),
        waiting: None,
        started: None,
        failed: false,
    };
    GossipMessage { from, body: GossipBody::Observations(vec![observation]), records: Vec::new() }
}

/// A digest that covers the first revision of the node's partition. All databases were seen 10 ms before it
/// was sent.
fn digest(number: u32, now: Duration) -> Message {
    let mut revisions = vec![Revision::default(); PARTITIONS];
    revisions[PartitionId::of(node()).index()] = Revision(1);
    Message::Digest(Digest {
        number: DigestNumber(number),
        sent: now,
        age: Duration::from_millis(10),
        watermarks: [Some(Duration::from_secs(1)); LAG_CLASSES],
        revisions,
        changes: Vec::new(),
        health_check_period: Duration::from_millis(150),
        router_count: 1,
    })
}

/// The complete snapshot of the node's partition, in one chunk.
fn chunk() -> Message {
    let entry = Entry { primary: Some(true), started: None, status: NodeStatus::Seen(LagClass(0)) };
    Message::Chunk(SnapshotChunk {
        partition: PartitionId::of(node()),
        revision: Revision(1),
        index: 0,
        chunk_count: 1,
        groups: vec![(entry, vec![node()])],
    })
}

/// The configuration of a subscriber of the control instance at this address.
fn subscriber_config(control: SocketAddr) -> SubscriberConfig {
    SubscriberConfig {
        name: name("r1"),
        listen: local(),
        keys: keys(),
        params: SubscriberParams {
            region: None,
            digest_interval: Duration::from_millis(100),
            health_check_period: Duration::from_millis(150),
            router_count: 1,
        },
        control_instances: vec![ControlInstance { name: name("c0"), address: control, region: None }],
        max_datagrams_per_second: 20_000,
    }
}

#[test]
fn gossip_that_was_queued_while_the_process_was_paused_is_dated_by_its_send_time() {
    let host = TestHost::new();
    let port = UdpSocket::bind(local()).unwrap();
    let listen = port.local_addr().unwrap();
    drop(port);
    let config = MemberConfig {
        name: name("r1"),
        listen,
        advertise: listen,
        zone: 0,
        weight: 1,
        keys: keys(),
        seeds: Vec::new(),
        fleet_params: fleet_params(),
        max_datagrams_per_second: 20_000,
    };
    let member = FleetMember::new(config, Rc::<TestHost>::clone(&host), 1).unwrap();
    member.nodes_changed();
    let incarnation = member.fleet().members().own_record().version.incarnation;
    let other = UdpSocket::bind(local()).unwrap();
    let (mut sealer, keys) = (Sealer::default(), keys());
    let mut send = |position: u64| {
        let message = gossip(other.local_addr().unwrap(), position);
        let bytes = sealer.seal(&keys, Some(incarnation), &message).unwrap();
        other.send_to(&bytes, listen).unwrap();
    };
    let mut sent = Vec::new();
    let script = async {
        // A datagram that is read at once is not aged, even if none has arrived for a while before it.
        Timer::after(PROCESS_PAUSE).await;
        sent.push(host.now());
        send(100);
        Timer::after(READ_TIME).await;
        // Sleeping blocks the thread, so the process does not read.
        for position in [101, 102] {
            sent.push(host.now());
            send(position);
            std::thread::sleep(PROCESS_PAUSE / 2);
        }
        Timer::after(READ_TIME).await;
    };
    future::block_on(future::or(async { Rc::clone(&member).receive().await }, script));
    let received = host.received.borrow();
    assert_eq!(received.len(), 3, "{received:?}");
    for (observation, sent) in received.iter().zip(&sent) {
        let seen = *sent - Duration::from_millis(10);
        assert!(observation.at <= seen + TOLERANCE, "dated {:?} after it was seen", observation.at - seen);
        assert!(observation.at + TOLERANCE >= seen, "dated {:?} before it was seen", seen - observation.at);
    }
}

#[test]
fn digests_that_were_queued_while_the_process_was_paused_are_dated_by_their_send_time() {
    let host = TestHost::new();
    let control = UdpSocket::bind(local()).unwrap();
    control.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let config = subscriber_config(control.local_addr().unwrap());
    let subscription = SubscriberService::new(config, Rc::<TestHost>::clone(&host), 1).unwrap();
    subscription.nodes_changed();
    let (mut sealer, mut opener, keys) = (Sealer::default(), Opener::<Envelope>::new(4), keys());
    let mut address = None;
    let mut send = |message: Message, address: Option<(SocketAddr, Incarnation)>| {
        let (to, receiver) = address.unwrap();
        let envelope = Envelope { from: name("c0"), incarnation: Incarnation(7), message };
        control.send_to(&sealer.seal(&keys, Some(receiver), &envelope).unwrap(), to).unwrap();
    };
    let mut request = [0; 1500];
    let script = async {
        // The subscription request contains the router's address and incarnation.
        Timer::after(Duration::from_millis(200)).await;
        let (length, from) = control.recv_from(&mut request).unwrap();
        let opened = opener.open(&keys, Incarnation(7), &request[..length]);
        address = Some((from, opened.unwrap().incarnation));
        // The process is paused whenever a digest arrives, so that none is read on arrival.
        for number in 1..=4 {
            if number == 2 {
                send(chunk(), address);
            }
            let sent = host.now();
            send(digest(number, sent), address);
            std::thread::sleep(Duration::from_millis(200));
            Timer::after(READ_TIME).await;
            if let Some(observation) = subscription.observation(node()) {
                let seen = sent - Duration::from_millis(10);
                assert!(
                    observation.seen_at <= seen + TOLERANCE,
                    "dated {:?} after it was seen",
                    observation.seen_at - seen
                );
                assert!(
                    observation.seen_at + TOLERANCE >= seen,
                    "dated {:?} before it was seen",
                    seen - observation.seen_at
                );
            }
        }
        assert!(
            subscription.observation(node()).is_some(),
            "no observation: the first digests only establish the delay baseline"
        );
    };
    let service = async {
        let (receiver, timer) = (Rc::clone(&subscription), Rc::clone(&subscription));
        future::zip(receiver.receive(), timer.run_timer()).await;
    };
    future::block_on(future::or(service, script));
}
