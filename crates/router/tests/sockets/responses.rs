//! How a node's response is forwarded to the client, and how often a statement is sent.

use crate::standin::{ConnectBehavior, Node, NodeBehavior, Reply, RouterProcess, count, statement};
use crate::{error, ok, start_pair};

/// Guards against changing a value or a statement, except for the remaining time, when it is forwarded.
#[test]
fn values_and_statements_are_forwarded_unchanged() {
    let (primary, replica, router, _) = start_pair();
    let mut client = router.client();
    for (node, class) in [(replica, "look"), (primary, "enter")] {
        let sent = statement(class, 9000);
        client.send_query(&sent);
        assert_eq!(client.reply(), ok());
        let queries = node.queries();
        let (before, after) = sent.split_once("9000").unwrap();
        let remaining = queries[0].strip_prefix(before).and_then(|rest| rest.strip_suffix(after)).unwrap();
        assert!(remaining.parse::<u64>().unwrap() <= 9000, "the remaining time is {remaining} ms");
        assert_eq!(queries.len(), 1);
    }
}

#[test]
fn misrouted_write_is_forwarded_to_the_primary() {
    let (listed, actual) = (Node::start(false), Node::start(true));
    let (router, _discovery) = RouterProcess::start_with_nodes(&[(&listed, "primary"), (&actual, "replica")]);
    assert_eq!(router.client().rpc("enter", 9000), ok());
    assert_eq!((listed.queries().len(), actual.queries().len()), (1, 1));
}

/// Guards against retrying a write that may have run: only one whose last byte was not written may be sent
/// again.
#[test]
fn write_is_retried_only_if_it_was_not_written_completely() {
    let (primary, replica, router, _discovery) = start_pair();
    let mut client = router.client();
    primary.set_connect_behavior(ConnectBehavior::Close);
    client.send_query(&statement("enter", 9000));
    while count(&primary.connections) == 0 {
        std::thread::yield_now();
    }
    primary.set_connect_behavior(ConnectBehavior::Accept);
    assert_eq!((client.reply(), primary.queries().len()), (ok(), 1));
    // While the primary was unreachable, the router may have tried the replica, which rejects the write
    // without running it.
    let misrouted = replica.queries().len();
    primary.set_behavior(NodeBehavior::Disconnect);
    assert_eq!(client.rpc("enter", 9000), error("08006"));
    assert_eq!((primary.queries().len(), replica.queries().len()), (2, misrouted));
}

/// Guards against clients that wait longer than their deadline for a node that never answers.
#[test]
fn rpc_on_an_unresponsive_node_ends_at_its_deadline() {
    let (primary, replica, router, _discovery) = start_pair();
    let mut client = router.client();
    primary.set_behavior(NodeBehavior::Hang);
    assert_eq!(client.rpc("enter", 300), error("57014"), "the write may have run, so it is aborted");
    replica.set_behavior(NodeBehavior::Hang);
    assert!(
        matches!(client.rpc("look", 300), Reply::Error(code, _) if code == "53300"),
        "a read can be retried, so it is rejected"
    );
    assert_eq!((primary.queries().len(), replica.queries().len()), (1, 1));
}

/// Guards against sending RPCs to a node whose health check reports that it is shutting down or starting up.
#[test]
fn node_reported_down_by_its_health_check_gets_no_rpcs() {
    let (_, replica, router, _discovery) = start_pair();
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    replica.set_behavior(NodeBehavior::Down);
    let before = replica.queries().len();
    for _ in 0..8 {
        client.rpc("look", 300);
    }
    assert_eq!(replica.queries().len(), before + 1, "the first RPC fails, and the health check confirms it");
}

/// Guards against passing a node's error code to the client: the code must state whether the RPC may have
/// run.
#[test]
fn node_error_codes_are_not_passed_to_the_client() {
    let (primary, _, router, _discovery) = start_pair();
    primary.set_behavior(NodeBehavior::Error("53300"));
    let Reply::Error(code, _) = router.client().rpc("enter", 300) else { panic!("expected an error") };
    assert_eq!(code, "53300", "nothing ran, so the RPC is rejected");
    primary.set_behavior(NodeBehavior::Error("XX000"));
    assert_eq!(router.client().rpc("enter", 9000), error("58000"), "the write may have run");
}

#[test]
fn rejection_carries_retry_after() {
    let (_, _, router, _discovery) = start_pair();
    let mut client = router.client();
    client.send_query(&statement("look", 9000).replace("cluster=0", "cluster=9"));
    assert_eq!(client.reply(), Reply::Error("53300".into(), Some("50".into())));
}

#[test]
fn truncated_value_is_not_forwarded() {
    let (_, replica, router, _discovery) = start_pair();
    replica.set_behavior(NodeBehavior::Truncate);
    assert!(matches!(router.client().rpc("look", 300), Reply::Error(..)));
}

/// Guards against retrying a write, or ejecting a node, after a malformed response: the statement has run.
#[test]
fn malformed_response_fails_the_attempt_and_writes_are_not_retried() {
    let nodes = [true, false, false].map(Node::start);
    let [primary, malformed, other] = &nodes;
    let (router, _discovery) =
        RouterProcess::start_with_nodes(&[(primary, "primary"), (malformed, "replica"), (other, "replica")]);
    let mut client = router.client();
    // Random bytes; a length that is too short; an endless row of 3 GB; a row whose value is longer than the
    // message; a command tag without a row.
    let responses: [&'static [u8]; 5] = [
        b"\x9f\x03\x77",
        b"T\0\0\0\x02",
        b"D\xc0\0\0\0\0\x01\xbf\xff\xff\xf0zzzz",
        b"T\0\0\0\x1d\0\x01data\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01D\0\0\0\x0e\0\x01\0\0\0\x09four",
        b"C\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I",
    ];
    for response in responses {
        malformed.set_behavior(NodeBehavior::RawBytes(response));
        primary.set_behavior(NodeBehavior::RawBytes(response));
        let [writes, reads] = [primary, malformed].map(|node| node.queries().len());
        // The node gets fewer reads but is not ejected; failed reads are retried on another node.
        let reached = (0..200).any(|_| {
            assert_eq!(client.rpc("recent", 9000), ok(), "{response:?}");
            malformed.queries().len() > reads
        });
        assert!(reached, "no read was sent to the node that answers {response:?}");
        assert_eq!(client.rpc("enter", 9000), error("08P01"), "aborted, not rejected");
        let is_write = |text: &String| text.contains("INSERT");
        let sent = primary.queries().into_iter().skip(writes).filter(is_write).count();
        assert_eq!(sent, 1, "the write has run, so it is not sent again");
    }
}

/// Guards against failing an RPC because of invalid bytes behind its complete answer. They only close the
/// connection.
#[test]
fn trailing_bytes_close_the_connection_and_keep_the_answer() {
    let (_, replica, router, _discovery) = start_pair();
    let mut client = router.client();
    let second: &'static [u8] = b"T\0\0\0\x1d\0\x01data\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01D\0\0\0\x0e\0\x01\0\0\0\x04four";
    for (behavior, connections) in [
        (NodeBehavior::TrailingBytes(second), 10),
        (NodeBehavior::TrailingBytes(b"\xff"), 20),
        (NodeBehavior::MalformedReport, 21),
    ] {
        replica.set_behavior(behavior);
        assert!((0..10).all(|_| client.rpc("look", 9000) == ok()), "{behavior:?}");
        assert_eq!(count(&replica.connections), connections, "{behavior:?}");
    }
}

#[test]
fn active_request_id_is_rejected_for_another_rpc() {
    let (_, replica, router, _discovery) = start_pair();
    replica.set_behavior(NodeBehavior::Hang);
    let (mut first, mut second) = (router.client(), router.client());
    let text = statement("look", 9000);
    first.send_query(&text);
    replica.await_queries(1);
    second.send_query(&text);
    assert_eq!(second.reply(), error("42710"));
    replica.set_behavior(NodeBehavior::Answer);
    assert_eq!((first.reply(), replica.queries().len()), (ok(), 1), "the first RPC is not affected");
    second.send_query(&text);
    assert_eq!(second.reply(), ok(), "the id can be used again");
}

#[test]
fn long_value_is_forwarded_and_one_beyond_the_limit_is_rejected() {
    let (_, replica, router, _discovery) = start_pair();
    let mut client = router.client();
    replica.set_behavior(NodeBehavior::LargeValue(400_000));
    assert_eq!(client.rpc("look", 9000), Reply::Value(vec![b'v'; 400_000]));
    replica.set_behavior(NodeBehavior::LargeValue(2_000_000));
    assert!(matches!(client.rpc("look", 9000), Reply::Error(..)));
}
