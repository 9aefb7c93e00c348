//! A stand-in for a replica set: a primary and replicas that lag by a set time, each on a port of its own.
//! Every query and probe that arrives is recorded. The recording shares no code with a router's decisions.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use quillpoint_router::pg::{self, Column, FrontendMessage, QueryResult, StartupPacket};

use crate::now;

/// Staleness bound of bounded reads in the settings of [`crate::routers::platform_json`].
pub const STALENESS_BOUND: Duration = Duration::from_millis(300);
/// Tolerance of the staleness check: routers are allowed this much time on sockets.
const STALENESS_TOLERANCE: Duration = Duration::from_millis(50);

/// What has reached a node, by arrival in Unix time.
#[derive(Default)]
struct Observations {
    /// Probes (`SHOW load`).
    probes: Vec<Duration>,
    /// Probes and RPCs: everything whose answer shows a router the state of the node.
    contacts: Vec<Duration>,
    /// Statements of clients.
    rpcs: Vec<Duration>,
    /// Bounded reads that arrived although the node lagged by more than the bound.
    stale: u64,
}

struct Inner {
    observations: Mutex<Observations>,
    /// Whether the node answers.
    up: AtomicBool,
    /// Delay of the answers to probes, in milliseconds.
    probe_delay_ms: AtomicU64,
    /// How far the log position in the answers to probes is ahead of the real one, in milliseconds.
    overstatement_ms: AtomicU64,
}

/// One node of a replica set. Clones share its state.
#[derive(Clone)]
pub struct Node {
    /// Where the node listens.
    pub address: SocketAddr,
    /// Whether it is the primary.
    pub primary: bool,
    /// How far its log position is behind the clock.
    lag: Duration,
    inner: Arc<Inner>,
    /// How often each write was executed, by id, shared by the replica set.
    executions: Arc<Mutex<BTreeMap<String, u32>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A primary and its replicas.
pub struct ReplicaSet {
    /// The nodes, the primary first.
    pub nodes: Vec<Node>,
    executions: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl ReplicaSet {
    /// Starts a primary, and a replica for each lag.
    ///
    /// # Errors
    /// No loopback port can be bound.
    pub fn start(lags: &[Duration]) -> std::io::Result<Self> {
        let executions = Arc::<Mutex<BTreeMap<String, u32>>>::default();
        let primary = [(true, Duration::ZERO)].into_iter();
        let all = primary.chain(lags.iter().map(|lag| (false, *lag)));
        let nodes = all.map(|(primary, lag)| Node::start(primary, lag, Arc::clone(&executions)));
        Ok(Self { nodes: nodes.collect::<Result<_, _>>()?, executions })
    }

    /// Returns how many writes were executed, and how many of them more than once.
    pub fn write_counts(&self) -> (usize, usize) {
        let executions = lock(&self.executions);
        (executions.len(), executions.values().filter(|runs| **runs > 1).count())
    }

    /// Returns whether the write with this id has been executed.
    pub fn has_executed(&self, id: &str) -> bool {
        lock(&self.executions).contains_key(id)
    }
}

impl Node {
    fn start(
        primary: bool,
        lag: Duration,
        executions: Arc<Mutex<BTreeMap<String, u32>>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let inner = Arc::new(Inner {
            observations: Mutex::default(),
            up: AtomicBool::new(true),
            probe_delay_ms: AtomicU64::new(0),
            overstatement_ms: AtomicU64::new(0),
        });
        let node = Self { address: listener.local_addr()?, primary, lag, inner, executions };
        let shared = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let node = shared.clone();
                thread::spawn(move || node.serve(stream));
            }
        });
        Ok(node)
    }

    /// Makes the node answer, or close its connections without an answer.
    pub fn set_available(&self, up: bool) {
        self.inner.up.store(up, Ordering::SeqCst);
    }

    /// Delays the answers to probes from now on, as a slow link does.
    pub fn delay_probes(&self, extra: Duration) {
        self.inner.probe_delay_ms.store(extra.as_millis() as u64, Ordering::SeqCst);
    }

    /// Adds this to the log position in the answers to probes from now on. Answers to statements keep the
    /// real position.
    pub fn overstate_log_position(&self, extra: Duration) {
        self.inner.overstatement_ms.store(extra.as_millis() as u64, Ordering::SeqCst);
    }

    fn is_up(&self) -> bool {
        self.inner.up.load(Ordering::SeqCst)
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.inner.observations)
    }

    /// Returns the number of probes that arrived at or after `from`.
    pub fn probes_since(&self, from: Duration) -> usize {
        self.observations().probes.iter().filter(|arrived| **arrived >= from).count()
    }

    /// Returns the number of RPCs that arrived from `from` until before `to`.
    pub fn rpcs_between(&self, from: Duration, to: Duration) -> usize {
        self.observations().rpcs.iter().filter(|arrived| (from..to).contains(arrived)).count()
    }

    /// Returns the number of bounded reads that arrived although the node lagged by more than the bound.
    pub fn stale_reads(&self) -> u64 {
        self.observations().stale
    }

    /// Returns the longest time within the span during which neither a probe nor an RPC arrived, ends of the
    /// span included.
    pub fn longest_contact_gap(&self, from: Duration, to: Duration) -> Duration {
        let observations = self.observations();
        let within = observations.contacts.iter().copied().filter(|arrived| (from..=to).contains(arrived));
        let mut times: Vec<Duration> = within.chain([from, to]).collect();
        times.sort();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }

    /// Returns the times between consecutive arrivals of probes and RPCs within the span.
    pub fn contact_gaps(&self, from: Duration, to: Duration) -> Vec<Duration> {
        let observations = self.observations();
        let mut times: Vec<Duration> =
            observations.contacts.iter().copied().filter(|arrived| (from..=to).contains(arrived)).collect();
        times.sort();
        times.windows(2).map(|pair| pair[1] - pair[0]).collect()
    }

    /// Returns the log position, which is the time up to which the node has applied the log.
    fn position(&self) -> Duration {
        now() - self.lag
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        if read_message(&mut stream, &mut buffer, pg::decode_startup_packet) != Some(StartupPacket::Startup)
            || !self.is_up()
        {
            return;
        }
        let mut out = Vec::new();
        pg::encode_session_start(&mut out, None);
        if stream.write_all(&out).is_err() {
            return;
        }
        while let Some(FrontendMessage::Query(query)) =
            read_message(&mut stream, &mut buffer, pg::decode_frontend_message)
        {
            if !self.is_up() {
                return;
            }
            let query = String::from_utf8_lossy(&query);
            if query == "SHOW load" {
                thread::sleep(Duration::from_millis(self.inner.probe_delay_ms.load(Ordering::SeqCst)));
            }
            let out = self.answer(&query);
            if stream.write_all(&out).is_err() {
                return;
            }
        }
    }

    /// Records a query and returns the whole answer to it.
    fn answer(&self, query: &str) -> Vec<u8> {
        if query.is_empty() {
            return empty_query_response();
        }
        let (arrived, mut out) = (now(), Vec::new());
        let load =
            |position: Duration| format!("x0={:.6},x1={}", position.as_secs_f64(), u8::from(self.primary));
        let mut observations = self.observations();
        if query == "SHOW load" {
            observations.probes.push(arrived);
            observations.contacts.push(arrived);
            let overstatement = Duration::from_millis(self.inner.overstatement_ms.load(Ordering::SeqCst));
            pg::encode_result(
                &mut out,
                &single_value_result(load(self.position() + overstatement).as_bytes()),
            );
            pg::encode_ready_for_query(&mut out);
            return out;
        }
        observations.rpcs.push(arrived);
        observations.contacts.push(arrived);
        if query.contains("INSERT") && !self.primary {
            drop(observations);
            pg::encode_error(&mut out, false, "25006", "this is a replica", None);
        } else {
            // A router that sends a bounded read to a node with this lag has broken the bound.
            let bounded = query.contains("c=recent,");
            let stale = bounded && self.position() + STALENESS_BOUND + STALENESS_TOLERANCE < arrived;
            observations.stale += u64::from(stale);
            drop(observations);
            if query.contains("INSERT")
                && let Some(id) = comment_value(query, "id=")
            {
                *lock(&self.executions).entry(id.to_string()).or_default() += 1;
            }
            // The client can recognize a stale read by its value.
            pg::encode_result(&mut out, &single_value_result(if stale { b"stale" } else { b"v" }));
        }
        encode_parameter_status(&mut out, "role", if self.primary { "primary" } else { "replica" });
        encode_parameter_status(&mut out, "applied_ms", &self.position().as_millis().to_string());
        encode_parameter_status(&mut out, "load", &load(self.position()));
        pg::encode_ready_for_query(&mut out);
        out
    }
}

/// Returns what follows `name`, up to the next comma or space.
fn comment_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split(name).nth(1)?.split([',', ' ']).next()
}

/// Returns the whole response to an empty query, by which routers validate connections.
pub fn empty_query_response() -> Vec<u8> {
    let mut out = Vec::new();
    pg::encode_empty_query_response(&mut out);
    pg::encode_ready_for_query(&mut out);
    out
}

/// Returns a result of one row and one column.
pub fn single_value_result(value: &[u8]) -> QueryResult {
    let column = Column { name: b"data".to_vec(), type_oid: 17, type_size: u16::MAX, binary: true };
    QueryResult { column, value: Some(value.to_vec()), tag: b"SELECT 1".to_vec() }
}

/// Appends a `ParameterStatus` message, by which a node reports its state with an answer.
pub fn encode_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    out.push(b'S');
    out.extend((name.len() as u32 + value.len() as u32 + 6).to_be_bytes());
    out.extend([name.as_bytes(), &[0], value.as_bytes(), &[0]].concat());
}

/// Reads and decodes the next message. Returns `None` at the end of the stream, on an error and for an
/// invalid message.
pub fn read_message<T>(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, pg::ProtocolViolation>,
) -> Option<T> {
    loop {
        if let Some((message, consumed)) = decode(buffer).ok()? {
            buffer.drain(..consumed);
            return Some(message);
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend(&chunk[..count]),
        }
    }
}
