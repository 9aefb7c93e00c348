//! What is to happen in a run, drawn by its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{RouterIndex, ServerIndex};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How long clients go on asking.
const DURATION: Duration = ms(9000);
/// How often each router's processes are paused for a moment.
const PAUSES: usize = 6;

/// What a server does with statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    Answer,
    /// Takes statements and says nothing until it does something else.
    Hang,
    /// Ends the connection once a statement is complete.
    Reset,
    /// Ends each new connection at once, and each used one at its next statement.
    RefuseConnections,
    /// Answers in pieces.
    Trickle,
    Error,
    /// Rejects statements, as it is full.
    Reject,
}

/// What discovery does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryBehavior {
    Answer,
    /// Calls are queued for about as long as they may; half are refused at once.
    Overloaded,
    Refuse,
    /// Calls are taken and not answered.
    Hang,
    /// Answers come in pieces.
    Trickle,
    /// Answers break off.
    Truncate,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    SetServer(ServerIndex, ServerBehavior),
    /// The log of a replica stands still from now on, or goes on.
    SetReplication(ServerIndex, bool),
    Drain(ServerIndex),
    SetDiscovery(DiscoveryBehavior),
    /// SIGHUP, with discovery elsewhere or where it was.
    Reload(RouterIndex, bool),
    /// SIGTERM, and SIGKILL as early as it may come; then a new process.
    Restart(RouterIndex),
    Kill(RouterIndex),
    /// A process is paused for this long.
    Pause(RouterIndex, Duration),
    /// Another signal, of any kind, to one that may be stopping.
    Signal(RouterIndex, &'static str),
}

#[derive(Debug)]
pub struct Plan {
    pub seed: u64,
    pub duration: Duration,
    pub routers: usize,
    pub servers: usize,
    pub clients: usize,
    /// Idle clients that fill the descriptors.
    pub idle_clients: usize,
    pub sockets: usize,
    pub longest_deadline: Duration,
    pub drain_grace: Duration,
    pub service_time: Duration,
    /// In order of time.
    pub events: Vec<(Duration, Event)>,
}

impl Plan {
    pub fn from_seed(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (routers, servers) = (rng.random_range(2..=3), rng.random_range(4..=6));
        let with_idle_clients = seed.is_multiple_of(4);
        let mut plan = Self {
            seed,
            duration: DURATION,
            routers,
            servers,
            clients: rng.random_range(8..=16),
            idle_clients: if with_idle_clients { 60 } else { 0 },
            sockets: if with_idle_clients { 96 } else { 300 },
            longest_deadline: [ms(600), ms(1500), ms(3000)][rng.random_range(0..3)],
            drain_grace: [ms(250), ms(1000), ms(2000)][rng.random_range(0..3)],
            service_time: ms(rng.random_range(2..15)),
            events: Vec::new(),
        };
        plan.draw_servers(&mut rng);
        plan.draw_discovery(&mut rng);
        plan.draw_signals(&mut rng);
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    fn random_time(&self, rng: &mut ChaCha8Rng) -> Duration {
        self.duration.mul_f64(rng.random_range(0.05..0.85))
    }

    /// Some servers fail for a while, some drain. The first is the primary, and never drains.
    fn draw_servers(&mut self, rng: &mut ChaCha8Rng) {
        use ServerBehavior::{Error, Hang, RefuseConnections, Reject, Reset, Trickle};
        for _ in 0..rng.random_range(6..14) {
            let (server, at) = (rng.random_range(0..self.servers), self.random_time(rng));
            let faults = [Hang, Reset, RefuseConnections, Trickle, Error, Reject];
            let fault = faults[rng.random_range(0..faults.len())];
            let until = at + ms(rng.random_range(100..2000));
            self.events.push((at, Event::SetServer(server, fault)));
            self.events.push((until, Event::SetServer(server, ServerBehavior::Answer)));
        }
        // The primary, too: writes must not run twice for it.
        for _ in 0..2 {
            let (at, faults) = (self.random_time(rng), [Hang, Reset, RefuseConnections]);
            self.events.push((at, Event::SetServer(0, faults[rng.random_range(0..faults.len())])));
            let until = at + ms(rng.random_range(200..1200));
            self.events.push((until, Event::SetServer(0, ServerBehavior::Answer)));
        }
        let (lags, at) = (rng.random_range(1..self.servers), self.random_time(rng));
        self.events.push((at, Event::SetReplication(lags, false)));
        self.events.push((at + ms(rng.random_range(300..2500)), Event::SetReplication(lags, true)));
        for drains in 2..self.servers {
            if rng.random_bool(0.6) {
                self.events.push((self.random_time(rng), Event::Drain(drains)));
            }
        }
    }

    fn draw_discovery(&mut self, rng: &mut ChaCha8Rng) {
        use DiscoveryBehavior::{Answer, Hang, Overloaded, Refuse, Trickle, Truncate};
        let mut at = ms(rng.random_range(0..1500));
        while at < self.duration {
            let faults = [Overloaded, Overloaded, Refuse, Hang, Trickle, Truncate];
            self.events.push((at, Event::SetDiscovery(faults[rng.random_range(0..faults.len())])));
            at += ms(rng.random_range(500..4500));
            self.events.push((at, Event::SetDiscovery(Answer)));
            at += ms(rng.random_range(500..3000));
        }
    }

    /// Each router but the first is restarted once, or killed; signals come in series.
    fn draw_signals(&mut self, rng: &mut ChaCha8Rng) {
        for router in 0..self.routers {
            let at = self.random_time(rng);
            for step in 0..rng.random_range(0..4) {
                self.events.push((at + ms(40 * step), Event::Reload(router, rng.random_bool(0.7))));
            }
            for _ in 0..PAUSES {
                let pause = ms(rng.random_range(20..150));
                self.events.push((self.random_time(rng), Event::Pause(router, pause)));
            }
            if router == 0 {
                continue;
            }
            // One after the other, so that clients always find one.
            let at = self.duration.mul_f64(0.1 + 0.35 * (router as f64 - 1.0)) + ms(rng.random_range(0..400));
            if rng.random_bool(0.2) {
                self.events.push((at, Event::Kill(router)));
                continue;
            }
            self.events.push((at, Event::Restart(router)));
            if rng.random_bool(0.5) {
                // Over the moment at which it has to have answered all.
                let end = at + self.longest_deadline.min(ms(3000)) + ms(300);
                let before = ms(rng.random_range(0..140));
                self.events.push((end - before, Event::Pause(router, ms(150))));
            }
            for _ in 0..rng.random_range(0..4) {
                let signal = ["-TERM", "-HUP"][rng.random_range(0..2)];
                let later = at + ms(rng.random_range(5..900));
                self.events.push((later, Event::Signal(router, signal)));
            }
        }
    }
}
