//! What is to happen in a run, drawn by its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{RouterNo, ServerNo};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How long clients go on asking.
const LASTS: Duration = ms(9000);
/// So often each router's processes are held up for a moment.
const HOLD_UPS: usize = 6;

/// What a server does with statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Serving {
    Answers,
    /// Takes statements and says nothing until it does something else.
    Hangs,
    /// Ends the connection once a statement is whole.
    Resets,
    /// Ends each new connection at once, and each used one at its next statement.
    Refuses,
    /// Answers in pieces.
    Dribbles,
    Errs,
    /// Says that it is full.
    IsFull,
}

/// What discovery does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answering {
    AtOnce,
    /// Calls wait in line for about as long as they may; half are refused at once.
    Crowded,
    Refuses,
    /// Calls are taken and not answered.
    Silent,
    /// Answers come in pieces.
    Dribbles,
    /// Answers break off.
    Cuts,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Serving(ServerNo, Serving),
    /// The log of a replica stands still from now on, or goes on.
    Applying(ServerNo, bool),
    Drain(ServerNo),
    Discovery(Answering),
    /// SIGHUP, with discovery elsewhere or where it was.
    Reload(RouterNo, bool),
    /// SIGTERM, and SIGKILL as early as it may come; then a new process.
    Restart(RouterNo),
    Kill(RouterNo),
    /// A process is held up for this long.
    HoldUp(RouterNo, Duration),
    /// Another signal, of any kind, to one that may be stopping.
    Signal(RouterNo, &'static str),
}

#[derive(Debug)]
pub struct Plan {
    pub seed: u64,
    pub lasts: Duration,
    pub routers: usize,
    pub servers: usize,
    pub clients: usize,
    /// Idle clients that fill the descriptors.
    pub crowd: usize,
    pub sockets: usize,
    pub longest_deadline: Duration,
    pub drain_grace: Duration,
    pub takes: Duration,
    /// In order of time.
    pub events: Vec<(Duration, Event)>,
}

impl Plan {
    pub fn of(seed: u64) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let (routers, servers) = (chance.random_range(2..=3), chance.random_range(4..=6));
        let with_crowd = seed.is_multiple_of(4);
        let mut plan = Self {
            seed,
            lasts: LASTS,
            routers,
            servers,
            clients: chance.random_range(8..=16),
            crowd: if with_crowd { 60 } else { 0 },
            sockets: if with_crowd { 96 } else { 300 },
            longest_deadline: [ms(600), ms(1500), ms(3000)][chance.random_range(0..3)],
            drain_grace: [ms(250), ms(1000), ms(2000)][chance.random_range(0..3)],
            takes: ms(chance.random_range(2..15)),
            events: Vec::new(),
        };
        plan.draw_servers(&mut chance);
        plan.draw_discovery(&mut chance);
        plan.draw_signals(&mut chance);
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    fn moment(&self, chance: &mut ChaCha8Rng) -> Duration {
        self.lasts.mul_f64(chance.random_range(0.05..0.85))
    }

    /// Some servers fail for a while, some drain. The first is the primary, and never drains.
    fn draw_servers(&mut self, chance: &mut ChaCha8Rng) {
        use Serving::{Dribbles, Errs, Hangs, IsFull, Refuses, Resets};
        for _ in 0..chance.random_range(6..14) {
            let (server, at) = (chance.random_range(0..self.servers), self.moment(chance));
            let faults = [Hangs, Resets, Refuses, Dribbles, Errs, IsFull];
            let fault = faults[chance.random_range(0..faults.len())];
            let until = at + ms(chance.random_range(100..2000));
            self.events.push((at, Event::Serving(server, fault)));
            self.events.push((until, Event::Serving(server, Serving::Answers)));
        }
        // The primary, too: writes must not run twice for it.
        for _ in 0..2 {
            let (at, faults) = (self.moment(chance), [Hangs, Resets, Refuses]);
            self.events.push((at, Event::Serving(0, faults[chance.random_range(0..faults.len())])));
            let until = at + ms(chance.random_range(200..1200));
            self.events.push((until, Event::Serving(0, Serving::Answers)));
        }
        let (lags, at) = (chance.random_range(1..self.servers), self.moment(chance));
        self.events.push((at, Event::Applying(lags, false)));
        self.events.push((at + ms(chance.random_range(300..2500)), Event::Applying(lags, true)));
        for drains in 2..self.servers {
            if chance.random_bool(0.6) {
                self.events.push((self.moment(chance), Event::Drain(drains)));
            }
        }
    }

    fn draw_discovery(&mut self, chance: &mut ChaCha8Rng) {
        use Answering::{AtOnce, Crowded, Cuts, Dribbles, Refuses, Silent};
        let mut at = ms(chance.random_range(0..1500));
        while at < self.lasts {
            let faults = [Crowded, Crowded, Refuses, Silent, Dribbles, Cuts];
            self.events.push((at, Event::Discovery(faults[chance.random_range(0..faults.len())])));
            at += ms(chance.random_range(500..4500));
            self.events.push((at, Event::Discovery(AtOnce)));
            at += ms(chance.random_range(500..3000));
        }
    }

    /// Each router but the first is restarted once, or killed; signals come in series.
    fn draw_signals(&mut self, chance: &mut ChaCha8Rng) {
        for router in 0..self.routers {
            let at = self.moment(chance);
            for step in 0..chance.random_range(0..4) {
                self.events.push((at + ms(40 * step), Event::Reload(router, chance.random_bool(0.7))));
            }
            for _ in 0..HOLD_UPS {
                let held = ms(chance.random_range(20..150));
                self.events.push((self.moment(chance), Event::HoldUp(router, held)));
            }
            if router == 0 {
                continue;
            }
            // One after the other, so that clients always find one.
            let at = self.lasts.mul_f64(0.1 + 0.35 * (router as f64 - 1.0)) + ms(chance.random_range(0..400));
            if chance.random_bool(0.2) {
                self.events.push((at, Event::Kill(router)));
                continue;
            }
            self.events.push((at, Event::Restart(router)));
            if chance.random_bool(0.5) {
                // Over the moment at which it has to have answered all.
                let end = at + self.longest_deadline.min(ms(3000)) + ms(300);
                let before = ms(chance.random_range(0..140));
                self.events.push((end - before, Event::HoldUp(router, ms(150))));
            }
            for _ in 0..chance.random_range(0..4) {
                let signal = ["-TERM", "-HUP"][chance.random_range(0..2)];
                let later = at + ms(chance.random_range(5..900));
                self.events.push((later, Event::Signal(router, signal)));
            }
        }
    }
}
