//! What a client reads of a node's response, and how often a statement is sent.

use crate::standin::{ConnectBehavior, Node, NodeBehavior, Reply, RouterProcess, count, statement};
use crate::{error, ok, pair};

#[test]
fn a_value_and_a_statement_pass_unchanged_but_for_the_wait() {
    let (primary, replica, router, _) = pair();
    let mut client = router.client();
    for (node, class) in [(replica, "look"), (primary, "enter")] {
        let sent = statement(class, 9000);
        client.send_query(&sent);
        assert_eq!(client.reply(), ok());
        let queries = node.queries();
        let (before, after) = sent.split_once("9000").unwrap();
        let wait = queries[0].strip_prefix(before).and_then(|rest| rest.strip_suffix(after)).unwrap();
        assert!(wait.parse::<u64>().unwrap() <= 9000, "{wait}");
        assert_eq!(queries.len(), 1);
    }
}

#[test]
fn a_misrouted_write_is_forwarded_to_the_primary() {
    let (listed, actual) = (Node::start(false), Node::start(true));
    let (router, _discovery) = RouterProcess::start_with_nodes(&[(&listed, "primary"), (&actual, "replica")]);
    assert_eq!(router.client().rpc("enter", 9000), ok());
    assert_eq!((listed.queries().len(), actual.queries().len()), (1, 1));
}

#[test]
fn a_write_is_sent_again_only_if_its_last_byte_was_not_written() {
    let (primary, replica, router, _discovery) = pair();
    let mut client = router.client();
    primary.set_connect_behavior(ConnectBehavior::Close);
    client.send_query(&statement("enter", 9000));
    while count(&primary.connections) == 0 {
        std::thread::yield_now();
    }
    primary.set_connect_behavior(ConnectBehavior::Accept);
    assert_eq!((client.reply(), primary.queries().len()), (ok(), 1));
    // While the primary was out of reach, the replica may have been tried too: it rejects a misrouted write, which runs nothing.
    let misrouted = replica.queries().len();
    primary.set_behavior(NodeBehavior::Disconnect);
    assert_eq!(client.rpc("enter", 9000), error("08006"));
    assert_eq!((primary.queries().len(), replica.queries().len()), (2, misrouted));
}

#[test]
fn a_node_that_never_answers_keeps_no_client_waiting() {
    let (primary, replica, router, _discovery) = pair();
    let mut client = router.client();
    primary.set_behavior(NodeBehavior::Hang);
    assert_eq!(client.rpc("enter", 300), error("57014"), "it may have run");
    replica.set_behavior(NodeBehavior::Hang);
    assert!(
        matches!(client.rpc("look", 300), Reply::Error(code, _) if code == "53300"),
        "a repeat is harmless"
    );
    assert_eq!((primary.queries().len(), replica.queries().len()), (1, 1));
}

#[test]
fn a_node_whose_health_check_says_that_it_is_down_is_sent_nothing() {
    let (_, replica, router, _discovery) = pair();
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    replica.set_behavior(NodeBehavior::Down);
    let before = replica.queries().len();
    for _ in 0..8 {
        client.rpc("look", 300);
    }
    assert_eq!(replica.queries().len(), before + 1, "the first finds out, and the health check confirms it");
}

#[test]
fn a_node_that_rejects_an_rpc_does_not_word_the_response() {
    let (primary, _, router, _discovery) = pair();
    primary.set_behavior(NodeBehavior::Error("53300"));
    let Reply::Error(code, _) = router.client().rpc("enter", 300) else { panic!("there is no value") };
    assert_eq!(code, "53300", "nothing ran, so it is rejected");
    primary.set_behavior(NodeBehavior::Error("XX000"));
    assert_eq!(router.client().rpc("enter", 9000), error("58000"), "it may have run");
}

#[test]
fn a_rejection_carries_retry_after() {
    let (_, _, router, _discovery) = pair();
    let mut client = router.client();
    client.send_query(&statement("look", 9000).replace("cluster=0", "cluster=9"));
    assert_eq!(client.reply(), Reply::Error("53300".into(), Some("50".into())));
}

#[test]
fn a_truncated_value_is_never_forwarded() {
    let (_, replica, router, _discovery) = pair();
    replica.set_behavior(NodeBehavior::Truncate);
    assert!(matches!(router.client().rpc("look", 300), Reply::Error(..)));
}

#[test]
fn a_malformed_response_is_a_failed_attempt_that_has_run() {
    let nodes = [true, false, false].map(Node::start);
    let [primary, malformed, other] = &nodes;
    let (router, _discovery) =
        RouterProcess::start_with_nodes(&[(primary, "primary"), (malformed, "replica"), (other, "replica")]);
    let mut client = router.client();
    // Noise, a type and a length that cannot be, a row of 3 GB that never ends, a row whose field is longer.
    let kinds: [&'static [u8]; 5] = [
        b"\x9f\x03\x77",
        b"T\0\0\0\x02",
        b"D\xc0\0\0\0\0\x01\xbf\xff\xff\xf0zzzz",
        b"T\0\0\0\x1d\0\x01data\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01D\0\0\0\x0e\0\x01\0\0\0\x09four",
        b"C\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I",
    ];
    for kind in kinds {
        malformed.set_behavior(NodeBehavior::RawBytes(kind));
        primary.set_behavior(NodeBehavior::RawBytes(kind));
        let [writes, reads] = [primary, malformed].map(|node| node.queries().len());
        // Its quota of reads falls, but it is not ejected, and another node is asked in its place.
        let reached = (0..200).any(|_| {
            assert_eq!(client.rpc("recent", 9000), ok(), "{kind:?}");
            malformed.queries().len() > reads
        });
        assert!(reached, "{kind:?}");
        assert_eq!(client.rpc("enter", 9000), error("08P01"), "aborted, not rejected");
        let entered = |text: &String| text.contains("INSERT");
        let sent = primary.queries().into_iter().skip(writes).filter(entered).count();
        assert_eq!(sent, 1, "it has run, so it is not sent again");
    }
}

#[test]
fn what_comes_behind_an_answer_costs_the_connection_alone() {
    let (_, replica, router, _discovery) = pair();
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
fn an_active_request_id_is_rejected_for_another_rpc() {
    let (_, replica, router, _discovery) = pair();
    replica.set_behavior(NodeBehavior::Hang);
    let (mut first, mut second) = (router.client(), router.client());
    let text = statement("look", 9000);
    first.send_query(&text);
    replica.await_queries(1);
    second.send_query(&text);
    assert_eq!(second.reply(), error("42710"));
    replica.set_behavior(NodeBehavior::Answer);
    assert_eq!((first.reply(), replica.queries().len()), (ok(), 1), "the first did not notice");
    second.send_query(&text);
    assert_eq!(second.reply(), ok(), "the id is free again");
}

#[test]
fn a_long_value_passes_and_one_past_all_bounds_does_not() {
    let (_, replica, router, _discovery) = pair();
    let mut client = router.client();
    replica.set_behavior(NodeBehavior::LargeValue(400_000));
    assert_eq!(client.rpc("look", 9000), Reply::Value(vec![b'v'; 400_000]));
    replica.set_behavior(NodeBehavior::LargeValue(2_000_000));
    assert!(matches!(client.rpc("look", 9000), Reply::Error(..)));
}
