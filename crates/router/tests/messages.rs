//! Property tests with a fixed seed, for PostgreSQL messages, statement comments, memory budgets, HTTP
//! responses and endpoint lists.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};
use quillpoint_memory_budget::Category::{IncomingMessages, Responses, Statements};
use quillpoint_router::budget::{Reservation, SharedBudget};
use quillpoint_router::config::StartupOptions;
use quillpoint_router::endpoint_list::{EndpointList, EndpointParser};
use quillpoint_router::http::{Body, InvalidResponse, ResponseDecoder, StreamState};
use quillpoint_router::pg::{
    self, BackendMessage, Column, FrontendMessage, QueryResult, Response, ResponseReader, StartupPacket,
};
use quillpoint_router::statement::Statement;

/// Checks a property with 400 inputs. The seed is fixed, so the inputs are the same in every run.
fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 5_432)).tests(400).quickcheck(property);
}

/// Decodes a message. Returns `None` unless the decoder consumes all of `bytes` and returns nothing for any
/// prefix.
fn decode_exactly<T>(
    bytes: &[u8],
    decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, pg::ProtocolViolation>,
) -> Option<T> {
    let early = (0..bytes.len()).any(|cut| decode(&bytes[..cut]).is_ok_and(|decoded| decoded.is_some()));
    decode(bytes).unwrap().filter(|(_, taken)| !early && *taken == bytes.len()).map(|(decoded, _)| decoded)
}

/// Decodes a response that has arrived in one piece. Returns its body, or `None` if it is not complete.
fn decode_response(bytes: &[u8], stream: StreamState) -> Result<Option<Body>, InvalidResponse> {
    let mut decoder = ResponseDecoder::default();
    decoder.push(bytes)?;
    Ok(decoder.take_body(stream))
}

/// The same for a response that has arrived byte by byte.
fn decode_response_bytewise(bytes: &[u8], stream: StreamState) -> Result<Option<Body>, InvalidResponse> {
    let mut decoder = ResponseDecoder::default();
    bytes.iter().try_for_each(|byte| decoder.push(&[*byte]))?;
    Ok(decoder.take_body(stream))
}

fn without_zero(bytes: &[u8]) -> Vec<u8> {
    bytes.iter().copied().filter(|byte| *byte != 0).collect()
}

#[test]
fn encoded_query_decodes_to_itself_and_no_prefix_decodes() {
    check(
        (|text| {
            let text = without_zero(&text);
            let mut out = Vec::new();
            pg::encode_query(&mut out, &text);
            decode_exactly(&out, pg::decode_frontend_message) == Some(FrontendMessage::Query(text))
        }) as fn(Vec<u8>) -> bool,
    );
}

#[test]
fn encoded_result_decodes_to_its_messages() {
    check(
        (|name, value, binary| {
            let column = Column { name: without_zero(&name), type_oid: 17, type_size: u16::MAX, binary };
            let answer = QueryResult { column, value, tag: b"SELECT 1".to_vec() };
            let mut out = Vec::new();
            pg::encode_result(&mut out, &answer);
            let mut messages = Vec::new();
            while let Some((message, taken)) = pg::decode_backend_message(&out).unwrap() {
                out.drain(..taken);
                messages.push(message);
            }
            let QueryResult { column, value, tag } = answer;
            out.is_empty()
                && messages
                    == [
                        BackendMessage::RowDescription(column),
                        BackendMessage::DataRow(value),
                        BackendMessage::CommandComplete(tag),
                    ]
        }) as fn(Vec<u8>, Option<Vec<u8>>, bool) -> bool,
    );
}

#[test]
fn encoded_error_and_startup_packet_decode_to_themselves() {
    check(
        (|message: String, detail: Option<String>, fatal| {
            let clean = |text: String| text.replace('\0', "");
            let (message, detail) = (clean(message), detail.map(clean));
            let mut out = Vec::new();
            pg::encode_error(&mut out, fatal, "53300", &message, detail.as_deref());
            let error = BackendMessage::ErrorResponse { code: "53300".into(), message, detail, fatal };
            let mut startup = Vec::new();
            pg::encode_startup(&mut startup, "portal", "crm");
            decode_exactly(&out, pg::decode_backend_message) == Some(error)
                && decode_exactly(&startup, pg::decode_startup_packet) == Some(StartupPacket::Startup)
        }) as fn(String, Option<String>, bool) -> bool,
    );
}

/// Reads a node's bytes as a router does. Returns the first response if it is complete, or the protocol
/// violation.
fn read_response(mut bytes: &[u8]) -> Result<Option<Response>, pg::ProtocolViolation> {
    let mut reader = ResponseReader::default();
    while let Some((message, taken)) = pg::decode_backend_message(bytes)? {
        bytes = &bytes[taken..];
        if matches!(message, BackendMessage::ParameterStatus { .. } | BackendMessage::Ignored) {
            continue;
        }
        if let Some(response) = reader.push(message)? {
            return Ok(Some(response));
        }
    }
    Ok(None)
}

/// Guards against reading a truncated or corrupted response as a complete answer with a value of another
/// length.
#[test]
fn corrupted_response_is_not_read_as_an_answer_of_another_length() {
    check(
        (|value: Vec<u8>, places: Vec<(usize, u8)>, cut: usize, extra: Vec<u8>| {
            let column = Column { name: b"data".to_vec(), type_oid: 17, type_size: u16::MAX, binary: true };
            let whole = QueryResult { column, value: Some(value), tag: b"SELECT 1".to_vec() };
            let mut out = Vec::new();
            pg::encode_result(&mut out, &whole);
            assert_eq!(read_response(&out), Ok(Some(Response::Result(whole.clone()))));
            // Bytes after the response are not a part of it.
            let followed = [&out[..], &extra].concat();
            assert_eq!(read_response(&followed), Ok(Some(Response::Result(whole.clone()))));
            assert_eq!(read_response(&out[..cut % out.len()]), Ok(None));
            let cut = cut % (out.len() + 1);
            let longer = [&out[..cut], &extra, &out[cut..]].concat();
            for (place, byte) in places {
                let place = place % out.len();
                out[place] = byte;
            }
            // If the bytes still contain an answer, its value is as long as its row states.
            let is_consistent = |bytes: &[u8]| match read_response(bytes) {
                Ok(Some(Response::Result(answer))) => {
                    let mut reencoded = Vec::new();
                    pg::encode_result(&mut reencoded, &answer);
                    reencoded.len() <= bytes.len()
                        && reencoded.len() >= answer.value.map_or(0, |value| value.len())
                }
                _ => true,
            };
            is_consistent(&out) && is_consistent(&longer)
        }) as fn(Vec<u8>, Vec<(usize, u8)>, usize, Vec<u8>) -> bool,
    );
}

/// Guards against a router that waits for more bytes of a response whose first bytes already show that it is
/// malformed.
#[test]
fn malformed_response_is_detected_from_its_first_bytes() {
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
    assert_eq!(read_response(&row(15, 1, 5)), Ok(None));
    for (bytes, violation) in [
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
        assert_eq!(read_response(&bytes), Err(violation), "{bytes:?}");
    }
    // A malformed parameter is ignored, and the answer is kept.
    let parameter = b"S\0\0\0\x0aload\0\xff".to_vec();
    let whole = [row(14, 1, 4), b"four".to_vec(), parameter, b"C\0\0\0\x0dSELECT 1\0".to_vec()].concat();
    assert!(matches!(read_response(&whole), Ok(Some(Response::Result(_)))));
}

/// Random bytes that are similar enough to a message for decoders to read beyond its type and length.
#[derive(Clone, Debug)]
struct CorruptedMessage(Vec<u8>);

impl Arbitrary for CorruptedMessage {
    fn arbitrary(g: &mut Gen) -> Self {
        let message_types = b"QPSXRTDCIEZNKz";
        let body = Vec::<u8>::arbitrary(g);
        let length_error = *g.choose(&[0, 0, 0, 1, 4, 1000]).unwrap();
        let length = (body.len() as u32 + 4).wrapping_sub(length_error);
        let message_type = *g.choose(message_types).unwrap();
        Self([&[message_type][..], &length.to_be_bytes(), &body].concat())
    }
}

#[test]
fn decoders_do_not_panic_on_corrupted_bytes() {
    check(
        (|CorruptedMessage(bytes): CorruptedMessage, random: Vec<u8>| {
            for bytes in [&bytes[..], &bytes[1..], &random] {
                // A decoder must not consume more bytes than there are.
                let fits = |taken: Option<usize>| taken.is_none_or(|taken| taken <= bytes.len());
                assert!(fits(pg::decode_frontend_message(bytes).ok().flatten().map(|(_, taken)| taken)));
                assert!(fits(pg::decode_backend_message(bytes).ok().flatten().map(|(_, taken)| taken)));
                assert!(fits(pg::decode_startup_packet(bytes).ok().flatten().map(|(_, taken)| taken)));
                let text = [b"/* id=1,", bytes, b"*/ SELECT"].concat();
                _ = (Statement::parse(bytes.to_vec()), Statement::parse(text));
                let response = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", bytes].concat();
                for response in [bytes, &response] {
                    let whole = decode_response(response, StreamState::Ended);
                    let bytewise = decode_response_bytewise(response, StreamState::Ended);
                    assert_eq!(whole.ok(), bytewise.ok());
                }
            }
        }) as fn(CorruptedMessage, Vec<u8>),
    );
}

/// Guards against changing anything but the remaining time of a statement when it is forwarded.
#[test]
fn forwarded_statement_differs_only_in_its_remaining_time() {
    check(
        (|other: String, tail: Vec<u8>, wait: u32, group: u32, to: u16, first: bool| {
            if other.contains([',', '=', '*', '/']) {
                return TestResult::discard();
            }
            // Without bytes that would start a second statement, a quote or a comment.
            let plain = |byte: &u8| !b"';\"/-".contains(byte);
            let tail: Vec<u8> = tail.into_iter().filter(plain).collect();
            let wait = wait.max(1);
            let (start, end) = if first {
                (String::new(), format!(",x={other}"))
            } else {
                (format!("x={other},"), String::new())
            };
            let text = |wait: u64| {
                let head = format!("/* {start}id=9b1f, c=basket, d={wait} ,cluster={group}{end} */ SELECT ");
                [head.as_bytes(), &tail].concat()
            };
            let statement = Statement::parse(text(wait.into())).unwrap();
            let read = (statement.method.as_str(), statement.remaining, statement.replica_set.0);
            let is_parsed = read == ("basket", Duration::from_millis(wait.into()), group.into());
            let to = u64::from(to.max(1));
            TestResult::from_bool(
                is_parsed && statement.with_remaining(Duration::from_millis(to)) == text(to),
            )
        }) as fn(String, Vec<u8>, u32, u32, u16, bool) -> TestResult,
    );
}

#[test]
fn reservations_never_exceed_the_budget_and_are_released_on_drop() {
    check(
        (|limit: u16, sizes: Vec<(bool, u16)>| {
            // An eighth of the memory is for incoming messages.
            let budget = SharedBudget::new(u64::from(limit) * 8);
            let (mut reservations, mut sum): (Vec<(Reservation, usize)>, usize) = (Vec::new(), 0);
            for (resize, size) in sizes.into_iter().map(|(resize, size)| (resize, usize::from(size / 4))) {
                match reservations.last_mut().filter(|_| resize) {
                    Some((reservation, old)) => {
                        let fits = size <= *old || sum - *old + size <= limit.into();
                        assert_eq!(reservation.resize(size).is_ok(), fits);
                        if fits {
                            (sum, *old) = (sum - *old + size, size);
                        }
                    }
                    None => match budget.reserve(IncomingMessages, size) {
                        Ok(reservation) => {
                            sum += size;
                            reservations.push((reservation, size));
                        }
                        Err(_) => assert!(sum + size > limit.into()),
                    },
                }
            }
            reservations.clear();
            budget.reserve(IncomingMessages, limit.into()).is_ok()
                && budget.reserve(IncomingMessages, usize::from(limit) + 1).is_err()
        }) as fn(u16, Vec<(bool, u16)>) -> bool,
    );
}

/// Guards against responses that use up the memory of statements, or the other way round.
#[test]
fn statements_and_responses_share_a_quarter_with_a_guarantee_for_each() {
    let budget = SharedBudget::new(1 << 20);
    let responses = budget.reserve(Responses, (1 << 18) - (1 << 14)).unwrap();
    assert!(budget.reserve(Responses, 1).is_err(), "the rest is guaranteed to statements");
    assert!(budget.reserve(Statements, 1 << 14).is_ok());
    drop(responses);
    assert!(
        budget.reserve(Statements, (1 << 18) - (1 << 14)).is_ok(),
        "statements may use all but the guarantee of responses"
    );
    assert_eq!(budget.read(|budget| budget.total_used()), 0, "all reservations were released");
}

#[test]
fn statements_share_a_session_only_if_their_keys_are_equal() {
    let session = |text: &str| {
        Statement::parse(format!("/* id=1,c=a,d=1,cluster=0,after=1767225600123,r=1 */ {text}").into())
            .unwrap()
    };
    let read = session("SELECT data FROM facts WHERE code = 'ab'");
    let write = session("INSERT INTO facts (code, data) VALUES ('ab', '\\x00') RETURNING data");
    let other = session("SELECT data FROM facts WHERE code = 'abc'");
    assert!(read.session == write.session && read.session != other.session && read.session.is_some());
    assert_eq!((read.last_write, read.is_retry), (Some(Duration::from_millis(1_767_225_600_123)), true));
}

#[test]
fn http_body_is_parsed_only_when_complete_with_any_chunk_sizes() {
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
                let no_prefix_parses =
                    (0..bytes.len()).all(|cut| decode_response(&bytes[..cut], open).unwrap().is_none());
                let whole = Some(Body { bytes: body.to_vec(), keeps_connection: true });
                no_prefix_parses
                    && decode_response(bytes, open).unwrap() == whole
                    && decode_response_bytewise(bytes, open).unwrap() == whole
            })
        }) as fn(Vec<u8>) -> bool,
    );
    assert!(decode_response(b"HTTP/1.1 503 Busy\r\n\r\n", StreamState::Open).is_err());
}

const SETTINGS: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"5",
"limits":{"sockets":64},"settings":{"Allowed":{"ConnIdleMs":30000.0,"ConnectTimeoutMs":250.0},
"Classes":[{"Name":"a","GiveUpMs":600.0,"GoalTimeMs":150.0}],"FailureDomains":["x","y"],"Skus":["m","n"]}}"#;

/// Guards against keeping the old node of an entry whose address has changed.
#[test]
fn entry_with_a_new_address_removes_the_old_node() {
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
