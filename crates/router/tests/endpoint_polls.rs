//! A router went on sending to a server that drained, long after discovery had written it so. Discovery had more
//! callers than it could serve and queued each poll for up to two seconds; a router gave its poll up after two seconds as
//! well, closed the connection and threw the answer away with it, even one that lay in its socket because the process had
//! been paused for a moment. All polls after that one were rejected, so it heard of the drain far too late.
//!
//! On such days polls ended on both sides at once: of 12 routers some logged, as the message read then,
//! `2.021 list call failed: status 503` and others `2.016 list call failed: no answer in time`.

mod standin;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use quillpoint_router::socket_liveness::peer_has_closed;
use standin::{Client, Node, Reply, RouterProcess, VALUE, configuration, targets};

/// The time in which a drain is to be obeyed, in these tests' settings.
const DRAIN_GRACE: Duration = Duration::from_millis(1000);
/// Far longer than a router waits for its first poll before it makes another one.
const PAST_POLL_TIMEOUT: Duration = Duration::from_millis(3500);
/// A change is known by then, if discovery can be reached.
const MAX_PROPAGATION: Duration = Duration::from_millis(6000);
/// Far longer than anything here takes.
const NEVER: Duration = Duration::from_secs(30);

/// A poll that waits for its answer.
struct PendingPoll {
    path: String,
    stream: TcpStream,
}

/// A discovery whose answers the test gives, in any order.
struct ManualDiscovery {
    address: SocketAddr,
    polls: Receiver<PendingPoll>,
}

impl ManualDiscovery {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, (sender, polls)) = (listener.local_addr().unwrap(), channel());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || hand_over(stream, sender));
            }
        });
        Self { address, polls }
    }

    fn next(&self) -> PendingPoll {
        self.polls.recv_timeout(NEVER).expect("a poll")
    }

    /// Leaves each poll that comes in this time without an answer. The most connections that were open at once.
    fn ignore_all_for(&self, span: Duration) -> usize {
        let end = Instant::now() + span;
        let mut open = Vec::new();
        let mut most = 0;
        while let Some(left) = end.checked_duration_since(Instant::now()) {
            open.extend(self.polls.recv_timeout(left));
            open.retain(|poll| !peer_has_closed(&poll.stream));
            most = most.max(open.len());
        }
        most
    }

    /// Rejects each poll from now on, as a discovery with too many callers does.
    fn reject_all(self) {
        thread::spawn(move || self.polls.into_iter().for_each(|mut poll| poll.reject()));
    }
}

/// Hands over each poll that comes on a connection.
fn hand_over(stream: TcpStream, polls: Sender<PendingPoll>) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    while let Some(Ok(first)) = lines.next() {
        while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
        let path = first.split(' ').nth(1).unwrap_or_default().to_string();
        let poll = PendingPoll { path, stream: stream.try_clone().unwrap() };
        if polls.send(poll).is_err() {
            return;
        }
    }
}

fn http(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl PendingPoll {
    /// With a snapshot as of this version.
    fn answer(&mut self, rev: u64, targets: &str) {
        let response = http(&format!(r#"{{"rev":{rev},"all":true,"targets":{targets}}}"#));
        // Nobody may read it any more.
        _ = self.stream.write_all(response.as_bytes());
    }

    /// The first half of that; the rest is returned.
    fn answer_half(&mut self, rev: u64, targets: &str) -> String {
        let response = http(&format!(r#"{{"rev":{rev},"all":true,"targets":{targets}}}"#));
        let (first, rest) = response.split_at(response.len() / 2);
        self.stream.write_all(first.as_bytes()).unwrap();
        rest.to_string()
    }

    fn answer_rest(&mut self, rest: &str) {
        _ = self.stream.write_all(rest.as_bytes());
    }

    fn reject(&mut self) {
        _ = self.stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
}

/// A primary and two replicas, one of which is draining by version 2 of the list.
struct Installation {
    nodes: [Node; 3],
    discovery: ManualDiscovery,
    router: RouterProcess,
}

impl Installation {
    /// The router knows the list from before the drain.
    fn start() -> Self {
        let (nodes, discovery) = ([true, false, false].map(Node::start), ManualDiscovery::start());
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

    fn draining_list(&self) -> String {
        Self::list(&self.nodes, "terminating")
    }

    /// How many of twenty reads go to the replica that drains.
    fn reads_sent_to_draining(&self) -> usize {
        let before = self.nodes[1].queries().len();
        let mut client: Client = self.router.client();
        assert!((0..20).all(|_| client.rpc("look", 9000) == Reply::Value(VALUE.to_vec())));
        self.nodes[1].queries().len() - before
    }
}

#[test]
fn an_answer_that_came_while_the_router_was_held_up_past_the_timeout_of_its_poll_is_applied() {
    let installation = Installation::start();
    let mut poll = installation.discovery.next();
    assert!(installation.reads_sent_to_draining() > 0, "it does not know of the drain yet");
    thread::sleep(Duration::from_millis(500));
    installation.router.signal("-STOP");
    poll.answer(2, &installation.draining_list());
    thread::sleep(PAST_POLL_TIMEOUT);
    installation.router.signal("-CONT");
    let Installation { nodes, discovery, router } = installation;
    discovery.reject_all();
    thread::sleep(DRAIN_GRACE);
    let [_, drains, _] = &nodes;
    let before = drains.queries().len();
    let mut client = router.client();
    assert!((0..20).all(|_| client.rpc("look", 9000) == Reply::Value(VALUE.to_vec())));
    assert_eq!(
        drains.queries().len(),
        before,
        "it was notified of the drain {:?} ago",
        PAST_POLL_TIMEOUT + DRAIN_GRACE
    );
}

#[test]
fn an_answer_that_comes_after_the_timeout_of_its_poll_or_in_slow_pieces_is_applied() {
    let installation = Installation::start();
    // Other polls are left without an answer, as by a discovery that has too many callers.
    let mut first = installation.discovery.next();
    thread::sleep(PAST_POLL_TIMEOUT);
    let rest = first.answer_half(2, &installation.draining_list());
    // Longer than a router lets the rest of an answer take before it makes another poll.
    thread::sleep(Duration::from_millis(1500));
    first.answer_rest(&rest);
    let Installation { nodes, discovery, router } = installation;
    discovery.reject_all();
    thread::sleep(MAX_PROPAGATION - PAST_POLL_TIMEOUT - Duration::from_millis(1500));
    let [_, drains, _] = &nodes;
    let mut client = router.client();
    assert!((0..20).all(|_| client.rpc("look", 9000) == Reply::Value(VALUE.to_vec())));
    assert_eq!(drains.queries(), Vec::<String>::new(), "discovery wrote it a second ago");
}

#[test]
fn a_drain_that_the_old_discovery_was_sending_when_the_new_one_was_configured_is_kept() {
    let installation = Installation::start();
    let mut first = installation.discovery.next();
    let elsewhere = ManualDiscovery::start();
    let text = std::fs::read_to_string(&installation.router.path).unwrap();
    let text = text.replace(&installation.discovery.address.to_string(), &elsewhere.address.to_string());
    let rest = first.answer_half(2, &installation.draining_list());
    std::fs::write(&installation.router.path, text).unwrap();
    installation.router.signal("-HUP");
    let mut moved = elsewhere.next();
    assert_eq!(moved.path, "/catalog/members", "the versions there may be others");
    moved.reject();
    elsewhere.reject_all();
    first.answer_rest(&rest);
    thread::sleep(DRAIN_GRACE);
    assert_eq!(installation.reads_sent_to_draining(), 0);
}

#[test]
fn an_older_answer_that_comes_behind_a_newer_one_takes_nothing_back() {
    let installation = Installation::start();
    let mut first = installation.discovery.next();
    thread::sleep(PAST_POLL_TIMEOUT);
    let mut second = installation.discovery.next();
    second.answer(3, &installation.draining_list());
    installation.router.await_log_line("list 3: 3 entries");
    first.answer(2, &Installation::list(&installation.nodes, "in_service"));
    installation.router.await_log_line("a newer version has already been applied");
    assert_eq!(installation.reads_sent_to_draining(), 0);
}

#[test]
fn a_discovery_that_never_answers_holds_few_connections() {
    let installation = Installation::start();
    let most = installation.discovery.ignore_all_for(Duration::from_secs(16));
    assert_eq!(most, 3, "the newest poll, and two that have timed out");
    installation.router.await_log_line("poll abandoned without an answer");
}
