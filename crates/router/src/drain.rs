//! Graceful shutdown: sessions stay open for a while and are then closed gradually, and the listener is
//! closed without losing connections that have already arrived.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::{Async, Timer};

use crate::client::ClientSessions;
use crate::engine::{DeadlineRange, Engine};
use crate::socket_liveness::has_pending_connection;

/// How long new connections are accepted: the load balancer sends them for up to 0.4 s after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// The platform sends SIGKILL this long after SIGTERM plus the longest deadline.
const KILLED_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);
/// The platform counts any longer deadline as this one.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The shutdown is scheduled to end this long before SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// How often to check whether all RPCs are answered, and whether connections are pending at the listener.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The process exits this long before SIGKILL at the latest, even if sessions are open.
const EXIT_MARGIN: Duration = Duration::from_millis(50);
/// How long sessions have after the end to answer what has arrived.
const MAX_RUNNING_TIME_PAST_END: Duration = KILL_MARGIN.saturating_sub(EXIT_MARGIN);
/// Of the time between two checks, at most this much counts as running time. The process was paused for the
/// rest, and could not answer anything.
const MAX_RUNNING_TIME_OF_CHECK: Duration = Duration::from_millis(50);

/// The times of the steps of the shutdown.
struct Schedule {
    /// The first session is asked to close.
    closing_starts: Instant,
    /// All sessions have been asked to close: an RPC that arrives later would have less than the shortest
    /// deadline left.
    all_closed: Instant,
    /// The router no longer waits for any RPC.
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

    /// The fraction of sessions that should have been asked to close by now, from 0 to 1.
    fn closed_fraction(&self) -> f64 {
        let span = self.all_closed.saturating_duration_since(self.closing_starts).max(CHECK_INTERVAL);
        let elapsed = Instant::now().saturating_duration_since(self.closing_starts);
        elapsed.div_duration_f64(span).min(1.0)
    }
}

/// The time that the process has run since the end of the schedule, without pauses.
struct RunningTimePastEnd {
    elapsed: Duration,
    checked: Instant,
}

impl RunningTimePastEnd {
    fn new() -> Self {
        Self { elapsed: Duration::ZERO, checked: Instant::now() }
    }

    /// Adds the time since the last check, if the end has passed.
    fn check(&mut self, schedule: &Schedule) {
        let now = Instant::now();
        let past_end = now.saturating_duration_since(schedule.end.max(self.checked));
        self.elapsed += past_end.min(MAX_RUNNING_TIME_OF_CHECK);
        self.checked = now;
    }

    fn is_over(&self) -> bool {
        self.elapsed >= MAX_RUNNING_TIME_PAST_END
    }
}

/// Closes the sessions that were open when the closing began, the oldest first.
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

/// The listener and the task that accepts connections from it.
struct OpenListener<T> {
    listener: Rc<Async<TcpListener>>,
    accept_task: Task<T>,
}

impl<T> OpenListener<T> {
    /// Accepts the connections that are pending in the kernel, then closes the listener. If the descriptor
    /// limit is reached, this waits until other sessions have been closed.
    async fn close(self, clients: &Rc<ClientSessions>) {
        self.accept_task.cancel().await;
        clients.accept_remaining(&self.listener).await;
        drop(self.listener);
        log::info!("listener closed, draining {} sessions", clients.open_session_count());
    }
}

/// Serves the connected clients for as long as the platform allows, and closes their sessions gradually in
/// the second half of that time. Closing them gradually lets the load of the routers that take the clients
/// over rise slowly. Closing them late keeps that extra load as short as a restart allows, and a router that
/// is being started at the same time is up by then.
///
/// Returns when no session is left, or shortly before SIGKILL. Until then the sessions that are left answer
/// what has arrived: an exit would leave it without an answer, and would reset connections with unread bytes,
/// so that their clients could lose responses that are still in transit.
pub async fn drain<T>(
    clients: &Rc<ClientSessions>,
    engine: &Engine,
    listener: Rc<Async<TcpListener>>,
    accept_task: Task<T>,
) {
    let schedule = Schedule::new(Instant::now(), engine.deadline_range());
    engine.set_shutdown_deadline(schedule.end);
    Timer::after(ACCEPT_AFTER_SIGTERM).await;
    let mut open_listener = Some(OpenListener { listener, accept_task });
    let mut closer = SessionCloser { clients, sessions: clients.session_ids(), closed: 0 };
    let mut past_end = RunningTimePastEnd::new();
    while clients.open_session_count() > 0 && !past_end.is_over() || open_listener.is_some() {
        let can_close = |open: &mut OpenListener<T>| {
            !has_pending_connection(open.listener.get_ref()) || schedule.is_over()
        };
        if let Some(open_listener) = open_listener.take_if(can_close) {
            open_listener.close(clients).await;
        }
        closer.close_up_to(schedule.closed_fraction());
        if schedule.is_over() {
            clients.stop();
        }
        Timer::after(CHECK_INTERVAL).await;
        past_end.check(&schedule);
    }
}
