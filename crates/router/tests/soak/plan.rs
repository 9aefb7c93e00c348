//! The plan of a run: its parameters and the events to inject, drawn from the seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{RouterIndex, ServerIndex};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How long clients send requests.
const DURATION: Duration = ms(9000);
/// How many times the processes of each router are paused briefly.
const PAUSES: usize = 6;

/// How a server handles connections and statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    Answer,
    /// Reads statements and does not answer until its behavior changes.
    Hang,
    /// Closes the connection when a statement has arrived.
    Reset,
    /// Closes each new connection at once, and each existing one at its next statement.
    RefuseConnections,
    /// Sends answers in small pieces.
    Trickle,
    Error,
    /// Rejects statements because of too many connections.
    Reject,
}

/// How discovery handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryBehavior {
    Answer,
    /// Queues calls for about as long as it may before it must reject them. Rejects half of them at once.
    Overloaded,
    Refuse,
    /// Reads calls and does not answer.
    Hang,
    /// Sends answers in small pieces.
    Trickle,
    /// Closes the connection in the middle of an answer.
    Truncate,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    SetServer(ServerIndex, ServerBehavior),
    /// Stops replication to a replica (false) or resumes it (true).
    SetReplication(ServerIndex, bool),
    Drain(ServerIndex),
    SetDiscovery(DiscoveryBehavior),
    /// SIGHUP, with discovery at its second address (true) or at its first (false).
    Reload(RouterIndex, bool),
    /// SIGTERM, then SIGKILL as early as the platform may send it, then a new process.
    Restart(RouterIndex),
    Kill(RouterIndex),
    /// SIGSTOP, then SIGCONT after this time.
    Pause(RouterIndex, Duration),
    /// Another signal, sent only if the process is shutting down.
    Signal(RouterIndex, &'static str),
}

#[derive(Debug)]
pub struct Plan {
    pub seed: u64,
    pub duration: Duration,
    pub routers: usize,
    pub servers: usize,
    pub clients: usize,
    /// Idle clients, which use up the descriptors.
    pub idle_clients: usize,
    pub sockets: usize,
    pub longest_deadline: Duration,
    pub drain_grace: Duration,
    pub service_time: Duration,
    /// Sorted by time since the start of the run.
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

    /// Some servers fail for a while, some drain. The first server is the primary and never drains.
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
        // The primary fails as well, which must not cause writes to run twice.
        for _ in 0..2 {
            let (at, faults) = (self.random_time(rng), [Hang, Reset, RefuseConnections]);
            self.events.push((at, Event::SetServer(0, faults[rng.random_range(0..faults.len())])));
            let until = at + ms(rng.random_range(200..1200));
            self.events.push((until, Event::SetServer(0, ServerBehavior::Answer)));
        }
        let (lagging, at) = (rng.random_range(1..self.servers), self.random_time(rng));
        self.events.push((at, Event::SetReplication(lagging, false)));
        self.events.push((at + ms(rng.random_range(300..2500)), Event::SetReplication(lagging, true)));
        for draining in 2..self.servers {
            if rng.random_bool(0.6) {
                self.events.push((self.random_time(rng), Event::Drain(draining)));
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

    /// Every router except the first is restarted or killed once. Reloads and further signals come in bursts.
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
            // The routers are restarted one after the other, so that clients can always connect to one.
            let at = self.duration.mul_f64(0.1 + 0.35 * (router as f64 - 1.0)) + ms(rng.random_range(0..400));
            if rng.random_bool(0.2) {
                self.events.push((at, Event::Kill(router)));
                continue;
            }
            self.events.push((at, Event::Restart(router)));
            if rng.random_bool(0.5) {
                // A pause across the time by which the router must have answered everything.
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
