//! Crossings: a request, an answer, an end or a signal that comes between two steps of a router. Each test holds
//! back or lets go of bytes at a chosen step, and waits for the event that shows it, not for a time.

mod standin;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use quillpoint_router::pg;
use quillpoint_router::socket_liveness::peer_has_closed;
use standin::{Client, ConnectBehavior, Discovery, Node, NodeBehavior, Reply, RouterProcess, VALUE};
use standin::{configuration, count, statement, targets};

/// Far longer than anything here takes.
const NEVER: Duration = Duration::from_secs(30);

fn ok() -> Reply {
    Reply::Value(VALUE.to_vec())
}

fn error(code: &str) -> Reply {
    Reply::Error(code.to_string(), None)
}

fn until(mut there: impl FnMut() -> bool) {
    let began = Instant::now();
    while !there() {
        assert!(began.elapsed() < NEVER, "it never came");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A primary, a replica, and a router that knows them.
fn pair(change: &[(&str, &str)], sockets: usize) -> (Node, Node, RouterProcess, Discovery) {
    let (primary, replica) = (Node::start(true), Node::start(false));
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "in_service")]);
    let discovery = Discovery::start(list.clone());
    let router = RouterProcess::start(&changed(&configuration(discovery.address, &list, sockets), change));
    (primary, replica, router, discovery)
}

fn changed(text: &str, change: &[(&str, &str)]) -> String {
    change.iter().fold(text.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    })
}

/// A session that keeps what it was told of its key: the messages up to the first ReadyForQuery, read by hand.
fn keyed(address: SocketAddr) -> (Client, Vec<u8>) {
    let client = Client::connect(address);
    let (mut stream, mut key) = (client.stream.try_clone().unwrap(), Vec::new());
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).unwrap();
        let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
        stream.read_exact(&mut body).unwrap();
        match head[0] {
            b'K' => key = body,
            b'Z' => return (client, key),
            _ => {}
        }
    }
}

fn cancel(address: SocketAddr, key: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&[&[0, 0, 0, 16, 4, 210, 22, 46], key].concat()).unwrap();
    // Closed without a word once it has been taken.
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
}

#[test]
fn a_client_whose_end_lies_behind_much_unread_has_disconnected() {
    let (_, replica, router, _discovery) = pair(&[], 200);
    replica.set_connect_behavior(ConnectBehavior::Hang);
    let mut client = router.client();
    client.send_query(&statement("look", 9000));
    until(|| count(&replica.connections) == 1);
    // More than a router reads ahead, and the end behind it.
    let ahead: Vec<u8> =
        (0..400).flat_map(|_| pg::query_message(statement("look", 9000).as_bytes())).collect();
    assert!(ahead.len() > 32 * 1024);
    client.send(&ahead);
    let gone = Instant::now();
    client.disconnect();
    // The RPC itself could wait 9 s, and its connection 5 s to come up.
    assert!(gone.elapsed() < Duration::from_secs(1), "{:?}", gone.elapsed());
    replica.set_connect_behavior(ConnectBehavior::Accept);
    assert_eq!(router.client().rpc("look", 9000), ok());
    assert_eq!(replica.queries().len(), 1, "nothing of the one that has gone was sent on");
}

#[test]
fn a_cancel_ends_the_rpc_of_its_session_and_an_unknown_key_changes_nothing() {
    let (primary, replica, router, _discovery) = pair(&[], 200);
    let (mut client, key) = keyed(router.address);
    let (mut other, other_key) = keyed(router.address);
    assert!(key.len() == 8 && key != other_key);
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    client.send_query(&statement("enter", 9000));
    other.send_query(&statement("look", 9000));
    primary.await_queries(1);
    replica.await_queries(1);
    cancel(router.address, &[key[0] ^ 1, key[1], key[2], key[3], key[4], key[5], key[6], key[7]]);
    cancel(router.address, &key);
    assert_eq!(client.reply(), error("57014"), "it may have run, so it is not rejected");
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Answer));
    assert_eq!(other.reply(), ok(), "another session's went on");
    // What comes before an RPC ends nothing of it.
    cancel(router.address, &key);
    assert_eq!(client.rpc("look", 9000), ok());
}

#[test]
fn a_cancel_ends_the_statement_that_its_client_waits_for_and_none_behind_it() {
    let (primary, replica, router, _discovery) = pair(&[], 200);
    let (mut client, key) = keyed(router.address);
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let all = [statement("enter", 9000), statement("look", 9000), statement("look", 9000)];
    client.send(&all.iter().flat_map(|text| pg::query_message(text.as_bytes())).collect::<Vec<u8>>());
    primary.await_queries(1);
    cancel(router.address, &key);
    assert_eq!(client.reply(), error("57014"));
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Answer));
    assert_eq!((client.reply(), client.reply()), (ok(), ok()), "what was asked behind it goes on");
    assert_eq!(client.rpc("look", 9000), ok());
}

#[test]
fn an_rpc_that_was_cancelled_while_its_connection_came_up_is_not_sent() {
    let (_, replica, router, _discovery) = pair(&[], 200);
    replica.set_connect_behavior(ConnectBehavior::Hang);
    let (mut client, key) = keyed(router.address);
    client.send_query(&statement("look", 9000));
    until(|| count(&replica.connections) == 1);
    cancel(router.address, &key);
    assert_eq!(client.reply(), error("57014"));
    replica.set_connect_behavior(ConnectBehavior::Accept);
    assert_eq!(client.rpc("look", 9000), ok());
    assert_eq!(replica.queries().len(), 1);
}

/// A node that takes connections and queries piece by piece, as the test says.
struct ManualNode(TcpListener);

impl ManualNode {
    /// Takes in little before it is read from.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // Small segments keep the router's own buffer small too.
        let socket = socket2::SockRef::from(&listener);
        socket.set_tcp_mss(536).unwrap();
        socket.set_recv_buffer_size(2048).unwrap();
        Self(listener)
    }

    fn entry(&self, role: &str) -> String {
        let endpoint = self.0.local_addr().unwrap();
        format!(
            r#"{{"uid":"s-7","endpoint":"{endpoint}","az":"a","model":"m","pod_group":0,"state":"in_service",
            "capacity_hint":1.0,"boot_ms":0,"role":"{role}"}}"#
        )
    }

    /// The next connection, accepted.
    fn accept(&self) -> TcpStream {
        let (mut stream, _) = self.0.accept().unwrap();
        stream.set_read_timeout(Some(NEVER)).unwrap();
        let mut head = [0; 4];
        stream.read_exact(&mut head).unwrap();
        stream.read_exact(&mut vec![0; u32::from_be_bytes(head) as usize - 4]).unwrap();
        let mut out = Vec::new();
        pg::encode_session_start(&mut out, None);
        stream.write_all(&out).unwrap();
        stream
    }
}

#[test]
fn nothing_more_of_a_statement_is_written_once_its_rpc_is_over() {
    let node = ManualNode::start();
    let list = format!("[{}]", node.entry("primary"));
    let discovery = Discovery::start(list.clone());
    let router = RouterProcess::start(&configuration(discovery.address, &list, 200));
    let mut client = router.client();
    // Longer than what the two buffers between router and node hold.
    let long = statement("enter", 9000).replace("\\x9f03", &format!("\\x{}", "9f".repeat(64_000)));
    client.send_query(&long);
    let mut stream = node.accept();
    // Its first bytes are here, so it has begun; the rest is stuck.
    let mut came = vec![0; 64];
    stream.read_exact(&mut came).unwrap();
    client.disconnect();
    let mut rest = Vec::new();
    _ = stream.read_to_end(&mut rest);
    assert!(came.len() + rest.len() < long.len(), "it came whole, and ran for nobody");
}

#[test]
fn a_dial_that_comes_up_late_fails_no_rpc_and_is_kept() {
    let node = Node::start(true);
    let list = targets(&[(&node, "primary", "in_service")]);
    let discovery = Discovery::start(list.clone());
    // A connect may take a second. A health check would wait no longer for its answer, and end the connection that it is on.
    let text = changed(
        &configuration(discovery.address, &list, 200),
        &[("5000.0,\"MaxAttempts\"", "1000.0,\"MaxAttempts\""), (r#""Probes":true"#, r#""Probes":false"#)],
    );
    let router = RouterProcess::start(&text);
    node.set_connect_behavior(ConnectBehavior::Hang);
    let mut client = router.client();
    client.send_query(&statement("enter", 9000));
    // The first is over its time, as a second one has begun.
    until(|| count(&node.connections) >= 2);
    // It comes up, and no other does: whatever is answered came over it.
    node.set_connect_behavior(ConnectBehavior::AcceptFirst(1));
    assert_eq!(client.reply(), ok());
    assert!((0..20).all(|_| client.rpc("enter", 9000) == ok()));
    assert_eq!(count(&node.accepted), 1);
    // Nor are those that come up when nobody waits for them any more lost.
    let dialled = count(&node.connections);
    node.set_connect_behavior(ConnectBehavior::Accept);
    until(|| count(&node.accepted) == dialled);
    assert!((0..20).all(|_| client.rpc("enter", 9000) == ok()));
    node.set_behavior(NodeBehavior::Hang);
    let mut clients: Vec<Client> = (0..dialled).map(|_| router.client()).collect();
    clients.iter_mut().for_each(|client| client.send_query(&statement("enter", 9000)));
    node.await_queries(41 + dialled);
    node.set_behavior(NodeBehavior::Answer);
    assert!(clients.iter_mut().all(|client| client.reply() == ok()));
    assert_eq!(count(&node.connections), dialled, "all have been paid for, and serve");
}

#[test]
fn an_answer_on_its_way_is_not_taken_back_by_a_close_over_unread_bytes() {
    let (primary, replica) = (Node::start(true), Node::start(false));
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "in_service")]);
    let discovery = Discovery::start(list.clone());
    let router =
        RouterProcess::start_with(&configuration(discovery.address, &list, 200), &[("RUST_LOG", "debug")]);
    replica.set_behavior(NodeBehavior::LargeValue(300_000));
    // A client that takes in little before it reads: most of its answer waits in the router's system.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&router.address.into()).unwrap();
    let mut client = Client::from_stream(socket.into());
    // A query, the end of the session, and more than is read at once behind that.
    let mut bytes = pg::query_message(statement("look", 9000).as_bytes());
    bytes.extend([b'X', 0, 0, 0, 4]);
    bytes.extend([b'z'; 48 * 1024]);
    client.send(&bytes);
    router.await_log_line(": finished");
    assert!(client.reply() == Reply::Value(vec![b'v'; 300_000]), "it did not come whole");
    assert_eq!(client.next_message(), None);
}

#[test]
fn a_request_that_crosses_the_end_of_an_idle_session_is_not_forwarded_and_not_reset() {
    let (_, replica, mut router, _) = pair(&[], 200);
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    router.signal("-TERM");
    until(|| peer_has_closed(&client.stream));
    let mut stream = client.stream.try_clone().unwrap();
    // It had not seen the end when it sent this.
    stream.write_all(&pg::query_message(statement("look", 9000).as_bytes())).unwrap();
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest);
    assert!(end.is_ok() && rest.is_empty(), "{end:?} {rest:?}");
    drop((stream, client));
    assert!(router.wait_for_exit().success());
    assert_eq!(replica.queries().len(), 1);
}

#[test]
fn half_a_request_at_the_signal_is_answered_when_the_rest_has_come() {
    let (_, replica, mut router, _) = pair(&[], 200);
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    let bytes = pg::query_message(statement("look", 900).as_bytes());
    client.send(&bytes[..20]);
    router.signal("-TERM");
    router.await_log_line("listener closed, draining");
    // A second signal, and a configuration anew, between the halves.
    router.signal("-TERM");
    router.signal("-HUP");
    router.await_log_line("configuration reloaded");
    client.send(&bytes[20..]);
    assert_eq!(client.reply(), ok());
    assert_eq!(client.next_message(), None, "and closed then");
    drop(client);
    assert!(router.wait_for_exit().success());
    assert_eq!(replica.queries().len(), 2);
}

#[test]
fn connections_that_wait_at_the_listener_hold_up_no_drain() {
    // Of 16 descriptors 8 are for clients, and 2 for those that are rejected; 6 are left for nodes.
    let (primary, replica, mut router, _) = pair(&[("9000.0", "900.0")], 32);
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let mut busy: Vec<Client> = (0..4).map(|_| Client::connect(router.address)).collect();
    busy.iter_mut().for_each(|client| client.send_query(&statement("look", 900)));
    // Until they are busy, they are as idle as those that come next.
    replica.await_queries(4);
    let queue: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(router.address).unwrap()).collect();
    let told = Instant::now();
    router.signal("-TERM");
    assert!(busy.iter_mut().all(|client| matches!(client.reply(), Reply::Error(..))));
    drop((busy, queue));
    assert!(router.wait_for_exit().success());
    // SIGKILL comes 1.6 s after the signal: here it ends after 1.2 s, or later where the machine is busy.
    assert!(told.elapsed() < Duration::from_secs(5), "{:?}", told.elapsed());
}

#[test]
fn a_router_that_is_told_to_stop_before_its_first_list_ends() {
    let discovery = Discovery::start("[]".into());
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let mut router = RouterProcess::start(&configuration(discovery.address, "[]", 200));
    let mut client = router.client();
    discovery.await_calls(1);
    client.send_query("");
    assert_eq!(client.reply(), error("57P03"), "not ready yet");
    router.signal("-TERM");
    assert_eq!(client.next_message(), None);
    drop(client);
    assert!(router.wait_for_exit().success());
}

#[test]
fn a_watch_that_falls_silent_for_good_costs_no_more_than_six_seconds() {
    // It may wait 20 s.
    let (primary, replica, router, discovery) = pair(&[], 200);
    discovery.await_calls(2);
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let since = Instant::now();
    discovery
        .set_targets(targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "terminating")]));
    until(|| discovery.has_unanswered_calls());
    // Fresh calls are answered from now on; the watch that stands never is.
    discovery.unresponsive.store(false, Ordering::SeqCst);
    router.await_log_line("list 2: 2 entries");
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
}

#[test]
fn a_list_that_was_reset_on_its_way_is_no_list_though_it_can_be_read() {
    let node = Node::start(true);
    let list = targets(&[(&node, "primary", "in_service")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::start(list.clone()).with_advertised_address(listener.local_addr().unwrap());
    let router = RouterProcess::start(&configuration(discovery.address, &list, 200));
    let (mut stream, _) = listener.accept().unwrap();
    // A part of the call stays unread, so that the close is a reset. There is no length: an end would be one.
    stream.read_exact(&mut [0; 4]).unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"rev\":9,\"all\":true,\"targets\":[]}").unwrap();
    drop(stream);
    router.await_log_line("poll of the endpoint list failed");
    assert_eq!(router.client().rpc("enter", 9000), ok(), "the node is known on");
}

#[test]
fn idle_clients_that_fill_the_descriptors_keep_no_list_away() {
    let (primary, replica) = (Node::start(true), Node::start(false));
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "in_service")]);
    // Nobody listens at discovery's address until later.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let down = Discovery::start(list.clone()).with_advertised_address(address);
    let router = RouterProcess::start(&configuration(down.address, &list, 64));
    router.await_log_line("poll of the endpoint list failed");
    let mut clients: Vec<Client> = (0..60).map(|_| router.client()).collect();
    let back = Instant::now();
    let drains = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "terminating")]);
    let _up = Discovery::start_at(address, drains);
    router.await_log_line("list 1: 2 entries");
    assert!(back.elapsed() < Duration::from_secs(6), "{:?}", back.elapsed());
    clients[59].rpc("look", 9000);
    assert!(replica.queries().is_empty(), "it was told to drain");
    assert_eq!(clients[59].rpc("enter", 9000), ok(), "and for nodes there is a descriptor too");
}

#[test]
fn thirty_routers_are_ready_in_time_whatever_discovery_does() {
    let refused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let silent = Discovery::start("[]".into());
    silent.unresponsive.store(true, Ordering::SeqCst);
    let [empty, node] = [
        Discovery::start("[]".into()),
        Discovery::start(targets(&[(&Node::start(true), "primary", "in_service")])),
    ];
    let down = empty.with_advertised_address(refused);
    let all = [&down, &silent, &empty, &node].into_iter().cycle().take(30);
    let fronts = all.map(|discovery| {
        let text = configuration(discovery.address, "[]", 200);
        std::thread::spawn(move || {
            let began = Instant::now();
            let router = RouterProcess::start(&text);
            let mut front = router.client();
            until(|| {
                front.send_query("");
                front.reply() == Reply::Empty
            });
            began.elapsed()
        })
    });
    let fronts: Vec<_> = fronts.collect();
    let ready: Vec<Duration> = fronts.into_iter().map(|front| front.join().unwrap()).collect();
    assert!(ready.iter().all(|took| *took < Duration::from_secs(10)), "{ready:?}");
}

#[test]
fn an_answer_that_never_ends_costs_its_own_rpc_alone() {
    for flood in [&b"N\0\0\0\x05\0"[..], b"S\0\0\0\x08a\0b\0"] {
        let (_, replica, router, _discovery) = pair(&[], 200);
        let mut others = router.client();
        replica.set_behavior(NodeBehavior::Flood(flood));
        let mut client = router.client();
        client.send_query(&statement("look", 9000));
        replica.await_queries(1);
        let asked = Instant::now();
        (0..50).for_each(|_| {
            others.send_query("");
            assert_eq!(others.reply(), Reply::Empty);
        });
        assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
        assert_ne!(client.reply(), Reply::Closed);
    }
}

#[test]
fn nothing_of_one_rpc_is_in_another_on_the_same_connections() {
    let nodes = [true, false, false].map(Node::start);
    let [primary, first, second] = &nodes;
    let (router, _discovery) =
        RouterProcess::start_with_nodes(&[(primary, "primary"), (first, "replica"), (second, "replica")]);
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::EchoId));
    let load = |class: &'static str, wait_ms: u64, key: &'static str| {
        let mut client = router.client();
        std::thread::spawn(move || {
            let mut asked = Vec::new();
            for _ in 0..150 {
                let text = statement(class, wait_ms).replace("'7f3a'", key);
                let id = text.split(['=', ',']).nth(1).unwrap().to_string();
                client.send_query(&text);
                match client.reply() {
                    Reply::Value(value) => assert_eq!(value, id.as_bytes(), "another's answer"),
                    reply => assert!(matches!(reply, Reply::Error(..)), "{reply:?}"),
                }
                asked.push((id, class, wait_ms, key));
            }
            asked
        })
    };
    let clients = [
        ("look", 9000, "'aa01'"),
        ("enter", 700, "'bb02'"),
        ("recent", 3000, "'cc03'"),
        ("look", 500, "'dd04'"),
    ];
    let running: Vec<_> = clients.map(|(class, wait, key)| load(class, wait, key)).into_iter().collect();
    // Connections break under what is on them, now here and now there.
    for round in 0..30 {
        let node = &nodes[round % 3];
        node.set_behavior(NodeBehavior::Disconnect);
        std::thread::sleep(Duration::from_millis(3));
        node.set_behavior(NodeBehavior::EchoId);
        std::thread::sleep(Duration::from_millis(3));
    }
    let asked: Vec<_> = running.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let came: Vec<String> = nodes.iter().flat_map(Node::queries).collect();
    assert!(came.len() >= 300, "{}", came.len());
    for text in &came {
        let id = text.split(['=', ',']).nth(1).unwrap();
        let (_, class, wait_ms, key) = asked.iter().find(|(known, ..)| known == id).unwrap();
        let wait: u64 = text.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
        assert!(text.contains(&format!(",c={class},")) && text.contains(key), "{text}");
        assert!((1..=*wait_ms).contains(&wait), "{text}");
    }
    let ran = primary.queries();
    let times = |id: &str| ran.iter().filter(|text| text.contains(id)).count();
    assert!(asked.iter().all(|(id, class, ..)| *class != "enter" || times(id) <= 1), "a second effect");
}

/// A router that was told to stop ends 50 ms after the last answer is due. One that is paused over that moment comes to
/// its end before it has come to its answers: what was pending was closed without a word.
#[test]
fn a_router_that_is_paused_over_the_end_of_its_shutdown_answers_first() {
    let (_, replica, mut router, _discovery) = pair(&[("9000.0", "600.0")], 200);
    replica.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    let told = Instant::now();
    router.signal("-TERM");
    router.await_log_line("draining");
    std::thread::sleep(Duration::from_millis(400));
    client.send_query(&statement("look", 600));
    replica.await_queries(1);
    // It ends its RPCs 900 ms after the signal at the latest.
    std::thread::sleep((told + Duration::from_millis(840)).saturating_duration_since(Instant::now()));
    router.signal("-STOP");
    std::thread::sleep(Duration::from_millis(150));
    router.signal("-CONT");
    let reply = client.reply();
    assert!(matches!(reply, Reply::Error(..)), "{reply:?}");
    assert!(router.wait_for_exit().success());
}
