//! Timing of the long poll of the endpoint list: when to poll discovery, and how long each phase of a poll
//! may take.
//!
//! A poll with a hold is called a watch: discovery may hold the request until the list changes or the hold
//! has passed. A poll without a hold is called a fresh poll: discovery responds immediately.
//!
//! [`DiscoveryWatch`] is the state machine (idle, scheduled, polling). It does no I/O, has no clock and
//! starts no threads: the caller passes in the current time as a [`Duration`] since an arbitrary fixed
//! instant.
//!
//! Guarantee: a change of the list is known to the router at most [`MAX_PROPAGATION_DELAY`] after discovery
//! has the change and is reachable, whatever failed before. The worst cases, in which each phase lasts until
//! its timeout, if discovery then responds to the fresh poll within [`FRESH_POLL_RESPONSE_TIME`]:
//!
//! | failure | time until the next fresh poll |
//! | --- | --- |
//! | a watch gets no response | `MAX_HOLD` + `HOLD_SLACK` |
//! | a watch gets headers but no body | `MAX_HOLD` + `HOLD_SLACK` + `BODY_TIMEOUT` + `MAX_BACKOFF` |
//! | a fresh poll gets no response | `CONNECT_TIMEOUT` + `HEADERS_TIMEOUT` + `MAX_BACKOFF` |
//! | a fresh poll gets headers but no body | the same + `BODY_TIMEOUT` |
//! | a poll is rejected, or its connection breaks | `MAX_BACKOFF` |
//!
//! A poll that has timed out is kept open: discovery may be writing its response at that moment, considers
//! what it has written as delivered, and would not send those changes again. A new poll is started beside the
//! late one, and the responses of both are processed; [`ListVersions`] decides which of them are applied.

#![warn(missing_docs)]

mod list_versions;

pub use list_versions::{ApplyScope, ListVersions, PollBasis};

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Upper bound on the time from the moment when discovery has a change and is reachable until the router
/// knows it.
pub const MAX_PROPAGATION_DELAY: Duration = Duration::from_millis(6000);
/// The response time of a reachable discovery to a fresh poll that is included in [`MAX_PROPAGATION_DELAY`].
pub const FRESH_POLL_RESPONSE_TIME: Duration = Duration::from_millis(500);
/// After this time a router without an endpoint list reports that it is ready and rejects RPCs with
/// Retry-After: the platform treats a router that never becomes ready as one that cannot start.
pub const SERVE_WITHOUT_LIST_AFTER: Duration = Duration::from_millis(5000);
/// Upper limit of the hold of a watch: a watch that gets no response is detected only after its hold.
const MAX_HOLD: Duration = Duration::from_millis(2750);
/// Lower limit of the hold of a watch: bounds the rate of polls.
const MIN_HOLD: Duration = Duration::from_millis(1000);
/// Routers shorten their holds by up to this fraction, depending on their seeds: routers that were cut off or
/// started at the same time would otherwise keep polling in step.
const HOLD_JITTER: f64 = 0.125;
/// Timeout of [`PollPhase::Connect`]: leaves time for TCP to retransmit one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of [`PollPhase::Headers`] of a poll without a hold.
const HEADERS_TIMEOUT: Duration = Duration::from_millis(2500);
/// The platform's discovery rejects a poll that it has queued for this long. `HEADERS_TIMEOUT` is longer, so
/// that the rejection arrives before the poll times out.
const DISCOVERY_QUEUE_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long after the end of its hold the response headers to a watch may arrive.
const HOLD_SLACK: Duration = Duration::from_millis(1000);
/// Timeout of [`PollPhase::Body`].
const BODY_TIMEOUT: Duration = Duration::from_millis(750);
/// How long after its start, plus its hold, a poll that has timed out is kept open for its response. A
/// response after that contains nothing that later polls have not returned already.
pub const LATE_RESPONSE_WINDOW: Duration = Duration::from_millis(12_000);
/// How many polls that have timed out are kept open beside the newest poll.
pub const MAX_LATE_POLLS: usize = 2;
/// Upper bound of the random backoff after the first failed poll. It doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Upper bound of the random backoff, however many polls have failed.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
/// Delay of the next poll after an immediate response without changes, which would otherwise cause a busy
/// loop. The platform allows 200 ms between a response and the next poll.
const EMPTY_RESPONSE_DELAY: Duration = Duration::from_millis(100);

// Checks the worst cases in the table of the module documentation.
const _: () = {
    let backoff_and_response = MAX_BACKOFF.as_millis() + FRESH_POLL_RESPONSE_TIME.as_millis();
    let watch =
        MAX_HOLD.as_millis() + HOLD_SLACK.as_millis() + BODY_TIMEOUT.as_millis() + backoff_and_response;
    let poll = CONNECT_TIMEOUT.as_millis()
        + HEADERS_TIMEOUT.as_millis()
        + BODY_TIMEOUT.as_millis()
        + backoff_and_response;
    assert!(watch <= MAX_PROPAGATION_DELAY.as_millis() && poll <= MAX_PROPAGATION_DELAY.as_millis());
    assert!(
        HEADERS_TIMEOUT.as_millis()
            >= DISCOVERY_QUEUE_TIMEOUT.as_millis() + FRESH_POLL_RESPONSE_TIME.as_millis()
    );
};

/// When discovery is polled for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStart {
    /// As soon as the watch is created.
    Immediate,
    /// When the list is requested: see [`DiscoveryWatch::list_requested`].
    OnRequest,
}

/// The phases of a poll, in their order. Each has a timeout of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollPhase {
    /// Until the connection is established.
    Connect,
    /// From sending the request to the end of the response headers. Includes the hold.
    Headers,
    /// Until the end of the response body.
    Body,
}

/// How a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// A watch got no response headers by the end of its hold and `HOLD_SLACK`. The next poll is due
    /// immediately.
    WatchTimeout,
    /// Any other failure or timeout. The next poll is due after a backoff.
    PollFailed,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// The list has not been requested yet.
    Idle,
    /// The time at which the next poll is due.
    Scheduled(Duration),
    Polling {
        phase: PollPhase,
        phase_started: Duration,
        poll_started: Duration,
    },
}

/// The state machine that times the polls of the endpoint list.
pub struct DiscoveryWatch {
    state: State,
    /// The hold of the current poll, or of the next one. Zero for a fresh poll.
    hold: Duration,
    /// The hold of a watch.
    full_hold: Duration,
    consecutive_failures: u32,
    rng: ChaCha8Rng,
}

impl DiscoveryWatch {
    /// Creates a watch that polls at least once in `poll_interval`, which is clamped to the limits of a hold.
    /// `seed` should differ between routers: it spreads their holds and backoffs.
    pub fn new(poll_interval: Duration, start: WatchStart, seed: u64) -> Self {
        let full_hold = poll_interval.clamp(MIN_HOLD, MAX_HOLD);
        Self {
            state: match start {
                WatchStart::Immediate => State::Scheduled(Duration::ZERO),
                WatchStart::OnRequest => State::Idle,
            },
            hold: Duration::ZERO,
            full_hold: full_hold.mul_f64(1.0 - HOLD_JITTER * (seed % 1024) as f64 / 1024.0),
            consecutive_failures: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Schedules a poll because the list was requested. Does nothing if a poll is already scheduled or in
    /// progress.
    pub fn list_requested(&mut self, now: Duration) {
        if let State::Idle = self.state {
            self.state = State::Scheduled(now);
        }
    }

    /// Schedules a fresh poll because the address of discovery has changed. The current poll is no longer
    /// tracked.
    pub fn address_changed(&mut self, now: Duration) {
        self.state = State::Scheduled(now);
        self.hold = Duration::ZERO;
        self.consecutive_failures = 0;
    }

    /// The time at which the next poll is due or the current phase times out. `None` while the watch is idle.
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
            PollPhase::Headers if self.hold.is_zero() => HEADERS_TIMEOUT,
            PollPhase::Headers => self.hold + HOLD_SLACK,
            PollPhase::Body => BODY_TIMEOUT,
        }
    }

    /// Starts a poll if one is due. Returns its hold: how long discovery may wait for a change before it
    /// responds.
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

    /// Records that the current poll has entered the phase `next`.
    pub fn phase_reached(&mut self, now: Duration, next: PollPhase) {
        if let State::Polling { phase, phase_started, .. } = &mut self.state {
            *phase = next;
            *phase_started = now;
        }
    }

    /// Records that the current poll has received its complete response, and schedules a watch.
    pub fn response_received(&mut self, now: Duration, has_changes: bool) {
        let State::Polling { poll_started, .. } = self.state else { return };
        let was_immediate = now.saturating_sub(poll_started) < self.hold / 2;
        let delay = if !has_changes && was_immediate { EMPTY_RESPONSE_DELAY } else { Duration::ZERO };
        self.schedule_watch(now + delay);
    }

    /// Records that a poll that had timed out has received its complete response. Ends a backoff, since
    /// discovery is responding again. A poll in progress continues.
    pub fn late_response_received(&mut self, now: Duration) {
        if let State::Scheduled(_) = self.state {
            self.schedule_watch(now);
        }
    }

    fn schedule_watch(&mut self, at: Duration) {
        self.hold = self.full_hold;
        self.consecutive_failures = 0;
        self.state = State::Scheduled(at);
    }

    /// Records that the current poll has failed or that its phase has timed out, and schedules a fresh poll.
    pub fn poll_failed(&mut self, now: Duration) -> FailureKind {
        let has_watch_timed_out = self.has_watch_timed_out(now);
        self.hold = Duration::ZERO;
        if has_watch_timed_out {
            self.state = State::Scheduled(now);
            return FailureKind::WatchTimeout;
        }
        let interval = (INITIAL_BACKOFF * 2u32.pow(self.consecutive_failures.min(8))).min(MAX_BACKOFF);
        self.consecutive_failures += 1;
        // Full jitter: routers that were rejected at the same time must not retry at the same
        // time.
        let backoff = interval.mul_f64(self.rng.random_range(0.0..1.0));
        self.state = State::Scheduled(now + backoff);
        FailureKind::PollFailed
    }

    /// Whether the current poll is a watch that got no response headers by the end of its hold and
    /// `HOLD_SLACK`.
    fn has_watch_timed_out(&self, now: Duration) -> bool {
        let State::Polling { phase: PollPhase::Headers, phase_started, .. } = self.state else {
            return false;
        };
        !self.hold.is_zero() && phase_started + self.timeout(PollPhase::Headers) <= now
    }
}
