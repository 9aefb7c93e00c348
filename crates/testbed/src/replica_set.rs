//! A group of nodes: a primary and replicas that lag by a set time, each on a port of its own. Every query and probe
//! that arrives is entered in its observations, which share no code with a router's decisions.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use quillpoint_router::pg::{self, Column, FrontendMessage, QueryResult, StartupPacket};

use crate::now;

/// How stale a bounded read may be here, and the allowance of the rules on sockets.
pub const STALENESS_BOUND: Duration = Duration::from_millis(300);
const ALLOWED: Duration = Duration::from_millis(50);

/// What has reached a node.
#[derive(Default)]
struct Observations {
    probes: Vec<Duration>,
    /// All that tells a router of the node: probes and answers.
    contacts: Vec<Duration>,
    rpcs: Vec<Duration>,
    /// Bounded reads that were sent here though the node was too far behind, and have been answered.
    stale: u64,
}

struct Inner {
    observations: Mutex<Observations>,
    up: AtomicBool,
    /// How long a probe waits for its answer, in milliseconds.
    slow_ms: AtomicU64,
    /// By how much a probe's answer says that the log is further than it is, in milliseconds.
    boast_ms: AtomicU64,
}

/// One node.
#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    pub primary: bool,
    lag: Duration,
    inner: Arc<Inner>,
    ledger: Arc<Mutex<BTreeMap<String, u32>>>,
}

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A group whose first node is the primary.
pub struct ReplicaSet {
    pub nodes: Vec<Node>,
    ledger: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl ReplicaSet {
    /// A primary and a replica for each lag.
    pub fn start(lags: &[Duration]) -> std::io::Result<Self> {
        let ledger = Arc::<Mutex<BTreeMap<String, u32>>>::default();
        let primary = [(true, Duration::ZERO)].into_iter();
        let all = primary.chain(lags.iter().map(|lag| (false, *lag)));
        let nodes = all.map(|(primary, lag)| Node::start(primary, lag, Arc::clone(&ledger)));
        Ok(Self { nodes: nodes.collect::<Result<_, _>>()?, ledger })
    }

    /// How many writes ran, and how many of them more than once.
    pub fn write_counts(&self) -> (usize, usize) {
        let ledger = held(&self.ledger);
        (ledger.len(), ledger.values().filter(|runs| **runs > 1).count())
    }

    /// Whether the write under this id has run.
    pub fn has_executed(&self, id: &str) -> bool {
        held(&self.ledger).contains_key(id)
    }
}

impl Node {
    fn start(
        primary: bool,
        lag: Duration,
        ledger: Arc<Mutex<BTreeMap<String, u32>>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let inner = Arc::new(Inner {
            observations: Mutex::default(),
            up: AtomicBool::new(true),
            slow_ms: AtomicU64::new(0),
            boast_ms: AtomicU64::new(0),
        });
        let node = Self { address: listener.local_addr()?, primary, lag, inner, ledger };
        let served = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let node = served.clone();
                thread::spawn(move || node.serve(stream));
            }
        });
        Ok(node)
    }

    pub fn set_available(&self, up: bool) {
        self.inner.up.store(up, Ordering::SeqCst);
    }

    /// From now on probes are answered so much later, as beyond a slow link.
    pub fn delay_probes(&self, by: Duration) {
        self.inner.slow_ms.store(by.as_millis() as u64, Ordering::SeqCst);
    }

    /// From now on what probes are told of the log is so much further than it is; other answers tell the truth.
    pub fn overstate_log_position(&self, by: Duration) {
        self.inner.boast_ms.store(by.as_millis() as u64, Ordering::SeqCst);
    }

    fn is_up(&self) -> bool {
        self.inner.up.load(Ordering::SeqCst)
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        held(&self.inner.observations)
    }

    /// The probes that came from then on.
    pub fn probes_since(&self, from: Duration) -> usize {
        self.observations().probes.iter().filter(|at| **at >= from).count()
    }

    /// The RPCs that came within a span.
    pub fn rpcs_between(&self, from: Duration, to: Duration) -> usize {
        self.observations().rpcs.iter().filter(|at| (from..to).contains(at)).count()
    }

    pub fn stale_reads(&self) -> u64 {
        self.observations().stale
    }

    /// The longest time within the span in which nothing reached the node that tells a router of it.
    pub fn longest_contact_gap(&self, from: Duration, to: Duration) -> Duration {
        let observations = self.observations();
        let within = observations.contacts.iter().copied().filter(|at| (from..=to).contains(at));
        let mut times: Vec<Duration> = within.chain([from, to]).collect();
        times.sort();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }

    /// The times from one contact to the next within the span.
    pub fn contact_gaps(&self, from: Duration, to: Duration) -> Vec<Duration> {
        let observations = self.observations();
        let mut times: Vec<Duration> =
            observations.contacts.iter().copied().filter(|at| (from..=to).contains(at)).collect();
        times.sort();
        times.windows(2).map(|pair| pair[1] - pair[0]).collect()
    }

    fn position(&self) -> Duration {
        now() - self.lag
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut unread = Vec::new();
        if read_message(&mut stream, &mut unread, pg::decode_startup_packet) != Some(StartupPacket::Startup)
            || !self.is_up()
        {
            return;
        }
        let mut out = Vec::new();
        pg::encode_session_start(&mut out, None);
        if stream.write_all(&out).is_err() {
            return;
        }
        while let Some(FrontendMessage::Query(text)) =
            read_message(&mut stream, &mut unread, pg::decode_frontend_message)
        {
            if !self.is_up() {
                return;
            }
            let text = String::from_utf8_lossy(&text);
            if text == "SHOW load" {
                thread::sleep(Duration::from_millis(self.inner.slow_ms.load(Ordering::SeqCst)));
            }
            let out = self.answer(&text);
            if stream.write_all(&out).is_err() {
                return;
            }
        }
    }

    /// The whole answer to a query, which is entered in the observations.
    fn answer(&self, text: &str) -> Vec<u8> {
        let (at, mut out) = (now(), Vec::new());
        let load =
            |position: Duration| format!("x0={:.6},x1={}", position.as_secs_f64(), u8::from(self.primary));
        let mut observations = self.observations();
        if text == "SHOW load" {
            observations.probes.push(at);
            observations.contacts.push(at);
            let boast = Duration::from_millis(self.inner.boast_ms.load(Ordering::SeqCst));
            pg::encode_result(&mut out, &single_value_result(load(self.position() + boast).as_bytes()));
            pg::encode_ready_for_query(&mut out);
            return out;
        }
        observations.rpcs.push(at);
        observations.contacts.push(at);
        if text.contains("INSERT") && !self.primary {
            drop(observations);
            pg::encode_error(&mut out, false, "25006", "this is a replica", None);
        } else {
            // A read that no bound allows here counts against the router that sent it.
            let bounded = text.contains("c=recent,");
            let stale = bounded && self.position() + STALENESS_BOUND + ALLOWED < at;
            observations.stale += u64::from(stale);
            drop(observations);
            if text.contains("INSERT")
                && let Some(id) = word(text, "id=")
            {
                *held(&self.ledger).entry(id.to_string()).or_default() += 1;
            }
            // Whoever gets it can tell.
            pg::encode_result(&mut out, &single_value_result(if stale { b"stale" } else { b"v" }));
        }
        encode_parameter_status(&mut out, "role", if self.primary { "primary" } else { "replica" });
        encode_parameter_status(&mut out, "applied_ms", &self.position().as_millis().to_string());
        encode_parameter_status(&mut out, "load", &load(self.position()));
        pg::encode_ready_for_query(&mut out);
        out
    }
}

/// What stands behind the name, up to the next comma or blank.
fn word<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(name).nth(1)?.split([',', ' ']).next()
}

/// An answer of one row with this value.
pub fn single_value_result(value: &[u8]) -> QueryResult {
    let column = Column { name: b"data".to_vec(), type_oid: 17, type_size: u16::MAX, binary: true };
    QueryResult { column, value: Some(value.to_vec()), tag: b"SELECT 1".to_vec() }
}

/// What a node says beside an answer.
pub fn encode_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    out.push(b'S');
    out.extend((name.len() as u32 + value.len() as u32 + 6).to_be_bytes());
    out.extend([name.as_bytes(), &[0], value.as_bytes(), &[0]].concat());
}

/// The next whole message; `None` at the end, and for what is none.
pub fn read_message<T>(
    stream: &mut TcpStream,
    unread: &mut Vec<u8>,
    decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, pg::ProtocolViolation>,
) -> Option<T> {
    loop {
        if let Some((message, taken)) = decode(unread).ok()? {
            unread.drain(..taken);
            return Some(message);
        }
        let mut piece = [0; 4096];
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(count) => unread.extend(&piece[..count]),
        }
    }
}
