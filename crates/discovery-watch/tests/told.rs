//! The watch of the list before a discovery that comes and goes: what it has to tell is known 6 s later at the most.

use std::time::Duration;

use quillpoint_discovery_watch::{ANSWERED, Failed, ListWatch, Part, TOLD};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What discovery does with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    Answers,
    Refuses,
    /// Connections never come up.
    Drops,
    /// Calls are taken and never answered.
    Mutes,
    /// Answers begin and never end.
    Stalls,
    /// Answers break off, or say that there are too many callers.
    Breaks,
}

/// Where the call that is out stands, and what becomes of it by itself.
#[derive(Clone, Copy)]
struct Call {
    part: Part,
    hold: Duration,
    since: Duration,
    /// It was connected while discovery answered, and falls silent all the same.
    silent: bool,
    /// When its next part is reached.
    next: Option<Duration>,
}

/// Discovery and one router, in steps of a millisecond.
struct World {
    now: Duration,
    does: Does,
    /// Since when discovery can be reached without a break.
    reached: Option<Duration>,
    rev: u64,
    /// When the newest version came to be, and the version that is known.
    made: Duration,
    known: u64,
    call: Option<Call>,
    calls: Vec<Duration>,
    silences: usize,
}

impl World {
    fn step(&mut self, watch: &mut ListWatch, chance: &mut ChaCha8Rng) {
        self.now += ms(1);
        if let Some(hold) = watch.begin(self.now) {
            self.calls.push(self.now);
            let silent = !hold.is_zero() && chance.random_bool(0.4);
            let next = Some(self.now + ms(chance.random_range(0..20)));
            self.call = Some(Call { part: Part::Connect, hold, since: self.now, silent, next });
        }
        let Some(mut call) = self.call else { return };
        if call.next.is_some_and(|next| next <= self.now) {
            call.next = None;
            // What it comes to in this part, as discovery is by now.
            let goes_on = match (call.part, self.does) {
                (_, Does::Refuses) | (Part::Head | Part::Body, Does::Breaks) => {
                    self.call = None;
                    assert_eq!(watch.failed(self.now), Failed::Call);
                    return;
                }
                (Part::Connect, Does::Drops) | (Part::Head, Does::Drops | Does::Mutes) => false,
                (Part::Body, does) => does != Does::Stalls,
                _ => true,
            };
            if goes_on {
                call.part = match call.part {
                    Part::Connect => Part::Head,
                    Part::Head => Part::Body,
                    Part::Body => {
                        let news = self.known != self.rev;
                        (self.known, self.call) = (self.rev, None);
                        return watch.answered(self.now, news);
                    }
                };
                call.since = self.now;
                watch.reached(self.now, call.part);
            }
        }
        // A part takes up to a third of what a fresh call is granted; the head of a watch waits for news.
        let waits = call.part == Part::Head && self.known == self.rev && self.now < call.since + call.hold;
        if call.next.is_none() && !waits && !call.silent && self.does == Does::Answers {
            call.next = Some(self.now + ms(chance.random_range(0..ANSWERED.as_millis() as u64 / 3)));
        }
        self.call = Some(call);
        if watch.due().is_some_and(|due| due <= self.now) {
            self.call = None;
            self.silences += usize::from(watch.failed(self.now) == Failed::Watch);
        }
    }
}

#[test]
fn what_discovery_has_and_can_tell_is_known_within_six_seconds() {
    let mut told = 0;
    for seed in 0..60 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let (mut watch, mut change_at, mut turn_at) = (ListWatch::new(ms(10_000), true, seed), ms(0), ms(0));
        let mut world = World {
            now: ms(0),
            does: Does::Answers,
            reached: Some(ms(0)),
            rev: 1,
            made: ms(0),
            known: 0,
            call: None,
            calls: Vec::new(),
            silences: 0,
        };
        while world.now < ms(200_000) {
            if world.now >= turn_at {
                use Does::*;
                let all = [Answers, Answers, Refuses, Drops, Mutes, Stalls, Breaks];
                world.does = all[chance.random_range(0..all.len())];
                // What was under way when it went stays as it is; what comes back answers fresh calls.
                if let Some(call) = world.call.as_mut().filter(|_| world.does == Answers) {
                    call.silent = true;
                }
                let since = world.reached.unwrap_or(world.now);
                world.reached = (world.does == Answers).then_some(since);
                turn_at = world.now + ms(chance.random_range(500..20_000));
            }
            if world.now >= change_at {
                // A change while an earlier one is not known yet does not put that one off.
                world.made = if world.known == world.rev { world.now } else { world.made };
                world.rev += 1;
                change_at = world.now + ms(chance.random_range(200..9000));
            }
            world.step(&mut watch, &mut chance);
            if let Some(reached) = world.reached.filter(|_| world.known != world.rev) {
                let waited = world.now - reached.max(world.made);
                assert!(waited <= TOLD, "seed {seed} at {:?}: not told after {waited:?}", world.now);
            }
            told += usize::from(world.known == world.rev);
        }
        let most = world.calls.windows(40).map(|calls| calls[39] - calls[0]).min();
        assert!(most.is_none_or(|most| most > ms(4000)), "40 calls within {most:?}");
        assert!(world.silences > 0, "seed {seed}");
    }
    assert!(told > 0);
}

#[test]
fn routers_that_are_refused_together_come_back_apart() {
    let mut again = Vec::new();
    for seed in 0..300 {
        let mut watch = ListWatch::new(ms(10_000), true, seed);
        assert_eq!(watch.begin(ms(0)), Some(ms(0)));
        assert_eq!(watch.failed(ms(1)), Failed::Call);
        again.extend(watch.due());
    }
    again.sort();
    let most = (0..10).map(|tenth| {
        let (from, to) = (ms(1) + ms(50) * tenth, ms(1) + ms(50) * (tenth + 1));
        again.iter().filter(|at| (from..to).contains(at)).count()
    });
    assert_eq!(again.len(), 300);
    assert!(most.max() < Some(60), "all over half a second, and not in step: {again:?}");
}

#[test]
fn a_watch_is_not_begun_twice_and_a_move_gives_up_what_is_out() {
    let mut watch = ListWatch::new(ms(1000), false, 7);
    assert_eq!((watch.due(), watch.begin(ms(0))), (None, None), "nobody has asked");
    watch.asked(ms(5));
    assert_eq!(watch.begin(ms(5)), Some(ms(0)));
    watch.asked(ms(6));
    assert_eq!(watch.begin(ms(6)), None, "one is out");
    watch.reached(ms(10), Part::Head);
    watch.reached(ms(20), Part::Body);
    watch.answered(ms(30), true);
    let hold = watch.begin(ms(30)).unwrap();
    assert!((ms(875)..=ms(1000)).contains(&hold), "{hold:?}");
    watch.moved(ms(40));
    assert_eq!(watch.begin(ms(40)), Some(ms(0)));
    watch.reached(ms(41), Part::Head);
    watch.answered(ms(42), true);
    watch.begin(ms(42)).unwrap();
    watch.reached(ms(43), Part::Head);
    watch.answered(ms(44), false);
    assert_eq!((watch.begin(ms(100)), watch.begin(ms(144)).is_some()), (None, true), "nor does it spin");
}
