//! Real processes during a fault: their peaks, and whether they follow again.

use std::time::{Duration, Instant};

use crate::now;
use crate::record::Mode;
use crate::scale::counters::Counters;
use crate::scale::faults::has_caught_up;
use crate::scale::member::Member;

/// What passes in a shorter time, as right after a return, is a part of what is counted by the next look: divided by so
/// little time it would be no rate.
const MIN_INTERVAL_S: f64 = 0.15;

/// What was last seen of a real process.
#[derive(Clone, Copy, Default)]
struct LastSeen {
    /// Its counts, with its processor time and when that was read. None before it has been asked, and while it is down.
    last: Option<(Counters, Duration, Instant)>,
    /// As before the fault.
    before: Counters,
    /// It follows as before, and since when.
    caught_up: bool,
    caught_up_us: u64,
}

/// Real processes, asked for their counts again and again.
#[derive(Default)]
pub(super) struct MemberWatch {
    seen: Vec<LastSeen>,
    /// The most bytes a second of one process, in and out, and the most part of a core.
    pub(super) peak_bytes: f64,
    pub(super) peak_cpu: f64,
}

impl MemberWatch {
    /// Asks all that run for their counts.
    ///
    /// # Errors
    /// One does not answer.
    pub(super) fn poll(&mut self, members: &[Member], mode: Mode) -> std::io::Result<()> {
        self.seen.resize(members.len(), LastSeen::default());
        let asked: Vec<Option<usize>> =
            members.iter().map(|member| member.is_answering().then(|| member.request_counters())).collect();
        for ((member, index), seen) in members.iter().zip(asked).zip(&mut self.seen) {
            let Some(index) = index else {
                seen.caught_up = false;
                continue;
            };
            let sums = member.counters(index, mode)?;
            let caught_up = has_caught_up(mode, &sums, &seen.before);
            if caught_up && !seen.caught_up {
                seen.caught_up_us = sums.at_us;
            }
            seen.caught_up = caught_up;
            let cpu = member.usage().map_or(Duration::ZERO, |(_, time)| time);
            let at = Instant::now();
            if let Some((before, cpu_before, at_before)) = seen.last {
                let seconds = sums.at_us.saturating_sub(before.at_us) as f64 / 1e6;
                if seconds < MIN_INTERVAL_S {
                    continue;
                }
                let bytes = (sums.sent_bytes + sums.read_bytes) - (before.sent_bytes + before.read_bytes);
                self.peak_bytes = self.peak_bytes.max(bytes as f64 / seconds);
                let spent = cpu.saturating_sub(cpu_before).as_secs_f64();
                self.peak_cpu = self.peak_cpu.max(spent / (at - at_before).as_secs_f64());
            }
            seen.last = Some((sums, cpu, at));
        }
        Ok(())
    }

    /// What they held by the last look is what they must hold again.
    pub(super) fn set_reference(&mut self) {
        for seen in &mut self.seen {
            seen.before = seen.last.map(|(sums, ..)| sums).unwrap_or_default();
            seen.caught_up = true;
            seen.caught_up_us = 0;
        }
    }

    /// The process is gone, and its counts with it.
    pub(super) fn process_lost(&mut self, index: usize) {
        self.seen[index].last = None;
        self.seen[index].caught_up = false;
    }

    /// It runs from now on: what has passed by the next look has passed since then. A process that stood still finds
    /// at its socket what came meanwhile.
    pub(super) fn process_returned(&mut self, index: usize) {
        let (sums, cpu, _) =
            self.seen[index].last.unwrap_or((Counters::default(), Duration::ZERO, Instant::now()));
        let sums = Counters { at_us: now().as_micros() as u64, ..sums };
        self.seen[index].last = Some((sums, cpu, Instant::now()));
        self.seen[index].caught_up = false;
    }

    /// Those that did not follow by the last look.
    pub(super) fn missing(&self) -> usize {
        self.seen.iter().filter(|seen| !seen.caught_up).count()
    }

    /// When the last of them came to follow again.
    pub(super) fn caught_up_us(&self) -> u64 {
        self.seen.iter().map(|seen| seen.caught_up_us).max().unwrap_or(0)
    }
}
