//! A router went on sending to a server that drained, long after discovery had written it so. Discovery had more
//! callers than it could serve and let each call wait for up to two seconds; a router gave its call up after two
//! seconds as well, closed the connection and threw the answer away with it, even one that lay in its socket because
//! it had been held up for a moment. All calls after that one were refused, so it heard of the drain far too late.
//!
//! On days of that kind calls ended on both sides at once: of 12 routers some logged
//! `2.021 list call failed: status 503` and others `2.016 list call failed: no answer in time`.

mod standin;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use quillpoint_router::socket_liveness::peer_has_closed;
use standin::{Client, Node, Reply, RouterProcess, VALUE, configuration, targets};

/// The grace for drains in these tests' settings.
const GRACE: Duration = Duration::from_millis(1000);
/// Far longer than a router waits for its first call before it makes another one.
const PAST_ITS_TIME: Duration = Duration::from_millis(3500);
/// A change counts as told by then, if discovery can be reached.
const TOLD: Duration = Duration::from_millis(6000);
/// Far longer than anything here takes.
const NEVER: Duration = Duration::from_secs(30);

/// A call for the list that waits for its answer.
struct ListCall {
    path: String,
    stream: TcpStream,
}

/// A discovery whose answers are given by the test, in any order. Refused from some call on, if it says so.
struct ByHand {
    address: SocketAddr,
    calls: Receiver<ListCall>,
}

impl ByHand {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, (sender, calls)) = (listener.local_addr().unwrap(), channel());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || hand_over(stream, sender));
            }
        });
        Self { address, calls }
    }

    fn next(&self) -> ListCall {
        self.calls.recv_timeout(NEVER).expect("a call for the list")
    }

    /// Leaves each call that comes in this time without an answer. How many connections were ever open at once.
    fn ignore_all_for(&self, span: Duration) -> usize {
        let (by, mut open, mut most) = (Instant::now() + span, Vec::new(), 0);
        while let Some(left) = by.checked_duration_since(Instant::now()) {
            open.extend(self.calls.recv_timeout(left));
            open.retain(|call| !peer_has_closed(&call.stream));
            most = most.max(open.len());
        }
        most
    }

    /// Refuses each call from now on, as one that has too many callers.
    fn refuse_all(self) {
        thread::spawn(move || self.calls.into_iter().for_each(|mut call| call.refuse()));
    }
}

/// Hands over each call that comes on a connection.
fn hand_over(stream: TcpStream, calls: Sender<ListCall>) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    while let Some(Ok(first)) = lines.next() {
        while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
        let path = first.split(' ').nth(1).unwrap_or_default().to_string();
        let call = ListCall { path, stream: stream.try_clone().unwrap() };
        if calls.send(call).is_err() {
            return;
        }
    }
}

fn http(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl ListCall {
    /// With the whole list as of this version.
    fn answer(&mut self, rev: u64, targets: &str) {
        let whole = http(&format!(r#"{{"rev":{rev},"all":true,"targets":{targets}}}"#));
        // Nobody may read it any more.
        _ = self.stream.write_all(whole.as_bytes());
    }

    /// The first half of that; the rest is returned.
    fn answer_half(&mut self, rev: u64, targets: &str) -> String {
        let whole = http(&format!(r#"{{"rev":{rev},"all":true,"targets":{targets}}}"#));
        let (first, rest) = whole.split_at(whole.len() / 2);
        self.stream.write_all(first.as_bytes()).unwrap();
        rest.to_string()
    }

    fn go_on(&mut self, rest: &str) {
        _ = self.stream.write_all(rest.as_bytes());
    }

    fn refuse(&mut self) {
        _ = self.stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
}

/// A primary and two replicas, one of which drains by version 2 of the list.
struct Fleet {
    nodes: [Node; 3],
    discovery: ByHand,
    router: RouterProcess,
}

impl Fleet {
    /// The router knows the list from before the drain.
    fn start() -> Self {
        let (nodes, discovery) = ([true, false, false].map(Node::start), ByHand::start());
        let before = Self::list(&nodes, "in_service");
        let router = RouterProcess::start(&configuration(discovery.address, &before, 200));
        Self { nodes, discovery, router }
    }

    fn list([primary, drains, stays]: &[Node; 3], state: &str) -> String {
        targets(&[
            (primary, "primary", "in_service"),
            (drains, "replica", state),
            (stays, "replica", "in_service"),
        ])
    }

    fn after(&self) -> String {
        Self::list(&self.nodes, "terminating")
    }

    /// How many of twenty reads go to the replica that drains.
    fn sent_to_the_draining(&self) -> usize {
        let before = self.nodes[1].queries().len();
        let mut client: Client = self.router.client();
        assert!((0..20).all(|_| client.rpc("look", 9000) == Reply::Value(VALUE.to_vec())));
        self.nodes[1].queries().len() - before
    }
}

#[test]
fn an_answer_that_came_while_the_router_was_held_up_past_the_time_of_its_call_is_taken() {
    let fleet = Fleet::start();
    let mut call = fleet.discovery.next();
    assert!(fleet.sent_to_the_draining() > 0, "it does not know of the drain yet");
    thread::sleep(Duration::from_millis(500));
    fleet.router.signal("-STOP");
    call.answer(2, &fleet.after());
    thread::sleep(PAST_ITS_TIME);
    fleet.router.signal("-CONT");
    let Fleet { nodes, discovery, router } = fleet;
    discovery.refuse_all();
    thread::sleep(GRACE);
    let [_, drains, _] = &nodes;
    let before = drains.queries().len();
    let mut client = router.client();
    assert!((0..20).all(|_| client.rpc("look", 9000) == Reply::Value(VALUE.to_vec())));
    assert_eq!(drains.queries().len(), before, "it was told of the drain {:?} ago", PAST_ITS_TIME + GRACE);
}

#[test]
fn an_answer_that_comes_after_the_time_of_its_call_or_in_slow_pieces_is_taken() {
    let fleet = Fleet::start();
    // Refused while the first waits in line, as by a discovery that has too many callers.
    let mut first = fleet.discovery.next();
    thread::sleep(PAST_ITS_TIME);
    let rest = first.answer_half(2, &fleet.after());
    // Longer than a router lets the rest of an answer take before it makes another call.
    thread::sleep(Duration::from_millis(1500));
    first.go_on(&rest);
    let Fleet { nodes, discovery, router } = fleet;
    discovery.refuse_all();
    thread::sleep(TOLD - PAST_ITS_TIME - Duration::from_millis(1500));
    let [_, drains, _] = &nodes;
    let mut client = router.client();
    assert!((0..20).all(|_| client.rpc("look", 9000) == Reply::Value(VALUE.to_vec())));
    assert_eq!(drains.queries(), Vec::<String>::new(), "discovery wrote it a second ago");
}

#[test]
fn a_drain_that_the_old_discovery_was_telling_when_the_new_one_was_named_is_kept() {
    let fleet = Fleet::start();
    let mut first = fleet.discovery.next();
    let elsewhere = ByHand::start();
    let text = std::fs::read_to_string(&fleet.router.path).unwrap();
    let text = text.replace(&fleet.discovery.address.to_string(), &elsewhere.address.to_string());
    let rest = first.answer_half(2, &fleet.after());
    std::fs::write(&fleet.router.path, text).unwrap();
    fleet.router.signal("-HUP");
    let mut moved = elsewhere.next();
    assert_eq!(moved.path, "/catalog/members", "the versions there may be others");
    moved.refuse();
    elsewhere.refuse_all();
    first.go_on(&rest);
    thread::sleep(GRACE);
    assert_eq!(fleet.sent_to_the_draining(), 0);
}

#[test]
fn an_older_answer_that_comes_behind_a_newer_one_takes_nothing_back() {
    let fleet = Fleet::start();
    let mut first = fleet.discovery.next();
    thread::sleep(PAST_ITS_TIME);
    let mut second = fleet.discovery.next();
    second.answer(3, &fleet.after());
    fleet.router.await_line("list 3: 3 entries");
    first.answer(2, &Fleet::list(&fleet.nodes, "in_service"));
    fleet.router.await_line("came behind a newer one");
    assert_eq!(fleet.sent_to_the_draining(), 0);
}

#[test]
fn a_discovery_that_never_answers_holds_few_connections() {
    let fleet = Fleet::start();
    let most = fleet.discovery.ignore_all_for(Duration::from_secs(16));
    assert_eq!(most, 3, "the newest call, and two whose time is over");
    fleet.router.await_line("closed without an answer");
}
