//! Limits on descriptors and memory: which connections are evicted, and which RPCs are rejected.

use quillpoint_router::pg;

use crate::standin::{Client, NodeBehavior, Reply, statement};
use crate::{no_capacity, ok, start_pair_with};

#[test]
fn longest_idle_connection_is_evicted_when_descriptors_are_short() {
    let (_, replica, router, _) = start_pair_with(32, "", "");
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..40 {
        let mut client = router.client();
        assert_eq!(client.rpc("look", 9000), ok());
        clients.push(client);
    }
    assert_eq!(clients[0].next_message(), None, "evicted for later clients");
    assert_eq!(clients[39].rpc("look", 9000), ok());
    assert_eq!(replica.queries().len(), 41);
}

/// Guards against evicting a connection before the next client has connected. The newest connection was
/// evicted, since it had not sent anything yet, although others had been idle for longer.
#[test]
fn new_client_is_not_evicted_before_it_can_send_anything() {
    let (_, _, router, _) = start_pair_with(32, "", "");
    // Half of the 16 sockets are for clients.
    let mut clients: Vec<Client> = (0..8).map(|_| router.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.rpc("look", 9000), ok()));
    let mut silent = std::net::TcpStream::connect(router.address).unwrap();
    // The router has accepted the new connection by the time it has answered these RPCs.
    let busy = &mut clients[7];
    (0..20).for_each(|_| assert_eq!(busy.rpc("look", 9000), ok()));
    let mut startup = Vec::new();
    pg::encode_startup(&mut startup, "portal", "crm");
    std::io::Write::write_all(&mut silent, &startup).unwrap();
    let mut answer = [0; 1];
    silent.set_read_timeout(Some(std::time::Duration::from_secs(30))).unwrap();
    assert_eq!(
        std::io::Read::read(&mut silent, &mut answer).unwrap(),
        1,
        "expected a startup response, but the connection was closed"
    );
}

/// Guards against clients beyond the descriptor quota whose RPCs are left unread instead of being rejected.
#[test]
fn rpcs_of_clients_without_a_descriptor_are_rejected() {
    let (primary, replica, router, _) = start_pair_with(64, "", "");
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let send_read = || Client::connect_and_query(router.address, &statement("look", 9000));
    // Half of the 48 sockets are for clients. While their RPCs are pending, further clients are rejected at
    // once.
    let mut pending: Vec<Client> = (0..24).map(|_| send_read()).collect();
    assert!((0..20).all(|_| send_read().reply() == no_capacity()));
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Answer));
    assert!(pending.iter_mut().all(|client| client.reply() == ok()));
}

/// Guards against rejecting only the first of the statements that a client beyond the descriptor quota has
/// sent at once. The others were read, and the session was closed without an answer to them.
#[test]
fn all_statements_of_a_client_without_a_descriptor_are_rejected() {
    let (primary, replica, router, _) = start_pair_with(64, "", "");
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let send_read = || Client::connect_and_query(router.address, &statement("look", 9000));
    let mut pending: Vec<Client> = (0..24).map(|_| send_read()).collect();
    for count in [2, 4, 40] {
        let mut client = Client::connect(router.address);
        let texts: Vec<String> = (0..count).map(|_| statement("look", 9000)).collect();
        client.send_queries(&texts);
        let rejected = (0..count).filter(|_| client.reply() == no_capacity()).count();
        assert_eq!((rejected, client.next_message()), (count, None), "each has an answer, then the close");
    }
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Answer));
    assert!(pending.iter_mut().all(|client| client.reply() == ok()));
    assert_eq!(primary.queries().len() + replica.queries().len(), 24, "no rejected statement was forwarded");
}

/// Guards against ending a session for lack of memory without an answer to the statements that were read
/// together with the bytes beyond the budget.
#[test]
fn statements_read_without_memory_for_them_are_rejected() {
    let (_, replica, router, _) = start_pair_with(64, r#""memory_mb":192"#, r#""memory_mb":1"#);
    // An eighth of the memory is for incoming messages, beyond a chunk for each session. Two unfinished
    // messages leave less than another chunk.
    let long = |bytes: usize| {
        let text = format!("{} -- {}", statement("look", 9000), "x".repeat(130_000));
        pg::query_message(text.as_bytes())[..bytes].to_vec()
    };
    let mut unfinished = [router.client(), router.client()];
    for (client, bytes) in unfinished.iter_mut().zip([120_000, 18_000]) {
        // After an answer, all bytes of the startup have been read.
        assert_eq!(client.rpc("look", 9000), ok());
        client.send(&long(bytes));
    }
    let forwarded = replica.queries().len();
    let mut client = router.client();
    let texts = [
        format!("{} -- {}", statement("look", 9000), "x".repeat(6000)),
        statement("look", 9000),
        statement("look", 9000),
    ];
    // The router has read the unfinished messages by the time it has answered these.
    assert!((0..50).all(|_| client.rpc("look", 9000) == ok()));
    client.send_queries(&texts);
    assert!(texts.iter().all(|_| client.reply() == no_capacity()), "each has an answer");
    assert_eq!(client.reply(), Reply::Error("53200".into(), None));
    assert_eq!((client.next_message(), replica.queries().len()), (None, forwarded + 50));
}

/// Guards against leaving the statements behind a message without an answer for which there was no memory: they
/// had arrived whole.
#[test]
fn statements_behind_a_message_without_memory_are_rejected() {
    let (_, replica, router, _) = start_pair_with(64, r#""memory_mb":192"#, r#""memory_mb":1"#);
    let long = format!("{} -- {}", statement("look", 9000), "x".repeat(130_000));
    let mut unfinished = router.client();
    assert_eq!(unfinished.rpc("look", 9000), ok());
    unfinished.send(&pg::query_message(long.as_bytes())[..120_000]);
    let mut client = router.client();
    // The router has read the unfinished message by the time it has answered these.
    assert!((0..50).all(|_| client.rpc("look", 9000) == ok()));
    let forwarded = replica.queries().len();
    let short = (0..20).map(|_| statement("look", 9000));
    let texts: Vec<String> = std::iter::once(long).chain(short).collect();
    client.send_queries(&texts);
    let replies: Vec<Reply> = texts.iter().map(|_| client.reply()).collect();
    assert!(replies.iter().all(|reply| *reply == no_capacity()), "each has an answer: {replies:?}");
    assert_eq!(client.reply(), Reply::Error("53200".into(), None));
    assert_eq!((client.next_message(), replica.queries().len()), (None, forwarded));
}

/// Guards against disconnecting a client on a slow connection that reads steadily. A long answer was once cut
/// off when it took longer to write than the longest deadline.
#[test]
fn slowly_reading_client_receives_long_answers_completely() {
    let (primary, replica, router, _) = start_pair_with(64, "9000.0", "400.0");
    let mut client = router.client();
    assert_eq!(client.rpc("look", 400), ok());
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::LargeValue(1_000_000)));
    // Pipelined queries whose answers exceed the socket buffers.
    let all: Vec<u8> = (0..8).flat_map(|_| pg::query_message(statement("look", 400).as_bytes())).collect();
    client.send(&all);
    let (mut bytes, mut chunk) = (0, vec![0; 32 * 1024]);
    while bytes < 8_000_000 {
        std::thread::sleep(std::time::Duration::from_millis(20));
        let count = std::io::Read::read(&mut client.stream, &mut chunk).unwrap();
        assert!(count > 0, "the connection was closed after {bytes} bytes");
        bytes += count;
    }
}

/// Guards against an error behind a part of an answer, whose client had stopped reading for too long: a client
/// that reads on would take it for the rest of the value.
#[test]
fn nothing_is_sent_behind_an_answer_that_is_cut_off() {
    use socket2::{Domain, Socket, Type};
    use std::io::Read;
    let (primary, replica, router, _) = start_pair_with(64, "9000.0", "400.0");
    // With a small receive buffer the answers do not fit into the kernel's buffers.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.connect(&router.address.into()).unwrap();
    let mut client = Client::from_stream(socket.into());
    assert_eq!(client.rpc("look", 400), ok());
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::LargeValue(1_000_000)));
    let all: Vec<u8> = (0..16).flat_map(|_| pg::query_message(statement("look", 400).as_bytes())).collect();
    client.send(&all);
    // Longer than a client may stop reading, which is 0.4 s from when the kernel's buffers are full, and not so
    // long that an error behind the part would be given up too.
    std::thread::sleep(std::time::Duration::from_millis(1000));
    let mut received = Vec::new();
    client.stream.read_to_end(&mut received).unwrap();
    assert!(received.contains(&b'v'), "no part of an answer was received");
    assert!(
        !received.windows(5).any(|code| code == b"57014"),
        "an error was sent behind a part of an answer"
    );
}

/// Guards against pending statements that exceed the memory budget, and against memory that is not released.
#[test]
fn statements_beyond_the_memory_budget_are_rejected() {
    let (_, replica, router, _) = start_pair_with(64, r#""memory_mb":192"#, r#""memory_mb":1"#);
    replica.set_behavior(NodeBehavior::Hang);
    let long = || format!("{} -- {}", statement("look", 9000), "x".repeat(100_000));
    // Sent one after the other: two incoming messages at the same time would exceed their eighth of the
    // memory.
    let send_long = |count| {
        let client = Client::connect_and_query(router.address, &long());
        replica.await_queries(count);
        client
    };
    let mut pending = [send_long(1), send_long(2)];
    assert_eq!(
        Client::connect_and_query(router.address, &long()).reply(),
        no_capacity(),
        "three statements exceed a quarter of the memory"
    );
    let mut small = Client::connect_and_query(router.address, &statement("look", 9000));
    replica.set_behavior(NodeBehavior::Answer);
    assert!(pending.iter_mut().chain([&mut small]).all(|client| client.reply() == ok()));
    assert_eq!(
        Client::connect_and_query(router.address, &long()).reply(),
        ok(),
        "the memory of ended RPCs has been released"
    );
}

/// Guards against an incoming message beyond the memory budget that affects other clients. If two messages
/// together exceed the budget, one client gets an error and is closed, whichever is read first; the message
/// of the other is accepted.
#[test]
fn incoming_message_beyond_the_memory_budget_fails_only_its_own_session() {
    let (_, _, router, _) = start_pair_with(64, r#""memory_mb":192"#, r#""memory_mb":1"#);
    let long = format!("{} -- {}", statement("look", 9000), "x".repeat(100_000));
    let mut whole = Vec::new();
    pg::encode_query(&mut whole, long.as_bytes());
    let (most, last) = whole.split_at(whole.len() - 1);
    let mut clients = [router.client(), router.client()];
    for client in &mut clients {
        // After an answer, all bytes of the startup have been read.
        assert_eq!(client.rpc("look", 9000), ok());
        client.send(most);
    }
    // No message can be complete before one of them is rejected.
    let rejected = loop {
        std::thread::sleep(std::time::Duration::from_millis(5));
        let has_response = |client: &Client| {
            client.stream.set_nonblocking(true).unwrap();
            let has_bytes = client.stream.peek(&mut [0]).is_ok();
            client.stream.set_nonblocking(false).unwrap();
            has_bytes
        };
        if let Some(place) = clients.iter().position(has_response) {
            break place;
        }
    };
    assert_eq!(clients[rejected].reply(), Reply::Error("53200".into(), None));
    assert_eq!(clients[rejected].next_message(), None, "the session is closed after the error");
    let other = &mut clients[1 - rejected];
    other.send(last);
    assert_eq!(other.reply(), ok());
    assert_eq!(
        Client::connect_and_query(router.address, &long).reply(),
        ok(),
        "the memory of ended RPCs has been released"
    );
}

/// Guards against clients that connect and send nothing: they must not evict a client that has been served,
/// nor stay connected.
#[test]
fn silent_clients_are_evicted_first_and_closed_after_a_timeout() {
    use std::io::Read;
    let (_, _, router, _) = start_pair_with(64, "", "");
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    let mut silent: Vec<_> = (0..60).map(|_| std::net::TcpStream::connect(router.address).unwrap()).collect();
    let closed = |stream: &mut std::net::TcpStream| stream.read_to_end(&mut Vec::new()).is_ok();
    assert!(closed(&mut silent[0]), "the first silent client is evicted");
    assert_eq!(client.rpc("look", 9000), ok(), "the client that has been idle for longer is not evicted");
    assert!(silent.iter_mut().all(closed), "the other silent clients are closed after the timeout");
}
