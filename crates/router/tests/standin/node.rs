//! A node that does with connections and RPCs what a test sets.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use quillpoint_router::pg::{self, FrontendMessage, StartupPacket};
use quillpoint_testbed::replica_set::{encode_parameter_status, read_message, single_value_result as answer};

use super::{NEVER, unix_ms};

/// What a node does with the next RPCs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeBehavior {
    Answer,
    /// Answers with an error of this code.
    Error(&'static str),
    /// Answers after so many milliseconds.
    Delay(u64),
    /// Ends the connection once the query is complete.
    Disconnect,
    /// Says nothing until its behavior is set to another one.
    Hang,
    /// Answers, and closes the connection.
    AnswerAndClose,
    /// Answers half of a value, and closes the connection.
    Truncate,
    /// Answers with these bytes and leaves the connection open.
    RawBytes(&'static [u8]),
    /// Answers with a value of so many bytes.
    LargeValue(usize),
    /// Answers with the id of the RPC as the value.
    EchoId,
    /// Sends these bytes again and again, until the connection ends.
    Flood(&'static [u8]),
    /// Answers, with these bytes behind ReadyForQuery.
    TrailingBytes(&'static [u8]),
    /// Answers, with a load report that cannot be read.
    MalformedReport,
    /// Is down: says so whatever it is asked, also to a health check.
    Down,
}

/// What a node does with new connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectBehavior {
    Accept,
    Hang,
    /// Accepts the first so many that have ever come, and says nothing to those that came later.
    AcceptFirst(usize),
    Close,
}

struct NodeState {
    behavior: NodeBehavior,
    connect_behavior: ConnectBehavior,
    primary: bool,
    queries: Vec<String>,
    /// How many RPCs it has not answered.
    in_flight: usize,
}

#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    state: Arc<(Mutex<NodeState>, Condvar)>,
    pub connections: Arc<AtomicUsize>,
    pub open_connections: Arc<AtomicUsize>,
    /// Connections that were accepted.
    pub accepted: Arc<AtomicUsize>,
}

impl Node {
    pub fn start(primary: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = NodeState {
            behavior: NodeBehavior::Answer,
            connect_behavior: ConnectBehavior::Accept,
            primary,
            queries: Vec::new(),
            in_flight: 0,
        };
        let node = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            connections: Arc::default(),
            open_connections: Arc::default(),
            accepted: Arc::default(),
        };
        let served = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let node = served.clone();
                // Both are counted here: a connection's own thread may begin much later.
                let index = node.connections.fetch_add(1, Ordering::SeqCst);
                node.open_connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    node.serve(index, stream.unwrap());
                    node.open_connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        node
    }

    pub fn set_behavior(&self, behavior: NodeBehavior) {
        self.state.0.lock().unwrap().behavior = behavior;
        self.state.1.notify_all();
    }

    pub fn set_connect_behavior(&self, behavior: ConnectBehavior) {
        self.state.0.lock().unwrap().connect_behavior = behavior;
        self.state.1.notify_all();
    }

    /// The RPCs that came completely.
    pub fn queries(&self) -> Vec<String> {
        self.state.0.lock().unwrap().queries.clone()
    }

    pub fn await_queries(&self, count: usize) {
        let queries = self.state.0.lock().unwrap();
        let (_guard, wait) =
            self.state.1.wait_timeout_while(queries, NEVER, |state| state.queries.len() < count).unwrap();
        assert!(!wait.timed_out(), "{count} queries never came");
    }

    /// The connection that so many came before.
    fn serve(&self, index: usize, mut stream: TcpStream) {
        if !self.accepts(index) {
            return;
        }
        let mut unread = Vec::new();
        if read_message(&mut stream, &mut unread, pg::decode_startup_packet) != Some(StartupPacket::Startup) {
            return;
        }
        let mut out = Vec::new();
        pg::encode_session_start(&mut out, None);
        _ = stream.write_all(&out);
        self.accepted.fetch_add(1, Ordering::SeqCst);
        while let Some(FrontendMessage::Query(text)) =
            read_message(&mut stream, &mut unread, pg::decode_frontend_message)
        {
            let text = String::from_utf8(text).unwrap();
            if text == "SHOW load" {
                _ = stream.write_all(&self.health_check_response());
            } else if !self.answer_rpc(&mut stream, text) {
                return;
            }
        }
    }

    /// Waits while the node hangs on new connections. Whether this one is accepted.
    fn accepts(&self, index: usize) -> bool {
        let hangs = |state: &mut NodeState| match state.connect_behavior {
            ConnectBehavior::Hang => true,
            ConnectBehavior::AcceptFirst(count) => index >= count,
            ConnectBehavior::Accept | ConnectBehavior::Close => false,
        };
        let state = self.state.0.lock().unwrap();
        let (state, _) = self.state.1.wait_timeout_while(state, NEVER, hangs).unwrap();
        state.connect_behavior != ConnectBehavior::Close
    }

    fn health_check_response(&self) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let mut out = Vec::new();
        match state.behavior {
            NodeBehavior::Down => pg::encode_error(&mut out, false, "57P03", "down", None),
            _ => pg::encode_result(&mut out, &answer(state.load(unix_ms()).as_bytes())),
        }
        pg::encode_ready_for_query(&mut out);
        out
    }

    /// Answers an RPC as the node behaves then. Whether its connection goes on.
    fn answer_rpc(&self, stream: &mut TcpStream, text: String) -> bool {
        let rpc = self.begin_rpc(text);
        let behavior = rpc.behavior;
        if let NodeBehavior::Delay(ms) = behavior {
            thread::sleep(Duration::from_millis(ms));
        }
        self.state.0.lock().unwrap().in_flight -= 1;
        let mut out = Vec::new();
        match behavior {
            _ if rpc.misrouted => pg::encode_error(&mut out, false, "25006", "this is a replica", None),
            NodeBehavior::Disconnect => return false,
            NodeBehavior::Down => pg::encode_error(&mut out, false, "57P03", "down", None),
            NodeBehavior::Error(code) => pg::encode_error(&mut out, false, code, "as told", None),
            NodeBehavior::RawBytes(bytes) => out.extend(bytes),
            NodeBehavior::LargeValue(length) => pg::encode_result(&mut out, &answer(&vec![b'v'; length])),
            NodeBehavior::EchoId => pg::encode_result(&mut out, &answer(&rpc.id)),
            NodeBehavior::Flood(bytes) => {
                let many = bytes.repeat(4096 / bytes.len());
                while stream.write_all(&many).is_ok() {}
                return false;
            }
            _ => pg::encode_result(&mut out, &answer(VALUE)),
        }
        if behavior == NodeBehavior::Truncate {
            _ = stream.write_all(&out[..out.len() / 2]);
            return false;
        }
        let load = if behavior == NodeBehavior::MalformedReport { "x0=?,,=" } else { &rpc.load };
        encode_parameter_status(&mut out, "role", rpc.role);
        encode_parameter_status(&mut out, "applied_ms", &rpc.applied_ms.to_string());
        encode_parameter_status(&mut out, "load", load);
        pg::encode_ready_for_query(&mut out);
        if let NodeBehavior::TrailingBytes(bytes) = behavior {
            out.extend(bytes);
        }
        stream.write_all(&out).is_ok() && behavior != NodeBehavior::AnswerAndClose
    }

    /// Takes an RPC on, and waits while the node hangs. What it reports with its answer is as of now. The lock is kept
    /// up to the wait: a test that has seen the query changes nothing of what this RPC meets.
    fn begin_rpc(&self, text: String) -> NodeRpc {
        let mut state = self.state.0.lock().unwrap();
        let applied_ms = unix_ms();
        let id = text.split("id=").nth(1).and_then(|rest| rest.split(',').next());
        let mut rpc = NodeRpc {
            id: id.unwrap_or_default().as_bytes().to_vec(),
            // As every replica does with a write.
            misrouted: text.contains("INSERT") && !state.primary,
            role: if state.primary { "primary" } else { "replica" },
            applied_ms,
            load: state.load(applied_ms),
            behavior: state.behavior,
        };
        state.queries.push(text);
        state.in_flight += 1;
        self.state.1.notify_all();
        let hangs = |state: &mut NodeState| state.behavior == NodeBehavior::Hang;
        let (state, _) = self.state.1.wait_timeout_while(state, NEVER, hangs).unwrap();
        rpc.behavior = state.behavior;
        rpc
    }
}

/// An RPC that a node has taken on.
struct NodeRpc {
    id: Vec<u8>,
    misrouted: bool,
    role: &'static str,
    applied_ms: u128,
    load: String,
    behavior: NodeBehavior,
}

impl NodeState {
    /// The load report, with the log applied up to this time.
    fn load(&self, applied_ms: u128) -> String {
        let (x0, x1) = (applied_ms as f64 / 1000.0, u8::from(self.primary));
        format!("x0={x0:.3},x1={x1},inflight={},queue=0", self.in_flight)
    }
}

/// Bytes that no text could hold.
pub const VALUE: &[u8] = &[0, 255, 10, 39, 0, 128];
