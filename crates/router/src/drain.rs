//! Graceful shutdown: sessions go on for a while, are closed bit by bit, and the listener is closed without losing what
//! has come to it.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::{Async, Timer};

use crate::client::ClientSessions;
use crate::engine::{DeadlineRange, Engine};
use crate::socket_liveness::has_pending_connection;

/// How long new connections may still come: the front sends them for up to 0.4 s after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// The platform kills a router this long after its longest deadline, counted from SIGTERM.
const KILLED_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);
/// The platform counts no deadline longer than this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The time before the kill in which the router ends.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// How often it is checked whether all is answered, and whether connections wait at the listener.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How many checks past the end sessions have to write what was answered at the end. Checks are counted, and not time: a
/// process that was paused over the end must come to its responses first.
const MAX_CHECKS_PAST_END: usize = 10;

/// When the steps of the shutdown happen.
struct Schedule {
    /// Sessions begin to be closed.
    closing_starts: Instant,
    /// All sessions have been asked to close: an RPC that comes later would have too little time left.
    all_closed: Instant,
    /// No RPC is waited for any longer.
    end: Instant,
}

impl Schedule {
    fn new(sigterm: Instant, deadlines: DeadlineRange) -> Self {
        let kill = sigterm + deadlines.longest.min(MAX_COUNTED_DEADLINE) + KILLED_AFTER_LONGEST_DEADLINE;
        let end = kill - KILL_MARGIN;
        Self { closing_starts: sigterm + (end - sigterm) / 2, all_closed: end - deadlines.shortest, end }
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    /// The fraction of sessions that are to have been asked to close by now, from 0 to 1.
    fn closed_fraction(&self) -> f64 {
        let span = self.all_closed.saturating_duration_since(self.closing_starts).max(CHECK_INTERVAL);
        let elapsed = Instant::now().saturating_duration_since(self.closing_starts);
        elapsed.div_duration_f64(span).min(1.0)
    }
}

/// The sessions that were open when the closing began, the oldest first.
struct SessionCloser<'a> {
    clients: &'a ClientSessions,
    sessions: Vec<u64>,
    closed: usize,
}

impl SessionCloser<'_> {
    /// Asks sessions to close until this fraction of them has been asked.
    fn close_up_to(&mut self, fraction: f64) {
        let due = (self.sessions.len() as f64 * fraction).ceil() as usize;
        for session in &self.sessions[self.closed..due] {
            self.clients.close_when_idle(*session);
        }
        self.closed = due;
        if fraction >= 1.0 {
            self.clients.drain();
        }
    }
}

/// The listener and the task that accepts from it.
struct OpenListener<T> {
    listener: Rc<Async<TcpListener>>,
    accepting: Task<T>,
}

impl<T> OpenListener<T> {
    /// Takes in what the kernel has accepted, and closes the listener. Where descriptors are short that takes until
    /// other sessions have been closed.
    async fn close(self, clients: &Rc<ClientSessions>) {
        self.accepting.cancel().await;
        clients.accept_remaining(&self.listener).await;
        drop(self.listener);
        log::info!("listener closed, draining {} sessions", clients.open_session_count());
    }
}

/// Goes on serving the clients that it has for as long as it may. In the second half of that time it closes their
/// sessions bit by bit: the routers that take them over then see their load grow, and not leap, for no longer than a
/// restart must take, and one that is just being started itself is up. Ends when no session is left.
pub async fn drain<T>(
    clients: &Rc<ClientSessions>,
    engine: &Engine,
    listener: Rc<Async<TcpListener>>,
    accepting: Task<T>,
) {
    let schedule = Schedule::new(Instant::now(), engine.deadline_range());
    engine.set_shutdown_deadline(schedule.end);
    Timer::after(ACCEPT_AFTER_SIGTERM).await;
    let mut open_listener = Some(OpenListener { listener, accepting });
    let mut closer = SessionCloser { clients, sessions: clients.session_ids(), closed: 0 };
    let mut checks_past_end = 0;
    // Past the end only sessions are open that have not asked, or do not read.
    while clients.open_session_count() > 0 && checks_past_end < MAX_CHECKS_PAST_END || open_listener.is_some()
    {
        let may_close = |open: &mut OpenListener<T>| {
            !has_pending_connection(open.listener.get_ref()) || schedule.is_over()
        };
        if let Some(open_listener) = open_listener.take_if(may_close) {
            open_listener.close(clients).await;
        }
        closer.close_up_to(schedule.closed_fraction());
        Timer::after(CHECK_INTERVAL).await;
        checks_past_end += usize::from(schedule.is_over());
    }
}
