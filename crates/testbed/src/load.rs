//! Clients that each send RPCs to one router at a fixed interval and count how every RPC ended.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use quillpoint_router::pg::{self, BackendMessage};

use crate::now;
use crate::replica_set::read_message;

/// An answer that comes more than this after its deadline is late. Routers may be 50 ms late; the rest allows
/// for a busy machine.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);

/// Counts of how the RPCs ended, with the ids of writes and the latencies.
#[derive(Default)]
pub struct RpcResults {
    /// RPCs that returned a row in time.
    pub ok: AtomicU64,
    /// RPCs that the router rejected with SQLSTATE 53300.
    pub rejected: AtomicU64,
    /// RPCs that returned any other error.
    pub failed: AtomicU64,
    /// RPCs that got no answer, where the router had an outage since the connection was opened.
    pub interrupted: AtomicU64,
    /// RPCs that got no answer in time although the router had no outage.
    pub lost: AtomicU64,
    /// Ids of the writes that returned a row.
    pub committed_ids: Mutex<Vec<String>>,
    /// Ids of the writes that were rejected.
    pub rejected_ids: Mutex<Vec<String>>,
    /// Times from sending to the answer of successful RPCs, in microseconds.
    pub latencies_us: Mutex<Vec<u64>>,
}

impl RpcResults {
    /// Returns the number of RPCs that have ended.
    pub fn total(&self) -> u64 {
        [&self.ok, &self.rejected, &self.failed, &self.interrupted, &self.lost]
            .iter()
            .map(|count| count.load(Ordering::SeqCst))
            .sum()
    }
}

/// The outages of routers: each lasts from a kill or a stop until the router serves again.
#[derive(Default)]
pub struct Outages(Mutex<Vec<(usize, Duration, Option<Duration>)>>);

impl Outages {
    /// Records that a router is going down now.
    pub fn begin(&self, router: usize) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push((router, now(), None));
    }

    /// Records that a router serves again.
    pub fn end(&self, router: usize) {
        let mut outages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for outage in outages.iter_mut().filter(|outage| outage.0 == router && outage.2.is_none()) {
            outage.2 = Some(now());
        }
    }

    /// Returns whether a router had an outage at any time within the span.
    fn overlap(&self, router: usize, from: Duration, to: Duration) -> bool {
        let outages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        outages
            .iter()
            .any(|(at, begin, end)| *at == router && *begin <= to && end.is_none_or(|end| end >= from))
    }
}

/// A running load: client threads at each router.
pub struct LoadGenerator {
    /// The results so far.
    pub results: Arc<RpcResults>,
    /// The outages to which broken connections are attributed; the caller records them.
    pub outages: Arc<Outages>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    /// Starts `clients` clients at each router. Each sends one RPC per `every`: three reads, then a write.
    pub fn start(routers: &[SocketAddr], clients: usize, interval: Duration) -> Self {
        Self::with_methods(routers, clients, interval, &["recent", "look", "recent", "enter"])
    }

    /// Like [`Self::start`], with these methods in turn: `recent` (bounded reads), `look` (any reads) and
    /// `enter` (writes).
    pub fn with_methods(
        routers: &[SocketAddr],
        clients: usize,
        interval: Duration,
        methods: &'static [&'static str],
    ) -> Self {
        Self::with_replica_sets(routers, clients, interval, methods, 1)
    }

    /// Like [`Self::with_methods`], with the statements sent to `groups` replica sets in turn.
    pub fn with_replica_sets(
        routers: &[SocketAddr],
        clients: usize,
        interval: Duration,
        methods: &'static [&'static str],
        groups: usize,
    ) -> Self {
        let (results, outages, stop) =
            (Arc::<RpcResults>::default(), Arc::<Outages>::default(), Arc::<AtomicBool>::default());
        let mut handles = Vec::new();
        for (router, address) in routers.iter().enumerate() {
            for index in 0..clients {
                let client = Client {
                    router,
                    address: *address,
                    interval,
                    results: Arc::clone(&results),
                    outages: Arc::clone(&outages),
                    stop: Arc::clone(&stop),
                    index,
                    clients,
                    methods,
                    groups,
                };
                handles.push(thread::spawn(move || client.run()));
            }
        }
        Self { results, outages, stop, clients: handles }
    }

    /// Stops the clients and waits until each has its last answer.
    pub fn finish(mut self) -> Arc<RpcResults> {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| _ = client.join());
        Arc::clone(&self.results)
    }
}

/// The next RPC id. Ids are unique in this process, across all loads.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// A connection, the bytes read from it but not yet decoded, and when it was opened.
type Connection = (TcpStream, Vec<u8>, Duration);

struct Client {
    router: usize,
    address: SocketAddr,
    interval: Duration,
    results: Arc<RpcResults>,
    outages: Arc<Outages>,
    stop: Arc<AtomicBool>,
    index: usize,
    clients: usize,
    methods: &'static [&'static str],
    groups: usize,
}

enum Outcome {
    Ok,
    Rejected,
    Failed,
    ConnectionLost,
}

impl Client {
    fn run(&self) {
        let mut connection: Option<Connection> = None;
        // Spreads the clients' first RPCs over the interval.
        thread::sleep(self.interval.mul_f64((self.index as f64 * 0.37).fract()));
        for turn in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return;
            }
            let started = Instant::now();
            let Some((mut stream, mut buffer, opened)) = connection.take().or_else(|| self.connect()) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            if self.rpc(turn, &mut stream, &mut buffer, opened) {
                connection = Some((stream, buffer, opened));
            }
            thread::sleep(self.interval.saturating_sub(started.elapsed()));
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

    /// Sends one RPC and waits for its outcome. Returns whether the connection can be used again.
    fn rpc(&self, turn: usize, stream: &mut TcpStream, buffer: &mut Vec<u8>, opened: Duration) -> bool {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let method = self.methods[turn % self.methods.len()];
        let deadline_ms = if method == "enter" { 2000 } else { 1500 };
        let sql = match method {
            "enter" => format!("INSERT INTO facts (code, data) VALUES ('{id}', '\\x01') RETURNING data"),
            _ => "SELECT data FROM facts WHERE code = '7f3a'".to_string(),
        };
        let group = (turn * self.clients + self.index) % self.groups.max(1);
        let text = format!("/* id={id},c={method},d={deadline_ms},cluster={group} */ {sql}");
        let (sent, deadline) = (now(), Duration::from_millis(deadline_ms));
        _ = stream.set_read_timeout(Some(deadline + LATE_TOLERANCE));
        let outcome = match stream.write_all(&pg::query_message(text.as_bytes())) {
            Ok(()) => read_outcome(stream, buffer),
            Err(_) => Outcome::ConnectionLost,
        };
        let (end, results) = (now(), &self.results);
        let record_write = |ids: &Mutex<Vec<String>>| {
            if method == "enter" {
                ids.lock().unwrap_or_else(PoisonError::into_inner).push(id.clone());
            }
        };
        let had_outage = self.outages.overlap(self.router, sent, end);
        let late = end > sent + deadline + LATE_TOLERANCE;
        let count = match outcome {
            // A client notices that an outage broke its connection only at the next use.
            Outcome::ConnectionLost if self.outages.overlap(self.router, opened, end) => &results.interrupted,
            Outcome::ConnectionLost => &results.lost,
            _ if late && !had_outage => &results.lost,
            Outcome::Ok => {
                record_write(&results.committed_ids);
                let latency_us = (end - sent).as_micros() as u64;
                results.latencies_us.lock().unwrap_or_else(PoisonError::into_inner).push(latency_us);
                &results.ok
            }
            Outcome::Rejected => {
                record_write(&results.rejected_ids);
                &results.rejected
            }
            Outcome::Failed => &results.failed,
        };
        count.fetch_add(1, Ordering::SeqCst);
        !matches!(outcome, Outcome::ConnectionLost)
    }
}

/// Reads messages until the RPC has ended.
fn read_outcome(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Outcome {
    let mut outcome = None;
    loop {
        match read_message(stream, buffer, pg::decode_backend_message) {
            None => return Outcome::ConnectionLost,
            Some(BackendMessage::DataRow(_)) => outcome = Some(Outcome::Ok),
            Some(BackendMessage::ErrorResponse { code, .. }) if code == "53300" => {
                outcome = Some(Outcome::Rejected)
            }
            Some(BackendMessage::ErrorResponse { .. }) => outcome = Some(Outcome::Failed),
            Some(BackendMessage::ReadyForQuery) => {
                if let Some(outcome) = outcome {
                    return outcome;
                }
            }
            Some(_) => {}
        }
    }
}
