//! The faults that a scale run can inject, and the rules that decide whether a fleet has recovered.

use std::str::FromStr;
use std::time::Duration;

use crate::record::Mode;
use crate::scale::counters::Counters;

/// One router in this many is restarted or stopped.
pub const AFFECTED_ONE_IN: usize = 6;
/// How long restarted routers are down.
pub const RESTART_DOWNTIME: Duration = Duration::from_millis(500);
/// How long stopped routers are paused.
pub const STOP_DURATION: Duration = Duration::from_secs(3);
/// How long a partition lasts.
pub const PARTITION_DURATION: Duration = Duration::from_secs(30);

/// Mode feed: a restarted real router has caught up once it follows as many control instances as before and
/// its state has this fraction of its former size. It pulls every snapshot from one control instance first,
/// which is about half of the state; the redundant snapshots follow seconds later because they are not
/// urgent.
const FIRST_COPIES_PART: f64 = 0.45;
/// Mode shared: members receive their whole state at once.
const MEMBER_STATE_PART: f64 = 0.9;

/// A fault that is injected into a running fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A sixth of the routers is killed at once and restarted.
    Restart,
    /// A sixth of the routers is paused for three seconds (SIGSTOP) and then continued.
    Stop,
    /// The two sides of the fleet, with their hollow and real routers and control instances, are partitioned
    /// for 30 seconds, then healed.
    Partition,
    /// A control instance is killed and not restarted.
    Control,
    /// A primary changes while a sixth of the routers is being restarted.
    Primary,
}

/// All faults, in the order in which the long suite runs them.
pub const ALL: [Fault; 5] = [Fault::Restart, Fault::Stop, Fault::Partition, Fault::Control, Fault::Primary];

/// Whether the router at this index, among the real or among all hollow routers, is restarted or stopped.
pub fn is_affected(index: usize, one_in: usize) -> bool {
    index.is_multiple_of(one_in.max(1))
}

/// Whether a real router with these counters has recovered what it knew before the fault.
pub fn has_caught_up(mode: Mode, now: &Counters, before: &Counters) -> bool {
    let min_part = if mode == Mode::Feed { FIRST_COPIES_PART } else { MEMBER_STATE_PART };
    now.following >= before.following && now.state as f64 >= before.state as f64 * min_part
}

/// Whether a control instance shared its tasks with its own side alone at some time within `between`.
/// `shares` are the times in microseconds and the numbers of instances that it logged; `half` is the number
/// of instances on its side.
pub fn was_partitioned(shares: &[(u64, u64)], between: (u64, u64), half: u64) -> bool {
    shares.iter().any(|(at, routers)| (between.0..between.1).contains(at) && *routers == half)
}

/// How many seconds after `from_us` a control instance last logged a change in task sharing, if that was with
/// all `all` instances; `None` if it does not share with all of them.
pub fn rejoined_after_s(shares: &[(u64, u64)], from_us: u64, all: u64) -> Option<f64> {
    let (at, routers) = shares.last()?;
    (*routers == all).then(|| at.saturating_sub(from_us) as f64 / 1e6)
}

/// A fault name that is not known.
#[derive(Debug, thiserror::Error)]
#[error("fault: expected restart, stop, cut, control or primary, found {0}")]
pub struct UnknownFault(String);

impl Fault {
    /// The name in options and records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Restart => "restart",
            Self::Stop => "stop",
            Self::Partition => "cut",
            Self::Control => "control",
            Self::Primary => "primary",
        }
    }

    /// How long the fault itself lasts; the recovery of the routers comes after it.
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

/// When the traffic returned to its normal level, in seconds after `from_us`: the end of the last one-second
/// window, in steps of a quarter of a second, with more than `times` times the normal bytes. Zero if there
/// was no such window; `None` if the last window was one.
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
