//! Messages, the comment, HTTP responses and endpoint lists, by seeded random runs.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};
use quillpoint_memory_budget::Category::{IncomingMessages, Responses, Statements};
use quillpoint_router::budget::{Reservation, SharedBudget};
use quillpoint_router::config::StartupOptions;
use quillpoint_router::endpoint_list::{EndpointList, EndpointParser};
use quillpoint_router::http::{self, StreamState};
use quillpoint_router::pg::{
    self, BackendMessage, Column, FrontendMessage, QueryResult, Response, ResponseReader, StartupPacket,
};
use quillpoint_router::statement::Statement;

/// The same runs every time.
fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 5_432)).tests(400).quickcheck(property);
}

/// What a decoder makes of the whole, if it takes all of it and nothing of any part.
fn whole<T>(
    bytes: &[u8],
    decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, pg::ProtocolViolation>,
) -> Option<T> {
    let early = (0..bytes.len()).any(|cut| decode(&bytes[..cut]).is_ok_and(|told| told.is_some()));
    decode(bytes).unwrap().filter(|(_, taken)| !early && *taken == bytes.len()).map(|(told, _)| told)
}

fn without_zero(bytes: &[u8]) -> Vec<u8> {
    bytes.iter().copied().filter(|byte| *byte != 0).collect()
}

#[test]
fn a_query_decodes_to_what_was_encoded_cut_at_any_byte() {
    check(
        (|text| {
            let text = without_zero(&text);
            let mut out = Vec::new();
            pg::encode_query(&mut out, &text);
            whole(&out, pg::decode_frontend_message) == Some(FrontendMessage::Query(text))
        }) as fn(Vec<u8>) -> bool,
    );
}

#[test]
fn an_answer_decodes_to_what_was_encoded() {
    check(
        (|name, value, binary| {
            let column = Column { name: without_zero(&name), type_oid: 17, type_size: u16::MAX, binary };
            let answer = QueryResult { column, value, tag: b"SELECT 1".to_vec() };
            let mut out = Vec::new();
            pg::encode_result(&mut out, &answer);
            let mut told = Vec::new();
            while let Some((message, taken)) = pg::decode_backend_message(&out).unwrap() {
                out.drain(..taken);
                told.push(message);
            }
            let QueryResult { column, value, tag } = answer;
            out.is_empty()
                && told
                    == [
                        BackendMessage::RowDescription(column),
                        BackendMessage::DataRow(value),
                        BackendMessage::CommandComplete(tag),
                    ]
        }) as fn(Vec<u8>, Option<Vec<u8>>, bool) -> bool,
    );
}

#[test]
fn an_error_and_an_opening_decode_to_what_was_encoded() {
    check(
        (|message: String, detail: Option<String>, fatal| {
            let clean = |text: String| text.replace('\0', "");
            let (message, detail) = (clean(message), detail.map(clean));
            let mut out = Vec::new();
            pg::encode_error(&mut out, fatal, "53300", &message, detail.as_deref());
            let error = BackendMessage::ErrorResponse { code: "53300".into(), message, detail, fatal };
            let mut startup = Vec::new();
            pg::encode_startup(&mut startup, "portal", "crm");
            whole(&out, pg::decode_backend_message) == Some(error)
                && whole(&startup, pg::decode_startup_packet) == Some(StartupPacket::Startup)
        }) as fn(String, Option<String>, bool) -> bool,
    );
}

/// What is made of a node's bytes, as a router reads them: the first thing said, or why nothing can be.
fn read(mut bytes: &[u8]) -> Result<Option<Response>, pg::ProtocolViolation> {
    let mut reading = ResponseReader::default();
    while let Some((told, taken)) = pg::decode_backend_message(bytes)? {
        bytes = &bytes[taken..];
        if matches!(told, BackendMessage::ParameterStatus { .. } | BackendMessage::Ignored) {
            continue;
        }
        if let Some(said) = reading.push(told)? {
            return Ok(Some(said));
        }
    }
    Ok(None)
}

#[test]
fn a_malformed_response_is_never_taken_for_one_with_other_lengths() {
    check(
        (|value: Vec<u8>, places: Vec<(usize, u8)>, cut: usize, extra: Vec<u8>| {
            let column = Column { name: b"data".to_vec(), type_oid: 17, type_size: u16::MAX, binary: true };
            let whole = QueryResult { column, value: Some(value), tag: b"SELECT 1".to_vec() };
            let mut out = Vec::new();
            pg::encode_result(&mut out, &whole);
            assert_eq!(read(&out), Ok(Some(Response::Result(whole.clone()))));
            // Whatever follows is no part of it.
            let followed = [&out[..], &extra].concat();
            assert_eq!(read(&followed), Ok(Some(Response::Result(whole.clone()))));
            assert_eq!(read(&out[..cut % out.len()]), Ok(None));
            let cut = cut % (out.len() + 1);
            let longer = [&out[..cut], &extra, &out[cut..]].concat();
            for (place, byte) in places {
                let place = place % out.len();
                out[place] = byte;
            }
            // What is still taken for an answer has a value of as many bytes as its row says.
            let taken = |bytes: &[u8]| match read(bytes) {
                Ok(Some(Response::Result(answer))) => {
                    let mut again = Vec::new();
                    pg::encode_result(&mut again, &answer);
                    again.len() <= bytes.len() && again.len() >= answer.value.map_or(0, |value| value.len())
                }
                _ => true,
            };
            taken(&out) && taken(&longer)
        }) as fn(Vec<u8>, Vec<(usize, u8)>, usize, Vec<u8>) -> bool,
    );
}

#[test]
fn what_is_no_answer_is_told_by_its_first_bytes() {
    use pg::ProtocolViolation::{
        InvalidFields, InvalidLength, MessageTooLong, UnexpectedOrder, UnexpectedType,
    };
    let row = |length: u32, count: u16, value: u32| {
        [b"T\0\0\0\x1d\0\x01data\0", &[0; 18][..], b"D", &length.to_be_bytes(), &count.to_be_bytes()]
            .concat()
            .into_iter()
            .chain(value.to_be_bytes())
            .collect::<Vec<u8>>()
    };
    assert_eq!(read(&row(15, 1, 5)), Ok(None));
    for (bytes, fault) in [
        (row(15, 1, 6), InvalidFields('D')),
        (row(15, 2, 5), InvalidFields('D')),
        (row(15, 1, u32::MAX), InvalidFields('D')),
        (row(3 << 30, 1, 5), MessageTooLong(3 << 30)),
        (b"\x07".to_vec(), UnexpectedType('\x07')),
        (b"C\0\0\0\x02".to_vec(), InvalidLength(2)),
        (b"Z\0\0\0\x06".to_vec(), MessageTooLong(6)),
        (b"Z\0\0\0\x05?".to_vec(), InvalidFields('Z')),
        (b"E\0\0\0\x05\0".to_vec(), InvalidFields('E')),
        (b"C\0\0\0\x0dSELECT 1\0".to_vec(), UnexpectedOrder),
        ([row(14, 1, 4), b"four".to_vec(), row(14, 1, 4), b"four".to_vec()].concat(), UnexpectedOrder),
        ([row(14, 1, 4), b"fourC\0\0\0\x0dSELECT 2\0".to_vec()].concat(), UnexpectedOrder),
    ] {
        assert_eq!(read(&bytes), Err(fault), "{bytes:?}");
    }
    // A parameter that cannot be read is passed over, and the answer stands.
    let parameter = b"S\0\0\0\x0aload\0\xff".to_vec();
    let whole = [row(14, 1, 4), b"four".to_vec(), parameter, b"C\0\0\0\x0dSELECT 1\0".to_vec()].concat();
    assert!(matches!(read(&whole), Ok(Some(Response::Result(_)))));
}

/// Bytes near enough to a message that decoders get past its head.
#[derive(Clone, Debug)]
struct Mangled(Vec<u8>);

impl Arbitrary for Mangled {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = b"QPSXRTDCIEZNKz";
        let body = Vec::<u8>::arbitrary(g);
        let off = *g.choose(&[0, 0, 0, 1, 4, 1000]).unwrap();
        let length = (body.len() as u32 + 4).wrapping_sub(off);
        let kind = *g.choose(kinds).unwrap();
        Self([&[kind][..], &length.to_be_bytes(), &body].concat())
    }
}

#[test]
fn no_bytes_make_a_decoder_panic() {
    check(
        (|Mangled(bytes): Mangled, plain: Vec<u8>| {
            for bytes in [&bytes[..], &bytes[1..], &plain] {
                // Whatever is taken was there to be taken.
                let fits = |taken: Option<usize>| taken.is_none_or(|taken| taken <= bytes.len());
                assert!(fits(pg::decode_frontend_message(bytes).ok().flatten().map(|(_, taken)| taken)));
                assert!(fits(pg::decode_backend_message(bytes).ok().flatten().map(|(_, taken)| taken)));
                assert!(fits(pg::decode_startup_packet(bytes).ok().flatten().map(|(_, taken)| taken)));
                let text = [b"/* id=1,", bytes, b"*/ SELECT"].concat();
                _ = (Statement::parse(bytes.to_vec()), Statement::parse(text));
                let answer = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", bytes].concat();
                _ = (
                    http::parse_body(bytes, StreamState::Ended),
                    http::parse_body(&answer, StreamState::Ended),
                );
            }
        }) as fn(Mangled, Vec<u8>),
    );
}

#[test]
fn a_statement_keeps_every_byte_but_those_of_its_wait() {
    check(
        (|other: String, tail: Vec<u8>, wait: u32, group: u32, to: u16, first: bool| {
            if other.contains([',', '=', '*', '/']) {
                return TestResult::discard();
            }
            // What follows is no second statement, and opens no quote.
            let plain = |byte: &u8| !b"';\"/-".contains(byte);
            let tail: Vec<u8> = tail.into_iter().filter(plain).collect();
            let wait = wait.max(1);
            let (start, end) = if first {
                (String::new(), format!(",x={other}"))
            } else {
                (format!("x={other},"), String::new())
            };
            let text = |wait: u64| {
                let words = format!("/* {start}id=9b1f, c=basket, d={wait} ,cluster={group}{end} */ SELECT ");
                [words.as_bytes(), &tail].concat()
            };
            let statement = Statement::parse(text(wait.into())).unwrap();
            let read = (statement.method.as_str(), statement.remaining, statement.replica_set.0);
            let right = read == ("basket", Duration::from_millis(wait.into()), group.into());
            let to = u64::from(to.max(1));
            TestResult::from_bool(right && statement.with_remaining(Duration::from_millis(to)) == text(to))
        }) as fn(String, Vec<u8>, u32, u32, u16, bool) -> TestResult,
    );
}

#[test]
fn no_more_is_held_than_the_budget_has_and_all_is_given_back() {
    check(
        (|limit: u16, sizes: Vec<(bool, u16)>| {
            // An eighth is for messages that come in.
            let budget = SharedBudget::new(u64::from(limit) * 8);
            let (mut owners, mut sum): (Vec<(Reservation, usize)>, usize) = (Vec::new(), 0);
            for (again, size) in sizes.into_iter().map(|(again, size)| (again, usize::from(size / 4))) {
                match owners.last_mut().filter(|_| again) {
                    Some((held, was)) => {
                        let fits = size <= *was || sum - *was + size <= limit.into();
                        assert_eq!(held.resize(size).is_ok(), fits);
                        if fits {
                            (sum, *was) = (sum - *was + size, size);
                        }
                    }
                    None => match budget.reserve(IncomingMessages, size) {
                        Ok(held) => {
                            sum += size;
                            owners.push((held, size));
                        }
                        Err(_) => assert!(sum + size > limit.into()),
                    },
                }
            }
            owners.clear();
            budget.reserve(IncomingMessages, limit.into()).is_ok()
                && budget.reserve(IncomingMessages, usize::from(limit) + 1).is_err()
        }) as fn(u16, Vec<(bool, u16)>) -> bool,
    );
}

#[test]
fn statements_and_answers_share_a_quarter_and_neither_shuts_the_other_out() {
    let budget = SharedBudget::new(1 << 20);
    let most = budget.reserve(Responses, (1 << 18) - (1 << 14)).unwrap();
    assert!(budget.reserve(Responses, 1).is_err(), "the rest is statements' own");
    assert!(budget.reserve(Statements, 1 << 14).is_ok());
    drop(most);
    assert!(budget.reserve(Statements, (1 << 18) - (1 << 14)).is_ok(), "and the other way round");
    assert_eq!(budget.read(|budget| budget.total_used()), 0, "all was given back");
}

#[test]
fn two_keys_are_one_session_only_if_they_are_the_same() {
    let session = |text: &str| {
        Statement::parse(format!("/* id=1,c=a,d=1,cluster=0,after=1767225600123,r=1 */ {text}").into())
            .unwrap()
    };
    let read = session("SELECT data FROM facts WHERE code = 'ab'");
    let write = session("INSERT INTO facts (code, data) VALUES ('ab', '\\x00') RETURNING data");
    let other = session("SELECT data FROM facts WHERE code = 'abc'");
    assert!(read.session == write.session && read.session != other.session && read.session.is_some());
    assert_eq!((read.last_write, read.retried), (Some(Duration::from_millis(1_767_225_600_123)), true));
}

#[test]
fn a_response_is_parsed_cut_at_any_byte_and_chunked_anyhow() {
    check(
        (|sizes: Vec<u8>| {
            let body = br#"{"rev":7,"all":true,"targets":[]}"#;
            let (mut rest, mut chunks) = (&body[..], Vec::new());
            for size in sizes.into_iter().map(|size| usize::from(size % 7) + 1).chain([body.len()]) {
                let (piece, after) = rest.split_at(size.min(rest.len()));
                if !piece.is_empty() {
                    chunks.extend([format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat());
                }
                rest = after;
            }
            let chunked =
                [b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n", &chunks[..], b"0\r\n\r\n"]
                    .concat();
            let sized =
                [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), body]
                    .concat();
            [chunked, sized].iter().all(|bytes| {
                let open = StreamState::Open;
                let cut =
                    (0..bytes.len()).all(|cut| http::parse_body(&bytes[..cut], open).unwrap().is_none());
                cut && http::parse_body(bytes, open).unwrap()
                    == Some(http::Body { bytes: body.to_vec(), keeps_connection: true })
            })
        }) as fn(Vec<u8>) -> bool,
    );
    assert!(http::parse_body(b"HTTP/1.1 503 Busy\r\n\r\n", StreamState::Open).is_err());
}

const SETTINGS: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"5",
"limits":{"sockets":64},"settings":{"Allowed":{"ConnIdleMs":30000.0,"ConnectTimeoutMs":250.0},
"Classes":[{"Name":"a","GiveUpMs":600.0,"GoalTimeMs":150.0}],"FailureDomains":["x","y"],"Skus":["m","n"]}}"#;

#[test]
fn a_machine_that_moves_is_its_old_node_gone_and_a_new_one_come() {
    use quillpoint::host::EndpointStatus::{Draining, InService, Removed};
    let tree = serde_json::from_str(SETTINGS).unwrap();
    let mut parser = EndpointParser::new(&StartupOptions::from_json(&tree, |_| None).unwrap().deployment);
    let mut endpoints = |all: bool, entries: &[(&str, u16, &str)]| {
        let entry = |(uid, port, state): &(&str, u16, &str)| {
            serde_json::json!({"uid": uid, "endpoint": format!("127.0.0.1:{port}"), "az": "y", "model": "n",
                "pod_group": 3, "state": state, "boot_ms": 1500, "role": "replica"})
        };
        let targets: Vec<_> = entries.iter().map(entry).collect();
        let list =
            EndpointList::from_json(&serde_json::json!({"rev": 1, "all": all, "targets": targets})).unwrap();
        let endpoints = parser.apply(&list);
        endpoints
            .iter()
            .map(|endpoint| (endpoint.node.0.port(), endpoint.status, endpoint.zone.0, endpoint.machine_type))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        endpoints(true, &[("a", 1, "in_service"), ("b", 2, "terminating")]),
        [(1, InService, 1, 1), (2, Draining, 1, 1)]
    );
    assert_eq!(endpoints(false, &[("a", 3, "in_service")]), [(1, Removed, 1, 1), (3, InService, 1, 1)]);
    assert_eq!(
        endpoints(true, &[("a", 3, "terminated"), ("b", 4, "in_service")]),
        [(3, Removed, 1, 1), (2, Removed, 1, 1), (4, InService, 1, 1)]
    );
}
