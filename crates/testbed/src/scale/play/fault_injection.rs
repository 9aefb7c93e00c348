//! A fault, played in a fleet that is calm: what is done to hollow and real routers and to control instances, and how
//! all are looked at until it is calm again.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::window::Window;
use super::{Failed, World};
use crate::now;
use crate::record::{Bound, Mode};
use crate::scale::border::Border;
use crate::scale::counters::{Sums, merged};
use crate::scale::faults::{
    CUT, DOWN, Fault, ONE_IN, STOPPED, calm_after, follows, is_struck, shares_with_all_after, was_cut,
};
use crate::scale::hollow::{REGIONS, side};
use crate::scale::member::Member;
use crate::scale::orders::{CrowdReport, Order};

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
/// What passes in a shorter time, as right after a return, is a part of what is counted by the next look: divided by so
/// little time it would be no rate.
const SHORTEST_S: f64 = 0.15;

/// Plays the fault, and looks at the fleet until it is calm again.
pub(super) fn inject(
    world: &mut World,
    fault: Fault,
    calm: &Window,
    figures: &mut BTreeMap<String, f64>,
) -> Result<Vec<Bound>, Failed> {
    world.order_crowds(&Order::Mark)?;
    let (mut control, mut real) = (Watch::default(), Watch::default());
    control.look(&world.control, world.sizes.mode)?;
    real.look(&world.real, world.sizes.mode)?;
    real.hold_as_before();
    let discovery = world.listing.counts();
    world.begin(fault, &mut real)?;
    let began = now();
    let ended = began + fault.lasts();
    // Last first: while the routers start; in the middle of a cut, and when it has just healed.
    let mut promotes = match fault {
        Fault::Primary => vec![began + DOWN / 2],
        Fault::Cut => vec![ended, began + CUT / 2],
        Fault::Restart | Fault::Stop | Fault::Control => Vec::new(),
    };
    let mut while_cut = None;
    let mut ends = Some(ended);
    let hollow = world.sizes.routers - world.sizes.real;
    let calm_bytes = (calm.hollow.bytes_in + calm.hollow.bytes_out) * hollow as f64;
    let (ended_us, mut looked_at) = (ended.as_micros() as u64, now());
    let (reports, calm_after) = loop {
        let next =
            [promotes.last().copied(), ends].into_iter().flatten().fold(now() + ASKED_EVERY, Duration::min);
        sleep(next.saturating_sub(now()));
        if ends.take_if(|at| *at <= now()).is_some() {
            if fault == Fault::Cut {
                while_cut = Some(world.order_crowds(&Order::Count)?);
            }
            world.end(fault, &mut real)?;
        }
        if promotes.pop_if(|at| *at <= now()).is_some() {
            world.promote()?;
        }
        control.look(&world.control, world.sizes.mode)?;
        real.look(&world.real, world.sizes.mode)?;
        if now() < looked_at + COUNT_INTERVAL && now() < ended + RECOVERY_TIMEOUT {
            continue;
        }
        looked_at = now();
        let reports = world.order_crowds(&Order::Count)?;
        let calm_after = calm_after(&by_quarter(&reports), ended_us, calm_bytes, CALM_TIMES);
        let follow = reports.iter().map(|report| report.following).sum::<usize>() == hollow;
        let quiet =
            calm_after.is_some_and(|after| now() > ended + Duration::from_secs_f64(after) + CALM_DURATION);
        if (follow && real.missing() == 0 && quiet) || now() >= ended + RECOVERY_TIMEOUT {
            break (reports, calm_after);
        }
    };
    let unfollowed = reports.iter().map(|report| report.unfollowed_us).max().unwrap_or(0);
    let following: usize = reports.iter().map(|report| report.following).sum();
    let missing = (hollow - following + real.missing()) as f64;
    let peak = reports.iter().map(|report| report.peak_quarter).max().unwrap_or(0);
    let mut put = |name: &str, value: f64| _ = figures.insert(name.to_string(), value);
    put("follow_max_s", unfollowed.saturating_sub(ended_us) as f64 / 1e6);
    put("follow_missing", missing);
    put("peak_router_bytes_s", peak as f64 * 4.0);
    if !world.real.is_empty() && world.sizes.mode != Mode::Off {
        put("real_struck", world.struck(fault).len() as f64);
        put("real_follow_max_s", real.followed_us().saturating_sub(ended_us) as f64 / 1e6);
        put("peak_real_bytes_s", real.peak_bytes);
    }
    if let Some(after) = calm_after {
        put("calm_after_s", after);
    }
    let ages = merged(reports.iter().map(|report| &report.ages));
    put("fault_age_p99_s", ages.value_at_quantile(0.99) as f64 / 1e6);
    put("fault_age_max_s", ages.max() as f64 / 1e6);
    if !world.control.is_empty() {
        put("peak_control_bytes_s", control.peak_bytes);
        put("peak_control_cpu_part", control.peak_cpu);
        let calm = calm.control.bytes_in + calm.control.bytes_out;
        put("peak_control_times", control.peak_bytes / calm.max(1.0));
    }
    let discovery = world.listing.counts().since(discovery);
    put("fault_discovery_calls", discovery.calls as f64);
    put("fault_discovery_lists", discovery.lists as f64);
    put("fault_discovery_bytes_in", discovery.bytes_in as f64);
    put("fault_discovery_bytes_out", discovery.bytes_out as f64);
    world.known(&reports, figures);
    if let Some(reports) = while_cut {
        world.of_cut(&reports, (began.as_micros() as u64, ended_us), figures);
    }
    let held = |figure: &str, is: f64| Bound { figure: figure.to_string(), is, most: 0.0, held: is <= 0.0 };
    let calm_missing = f64::from(u8::from(calm_after.is_none()));
    let mut bounds = vec![held("follow_missing", missing), held("calm_missing", calm_missing)];
    let of_cut = ["cut_missing", "agree_missing"];
    bounds.extend(of_cut.iter().filter_map(|name| Some(held(name, *figures.get(*name)?))));
    Ok(bounds)
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

    fn begin(&mut self, fault: Fault, watch: &mut Watch) -> std::io::Result<()> {
        let ms = |span: Duration| span.as_millis() as u64;
        let struck = self.struck(fault);
        match fault {
            Fault::Restart | Fault::Primary => {
                // Real ones take a few milliseconds each, so that they go down first.
                for place in struck {
                    self.real[place].kill();
                    watch.lost(place);
                }
                self.order_crowds(&Order::Restart { one_in: ONE_IN, down_ms: ms(DOWN) })?;
            }
            Fault::Stop => {
                struck.into_iter().for_each(|place| self.real[place].stand_still(true));
                self.order_crowds(&Order::Stop { one_in: ONE_IN, ms: ms(STOPPED) })?;
            }
            Fault::Cut => {
                _ = self.order_crowds(&Order::Cut { ms: ms(CUT) })?;
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
    fn end(&mut self, fault: Fault, watch: &mut Watch) -> std::io::Result<()> {
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
    fn of_cut(
        &self,
        reports: &[CrowdReport],
        (began_us, ended_us): (u64, u64),
        figures: &mut BTreeMap<String, f64>,
    ) {
        let mut put = |name: &str, value: f64| _ = figures.insert(name.to_string(), value);
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
        let (mut uncut, mut apart, mut last) = (0.0, 0.0, 0.0_f64);
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
fn by_quarter(reports: &[CrowdReport]) -> Vec<(u64, u64)> {
    let mut all: BTreeMap<u64, u64> = BTreeMap::new();
    for (at, bytes) in reports.iter().flat_map(|report| &report.quarters) {
        // Processes look at their routers at moments of their own.
        *all.entry(at / 250_000 * 250_000).or_default() += bytes;
    }
    all.pop_last();
    all.into_iter().collect()
}

/// What was last seen of a real process.
#[derive(Clone, Copy, Default)]
struct Seen {
    /// Its counts, with its processor time and when that was read. None before it has been asked, and while it is down.
    last: Option<(Sums, Duration, Instant)>,
    /// As before the fault.
    before: Sums,
    /// It follows as before, and since when.
    follows: bool,
    followed_us: u64,
}

/// Real processes, asked for their counts again and again.
#[derive(Default)]
struct Watch {
    seen: Vec<Seen>,
    peak_bytes: f64,
    peak_cpu: f64,
}

impl Watch {
    fn look(&mut self, members: &[Member], mode: Mode) -> std::io::Result<()> {
        self.seen.resize(members.len(), Seen::default());
        let asked: Vec<Option<usize>> =
            members.iter().map(|member| member.answers().then(|| member.ask())).collect();
        for ((member, place), seen) in members.iter().zip(asked).zip(&mut self.seen) {
            let Some(place) = place else {
                seen.follows = false;
                continue;
            };
            let sums = member.told(place, mode)?;
            let follows = follows(mode, &sums, &seen.before);
            if follows && !seen.follows {
                seen.followed_us = sums.at_us;
            }
            seen.follows = follows;
            let cpu = member.usage().map_or(Duration::ZERO, |(_, time)| time);
            let at = Instant::now();
            if let Some((before, cpu_before, at_before)) = seen.last {
                let seconds = sums.at_us.saturating_sub(before.at_us) as f64 / 1e6;
                if seconds < SHORTEST_S {
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
    fn hold_as_before(&mut self) {
        for seen in &mut self.seen {
            seen.before = seen.last.map(|(sums, ..)| sums).unwrap_or_default();
            (seen.follows, seen.followed_us) = (true, 0);
        }
    }

    /// The process is gone, and its counts with it.
    fn lost(&mut self, place: usize) {
        (self.seen[place].last, self.seen[place].follows) = (None, false);
    }

    /// It runs from now on: what has passed by the next look has passed since then. A process that stood still finds
    /// at its socket what came meanwhile.
    fn returned(&mut self, place: usize) {
        let (sums, cpu, _) =
            self.seen[place].last.unwrap_or((Sums::default(), Duration::ZERO, Instant::now()));
        let sums = Sums { at_us: now().as_micros() as u64, ..sums };
        self.seen[place].last = Some((sums, cpu, Instant::now()));
        self.seen[place].follows = false;
    }

    /// Those that did not follow by the last look.
    fn missing(&self) -> usize {
        self.seen.iter().filter(|seen| !seen.follows).count()
    }

    /// When the last of them came to follow again.
    fn followed_us(&self) -> u64 {
        self.seen.iter().map(|seen| seen.followed_us).max().unwrap_or(0)
    }
}
