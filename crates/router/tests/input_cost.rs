//! The work that one input causes must be linear in its bytes, whoever sends it. These tests measure the
//! processor time of this thread for inputs whose sizes double, so that neither other processes nor waits
//! count.

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::future;
use quillpoint::host::EndpointUpdate;
use quillpoint_router::budget::SharedBudget;
use quillpoint_router::config::StartupOptions;
use quillpoint_router::connection_memory::{ConnectionMemory, Peer};
use quillpoint_router::deployment::Deployment;
use quillpoint_router::endpoint_list::{EndpointList, EndpointParser};
use quillpoint_router::engine::Engine;
use quillpoint_router::http::{ResponseDecoder, StreamState};
use quillpoint_router::pg::{self, Framing};
use quillpoint_router::receive_buffer::ReceiveBuffer;
use quillpoint_router::statement::Statement;
use rustix::time::{ClockId, clock_gettime};

/// How often the size of an input is doubled.
const DOUBLINGS: u32 = 3;
/// The largest growth of the work over all doublings. Linear work grows 8-fold and quadratic work 64-fold; the
/// bound is the geometric mean.
const MAX_GROWTH: f64 = 22.6;
/// Each size is measured this often; the shortest time counts.
const MEASUREMENTS: usize = 7;
/// The longest that one statement may keep the router from other work: a fraction of the shortest deadline
/// that clients state (some 100 ms).
const MAX_STATEMENT_TIME: Duration = Duration::from_millis(10);

/// The processor time that `work` takes in this thread: the shortest of several measurements.
fn processor_time<T>(mut work: impl FnMut() -> T) -> Duration {
    let now = || Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).unwrap();
    let measure = |_| {
        let started = now();
        std::hint::black_box(work());
        now() - started
    };
    (0..MEASUREMENTS).map(measure).min().unwrap()
}

/// Checks that the work on an input grows linearly with its size. `prepare` makes the input of a size.
fn assert_linear<I, T>(
    name: &str,
    smallest: usize,
    prepare: impl Fn(usize) -> I,
    work: impl Fn(&I) -> T,
) -> Duration {
    let sizes = (0..=DOUBLINGS).map(|doubling| smallest << doubling);
    let times: Vec<Duration> = sizes
        .map(|size| {
            let input = prepare(size);
            processor_time(|| work(&input))
        })
        .collect();
    let growth = times[times.len() - 1].as_secs_f64() / times[0].as_secs_f64();
    println!("{name}: from {smallest}, doubled {DOUBLINGS} times: {times:.1?}, growth {growth:.1}");
    assert!(growth < MAX_GROWTH, "{name}: the work grows {growth:.1}-fold: {times:?}");
    times[times.len() - 1]
}

/// Guards against a statement whose end was searched again at each of its semicolons, so that one of 130,000
/// bytes kept the router from all other work for seconds.
#[test]
fn parsing_a_statement_is_linear_in_its_length() {
    const SMALLEST: usize = 16 * 1024;
    let repeated = |before: &'static str, part: &'static str, after: &'static str| {
        move |size: usize| {
            let parts = part.repeat((size - before.len() - after.len()) / part.len());
            format!("{before}{parts}{after}").into_bytes()
        }
    };
    let in_sql = |part, after| {
        let before = "/* id=9b1f03aa,c=look,d=500,cluster=0 */ SELECT 1 ";
        (part, repeated(before, part, after))
    };
    let in_comment = |part, after| (part, repeated("/* id=9b1f03aa,d=500,cluster=0,", part, after));
    let in_head = |part| (part, repeated("", part, ""));
    for (part, prepare) in [
        in_sql(";", ""),
        in_sql(" ;", ""),
        in_sql(";", "x"),
        in_sql("'';", ""),
        in_sql("''", ""),
        in_sql("\"\"", ""),
        in_sql("'", "\""),
        in_sql("/**/", ""),
        in_sql("/*", ""),
        in_sql("/", ""),
        in_sql("--\n", ""),
        in_sql("--", ""),
        in_sql("-", ""),
        in_sql("x", ""),
    ] {
        let time = assert_linear(&format!("SQL of {part:?}"), SMALLEST, prepare, |text| parse(text));
        assert!(time < MAX_STATEMENT_TIME, "SQL of {part:?} takes {time:?}");
    }
    for (part, prepare) in [
        in_comment(",", "*/SELECT 1"),
        in_comment("=", "*/SELECT 1"),
        in_comment("x=1,", "*/SELECT 1"),
        in_comment("*", "*/SELECT 1"),
        in_comment("/", "*/SELECT 1"),
        in_comment("*", ""),
        in_head(" "),
        in_head("\u{1}"),
        in_head("/*"),
    ] {
        let time = assert_linear(&format!("comment of {part:?}"), SMALLEST, prepare, |text| parse(text));
        assert!(time < MAX_STATEMENT_TIME, "comment of {part:?} takes {time:?}");
    }
    for field in ["id", "c", "d", "cluster", "after", "r"] {
        for digit in ["1", "\u{1}"] {
            let prepare = |size| {
                let others = ["id=9b1f03aa", "c=look", "d=500", "cluster=0"];
                let others: Vec<&str> =
                    others.into_iter().filter(|other| !other.starts_with(&format!("{field}="))).collect();
                format!("/* {},{field}={} */ SELECT 1", others.join(","), digit.repeat(size)).into_bytes()
            };
            let time =
                assert_linear(&format!("field {field} of {digit:?}"), SMALLEST, prepare, |text| parse(text));
            assert!(time < MAX_STATEMENT_TIME, "field {field} of {digit:?} takes {time:?}");
        }
    }
}

/// Parses a statement. An error counts with its text, which is sent to the client.
fn parse(text: &[u8]) -> Result<Statement, String> {
    Statement::parse(text.to_vec()).map_err(|error| error.to_string())
}

/// A receive buffer with the sending side of its connection.
struct Receiver {
    buffer: ReceiveBuffer,
    sender: TcpStream,
    receiver: Async<TcpStream>,
}

impl Receiver {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        sender.set_nodelay(true).unwrap();
        let receiver = Async::new(listener.accept().unwrap().0).unwrap();
        let budget = SharedBudget::new(192 << 20);
        let buffer = ReceiveBuffer::new(ConnectionMemory::new(&budget, Peer::Client, 0));
        Self { buffer, sender, receiver }
    }

    /// Sends and receives bytes in pieces, and decodes what each piece completes.
    fn receive(&mut self, bytes: &[u8], piece_bytes: usize) -> usize {
        let mut decoded = 0;
        for piece in bytes.chunks(piece_bytes) {
            self.receive_undecoded(piece);
            decoded += self.decode_all();
        }
        decoded
    }

    fn receive_undecoded(&mut self, piece: &[u8]) {
        self.sender.write_all(piece).unwrap();
        let expected = self.buffer.len() + piece.len();
        while self.buffer.len() < expected {
            future::block_on(self.buffer.receive(&self.receiver)).unwrap();
        }
    }

    fn decode_all(&mut self) -> usize {
        let mut decoded = 0;
        while self.buffer.decode_next(Framing::Typed, pg::decode_frontend_message).unwrap().is_some() {
            decoded += 1;
        }
        decoded
    }
}

/// Guards against work for each short message on all bytes behind it, and for each piece of a long message on
/// all bytes before it.
#[test]
fn decoding_client_messages_is_linear_in_their_bytes() {
    const SMALLEST: usize = 16 * 1024;
    const SYNC: &[u8] = b"S\0\0\0\x04";
    let one_message = |size: usize| pg::query_message(&vec![b' '; size]);
    let short_messages = |size: usize| SYNC.repeat(size / SYNC.len());
    for piece_bytes in [7, 4096] {
        assert_linear(&format!("a message in pieces of {piece_bytes}"), SMALLEST, one_message, |bytes| {
            assert_eq!(Receiver::new().receive(bytes, piece_bytes), 1);
        });
        assert_linear(
            &format!("short messages in pieces of {piece_bytes}"),
            SMALLEST,
            short_messages,
            |bytes| {
                assert_eq!(Receiver::new().receive(bytes, piece_bytes), bytes.len() / SYNC.len());
            },
        );
    }
    assert_linear("short messages behind each other", SMALLEST, short_messages, |bytes| {
        let mut receiver = Receiver::new();
        receiver.receive_undecoded(bytes);
        assert_eq!(receiver.decode_all(), bytes.len() / SYNC.len());
    });
}

/// Guards against work on a node's error text that grows faster than the text.
#[test]
fn decoding_an_error_is_linear_in_its_length() {
    const SMALLEST: usize = 1000;
    for field in ["M\0", "Mtext\0", "D\u{fffd}\0", "x\0"] {
        let error = |size: usize| {
            let fields = format!("C58000\0{}\0", field.repeat(size / field.len()));
            let length = (fields.len() + 4) as u32;
            [b"E", &length.to_be_bytes()[..], fields.as_bytes()].concat()
        };
        assert_linear(&format!("an error's fields {field:?}"), SMALLEST, error, |bytes| {
            (0..50).for_each(|_| _ = std::hint::black_box(pg::decode_backend_message(bytes).unwrap()));
        });
    }
}

/// Reads a response in pieces of this size, as it arrives from discovery.
fn read_response(bytes: &[u8], piece_bytes: usize) -> Vec<u8> {
    let mut decoder = ResponseDecoder::default();
    for piece in bytes.chunks(piece_bytes) {
        decoder.push(piece).unwrap();
        if let Some(body) = decoder.take_body(StreamState::Open) {
            return body.bytes;
        }
    }
    panic!("the response is incomplete")
}

/// Guards against decoding a response from discovery anew with each piece of it that arrives.
#[test]
fn decoding_a_response_from_discovery_is_linear_in_its_length() {
    const SMALLEST: usize = 16 * 1024;
    let head = "HTTP/1.1 200 OK\r\n";
    let sized = |size: usize| format!("{head}Content-Length: {size}\r\n\r\n{}", " ".repeat(size));
    let chunked = |size: usize| {
        let chunks = "1\r\n \r\n".repeat(size / 6);
        format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
    };
    let trailers = |size: usize| {
        let trailers = "x: y\r\n".repeat(size / 6);
        format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n{trailers}\r\n")
    };
    for piece_bytes in [1, 100, 4096] {
        assert_linear(&format!("a sized body in pieces of {piece_bytes}"), SMALLEST, sized, |response| {
            read_response(response.as_bytes(), piece_bytes)
        });
        assert_linear(&format!("a chunked body in pieces of {piece_bytes}"), SMALLEST, chunked, |response| {
            read_response(response.as_bytes(), piece_bytes)
        });
        assert_linear(&format!("trailers in pieces of {piece_bytes}"), SMALLEST, trailers, |response| {
            read_response(response.as_bytes(), piece_bytes)
        });
        let long_head = |size: usize| {
            let headers = (0..60).map(|_| format!("x: {}\r\n", "y".repeat(size / 60))).collect::<String>();
            format!("{head}{headers}Content-Length: 0\r\n\r\n")
        };
        assert_linear(&format!("a head in pieces of {piece_bytes}"), 1900, long_head, |response| {
            read_response(response.as_bytes(), piece_bytes)
        });
    }
}

const SETTINGS: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"5",
"limits":{"sockets":64},"settings":{"Allowed":{"ConnIdleMs":30000.0,"ConnectTimeoutMs":250.0},
"Classes":[{"Name":"a","GiveUpMs":600.0,"GoalTimeMs":150.0}],"FailureDomains":["x","y"],"Skus":["m","n"]}}"#;

fn deployment() -> Deployment {
    StartupOptions::from_json(&serde_json::from_str(SETTINGS).unwrap(), |_| None).unwrap().deployment
}

/// The JSON of a whole list of nodes, at addresses that begin with this number.
fn list_text(nodes: usize, first_octet: u8) -> String {
    let mut text = r#"{"rev":1,"all":true,"targets":["#.to_string();
    for node in 0..nodes {
        let separator = if node == 0 { "" } else { "," };
        let address = format!("{first_octet}.0.{}.{}:5432", node / 256, node % 256);
        write!(
            text,
            r#"{separator}{{"uid":"s-{first_octet}-{node}","endpoint":"{address}","az":"x","model":"m",
            "pod_group":{},"state":"in_service","capacity_hint":1.0,"boot_ms":0}}"#,
            node / 3
        )
        .unwrap();
    }
    text + "]}"
}

/// Guards against comparing each known node with each entry of a list.
#[test]
fn applying_an_endpoint_list_is_linear_in_its_entries() {
    const SMALLEST: usize = 1000;
    let deployment = deployment();
    let parse = |text: &String| future::block_on(EndpointList::from_text(text.as_bytes())).unwrap();
    assert_linear("parsing a list", SMALLEST, |nodes| list_text(nodes, 10), parse);
    for (name, second_octet) in [("the same", 10), ("a replaced", 11)] {
        let lists = |nodes| [10, second_octet].map(|octet| parse(&list_text(nodes, octet)));
        assert_linear(&format!("applying {name} list"), SMALLEST, lists, |lists| {
            let (engine, _outputs) = Engine::new(5, &deployment);
            let mut parser = EndpointParser::new(&deployment);
            for list in lists {
                engine.endpoints_changed(EndpointUpdate::Snapshot, &parser.apply(list));
            }
        });
    }
}
