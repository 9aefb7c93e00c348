//! Two control instances and three routers that follow them, as processes among stand-ins: judged by what they log,
//! what reached the nodes, and how RPCs ended; never by how long anything took.
//!
//! A busy machine may keep any process from its turn for a second, and a router that hears nothing for so long looks
//! for itself, as it should. So what is claimed of calm is shown by one calm round among many.

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
use quillpoint_testbed::listing::{Entry, Listing, targets};
use quillpoint_testbed::load::{Load, Tally};
use quillpoint_testbed::now;
use quillpoint_testbed::routers::{Bond, Routers, Setting};
use quillpoint_testbed::store::{Store, next};
use serde_json::Value as Json;

const NEVER: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(20);
/// Rounds in which a calm one must come.
const ROUNDS: usize = 40;
/// The places of control instances and routers.
const CONTROL: [usize; 2] = [0, 1];
const ROUTERS: [usize; 3] = [2, 3, 4];
const OWN_KEY: &str = "7e";

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("feed-{name}"));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A file of keys, each named by the byte it is made of.
fn keys(folder: &Path, name: &str, bytes: &[&str]) {
    let text: String = bytes.iter().map(|byte| byte.repeat(32) + "\n").collect();
    std::fs::write(folder.join(name), text).unwrap();
    std::fs::set_permissions(folder.join(name), std::fs::Permissions::from_mode(0o600)).unwrap();
}

struct Five {
    store: Store,
    routers: Routers,
    folder: PathBuf,
    _listing: Listing,
}

impl Five {
    /// None started. `lags` are the replicas', `every` is how often control instances probe.
    fn new(name: &str, lags: &[u64], every: &str) -> Self {
        let lags: Vec<Duration> = lags.iter().map(|ms| Duration::from_millis(*ms)).collect();
        let store = Store::start(&lags).unwrap();
        let entry = |node| Entry { node, group: 0, started: Duration::ZERO };
        let list = targets(&store.nodes.iter().map(entry).collect::<Vec<_>>());
        let listing = Listing::start(list.clone()).unwrap();
        let (program, folder) = (Path::new(env!("CARGO_BIN_EXE_quillpoint")), folder(name));
        let setting = Setting {
            program,
            folder: &folder,
            listing: &listing,
            targets: &list,
            bond: Bond::Fleet,
            seed: 5,
            conf: "",
        };
        let routers = Routers::new(CONTROL.len() + ROUTERS.len(), &setting).unwrap();
        keys(&folder, "feed.keys", &[OWN_KEY]);
        let five = Self { store, routers, folder, _listing: listing };
        CONTROL.iter().for_each(|place| five.write(*place, &five.instance(*place, every)));
        ROUTERS.iter().for_each(|place| five.write(*place, &five.router(*place, &CONTROL)));
        five
    }

    fn started(name: &str, lags: &[u64], every: &str) -> Self {
        let mut five = Self::new(name, lags, every);
        five.routers.start_all().unwrap();
        ROUTERS.iter().for_each(|place| five.follows(*place, &["r0", "r1"]));
        five
    }

    fn write(&self, place: usize, conf: &str) {
        std::fs::write(self.routers.conf(place), conf).unwrap();
    }

    /// Where a process listens for datagrams of the feed.
    fn feed(&self, place: usize) -> SocketAddr {
        let fleet = self.routers.datagrams(place);
        SocketAddr::new(fleet.ip(), fleet.port() + 1000)
    }

    fn instance(&self, place: usize, every: &str) -> String {
        let (fleet, feed) = (self.routers.datagrams(place), self.feed(place));
        let peers = CONTROL
            .map(|peer| format!("peer r{peer} {{\n    address {}\n}}\n", self.routers.datagrams(peer)));
        format!(
            "log json\nfleet {{\n    listen {fleet}\n    keys fleet.keys\n}}\n{}publish {{\n    listen {feed}\n    \
             keys feed.keys\n}}\nduty probe {{\n    every {every}\n}}\n",
            peers.concat()
        )
    }

    fn router(&self, place: usize, control: &[usize]) -> String {
        let named = |at: &usize| format!("control r{at} {{\n    address {}\n}}\n", self.feed(*at));
        let all: String = control.iter().map(named).collect();
        format!("log json\nsubscribe {{\n    listen {}\n    keys feed.keys\n}}\n{all}", self.feed(place))
    }

    fn events(&self, place: usize, name: &str) -> Vec<Json> {
        let lines = self.routers.lines(place);
        let lines = lines.into_iter().map(|line| serde_json::from_str::<Json>(&line).unwrap());
        lines.filter(|line| line["event"] == name).collect()
    }

    /// Whom a router follows by now, by its log.
    fn followed(&self, place: usize) -> Vec<String> {
        let mut followed = BTreeMap::new();
        let lines = self.routers.lines(place);
        for line in lines.into_iter().map(|line| serde_json::from_str::<Json>(&line).unwrap()) {
            let follows = line["event"] == "feed_following";
            if follows || line["event"] == "feed_lost" {
                followed.insert(line["control"].as_str().unwrap().to_string(), follows);
            }
        }
        followed.into_iter().filter(|(_, follows)| *follows).map(|(name, _)| name).collect()
    }

    fn follows(&self, place: usize, names: &[&str]) {
        until(&format!("router {place} follows {names:?}"), || self.followed(place) == names);
    }

    /// The counts that a process logs when it reads its configuration again.
    fn counts(&self, place: usize, event: &str) -> Json {
        let before = self.events(place, event).len();
        self.routers.signal(place, "-HUP");
        until(&format!("{event} of {place}"), || self.events(place, event).len() > before);
        self.events(place, event).pop().unwrap()
    }

    fn probes(&self, place: usize, event: &str) -> usize {
        self.counts(place, event)["probes"].as_u64().unwrap() as usize
    }

    /// What reached the replicas: probes, and RPCs.
    fn reached(&self) -> (usize, usize) {
        let probes = self.store.nodes.iter().map(|node| node.probes(Duration::ZERO)).sum();
        let replicas = self.store.nodes.iter().filter(|node| !node.primary);
        (probes, replicas.map(|node| node.rpcs(Duration::ZERO, Duration::MAX)).sum())
    }

    /// Waits for a round in which replicas answered RPCs and no router probed: all probes that reached the nodes
    /// were of these control instances, but for what was on its way.
    fn calm(&self, control: &[usize]) {
        let sum = |places: &[usize], event: &str| -> usize {
            places.iter().map(|place| self.probes(*place, event)).sum()
        };
        let mut rounds = Vec::new();
        for _ in 0..ROUNDS {
            let own = sum(&ROUTERS, "feed_counts");
            // In this order a probe may be counted that is not in the counts yet, but not the other way round.
            let (probes, rpcs) = self.reached();
            let others = sum(control, "fleet_counts");
            until("RPCs at replicas", || self.reached().1 >= rpcs + 12);
            let (more, others_more) = (self.reached().0, sum(control, "fleet_counts"));
            let own = sum(&ROUTERS, "feed_counts") - own;
            let on_the_way = self.store.nodes.len() * (control.len() + 1);
            if own == 0 && more - probes <= others_more - others + on_the_way {
                return;
            }
            rounds.push((own, more - probes, others_more - others));
        }
        panic!("no calm round: {rounds:?}");
    }

    /// Bounded reads so rare that each router's own record is too old at each of them: only the feed lets them go.
    fn rare_reads(&self) -> Load {
        Load::of(&self.addresses(), 1, Duration::from_millis(400), &["recent"])
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        ROUTERS.iter().map(|place| self.routers.all[*place].address).collect()
    }

    fn load(&self, methods: &'static [&'static str]) -> Load {
        Load::of(&self.addresses(), 3, Duration::from_millis(10), methods)
    }

    /// The rules, over a load that has ended.
    fn kept(&self, tally: &Tally) {
        assert_eq!(tally.lost.load(Ordering::SeqCst), 0);
        assert!(tally.ok.load(Ordering::SeqCst) > 0);
        assert_eq!(self.store.writes().1, 0, "none ran twice");
        assert!(tally.entered.lock().unwrap().iter().all(|id| self.store.has_run(id)));
        assert!(tally.refused.lock().unwrap().iter().all(|id| !self.store.has_run(id)));
    }
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = now() + NEVER;
    while !holds() {
        assert!(now() < end, "never: {what}");
        sleep(LOOK);
    }
}

fn oks(load: &Load) -> u64 {
    load.tally.ok.load(Ordering::SeqCst)
}

#[test]
fn routers_read_at_replicas_by_the_feed_and_check_none() {
    let five = Five::started("calm", &[20, 20], "50ms");
    let load = five.rare_reads();
    five.calm(&CONTROL);
    five.kept(&load.end());
    let load = five.load(&["recent", "look", "recent", "enter"]);
    five.calm(&CONTROL);
    five.kept(&load.end());
    assert!(five.store.nodes.iter().all(|node| node.stale() == 0));
    let counts = five.counts(0, "feed_counts");
    assert_eq!(counts["subscribers"], ROUTERS.len(), "{counts}");
    assert!(
        counts["sent_bytes"].as_u64().unwrap() > 1000 && counts["read"].as_u64().unwrap() > 0,
        "{counts}"
    );
    let counts = five.counts(2, "feed_counts");
    assert_eq!(counts["following"], 2, "{counts}");
    assert_eq!(counts["refused"], "", "{counts}");
}

#[test]
fn health_checks_of_a_control_instance_are_spared_by_routers_that_need_more() {
    // Too rare for bounded reads, which are as rare themselves, so that routers would look for themselves.
    let five = Five::started("spared", &[20, 20], "600ms");
    let load = Load::of(&[five.routers.all[2].address], 1, Duration::from_millis(400), &["recent"]);
    let count = |name: &str| five.counts(2, "feed_counts")[name].as_u64().unwrap();
    let calm = (0..ROUNDS).any(|_| {
        let (probes, spared) = (count("probes"), count("spared"));
        until("probes are spared", || count("spared") >= spared + 3);
        count("probes") == probes
    });
    assert!(calm, "no round without a probe of its own: {:?}", five.events(2, "feed_counts"));
    assert_eq!(load.end().lost.load(Ordering::SeqCst), 0);
    assert!(five.store.nodes.iter().all(|node| node.stale() == 0));
}

#[test]
fn when_one_control_instance_dies_the_routers_go_on_with_the_other() {
    let mut five = Five::started("one", &[20, 20], "50ms");
    let load = five.load(&["recent", "look", "recent", "enter"]);
    for place in CONTROL {
        five.routers.kill(place);
        let other = 1 - place;
        let name = format!("r{other}");
        ROUTERS.iter().for_each(|router| five.follows(*router, &[&name]));
        five.calm(&[other]);
        five.routers.start(place).unwrap();
        ROUTERS.iter().for_each(|router| five.follows(*router, &["r0", "r1"]));
    }
    five.kept(&load.end());
    assert!(five.store.nodes.iter().all(|node| node.stale() == 0));
}

#[test]
fn when_none_is_left_the_routers_go_on_within_their_quota() {
    // So rare, and replicas so near the bound, that a router which paced itself by its reads alone would probe many
    // times as often.
    let period = Duration::from_secs(1);
    let mut five = Five::started("none", &[270, 270], "1s");
    let load =
        Load::of(&five.addresses(), 1, Duration::from_millis(40), &["recent", "recent", "recent", "enter"]);
    CONTROL.iter().for_each(|place| five.routers.kill(*place));
    for place in ROUTERS {
        assert!(five.routers.await_line(place, "\"feed_isolated\"", NEVER));
    }
    let (from, oks_before) = (now(), oks(&load));
    let at = |node: &quillpoint_testbed::store::Node| node.probes(from);
    until("probes of their own", || five.store.nodes.iter().map(at).sum::<usize>() >= 6);
    sleep(period * 3);
    for node in &five.store.nodes {
        // Each router once a period, and once more at either end; what answered late may come together.
        let most = ROUTERS.len() * ((now() - from).div_duration_f64(period).ceil() as usize + 2);
        assert!(node.probes(from) <= most, "{} of {most}", node.probes(from));
    }
    until("RPCs go on", || oks(&load) > oks_before + 50);
    // They come back, and are followed again.
    for place in CONTROL {
        five.routers.start(place).unwrap();
    }
    for place in ROUTERS {
        assert!(five.routers.await_line(place, "\"feed_reconnected\"", NEVER));
        five.follows(place, &["r0", "r1"]);
    }
    five.kept(&load.end());
    assert!(five.store.nodes.iter().all(|node| node.stale() == 0));
}

#[test]
fn what_one_control_instance_observes_another_publishes() {
    // The first takes no tasks: all that it publishes it has from the second.
    let five = Five::new("weight", &[20, 20], "50ms");
    five.write(0, &five.instance(0, "50ms").replace("fleet.keys\n", "fleet.keys\n    weight 0\n"));
    five.write(2, &five.router(2, &CONTROL[..1]));
    five.write(3, &five.router(3, &CONTROL[1..]));
    let mut five = five;
    five.routers.start_all().unwrap();
    for (place, names) in [(2, ["r0"].as_slice()), (3, &["r1"]), (4, &["r0", "r1"])] {
        five.follows(place, names);
    }
    until("the second has all tasks", || {
        five.events(0, "fleet_tasks").last().is_some_and(|line| line["owned"] == 0 && line["routers"] == 2)
    });
    let load = five.rare_reads();
    five.calm(&CONTROL);
    five.kept(&load.end());
    assert!(five.store.nodes.iter().all(|node| node.stale() == 0));
}

/// Guards against budgets of a small fleet at a control instance, which would leave databases unchecked and unpublished.
#[test]
fn a_control_instance_has_the_budgets_that_its_databases_take_whatever_it_is_told() {
    let mut five = Five::new("budgets", &[20, 20], "50ms");
    for place in CONTROL {
        let short = "fleet.keys\n    work-budget 1\n    news-budget 4KiB\n";
        five.write(place, &five.instance(place, "50ms").replace("fleet.keys\n", short));
    }
    five.routers.start_all().unwrap();
    ROUTERS.iter().for_each(|place| five.follows(*place, &["r0", "r1"]));
    let load = five.rare_reads();
    five.calm(&CONTROL);
    five.kept(&load.end());
    assert!(five.store.nodes.iter().all(|node| node.stale() == 0));
}

#[test]
fn a_replica_that_is_named_as_an_exception_gets_no_bounded_read() {
    let five = Five::started("stale", &[20, 2000], "50ms");
    let load = five.load(&["recent"]);
    five.calm(&CONTROL);
    five.kept(&load.end());
    assert_eq!(five.store.nodes[2].rpcs(Duration::ZERO, Duration::MAX), 0);
    assert!(five.store.nodes[1].rpcs(Duration::ZERO, Duration::MAX) > 0);
}

/// Bounded reads at a router, one after the other: what each was answered with, `None` where it was not ok.
fn reads(address: SocketAddr, count: usize) -> Vec<Option<Vec<u8>>> {
    let mut stream = TcpStream::connect(address).unwrap();
    let (mut out, mut unread) = (Vec::new(), Vec::new());
    pg::encode_startup(&mut out, "portal", "crm");
    stream.write_all(&out).unwrap();
    while next(&mut stream, &mut unread, pg::decode_backend_message) != Some(BackendMessage::ReadyForQuery) {}
    let mut answers = Vec::new();
    for place in 0..count {
        let text = format!(
            "/* id=f{place:015x},c=recent,d=1500,cluster=0 */ SELECT data FROM facts WHERE code = '7f3a'"
        );
        stream.write_all(&pg::query_message(text.as_bytes())).unwrap();
        let mut answer = None;
        loop {
            match next(&mut stream, &mut unread, pg::decode_backend_message).unwrap() {
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
fn a_published_position_is_proved_by_the_answer_of_the_replica() {
    // It tells control instances that it is up to date, and is not: they pass that on in good faith.
    let five = Five::new("proof", &[20, 2000], "50ms");
    five.store.nodes[2].boast(Duration::from_millis(1980));
    let mut five = five;
    five.routers.start_all().unwrap();
    ROUTERS.iter().for_each(|place| five.follows(*place, &["r0", "r1"]));
    let tried = || five.store.nodes[2].stale() >= 5;
    let end = now() + NEVER;
    let mut fresh = 0;
    while !tried() || fresh == 0 {
        assert!(now() < end, "the replica is never tried by the feed, or nothing is answered");
        for answer in reads(five.routers.all[2].address, 20) {
            assert_ne!(answer.as_deref(), Some(&b"stale"[..]), "a stale answer reached a client");
            fresh += usize::from(answer.is_some());
        }
    }
}

#[test]
fn a_forged_digest_changes_nothing() {
    let five = Five::started("forged", &[20, 2000], "50ms");
    // All are up to date and will be for an hour, says somebody who has no key, in the name of either instance.
    let start = |place: usize| five.events(place, "serves")[0]["start"].as_u64().unwrap();
    let other = Keyring::parse(&"d1".repeat(32)).unwrap();
    let own = Keyring::parse(&OWN_KEY.repeat(32)).unwrap();
    let (socket, mut sealer) = (UdpSocket::bind("127.0.0.1:0").unwrap(), Sealer::default());
    let load = five.load(&["recent"]);
    for number in 0..300 {
        for (name, place) in [("r0", 0), ("r1", 1)] {
            let envelope = forged(name, start(place), 1_000_000 + number);
            let session = Some(Incarnation(start(2)));
            let mut bytes = sealer.seal(&other, session, &envelope).unwrap();
            if number % 2 == 0 {
                // With the name of the key that it would need.
                bytes[3..7].copy_from_slice(&sealer.seal(&own, session, &envelope).unwrap()[3..7]);
            }
            socket.send_to(&bytes, five.feed(2)).unwrap();
        }
        sleep(Duration::from_millis(2));
    }
    until("forged and unknown are told apart", || {
        let refused = five.counts(2, "feed_counts")["refused"].as_str().unwrap().to_string();
        refused.contains("Forged:") && refused.contains("UnknownKey:")
    });
    five.calm(&CONTROL);
    five.kept(&load.end());
    assert_eq!(five.followed(2), ["r0", "r1"]);
    assert_eq!(five.store.nodes[2].rpcs(Duration::ZERO, Duration::MAX), 0);
}

fn forged(name: &str, start: u64, number: u32) -> Envelope {
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

/// A subscriber of the test's own, which shows what is sent.
struct Follower {
    socket: UdpSocket,
    name: PeerName,
    control: SocketAddr,
    keys: Keyring,
    sealer: Sealer,
    opener: Opener<Envelope>,
}

impl Follower {
    const START: Incarnation = Incarnation(77);

    fn new(name: &str, control: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let (name, keys) = (PeerName::new(name).unwrap(), Keyring::parse(&OWN_KEY.repeat(32)).unwrap());
        Self { socket, name, control, keys, sealer: Sealer::default(), opener: Opener::new(4) }
    }

    /// Subscribes again and again until it receives this.
    fn until(&mut self, what: &str, found: impl Fn(&Message) -> bool) {
        let end = now() + NEVER;
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
            // While nobody listens there the system may say so, which is no answer either.
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
            let opened = self.opener.open(&self.keys, Self::START, &bytes[..length]);
            if opened.is_ok_and(|envelope| found(&envelope.message)) {
                return;
            }
        }
        panic!("never received: {what}");
    }
}

#[test]
fn a_control_instance_that_shuts_down_says_goodbye() {
    let mut five = Five::started("leave", &[20], "50ms");
    let mut follower = Follower::new("x1", five.feed(0));
    follower.until("digests", |message| matches!(message, Message::Digest(_)));
    five.routers.signal(0, "-TERM");
    assert!(five.routers.ended(0));
    assert_eq!(five.events(0, "feed_left").len(), 1);
    follower.until("goodbye", |message| *message == Message::Leaving);
    ROUTERS.iter().for_each(|place| five.follows(*place, &["r1"]));
    // A router says so too, and is sent nothing any more.
    five.routers.signal(2, "-TERM");
    assert!(five.routers.ended(2));
    assert_eq!(five.events(2, "feed_left").len(), 1);
    until("one subscriber less", || five.counts(1, "feed_counts")["subscribers"] == ROUTERS.len() - 1);
}

#[test]
fn keys_and_control_instances_change_on_sighup() {
    let five = Five::started("hup", &[20, 20], "50ms");
    let load = five.load(&["recent", "look", "recent", "enter"]);
    let all = [["7e", "d1"].as_slice(), &["d1", "7e"], &["d1"]];
    for (step, bytes) in all.iter().enumerate() {
        keys(&five.folder, "feed.keys", bytes);
        for place in CONTROL.into_iter().chain(ROUTERS) {
            five.routers.signal(place, "-HUP");
            until("keys taken over", || five.events(place, "feed_keys").len() > step);
        }
    }
    ROUTERS.iter().for_each(|place| five.follows(*place, &["r0", "r1"]));
    five.calm(&CONTROL);
    // One router is configured with the first instance alone: the other has one subscriber less, and then again as many.
    for (control, subscribers) in [(&CONTROL[..1], 2), (&CONTROL, 3)] {
        five.write(2, &five.router(2, control));
        five.routers.signal(2, "-HUP");
        until("the second has so many", || five.counts(1, "feed_counts")["subscribers"] == subscribers);
        until("so many are followed", || five.counts(2, "feed_counts")["following"] == control.len());
    }
    five.calm(&CONTROL);
    // A fault in the file changes nothing but the log.
    five.write(2, "subscribe {\n}\n");
    five.routers.signal(2, "-HUP");
    assert!(five.routers.await_line(2, "configuration reload failed", NEVER));
    until("all is as it was", || five.counts(1, "feed_counts")["subscribers"] == ROUTERS.len());
    five.kept(&load.end());
    assert!(five.store.nodes.iter().all(|node| node.stale() == 0));
}

fn check(name: &str, conf: &str, mode: u32) -> Output {
    let five = Five::new(name, &[20], "50ms");
    std::fs::write(five.folder.join("x.conf"), conf).unwrap();
    std::fs::set_permissions(five.folder.join("feed.keys"), std::fs::Permissions::from_mode(mode)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillpoint"));
    command.arg("check").arg("--conf").arg(five.folder.join("x.conf")).env_clear().output().unwrap()
}

#[test]
fn check_names_what_is_wrong_with_either_end() {
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
            "x.conf:10:1: subscribe: expected no section fleet beside it",
        ),
        (
            router[..router.find("control").unwrap()].to_string(),
            0o600,
            "x.conf:2:1: subscribe: expected a section control beside it",
        ),
    ];
    for (place, (conf, mode, fault)) in cases.iter().enumerate() {
        let refused = check(&format!("bad-{place}"), conf, *mode);
        let text = String::from_utf8(refused.stderr).unwrap();
        assert_eq!(refused.status.code(), Some(2), "{text}");
        assert!(text.contains(fault), "{text}");
    }
}
