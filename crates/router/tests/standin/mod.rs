//! Stand-ins for clients, nodes and discovery, after their public protocols, and a router process among them.
//! They do as they are set to and record what they see; nothing in them decides.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use quillpoint_router::pg::{self, BackendMessage, FrontendMessage, StartupPacket};
use quillpoint_testbed::store::{next, parameter, row as answer};

/// Far longer than anything here takes: what is awaited for so long never comes.
const NEVER: Duration = Duration::from_secs(30);

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

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
    pub open: Arc<AtomicUsize>,
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
            open: Arc::default(),
            accepted: Arc::default(),
        };
        let served = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let node = served.clone();
                // Both are counted here: a connection's own thread may begin much later.
                let index = node.connections.fetch_add(1, Ordering::SeqCst);
                node.open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    node.serve(index, stream.unwrap());
                    node.open.fetch_sub(1, Ordering::SeqCst);
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
        if next(&mut stream, &mut unread, pg::decode_startup_packet) != Some(StartupPacket::Startup) {
            return;
        }
        let mut out = Vec::new();
        pg::encode_session_start(&mut out, None);
        _ = stream.write_all(&out);
        self.accepted.fetch_add(1, Ordering::SeqCst);
        while let Some(FrontendMessage::Query(text)) =
            next(&mut stream, &mut unread, pg::decode_frontend_message)
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
        parameter(&mut out, "role", rpc.role);
        parameter(&mut out, "applied_ms", &rpc.applied_ms.to_string());
        parameter(&mut out, "load", load);
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

/// Discovery, with a list that a test changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, String)>, Condvar)>,
    calls: Arc<(Mutex<usize>, Condvar)>,
    /// Calls that come meanwhile, and those that wait, are never answered; their connections stay open.
    pub silent: Arc<AtomicBool>,
    /// Calls that were left without an answer.
    unanswered: Arc<AtomicUsize>,
}

/// The list's entries: a node, its role and its state.
pub fn targets(nodes: &[(&Node, &str, &str)]) -> String {
    let entry = |(index, (node, role, state)): (usize, &(&Node, &str, &str))| {
        let endpoint = node.address;
        format!(
            r#"{{"uid":"s-{index}","endpoint":"{endpoint}","az":"a","model":"m","pod_group":0,"state":"{state}",
            "capacity_hint":1.0,"boot_ms":0,"role":"{role}"}}"#
        )
    };
    format!("[{}]", nodes.iter().enumerate().map(entry).collect::<Vec<_>>().join(","))
}

impl Discovery {
    pub fn start(targets: String) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), targets)
    }

    pub fn start_at(address: SocketAddr, targets: String) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let list = Arc::new((Mutex::new((1, targets)), Condvar::new()));
        let (calls, silent, unanswered) = Default::default();
        let discovery = Self { address, list, calls, silent, unanswered };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let discovery = served.clone();
                thread::spawn(move || discovery.serve(stream.unwrap()));
            }
        });
        discovery
    }

    pub fn change(&self, targets: String) {
        let mut list = self.list.0.lock().unwrap();
        *list = (list.0 + 1, targets);
        self.list.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        while let Some(Ok(call)) = lines.next() {
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let number = |name: &str| {
                let digits = call.split(name).nth(1)?.split(['&', ' ']).next()?;
                digits.parse::<u64>().ok()
            };
            let silent = self.silent.load(Ordering::SeqCst);
            *self.calls.0.lock().unwrap() += 1;
            self.calls.1.notify_all();
            let (from, hold) = (number("from="), number("hold_ms="));
            let list = self.list.0.lock().unwrap();
            let hold = Duration::from_millis(hold.unwrap_or(0));
            let (list, _) = self.list.1.wait_timeout_while(list, hold, |list| Some(list.0) == from).unwrap();
            let (rev, all) = (list.0, Some(list.0) != from);
            let targets = if all { list.1.clone() } else { "[]".to_string() };
            drop(list);
            if silent || self.silent.load(Ordering::SeqCst) {
                self.unanswered.fetch_add(1, Ordering::SeqCst);
                continue;
            }
            let body = format!(r#"{{"rev":{rev},"all":{all},"targets":{targets}}}"#);
            // In two chunks, split where it hurts.
            let (first, second) = body.split_at(body.len() / 3);
            let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let whole = format!("{head}{}{}0\r\n\r\n", chunk(first), chunk(second));
            if stream.write_all(whole.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The same, where routers are told another address than its own.
    pub fn advertised_at(&self, address: SocketAddr) -> Self {
        Self { address, ..self.clone() }
    }

    pub fn has_left_unanswered(&self) -> bool {
        count(&self.unanswered) > 0
    }

    pub fn calls(&self) -> usize {
        *self.calls.0.lock().unwrap()
    }

    /// A call after an answer shows that the answer has been read.
    pub fn await_calls(&self, count: usize) {
        let calls = self.calls.0.lock().unwrap();
        let (_guard, wait) = self.calls.1.wait_timeout_while(calls, NEVER, |calls| *calls < count).unwrap();
        assert!(!wait.timed_out(), "call {count} never came");
    }
}

/// A router as a process of its own.
pub struct RouterProcess {
    pub child: Child,
    pub address: SocketAddr,
    pub path: PathBuf,
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

/// A configuration for a router that asks for its list there. `targets` is the list that it had last.
pub fn configuration(discovery: SocketAddr, targets: &str, sockets: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","GiveUpMs":9000.0,"GoalTimeMs":9000.0,"LateValue":0.5,"Value":1.0,
            "Semantics":"{effect}","Group":"all","WindowMs":5000.0}}"#
        )
    };
    let classes = [class("look", "free"), class("enter", "single_shot"), class("recent", "free")].join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"92094eb940cf389a",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"rev":0,"all":true,"targets":{targets}}},
        "settings":{{"Allowed":{{"ConnIdleMs":30000.0,"ConnectTimeoutMs":5000.0,"MaxAttempts":6,"Probes":true,
            "MaxRetryAfterMs":1000.0,"MayDuplicate":true,"MostHeld":20000}},"Balancers":1,"Classes":[{classes}],
            "Discovery":"subscribe","Extra":{{"Checks":"none","ClassBoundMs":[0,0,300],
            "NeedsByClass":["loose","update","recent"],"WriteMarks":"router"}},"FailureDomains":["a"],
            "Feedback":{{"Fields":["x0","x1"],"Source":"answers"}},"Invariants":{{"AskEveryMs":20000.0,
            "ColdFrom":0.3,"ColdMs":1000.0,"DrainGraceMs":1000.0,"FallMultiple":3.0,"OverloadForMs":1000.0}},
            "Skus":["m"],"StepMs":2.0,"Tariffs":{{"Probe":0.001}}}}}}"#
    )
}

pub fn file(text: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

pub fn command(words: &[&str], variables: &[(&str, &str)]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillpoint"));
    command.args(words).env_clear().envs(variables.iter().copied());
    command
}

impl RouterProcess {
    pub fn start(configuration: &str) -> Self {
        Self::start_with(configuration, &[])
    }

    pub fn start_with(configuration: &str, variables: &[(&str, &str)]) -> Self {
        let path = file(configuration);
        let mut command = command(&["serve", "--config", path.to_str().unwrap()], variables);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let address = loop {
            let line = lines.next().expect("a line says where it serves").unwrap();
            if let Some((_, rest)) = line.split_once("serves at ") {
                break rest.split(',').next().unwrap().parse().unwrap();
            }
        };
        let log = Arc::new((Mutex::new(Vec::new()), Condvar::new()));
        let kept = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.0.lock().unwrap().push(line);
                kept.1.notify_all();
            }
        });
        Self { child, address, path, log }
    }

    /// Until a line with this in it has been logged since the start.
    pub fn await_line(&self, part: &str) {
        self.line(part);
    }

    /// The first line with this in it that has been logged since the start, once there is one.
    pub fn line(&self, part: &str) -> String {
        let lines = self.log.0.lock().unwrap();
        let missing = |lines: &mut Vec<String>| !lines.iter().any(|line| line.contains(part));
        let (lines, wait) = self.log.1.wait_timeout_while(lines, NEVER, missing).unwrap();
        assert!(!wait.timed_out(), "no line has {part:?}: {lines:?}");
        lines.iter().find(|line| line.contains(part)).unwrap().clone()
    }

    /// All that it has logged since the start.
    pub fn lines(&self) -> Vec<String> {
        self.log.0.lock().unwrap().clone()
    }

    /// Nodes as `(node, role)`, a list that names them, and a router that knows it.
    pub fn start_with_nodes(nodes: &[(&Node, &str)]) -> (Self, Discovery) {
        let all: Vec<_> = nodes.iter().map(|(node, role)| (*node, *role, "in_service")).collect();
        let discovery = Discovery::start(targets(&all));
        (Self::start(&configuration(discovery.address, &targets(&all), 200)), discovery)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn signal(&self, name: &str) {
        self.try_signal(name).unwrap();
    }

    /// # Errors
    /// It has ended.
    pub fn try_signal(&self, name: &str) -> std::io::Result<()> {
        use rustix::process::{Pid, Signal, kill_process};
        let signal = match name {
            "-TERM" => Signal::TERM,
            "-HUP" => Signal::HUP,
            "-STOP" => Signal::STOP,
            "-CONT" => Signal::CONT,
            other => panic!("{other}"),
        };
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// How a query was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Value(Vec<u8>),
    /// The code, and the field D.
    Error(String, Option<String>),
    Empty,
    /// The connection ended without an answer.
    Closed,
}

pub struct Client {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::connect_with(address, &[])
    }

    /// With a first query right behind the startup.
    pub fn connect_and_query(address: SocketAddr, text: &str) -> Self {
        let mut query = Vec::new();
        pg::encode_query(&mut query, text.as_bytes());
        Self::connect_with(address, &query)
    }

    fn connect_with(address: SocketAddr, query: &[u8]) -> Self {
        let mut client = Self::from_stream(TcpStream::connect(address).unwrap());
        client.send(query);
        client
    }

    /// On a connection of the test's own making.
    pub fn from_stream(stream: TcpStream) -> Self {
        Self::try_from_stream(stream).unwrap()
    }

    /// # Errors
    /// The connection has ended.
    pub fn try_from_stream(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_read_timeout(Some(NEVER))?;
        let mut client = Self { stream, unread: Vec::new() };
        let mut out = Vec::new();
        pg::encode_startup(&mut out, "portal", "crm");
        client.stream.write_all(&out)?;
        Ok(client)
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// The next message of a router.
    pub fn next_message(&mut self) -> Option<BackendMessage> {
        next(&mut self.stream, &mut self.unread, pg::decode_backend_message)
    }

    /// Closes its sending, and waits until the router has taken notice.
    pub fn disconnect(mut self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
        while self.next_message().is_some() {}
    }

    pub fn send_query(&mut self, text: &str) {
        let mut out = Vec::new();
        pg::encode_query(&mut out, text.as_bytes());
        self.send(&out);
    }

    /// Up to the ReadyForQuery that follows an answer.
    pub fn reply(&mut self) -> Reply {
        let mut reply = Reply::Closed;
        loop {
            match self.next_message() {
                None => return reply,
                Some(BackendMessage::DataRow(value)) => reply = Reply::Value(value.unwrap()),
                Some(BackendMessage::EmptyQueryResponse) => reply = Reply::Empty,
                Some(BackendMessage::ErrorResponse { code, detail, .. }) => {
                    reply = Reply::Error(code, detail)
                }
                Some(BackendMessage::ReadyForQuery) if reply != Reply::Closed => return reply,
                Some(_) => {}
            }
        }
    }

    /// Queries on a connection that may have been closed.
    pub fn try_query(&mut self, text: &str) -> Reply {
        let sent = self.stream.write_all(&pg::query_message(text.as_bytes()));
        sent.map_or(Reply::Closed, |()| self.reply())
    }

    pub fn try_rpc(&mut self, class: &str, wait_ms: u64) -> Reply {
        self.try_query(&statement(class, wait_ms))
    }

    pub fn rpc(&mut self, class: &str, wait_ms: u64) -> Reply {
        self.send_query(&statement(class, wait_ms));
        self.reply()
    }
}

/// A statement under an id of its own.
pub fn statement(class: &str, wait_ms: u64) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let verb = if class == "enter" {
        "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x9f03') RETURNING data"
    } else {
        "SELECT data FROM facts WHERE code = '7f3a'"
    };
    format!("/* id=9b1f03aa{id:08x},c={class},d={wait_ms},cluster=0,k=ab12 */ {verb}")
}

pub fn count(counts: &AtomicUsize) -> usize {
    counts.load(Ordering::SeqCst)
}
