//! The long poll of the endpoint list: when discovery is polled, and how long each phase of a poll may take.
//!
//! [`DiscoveryWatch`] is the one owner of the state "idle, polling, backing off". It has no I/O, no clock and no threads: times
//! are handed in, as spans since any fixed moment.
//!
//! It guarantees, whatever fails: [`MAX_PROPAGATION_DELAY`] after discovery had a change and could be reached, the change is known
//! here. The longest ways to it, with an answer to a fresh poll within [`FRESH_POLL_RESPONSE_TIME`]:
//!
//! | what fails first | time until the answer |
//! | --- | --- |
//! | a watch falls silent | `MAX_HOLD` + `HOLD_SLACK`, then a poll at once |
//! | its answer begins at the last moment and stalls | `MAX_HOLD` + `HOLD_SLACK` + `BODY_TIMEOUT`, then `MAX_BACKOFF` |
//! | a poll is connected and never answered | `CONNECT_TIMEOUT` + `HEAD_TIMEOUT`, then `MAX_BACKOFF` |
//! | the same, and its answer stalls | `CONNECT_TIMEOUT` + `HEAD_TIMEOUT` + `BODY_TIMEOUT`, then `MAX_BACKOFF` |
//! | a poll is rejected, or breaks off | `MAX_BACKOFF` |
//!
//! A poll that has timed out is not closed: discovery may be writing its answer just then, and takes what it has written for
//! delivered: it would not send those changes again. A new poll is made beside it, and whichever is answered is
//! heard; [`ListVersions`] decides what is applied.

#![warn(missing_docs)]

mod list_versions;

pub use list_versions::{ApplyScope, ListVersions, PollBasis};

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// By when a change of the list is known here, once discovery has it and can be reached.
pub const MAX_PROPAGATION_DELAY: Duration = Duration::from_millis(6000);
/// How long, within that, a discovery that can be reached may take to answer a fresh poll.
pub const FRESH_POLL_RESPONSE_TIME: Duration = Duration::from_millis(500);
/// A router that has no list serves all the same after this, and rejects RPCs with Retry-After: one that never says it is
/// ready is taken for one that cannot start.
pub const SERVE_WITHOUT_LIST_AFTER: Duration = Duration::from_millis(5000);
/// The longest hold of a watch. A silent one is found out only after it.
const MAX_HOLD: Duration = Duration::from_millis(2750);
/// The shortest hold of a watch, which keeps polls few.
const MIN_HOLD: Duration = Duration::from_millis(1000);
/// The fraction of the hold by which routers differ, by their seeds: routers that were cut off or started together would else
/// poll together for good.
const HOLD_JITTER: f64 = 0.125;
/// How long a connection may take: one lost packet is made up for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a poll without a hold may take to the end of the answer's head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// The platform's discovery rejects a poll that has been queued for this long. Its answer is to come before the timeout.
const DISCOVERY_REJECTS_AFTER: Duration = Duration::from_millis(2000);
/// How long after its hold a watch may be answered, before it counts as silent.
const HOLD_SLACK: Duration = Duration::from_millis(1000);
/// How long the rest of an answer may take that has begun.
const BODY_TIMEOUT: Duration = Duration::from_millis(750);
/// How long after its start and its hold the answer to a poll is still accepted. A later one holds nothing that later polls
/// have not brought.
pub const LATE_RESPONSE_WINDOW: Duration = Duration::from_millis(12_000);
/// How many polls that have timed out are kept open beside the newest one.
pub const MAX_LATE_POLLS: usize = 2;
/// The interval within which a failed poll is repeated, at a random moment. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// The longest such interval.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
/// The pause after an answer that came at once and held no change, which keeps polls from spinning. The platform allows 200
/// ms between an answer and the next poll.
const EMPTY_ANSWER_PAUSE: Duration = Duration::from_millis(100);

// The table above holds.
const _: () = {
    let after_failure = MAX_BACKOFF.as_millis() + FRESH_POLL_RESPONSE_TIME.as_millis();
    let watch = MAX_HOLD.as_millis() + HOLD_SLACK.as_millis() + BODY_TIMEOUT.as_millis() + after_failure;
    let poll =
        CONNECT_TIMEOUT.as_millis() + HEAD_TIMEOUT.as_millis() + BODY_TIMEOUT.as_millis() + after_failure;
    assert!(watch <= MAX_PROPAGATION_DELAY.as_millis() && poll <= MAX_PROPAGATION_DELAY.as_millis());
    assert!(
        HEAD_TIMEOUT.as_millis()
            >= DISCOVERY_REJECTS_AFTER.as_millis() + FRESH_POLL_RESPONSE_TIME.as_millis()
    );
};

/// When the list is polled for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStart {
    /// At once.
    Immediate,
    /// When the list is requested.
    OnRequest,
}

/// The phases of a call to discovery, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollPhase {
    /// Until the connection is up.
    Connect,
    /// From the request to the end of the answer's head. The hold is within it.
    Headers,
    /// Until the end of the answer.
    Body,
}

/// What has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// A watch has fallen silent. It is begun again at once.
    WatchTimeout,
    /// A poll. It is repeated after a backoff.
    PollFailed,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// The list has not been requested yet.
    Idle,
    /// The next poll is due then.
    Scheduled(Duration),
    Polling {
        phase: PollPhase,
        phase_started: Duration,
        poll_started: Duration,
    },
}

/// When to poll the endpoint list.
pub struct DiscoveryWatch {
    state: State,
    /// How long discovery may hold the next poll, or the current one, until there is a change.
    hold: Duration,
    full_hold: Duration,
    failures_in_a_row: u32,
    rng: ChaCha8Rng,
}

impl DiscoveryWatch {
    /// A watch that polls at least once in `poll_interval`. The seed spreads the holds and backoffs of routers.
    pub fn new(poll_interval: Duration, start: WatchStart, seed: u64) -> Self {
        let full_hold = poll_interval.clamp(MIN_HOLD, MAX_HOLD);
        Self {
            state: match start {
                WatchStart::Immediate => State::Scheduled(Duration::ZERO),
                WatchStart::OnRequest => State::Idle,
            },
            hold: Duration::ZERO,
            full_hold: full_hold.mul_f64(1.0 - HOLD_JITTER * (seed % 1024) as f64 / 1024.0),
            failures_in_a_row: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The list is requested. A poll that is under way or scheduled serves that.
    pub fn list_requested(&mut self, now: Duration) {
        if let State::Idle = self.state {
            self.state = State::Scheduled(now);
        }
    }

    /// Discovery has another address from now on. A poll that is under way no longer counts.
    pub fn address_changed(&mut self, now: Duration) {
        self.state = State::Scheduled(now);
        self.hold = Duration::ZERO;
        self.failures_in_a_row = 0;
    }

    /// When the next poll is due, or the phase of the current one times out.
    pub fn deadline(&self) -> Option<Duration> {
        match self.state {
            State::Idle => None,
            State::Scheduled(at) => Some(at),
            State::Polling { phase, phase_started, .. } => Some(phase_started + self.timeout(phase)),
        }
    }

    fn timeout(&self, phase: PollPhase) -> Duration {
        match phase {
            PollPhase::Connect => CONNECT_TIMEOUT,
            PollPhase::Headers if self.hold.is_zero() => HEAD_TIMEOUT,
            PollPhase::Headers => self.hold + HOLD_SLACK,
            PollPhase::Body => BODY_TIMEOUT,
        }
    }

    /// Begins a poll if one is due. Returns how long discovery may hold it until there is a change.
    pub fn start_poll_if_due(&mut self, now: Duration) -> Option<Duration> {
        match self.state {
            State::Scheduled(at) if at <= now => {
                self.state =
                    State::Polling { phase: PollPhase::Connect, phase_started: now, poll_started: now };
                Some(self.hold)
            }
            _ => None,
        }
    }

    /// The current poll has come to this phase.
    pub fn phase_reached(&mut self, now: Duration, next: PollPhase) {
        if let State::Polling { phase, phase_started, .. } = &mut self.state {
            *phase = next;
            *phase_started = now;
        }
    }

    /// The current poll has its complete answer, with changes of the list or without.
    pub fn response_received(&mut self, now: Duration, has_changes: bool) {
        let State::Polling { poll_started, .. } = self.state else { return };
        let came_at_once = now.saturating_sub(poll_started) < self.hold / 2;
        let pause = if !has_changes && came_at_once { EMPTY_ANSWER_PAUSE } else { Duration::ZERO };
        self.watch_from(now + pause);
    }

    /// A poll that had timed out has its complete answer after all. Discovery answers again, so a backoff ends here. A poll
    /// that is under way goes on.
    pub fn late_response_received(&mut self, now: Duration) {
        if let State::Scheduled(_) = self.state {
            self.watch_from(now);
        }
    }

    fn watch_from(&mut self, at: Duration) {
        self.hold = self.full_hold;
        self.failures_in_a_row = 0;
        self.state = State::Scheduled(at);
    }

    /// The current poll has failed, or its phase has timed out.
    pub fn poll_failed(&mut self, now: Duration) -> FailureKind {
        let is_silent = self.is_silent(now);
        self.hold = Duration::ZERO;
        if is_silent {
            self.state = State::Scheduled(now);
            return FailureKind::WatchTimeout;
        }
        let interval = (INITIAL_BACKOFF * 2u32.pow(self.failures_in_a_row.min(8))).min(MAX_BACKOFF);
        self.failures_in_a_row += 1;
        // Anywhere in the interval: routers that were rejected together must not come back together.
        let backoff = interval.mul_f64(self.rng.random_range(0.0..1.0));
        self.state = State::Scheduled(now + backoff);
        FailureKind::PollFailed
    }

    /// Whether a watch has had no answer by the end of its hold.
    fn is_silent(&self, now: Duration) -> bool {
        let State::Polling { phase: PollPhase::Headers, phase_started, .. } = self.state else {
            return false;
        };
        !self.hold.is_zero() && phase_started + self.timeout(PollPhase::Headers) <= now
    }
}
