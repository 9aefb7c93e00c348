//! The watch before a discovery that comes and goes: a change of the list is known within the guaranteed time.

use std::time::Duration;

use quillpoint_discovery_watch::{
    DiscoveryWatch, FRESH_POLL_RESPONSE_TIME, FailureKind, MAX_PROPAGATION_DELAY, PollPhase, WatchStart,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What discovery does with polls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Answers,
    /// Connections are refused.
    Refuses,
    /// Connections never come up.
    Drops,
    /// Polls are accepted and never answered.
    Mutes,
    /// Answers begin and never end.
    Stalls,
    /// Answers break off, or say that there are too many callers.
    Breaks,
}

/// The current poll, and what becomes of it by itself.
#[derive(Clone, Copy)]
struct Poll {
    phase: PollPhase,
    hold: Duration,
    phase_started: Duration,
    /// It was connected while discovery answered, and falls silent all the same.
    is_silent: bool,
    /// When its next phase is reached.
    next_phase_at: Option<Duration>,
}

/// What a step has made of the current poll.
enum Progress {
    GoesOn(Poll),
    Ended,
}

/// Discovery and one router, in steps of a millisecond.
struct World {
    now: Duration,
    behaviour: Behaviour,
    /// Since when discovery can be reached without a break.
    reachable_since: Option<Duration>,
    version: u64,
    /// When the oldest change that is not known yet was made.
    changed_at: Duration,
    known_version: u64,
    poll: Option<Poll>,
    poll_starts: Vec<Duration>,
    silent_watches: usize,
}

impl World {
    fn new() -> Self {
        Self {
            now: ms(0),
            behaviour: Behaviour::Answers,
            reachable_since: Some(ms(0)),
            version: 1,
            changed_at: ms(0),
            known_version: 0,
            poll: None,
            poll_starts: Vec::new(),
            silent_watches: 0,
        }
    }

    fn is_known(&self) -> bool {
        self.known_version == self.version
    }

    fn step(&mut self, watch: &mut DiscoveryWatch, rng: &mut ChaCha8Rng) {
        self.now += ms(1);
        self.begin_poll(watch, rng);
        let Some(poll) = self.poll else { return };
        let Progress::GoesOn(mut poll) = self.reach_next_phase(poll, watch) else {
            self.poll = None;
            return;
        };
        // A phase takes up to a third of what a fresh poll is granted; the head of a watch waits for a change.
        let is_held =
            poll.phase == PollPhase::Headers && self.is_known() && self.now < poll.phase_started + poll.hold;
        let goes_on = !is_held && !poll.is_silent && self.behaviour == Behaviour::Answers;
        if poll.next_phase_at.is_none() && goes_on {
            let longest_phase = FRESH_POLL_RESPONSE_TIME.as_millis() as u64 / 3;
            poll.next_phase_at = Some(self.now + ms(rng.random_range(0..longest_phase)));
        }
        self.poll = Some(poll);
        self.time_out(watch);
    }

    fn begin_poll(&mut self, watch: &mut DiscoveryWatch, rng: &mut ChaCha8Rng) {
        let Some(hold) = watch.start_poll_if_due(self.now) else { return };
        self.poll_starts.push(self.now);
        let is_silent = !hold.is_zero() && rng.random_bool(0.4);
        let next_phase_at = Some(self.now + ms(rng.random_range(0..20)));
        let phase = PollPhase::Connect;
        self.poll = Some(Poll { phase, hold, phase_started: self.now, is_silent, next_phase_at });
    }

    /// What the poll comes to if its next phase is due, as discovery behaves by now.
    fn reach_next_phase(&mut self, mut poll: Poll, watch: &mut DiscoveryWatch) -> Progress {
        if poll.next_phase_at.is_none_or(|at| at > self.now) {
            return Progress::GoesOn(poll);
        }
        poll.next_phase_at = None;
        let next = match (poll.phase, self.behaviour) {
            (_, Behaviour::Refuses) | (PollPhase::Headers | PollPhase::Body, Behaviour::Breaks) => {
                assert_eq!(watch.poll_failed(self.now), FailureKind::PollFailed);
                return Progress::Ended;
            }
            (PollPhase::Connect, Behaviour::Drops)
            | (PollPhase::Headers, Behaviour::Drops | Behaviour::Mutes)
            | (PollPhase::Body, Behaviour::Stalls) => return Progress::GoesOn(poll),
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
        Progress::GoesOn(poll)
    }

    fn time_out(&mut self, watch: &mut DiscoveryWatch) {
        if watch.deadline().is_some_and(|deadline| deadline <= self.now) {
            self.poll = None;
            if watch.poll_failed(self.now) == FailureKind::WatchTimeout {
                self.silent_watches += 1;
            }
        }
    }

    /// Discovery behaves otherwise from now on.
    fn change_behaviour(&mut self, rng: &mut ChaCha8Rng) {
        use Behaviour::*;
        let all = [Answers, Answers, Refuses, Drops, Mutes, Stalls, Breaks];
        self.behaviour = all[rng.random_range(0..all.len())];
        if self.behaviour != Answers {
            self.reachable_since = None;
            return;
        }
        // What was under way stays as it is; fresh polls are answered.
        if let Some(poll) = self.poll.as_mut() {
            poll.is_silent = true;
        }
        self.reachable_since = self.reachable_since.or(Some(self.now));
    }

    /// The list changes. A change while an earlier one is not known yet does not put that one off.
    fn change_list(&mut self) {
        if self.is_known() {
            self.changed_at = self.now;
        }
        self.version += 1;
    }
}

#[test]
fn a_change_of_a_list_that_can_be_reached_is_known_within_six_seconds() {
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
                    "seed {seed} at {:?}: not known after {waited:?}",
                    world.now
                );
            }
            steps_known += usize::from(world.is_known());
        }
        let densest = world.poll_starts.windows(40).map(|starts| starts[39] - starts[0]).min();
        assert!(densest.is_none_or(|span| span > ms(4000)), "40 polls within {densest:?}");
        assert!(world.silent_watches > 0, "seed {seed}");
    }
    assert!(steps_known > 0);
}

#[test]
fn routers_that_are_rejected_together_come_back_apart() {
    let mut retries = Vec::new();
    for seed in 0..300 {
        let mut watch = DiscoveryWatch::new(ms(10_000), WatchStart::Immediate, seed);
        assert_eq!(watch.start_poll_if_due(ms(0)), Some(ms(0)));
        assert_eq!(watch.poll_failed(ms(1)), FailureKind::PollFailed);
        retries.extend(watch.deadline());
    }
    retries.sort();
    let by_tenth = (0..10).map(|tenth| {
        let (from, to) = (ms(1) + ms(50) * tenth, ms(1) + ms(50) * (tenth + 1));
        retries.iter().filter(|at| (from..to).contains(at)).count()
    });
    assert_eq!(retries.len(), 300);
    assert!(by_tenth.max() < Some(60), "all over half a second, and not in step: {retries:?}");
}

#[test]
fn a_poll_is_not_begun_twice_and_a_new_address_ends_the_current_one() {
    let mut watch = DiscoveryWatch::new(ms(1000), WatchStart::OnRequest, 7);
    assert_eq!((watch.deadline(), watch.start_poll_if_due(ms(0))), (None, None), "the list is not requested");
    watch.list_requested(ms(5));
    assert_eq!(watch.start_poll_if_due(ms(5)), Some(ms(0)));
    watch.list_requested(ms(6));
    assert_eq!(watch.start_poll_if_due(ms(6)), None, "one is under way");
    watch.phase_reached(ms(10), PollPhase::Headers);
    watch.phase_reached(ms(20), PollPhase::Body);
    watch.response_received(ms(30), true);
    let hold = watch.start_poll_if_due(ms(30)).unwrap();
    assert!((ms(875)..=ms(1000)).contains(&hold), "{hold:?}");
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
        "nor does it spin"
    );
}
