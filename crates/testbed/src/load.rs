//! Clients: each keeps to one router, asks at a set pace, and counts how every RPC ended.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use quillpoint_router::pg::{self, BackendMessage};

use crate::now;
use crate::replica_set::read_message;

/// Past its deadline by more than this, an answer is late: the rules allow 50 ms, and a busy machine some.
const LATE: Duration = Duration::from_millis(500);

/// How the RPCs ended.
#[derive(Default)]
pub struct RpcResults {
    pub ok: AtomicU64,
    pub rejected: AtomicU64,
    pub failed: AtomicU64,
    /// The connection broke while its router was down, or was brought down.
    pub interrupted: AtomicU64,
    /// No answer in time, or the connection broke while its router was up.
    pub lost: AtomicU64,
    /// Writes: answered ok under these ids, and pushed back under those.
    pub committed_ids: Mutex<Vec<String>>,
    pub rejected_ids: Mutex<Vec<String>>,
    /// Times from the sending to an ok answer, in microseconds.
    pub latencies_us: Mutex<Vec<u64>>,
}

impl RpcResults {
    pub fn total(&self) -> u64 {
        [&self.ok, &self.rejected, &self.failed, &self.interrupted, &self.lost]
            .iter()
            .map(|count| count.load(Ordering::SeqCst))
            .sum()
    }
}

/// When each router was not up: from a kill, or a stop, until it serves again.
#[derive(Default)]
pub struct Outages(Mutex<Vec<(usize, Duration, Option<Duration>)>>);

impl Outages {
    pub fn begin(&self, router: usize) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push((router, now(), None));
    }

    pub fn end(&self, router: usize) {
        let mut outages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for outage in outages.iter_mut().filter(|outage| outage.0 == router && outage.2.is_none()) {
            outage.2 = Some(now());
        }
    }

    fn touches(&self, router: usize, from: Duration, to: Duration) -> bool {
        let outages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        outages
            .iter()
            .any(|(at, begin, end)| *at == router && *begin <= to && end.is_none_or(|end| end >= from))
    }
}

pub struct LoadGenerator {
    pub results: Arc<RpcResults>,
    pub outages: Arc<Outages>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    /// So many clients at each router, each of which asks once in `every`: a write among three reads.
    pub fn start(routers: &[SocketAddr], clients: usize, every: Duration) -> Self {
        Self::with_methods(routers, clients, every, &["recent", "look", "recent", "enter"])
    }

    /// The same of these methods in turn: `recent` (bounded reads), `look` (any reads) and `enter` (writes).
    pub fn with_methods(
        routers: &[SocketAddr],
        clients: usize,
        every: Duration,
        methods: &'static [&'static str],
    ) -> Self {
        Self::with_replica_sets(routers, clients, every, methods, 1)
    }

    /// The same, where the statements of a router go to so many groups in turn.
    pub fn with_replica_sets(
        routers: &[SocketAddr],
        clients: usize,
        every: Duration,
        methods: &'static [&'static str],
        groups: usize,
    ) -> Self {
        let (results, outages, stop) =
            (Arc::<RpcResults>::default(), Arc::<Outages>::default(), Arc::<AtomicBool>::default());
        let mut handles = Vec::new();
        for (router, address) in routers.iter().enumerate() {
            for place in 0..clients {
                let client = Client {
                    router,
                    address: *address,
                    every,
                    results: Arc::clone(&results),
                    outages: Arc::clone(&outages),
                    stop: Arc::clone(&stop),
                    place,
                    clients,
                    methods,
                    groups,
                };
                handles.push(thread::spawn(move || client.run()));
            }
        }
        Self { results, outages, stop, clients: handles }
    }

    /// All have had their last answer when this returns.
    pub fn finish(mut self) -> Arc<RpcResults> {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| _ = client.join());
        Arc::clone(&self.results)
    }
}

/// Ids are new with every RPC of this process, whichever load asks it.
static IDS: AtomicU64 = AtomicU64::new(0);

/// A connection, what has been read of it, and when it was opened.
type Connection = (TcpStream, Vec<u8>, Duration);

struct Client {
    router: usize,
    address: SocketAddr,
    every: Duration,
    results: Arc<RpcResults>,
    outages: Arc<Outages>,
    stop: Arc<AtomicBool>,
    place: usize,
    clients: usize,
    methods: &'static [&'static str],
    groups: usize,
}

enum Ended {
    Ok,
    PushedBack,
    Aborted,
    Gone,
}

impl Client {
    fn run(&self) {
        let mut connection: Option<Connection> = None;
        // Clients start spread over their pace.
        thread::sleep(self.every.mul_f64((self.place as f64 * 0.37).fract()));
        for turn in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return;
            }
            let began = Instant::now();
            let Some((mut stream, mut unread, opened)) = connection.take().or_else(|| self.connect()) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            if self.rpc(turn, &mut stream, &mut unread, opened) {
                connection = Some((stream, unread, opened));
            }
            thread::sleep(self.every.saturating_sub(began.elapsed()));
        }
    }

    fn connect(&self) -> Option<Connection> {
        let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut out = Vec::new();
        pg::encode_startup(&mut out, "portal", "crm");
        stream.write_all(&out).ok()?;
        Some((stream, Vec::new(), now()))
    }

    /// One RPC to its end. Whether the connection may be used again.
    fn rpc(&self, turn: usize, stream: &mut TcpStream, unread: &mut Vec<u8>, opened: Duration) -> bool {
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        let class = self.methods[turn % self.methods.len()];
        let wait = if class == "enter" { 2000 } else { 1500 };
        let verb = match class {
            "enter" => format!("INSERT INTO facts (code, data) VALUES ('{id}', '\\x01') RETURNING data"),
            _ => "SELECT data FROM facts WHERE code = '7f3a'".to_string(),
        };
        let group = (turn * self.clients + self.place) % self.groups.max(1);
        let text = format!("/* id={id},c={class},d={wait},cluster={group} */ {verb}");
        let (sent, wait) = (now(), Duration::from_millis(wait));
        _ = stream.set_read_timeout(Some(wait + LATE));
        let ended = match stream.write_all(&pg::query_message(text.as_bytes())) {
            Ok(()) => answer(stream, unread),
            Err(_) => Ended::Gone,
        };
        let (end, tally) = (now(), &self.results);
        let keep = |ids: &Mutex<Vec<String>>| {
            if class == "enter" {
                ids.lock().unwrap_or_else(PoisonError::into_inner).push(id.clone());
            }
        };
        let excused = self.outages.touches(self.router, sent, end);
        let late = end > sent + wait + LATE;
        let count = match ended {
            // A connection that its router's end has broken shows it only when it is used next.
            Ended::Gone if self.outages.touches(self.router, opened, end) => &tally.interrupted,
            Ended::Gone => &tally.lost,
            _ if late && !excused => &tally.lost,
            Ended::Ok => {
                keep(&tally.committed_ids);
                let took = (end - sent).as_micros() as u64;
                tally.latencies_us.lock().unwrap_or_else(PoisonError::into_inner).push(took);
                &tally.ok
            }
            Ended::PushedBack => {
                keep(&tally.rejected_ids);
                &tally.rejected
            }
            Ended::Aborted => &tally.failed,
        };
        count.fetch_add(1, Ordering::SeqCst);
        !matches!(ended, Ended::Gone)
    }
}

fn answer(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Ended {
    let mut ended = None;
    loop {
        match read_message(stream, unread, pg::decode_backend_message) {
            None => return Ended::Gone,
            Some(BackendMessage::DataRow(_)) => ended = Some(Ended::Ok),
            Some(BackendMessage::ErrorResponse { code, .. }) if code == "53300" => {
                ended = Some(Ended::PushedBack)
            }
            Some(BackendMessage::ErrorResponse { .. }) => ended = Some(Ended::Aborted),
            Some(BackendMessage::ReadyForQuery) => {
                if let Some(ended) = ended {
                    return ended;
                }
            }
            Some(_) => {}
        }
    }
}
