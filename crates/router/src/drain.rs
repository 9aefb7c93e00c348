//! The end of a router.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};

use crate::client::Clients;
use crate::engine::Engine;
use crate::presence::has_waiting;

/// The front sends new connections for up to 0.4 s after SIGTERM; this is that and a margin.
const STILL_SENT_TO: Duration = Duration::from_millis(500);
/// A router that was told to stop is killed so long after the longest deadline (at most the one below), less a
/// margin in which to end.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LONGEST_WAIT: Duration = Duration::from_secs(3);
const MARGIN: Duration = Duration::from_millis(400);
/// How often it is looked whether all is answered, and whether connections wait at the listener.
const LOOK: Duration = Duration::from_millis(5);
/// So many looks past the end sessions have to write what was answered at the end. Looks are counted, and not time: a
/// process that was held up over the end must come to its answers first.
const LOOKS_PAST_THE_END: usize = 10;

/// Goes on serving the clients that it has for as long as it may. In the second half of that time it lets go of
/// them bit by bit: the routers that take them over then see their load grow, and not leap, for no longer than a
/// restart must take, and one that is just being started itself is up. Ends when no session is left.
pub async fn drain<T>(
    clients: &Rc<Clients>,
    engine: &Engine,
    listener: Rc<Async<TcpListener>>,
    accepting: async_executor::Task<T>,
) {
    let told = Instant::now();
    let (shortest, longest) = engine.deadlines();
    let end = told + longest.min(LONGEST_WAIT) + KILLED_AFTER - MARGIN;
    engine.end_by(end);
    Timer::after(STILL_SENT_TO).await;
    let mut listening = Some((listener, accepting));
    // An RPC that comes later than the second of these would have too little time left.
    let (start, all_closed) = (told + (end - told) / 2, end - shortest);
    let sessions = clients.sessions();
    let (mut closed, mut looks_past_the_end) = (0, 0);
    // Past the end only sessions are open that have not asked, or do not read.
    while clients.open_sessions() > 0 && looks_past_the_end < LOOKS_PAST_THE_END || listening.is_some() {
        // The kernel has accepted what waits at the listener: it is taken in before that is closed. Where
        // descriptors are short that takes until other sessions have been let go.
        if let Some((listener, accepting)) =
            listening.take_if(|(listener, _)| !has_waiting(listener.get_ref()) || Instant::now() >= end)
        {
            accepting.cancel().await;
            clients.accept_rest(&listener).await;
            drop(listener);
            log::info!("no new sessions are taken, {} sessions go on", clients.open_sessions());
        }
        let span = all_closed.saturating_duration_since(start).max(LOOK);
        let part = Instant::now().saturating_duration_since(start).div_duration_f64(span).min(1.0);
        let due = (sessions.len() as f64 * part).ceil() as usize;
        sessions[closed..due].iter().for_each(|session| clients.close(*session));
        closed = due;
        if part >= 1.0 {
            clients.drain();
        }
        Timer::after(LOOK).await;
        looks_past_the_end += usize::from(Instant::now() >= end);
    }
}
