//! The watch against a discovery that fails in different ways: the router knows a change of the list within
//! the guaranteed time, without polling too often.

use std::time::Duration;

use quillpoint_discovery_watch::{
    DiscoveryWatch, FRESH_POLL_RESPONSE_TIME, FailureKind, MAX_PROPAGATION_DELAY, PollPhase, WatchStart,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How discovery handles polls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Responds,
    RefusesConnections,
    /// Connections are never established.
    DropsPackets,
    /// Connections are accepted and requests get no response.
    NeverResponds,
    /// Responses have headers and their bodies never end.
    StallsBodies,
    /// Connections break before the end of the response, or the response rejects the poll for overload.
    BreaksResponses,
}

/// The current poll as discovery handles it.
#[derive(Clone, Copy)]
struct Poll {
    phase: PollPhase,
    hold: Duration,
    phase_started: Duration,
    /// The poll gets no response although discovery responds to other polls.
    is_unanswered: bool,
    /// When its current phase ends. `None` if that is not decided yet.
    next_phase_at: Option<Duration>,
}

/// Whether the current poll continues after a step.
enum Progress {
    Continues(Poll),
    Ended,
}

/// Discovery and one router, simulated in steps of a millisecond.
struct World {
    now: Duration,
    behaviour: Behaviour,
    /// Since when discovery has been responding without interruption; `None` while it is failing.
    reachable_since: Option<Duration>,
    version: u64,
    /// When the oldest change was made that the router does not know yet.
    changed_at: Duration,
    known_version: u64,
    poll: Option<Poll>,
    poll_starts: Vec<Duration>,
    timed_out_watches: usize,
}

impl World {
    fn new() -> Self {
        Self {
            now: ms(0),
            behaviour: Behaviour::Responds,
            reachable_since: Some(ms(0)),
            version: 1,
            changed_at: ms(0),
            known_version: 0,
            poll: None,
            poll_starts: Vec::new(),
            timed_out_watches: 0,
        }
    }

    fn is_known(&self) -> bool {
        self.known_version == self.version
    }

    fn step(&mut self, watch: &mut DiscoveryWatch, rng: &mut ChaCha8Rng) {
        self.now += ms(1);
        self.start_poll(watch, rng);
        let Some(poll) = self.poll else { return };
        let Progress::Continues(mut poll) = self.reach_next_phase(poll, watch) else {
            self.poll = None;
            return;
        };
        // Each of the three phases takes up to a third of the response time of a fresh poll; the headers of a
        // watch wait for a change until the hold has passed.
        let is_held =
            poll.phase == PollPhase::Headers && self.is_known() && self.now < poll.phase_started + poll.hold;
        let will_progress = !is_held && !poll.is_unanswered && self.behaviour == Behaviour::Responds;
        if poll.next_phase_at.is_none() && will_progress {
            let max_phase_ms = FRESH_POLL_RESPONSE_TIME.as_millis() as u64 / 3;
            poll.next_phase_at = Some(self.now + ms(rng.random_range(0..max_phase_ms)));
        }
        self.poll = Some(poll);
        self.time_out(watch);
    }

    fn start_poll(&mut self, watch: &mut DiscoveryWatch, rng: &mut ChaCha8Rng) {
        let Some(hold) = watch.start_poll_if_due(self.now) else { return };
        self.poll_starts.push(self.now);
        let is_unanswered = !hold.is_zero() && rng.random_bool(0.4);
        let next_phase_at = Some(self.now + ms(rng.random_range(0..20)));
        let phase = PollPhase::Connect;
        self.poll = Some(Poll { phase, hold, phase_started: self.now, is_unanswered, next_phase_at });
    }

    /// Ends the current phase if that is due. The outcome depends on how discovery behaves now.
    fn reach_next_phase(&mut self, mut poll: Poll, watch: &mut DiscoveryWatch) -> Progress {
        if poll.next_phase_at.is_none_or(|at| at > self.now) {
            return Progress::Continues(poll);
        }
        poll.next_phase_at = None;
        let next = match (poll.phase, self.behaviour) {
            (_, Behaviour::RefusesConnections)
            | (PollPhase::Headers | PollPhase::Body, Behaviour::BreaksResponses) => {
                assert_eq!(watch.poll_failed(self.now), FailureKind::PollFailed);
                return Progress::Ended;
            }
            (PollPhase::Connect, Behaviour::DropsPackets)
            | (PollPhase::Headers, Behaviour::DropsPackets | Behaviour::NeverResponds)
            | (PollPhase::Body, Behaviour::StallsBodies) => return Progress::Continues(poll),
            (PollPhase::Connect, _) => PollPhase::Headers,
            (PollPhase::Headers, _) => PollPhase::Body,
            (PollPhase::Body, _) => {
                let has_changes = !self.is_known();
                self.known_version = self.version;
                watch.response_received(self.now, has_changes);
                return Progress::Ended;
            }
        };
        poll.phase = next;
        poll.phase_started = self.now;
        watch.phase_reached(self.now, next);
        Progress::Continues(poll)
    }

    fn time_out(&mut self, watch: &mut DiscoveryWatch) {
        if watch.deadline().is_some_and(|deadline| deadline <= self.now) {
            self.poll = None;
            if watch.poll_failed(self.now) == FailureKind::WatchTimeout {
                self.timed_out_watches += 1;
            }
        }
    }

    /// Changes how discovery behaves from now on.
    fn change_behaviour(&mut self, rng: &mut ChaCha8Rng) {
        use Behaviour::*;
        let all = [
            Responds,
            Responds,
            RefusesConnections,
            DropsPackets,
            NeverResponds,
            StallsBodies,
            BreaksResponses,
        ];
        self.behaviour = all[rng.random_range(0..all.len())];
        if self.behaviour != Responds {
            self.reachable_since = None;
            return;
        }
        // A poll from before the recovery gets no response; later polls do.
        if let Some(poll) = self.poll.as_mut() {
            poll.is_unanswered = true;
        }
        self.reachable_since = self.reachable_since.or(Some(self.now));
    }

    /// Changes the list. The router must know the oldest unknown change in time, however many follow it.
    fn change_list(&mut self) {
        if self.is_known() {
            self.changed_at = self.now;
        }
        self.version += 1;
    }
}

/// Guards against a sequence of failures after which the router learns of a change too late, and against
/// retries that poll discovery in a busy loop. Discovery changes its behaviour and the list at random times.
#[test]
fn a_change_is_known_within_the_maximum_propagation_delay() {
    let mut steps_known = 0;
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut watch = DiscoveryWatch::new(ms(10_000), WatchStart::Immediate, seed);
        let mut next_change = ms(0);
        let mut next_behaviour = ms(0);
        let mut world = World::new();
        while world.now < ms(200_000) {
            if world.now >= next_behaviour {
                world.change_behaviour(&mut rng);
                next_behaviour = world.now + ms(rng.random_range(500..20_000));
            }
            if world.now >= next_change {
                world.change_list();
                next_change = world.now + ms(rng.random_range(200..9000));
            }
            world.step(&mut watch, &mut rng);
            if let Some(reachable) = world.reachable_since.filter(|_| !world.is_known()) {
                let waited = world.now - reachable.max(world.changed_at);
                assert!(
                    waited <= MAX_PROPAGATION_DELAY,
                    "seed {seed} at {:?}: the change is not known after {waited:?}",
                    world.now
                );
            }
            steps_known += usize::from(world.is_known());
        }
        let densest = world.poll_starts.windows(40).map(|starts| starts[39] - starts[0]).min();
        assert!(densest.is_none_or(|span| span > ms(4000)), "seed {seed}: 40 polls within {densest:?}");
        assert!(world.timed_out_watches > 0, "seed {seed}: no watch has timed out");
    }
    assert!(steps_known > 0);
}

/// Guards against retries in step: an overloaded discovery that rejects many routers at the same time must
/// not get all their retries at the same time.
#[test]
fn retries_of_routers_that_were_rejected_together_are_spread_over_the_backoff() {
    let mut retries = Vec::new();
    for seed in 0..300 {
        let mut watch = DiscoveryWatch::new(ms(10_000), WatchStart::Immediate, seed);
        assert_eq!(watch.start_poll_if_due(ms(0)), Some(ms(0)));
        assert_eq!(watch.poll_failed(ms(1)), FailureKind::PollFailed);
        retries.extend(watch.deadline());
    }
    retries.sort();
    let retries_by_tenth = (0..10).map(|tenth| {
        let (from, to) = (ms(1) + ms(50) * tenth, ms(1) + ms(50) * (tenth + 1));
        retries.iter().filter(|at| (from..to).contains(at)).count()
    });
    assert_eq!(retries.len(), 300);
    assert!(retries_by_tenth.max() < Some(60), "not spread over half a second: {retries:?}");
}

/// Guards against a second poll while one is in progress, a poll that still waits for the old address of
/// discovery, and a busy loop of polls when discovery responds immediately without changes.
#[test]
fn a_poll_is_not_started_twice_and_a_new_address_replaces_it() {
    let mut watch = DiscoveryWatch::new(ms(1000), WatchStart::OnRequest, 7);
    assert_eq!(
        (watch.deadline(), watch.start_poll_if_due(ms(0))),
        (None, None),
        "polled before the list was requested"
    );
    watch.list_requested(ms(5));
    assert_eq!(watch.start_poll_if_due(ms(5)), Some(ms(0)));
    watch.list_requested(ms(6));
    assert_eq!(watch.start_poll_if_due(ms(6)), None, "a poll is in progress");
    watch.phase_reached(ms(10), PollPhase::Headers);
    watch.phase_reached(ms(20), PollPhase::Body);
    watch.response_received(ms(30), true);
    let hold = watch.start_poll_if_due(ms(30)).unwrap();
    assert!((ms(875)..=ms(1000)).contains(&hold), "the hold is {hold:?}");
    watch.address_changed(ms(40));
    assert_eq!(watch.start_poll_if_due(ms(40)), Some(ms(0)));
    watch.phase_reached(ms(41), PollPhase::Headers);
    watch.response_received(ms(42), true);
    watch.start_poll_if_due(ms(42)).unwrap();
    watch.phase_reached(ms(43), PollPhase::Headers);
    watch.response_received(ms(44), false);
    assert_eq!(
        (watch.start_poll_if_due(ms(100)), watch.start_poll_if_due(ms(144)).is_some()),
        (None, true),
        "the next poll is due 100 ms after an empty response"
    );
}
