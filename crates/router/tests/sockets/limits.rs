//! Descriptors and memory: who is evicted, and who is rejected.

use quillpoint_router::pg;

use crate::standin::{Client, NodeBehavior, Reply, statement};
use crate::{no_room, ok, pair_with};

#[test]
fn the_longest_idle_connection_is_evicted_when_descriptors_are_short() {
    let (_, replica, router, _) = pair_with(32, "", "");
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..40 {
        let mut client = router.client();
        assert_eq!(client.rpc("look", 9000), ok());
        clients.push(client);
    }
    assert_eq!(clients[0].next_message(), None, "closed for the ones that came later");
    assert_eq!(clients[39].rpc("look", 9000), ok());
    assert_eq!(replica.queries().len(), 41);
}

/// Guards against room that is made ahead of the next client: it was made by closing the newest connection, which
/// had not said anything yet, though others had long been idle.
#[test]
fn a_new_client_keeps_its_connection_until_it_has_had_time_to_speak() {
    let (_, _, router, _) = pair_with(32, "", "");
    // Half of 16 sockets are for clients.
    let mut clients: Vec<Client> = (0..8).map(|_| router.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.rpc("look", 9000), ok()));
    let mut silent = std::net::TcpStream::connect(router.address).unwrap();
    // The router has turned to the new one by the time it has answered all this.
    let busy = &mut clients[7];
    (0..20).for_each(|_| assert_eq!(busy.rpc("look", 9000), ok()));
    let mut startup = Vec::new();
    pg::encode_startup(&mut startup, "portal", "crm");
    std::io::Write::write_all(&mut silent, &startup).unwrap();
    let mut answer = [0; 1];
    silent.set_read_timeout(Some(std::time::Duration::from_secs(30))).unwrap();
    assert_eq!(std::io::Read::read(&mut silent, &mut answer).unwrap(), 1, "a welcome, not a close");
}

#[test]
fn what_there_are_no_descriptors_for_is_rejected_and_not_left_unread() {
    let (primary, replica, router, _) = pair_with(64, "", "");
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let asks = || Client::connect_and_query(router.address, &statement("look", 9000));
    // Half of the 48 sockets are for clients, whose RPCs are pending; the others need not wait for them.
    let mut pending: Vec<Client> = (0..24).map(|_| asks()).collect();
    assert!((0..20).all(|_| asks().reply() == no_room()));
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::Answer));
    assert!(pending.iter_mut().all(|client| client.reply() == ok()));
}

/// Guards against a client on a slow line that reads all the time and is cut off in the middle of a long answer, as
/// the longest deadline was once all the time that an answer had.
#[test]
fn a_client_that_reads_slowly_gets_its_long_answers_whole() {
    let (primary, replica, router, _) = pair_with(64, "9000.0", "400.0");
    let mut client = router.client();
    assert_eq!(client.rpc("look", 400), ok());
    [&primary, &replica].iter().for_each(|node| node.set_behavior(NodeBehavior::LargeValue(1_000_000)));
    // More than sockets' buffers take, all asked for at once.
    let all: Vec<u8> = (0..8).flat_map(|_| pg::query_message(statement("look", 400).as_bytes())).collect();
    client.send(&all);
    let (mut bytes, mut piece) = (0, vec![0; 32 * 1024]);
    while bytes < 8_000_000 {
        std::thread::sleep(std::time::Duration::from_millis(20));
        let count = std::io::Read::read(&mut client.stream, &mut piece).unwrap();
        assert!(count > 0, "cut off after {bytes} bytes");
        bytes += count;
    }
}

#[test]
fn what_there_is_no_memory_for_is_rejected() {
    let (_, replica, router, _) = pair_with(64, r#""memory_mb":192"#, r#""memory_mb":1"#);
    replica.set_behavior(NodeBehavior::Hang);
    let long = || format!("{} -- {}", statement("look", 9000), "x".repeat(100_000));
    // One after the other: two that come in at once exceed an eighth by themselves.
    let hold = |count| {
        let client = Client::connect_and_query(router.address, &long());
        replica.await_queries(count);
        client
    };
    let mut pending = [hold(1), hold(2)];
    assert_eq!(
        Client::connect_and_query(router.address, &long()).reply(),
        no_room(),
        "three exceed a quarter"
    );
    let mut small = Client::connect_and_query(router.address, &statement("look", 9000));
    replica.set_behavior(NodeBehavior::Answer);
    assert!(pending.iter_mut().chain([&mut small]).all(|client| client.reply() == ok()));
    assert_eq!(Client::connect_and_query(router.address, &long()).reply(), ok(), "what has ended takes none");
}

/// Whichever is read first: of two that together exceed what may be coming in, one is told so and closed, and the other
/// is heard out.
#[test]
fn what_there_is_no_memory_for_while_it_comes_in_is_refused_and_harms_nobody_else() {
    let (_, _, router, _) = pair_with(64, r#""memory_mb":192"#, r#""memory_mb":1"#);
    let long = format!("{} -- {}", statement("look", 9000), "x".repeat(100_000));
    let mut whole = Vec::new();
    pg::encode_query(&mut whole, long.as_bytes());
    let (most, last) = whole.split_at(whole.len() - 1);
    let mut clients = [router.client(), router.client()];
    for client in &mut clients {
        // All that a session begins with has been read then.
        assert_eq!(client.rpc("look", 9000), ok());
        client.send(most);
    }
    // Nobody's message can come whole before one of them is refused.
    let refused = loop {
        std::thread::sleep(std::time::Duration::from_millis(5));
        let has_word = |client: &Client| {
            client.stream.set_nonblocking(true).unwrap();
            let has = client.stream.peek(&mut [0]).is_ok();
            client.stream.set_nonblocking(false).unwrap();
            has
        };
        if let Some(place) = clients.iter().position(has_word) {
            break place;
        }
    };
    assert_eq!(clients[refused].reply(), Reply::Error("53200".into(), None));
    assert_eq!(clients[refused].next_message(), None, "closed");
    let other = &mut clients[1 - refused];
    other.send(last);
    assert_eq!(other.reply(), ok());
    assert_eq!(Client::connect_and_query(router.address, &long).reply(), ok(), "what has ended takes none");
}

#[test]
fn a_silent_client_is_closed_and_evicted_first_when_descriptors_are_short() {
    use std::io::Read;
    let (_, _, router, _) = pair_with(64, "", "");
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    let mut silent: Vec<_> = (0..60).map(|_| std::net::TcpStream::connect(router.address).unwrap()).collect();
    let closed = |stream: &mut std::net::TcpStream| stream.read_to_end(&mut Vec::new()).is_ok();
    assert!(closed(&mut silent[0]), "the first of them has made room");
    assert_eq!(client.rpc("look", 9000), ok(), "and not the client that has been idle for longer");
    assert!(silent.iter_mut().all(closed), "the rest in time");
}
