//! Fault injection into a calm fleet: what is done to hollow and real routers and to control instances, and how all are
//! observed until the fleet is calm again.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

use super::member_watch::MemberWatch;
use super::window::Window;
use super::{Failed, World};
use crate::listing::DiscoveryCounts;
use crate::now;
use crate::record::{Bound, Mode};
use crate::scale::border::Border;
use crate::scale::counters::merged;
use crate::scale::faults::{
    CUT, DOWN, Fault, ONE_IN, STOPPED, calm_after, is_struck, shares_with_all_after, was_cut,
};
use crate::scale::hollow::{REGIONS, side};
use crate::scale::member::Member;
use crate::scale::orders::{HollowReport, Order};

/// How long after a fault the fleet is watched for its return to calm.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often hollow routers are counted meanwhile.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// How long the traffic must have been calm.
const CALM_DURATION: Duration = Duration::from_secs(4);
/// Calm is at most so many times the traffic before the fault.
const CALM_TIMES: f64 = 1.25;
/// How often real processes are asked for their counts.
const ASKED_EVERY: Duration = Duration::from_millis(200);

/// When a fault begins and ends, since the epoch.
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

/// What is still to be done of a fault, and when.
struct Schedule {
    end: Option<Duration>,
    /// Last first.
    promotions: Vec<Duration>,
}

impl Schedule {
    /// Primaries change while the routers of a fault start; of a cut, in its middle and when it has just healed.
    fn new(fault: Fault, span: FaultSpan) -> Self {
        let promotions = match fault {
            Fault::Primary => vec![span.began + DOWN / 2],
            Fault::Cut => vec![span.ended, span.began + CUT / 2],
            Fault::Restart | Fault::Stop | Fault::Control => Vec::new(),
        };
        Self { end: Some(span.ended), promotions }
    }

    /// When something is due next: at the latest, to look at real processes.
    fn next(&self) -> Duration {
        let due = [self.promotions.last().copied(), self.end];
        due.into_iter().flatten().fold(now() + ASKED_EVERY, Duration::min)
    }
}

/// Real processes, as they are seen during a fault.
#[derive(Default)]
struct RealWatches {
    control: MemberWatch,
    routers: MemberWatch,
}

impl RealWatches {
    fn look(&mut self, world: &World) -> std::io::Result<()> {
        self.control.look(&world.control, world.sizes.mode)?;
        self.routers.look(&world.real, world.sizes.mode)
    }
}

/// What was last seen of a fleet after a fault.
struct Recovery {
    /// Of hollow routers.
    reports: Vec<HollowReport>,
    /// The same at the end of a cut.
    while_cut: Option<Vec<HollowReport>>,
    /// How long after the fault the traffic was calm, in seconds, if it was within the timeout.
    calm_after: Option<f64>,
}

impl Recovery {
    fn following(&self) -> usize {
        self.reports.iter().map(|report| report.following).sum()
    }
}

/// Injects the fault into the fleet, watches it until it is calm again, and enters figures. Returns the bounds on whether
/// all follow again, the traffic is calm again, and a cut was a cut.
///
/// # Errors
/// A process cannot be started or does not report.
pub(super) fn inject(
    world: &mut World,
    fault: Fault,
    calm: &Window,
    figures: &mut BTreeMap<String, f64>,
) -> Result<Vec<Bound>, Failed> {
    world.order_hollow(&Order::Mark)?;
    let mut watches = RealWatches::default();
    watches.look(world)?;
    watches.routers.hold_as_before();
    let discovery = world.listing.counts();
    world.begin(fault, &mut watches.routers)?;
    let began = now();
    let span = FaultSpan { began, ended: began + fault.lasts() };
    let hollow = world.sizes.routers - world.sizes.real;
    let calm_bytes = (calm.hollow.bytes_in + calm.hollow.bytes_out) * hollow as f64;
    let recovery = world.recover(fault, span, calm_bytes, &mut watches)?;
    let missing = (hollow - recovery.following() + watches.routers.missing()) as f64;
    let mut put = |name: &str, value: f64| {
        figures.insert(name.to_string(), value);
    };
    put("follow_missing", missing);
    put_hollow(&mut put, &recovery, span.ended_us());
    world.put_struck(&mut put, fault, &watches.routers, span.ended_us());
    if !world.control.is_empty() {
        put_control(&mut put, &watches.control, calm);
    }
    put_discovery(&mut put, &world.listing.counts().since(discovery));
    world.known(&recovery.reports, figures);
    if let Some(reports) = &recovery.while_cut {
        world.of_cut(reports, span, figures);
    }
    Ok(bounds(missing, recovery.calm_after, figures))
}

/// None may be missing at the end: no follower, no calm, no side of a cut.
fn bounds(missing: f64, calm_after: Option<f64>, figures: &BTreeMap<String, f64>) -> Vec<Bound> {
    let held = |figure: &str, value: f64| Bound {
        figure: figure.to_string(),
        value,
        limit: 0.0,
        held: value <= 0.0,
    };
    let calm_missing = f64::from(u8::from(calm_after.is_none()));
    let mut bounds = vec![held("follow_missing", missing), held("calm_missing", calm_missing)];
    let of_cut = ["cut_missing", "agree_missing"];
    bounds.extend(of_cut.iter().filter_map(|name| Some(held(name, *figures.get(*name)?))));
    bounds
}

/// When hollow routers follow again, their most traffic, and the age of what they know.
fn put_hollow(put: &mut impl FnMut(&str, f64), recovery: &Recovery, ended_us: u64) {
    let reports = &recovery.reports;
    let unfollowed = reports.iter().map(|report| report.unfollowed_us).max().unwrap_or(0);
    let peak = reports.iter().map(|report| report.peak_quarter).max().unwrap_or(0);
    put("follow_max_s", unfollowed.saturating_sub(ended_us) as f64 / 1e6);
    put("peak_router_bytes_s", peak as f64 * 4.0);
    if let Some(after) = recovery.calm_after {
        put("calm_after_s", after);
    }
    let ages = merged(reports.iter().map(|report| &report.ages));
    put("fault_age_p99_s", ages.value_at_quantile(0.99) as f64 / 1e6);
    put("fault_age_max_s", ages.max() as f64 / 1e6);
}

/// The most traffic and processor time of control instances.
fn put_control(put: &mut impl FnMut(&str, f64), control: &MemberWatch, calm: &Window) {
    put("peak_control_bytes_s", control.peak_bytes);
    put("peak_control_cpu_part", control.peak_cpu);
    let calm = calm.control.bytes_in + calm.control.bytes_out;
    put("peak_control_times", control.peak_bytes / calm.max(1.0));
}

/// What discovery was asked since the fault began.
fn put_discovery(put: &mut impl FnMut(&str, f64), discovery: &DiscoveryCounts) {
    put("fault_discovery_calls", discovery.requests as f64);
    put("fault_discovery_lists", discovery.full_lists as f64);
    put("fault_discovery_bytes_in", discovery.bytes_in as f64);
    put("fault_discovery_bytes_out", discovery.bytes_out as f64);
}

impl World {
    /// Ends the fault in time, and watches the fleet until all follow and the traffic has been calm for a while, or until
    /// the timeout. `calm_bytes` is the traffic of all hollow routers before the fault, in bytes a second.
    fn recover(
        &mut self,
        fault: Fault,
        span: FaultSpan,
        calm_bytes: f64,
        watches: &mut RealWatches,
    ) -> std::io::Result<Recovery> {
        let hollow = self.sizes.routers - self.sizes.real;
        let mut schedule = Schedule::new(fault, span);
        let mut while_cut = None;
        let mut counted_at = now();
        loop {
            sleep(schedule.next().saturating_sub(now()));
            if schedule.end.take_if(|at| *at <= now()).is_some() {
                if fault == Fault::Cut {
                    while_cut = Some(self.order_hollow(&Order::Count)?);
                }
                self.end(fault, &mut watches.routers)?;
            }
            if schedule.promotions.pop_if(|at| *at <= now()).is_some() {
                self.promote()?;
            }
            watches.look(self)?;
            if now() < counted_at + COUNT_INTERVAL && now() < span.ended + RECOVERY_TIMEOUT {
                continue;
            }
            counted_at = now();
            let reports = self.order_hollow(&Order::Count)?;
            let calm_after = calm_after(&by_quarter(&reports), span.ended_us(), calm_bytes, CALM_TIMES);
            let follow = reports.iter().map(|report| report.following).sum::<usize>() == hollow;
            let quiet = calm_after
                .is_some_and(|after| now() > span.ended + Duration::from_secs_f64(after) + CALM_DURATION);
            let recovered = follow && watches.routers.missing() == 0 && quiet;
            if recovered || now() >= span.ended + RECOVERY_TIMEOUT {
                return Ok(Recovery { reports, while_cut, calm_after });
            }
        }
    }

    /// How many real routers are struck, when the last of them follows again, and the most traffic of one.
    fn put_struck(
        &self,
        put: &mut impl FnMut(&str, f64),
        fault: Fault,
        routers: &MemberWatch,
        ended_us: u64,
    ) {
        if self.real.is_empty() || self.sizes.mode == Mode::Off {
            return;
        }
        put("real_struck", self.struck(fault).len() as f64);
        put("real_follow_max_s", routers.followed_us().saturating_sub(ended_us) as f64 / 1e6);
        put("peak_real_bytes_s", routers.peak_bytes);
    }
}

impl World {
    /// The places among the real routers of those that are restarted or stopped.
    fn struck(&self, fault: Fault) -> Vec<usize> {
        match fault {
            Fault::Restart | Fault::Stop | Fault::Primary => {
                (0..self.real.len()).filter(|place| is_struck(*place, ONE_IN)).collect()
            }
            Fault::Cut | Fault::Control => Vec::new(),
        }
    }

    fn begin(&mut self, fault: Fault, watch: &mut MemberWatch) -> std::io::Result<()> {
        let ms = |span: Duration| span.as_millis() as u64;
        let struck = self.struck(fault);
        match fault {
            Fault::Restart | Fault::Primary => {
                // Real ones take a few milliseconds each, so that they go down first.
                for place in struck {
                    self.real[place].kill();
                    watch.lost(place);
                }
                self.order_hollow(&Order::Restart { one_in: ONE_IN, down_ms: ms(DOWN) })?;
            }
            Fault::Stop => {
                struck.into_iter().for_each(|place| self.real[place].stand_still(true));
                self.order_hollow(&Order::Stop { one_in: ONE_IN, ms: ms(STOPPED) })?;
            }
            Fault::Cut => {
                _ = self.order_hollow(&Order::Cut { ms: ms(CUT) })?;
                self.border.iter().for_each(Border::close);
            }
            Fault::Control => {
                if let Some(instance) = self.control.first_mut() {
                    instance.kill();
                }
            }
        }
        Ok(())
    }

    /// Hollow routers return, or reach the others again, by themselves.
    fn end(&mut self, fault: Fault, watch: &mut MemberWatch) -> std::io::Result<()> {
        if fault == Fault::Cut {
            self.border.iter().for_each(Border::open);
        }
        for place in self.struck(fault) {
            match fault {
                Fault::Stop => self.real[place].stand_still(false),
                _ => self.real[place].start()?,
            }
            watch.returned(place);
        }
        Ok(())
    }
}

impl World {
    /// What each side knew while it was cut off, by these reports of its end, and when all agreed again: routers by what
    /// they know, control instances by whom they share duties with.
    fn of_cut(&self, reports: &[HollowReport], span: FaultSpan, figures: &mut BTreeMap<String, f64>) {
        let (began_us, ended_us) = (span.began.as_micros() as u64, span.ended_us());
        let mut put = |name: &str, value: f64| {
            figures.insert(name.to_string(), value);
        };
        let mut oldest: f64 = 0.0;
        for (side, name) in REGIONS.iter().enumerate() {
            let ages = merged(reports.iter().map(|report| &report.ages_by_side[side]));
            put(&format!("cut_age_{name}_p99_s"), ages.value_at_quantile(0.99) as f64 / 1e6);
            put(&format!("cut_age_{name}_max_s"), ages.max() as f64 / 1e6);
            oldest = oldest.max(ages.max() as f64 / 1e6);
        }
        put("cut_age_max_s", oldest);
        let all = self.control.len() as u64;
        let half = |member: &Member| {
            let near = |other: &&Member| side(other.address.feed) == side(member.address.feed);
            self.control.iter().filter(near).count() as u64
        };
        let mut uncut = 0.0;
        let mut apart = 0.0;
        let mut last: f64 = 0.0;
        for member in &self.control {
            let duties = member.duties();
            let was_cut = half(member) == all || was_cut(&duties, (began_us, ended_us), half(member));
            uncut += f64::from(u8::from(!was_cut));
            match shares_with_all_after(&duties, ended_us, all) {
                Some(after) => last = last.max(after),
                None => apart += 1.0,
            }
        }
        put("cut_missing", uncut);
        put("agree_missing", apart);
        put("control_agree_s", last);
        let parts = ["follow_max_s", "real_follow_max_s", "control_agree_s", "change_known_max_s"];
        let agree =
            parts.iter().filter_map(|name| figures.get(*name)).fold(0.0, |most: f64, part| most.max(*part));
        figures.insert("agree_max_s".to_string(), agree);
    }
}

/// Bytes in and out of all hollow routers by quarters of a second, but for the last, which may not have come from all.
fn by_quarter(reports: &[HollowReport]) -> Vec<(u64, u64)> {
    let mut all: BTreeMap<u64, u64> = BTreeMap::new();
    for (at, bytes) in reports.iter().flat_map(|report| &report.quarters) {
        // Processes look at their routers at moments of their own.
        *all.entry(at / 250_000 * 250_000).or_default() += bytes;
    }
    all.pop_last();
    all.into_iter().collect()
}
