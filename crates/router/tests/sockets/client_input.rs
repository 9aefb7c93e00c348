//! What clients send that cannot be used, and how sessions begin.

use quillpoint_router::pg::{self, BackendMessage};

use crate::standin::{Reply, statement};
use crate::{error, ok, pair};

#[test]
fn what_cannot_be_read_is_answered_and_harms_nobody() {
    let (_, _, router, _discovery) = pair();
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
        assert_eq!(client.reply(), Reply::Empty, "the connection lives on");
    }
    // Parse, then Sync: the extended protocol is passed over up to there.
    client.send(b"P\0\0\0\x08\0\0\0\0S\0\0\0\x04");
    assert_eq!(client.reply(), error("0A000"));
    client.send_query("  ; ");
    assert_eq!(client.reply(), Reply::Empty);
    assert_eq!(client.rpc("look", 9000), ok(), "the connection lives on");
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
        assert_eq!(client.next_message(), None, "and that was the end");
    }
}

#[test]
fn a_fault_is_told_to_a_client_that_is_still_sending() {
    use std::io::Write;
    let (_, _, router, _discovery) = pair();
    let mut client = router.client();
    let mut sends = client.stream.try_clone().unwrap();
    sends.write_all(b"Q\x03\x93\x87\0").unwrap();
    // More than the router reads at once, so that a close on unread bytes would reset the connection.
    assert!((0..16).all(|_| sends.write_all(&[b'x'; 4096]).is_ok()));
    assert_eq!(client.reply(), error("54000"));
    assert_eq!(client.next_message(), None);
}

#[test]
fn a_flood_of_faults_ends_its_session_and_keeps_nobody_waiting() {
    let (_, _, router, _discovery) = pair();
    let (mut floods, mut usual) = (router.client(), router.client());
    let faults: Vec<u8> = (0..500).flat_map(|_| pg::query_message(b"SELECT 1")).collect();
    floods.send(&faults);
    assert_eq!(usual.rpc("look", 9000), ok());
    let codes: Vec<Reply> = (0..8).map(|_| floods.reply()).collect();
    assert!(codes.iter().all(|reply| *reply == error("42601")), "{codes:?}");
    assert_eq!(floods.reply(), error("08P01"), "the last word");
    assert_eq!(floods.next_message(), None);
}

#[test]
fn a_session_opens_as_clients_open_it() {
    use std::io::{Read, Write};
    let (_, _, router, _discovery) = pair();
    let mut raw = std::net::TcpStream::connect(router.address).unwrap();
    let mut byte = [0];
    for wish in [80_877_103u32, 80_877_104] {
        raw.write_all(&[&8u32.to_be_bytes()[..], &wish.to_be_bytes()].concat()).unwrap();
        raw.read_exact(&mut byte).unwrap();
        assert_eq!(byte, *b"N");
    }
    // The startup and the first query in one piece.
    let mut out = Vec::new();
    pg::encode_startup(&mut out, "portal", "crm");
    pg::encode_query(&mut out, b"");
    raw.write_all(&out).unwrap();
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    while messages.iter().filter(|told| **told == BackendMessage::ReadyForQuery).count() < 2 {
        raw.read_exact(&mut byte).unwrap();
        bytes.extend(byte);
        if let Some((told, taken)) = pg::decode_backend_message(&bytes).unwrap() {
            bytes.drain(..taken);
            messages.push(told);
        }
    }
    assert!(
        messages.contains(&BackendMessage::EmptyQueryResponse)
            && messages.contains(&BackendMessage::Authentication(0))
    );
    let mut cancels = std::net::TcpStream::connect(router.address).unwrap();
    cancels.write_all(b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0").unwrap();
    assert_eq!(cancels.read(&mut byte).unwrap(), 0, "closed without a word");
}
