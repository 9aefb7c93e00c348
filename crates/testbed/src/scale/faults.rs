//! Faults of a scale run, by name.

use std::str::FromStr;
use std::time::Duration;

use crate::record::Mode;
use crate::scale::counters::Counters;

/// A sixth of the routers.
pub const AFFECTED_ONE_IN: usize = 6;
/// How long routers are down that restart.
pub const RESTART_DOWNTIME: Duration = Duration::from_millis(500);
pub const STOP_DURATION: Duration = Duration::from_secs(3);
pub const PARTITION_DURATION: Duration = Duration::from_secs(30);

/// A real router that follows as many control instances as before, and holds this part of what it held before, has its
/// first copies: the second halves come seconds later, and are in no hurry.
const FIRST_COPIES_PART: f64 = 0.45;
/// The same where all are members, which hold all at once.
const MEMBER_STATE_PART: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A sixth of the routers restarted at once.
    Restart,
    /// A sixth of the routers stopped for three seconds, and continued.
    Stop,
    /// Two halves cut from each other for half a minute, and healed: routers and control instances, hollow and real.
    Partition,
    /// A control instance killed.
    Control,
    /// A primary changed in the middle of the restart of a sixth.
    Primary,
}

pub const ALL: [Fault; 5] = [Fault::Restart, Fault::Stop, Fault::Partition, Fault::Control, Fault::Primary];

/// Whether the router of this place, among the real ones or among all hollow ones, is one of those that are restarted
/// or stopped.
pub fn is_affected(index: usize, one_in: usize) -> bool {
    index.is_multiple_of(one_in.max(1))
}

/// Whether a real router that tells these counts knows again what it knew before the fault.
pub fn has_caught_up(mode: Mode, now: &Counters, before: &Counters) -> bool {
    let held = if mode == Mode::Feed { FIRST_COPIES_PART } else { MEMBER_STATE_PART };
    now.following >= before.following && now.state as f64 >= before.state as f64 * held
}

/// Whether a control instance that has said these counts of its fleet came to be alone with its half in the time
/// between.
pub fn was_partitioned(shares: &[(u64, u64)], between: (u64, u64), half: u64) -> bool {
    shares.iter().any(|(at, routers)| (between.0..between.1).contains(at) && *routers == half)
}

/// When it said for the last time how it shares duties, in seconds after `from_us`, if that was with all.
pub fn rejoined_after_s(shares: &[(u64, u64)], from_us: u64, all: u64) -> Option<f64> {
    let (at, routers) = shares.last()?;
    (*routers == all).then(|| at.saturating_sub(from_us) as f64 / 1e6)
}

#[derive(Debug, thiserror::Error)]
#[error("fault: expected restart, stop, cut, control or primary, found {0}")]
pub struct UnknownFault(String);

impl Fault {
    pub fn name(self) -> &'static str {
        match self {
            Self::Restart => "restart",
            Self::Stop => "stop",
            Self::Partition => "cut",
            Self::Control => "control",
            Self::Primary => "primary",
        }
    }

    /// From its beginning until all is as it was before, but for what the routers make of it.
    pub fn duration(self) -> Duration {
        match self {
            Self::Restart | Self::Primary => RESTART_DOWNTIME,
            Self::Stop => STOP_DURATION,
            Self::Partition => PARTITION_DURATION,
            Self::Control => Duration::ZERO,
        }
    }
}

impl FromStr for Fault {
    type Err = UnknownFault;
    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        ALL.into_iter().find(|fault| fault.name() == name).ok_or_else(|| UnknownFault(name.to_string()))
    }
}

/// From when on all is calm: the last quarter of a second in which more than this many times the calm bytes passed
/// within a second around it. In microseconds after `from_us`; `None` where it was not calm at the end.
pub fn calm_after_s(quarters: &[(u64, u64)], from_us: u64, calm_bytes_s: f64, times: f64) -> Option<f64> {
    let is_busy = |window: &&[(u64, u64)]| {
        let bytes: u64 = window.iter().map(|(_, bytes)| bytes).sum();
        bytes as f64 > calm_bytes_s * times
    };
    let last = quarters.windows(4).filter(is_busy).filter_map(|window| window.last()).next_back();
    let end = quarters.last().map_or(0, |(at, _)| *at);
    match last {
        Some((at, _)) if *at >= end => None,
        Some((at, _)) => Some(at.saturating_sub(from_us) as f64 / 1e6),
        None => Some(0.0),
    }
}
