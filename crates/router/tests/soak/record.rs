//! What happened in a run, by whoever saw it.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A server, and a router, by their places.
pub type ServerIndex = usize;
pub type RouterIndex = usize;

/// A statement that arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub class: String,
    pub server: ServerIndex,
    pub router: RouterIndex,
    /// When its first byte was seen, and its last.
    pub first: Instant,
    pub complete: Instant,
    /// How long the router says that it waits.
    pub wait: Duration,
    /// What the server had applied was too old for a bounded read.
    pub stale: bool,
    /// The server answered that nothing ran.
    pub never_ran: bool,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    Value,
    Error(String),
    /// The connection ended without an answer.
    Closed,
    /// No answer came for far longer than the client waits.
    Silent,
    /// The client closed its connection first.
    ClientDisconnected,
}

/// A request of a client on one connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: String,
    pub router: RouterIndex,
    pub process: usize,
    /// Before its last bytes were written, and after.
    pub begun: Instant,
    pub sent: Instant,
    pub wait: Duration,
    pub ended: Instant,
    pub ending: Ending,
}

/// A list that discovery has written completely to a router.
#[derive(Clone, Copy, Debug)]
pub struct ListDelivery {
    pub router: RouterIndex,
    pub version: usize,
    pub at: Instant,
}

/// A process of a router.
#[derive(Clone, Copy, Debug)]
pub struct Lifetime {
    pub router: RouterIndex,
    pub process: usize,
    pub started: Instant,
    /// The version of the list that it started with.
    pub known_version: usize,
    pub told_to_stop: Option<Instant>,
    /// When it ended, and whether by itself.
    pub ended: Option<(Instant, bool)>,
}

/// From one moment to the other.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub from: Instant,
    pub to: Instant,
}

#[derive(Default)]
pub struct Record {
    pub arrivals: Mutex<Vec<Arrival>>,
    pub requests: Mutex<Vec<Request>>,
    pub list_deliveries: Mutex<Vec<ListDelivery>>,
    /// Versions of the list: when each came to be.
    pub versions: Mutex<Vec<Instant>>,
    /// Which version first says that a server drains.
    pub drains: Mutex<Vec<(ServerIndex, usize)>>,
    /// When discovery answered fresh calls at once.
    pub reachable: Mutex<Vec<Span>>,
    /// By how much this machine woke a thread too late, and when.
    late: Mutex<Vec<(Instant, Duration)>>,
    pub over: AtomicBool,
}

/// How often it is checked how late the machine is.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Less is no lateness.
const MIN_LATENESS: Duration = Duration::from_millis(3);

pub struct EndsRun<'a>(&'a Record);

impl Drop for EndsRun<'_> {
    fn drop(&mut self) {
        self.0.over.store(true, Ordering::SeqCst);
    }
}

impl Record {
    /// Says that the run is over when it is dropped, so that nothing waits for one that has panicked.
    pub fn ends(&self) -> EndsRun<'_> {
        EndsRun(self)
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Notes by how much the machine is late, until the run is over.
    pub fn record_lateness(&self) {
        while !self.is_over() {
            let due = Instant::now() + CHECK_INTERVAL;
            thread::sleep(CHECK_INTERVAL);
            let late = due.elapsed();
            if late > MIN_LATENESS {
                self.late.lock().unwrap().push((due, late));
            }
        }
    }

    /// How much of that time the machine kept a thread waiting: what was seen in it may be so much too late.
    pub fn lateness(&self, from: Instant, to: Instant) -> Duration {
        let late = self.late.lock().unwrap();
        late.iter().filter(|(at, late)| *at <= to && *at + *late >= from).map(|(_, late)| *late).sum()
    }
}
