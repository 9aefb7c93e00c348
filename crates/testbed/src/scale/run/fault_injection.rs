//! Injects a fault into hollow and real routers and control instances of a settled fleet, and observes them
//! until the fleet has recovered.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

use super::member_watch::MemberWatch;
use super::window::Window;
use super::{RunError, TestFleet};
use crate::listing::DiscoveryCounts;
use crate::now;
use crate::record::{Bound, Mode};
use crate::scale::commands::{HollowReport, StandInCommand};
use crate::scale::counters::merge_histograms;
use crate::scale::faults::{
    AFFECTED_ONE_IN, Fault, PARTITION_DURATION, RESTART_DOWNTIME, STOP_DURATION, calm_after_s, is_affected,
    rejoined_after_s, was_partitioned,
};
use crate::scale::hollow::{REGIONS, side};
use crate::scale::member::Member;
use crate::scale::partition::PartitionRelays;

/// How long after a fault the fleet is given to recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often hollow routers are polled during recovery.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// How long the traffic must have been back to normal.
const CALM_DURATION: Duration = Duration::from_secs(4);
/// Traffic is normal up to this multiple of the traffic before the fault.
const CALM_TIMES: f64 = 1.25;
/// How often real processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// When a fault begins and ends, as times since the Unix epoch.
#[derive(Clone, Copy)]
struct FaultSpan {
    began: Duration,
    ended: Duration,
}

impl FaultSpan {
    fn ended_us(&self) -> u64 {
        self.ended.as_micros() as u64
    }
}

/// Actions of a fault that are still due.
struct Schedule {
    end: Option<Duration>,
    /// In reverse order.
    promotions: Vec<Duration>,
}

impl Schedule {
    /// Primaries change while the restarted routers are starting; in a partition, one changes in its middle
    /// and one right after it has healed.
    fn new(fault: Fault, span: FaultSpan) -> Self {
        let promotions = match fault {
            Fault::Primary => vec![span.began + RESTART_DOWNTIME / 2],
            Fault::Partition => vec![span.ended, span.began + PARTITION_DURATION / 2],
            Fault::Restart | Fault::Stop | Fault::Control => Vec::new(),
        };
        Self { end: Some(span.ended), promotions }
    }

    /// When the next action or poll of real processes is due.
    fn next(&self) -> Duration {
        let due = [self.promotions.last().copied(), self.end];
        due.into_iter().flatten().fold(now() + POLL_INTERVAL, Duration::min)
    }
}

/// The watches on real processes during a fault.
#[derive(Default)]
struct RealWatches {
    control: MemberWatch,
    routers: MemberWatch,
}

impl RealWatches {
    fn poll(&mut self, fleet: &TestFleet) -> std::io::Result<()> {
        self.control.poll(&fleet.control, fleet.sizes.mode)?;
        self.routers.poll(&fleet.real, fleet.sizes.mode)
    }
}

/// The last state seen of a fleet after a fault.
struct Recovery {
    /// The reports of hollow routers.
    reports: Vec<HollowReport>,
    /// The same at the end of a partition.
    while_partitioned: Option<Vec<HollowReport>>,
    /// How long after the fault the traffic was back to normal, in seconds; `None` if it was not by the
    /// timeout.
    calm_after_s: Option<f64>,
}

impl Recovery {
    fn caught_up(&self) -> usize {
        self.reports.iter().map(|report| report.caught_up).sum()
    }
}

/// Injects the fault, watches the fleet until it has recovered, and adds figures. Returns bounds on whether
/// all routers have caught up, the traffic is back to normal, and a partition was complete.
///
/// # Errors
/// A process cannot be started or does not report.
pub(super) fn inject(
    fleet: &mut TestFleet,
    fault: Fault,
    calm: &Window,
    figures: &mut BTreeMap<String, f64>,
) -> Result<Vec<Bound>, RunError> {
    fleet.command_hollow(&StandInCommand::Mark)?;
    let mut watches = RealWatches::default();
    watches.poll(fleet)?;
    watches.routers.set_reference();
    let discovery = fleet.listing.counts();
    fleet.begin(fault, &mut watches.routers)?;
    let began = now();
    let span = FaultSpan { began, ended: began + fault.duration() };
    let hollow = fleet.sizes.routers - fleet.sizes.real;
    let calm_bytes = (calm.hollow.bytes_in + calm.hollow.bytes_out) * hollow as f64;
    let recovery = fleet.recover(fault, span, calm_bytes, &mut watches)?;
    let missing = (hollow - recovery.caught_up() + watches.routers.missing()) as f64;
    let mut put = |name: &str, value: f64| {
        figures.insert(name.to_string(), value);
    };
    put("follow_missing", missing);
    put_hollow(&mut put, &recovery, span.ended_us());
    fleet.put_affected(&mut put, fault, &watches.routers, span.ended_us());
    if !fleet.control.is_empty() {
        put_control(&mut put, &watches.control, calm);
    }
    put_discovery(&mut put, &fleet.listing.counts().since(discovery));
    fleet.put_promotions(&recovery.reports, figures);
    if let Some(reports) = &recovery.while_partitioned {
        fleet.put_partition(reports, span, figures);
    }
    Ok(bounds(missing, recovery.calm_after_s, figures))
}

/// Bounds of zero: no router may be left behind, the traffic must be back to normal, and every control
/// instance must have been partitioned and have rejoined.
fn bounds(missing: f64, calm_after_s: Option<f64>, figures: &BTreeMap<String, f64>) -> Vec<Bound> {
    let zero_bound = |figure: &str, value: f64| Bound {
        figure: figure.to_string(),
        value,
        limit: 0.0,
        held: value <= 0.0,
    };
    let calm_missing = f64::from(u8::from(calm_after_s.is_none()));
    let mut bounds = vec![zero_bound("follow_missing", missing), zero_bound("calm_missing", calm_missing)];
    let partition_figures = ["cut_missing", "agree_missing"];
    bounds.extend(partition_figures.iter().filter_map(|name| Some(zero_bound(name, *figures.get(*name)?))));
    bounds
}

/// When hollow routers had caught up, their peak traffic, and the ages of their observations.
fn put_hollow(put: &mut impl FnMut(&str, f64), recovery: &Recovery, ended_us: u64) {
    let reports = &recovery.reports;
    let last_behind = reports.iter().map(|report| report.last_behind_us).max().unwrap_or(0);
    let peak = reports.iter().map(|report| report.peak_quarter).max().unwrap_or(0);
    put("follow_max_s", last_behind.saturating_sub(ended_us) as f64 / 1e6);
    put("peak_router_bytes_s", peak as f64 * 4.0);
    if let Some(after) = recovery.calm_after_s {
        put("calm_after_s", after);
    }
    let ages = merge_histograms(reports.iter().map(|report| &report.ages));
    put("fault_age_p99_s", ages.value_at_quantile(0.99) as f64 / 1e6);
    put("fault_age_max_s", ages.max() as f64 / 1e6);
}

/// The peak traffic and processor time of control instances.
fn put_control(put: &mut impl FnMut(&str, f64), control: &MemberWatch, calm: &Window) {
    put("peak_control_bytes_s", control.peak_bytes);
    put("peak_control_cpu_part", control.peak_cpu);
    let calm = calm.control.bytes_in + calm.control.bytes_out;
    put("peak_control_times", control.peak_bytes / calm.max(1.0));
}

/// The requests to discovery since the fault began.
fn put_discovery(put: &mut impl FnMut(&str, f64), discovery: &DiscoveryCounts) {
    put("fault_discovery_calls", discovery.requests as f64);
    put("fault_discovery_lists", discovery.full_lists as f64);
    put("fault_discovery_bytes_in", discovery.bytes_in as f64);
    put("fault_discovery_bytes_out", discovery.bytes_out as f64);
}

impl TestFleet {
    /// Ends the fault when it is due, and watches the fleet until all routers have caught up and the traffic
    /// has been normal for a while, or until the timeout. `calm_bytes` is the traffic of all hollow routers
    /// before the fault, in bytes per second.
    fn recover(
        &mut self,
        fault: Fault,
        span: FaultSpan,
        calm_bytes: f64,
        watches: &mut RealWatches,
    ) -> std::io::Result<Recovery> {
        let hollow = self.sizes.routers - self.sizes.real;
        let mut schedule = Schedule::new(fault, span);
        let mut while_partitioned = None;
        let mut counted_at = now();
        loop {
            sleep(schedule.next().saturating_sub(now()));
            if schedule.end.take_if(|at| *at <= now()).is_some() {
                if fault == Fault::Partition {
                    while_partitioned = Some(self.command_hollow(&StandInCommand::Count)?);
                }
                self.end(fault, &mut watches.routers)?;
            }
            if schedule.promotions.pop_if(|at| *at <= now()).is_some() {
                self.promote()?;
            }
            watches.poll(self)?;
            if now() < counted_at + COUNT_INTERVAL && now() < span.ended + RECOVERY_TIMEOUT {
                continue;
            }
            counted_at = now();
            let reports = self.command_hollow(&StandInCommand::Count)?;
            let calm_after_s = calm_after_s(&by_quarter(&reports), span.ended_us(), calm_bytes, CALM_TIMES);
            let all_caught_up = reports.iter().map(|report| report.caught_up).sum::<usize>() == hollow;
            let quiet = calm_after_s
                .is_some_and(|after| now() > span.ended + Duration::from_secs_f64(after) + CALM_DURATION);
            let recovered = all_caught_up && watches.routers.missing() == 0 && quiet;
            if recovered || now() >= span.ended + RECOVERY_TIMEOUT {
                return Ok(Recovery { reports, while_partitioned, calm_after_s });
            }
        }
    }

    /// How many real routers are affected, when the last of them had caught up, and the peak traffic of one.
    fn put_affected(
        &self,
        put: &mut impl FnMut(&str, f64),
        fault: Fault,
        routers: &MemberWatch,
        ended_us: u64,
    ) {
        if self.real.is_empty() || self.sizes.mode == Mode::Off {
            return;
        }
        put("real_struck", self.affected(fault).len() as f64);
        put("real_follow_max_s", routers.caught_up_us().saturating_sub(ended_us) as f64 / 1e6);
        put("peak_real_bytes_s", routers.peak_bytes);
    }
}

impl TestFleet {
    /// The indexes of the real routers that are restarted or stopped.
    fn affected(&self, fault: Fault) -> Vec<usize> {
        match fault {
            Fault::Restart | Fault::Stop | Fault::Primary => {
                (0..self.real.len()).filter(|index| is_affected(*index, AFFECTED_ONE_IN)).collect()
            }
            Fault::Partition | Fault::Control => Vec::new(),
        }
    }

    fn begin(&mut self, fault: Fault, watch: &mut MemberWatch) -> std::io::Result<()> {
        let ms = |span: Duration| span.as_millis() as u64;
        let affected = self.affected(fault);
        match fault {
            Fault::Restart | Fault::Primary => {
                // Killing a real router takes a few milliseconds, so these go down first.
                for index in affected {
                    self.real[index].kill();
                    watch.process_lost(index);
                }
                self.command_hollow(&StandInCommand::Restart {
                    one_in: AFFECTED_ONE_IN,
                    down_ms: ms(RESTART_DOWNTIME),
                })?;
            }
            Fault::Stop => {
                affected.into_iter().for_each(|index| self.real[index].set_paused(true));
                self.command_hollow(&StandInCommand::Stop {
                    one_in: AFFECTED_ONE_IN,
                    ms: ms(STOP_DURATION),
                })?;
            }
            Fault::Partition => {
                _ = self.command_hollow(&StandInCommand::Partition { ms: ms(PARTITION_DURATION) })?;
                self.partition.iter().for_each(PartitionRelays::close);
            }
            Fault::Control => {
                if let Some(instance) = self.control.first_mut() {
                    instance.kill();
                }
            }
        }
        Ok(())
    }

    /// Ends the fault for real processes. Hollow routers restart, continue or reach the others again by
    /// themselves.
    fn end(&mut self, fault: Fault, watch: &mut MemberWatch) -> std::io::Result<()> {
        if fault == Fault::Partition {
            self.partition.iter().for_each(PartitionRelays::open);
        }
        for index in self.affected(fault) {
            match fault {
                Fault::Stop => self.real[index].set_paused(false),
                _ => self.real[index].start()?,
            }
            watch.process_returned(index);
        }
        Ok(())
    }
}

impl TestFleet {
    /// Adds the age of observations on each side, by reports from the end of the partition, and when all
    /// agreed again: routers by their observations, control instances by the peers that they share tasks
    /// with.
    fn put_partition(&self, reports: &[HollowReport], span: FaultSpan, figures: &mut BTreeMap<String, f64>) {
        let (began_us, ended_us) = (span.began.as_micros() as u64, span.ended_us());
        let mut put = |name: &str, value: f64| {
            figures.insert(name.to_string(), value);
        };
        let mut oldest: f64 = 0.0;
        for (side, name) in REGIONS.iter().enumerate() {
            let ages = merge_histograms(reports.iter().map(|report| &report.ages_by_side[side]));
            put(&format!("cut_age_{name}_p99_s"), ages.value_at_quantile(0.99) as f64 / 1e6);
            put(&format!("cut_age_{name}_max_s"), ages.max() as f64 / 1e6);
            oldest = oldest.max(ages.max() as f64 / 1e6);
        }
        put("cut_age_max_s", oldest);
        let all = self.control.len() as u64;
        let same_side_count = |member: &Member| {
            let is_same_side = |other: &&Member| side(other.address.feed) == side(member.address.feed);
            self.control.iter().filter(is_same_side).count() as u64
        };
        let mut not_partitioned = 0.0;
        let mut not_rejoined = 0.0;
        let mut last: f64 = 0.0;
        for member in &self.control {
            let task_shares = member.task_shares();
            let was_partitioned = same_side_count(member) == all
                || was_partitioned(&task_shares, (began_us, ended_us), same_side_count(member));
            not_partitioned += f64::from(u8::from(!was_partitioned));
            match rejoined_after_s(&task_shares, ended_us, all) {
                Some(after) => last = last.max(after),
                None => not_rejoined += 1.0,
            }
        }
        put("cut_missing", not_partitioned);
        put("agree_missing", not_rejoined);
        put("control_agree_s", last);
        let parts = ["follow_max_s", "real_follow_max_s", "control_agree_s", "change_known_max_s"];
        let agree =
            parts.iter().filter_map(|name| figures.get(*name)).fold(0.0, |most: f64, part| most.max(*part));
        figures.insert("agree_max_s".to_string(), agree);
    }
}

/// Bytes in and out of all hollow routers by quarters of a second, without the last quarter, which not all
/// processes may have reported yet.
fn by_quarter(reports: &[HollowReport]) -> Vec<(u64, u64)> {
    let mut all: BTreeMap<u64, u64> = BTreeMap::new();
    for (at, bytes) in reports.iter().flat_map(|report| &report.quarters) {
        // The processes sample at different times; round to a common grid.
        *all.entry(at / 250_000 * 250_000).or_default() += bytes;
    }
    all.pop_last();
    all.into_iter().collect()
}
