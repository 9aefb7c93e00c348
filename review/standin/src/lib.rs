//! Stand-ins for the cases of the review: nodes, discovery and clients that speak the published protocol, the
//! record of a run, and the router as a process of its own. Standard library only; loopback addresses only.

use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// Whether the disruption is left out: `run.sh` hands over the value of TROUBLE as the last argument.
pub fn is_calm() -> bool {
    std::env::args().nth(4).is_some_and(|trouble| trouble == "0")
}

/// Pseudo-random numbers (xorshift), so that a run needs no library.
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed | 1))
    }

    /// A number from 0 to 1.
    pub fn fraction(&self) -> f64 {
        let mut x = self.0.load(Ordering::Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.0.store(x, Ordering::Relaxed);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }
}

/// The file `record.txt` of a case: what was sent, answered and run, each line with its time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Arc::new(Self { start: Instant::now(), file }))
    }

    pub fn line(&self, text: impl Display) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{at:10.2} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        _ = self.file.lock().unwrap().flush();
    }
}

/// Messages of PostgreSQL's protocol, version 3.
pub mod pg {
    use super::*;

    pub fn message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
        out.push(kind);
        out.extend((body.len() as u32 + 4).to_be_bytes());
        out.extend(body);
    }

    fn text(out: &mut Vec<u8>, text: &str) {
        out.extend(text.as_bytes());
        out.push(0);
    }

    pub fn startup() -> Vec<u8> {
        let mut body = Vec::new();
        body.extend((3u32 << 16).to_be_bytes());
        for part in ["user", "portal", "database", "crm"] {
            text(&mut body, part);
        }
        body.push(0);
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend(body);
        out
    }

    pub fn query(statement: &str) -> Vec<u8> {
        let mut body = Vec::new();
        text(&mut body, statement);
        let mut out = Vec::new();
        message(&mut out, b'Q', &body);
        out
    }

    pub fn session_start(out: &mut Vec<u8>) {
        message(out, b'R', &[0; 4]);
        ready(out);
    }

    pub fn ready(out: &mut Vec<u8>) {
        message(out, b'Z', b"I");
    }

    pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
        let mut body = Vec::new();
        text(&mut body, name);
        text(&mut body, value);
        message(out, b'S', &body);
    }

    pub fn row(out: &mut Vec<u8>, value: &[u8], tag: &str) {
        let mut body = 1u16.to_be_bytes().to_vec();
        text(&mut body, "data");
        body.extend([0; 6]);
        body.extend(17u32.to_be_bytes());
        body.extend(u16::MAX.to_be_bytes());
        body.extend(u32::MAX.to_be_bytes());
        body.extend(1u16.to_be_bytes());
        message(out, b'T', &body);
        let mut body = 1u16.to_be_bytes().to_vec();
        body.extend((value.len() as u32).to_be_bytes());
        body.extend(value);
        message(out, b'D', &body);
        let mut body = Vec::new();
        text(&mut body, tag);
        message(out, b'C', &body);
    }

    pub fn error(out: &mut Vec<u8>, code: &str, reason: &str) {
        let mut body = Vec::new();
        for (field, value) in [(b'S', "ERROR"), (b'V', "ERROR"), (b'C', code), (b'M', reason)] {
            body.push(field);
            text(&mut body, value);
        }
        body.push(0);
        message(out, b'E', &body);
    }

    /// The fields of an ErrorResponse that clients look at: severity, code and detail.
    pub fn error_fields(body: &[u8]) -> (String, String, Option<String>) {
        let (mut severity, mut code, mut detail) = (String::new(), String::new(), None);
        for field in body.split(|byte| *byte == 0).filter(|field| !field.is_empty()) {
            let value = String::from_utf8_lossy(&field[1..]).into_owned();
            match field[0] {
                b'V' => severity = value,
                b'C' => code = value,
                b'D' => detail = Some(value),
                _ => {}
            }
        }
        (severity, code, detail)
    }

    /// Reads one message with a type byte.
    pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if !(4..=1 << 21).contains(&length) {
            return Err(ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length - 4];
        stream.read_exact(&mut body)?;
        Ok((head[0], body))
    }

    /// Reads a startup packet, which has no type byte.
    pub fn read_startup(stream: &mut impl Read) -> io::Result<()> {
        let mut head = [0; 4];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes(head) as usize;
        if !(8..=10_000).contains(&length) {
            return Err(ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length - 4];
        stream.read_exact(&mut body)
    }
}

/// The value of a field in the comment of a statement.
pub fn field<'t>(statement: &'t str, name: &str) -> Option<&'t str> {
    let comment = statement.split_once("/*")?.1.split_once("*/")?.0;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}

/// The first quoted literal of a statement.
pub fn literal(statement: &str) -> Option<&str> {
    statement.split('\'').nth(1)
}

/// What a node does behind the answer to a request that it has run.
pub type AfterAnswer = dyn Fn(&Node, &mut TcpStream, &[u8]) -> io::Result<()> + Send + Sync;

/// A write is this much more work than a read.
const WRITE_WORK: f64 = 1.5;

/// A node: one member of a group, which answers requests after some work.
pub struct Node {
    pub uid: String,
    pub address: SocketAddr,
    pub group: u64,
    pub primary: AtomicBool,
    pub work_ms: (f64, f64),
    /// How far a replica's log is behind.
    pub lag_ms: f64,
    pub random: Random,
    pub record: Arc<Record>,
    /// The connections, which are closed when the node is stopped.
    streams: Mutex<Vec<TcpStream>>,
    stopped: AtomicBool,
    /// How many requests the node holds, and how many it may.
    held: AtomicUsize,
    slots: usize,
    after_answer: Option<Box<AfterAnswer>>,
    /// The requests that the node has run, each with whether it is a write.
    pub runs: Mutex<Vec<(String, bool)>>,
    /// What a read gets: the group, the node and the id of the request that it is made for.
    pub data_of: String,
}

pub struct NodeSpec<'s> {
    pub uid: &'s str,
    pub address: SocketAddr,
    pub group: u64,
    pub primary: bool,
    pub work_ms: (f64, f64),
    /// Requests beyond this number are turned away with 53300: the queue is full.
    pub slots: usize,
}

impl Node {
    /// Starts a node. With port 0 it takes a free one.
    pub fn start(
        spec: NodeSpec<'_>,
        record: &Arc<Record>,
        after_answer: Option<Box<AfterAnswer>>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(spec.address)?;
        let address = listener.local_addr()?;
        let node = Arc::new(Self {
            uid: spec.uid.to_string(),
            address,
            group: spec.group,
            primary: AtomicBool::new(spec.primary),
            work_ms: spec.work_ms,
            lag_ms: 8.0,
            random: Random::new(0x9e37_79b9_7f4a_7c15 ^ (u64::from(address.port()) << 20)),
            record: Arc::clone(record),
            streams: Mutex::default(),
            stopped: AtomicBool::new(false),
            held: AtomicUsize::new(0),
            slots: spec.slots,
            after_answer,
            runs: Mutex::default(),
            data_of: format!("group {} {}", spec.group, spec.uid),
        });
        record.line(format_args!(
            "node {} starts at {address}: group {}, {}",
            node.uid,
            node.group,
            node.role()
        ));
        let served = Arc::clone(&node);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if served.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    served.streams.lock().unwrap().push(copy);
                }
                let node = Arc::clone(&served);
                thread::spawn(move || _ = node.serve(stream));
            }
        });
        Ok(node)
    }

    /// Ends the node like a process that dies: its connections are reset or closed, new ones are refused.
    pub fn stop(&self) {
        self.record.line(format_args!("node {} at {} ends", self.uid, self.address));
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener's thread, which then drops the listener.
        _ = TcpStream::connect(self.address);
    }

    pub fn role(&self) -> &'static str {
        if self.primary.load(Ordering::SeqCst) { "primary" } else { "replica" }
    }

    fn applied_ms(&self) -> f64 {
        let now = unix_ms();
        if self.primary.load(Ordering::SeqCst) { now } else { now - self.lag_ms }
    }

    fn load(&self) -> String {
        let is_primary = u8::from(self.primary.load(Ordering::SeqCst));
        format!("x0={:.3},x1={is_primary},queue=0", self.applied_ms() / 1000.0)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        if std::env::var("NODE_NODELAY").is_ok() {
            stream.set_nodelay(true)?;
        }
        pg::read_startup(&mut stream)?;
        let mut out = Vec::new();
        pg::session_start(&mut out);
        stream.write_all(&out)?;
        loop {
            let (kind, body) = pg::read_message(&mut stream)?;
            if kind != b'Q' {
                return Ok(());
            }
            let statement = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
            self.answer(&mut stream, statement.trim())?;
        }
    }

    fn answer(&self, stream: &mut TcpStream, statement: &str) -> io::Result<()> {
        let mut out = Vec::new();
        if statement.is_empty() {
            pg::message(&mut out, b'I', &[]);
            pg::ready(&mut out);
            return stream.write_all(&out);
        }
        if statement == "SHOW load" || statement == "SELECT 1" {
            let value = if statement == "SHOW load" { self.load() } else { "1".to_string() };
            let tag = if statement == "SHOW load" { "SHOW" } else { "SELECT 1" };
            pg::row(&mut out, value.as_bytes(), tag);
            pg::parameter(&mut out, "role", self.role());
            pg::ready(&mut out);
            return stream.write_all(&out);
        }
        let id = field(statement, "id").unwrap_or("?");
        let is_write = statement.contains("INSERT");
        let verb = if is_write { "write" } else { "read" };
        let mut has_run = false;
        if self.held.fetch_add(1, Ordering::SeqCst) >= self.slots {
            pg::error(&mut out, "53300", "the queue is full");
            self.record.line(format_args!("node {} turns away {verb} {id}: queue full", self.uid));
        } else if is_write && !self.primary.load(Ordering::SeqCst) {
            pg::error(&mut out, "25006", "this is a replica");
            self.record.line(format_args!("node {} turns away {verb} {id}: no primary", self.uid));
        } else {
            let factor = if is_write { WRITE_WORK } else { 1.0 };
            let work_ms = factor * self.random.between(self.work_ms.0, self.work_ms.1);
            thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
            let cluster = field(statement, "cluster").unwrap_or("?");
            self.record.line(format_args!("{} ran {verb} {id} of cluster {cluster}", self.uid));
            self.runs.lock().unwrap().push((id.to_string(), is_write));
            let value = format!("{} for {id}", self.data_of);
            pg::row(&mut out, value.as_bytes(), if is_write { "INSERT 0 1" } else { "SELECT 1" });
            has_run = true;
        }
        self.held.fetch_sub(1, Ordering::SeqCst);
        pg::parameter(&mut out, "role", self.role());
        let applied = if is_write { unix_ms().ceil() } else { self.applied_ms().floor() };
        pg::parameter(&mut out, "applied_ms", &format!("{applied:.0}"));
        pg::parameter(&mut out, "load", &self.load());
        pg::ready(&mut out);
        stream.write_all(&out)?;
        match &self.after_answer {
            Some(after) if has_run => after(self, stream, &out),
            _ => Ok(()),
        }
    }
}

/// One entry of discovery's list.
#[derive(Clone, PartialEq)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub group: u64,
    pub state: &'static str,
    pub role: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    pub fn of(node: &Node, boot_ms: u64) -> Self {
        Self {
            uid: node.uid.clone(),
            endpoint: node.address,
            group: node.group,
            state: "in_service",
            role: node.role(),
            boot_ms,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"std","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{},"role":"{}"}}"#,
            self.uid, self.endpoint, self.group, self.state, self.boot_ms, self.role
        )
    }
}

pub fn list_json(rev: u64, whole: bool, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"rev":{rev},"all":{whole},"targets":[{}]}}"#, targets.join(","))
}

struct ListState {
    rev: u64,
    /// The whole list of today.
    entries: Vec<Entry>,
    /// Each change with its version.
    changes: Vec<(u64, Entry)>,
}

/// Discovery: the whole list, and watches on its changes, over HTTP/1.1.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(rev: u64, entries: Vec<Entry>, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = ListState { rev, entries, changes: Vec::new() };
        let discovery = Arc::new(Self {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = Arc::clone(&served);
                thread::spawn(move || _ = discovery.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Makes one new version of the list with these changed entries. `terminated` takes an entry off the list.
    pub fn change(&self, changed: &[Entry]) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        for entry in changed {
            state.entries.retain(|known| known.uid != entry.uid);
            if entry.state != "terminated" {
                state.entries.push(entry.clone());
            }
            state.changes.retain(|(_, known)| known.uid != entry.uid);
            state.changes.push((rev, entry.clone()));
            self.record.line(format_args!(
                "discovery version {rev}: {} at {} group {} is {}",
                entry.uid, entry.endpoint, entry.group, entry.state
            ));
        }
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request)? == 0 {
                return Ok(());
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header)? == 0 {
                    return Ok(());
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let path = request.split_whitespace().nth(1).unwrap_or("/").to_string();
            let parameter = |name: &str| -> Option<u64> {
                let query = path.split_once('?')?.1;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
            };
            let body = self.list_since(parameter("from"), parameter("hold_ms").unwrap_or(0));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(format!("{head}{body}").as_bytes())?;
            let shown = if body.len() > 400 { &body[..400] } else { &body };
            self.record.line(format_args!("discovery answers {path}: {shown}"));
        }
    }

    fn list_since(&self, from: Option<u64>, hold_ms: u64) -> String {
        let state = self.state.0.lock().unwrap();
        let Some(from) = from else { return list_json(state.rev, true, &state.entries) };
        let hold = Duration::from_millis(hold_ms.min(60_000));
        let (state, _) = self.state.1.wait_timeout_while(state, hold, |state| state.rev <= from).unwrap();
        let changed: Vec<Entry> =
            state.changes.iter().filter(|(rev, _)| *rev > from).map(|(_, entry)| entry.clone()).collect();
        list_json(state.rev, false, &changed)
    }
}

/// The router: the program that the deploy file's `run` starts, in a process of its own.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).ok_or(ErrorKind::NotFound)?;
    Ok(line.split('"').nth(1).unwrap_or_default().to_string())
}

impl Router {
    /// Writes the configuration and starts the router with the deploy file's command, from the root.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        config: &Config,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config.json(name))?;
        let command = run_command(root)?;
        let mut child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root)
            .env("GW_NAME", name)
            .env("GW_LISTEN", config.listen.to_string())
            .env("GW_DISCOVERY", config.discovery.to_string())
            .env("GW_CONFIG", &path)
            .env("TMPDIR", folder)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        let lines = BufReader::new(child.stderr.take().ok_or(ErrorKind::Other)?);
        let log = Arc::new(Mutex::new(Vec::new()));
        let (copy, record_of_log, of) = (Arc::clone(&log), Arc::clone(record), name.to_string());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                record_of_log.line(format_args!("log of {of}: {line}"));
                copy.lock().unwrap().push(line);
            }
        });
        record.line(format_args!("router {name} starts, process {}: {command}", child.id()));
        Ok(Self { child, address: config.listen, log })
    }

    /// Waits until an empty query is answered with EmptyQueryResponse, as the front does.
    pub fn await_ready(&self) -> io::Result<()> {
        let give_up = Instant::now() + Duration::from_secs(15);
        while Instant::now() < give_up {
            if let Ok(mut client) = Client::connect(self.address)
                && client.send("").is_ok()
                && let Ok((b'I', _)) = client.next_message_before(Instant::now() + Duration::from_secs(1))
            {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(ErrorKind::TimedOut.into())
    }

    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).status();
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// One class of requests in the settings.
pub struct Class {
    pub name: &'static str,
    /// As in `Extra.NeedsByClass`.
    pub needs: &'static str,
    pub bound_ms: f64,
    pub semantics: &'static str,
    pub goal_ms: f64,
    pub give_up_ms: f64,
    pub value: f64,
}

/// A router's configuration.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub routers: usize,
    pub classes: Vec<Class>,
    /// The list that the router had last.
    pub known: String,
    /// Nodes report on themselves only when probed, not in their answers.
    pub probe_reports: bool,
    /// Only a listed drain binds: a node that is called gone without one may still be sent to.
    pub only_draining_binds: bool,
}

impl Config {
    fn json(&self, name: &str) -> String {
        let joined =
            |each: &dyn Fn(&Class) -> String| self.classes.iter().map(each).collect::<Vec<_>>().join(",");
        let classes = joined(&|class| {
            format!(
                r#"{{"Name":"{}","Semantics":"{}","Group":"all","GoalTimeMs":{:.1},"GiveUpMs":{:.1},"Value":{:.1},"LateValue":0.2,"WindowMs":5000.0,"Stream":false}}"#,
                class.name, class.semantics, class.goal_ms, class.give_up_ms, class.value
            )
        });
        let needs = joined(&|class| format!("\"{}\"", class.needs));
        let bounds = joined(&|class| format!("{:.1}", class.bound_ms));
        format!(
            r#"{{"name":"{name}","listen":"{}","discovery":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},
"known":{},
"settings":{{"Balancers":{},"StepMs":2.0,"Discovery":"subscribe","FailureDomains":["a"],"Skus":["std"],
"Allowed":{{"MaxAttempts":8,"MostHeld":20000,"ConnectTimeoutMs":250.0,"ConnIdleMs":30000.0,"MaxRetryAfterMs":1000.0,
"Probes":true,"MayDuplicate":true,"Cancelling":true,"Multiplex":1,"RetryAfter":true}},
"Classes":[{classes}],"Clients":{{"MarksRetry":false}},
"Extra":{{"NeedsByClass":[{needs}],"ClassBoundMs":[{bounds}],"Checks":"none","WriteMarks":"router","RoleListed":"delayed",
"Stamps":true,"CommitWaits":false}},
"Feedback":{{"Source":"{}","Fields":["x0","x1","waiting"]}},
"Invariants":{{"AnswerSlackMs":8.0,"AskEveryMs":10000.0,"DrainGraceMs":2000.0,"ColdFrom":0.25,"ColdMs":18000.0,
"FallMultiple":3.0,"OverloadForMs":1000.0,"DroppedStayOpen":{}}},
"Tariffs":{{"Probe":0.02}},"Weights":"none","Tenants":[]}}}}"#,
            self.listen,
            self.discovery,
            unix_ms() as u64,
            self.sockets,
            self.known,
            self.routers,
            if self.probe_reports { "probe" } else { "answers" },
            self.only_draining_binds,
        )
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Value(String),
    /// 53300 or 57P03: nothing ran.
    Refused {
        code: String,
        fatal: bool,
    },
    Failed {
        code: String,
        fatal: bool,
    },
    /// The router closed or reset the connection without a whole answer.
    Closed,
    /// No whole answer came as long as the client looked.
    Nothing,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.write_all(&pg::startup())?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&pg::query(statement))
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next message other than those of the startup, notices and parameters.
    pub fn next_message_before(&mut self, end: Instant) -> io::Result<(u8, Vec<u8>)> {
        loop {
            let (kind, body) = self.any_message_before(end)?;
            if !matches!(kind, b'R' | b'S' | b'K' | b'N' | b'Z') {
                return Ok((kind, body));
            }
        }
    }

    fn any_message_before(&mut self, end: Instant) -> io::Result<(u8, Vec<u8>)> {
        loop {
            if self.buffer.len() >= 5 {
                let length =
                    u32::from_be_bytes([self.buffer[1], self.buffer[2], self.buffer[3], self.buffer[4]]);
                let whole = length as usize + 1;
                if self.buffer.len() >= whole {
                    let message: Vec<u8> = self.buffer.drain(..whole).collect();
                    return Ok((message[0], message[5..].to_vec()));
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.buffer.extend(&chunk[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(ErrorKind::TimedOut.into());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads the answer to the oldest request without one, up to its last byte, for as long as `end`.
    pub fn reply_before(&mut self, end: Instant) -> Reply {
        let mut value = None;
        loop {
            let ended = |error: io::Error| match error.kind() {
                ErrorKind::TimedOut => Reply::Nothing,
                _ => Reply::Closed,
            };
            match self.next_message_before(end) {
                Ok((b'T', _)) => {}
                Ok((b'D', body)) => value = Some(String::from_utf8_lossy(&body[6..]).into_owned()),
                Ok((b'C', _)) => return value.map_or(Reply::Closed, Reply::Value),
                Ok((b'E', body)) => {
                    let (severity, code, _) = pg::error_fields(&body);
                    let fatal = severity == "FATAL";
                    return match code.as_str() {
                        "53300" | "57P03" => Reply::Refused { code, fatal },
                        _ => Reply::Failed { code, fatal },
                    };
                }
                Ok(_) => return Reply::Closed,
                Err(error) => return ended(error),
            }
        }
    }
}

/// A read of one key.
pub fn read_statement(id: &str, class: &str, wait_ms: u64, cluster: u64, key: &str) -> String {
    format!(
        "/* id={id},c={class},d={wait_ms},cluster={cluster} */ SELECT data FROM facts WHERE code = '{key}'"
    )
}

/// A write of one key.
pub fn write_statement(id: &str, class: &str, wait_ms: u64, cluster: u64, key: &str) -> String {
    format!(
        "/* id={id},c={class},d={wait_ms},cluster={cluster} */ INSERT INTO facts (code, data) VALUES ('{key}', '\\x9f03') RETURNING data"
    )
}

/// Ids of requests: 16 hex digits, each used once.
pub struct Ids(AtomicU64);

impl Ids {
    pub fn new() -> Self {
        Self(AtomicU64::new((unix_ms() as u64) << 20))
    }

    pub fn next(&self) -> String {
        let number = self.0.fetch_add(1, Ordering::SeqCst);
        format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

impl Default for Ids {
    fn default() -> Self {
        Self::new()
    }
}

/// A free loopback port for a router to listen on.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The folders of a case: the repository's root, the case's own folder, and a temporary one.
pub struct Folders {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temporary: PathBuf,
}

impl Folders {
    /// Reads them from the arguments, which `run.sh` gives.
    pub fn from_arguments() -> Option<Self> {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        Some(Self { root: arguments.next()?, case: arguments.next()?, temporary: arguments.next()? })
    }
}
