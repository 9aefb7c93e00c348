//! Pipelined statements: a client that sends on before it has its answers. Nodes hold their answers back until an
//! event shows that what is to cross has come.

mod standin;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use quillpoint_router::pg;
use standin::{Client, Discovery, Node, NodeBehavior, Reply, RouterProcess, VALUE};
use standin::{configuration, statement, targets};

/// The most statements of a connection that are in its pipeline, and the most bytes behind them that are read.
const MAX_PIPELINED_REQUESTS: usize = 16;
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// How often a session that reads no further checks whether its client is connected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

fn ok() -> Reply {
    Reply::Value(VALUE.to_vec())
}

fn nothing_ran() -> Reply {
    Reply::Error("53300".to_string(), None)
}

/// A primary, replicas, and a router that knows them.
fn replica_set(replicas: usize, change: &[(&str, &str)]) -> (Node, Vec<Node>, RouterProcess, Discovery) {
    let primary = Node::start(true);
    let replicas: Vec<Node> = (0..replicas).map(|_| Node::start(false)).collect();
    let mut all = vec![(&primary, "primary", "in_service")];
    all.extend(replicas.iter().map(|node| (node, "replica", "in_service")));
    let list = targets(&all);
    let discovery = Discovery::start(list.clone());
    let text = change.iter().fold(configuration(discovery.address, &list, 200), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    });
    let router = RouterProcess::start(&text);
    (primary, replicas, router, discovery)
}

/// A statement of a session of its own.
fn of(key: &str, class: &str, wait_ms: u64) -> String {
    statement(class, wait_ms).replace("'7f3a'", &format!("'{key}'"))
}

fn id(text: &str) -> &str {
    text.split(['=', ',']).nth(1).unwrap()
}

fn echo(text: &str) -> Reply {
    Reply::Value(id(text).as_bytes().to_vec())
}

/// What a node is told that its answer is waited for.
fn told_wait(text: &str) -> Duration {
    let number = text.split(",d=").nth(1).unwrap().split(',').next().unwrap();
    Duration::from_millis(number.parse().unwrap())
}

/// In one write, so that what is behind has come when what is ahead of it is sent on.
fn send_all(client: &mut Client, texts: &[String]) {
    let bytes: Vec<u8> = texts.iter().flat_map(|text| pg::query_message(text.as_bytes())).collect();
    client.send(&bytes);
}

fn count(nodes: &[Node]) -> usize {
    nodes.iter().map(|node| node.queries().len()).sum()
}

/// Until so many RPCs have come to the nodes, all told.
fn await_all(nodes: &[Node], least: usize) {
    let began = Instant::now();
    while count(nodes) < least {
        assert!(began.elapsed() < Duration::from_secs(30), "{} of {least} came", count(nodes));
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn await_true(mut there: impl FnMut() -> bool) {
    let began = Instant::now();
    while !there() {
        assert!(began.elapsed() < Duration::from_secs(30), "it never came");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// RPCs of another client come and go: whatever a router does at once, it has done by then.
fn others_go_on(router: &RouterProcess, class: &str) {
    let mut other = router.client();
    assert!((0..10).all(|_| !matches!(other.rpc(class, 9000), Reply::Closed)));
}

#[test]
fn the_time_of_an_rpc_that_waits_for_another_runs_since_it_came() {
    let (primary, _, router, _discovery) = replica_set(1, &[]);
    primary.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    send_all(&mut client, &[of("a", "enter", 9000), of("b", "enter", 9000)]);
    primary.await_queries(1);
    let delay = Duration::from_millis(600);
    std::thread::sleep(delay);
    primary.set_behavior(NodeBehavior::Answer);
    assert_eq!((client.reply(), client.reply()), (ok(), ok()));
    let second = told_wait(&primary.queries()[1]);
    assert!(second <= Duration::from_secs(9) - delay, "{second:?}");
}

#[test]
fn it_runs_for_what_waits_unread_in_the_system_too() {
    let (primary, _, router, _discovery) = replica_set(1, &[]);
    primary.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    let all: Vec<String> = (0..300).map(|_| of("a", "enter", 9000)).collect();
    let bytes: usize = all[MAX_PIPELINED_REQUESTS..].iter().map(|text| text.len() + 6).sum();
    assert!(bytes > 2 * MAX_READ_AHEAD_BYTES, "the last ones are not read ahead");
    send_all(&mut client, &all);
    primary.await_queries(1);
    // It looks each 25 ms how much is there. A machine that is busy for longer than the half of this is no excuse.
    let delay = Duration::from_secs(2);
    std::thread::sleep(delay);
    primary.set_behavior(NodeBehavior::Answer);
    assert!(all.iter().all(|_| client.reply() == ok()));
    let last = told_wait(&primary.queries()[299]);
    assert!(last <= Duration::from_secs(9) - delay / 2, "{last:?}");
}

#[test]
fn an_rpc_whose_time_is_over_is_answered_at_its_turn_and_never_sent() {
    let (primary, _, router, _discovery) = replica_set(1, &[]);
    primary.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    send_all(&mut client, &[of("a", "enter", 9000), of("b", "enter", 150), of("c", "enter", 9000)]);
    primary.await_queries(1);
    std::thread::sleep(Duration::from_millis(300));
    primary.set_behavior(NodeBehavior::Answer);
    assert_eq!((client.reply(), client.reply(), client.reply()), (ok(), nothing_ran(), ok()));
    assert_eq!(primary.queries().len(), 2);
}

#[test]
fn statements_that_may_run_side_by_side_do_and_answers_stay_in_order() {
    let (primary, replicas, router, _discovery) = replica_set(1, &[]);
    [&primary, &replicas[0]].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let mut client = router.client();
    let all = [
        of("a", "enter", 9000),
        of("b", "look", 9000),
        of("c", "look", 9000),
        "not a statement".to_string(),
        String::new(),
        of("d", "look", 9000),
    ];
    send_all(&mut client, &all);
    // The reads pass the write, and each other.
    primary.await_queries(1);
    replicas[0].await_queries(3);
    replicas[0].set_behavior(NodeBehavior::EchoId);
    others_go_on(&router, "look");
    primary.set_behavior(NodeBehavior::EchoId);
    assert_eq!(client.reply(), echo(&all[0]), "the slow one first");
    assert_eq!((client.reply(), client.reply()), (echo(&all[1]), echo(&all[2])));
    assert_eq!(client.reply(), Reply::Error("42601".to_string(), None), "an error has its place too");
    assert_eq!((client.reply(), client.reply()), (Reply::Empty, echo(&all[5])));
}

#[test]
fn a_read_behind_its_own_sessions_write_waits_for_it_and_a_write_behind_a_write_too() {
    let (primary, replicas, router, _discovery) = replica_set(1, &[]);
    primary.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    let all = [of("a", "enter", 9000), of("a", "look", 9000), of("b", "look", 9000), of("b", "enter", 9000)];
    send_all(&mut client, &all);
    primary.await_queries(1);
    replicas[0].await_queries(1);
    others_go_on(&router, "look");
    let came = |node: &Node, text: &str| node.queries().iter().any(|query| id(query) == id(text));
    assert!(came(&replicas[0], &all[2]), "of another session");
    assert!(!came(&replicas[0], &all[1]) && !came(&primary, &all[1]), "it could miss the write");
    assert!(!came(&primary, &all[3]), "writes keep their order");
    primary.set_behavior(NodeBehavior::Answer);
    assert!(all.iter().all(|_| client.reply() == ok()));
    assert!(came(&replicas[0], &all[1]) && came(&primary, &all[3]));
}

/// Clients carry the session tokens; without health checks a replica is known by its answers alone.
fn marked_by_clients() -> (Node, Vec<Node>, RouterProcess, Discovery) {
    let (primary, replicas, router, discovery) = replica_set(
        1,
        &[
            (r#""update","recent""#, r#""update","own_writes""#),
            (r#""WriteMarks":"router""#, r#""WriteMarks":"client""#),
            (r#""Probes":true"#, r#""Probes":false"#),
        ],
    );
    // Reads earn the primary's share, of which one is a tenth.
    let mut other = router.client();
    assert!((0..20).all(|_| other.rpc("look", 9000) == ok()));
    std::thread::sleep(Duration::from_millis(5));
    (primary, replicas, router, discovery)
}

#[test]
fn a_read_that_was_sent_before_its_session_knew_of_its_commit_sees_it_nonetheless() {
    let (primary, replicas, router, _discovery) = marked_by_clients();
    let mut client = router.client();
    let all = [of("a", "enter", 9000), of("a", "recent", 9000)];
    send_all(&mut client, &all);
    assert_eq!((client.reply(), client.reply()), (ok(), ok()));
    let came = |node: &Node| node.queries().iter().filter(|query| id(query) == id(&all[1])).count();
    assert_eq!((came(&primary), came(&replicas[0])), (1, 0), "the replica had not shown the commit");
}

#[test]
fn a_read_behind_many_other_sessions_writes_still_sees_its_own_sessions() {
    // More sessions write in between than are kept one by one; the read was sent before any of them was answered.
    let (primary, replicas, router, _discovery) = marked_by_clients();
    let mut client = router.client();
    let writes = (0..100).map(|place| of(&format!("k{place}"), "enter", 9000));
    let mut all: Vec<String> = writes.collect();
    all.push(of("k0", "recent", 9000));
    send_all(&mut client, &all);
    assert!(all.iter().all(|_| client.reply() == ok()));
    let came = |node: &Node| node.queries().iter().filter(|query| id(query) == id(&all[100])).count();
    assert_eq!((came(&primary), came(&replicas[0])), (1, 0), "the replica had not shown the commit");
}

#[test]
fn a_client_that_never_ends_its_extended_messages_keeps_nobody_waiting() {
    let (primary, _, mut router, _discovery) = replica_set(1, &[("9000.0", "2500.0")]);
    primary.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    // One that waits while the flood goes on, and whose answer must come all the same.
    send_all(&mut client, &[of("a", "enter", 2500)]);
    primary.await_queries(1);
    let piece = [&b"P\0\0\0\x08\0\0\0\0"[..], &b"H\0\0\0\x04".repeat(10_000)].concat();
    let second = router.client();
    let floods = [&client, &second].map(|client| {
        let (mut stream, piece) = (client.stream.try_clone().unwrap(), piece.clone());
        std::thread::spawn(move || while stream.write_all(&piece).is_ok() {})
    });
    others_go_on(&router, "look");
    primary.set_behavior(NodeBehavior::Answer);
    assert_eq!(client.reply(), ok(), "it goes on while its client floods");
    router.signal("-TERM");
    assert!(router.wait_for_exit().success(), "and so does the end");
    floods.into_iter().for_each(|flood| flood.join().unwrap());
}

#[test]
fn with_its_client_what_is_under_way_ends_and_what_waits_is_not_begun() {
    let (primary, replicas, router, _discovery) = replica_set(1, &[]);
    [&primary, &replicas[0]].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let mut client = router.client();
    let all = [of("a", "enter", 9000), of("b", "look", 9000), of("c", "enter", 9000), of("a", "look", 9000)];
    let sent = Instant::now();
    send_all(&mut client, &all);
    primary.await_queries(1);
    replicas[0].await_queries(1);
    assert!(sent.elapsed() < Duration::from_secs(5), "the first one may have ended by its time");
    client.disconnect();
    [&primary, &replicas[0]].iter().for_each(|node| node.set_behavior(NodeBehavior::Answer));
    // Under the ids of those that waited: nothing of them is under way.
    let mut other = router.client();
    assert_eq!((other.try_query(&all[2]), other.try_query(&all[3])), (ok(), ok()));
    others_go_on(&router, "enter");
    let came = |text: &str| {
        let queries = [primary.queries(), replicas[0].queries()].concat();
        queries.iter().filter(|query| id(query) == id(text)).count()
    };
    assert!(
        all.iter().all(|text| came(text) == 1),
        "each once: two before it left, two for the other client"
    );
}

#[test]
fn a_turn_that_comes_when_the_client_has_disconnected_is_not_taken() {
    // Where the end comes between two looks of a session that reads no further, and a turn right behind it, nothing but
    // the look at the turn itself tells.
    let (mut rounds, mut crossings) = (0, 0);
    while crossings < 5 {
        rounds += 1;
        assert!(rounds <= 100, "{crossings} crossings in {rounds} rounds");
        crossings += usize::from(disconnects_before_a_turn());
    }
}

/// Whether the session took notice of the end no earlier than of the answer that makes the turn.
fn disconnects_before_a_turn() -> bool {
    let (primary, _, router, _discovery) = replica_set(1, &[(r#""Probes":true"#, r#""Probes":false"#)]);
    primary.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    // Writes of a group wait for each other. The end lies behind more than is read ahead.
    let all: Vec<String> = (0..300).map(|_| of("a", "enter", 9000)).collect();
    send_all(&mut client, &all);
    primary.await_queries(1);
    let mut other = router.client();
    // Whatever a router does at once, it has done by then.
    let settles = |other: &mut Client, times: usize| {
        (0..times).for_each(|_| {
            other.send_query("");
            assert_eq!(other.reply(), Reply::Empty);
        });
    };
    settles(&mut other, 10);
    // What came no longer ago than a session looks is not looked at again.
    std::thread::sleep(2 * DISCONNECT_CHECK_INTERVAL);
    client.stream.shutdown(Shutdown::Write).unwrap();
    // What is sent behind the end comes behind it.
    settles(&mut other, 1);
    // More than an answer costs the connection, so that the next statement's turn would open one of its own.
    primary.set_behavior(NodeBehavior::TrailingBytes(b"N\0\0\0\x05\0"));
    let reply = client.reply();
    settles(&mut other, 10);
    // Those that came before this one have been counted when it is.
    let _last = TcpStream::connect(primary.address).unwrap();
    await_true(|| primary.connections.load(SeqCst) >= 2);
    assert_eq!(primary.connections.load(SeqCst), 2, "a turn was taken for nobody");
    assert_eq!(primary.queries().len(), 1);
    assert!(reply == ok() || reply == Reply::Closed, "{reply:?}");
    reply == ok()
}

#[test]
fn what_is_read_ahead_is_bounded_by_statements_and_by_bytes() {
    let (primary, replicas, mut router, _discovery) = replica_set(3, &[("9000.0", "2500.0")]);
    replicas.iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let mut client = router.client();
    let all: Vec<String> = (0..400).map(|place| of(&format!("k{place}"), "look", 9000)).collect();
    let bytes: usize = all.iter().map(|text| text.len() + 6).sum();
    assert!(bytes > 2 * MAX_READ_AHEAD_BYTES);
    send_all(&mut client, &all);
    await_all(&replicas, MAX_PIPELINED_REQUESTS);
    others_go_on(&router, "enter");
    assert_eq!(count(&replicas), MAX_PIPELINED_REQUESTS);
    replicas.iter().for_each(|node| node.set_behavior(NodeBehavior::EchoId));
    assert!(all.iter().all(|text| client.reply() == echo(text)), "and yet all are answered, in order");
    // Without an end, and nothing of it is answered.
    replicas.iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let mut stream = client.stream.try_clone().unwrap();
    let next = || pg::query_message(of("a", "look", 9000).as_bytes());
    let floods = std::thread::spawn(move || while stream.write_all(&next()).is_ok() {});
    await_all(&replicas, all.len() + MAX_PIPELINED_REQUESTS);
    others_go_on(&router, "enter");
    _ = client.stream.shutdown(std::net::Shutdown::Both);
    floods.join().unwrap();
    drop((client, primary));
    router.signal("-TERM");
    let line = router.log_line("buffers_coming_high");
    let high = |name: &str| {
        let number = line.split(&format!("{name}=")).nth(1).unwrap().split(' ').next().unwrap();
        number.parse::<usize>().unwrap()
    };
    assert!(high("buffers_coming_high") <= MAX_READ_AHEAD_BYTES + 4096, "{line}");
    let longest = all.iter().map(|text| text.len()).max().unwrap();
    assert!(high("buffers_statements_high") <= (MAX_PIPELINED_REQUESTS + 1) * longest.max(200), "{line}");
    assert!(router.wait_for_exit().success());
}

#[test]
fn all_pipelined_requests_are_answered_before_a_router_that_was_told_to_stop_has_ended() {
    // It is killed 0.7 s after the longest deadline. With the node's answers all have run by then, without them none
    // is kept waiting for its turn.
    for answers in [true, false] {
        let (primary, _, mut router, _discovery) = replica_set(1, &[("9000.0", "2500.0")]);
        primary.set_behavior(NodeBehavior::Hang);
        let mut client = router.client();
        let all: Vec<String> = (0..20).map(|place| of(&format!("k{place}"), "enter", 2500)).collect();
        send_all(&mut client, &all);
        primary.await_queries(1);
        router.signal("-TERM");
        if answers {
            router.await_log_line("received a shutdown signal");
            primary.set_behavior(NodeBehavior::Answer);
        }
        let replies: Vec<Reply> = all.iter().map(|_| client.reply()).collect();
        match answers {
            true => assert!(replies.iter().all(|reply| *reply == ok()), "{replies:?}"),
            false => assert!(
                matches!(&replies[0], Reply::Error(code, _) if code == "57014")
                    && replies[1..]
                        .iter()
                        .all(|reply| matches!(reply, Reply::Error(code, _) if code == "53300")),
                "{replies:?}"
            ),
        }
        // The client stays on.
        assert!(router.wait_for_exit().success());
    }
}
