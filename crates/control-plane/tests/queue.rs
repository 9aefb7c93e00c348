//! What waits in a socket while its process stands still is as much older when it is read.

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
    DatedObservation, FleetParams, GossipBody, GossipMessage, Incarnation, MemberRecord, MemberState,
    MemberVersion, Observation, PeerName,
};
use quillpoint_observation_feed::message::{
    Digest, DigestNumber, LAG_CLASSES, LagClass, PARTITIONS, PartitionId, Revision, SnapshotChunk,
};
use quillpoint_observation_feed::{
    ControlInstance, Entry, Envelope, FeedObservation, Message, NodeStatus, subscriber,
};

const STALL: Duration = Duration::from_millis(400);
/// Between the sending and the queue, and for clocks that are read one after the other.
const SLACK: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(20);

/// The process around: its clock, one database, and what it is told.
struct Books {
    unix: Duration,
    since: Instant,
    heard: RefCell<Vec<DatedObservation>>,
}

impl Books {
    fn new() -> Rc<Self> {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        Rc::new(Self { unix, since: Instant::now(), heard: RefCell::default() })
    }
}

impl ControlHost for Books {
    fn now(&self) -> Duration {
        self.unix + self.since.elapsed()
    }
    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        BTreeMap::from([(node(), 0)])
    }
    fn observation_received(&self, evidence: DatedObservation) {
        self.heard.borrow_mut().push(evidence);
    }
    fn learnt(&self, _: FeedObservation) {}
    fn probe(&self, _: SocketAddr) -> bool {
        false
    }
    fn is_shut(&self, _: SocketAddr) -> bool {
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

#[test]
fn news_that_waited_for_a_process_that_stood_still_is_as_much_older() {
    let books = Books::new();
    let probe = TaskParams {
        kind: TaskKind(0),
        period: Duration::from_secs(60),
        takeover_delay: Duration::from_secs(60),
        min_interval: Duration::from_secs(60),
        max_duration: Duration::from_secs(1),
        priority: Priority(0),
        cost: 1.0,
    };
    let plans = FleetParams {
        health_check: probe,
        work_rate: 100.0,
        work_burst: 100.0,
        gossip_bytes_per_second: 1e6,
        budgets_grow_with_nodes: false,
    };
    let port = UdpSocket::bind(local()).unwrap();
    let listen = port.local_addr().unwrap();
    drop(port);
    let part = MemberConfig {
        name: name("r1"),
        listen,
        advertise: listen,
        zone: 0,
        weight: 1,
        keys: keys(),
        seeds: Vec::new(),
        plans,
        letters: 20_000,
    };
    let peers = FleetMember::new(part, Rc::<Books>::clone(&books), 1).unwrap();
    peers.listed();
    let start = peers.fleet().members().own_record().version.incarnation;
    let other = UdpSocket::bind(local()).unwrap();
    let (mut sealer, keys) = (Sealer::default(), keys());
    let mut tell = |position: u64| {
        let version = MemberVersion { incarnation: Incarnation(5), revision: 0 };
        let address = other.local_addr().unwrap();
        let from =
            MemberRecord { name: name("r2"), version, address, zone: 0, weight: 1, state: MemberState::Up };
        let news = Observation {
            node: node(),
            age: Duration::from_millis(10),
            position: Some(Duration::from_secs(position)),
            primary: Some(true),
            waiting: None,
            started: None,
            failed: false,
        };
        let letter = GossipMessage { from, body: GossipBody::Observations(vec![news]), records: Vec::new() };
        let bytes = sealer.seal(&keys, Some(start), &letter).unwrap();
        other.send_to(&bytes, listen).unwrap();
    };
    let mut sent = Vec::new();
    let script = async {
        // What is read at once is as old as it says, however long nothing has come before it.
        Timer::after(STALL).await;
        sent.push(books.now());
        tell(100);
        Timer::after(PAUSE).await;
        // The process stands still.
        for position in [101, 102] {
            sent.push(books.now());
            tell(position);
            std::thread::sleep(STALL / 2);
        }
        Timer::after(PAUSE).await;
    };
    future::block_on(future::or(async { Rc::clone(&peers).listen().await }, script));
    let heard = books.heard.borrow();
    assert_eq!(heard.len(), 3, "{heard:?}");
    for (evidence, sent) in heard.iter().zip(&sent) {
        let seen = *sent - Duration::from_millis(10);
        assert!(evidence.at <= seen + SLACK, "dated {:?} after it was seen", evidence.at - seen);
        assert!(evidence.at + SLACK >= seen, "dated {:?} before it was seen", seen - evidence.at);
    }
}

#[test]
fn digests_that_waited_for_a_router_that_stood_still_are_as_much_older() {
    let books = Books::new();
    let control = UdpSocket::bind(local()).unwrap();
    control.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let plan = subscriber::SubscriberParams {
        region: None,
        digest_interval: Duration::from_millis(100),
        health_check_period: Duration::from_millis(150),
        router_count: 1,
    };
    let line =
        vec![ControlInstance { name: name("c0"), address: control.local_addr().unwrap(), region: None }];
    let part = SubscriberConfig {
        name: name("r1"),
        listen: local(),
        keys: keys(),
        plan,
        control: line,
        letters: 20_000,
    };
    let subscription = SubscriberService::new(part, Rc::<Books>::clone(&books), 1).unwrap();
    subscription.listed();
    let (mut sealer, mut opener, keys) = (Sealer::default(), Opener::<Envelope>::new(4), keys());
    let mut address = None;
    let mut tell = |message: Message, address: Option<(SocketAddr, Incarnation)>| {
        let (to, session) = address.unwrap();
        let envelope = Envelope { from: name("c0"), incarnation: Incarnation(7), message };
        control.send_to(&sealer.seal(&keys, Some(session), &envelope).unwrap(), to).unwrap();
    };
    let partition = PartitionId::of(node());
    let digest = |number: u32, now: Duration| {
        let mut revisions = vec![Revision::default(); PARTITIONS];
        revisions[partition.index()] = Revision(1);
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
    };
    let mut asked = [0; 1500];
    let script = async {
        // Its subscription tells where it is.
        Timer::after(Duration::from_millis(200)).await;
        let (length, from) = control.recv_from(&mut asked).unwrap();
        let said = opener.open(&keys, Incarnation(7), &asked[..length]);
        address = Some((from, said.unwrap().incarnation));
        let entry = Entry { primary: Some(true), started: None, status: NodeStatus::Seen(LagClass(0)) };
        let chunk = SnapshotChunk {
            partition,
            revision: Revision(1),
            index: 0,
            chunk_count: 1,
            groups: vec![(entry, vec![node()])],
        };
        // One, and then the process stands still whenever digests come, so that none is read as it comes.
        for number in 1..=4 {
            if number == 2 {
                tell(Message::Chunk(chunk.clone()), address);
            }
            let sent = books.now();
            tell(digest(number, sent), address);
            std::thread::sleep(Duration::from_millis(200));
            Timer::after(PAUSE).await;
            if let Some(word) = subscription.known(node()) {
                let seen = sent - Duration::from_millis(10);
                assert!(word.seen_at <= seen + SLACK, "dated {:?} after it was seen", word.seen_at - seen);
                assert!(word.seen_at + SLACK >= seen, "dated {:?} before it was seen", seen - word.seen_at);
            }
        }
        assert!(subscription.known(node()).is_some(), "the first measure only");
    };
    let keeps = async {
        let (one, other) = (Rc::clone(&subscription), Rc::clone(&subscription));
        future::zip(one.listen(), other.keep_time()).await;
    };
    future::block_on(future::or(keeps, script));
}
