//! The watch of the list of nodes: when discovery is called, and how long each part of a call may take.
//!
//! The one owner of the state "resting, calling, waiting to call again". It has no I/O, no clock and no threads:
//! times are handed in, as spans since any fixed moment.
//!
//! What it keeps, whatever fails: 6 s after discovery had a change and could be reached, the change is known here.
//! The longest ways to it, with an answer to a fresh call in [`ANSWERED`] at most:
//!
//! | what fails first | spans until the answer |
//! | --- | --- |
//! | a watch falls silent | `HOLD` + `SLACK`, then a call at once |
//! | its answer begins at the last moment and stalls | `HOLD` + `SLACK` + `BODY`, then `LONGEST_BACKOFF` |
//! | a call is connected to and never answered | `CONNECT` + `HEAD`, then `LONGEST_BACKOFF` |
//! | the same, and its answer stalls | `CONNECT` + `HEAD` + `BODY`, then `LONGEST_BACKOFF` |
//! | a call is refused, or breaks off | `LONGEST_BACKOFF` |
//!
//! A call whose time is over is not closed: discovery may be writing its answer just then, and what it has written
//! counts as told. A new call is made beside it, and whichever answers is heard; [`Versions`] says what of it is taken.

mod versions;

pub use versions::{Basis, Use, Versions};

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// By when a change counts as told, once discovery has it and can be reached.
pub const TOLD: Duration = millis(6000);
/// How long a fresh call is granted, within the sum, to be answered by a discovery that can be reached.
pub const ANSWERED: Duration = millis(500);
/// A router that no list has come to serves from then on all the same. It pushes RPCs back at once, with a time to
/// come back; one that never says it is ready passes for one that cannot start.
pub const READY: Duration = millis(5000);
/// The longest wait that a watch asks for: a silent one is found out only after it. The shortest keeps calls few.
const LONGEST_HOLD: Duration = millis(2750);
const SHORTEST_HOLD: Duration = millis(1000);
/// The part of the wait by which routers differ, by their seeds: a fleet that was cut off or started together would
/// else call together for good.
const SPREAD: f64 = 0.125;
/// A connection may take so long to come up: one lost packet is made up for.
const CONNECT: Duration = millis(1000);
/// A call that does not wait may take so long to be answered. Where discovery has many callers it refuses those that
/// have waited for [`REFUSED_AFTER`]: its own word comes first.
const HEAD: Duration = millis(2500);
/// The platform's discovery refuses a call that it has not come to by then.
const REFUSED_AFTER: Duration = millis(2000);
/// A watch is answered no later than this after its wait, or has fallen silent.
const SLACK: Duration = millis(1000);
/// The rest of an answer that has begun.
const BODY: Duration = millis(750);
/// An answer is still taken so long after the call for it began and its wait ended. Nothing is told by it then that
/// has not been told by calls that came later.
pub const ANSWER_TAKEN: Duration = millis(12_000);
/// So many calls whose time is over are kept open beside the newest one.
pub const MOST_LATE_CALLS: usize = 2;
/// The interval within which a failed call is made again, by chance anywhere in it; then twice as long each time.
const FIRST_BACKOFF: Duration = millis(500);
const LONGEST_BACKOFF: Duration = millis(1000);
/// The next call of a watch comes no later than 200 ms after an answer. If discovery answers at once that there is
/// nothing new, half of that keeps its calls from spinning.
const PAUSE: Duration = millis(100);

// The table above holds.
const _: () = {
    let after = LONGEST_BACKOFF.as_millis() + ANSWERED.as_millis();
    let watch = LONGEST_HOLD.as_millis() + SLACK.as_millis() + BODY.as_millis() + after;
    let call = CONNECT.as_millis() + HEAD.as_millis() + BODY.as_millis() + after;
    assert!(watch <= TOLD.as_millis() && call <= TOLD.as_millis());
    assert!(HEAD.as_millis() >= REFUSED_AFTER.as_millis() + ANSWERED.as_millis());
};

/// The parts of a call, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Connect,
    /// From the call to the end of the answer's head; what a watch waits is within it.
    Head,
    Body,
}

/// What a call that failed was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// A watch has fallen silent: it is begun anew at once.
    Watch,
    Call,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Nobody has asked for the list yet.
    Resting,
    /// To call from then on.
    Waiting(Duration),
    Calling {
        part: Part,
        since: Duration,
        began: Duration,
    },
}

pub struct ListWatch {
    state: State,
    /// What the next call, or the one that is out, waits for news.
    hold: Duration,
    full_hold: Duration,
    /// Calls that have failed in a row.
    failures: u32,
    chance: ChaCha8Rng,
}

impl ListWatch {
    /// A duty to ask each `ask_every`; `unasked` where the list is watched from the start.
    pub fn new(ask_every: Duration, unasked: bool, seed: u64) -> Self {
        let full_hold = ask_every.clamp(SHORTEST_HOLD, LONGEST_HOLD);
        Self {
            state: if unasked { State::Waiting(Duration::ZERO) } else { State::Resting },
            hold: Duration::ZERO,
            full_hold: full_hold.mul_f64(1.0 - SPREAD * (seed % 1024) as f64 / 1024.0),
            failures: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The list is wanted. A watch that stands, or is to be called for again, answers that.
    pub fn asked(&mut self, now: Duration) {
        if let State::Resting = self.state {
            self.state = State::Waiting(now);
        }
    }

    /// Discovery is elsewhere from now on; whatever is out is given up.
    pub fn moved(&mut self, now: Duration) {
        (self.state, self.hold, self.failures) = (State::Waiting(now), Duration::ZERO, 0);
    }

    /// When something is due: a call, or the end of the part that one is in.
    pub fn due(&self) -> Option<Duration> {
        match self.state {
            State::Resting => None,
            State::Waiting(until) => Some(until),
            State::Calling { part: Part::Connect, since, .. } => Some(since + CONNECT),
            State::Calling { part: Part::Head, since, .. } if self.hold.is_zero() => Some(since + HEAD),
            State::Calling { part: Part::Head, since, .. } => Some(since + self.hold + SLACK),
            State::Calling { part: Part::Body, since, .. } => Some(since + BODY),
        }
    }

    /// Begins a call if one is due by now: how long it waits for news.
    pub fn begin(&mut self, now: Duration) -> Option<Duration> {
        match self.state {
            State::Waiting(until) if until <= now => {
                self.state = State::Calling { part: Part::Connect, since: now, began: now };
                Some(self.hold)
            }
            _ => None,
        }
    }

    /// The call that is out has come to this part.
    pub fn reached(&mut self, now: Duration, next: Part) {
        if let State::Calling { part, since, .. } = &mut self.state {
            (*part, *since) = (next, now);
        }
    }

    /// The call has its whole answer, which held news or none.
    pub fn answered(&mut self, now: Duration, news: bool) {
        let State::Calling { began, .. } = self.state else { return };
        let at_once = !news && now.saturating_sub(began) < self.hold / 2;
        (self.hold, self.failures) = (self.full_hold, 0);
        self.state = State::Waiting(if at_once { now + PAUSE } else { now });
    }

    /// A call whose time was over has its whole answer after all. Discovery answers again, so that what was to be asked
    /// for after a pause is watched for from now on. A call that is out goes on.
    pub fn answered_late(&mut self, now: Duration) {
        if let State::Waiting(_) = self.state {
            (self.hold, self.failures, self.state) = (self.full_hold, 0, State::Waiting(now));
        }
    }

    /// The call has come to nothing, or its part to its end.
    pub fn failed(&mut self, now: Duration) -> Failed {
        let silent = matches!(self.state, State::Calling { part: Part::Head, since, .. }
            if !self.hold.is_zero() && since + self.hold + SLACK <= now);
        self.hold = Duration::ZERO;
        if silent {
            self.state = State::Waiting(now);
            return Failed::Watch;
        }
        // Guards against routers that were refused together and come back together: anywhere in the interval.
        let longest = (FIRST_BACKOFF * 2u32.pow(self.failures.min(8))).min(LONGEST_BACKOFF);
        self.failures += 1;
        self.state = State::Waiting(now + longest.mul_f64(self.chance.random_range(0.0..1.0)));
        Failed::Call
    }
}
