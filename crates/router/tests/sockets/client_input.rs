//! Invalid input from clients, and the startup of sessions.

use std::io::Write;
use std::time::{Duration, Instant};

use quillpoint_router::pg::{self, BackendMessage};

use crate::standin::{Client, NodeBehavior, Reply, statement};
use crate::{LOOK, SHORT_DEADLINE_LOOK, error, no_capacity, ok, start_pair, start_pair_with};

/// Guards against invalid statements and messages that are not answered, or that affect other sessions.
#[test]
fn invalid_input_is_answered_with_an_error() {
    let (_, _, router, _discovery) = start_pair();
    let mut client = router.client();
    let good = statement("look", 9000);
    for (text, code) in [
        ("SELECT 1".to_string(), "42601"),
        (good.replace("id=", "ed="), "42601"),
        (good.replace("c=look", "c=loop"), "22023"),
        (good.replace("d=9000", "d=soon"), "22023"),
        (good.replace("cluster=0", "cluster=-1"), "22023"),
        (good.replace("d=9000,", ""), "42601"),
        (good.replace("d=9000", "d=0"), "22023"),
        (good.replace("d=9000", "d=NaN"), "22023"),
        (good.replace("d=9000", "d=9000,d=1"), "22023"),
        (good.replace("c=look", "c=enter"), "22023"),
        (statement("enter", 9000).replace("c=enter", "c=look"), "22023"),
        (good.replace("SELECT", "DROP"), "0A000"),
        (format!("{good}; SELECT 1"), "42601"),
        (format!("{good}'"), "42601"),
    ] {
        client.send_query(&text);
        assert_eq!(client.reply(), error(code), "{text}");
        client.send_query("");
        assert_eq!(client.reply(), Reply::Empty, "the session continues");
    }
    // Parse, then Sync: messages of the extended protocol are discarded up to the Sync.
    client.send(b"P\0\0\0\x08\0\0\0\0S\0\0\0\x04");
    assert_eq!(client.reply(), error("0A000"));
    client.send_query("  ; ");
    assert_eq!(client.reply(), Reply::Empty);
    assert_eq!(client.rpc("look", 9000), ok(), "the session continues");
    for (bytes, code) in [
        (&b"Q\x7f\xff\xff\xff"[..], "54000"),
        (b"Q\0\0\0\x01", "08P01"),
        (b"Q\0\0\0\x06ab", "08P01"),
        (b"z\0\0\0\x04", "08P01"),
        (b"Q\0\0\0\x09ab\0c\0", "08P01"),
        (b"Q\0\0\0\x20half a statem", "57014"),
    ] {
        let mut client = router.client();
        client.send(bytes);
        assert_eq!(client.reply(), error(code), "{bytes:?}");
        assert_eq!(client.next_message(), None, "the session is closed after the error");
    }
}

/// Guards against resetting the connection of a client that is still sending, which could lose the error
/// message.
#[test]
fn client_that_is_still_sending_receives_the_error() {
    let (_, _, router, _discovery) = start_pair();
    let mut client = router.client();
    let mut stream = client.stream.try_clone().unwrap();
    stream.write_all(b"Q\x03\x93\x87\0").unwrap();
    // More than one read returns, so that closing with unread bytes would reset the connection.
    assert!((0..16).all(|_| stream.write_all(&[b'x'; 4096]).is_ok()));
    assert_eq!(client.reply(), error("54000"));
    assert_eq!(client.next_message(), None);
}

/// Guards against a client that floods the router with unusable statements and starves other sessions.
#[test]
fn flood_of_unusable_statements_ends_its_session_only() {
    let (_, _, router, _discovery) = start_pair();
    let (mut flooding, mut normal) = (router.client(), router.client());
    let unusable: Vec<u8> = (0..500).flat_map(|_| pg::query_message(b"SELECT 1")).collect();
    flooding.send(&unusable);
    assert_eq!(normal.rpc("look", 9000), ok());
    let replies: Vec<Reply> = (0..500).map(|_| flooding.reply()).collect();
    let (unusable, behind) = replies.split_at(8);
    assert!(unusable.iter().all(|reply| *reply == error("42601")), "{unusable:?}");
    // They had arrived before the session ended, so they are answered, but they are not looked at.
    assert!(behind.iter().all(|reply| *reply == no_capacity()), "{behind:?}");
    assert_eq!(flooding.reply(), error("08P01"), "the error that ends the session");
    assert_eq!(flooding.next_message(), None);
}

/// Guards against ending a session for its unusable statements without an answer to usable ones behind them.
#[test]
fn statements_behind_too_many_unusable_ones_are_rejected() {
    let (_, replica, router, _discovery) = start_pair();
    let mut client = router.client();
    let unusable = (0..8).map(|_| "SELECT 1".to_string());
    let texts: Vec<String> = unusable.chain((0..4).map(|_| statement("look", 9000))).collect();
    client.send_queries(&texts);
    assert!((0..8).all(|_| client.reply() == error("42601")));
    assert!((0..4).all(|_| client.reply() == no_capacity()), "each has an answer");
    assert_eq!(client.reply(), error("08P01"), "the error that ends the session");
    assert_eq!((client.next_message(), replica.queries().len()), (None, 0));
}

/// Guards against answering only the first 64 KiB of the statements that arrived behind the one that ends the
/// session.
#[test]
fn all_statements_behind_too_many_unusable_ones_are_rejected_however_many() {
    const STATEMENTS: usize = 3000;
    let (_, _, router, _discovery) = start_pair();
    let mut client = router.client();
    let unusable = (0..8).map(|_| "SELECT 1".to_string());
    let texts: Vec<String> = unusable.chain((0..STATEMENTS).map(|_| statement("look", 9000))).collect();
    client.send_queries(&texts);
    assert!((0..8).all(|_| client.reply() == error("42601")));
    assert!((0..STATEMENTS).all(|_| client.reply() == no_capacity()), "each has an answer");
    assert_eq!((client.reply(), client.next_message()), (error("08P01"), None));
}

/// Guards against dropping statements that are in progress when invalid bytes arrive behind them.
#[test]
fn statements_before_invalid_bytes_are_answered() {
    let (_, replica, router, _discovery) = start_pair();
    replica.set_behavior(NodeBehavior::Hang);
    let mut client = router.client();
    let texts = [statement("look", 9000), statement("look", 9000)];
    let mut bytes: Vec<u8> = texts.iter().flat_map(|text| pg::query_message(text.as_bytes())).collect();
    bytes.extend(b"z\0\0\0\x04");
    client.send(&bytes);
    replica.await_queries(2);
    replica.set_behavior(NodeBehavior::Answer);
    assert_eq!((client.reply(), client.reply()), (ok(), ok()));
    assert_eq!((client.reply(), client.next_message()), (error("08P01"), None));
}

/// Guards against a long statement of semicolons that kept the router from all other work for seconds: usual
/// clients were answered only long after their time.
#[test]
fn long_statements_do_not_delay_other_sessions() {
    const MAX_DELAY: Duration = Duration::from_millis(500);
    let (_, _, router, _discovery) = start_pair_with(200, LOOK, SHORT_DEADLINE_LOOK);
    let (mut flooding, mut normal) = (router.client(), router.client());
    assert_eq!(normal.rpc("look", 500), ok());
    let statements = ["SELECT 1", &statement("look", 500)]
        .map(|start| format!("{start}{}", ";".repeat(130_000)))
        .map(|text| pg::query_message(text.as_bytes()));
    let address = router.address;
    let sender = std::thread::spawn(move || {
        for _ in 0..20 {
            // The session ends after some unusable statements.
            for text in &statements {
                if flooding.stream.write_all(text).is_err() {
                    flooding = Client::connect(address);
                }
            }
        }
    });
    while !sender.is_finished() {
        let sent = Instant::now();
        assert_eq!(normal.rpc("look", 500), ok());
        assert!(sent.elapsed() < MAX_DELAY, "answered after {:?}", sent.elapsed());
    }
    sender.join().unwrap();
}

/// Guards against startup sequences of real clients that fail: encryption requests, a first query together
/// with the startup packet, and cancel requests.
#[test]
fn session_startup_follows_the_protocol() {
    use std::io::Read;
    let (_, _, router, _discovery) = start_pair();
    let mut raw = std::net::TcpStream::connect(router.address).unwrap();
    let mut byte = [0];
    for encryption_request in [80_877_103u32, 80_877_104] {
        raw.write_all(&[&8u32.to_be_bytes()[..], &encryption_request.to_be_bytes()].concat()).unwrap();
        raw.read_exact(&mut byte).unwrap();
        assert_eq!(byte, *b"N");
    }
    // The startup packet and the first query in one write.
    let mut out = Vec::new();
    pg::encode_startup(&mut out, "portal", "crm");
    pg::encode_query(&mut out, b"");
    raw.write_all(&out).unwrap();
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    while messages.iter().filter(|message| **message == BackendMessage::ReadyForQuery).count() < 2 {
        raw.read_exact(&mut byte).unwrap();
        bytes.extend(byte);
        if let Some((message, taken)) = pg::decode_backend_message(&bytes).unwrap() {
            bytes.drain(..taken);
            messages.push(message);
        }
    }
    assert!(
        messages.contains(&BackendMessage::EmptyQueryResponse)
            && messages.contains(&BackendMessage::Authentication(0))
    );
    let mut cancelling = std::net::TcpStream::connect(router.address).unwrap();
    cancelling.write_all(b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0").unwrap();
    assert_eq!(cancelling.read(&mut byte).unwrap(), 0, "closed without a response");
}
