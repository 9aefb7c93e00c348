//! Observes real processes during a fault: their peak traffic and processor time, and whether they catch up
//! again.

use std::time::{Duration, Instant};

use crate::now;
use crate::record::Mode;
use crate::scale::counters::Counters;
use crate::scale::faults::has_caught_up;
use crate::scale::member::Member;

/// The shortest interval of which a rate is taken. After a shorter one, such as right after a process
/// returns, the bytes are counted with the next interval: dividing them by so little time would give no
/// meaningful rate.
const MIN_INTERVAL_S: f64 = 0.15;

/// The last state seen of a real process.
#[derive(Clone, Copy, Default)]
struct LastSeen {
    /// Its counters and processor time, and when the latter was read. None before the first poll and while
    /// the process is down.
    last: Option<(Counters, Duration, Instant)>,
    /// The counters before the fault.
    before: Counters,
    /// Whether it has caught up with those, and since when.
    caught_up: bool,
    caught_up_us: u64,
}

/// Polls the counters of real processes.
#[derive(Default)]
pub(super) struct MemberWatch {
    seen: Vec<LastSeen>,
    /// The highest traffic of one process, in and out, in bytes per second.
    pub(super) peak_bytes: f64,
    /// The highest processor time of one process, as a fraction of a core.
    pub(super) peak_cpu: f64,
}

impl MemberWatch {
    /// Polls the counters of all processes that can answer.
    ///
    /// # Errors
    /// A process does not answer in time.
    pub(super) fn poll(&mut self, members: &[Member], mode: Mode) -> std::io::Result<()> {
        self.seen.resize(members.len(), LastSeen::default());
        let requested: Vec<Option<usize>> =
            members.iter().map(|member| member.is_answering().then(|| member.request_counters())).collect();
        for ((member, index), seen) in members.iter().zip(requested).zip(&mut self.seen) {
            let Some(index) = index else {
                seen.caught_up = false;
                continue;
            };
            let counters = member.counters(index, mode)?;
            let caught_up = has_caught_up(mode, &counters, &seen.before);
            if caught_up && !seen.caught_up {
                seen.caught_up_us = counters.at_us;
            }
            seen.caught_up = caught_up;
            let cpu = member.usage().map_or(Duration::ZERO, |(_, time)| time);
            let at = Instant::now();
            if let Some((before, cpu_before, at_before)) = seen.last {
                let seconds = counters.at_us.saturating_sub(before.at_us) as f64 / 1e6;
                if seconds < MIN_INTERVAL_S {
                    continue;
                }
                let bytes =
                    (counters.sent_bytes + counters.read_bytes) - (before.sent_bytes + before.read_bytes);
                self.peak_bytes = self.peak_bytes.max(bytes as f64 / seconds);
                let spent = cpu.saturating_sub(cpu_before).as_secs_f64();
                self.peak_cpu = self.peak_cpu.max(spent / (at - at_before).as_secs_f64());
            }
            seen.last = Some((counters, cpu, at));
        }
        Ok(())
    }

    /// Takes the last poll as the state that the processes must recover.
    pub(super) fn set_reference(&mut self) {
        for seen in &mut self.seen {
            seen.before = seen.last.map(|(counters, ..)| counters).unwrap_or_default();
            seen.caught_up = true;
            seen.caught_up_us = 0;
        }
    }

    /// Notes that a process was killed, and its counters with it.
    pub(super) fn process_lost(&mut self, index: usize) {
        self.seen[index].last = None;
        self.seen[index].caught_up = false;
    }

    /// Notes that a process runs again, so that the next rate is taken from now on. A paused process finds
    /// the datagrams of the pause in its socket buffer.
    pub(super) fn process_returned(&mut self, index: usize) {
        let (counters, cpu, _) =
            self.seen[index].last.unwrap_or((Counters::default(), Duration::ZERO, Instant::now()));
        let counters = Counters { at_us: now().as_micros() as u64, ..counters };
        self.seen[index].last = Some((counters, cpu, Instant::now()));
        self.seen[index].caught_up = false;
    }

    /// The number of processes that had not caught up at the last poll.
    pub(super) fn missing(&self) -> usize {
        self.seen.iter().filter(|seen| !seen.caught_up).count()
    }

    /// When the last process caught up, in microseconds of Unix time; 0 if none had to.
    pub(super) fn caught_up_us(&self) -> u64 {
        self.seen.iter().map(|seen| seen.caught_up_us).max().unwrap_or(0)
    }
}
