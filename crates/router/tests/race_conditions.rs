//! Race conditions: a request, an answer, a disconnect or a signal arrives between two steps of a router.
//! Each test delays or releases bytes at a chosen step, and waits for the event that proves the order instead
//! of sleeping.

mod standin;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use quillpoint_router::pg;
use quillpoint_router::socket_liveness::peer_has_closed;
use standin::{Client, ConnectBehavior, Discovery, Node, NodeBehavior, Reply, RouterProcess, VALUE};
use standin::{configuration, count, statement, targets};

/// Timeout for expected events, much longer than any of them takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn ok() -> Reply {
    Reply::Value(VALUE.to_vec())
}

fn error(code: &str) -> Reply {
    Reply::Error(code.to_string(), None)
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the condition did not become true within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Starts a primary, a replica, and a router that knows them, with replacements in the router's
/// configuration.
fn start_pair(replacements: &[(&str, &str)], sockets: usize) -> (Node, Node, RouterProcess, Discovery) {
    let (primary, replica) = (Node::start(true), Node::start(false));
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "in_service")]);
    let discovery = Discovery::start(list.clone());
    let router = RouterProcess::start(&with_replacements(
        &configuration(discovery.address, &list, sockets),
        replacements,
    ));
    (primary, replica, router, discovery)
}

fn with_replacements(text: &str, replacements: &[(&str, &str)]) -> String {
    replacements.iter().fold(text.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "the configuration does not contain {from}");
        text.replace(from, to)
    })
}

/// Opens a session and returns its cancel key, read from the messages up to the first ReadyForQuery.
fn connect_with_cancel_key(address: SocketAddr) -> (Client, Vec<u8>) {
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

fn send_cancel_request(address: SocketAddr, key: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&[&[0, 0, 0, 16, 4, 210, 22, 46], key].concat()).unwrap();
    // The router closes the connection without a response once it has handled the request.
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
}

/// Guards against a disconnect that goes unnoticed because the client's shutdown lies behind more pipelined
/// bytes than a router reads ahead.
#[test]
fn disconnect_is_detected_behind_unread_bytes() {
    let (_, replica, router, _discovery) = start_pair(&[], 200);
    replica.set_connect_behavior(ConnectBehavior::Hang);
    let mut client = router.client();
    client.send_query(&statement("look", 9000));
    wait_until(|| count(&replica.connections) == 1);
    // More than a router reads ahead, with the shutdown behind it.
    let pipelined: Vec<u8> =
        (0..400).flat_map(|_| pg::query_message(statement("look", 9000).as_bytes())).collect();
    assert!(pipelined.len() > 32 * 1024);
    client.send(&pipelined);
    let disconnected_at = Instant::now();
    client.disconnect();
    // Without detection it would take longer: the RPC may wait 9 s, and its connect timeout is 5 s.
    assert!(
        disconnected_at.elapsed() < Duration::from_secs(1),
        "the router noticed the disconnect after {:?}",
        disconnected_at.elapsed()
    );
    replica.set_connect_behavior(ConnectBehavior::Accept);
    assert_eq!(router.client().rpc("look", 9000), ok());
    assert_eq!(replica.queries().len(), 1, "no statement of the disconnected client was forwarded");
}

/// Guards against a cancel request that ends another session's RPC, an RPC that starts after it, or any RPC
/// if its key is unknown.
#[test]
fn cancel_request_ends_only_the_rpc_of_its_session() {
    let (primary, replica, router, _discovery) = start_pair(&[], 200);
    let (mut client, key) = connect_with_cancel_key(router.address);
    let (mut other, other_key) = connect_with_cancel_key(router.address);
    assert!(key.len() == 8 && key != other_key);
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    client.send_query(&statement("enter", 9000));
    other.send_query(&statement("look", 9000));
    primary.await_queries(1);
    replica.await_queries(1);
    send_cancel_request(
        router.address,
        &[key[0] ^ 1, key[1], key[2], key[3], key[4], key[5], key[6], key[7]],
    );
    send_cancel_request(router.address, &key);
    assert_eq!(
        client.reply(),
        error("57014"),
        "the write may have run, so it is aborted instead of rejected"
    );
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Answer));
    assert_eq!(other.reply(), ok(), "the RPC of the other session continued");
    // A cancel request that arrives before an RPC does not affect it.
    send_cancel_request(router.address, &key);
    assert_eq!(client.rpc("look", 9000), ok());
}

/// Guards against a cancel request that also ends the pipelined statements behind the one that the client
/// waits for.
#[test]
fn cancel_request_does_not_end_later_pipelined_statements() {
    let (primary, replica, router, _discovery) = start_pair(&[], 200);
    let (mut client, key) = connect_with_cancel_key(router.address);
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let all = [statement("enter", 9000), statement("look", 9000), statement("look", 9000)];
    client.send(&all.iter().flat_map(|text| pg::query_message(text.as_bytes())).collect::<Vec<u8>>());
    primary.await_queries(1);
    send_cancel_request(router.address, &key);
    assert_eq!(client.reply(), error("57014"));
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Answer));
    assert_eq!((client.reply(), client.reply()), (ok(), ok()), "the later statements continued");
    assert_eq!(client.rpc("look", 9000), ok());
}

/// Guards against an RPC that is cancelled while its connection is being opened and is sent all the same.
#[test]
fn rpc_cancelled_while_connecting_is_not_sent() {
    let (_, replica, router, _discovery) = start_pair(&[], 200);
    replica.set_connect_behavior(ConnectBehavior::Hang);
    let (mut client, key) = connect_with_cancel_key(router.address);
    client.send_query(&statement("look", 9000));
    wait_until(|| count(&replica.connections) == 1);
    send_cancel_request(router.address, &key);
    assert_eq!(client.reply(), error("57014"));
    replica.set_connect_behavior(ConnectBehavior::Accept);
    assert_eq!(client.rpc("look", 9000), ok());
    assert_eq!(replica.queries().len(), 1);
}

/// A node whose connections and reads are controlled by the test.
struct ManualNode(TcpListener);

impl ManualNode {
    /// Uses small socket buffers, so that the router's write of a long statement stalls.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // Small segments keep the router's send buffer small too.
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

    /// Accepts the next connection and completes its startup.
    fn accept(&self) -> TcpStream {
        let (mut stream, _) = self.0.accept().unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut head = [0; 4];
        stream.read_exact(&mut head).unwrap();
        stream.read_exact(&mut vec![0; u32::from_be_bytes(head) as usize - 4]).unwrap();
        let mut out = Vec::new();
        pg::encode_session_start(&mut out, None);
        stream.write_all(&out).unwrap();
        stream
    }
}

/// Guards against completing a partly written statement after its client has disconnected: it would run for
/// nobody.
#[test]
fn partly_written_statement_is_not_completed_after_its_rpc_ended() {
    let node = ManualNode::start();
    let list = format!("[{}]", node.entry("primary"));
    let discovery = Discovery::start(list.clone());
    let router = RouterProcess::start(&configuration(discovery.address, &list, 200));
    let mut client = router.client();
    // Longer than the socket buffers of router and node together.
    let long = statement("enter", 9000).replace("\\x9f03", &format!("\\x{}", "9f".repeat(64_000)));
    client.send_query(&long);
    let mut stream = node.accept();
    // Its first bytes have arrived, so the write has started; the rest is stalled.
    let mut first_bytes = vec![0; 64];
    stream.read_exact(&mut first_bytes).unwrap();
    client.disconnect();
    let mut rest = Vec::new();
    _ = stream.read_to_end(&mut rest);
    assert!(first_bytes.len() + rest.len() < long.len(), "the statement was written completely, so it ran");
}

/// Guards against connections that succeed after their connect timeout and are discarded, or fail an RPC: a
/// node that answers slowly would never get a connection.
#[test]
fn late_dial_fails_no_rpc_and_is_reused() {
    let node = Node::start(true);
    let list = targets(&[(&node, "primary", "in_service")]);
    let discovery = Discovery::start(list.clone());
    // The connect timeout is one second. Health checks are disabled: they have the same timeout, and would
    // close the connection that they use.
    let text = with_replacements(
        &configuration(discovery.address, &list, 200),
        &[("5000.0,\"MaxAttempts\"", "1000.0,\"MaxAttempts\""), (r#""Probes":true"#, r#""Probes":false"#)],
    );
    let router = RouterProcess::start(&text);
    node.set_connect_behavior(ConnectBehavior::Hang);
    let mut client = router.client();
    client.send_query(&statement("enter", 9000));
    // The first dial has timed out once a second one has been started.
    wait_until(|| count(&node.connections) >= 2);
    // Only the first connection is accepted, so every answer arrives on it.
    node.set_connect_behavior(ConnectBehavior::AcceptFirst(1));
    assert_eq!(client.reply(), ok());
    assert!((0..20).all(|_| client.rpc("enter", 9000) == ok()));
    assert_eq!(count(&node.accepted), 1);
    // Connections that succeed when no exchange waits for them are kept too.
    let dialed = count(&node.connections);
    node.set_connect_behavior(ConnectBehavior::Accept);
    wait_until(|| count(&node.accepted) == dialed);
    assert!((0..20).all(|_| client.rpc("enter", 9000) == ok()));
    node.set_behavior(NodeBehavior::Hang);
    let mut clients: Vec<Client> = (0..dialed).map(|_| router.client()).collect();
    clients.iter_mut().for_each(|client| client.send_query(&statement("enter", 9000)));
    node.await_queries(41 + dialed);
    node.set_behavior(NodeBehavior::Answer);
    assert!(clients.iter_mut().all(|client| client.reply() == ok()));
    assert_eq!(
        count(&node.connections),
        dialed,
        "all earlier connections are reused and no new one is opened"
    );
}

/// Guards against closing a session while bytes of the client are unread: the connection would be reset, and
/// the client could lose an answer that is still in transit.
#[test]
fn close_with_unread_bytes_does_not_truncate_an_answer() {
    let (primary, replica) = (Node::start(true), Node::start(false));
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "in_service")]);
    let discovery = Discovery::start(list.clone());
    let router =
        RouterProcess::start_with(&configuration(discovery.address, &list, 200), &[("RUST_LOG", "debug")]);
    replica.set_behavior(NodeBehavior::LargeValue(300_000));
    // The client has a small receive buffer: most of its answer waits in the router's send buffer.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&router.address.into()).unwrap();
    let mut client = Client::from_stream(socket.into());
    // A query, Terminate, and then more bytes than one read returns.
    let mut bytes = pg::query_message(statement("look", 9000).as_bytes());
    bytes.extend([b'X', 0, 0, 0, 4]);
    bytes.extend([b'z'; 48 * 1024]);
    client.send(&bytes);
    router.await_log_line(": finished");
    assert!(client.reply() == Reply::Value(vec![b'v'; 300_000]), "the answer is incomplete");
    assert_eq!(client.next_message(), None);
}

/// Guards against a request that is sent while the router closes its idle session, and is forwarded although
/// nobody gets the answer, or reset.
#[test]
fn request_sent_while_its_idle_session_closes_is_neither_forwarded_nor_reset() {
    let (_, replica, mut router, _) = start_pair(&[], 200);
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    router.signal("-TERM");
    wait_until(|| peer_has_closed(&client.stream));
    let mut stream = client.stream.try_clone().unwrap();
    // Sent as by a client that has not noticed the close yet.
    stream.write_all(&pg::query_message(statement("look", 9000).as_bytes())).unwrap();
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest);
    assert!(end.is_ok() && rest.is_empty(), "expected a regular close without data: {end:?} {rest:?}");
    drop((stream, client));
    assert!(router.wait_for_exit().success());
    assert_eq!(replica.queries().len(), 1);
}

/// Guards against a draining router that closes a session whose next request has partly arrived.
#[test]
fn request_partly_received_at_sigterm_is_answered() {
    let (_, replica, mut router, _) = start_pair(&[], 200);
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    let bytes = pg::query_message(statement("look", 900).as_bytes());
    client.send(&bytes[..20]);
    router.signal("-TERM");
    router.await_log_line("listener closed, draining");
    // A second SIGTERM and a configuration reload between the two parts.
    router.signal("-TERM");
    router.signal("-HUP");
    router.await_log_line("configuration reloaded");
    client.send(&bytes[20..]);
    assert_eq!(client.reply(), ok());
    assert_eq!(client.next_message(), None, "the session is closed after the answer");
    drop(client);
    assert!(router.wait_for_exit().success());
    assert_eq!(replica.queries().len(), 2);
}

/// Guards against a drain that waits for connections in the listener's backlog, for which there are no
/// descriptors.
#[test]
fn connections_in_the_backlog_do_not_delay_the_drain() {
    // Of 16 descriptors 8 are for clients, and 2 for rejected clients; 6 are left for nodes.
    let (primary, replica, mut router, _) = start_pair(&[("9000.0", "900.0")], 32);
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let mut busy: Vec<Client> = (0..4).map(|_| Client::connect(router.address)).collect();
    busy.iter_mut().for_each(|client| client.send_query(&statement("look", 900)));
    // Until their RPCs are pending, these sessions are idle and could be evicted for the next ones.
    replica.await_queries(4);
    let queue: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(router.address).unwrap()).collect();
    let sigterm_at = Instant::now();
    router.signal("-TERM");
    assert!(busy.iter_mut().all(|client| matches!(client.reply(), Reply::Error(..))));
    drop((busy, queue));
    assert!(router.wait_for_exit().success());
    // The platform sends SIGKILL 1.6 s after the signal. The router ends after 1.2 s, or later if the machine
    // is busy.
    assert!(sigterm_at.elapsed() < Duration::from_secs(5), "the drain took {:?}", sigterm_at.elapsed());
}

/// Guards against a router that does not stop while it waits for its first endpoint list.
#[test]
fn router_stopped_before_its_first_endpoint_list_exits() {
    let discovery = Discovery::start("[]".into());
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let mut router = RouterProcess::start(&configuration(discovery.address, "[]", 200));
    let mut client = router.client();
    discovery.await_calls(1);
    client.send_query("");
    assert_eq!(client.reply(), error("57P03"), "the router is not ready without a list");
    router.signal("-TERM");
    assert_eq!(client.next_message(), None);
    drop(client);
    assert!(router.wait_for_exit().success());
}

/// Guards against a long poll whose connection stays open but is never answered, so that the router misses
/// changes of the endpoint list for longer than six seconds.
#[test]
fn stalled_endpoint_poll_delays_a_change_by_at_most_six_seconds() {
    // A poll may wait 20 s.
    let (primary, replica, router, discovery) = start_pair(&[], 200);
    discovery.await_calls(2);
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let changed_at = Instant::now();
    discovery
        .set_targets(targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "terminating")]));
    wait_until(|| discovery.has_unanswered_calls());
    // New polls are answered from now on; the stalled one never is.
    discovery.unresponsive.store(false, Ordering::SeqCst);
    router.await_log_line("list 2: 2 entries");
    assert!(
        changed_at.elapsed() < Duration::from_secs(6),
        "the change arrived after {:?}",
        changed_at.elapsed()
    );
}

/// Guards against accepting a response of discovery that was cut off by a reset and that happens to be valid
/// JSON.
#[test]
fn endpoint_list_cut_off_by_a_reset_is_ignored() {
    let node = Node::start(true);
    let list = targets(&[(&node, "primary", "in_service")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::start(list.clone()).with_advertised_address(listener.local_addr().unwrap());
    let router = RouterProcess::start(&configuration(discovery.address, &list, 200));
    let (mut stream, _) = listener.accept().unwrap();
    // A part of the call stays unread, so that the close becomes a reset. The response states no length, so a
    // regular close would mark its end.
    stream.read_exact(&mut [0; 4]).unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"rev\":9,\"all\":true,\"targets\":[]}").unwrap();
    drop(stream);
    router.await_log_line("poll of the endpoint list failed");
    assert_eq!(router.client().rpc("enter", 9000), ok(), "the router still knows the node");
}

/// Guards against idle clients that use up the descriptors, so that the router cannot connect to discovery or
/// to nodes.
#[test]
fn idle_clients_do_not_take_the_descriptors_for_discovery_and_nodes() {
    let (primary, replica) = (Node::start(true), Node::start(false));
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "in_service")]);
    // Nobody listens at discovery's address until later.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let unreachable = Discovery::start(list.clone()).with_advertised_address(address);
    let router = RouterProcess::start(&configuration(unreachable.address, &list, 64));
    router.await_log_line("poll of the endpoint list failed");
    let mut clients: Vec<Client> = (0..60).map(|_| router.client()).collect();
    let reachable_at = Instant::now();
    let draining = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "terminating")]);
    let _reachable = Discovery::start_at(address, draining);
    router.await_log_line("list 1: 2 entries");
    assert!(
        reachable_at.elapsed() < Duration::from_secs(6),
        "the list arrived after {:?}",
        reachable_at.elapsed()
    );
    clients[59].rpc("look", 9000);
    assert!(replica.queries().is_empty(), "the new list drains the replica");
    assert_eq!(
        clients[59].rpc("enter", 9000),
        ok(),
        "there is a descriptor for the connection to the primary"
    );
}

/// Guards against a router that is not ready within ten seconds because discovery is unreachable, does not
/// answer, or has an empty list.
#[test]
fn thirty_routers_become_ready_in_any_state_of_discovery() {
    let closed_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unresponsive = Discovery::start("[]".into());
    unresponsive.unresponsive.store(true, Ordering::SeqCst);
    let [empty, node] = [
        Discovery::start("[]".into()),
        Discovery::start(targets(&[(&Node::start(true), "primary", "in_service")])),
    ];
    let unreachable = empty.with_advertised_address(closed_address);
    let all = [&unreachable, &unresponsive, &empty, &node].into_iter().cycle().take(30);
    let routers = all.map(|discovery| {
        let text = configuration(discovery.address, "[]", 200);
        std::thread::spawn(move || {
            let started = Instant::now();
            let router = RouterProcess::start(&text);
            let mut client = router.client();
            wait_until(|| {
                client.send_query("");
                client.reply() == Reply::Empty
            });
            started.elapsed()
        })
    });
    let routers: Vec<_> = routers.collect();
    let ready_after: Vec<Duration> = routers.into_iter().map(|router| router.join().unwrap()).collect();
    assert!(ready_after.iter().all(|took| *took < Duration::from_secs(10)), "ready after {ready_after:?}");
}

/// Guards against a node that sends messages without end, and starves the other sessions of the router.
#[test]
fn endless_response_affects_only_its_own_rpc() {
    for flood in [&b"N\0\0\0\x05\0"[..], b"S\0\0\0\x08a\0b\0"] {
        let (_, replica, router, _discovery) = start_pair(&[], 200);
        let mut others = router.client();
        replica.set_behavior(NodeBehavior::Flood(flood));
        let mut client = router.client();
        client.send_query(&statement("look", 9000));
        replica.await_queries(1);
        let started = Instant::now();
        (0..50).for_each(|_| {
            others.send_query("");
            assert_eq!(others.reply(), Reply::Empty);
        });
        assert!(started.elapsed() < Duration::from_secs(1), "50 empty queries took {:?}", started.elapsed());
        assert_ne!(client.reply(), Reply::Closed);
    }
}

/// Guards against mixing up RPCs that share connections, also while connections break: an answer that goes to
/// another client, a statement with the wrong remaining time, or a write that runs twice.
#[test]
fn rpcs_on_shared_connections_are_not_mixed_up() {
    let nodes = [true, false, false].map(Node::start);
    let [primary, first, second] = &nodes;
    let (router, _discovery) =
        RouterProcess::start_with_nodes(&[(primary, "primary"), (first, "replica"), (second, "replica")]);
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::EchoId));
    let load = |class: &'static str, wait_ms: u64, key: &'static str| {
        let mut client = router.client();
        std::thread::spawn(move || {
            let mut sent = Vec::new();
            for _ in 0..150 {
                let text = statement(class, wait_ms).replace("'7f3a'", key);
                let id = text.split(['=', ',']).nth(1).unwrap().to_string();
                client.send_query(&text);
                match client.reply() {
                    Reply::Value(value) => assert_eq!(value, id.as_bytes(), "the answer to another RPC"),
                    reply => assert!(matches!(reply, Reply::Error(..)), "{reply:?}"),
                }
                sent.push((id, class, wait_ms, key));
            }
            sent
        })
    };
    let clients = [
        ("look", 9000, "'aa01'"),
        ("enter", 700, "'bb02'"),
        ("recent", 3000, "'cc03'"),
        ("look", 500, "'dd04'"),
    ];
    let running: Vec<_> = clients.map(|(class, wait, key)| load(class, wait, key)).into_iter().collect();
    // Connections break while RPCs use them, at one node after the other.
    for round in 0..30 {
        let node = &nodes[round % 3];
        node.set_behavior(NodeBehavior::Disconnect);
        std::thread::sleep(Duration::from_millis(3));
        node.set_behavior(NodeBehavior::EchoId);
        std::thread::sleep(Duration::from_millis(3));
    }
    let sent: Vec<_> = running.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let received: Vec<String> = nodes.iter().flat_map(Node::queries).collect();
    assert!(received.len() >= 300, "only {} queries reached the nodes", received.len());
    for text in &received {
        let id = text.split(['=', ',']).nth(1).unwrap();
        let (_, class, wait_ms, key) = sent.iter().find(|(sent_id, ..)| sent_id == id).unwrap();
        let wait: u64 = text.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
        assert!(
            text.contains(&format!(",c={class},")) && text.contains(key),
            "the statement was changed: {text}"
        );
        assert!((1..=*wait_ms).contains(&wait), "wrong remaining time: {text}");
    }
    let at_primary = primary.queries();
    let times = |id: &str| at_primary.iter().filter(|text| text.contains(id)).count();
    assert!(sent.iter().all(|(id, class, ..)| *class != "enter" || times(id) <= 1), "a write ran twice");
}

/// Guards against closing sessions with pending RPCs without a response. A stopping router exits 50 ms after
/// its last response is due. If its process was paused at that moment, the exit was due before the responses
/// had been written.
#[test]
fn router_paused_at_the_end_of_its_shutdown_still_answers() {
    let (_, replica, mut router, _discovery) = start_pair(&[("9000.0", "600.0")], 200);
    replica.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    let sigterm_at = Instant::now();
    router.signal("-TERM");
    router.await_log_line("draining");
    std::thread::sleep(Duration::from_millis(400));
    client.send_query(&statement("look", 600));
    replica.await_queries(1);
    // The router ends its RPCs 900 ms after the signal at the latest.
    std::thread::sleep((sigterm_at + Duration::from_millis(840)).saturating_duration_since(Instant::now()));
    router.signal("-STOP");
    std::thread::sleep(Duration::from_millis(150));
    router.signal("-CONT");
    let reply = client.reply();
    assert!(matches!(reply, Reply::Error(..)), "expected an error response, got {reply:?}");
    assert!(router.wait_for_exit().success());
}
