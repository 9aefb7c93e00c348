//! Measures the time between two snapshots of a run, as figures of its record.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::TestFleet;
use super::stand_in::StandIn;
use crate::listing;
use crate::record::Mode;
use crate::scale::commands::{DatabasesReport, HollowReport, StandInCommand};
use crate::scale::counters::{Counters, Rates, mean, merge_histograms, rates};
use crate::scale::member::Member;

/// Rates and figures between two snapshots.
pub(super) struct Window {
    pub(super) hollow: Rates,
    pub(super) control: Rates,
    pub(super) figures: BTreeMap<String, f64>,
}

/// All counters at a point in time.
pub(super) struct Snapshot {
    pub(super) at: Instant,
    hollow_processes: Vec<HollowReport>,
    real: Vec<Counters>,
    control: Vec<Counters>,
    database_processes: Vec<DatabasesReport>,
    discovery: listing::DiscoveryCounts,
    cpu: Cpu,
}

/// Processor time so far, by role, and by process for roles with a process each.
#[derive(Clone)]
struct Cpu {
    at: Instant,
    shared: Duration,
    dedicated: Vec<Duration>,
    real: Vec<Duration>,
    baseline: Vec<Duration>,
    control: Vec<Duration>,
}

/// The fraction of a core that each process used between two readings.
fn cpu_parts(before: &[Duration], after: &[Duration], seconds: f64) -> Vec<f64> {
    let part =
        |(before, after): (&Duration, &Duration)| after.saturating_sub(*before).as_secs_f64() / seconds;
    before.iter().zip(after).map(part).collect()
}

/// The counters of a process of hollow routers, in the form of a real process's.
fn as_counters(report: &HollowReport) -> Counters {
    Counters {
        at_us: report.at_us,
        sent: report.sent,
        sent_bytes: report.sent_bytes,
        read: report.read,
        read_bytes: report.read_bytes,
        probes: report.probes,
        state: (report.state_bytes * report.routers as f64) as u64,
        following: 0,
    }
}

impl Cpu {
    fn seconds_since(&self, before: &Self) -> f64 {
        (self.at - before.at).as_secs_f64()
    }
}

impl TestFleet {
    /// Reads all counters. Real processes log theirs on SIGHUP, which also makes them reload their files.
    /// That processor time does not belong to the measured window, so processor time is read after the
    /// counters when the window begins and before them when it ends.
    pub(super) fn snapshot(&mut self, begins: bool) -> std::io::Result<Snapshot> {
        let mut cpu = self.cpu();
        let requested: Vec<usize> =
            self.real.iter().chain(&self.control).map(Member::request_counters).collect();
        let hollow_processes =
            self.command_hollow(if begins { &StandInCommand::Mark } else { &StandInCommand::Count })?;
        let mode = self.sizes.mode;
        let counters: Vec<Counters> = self
            .real
            .iter()
            .chain(&self.control)
            .zip(requested)
            .map(
                |(member, index)| {
                    if member.is_running() { member.counters(index, mode) } else { Ok(Counters::default()) }
                },
            )
            .collect::<Result<_, _>>()?;
        let (real, control) = counters.split_at(self.real.len());
        let mut database_processes = Vec::new();
        for process in &mut self.database_processes {
            let index = process.send(&StandInCommand::Count)?;
            database_processes.push(process.report(index)?);
        }
        if begins {
            cpu = self.cpu();
        }
        Ok(Snapshot {
            at: Instant::now(),
            hollow_processes,
            real: real.to_vec(),
            control: control.to_vec(),
            database_processes,
            discovery: self.listing.counts(),
            cpu,
        })
    }

    /// Reads the processor time of all processes.
    fn cpu(&self) -> Cpu {
        let shared = self.hollow_processes.len() - self.dedicated;
        let time = |stand_in: &StandIn| stand_in.process.usage().map(|(_, time)| time);
        let of = |members: &[Member]| {
            let time = |member: &Member| member.usage().map_or(Duration::ZERO, |(_, time)| time);
            members.iter().map(time).collect()
        };
        Cpu {
            at: Instant::now(),
            shared: self.hollow_processes[..shared].iter().filter_map(time).sum(),
            dedicated: self.hollow_processes[shared..].iter().filter_map(time).collect(),
            real: of(&self.real),
            baseline: of(&self.baseline),
            control: of(&self.control),
        }
    }

    /// The figures of the window between two snapshots.
    pub(super) fn window(&self, before: &Snapshot, after: &Snapshot) -> Window {
        let pair = |(before, after): (&Counters, &Counters)| (*before, *after, 1);
        let hollow_processes = before.hollow_processes.iter().zip(&after.hollow_processes);
        let hollow: Vec<_> = hollow_processes
            .map(|(before, after)| (as_counters(before), as_counters(after), after.routers))
            .collect();
        let real: Vec<_> = before.real.iter().zip(&after.real).map(pair).collect();
        let control: Vec<_> = before.control.iter().zip(&after.control).map(pair).collect();
        let hollow = rates(&hollow);
        let control = rates(&control);
        let mut figures = BTreeMap::new();
        let mut put = |name: &str, value: f64| {
            figures.insert(name.to_string(), value);
        };
        if self.sizes.routers > self.sizes.real {
            self.put_hollow(&mut put, before, after, &hollow);
        }
        if self.sizes.real > 0 {
            self.put_real(&mut put, &before.cpu, &after.cpu, &rates(&real));
        }
        if self.sizes.control > 0 {
            self.put_control(&mut put, &before.cpu, &after.cpu, &control);
        }
        self.put_surroundings(&mut put, before, after);
        if !self.real.is_empty() {
            put("real_memory_bytes", self.real_memory());
        }
        Window { hollow, control, figures }
    }

    /// Figures of hollow routers. Processor time is that of routers with a dedicated process, memory that of
    /// routers that share one.
    fn put_hollow(
        &self,
        put: &mut impl FnMut(&str, f64),
        before: &Snapshot,
        after: &Snapshot,
        rates: &Rates,
    ) {
        let cpu_seconds = after.cpu.seconds_since(&before.cpu);
        let (dedicated, _) = mean(&cpu_parts(&before.cpu.dedicated, &after.cpu.dedicated, cpu_seconds));
        for role in ["router", "hollow"] {
            put_rates(put, role, rates);
            put(&format!("{role}_cpu_part"), dedicated);
        }
        let sharing = &after.hollow_processes[..after.hollow_processes.len() - self.dedicated];
        if !sharing.is_empty() {
            let routers: usize = sharing.iter().map(|report| report.routers).sum();
            let cpu = (after.cpu.shared - before.cpu.shared).as_secs_f64() / cpu_seconds;
            put("hollow_sharing_cpu_part", cpu / routers as f64);
            let grown = |report: &HollowReport| report.resident_bytes.saturating_sub(report.base_bytes);
            let bytes: u64 = sharing.iter().map(grown).sum();
            put("router_memory_bytes", bytes as f64 / routers as f64);
        }
        let ages = merge_histograms(after.hollow_processes.iter().map(|report| &report.ages));
        put("age_p50_s", ages.value_at_quantile(0.5) as f64 / 1e6);
        put("age_p99_s", ages.value_at_quantile(0.99) as f64 / 1e6);
        put("age_max_s", ages.max() as f64 / 1e6);
        put("router_probes_s", rates.probes);
    }

    /// Figures of real routers. The processor time of the control side is the difference to the baseline
    /// routers.
    fn put_real(&self, put: &mut impl FnMut(&str, f64), before: &Cpu, after: &Cpu, rates: &Rates) {
        let cpu_seconds = after.seconds_since(before);
        let (on, on_error) = mean(&cpu_parts(&before.real, &after.real, cpu_seconds));
        put("real_on_cpu_part", on);
        if !self.baseline.is_empty() {
            let (off, off_error) = mean(&cpu_parts(&before.baseline, &after.baseline, cpu_seconds));
            put("real_off_cpu_part", off);
            put("real_cpu_part", on - off);
            if let (Some(on), Some(off)) = (on_error, off_error) {
                put("real_cpu_error_part", on.hypot(off));
            }
        }
        if self.sizes.mode != Mode::Off {
            put_rates(put, "real", rates);
        }
    }

    /// Figures of control instances: their mean processor time and the largest memory.
    fn put_control(&self, put: &mut impl FnMut(&str, f64), before: &Cpu, after: &Cpu, rates: &Rates) {
        put_rates(put, "control", rates);
        let cpu_parts = cpu_parts(&before.control, &after.control, after.seconds_since(before));
        put("control_cpu_part", cpu_parts.iter().sum::<f64>() / cpu_parts.len() as f64);
        let most = self.control.iter().filter_map(Member::usage).map(|(bytes, _)| bytes).max();
        put("control_memory_bytes", most.unwrap_or(0) as f64);
    }

    /// Figures of the databases and of discovery.
    fn put_surroundings(&self, put: &mut impl FnMut(&str, f64), before: &Snapshot, after: &Snapshot) {
        let seconds = (after.at - before.at).as_secs_f64();
        let probes =
            |snapshot: &Snapshot| snapshot.database_processes.iter().map(|report| report.probes).sum::<u64>();
        put(
            "database_probes_s",
            (probes(after) - probes(before)) as f64 / seconds / self.sizes.databases as f64,
        );
        // Only real processes request the endpoint list from discovery; hollow routers get it with their
        // plan.
        let callers = (self.real.len() + self.control.len()).max(1) as f64;
        let discovery = after.discovery.since(before.discovery);
        put("discovery_calls_s", discovery.requests as f64 / seconds / callers);
        put("discovery_bytes_s", (discovery.bytes_in + discovery.bytes_out) as f64 / seconds / callers);
    }
}

/// The rates of one role, and the size of its state if there is any.
fn put_rates(put: &mut impl FnMut(&str, f64), role: &str, rates: &Rates) {
    put(&format!("{role}_messages_in_s"), rates.messages_in);
    put(&format!("{role}_messages_out_s"), rates.messages_out);
    put(&format!("{role}_bytes_in_s"), rates.bytes_in);
    put(&format!("{role}_bytes_out_s"), rates.bytes_out);
    if rates.state > 0.0 {
        put(&format!("{role}_state_bytes"), rates.state);
    }
}
