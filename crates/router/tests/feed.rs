//! Two control instances and three routers that subscribe to their feed, as processes, with stand-ins for the
//! nodes and discovery. The tests check the logs, the requests that reached the nodes and the results of
//! RPCs. They do not check how long anything took.
//!
//! On a busy machine any process may not be scheduled for a second, and a router that receives no digest for
//! that long makes its own health checks, as designed. Tests which require that routers make no health checks
//! therefore repeat the measurement and need only one round without any.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use quillpoint_datagram::keys::Keyring;
use quillpoint_datagram::{Opener, Sealer};
use quillpoint_membership::{Incarnation, PeerName};
use quillpoint_observation_feed::message::{DigestNumber, LAG_CLASSES, PARTITIONS, Revision};
use quillpoint_observation_feed::{Digest, Envelope, Message};
use quillpoint_router::pg::{self, BackendMessage};
use quillpoint_testbed::listing::{DiscoveryServer, Endpoint, endpoint_list_json};
use quillpoint_testbed::load::{LoadGenerator, RpcResults};
use quillpoint_testbed::now;
use quillpoint_testbed::replica_set::{ReplicaSet, read_message};
use quillpoint_testbed::routers::{FleetMode, Routers, RoutersConfig};
use serde_json::Value as Json;

const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The number of attempts to observe a round without health checks by routers.
const ROUNDS: usize = 40;
/// The indices of control instances and routers among the processes.
const CONTROL_INSTANCES: [usize; 2] = [0, 1];
const ROUTERS: [usize; 3] = [2, 3, 4];
const OWN_KEY: &str = "7e";

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("feed-{name}"));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Writes a key file. Each key repeats one byte, given as two hex digits.
fn write_keys(folder: &Path, name: &str, bytes: &[&str]) {
    let text: String = bytes.iter().map(|byte| byte.repeat(32) + "\n").collect();
    std::fs::write(folder.join(name), text).unwrap();
    std::fs::set_permissions(folder.join(name), std::fs::Permissions::from_mode(0o600)).unwrap();
}

struct TestCluster {
    store: ReplicaSet,
    routers: Routers,
    folder: PathBuf,
    _listing: DiscoveryServer,
}

impl TestCluster {
    /// Prepares the processes without starting them. `lags` are the replication lags in milliseconds, `every`
    /// is the health check period of the control instances.
    fn prepare(name: &str, lags: &[u64], period: &str) -> Self {
        let lags: Vec<Duration> = lags.iter().map(|ms| Duration::from_millis(*ms)).collect();
        let store = ReplicaSet::start(&lags).unwrap();
        let entry = |node| Endpoint { node, group: 0, started: Duration::ZERO };
        let list = endpoint_list_json(&store.nodes.iter().map(entry).collect::<Vec<_>>());
        let listing = DiscoveryServer::start(list.clone()).unwrap();
        let (program, folder) = (Path::new(env!("CARGO_BIN_EXE_quillpoint")), folder(name));
        let setting = RoutersConfig {
            program,
            directory: &folder,
            discovery: &listing,
            endpoints: &list,
            fleet_mode: FleetMode::Shared,
            seed: 5,
            extra_directives: "",
        };
        let routers = Routers::new(CONTROL_INSTANCES.len() + ROUTERS.len(), &setting).unwrap();
        write_keys(&folder, "feed.keys", &[OWN_KEY]);
        let cluster = Self { store, routers, folder, _listing: listing };
        CONTROL_INSTANCES
            .iter()
            .for_each(|index| cluster.write_conf(*index, &cluster.instance_conf(*index, period)));
        ROUTERS
            .iter()
            .for_each(|index| cluster.write_conf(*index, &cluster.router_conf(*index, &CONTROL_INSTANCES)));
        cluster
    }

    fn start(name: &str, lags: &[u64], period: &str) -> Self {
        let mut cluster = Self::prepare(name, lags, period);
        cluster.routers.start_all().unwrap();
        ROUTERS.iter().for_each(|index| cluster.await_following(*index, &["r0", "r1"]));
        cluster
    }

    fn write_conf(&self, index: usize, conf: &str) {
        std::fs::write(self.routers.conf_path(index), conf).unwrap();
    }

    /// The address at which a process receives feed datagrams.
    fn feed_address(&self, index: usize) -> SocketAddr {
        let fleet = self.routers.datagram_address(index);
        SocketAddr::new(fleet.ip(), fleet.port() + 1000)
    }

    fn instance_conf(&self, index: usize, period: &str) -> String {
        let (fleet, feed) = (self.routers.datagram_address(index), self.feed_address(index));
        let peers = CONTROL_INSTANCES.map(|peer| {
            format!("peer r{peer} {{\n    address {}\n}}\n", self.routers.datagram_address(peer))
        });
        format!(
            "log json\nfleet {{\n    listen {fleet}\n    keys fleet.keys\n}}\n{}publish {{\n    listen {feed}\n    \
             keys feed.keys\n}}\nduty probe {{\n    every {period}\n}}\n",
            peers.concat()
        )
    }

    fn router_conf(&self, index: usize, control: &[usize]) -> String {
        let named = |at: &usize| format!("control r{at} {{\n    address {}\n}}\n", self.feed_address(*at));
        let all: String = control.iter().map(named).collect();
        format!(
            "log json\nsubscribe {{\n    listen {}\n    keys feed.keys\n}}\n{all}",
            self.feed_address(index)
        )
    }

    fn events(&self, index: usize, name: &str) -> Vec<Json> {
        let lines = self.routers.log_lines(index);
        let lines = lines.into_iter().map(|line| serde_json::from_str::<Json>(&line).unwrap());
        lines.filter(|line| line["event"] == name).collect()
    }

    /// The control instances that a router currently follows, according to its log.
    fn followed_instances(&self, index: usize) -> Vec<String> {
        let mut followed = BTreeMap::new();
        let lines = self.routers.log_lines(index);
        for line in lines.into_iter().map(|line| serde_json::from_str::<Json>(&line).unwrap()) {
            let follows = line["event"] == "feed_following";
            if follows || line["event"] == "feed_lost" {
                followed.insert(line["control"].as_str().unwrap().to_string(), follows);
            }
        }
        followed.into_iter().filter(|(_, follows)| *follows).map(|(name, _)| name).collect()
    }

    fn await_following(&self, index: usize, names: &[&str]) {
        wait_until(&format!("router {index} follows {names:?}"), || self.followed_instances(index) == names);
    }

    /// Sends SIGHUP, on which a process logs its counts, and returns them.
    fn logged_counts(&self, index: usize, event: &str) -> Json {
        let before = self.events(index, event).len();
        self.routers.signal(index, "-HUP");
        wait_until(&format!("process {index} logs {event}"), || self.events(index, event).len() > before);
        self.events(index, event).pop().unwrap()
    }

    fn health_checks(&self, index: usize, event: &str) -> usize {
        self.logged_counts(index, event)["probes"].as_u64().unwrap() as usize
    }

    /// The number of health checks at all nodes, and of RPCs at the replicas.
    fn received_requests(&self) -> (usize, usize) {
        let probes = self.store.nodes.iter().map(|node| node.probes_since(Duration::ZERO)).sum();
        let replicas = self.store.nodes.iter().filter(|node| !node.primary);
        (probes, replicas.map(|node| node.rpcs_between(Duration::ZERO, Duration::MAX)).sum())
    }

    /// Waits for a round in which replicas answered RPCs and no router made a health check: all health checks
    /// that reached the nodes were made by these control instances, except for those in flight at the ends of
    /// the round.
    fn await_round_without_router_checks(&self, control: &[usize]) {
        let health_checks = |processes: &[usize], event: &str| -> usize {
            processes.iter().map(|index| self.health_checks(*index, event)).sum()
        };
        let mut rounds = Vec::new();
        for _ in 0..ROUNDS {
            let by_routers = health_checks(&ROUTERS, "feed_counts");
            // Read in this order, the nodes may already count a health check that the control instances have
            // not counted yet, but never the reverse.
            let (probes, rpcs) = self.received_requests();
            let by_instances_before = health_checks(control, "fleet_counts");
            wait_until("replicas receive RPCs", || self.received_requests().1 >= rpcs + 12);
            let (at_nodes, by_instances) =
                (self.received_requests().0, health_checks(control, "fleet_counts"));
            let by_routers = health_checks(&ROUTERS, "feed_counts") - by_routers;
            let in_flight = self.store.nodes.len() * (control.len() + 1);
            if by_routers == 0 && at_nodes - probes <= by_instances - by_instances_before + in_flight {
                return;
            }
            rounds.push((by_routers, at_nodes - probes, by_instances - by_instances_before));
        }
        panic!(
            "no round without health checks by routers; (routers, at the nodes, control instances): {rounds:?}"
        );
    }

    /// Bounded reads at such long intervals that a router's own observations are always too old for them:
    /// only the feed allows a replica to be read.
    fn start_rare_reads(&self) -> LoadGenerator {
        LoadGenerator::with_methods(&self.addresses(), 1, Duration::from_millis(400), &["recent"])
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        ROUTERS.iter().map(|index| self.routers.all[*index].address).collect()
    }

    fn start_load(&self, methods: &'static [&'static str]) -> LoadGenerator {
        LoadGenerator::with_methods(&self.addresses(), 3, Duration::from_millis(10), methods)
    }

    /// Checks that a finished load lost no RPC, ran no write twice, ran every acknowledged write and no
    /// rejected one.
    fn check_rpcs(&self, tally: &RpcResults) {
        assert_eq!(tally.lost.load(Ordering::SeqCst), 0);
        assert!(tally.ok.load(Ordering::SeqCst) > 0);
        assert_eq!(self.store.write_counts().1, 0, "a write ran more than once");
        assert!(tally.committed_ids.lock().unwrap().iter().all(|id| self.store.has_executed(id)));
        assert!(tally.rejected_ids.lock().unwrap().iter().all(|id| !self.store.has_executed(id)));
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = now() + EVENT_TIMEOUT;
    while !condition() {
        assert!(now() < end, "timed out waiting until {what}");
        sleep(CHECK_INTERVAL);
    }
}

fn ok_count(load: &LoadGenerator) -> u64 {
    load.results.ok.load(Ordering::SeqCst)
}

#[test]
fn routers_on_the_feed_read_from_replicas_without_their_own_health_checks() {
    let cluster = TestCluster::start("calm", &[20, 20], "50ms");
    let load = cluster.start_rare_reads();
    cluster.await_round_without_router_checks(&CONTROL_INSTANCES);
    cluster.check_rpcs(&load.finish());
    let load = cluster.start_load(&["recent", "look", "recent", "enter"]);
    cluster.await_round_without_router_checks(&CONTROL_INSTANCES);
    cluster.check_rpcs(&load.finish());
    assert!(cluster.store.nodes.iter().all(|node| node.stale_reads() == 0));
    let counts = cluster.logged_counts(0, "feed_counts");
    assert_eq!(counts["subscribers"], ROUTERS.len(), "{counts}");
    assert!(
        counts["sent_bytes"].as_u64().unwrap() > 1000 && counts["read"].as_u64().unwrap() > 0,
        "{counts}"
    );
    let counts = cluster.logged_counts(2, "feed_counts");
    assert_eq!(counts["following"], 2, "{counts}");
    assert_eq!(counts["refused"], "", "{counts}");
}

#[test]
fn a_router_leaves_health_checks_to_control_instances_even_if_they_check_too_rarely() {
    // The control instances check too rarely for the bounded reads, which are rare as well, so routers would
    // make their own health checks if they were allowed to.
    let cluster = TestCluster::start("spared", &[20, 20], "600ms");
    let load = LoadGenerator::with_methods(
        &[cluster.routers.all[2].address],
        1,
        Duration::from_millis(400),
        &["recent"],
    );
    let count = |name: &str| cluster.logged_counts(2, "feed_counts")[name].as_u64().unwrap();
    let found_round = (0..ROUNDS).any(|_| {
        let (probes, spared) = (count("probes"), count("spared"));
        wait_until("the router skips health checks", || count("spared") >= spared + 3);
        count("probes") == probes
    });
    assert!(
        found_round,
        "no round without health checks by the router: {:?}",
        cluster.events(2, "feed_counts")
    );
    assert_eq!(load.finish().lost.load(Ordering::SeqCst), 0);
    assert!(cluster.store.nodes.iter().all(|node| node.stale_reads() == 0));
}

#[test]
fn routers_continue_with_the_remaining_control_instance_when_one_is_killed() {
    let mut cluster = TestCluster::start("one", &[20, 20], "50ms");
    let load = cluster.start_load(&["recent", "look", "recent", "enter"]);
    for index in CONTROL_INSTANCES {
        cluster.routers.kill(index);
        let other = 1 - index;
        let name = format!("r{other}");
        ROUTERS.iter().for_each(|router| cluster.await_following(*router, &[&name]));
        cluster.await_round_without_router_checks(&[other]);
        cluster.routers.start(index).unwrap();
        ROUTERS.iter().for_each(|router| cluster.await_following(*router, &["r0", "r1"]));
    }
    cluster.check_rpcs(&load.finish());
    assert!(cluster.store.nodes.iter().all(|node| node.stale_reads() == 0));
}

#[test]
fn without_control_instances_routers_make_health_checks_within_their_quota() {
    // The period is so long, and the replicas lag so close to the staleness bound, that a router paced by its
    // reads alone would make many times as many health checks.
    let period = Duration::from_secs(1);
    let mut cluster = TestCluster::start("none", &[270, 270], "1s");
    let load = LoadGenerator::with_methods(
        &cluster.addresses(),
        1,
        Duration::from_millis(40),
        &["recent", "recent", "recent", "enter"],
    );
    CONTROL_INSTANCES.iter().for_each(|index| cluster.routers.kill(*index));
    for index in ROUTERS {
        assert!(cluster.routers.wait_for_line(index, "\"feed_isolated\"", EVENT_TIMEOUT));
    }
    let (from, ok_before) = (now(), ok_count(&load));
    let checks_at = |node: &quillpoint_testbed::replica_set::Node| node.probes_since(from);
    wait_until("routers make health checks", || {
        cluster.store.nodes.iter().map(checks_at).sum::<usize>() >= 6
    });
    sleep(period * 3);
    for node in &cluster.store.nodes {
        // Each router once per period, and once more at either end: delayed answers may arrive together.
        let most = ROUTERS.len() * ((now() - from).div_duration_f64(period).ceil() as usize + 2);
        assert!(node.probes_since(from) <= most, "{} of {most}", node.probes_since(from));
    }
    wait_until("RPCs continue to succeed", || ok_count(&load) > ok_before + 50);
    // The control instances restart, and the routers follow them again.
    for index in CONTROL_INSTANCES {
        cluster.routers.start(index).unwrap();
    }
    for index in ROUTERS {
        assert!(cluster.routers.wait_for_line(index, "\"feed_reconnected\"", EVENT_TIMEOUT));
        cluster.await_following(index, &["r0", "r1"]);
    }
    cluster.check_rpcs(&load.finish());
    assert!(cluster.store.nodes.iter().all(|node| node.stale_reads() == 0));
}

#[test]
fn a_control_instance_publishes_the_observations_of_another() {
    // The first instance has weight 0 and owns no tasks, so all that it publishes was observed by the second.
    let cluster = TestCluster::prepare("weight", &[20, 20], "50ms");
    cluster.write_conf(
        0,
        &cluster.instance_conf(0, "50ms").replace("fleet.keys\n", "fleet.keys\n    weight 0\n"),
    );
    cluster.write_conf(2, &cluster.router_conf(2, &CONTROL_INSTANCES[..1]));
    cluster.write_conf(3, &cluster.router_conf(3, &CONTROL_INSTANCES[1..]));
    let mut cluster = cluster;
    cluster.routers.start_all().unwrap();
    for (index, names) in [(2, ["r0"].as_slice()), (3, &["r1"]), (4, &["r0", "r1"])] {
        cluster.await_following(index, names);
    }
    wait_until("the second instance owns all tasks", || {
        cluster.events(0, "fleet_tasks").last().is_some_and(|line| line["owned"] == 0 && line["routers"] == 2)
    });
    let load = cluster.start_rare_reads();
    cluster.await_round_without_router_checks(&CONTROL_INSTANCES);
    cluster.check_rpcs(&load.finish());
    assert!(cluster.store.nodes.iter().all(|node| node.stale_reads() == 0));
}

/// Guards against a control instance that keeps the configured budgets of a small fleet: databases would then
/// be neither checked nor published.
#[test]
fn a_control_instance_raises_configured_budgets_to_the_needs_of_its_databases() {
    let mut cluster = TestCluster::prepare("budgets", &[20, 20], "50ms");
    for index in CONTROL_INSTANCES {
        let short = "fleet.keys\n    work-budget 1\n    news-budget 4KiB\n";
        cluster.write_conf(index, &cluster.instance_conf(index, "50ms").replace("fleet.keys\n", short));
    }
    cluster.routers.start_all().unwrap();
    ROUTERS.iter().for_each(|index| cluster.await_following(*index, &["r0", "r1"]));
    let load = cluster.start_rare_reads();
    cluster.await_round_without_router_checks(&CONTROL_INSTANCES);
    cluster.check_rpcs(&load.finish());
    assert!(cluster.store.nodes.iter().all(|node| node.stale_reads() == 0));
}

#[test]
fn a_replica_published_as_stale_gets_no_bounded_reads() {
    let cluster = TestCluster::start("stale", &[20, 2000], "50ms");
    let load = cluster.start_load(&["recent"]);
    cluster.await_round_without_router_checks(&CONTROL_INSTANCES);
    cluster.check_rpcs(&load.finish());
    assert_eq!(cluster.store.nodes[2].rpcs_between(Duration::ZERO, Duration::MAX), 0);
    assert!(cluster.store.nodes[1].rpcs_between(Duration::ZERO, Duration::MAX) > 0);
}

/// Makes bounded reads at a router, one after the other. Returns the value of each, or `None` if it failed.
fn read_repeatedly(address: SocketAddr, count: usize) -> Vec<Option<Vec<u8>>> {
    let mut stream = TcpStream::connect(address).unwrap();
    let (mut out, mut unread) = (Vec::new(), Vec::new());
    pg::encode_startup(&mut out, "portal", "crm");
    stream.write_all(&out).unwrap();
    while read_message(&mut stream, &mut unread, pg::decode_backend_message)
        != Some(BackendMessage::ReadyForQuery)
    {}
    let mut answers = Vec::new();
    for index in 0..count {
        let text = format!(
            "/* id=f{index:015x},c=recent,d=1500,cluster=0 */ SELECT data FROM facts WHERE code = '7f3a'"
        );
        stream.write_all(&pg::query_message(text.as_bytes())).unwrap();
        let mut answer = None;
        loop {
            match read_message(&mut stream, &mut unread, pg::decode_backend_message).unwrap() {
                BackendMessage::DataRow(value) => answer = value,
                BackendMessage::ReadyForQuery => break,
                _ => {}
            }
        }
        answers.push(answer);
    }
    answers
}

#[test]
fn a_stale_replica_that_reports_a_recent_position_is_detected_by_its_answers() {
    // The second replica reports a recent position to health checks although it is stale. The control
    // instances publish that position, so routers send it reads and must reject its answers.
    let cluster = TestCluster::prepare("proof", &[20, 2000], "50ms");
    cluster.store.nodes[2].overstate_log_position(Duration::from_millis(1980));
    let mut cluster = cluster;
    cluster.routers.start_all().unwrap();
    ROUTERS.iter().for_each(|index| cluster.await_following(*index, &["r0", "r1"]));
    let tried = || cluster.store.nodes[2].stale_reads() >= 5;
    let end = now() + EVENT_TIMEOUT;
    let mut fresh = 0;
    while !tried() || fresh == 0 {
        assert!(now() < end, "the stale replica got too few reads, or no read succeeded");
        for answer in read_repeatedly(cluster.routers.all[2].address, 20) {
            assert_ne!(answer.as_deref(), Some(&b"stale"[..]), "a stale answer reached a client");
            fresh += usize::from(answer.is_some());
        }
    }
}

#[test]
fn forged_digests_are_rejected_and_have_no_effect() {
    let cluster = TestCluster::start("forged", &[20, 2000], "50ms");
    // A sender without the key claims, in the name of each instance, that all nodes are up to date.
    let start = |index: usize| cluster.events(index, "serves")[0]["start"].as_u64().unwrap();
    let other = Keyring::parse(&"d1".repeat(32)).unwrap();
    let own = Keyring::parse(&OWN_KEY.repeat(32)).unwrap();
    let (socket, mut sealer) = (UdpSocket::bind("127.0.0.1:0").unwrap(), Sealer::default());
    let load = cluster.start_load(&["recent"]);
    for number in 0..300 {
        for (name, index) in [("r0", 0), ("r1", 1)] {
            let envelope = forged_digest(name, start(index), 1_000_000 + number);
            let session = Some(Incarnation(start(2)));
            let mut bytes = sealer.seal(&other, session, &envelope).unwrap();
            if number % 2 == 0 {
                // With the key id of the valid key, so that verification fails instead of the key lookup.
                bytes[3..7].copy_from_slice(&sealer.seal(&own, session, &envelope).unwrap()[3..7]);
            }
            socket.send_to(&bytes, cluster.feed_address(2)).unwrap();
        }
        sleep(Duration::from_millis(2));
    }
    wait_until("the router counts forged datagrams and unknown keys separately", || {
        let refused = cluster.logged_counts(2, "feed_counts")["refused"].as_str().unwrap().to_string();
        refused.contains("Forged:") && refused.contains("UnknownKey:")
    });
    cluster.await_round_without_router_checks(&CONTROL_INSTANCES);
    cluster.check_rpcs(&load.finish());
    assert_eq!(cluster.followed_instances(2), ["r0", "r1"]);
    assert_eq!(cluster.store.nodes[2].rpcs_between(Duration::ZERO, Duration::MAX), 0);
}

fn forged_digest(name: &str, start: u64, number: u32) -> Envelope {
    let digest = Digest {
        number: DigestNumber(number),
        sent: now(),
        age: Duration::ZERO,
        watermarks: [Some(now()); LAG_CLASSES],
        revisions: vec![Revision(1); PARTITIONS],
        changes: Vec::new(),
        health_check_period: Duration::from_millis(50),
        router_count: 1,
    };
    Envelope {
        from: PeerName::new(name).unwrap(),
        incarnation: Incarnation(start),
        message: Message::Digest(digest),
    }
}

/// A subscriber inside the test, to inspect the messages of a control instance.
struct TestSubscriber {
    socket: UdpSocket,
    name: PeerName,
    control: SocketAddr,
    keys: Keyring,
    sealer: Sealer,
    opener: Opener<Envelope>,
}

impl TestSubscriber {
    const START: Incarnation = Incarnation(77);

    fn new(name: &str, control: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let (name, keys) = (PeerName::new(name).unwrap(), Keyring::parse(&OWN_KEY.repeat(32)).unwrap());
        Self { socket, name, control, keys, sealer: Sealer::default(), opener: Opener::new(4) }
    }

    /// Subscribes repeatedly until a matching message arrives.
    fn receive_until(&mut self, what: &str, matches: impl Fn(&Message) -> bool) {
        let end = now() + EVENT_TIMEOUT;
        let mut asked = Duration::ZERO;
        while now() < end {
            if asked + Duration::from_secs(1) < now() {
                asked = now();
                let message = Message::Subscribe;
                let envelope = Envelope { from: self.name.clone(), incarnation: Self::START, message };
                let bytes = self.sealer.seal(&self.keys, None, &envelope).unwrap();
                _ = self.socket.send_to(&bytes, self.control);
            }
            let mut bytes = [0; 1500];
            // Also fails if nobody listens at the address: the kernel then returns the ICMP error.
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
            let opened = self.opener.open(&self.keys, Self::START, &bytes[..length]);
            if opened.is_ok_and(|envelope| matches(&envelope.message)) {
                return;
            }
        }
        panic!("timed out waiting for {what}");
    }
}

#[test]
fn a_control_instance_announces_its_shutdown_and_a_router_unsubscribes() {
    let mut cluster = TestCluster::start("leave", &[20], "50ms");
    let mut subscriber = TestSubscriber::new("x1", cluster.feed_address(0));
    subscriber.receive_until("a digest", |message| matches!(message, Message::Digest(_)));
    cluster.routers.signal(0, "-TERM");
    assert!(cluster.routers.wait_for_exit(0));
    assert_eq!(cluster.events(0, "feed_left").len(), 1);
    subscriber.receive_until("the announcement of the shutdown", |message| *message == Message::Leaving);
    ROUTERS.iter().for_each(|index| cluster.await_following(*index, &["r1"]));
    // A router that shuts down unsubscribes.
    cluster.routers.signal(2, "-TERM");
    assert!(cluster.routers.wait_for_exit(2));
    assert_eq!(cluster.events(2, "feed_left").len(), 1);
    wait_until("the instance has one subscriber less", || {
        cluster.logged_counts(1, "feed_counts")["subscribers"] == ROUTERS.len() - 1
    });
}

#[test]
fn keys_and_control_instances_are_reloaded_on_sighup() {
    let cluster = TestCluster::start("hup", &[20, 20], "50ms");
    let load = cluster.start_load(&["recent", "look", "recent", "enter"]);
    let all = [["7e", "d1"].as_slice(), &["d1", "7e"], &["d1"]];
    for (step, bytes) in all.iter().enumerate() {
        write_keys(&cluster.folder, "feed.keys", bytes);
        for index in CONTROL_INSTANCES.into_iter().chain(ROUTERS) {
            cluster.routers.signal(index, "-HUP");
            wait_until("the new keys are loaded", || cluster.events(index, "feed_keys").len() > step);
        }
    }
    ROUTERS.iter().for_each(|index| cluster.await_following(*index, &["r0", "r1"]));
    cluster.await_round_without_router_checks(&CONTROL_INSTANCES);
    // One router is reconfigured to follow only the first instance, so the second has one subscriber less.
    // Then it follows both again.
    for (control, subscribers) in [(&CONTROL_INSTANCES[..1], 2), (&CONTROL_INSTANCES, 3)] {
        cluster.write_conf(2, &cluster.router_conf(2, control));
        cluster.routers.signal(2, "-HUP");
        wait_until("the second instance has the expected number of subscribers", || {
            cluster.logged_counts(1, "feed_counts")["subscribers"] == subscribers
        });
        wait_until("the router follows the configured control instances", || {
            cluster.logged_counts(2, "feed_counts")["following"] == control.len()
        });
    }
    cluster.await_round_without_router_checks(&CONTROL_INSTANCES);
    // An invalid file is logged and has no other effect.
    cluster.write_conf(2, "subscribe {\n}\n");
    cluster.routers.signal(2, "-HUP");
    assert!(cluster.routers.wait_for_line(2, "configuration reload failed", EVENT_TIMEOUT));
    wait_until("the second instance has all subscribers", || {
        cluster.logged_counts(1, "feed_counts")["subscribers"] == ROUTERS.len()
    });
    cluster.check_rpcs(&load.finish());
    assert!(cluster.store.nodes.iter().all(|node| node.stale_reads() == 0));
}

fn check(name: &str, conf: &str, mode: u32) -> Output {
    let cluster = TestCluster::prepare(name, &[20], "50ms");
    std::fs::write(cluster.folder.join("x.conf"), conf).unwrap();
    std::fs::set_permissions(cluster.folder.join("feed.keys"), std::fs::Permissions::from_mode(mode))
        .unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillpoint"));
    command.arg("check").arg("--conf").arg(cluster.folder.join("x.conf")).env_clear().output().unwrap()
}

#[test]
fn check_reports_configuration_errors_of_publishers_and_subscribers() {
    let router = "platform router-2.json\nsubscribe {\n listen 127.0.0.1:0\n keys feed.keys\n}\n\
                  control c1 {\n address 127.0.0.1:7500\n}\n";
    let instance = "platform router-0.json\nfleet {\n listen 127.0.0.1:7400\n keys fleet.keys\n}\npublish {\n \
                    listen 127.0.0.1:7500\n keys feed.keys\n}\n";
    for (name, conf) in [("good-router", router), ("good-instance", instance)] {
        let good = check(name, conf, 0o600);
        assert!(good.status.success(), "{}", String::from_utf8_lossy(&good.stderr));
    }
    let cases = [
        (
            router.replace("control c1", "control \"c 1\""),
            0o600,
            "control c 1: a member name must have 1 to 32 letters",
        ),
        (router.to_string(), 0o640, "subscribe keys"),
        (instance.to_string(), 0o640, "publish keys"),
        (
            instance.replace("7500", "7400"),
            0o600,
            "publish listen: expected an address other than the fleet's",
        ),
        (
            format!("{instance}{}", &router[router.find("subscribe").unwrap()..]),
            0o600,
            "x.conf:10:1: subscribe: expected no section fleet in the same configuration",
        ),
        (
            router[..router.find("control").unwrap()].to_string(),
            0o600,
            "x.conf:2:1: subscribe: expected a section control in the same configuration",
        ),
    ];
    for (index, (conf, mode, fault)) in cases.iter().enumerate() {
        let rejected = check(&format!("bad-{index}"), conf, *mode);
        let text = String::from_utf8(rejected.stderr).unwrap();
        assert_eq!(rejected.status.code(), Some(2), "{text}");
        assert!(text.contains(fault), "{text}");
    }
}
