//! A process of hollow routers: starts them, samples them four times a second, and executes the commands it
//! receives.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use quillpoint_router::roles::Roles;
use quillpoint_router::runtime_config::{ConfigFiles, RuntimeConfig};

use crate::now;
use crate::process::resident_bytes;
use crate::scale::commands::{HollowPlan, HollowReport, PromotionReport, StandInCommand};
use crate::scale::faults::is_affected;
use crate::scale::hollow::{ControlRole, HollowRouter, ProcessContext};
use crate::scale::prober::Prober;

/// How often traffic, observation ages and caught-up routers are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// The sampling interval of a process that samples only on commands.
const NO_SAMPLING: Duration = Duration::from_secs(24 * 3600);
/// Delay between the starts of two routers, as between those of separate processes. Tasks that fall due
/// together while the process is busy would stay together from then on, and their observations would be sent
/// in fewer datagrams than those of real routers.
const START_INTERVAL: Duration = Duration::from_millis(5);
/// Databases to which connections are kept open for later health checks.
pub const MAX_IDLE_CONNECTIONS: usize = 4000;

/// An action that is scheduled for later.
enum DueAction {
    Start(usize),
    Continue(usize),
    Heal,
}

/// The hollow routers of this process, and the counters of its reports.
struct HollowProcess {
    context: ProcessContext,
    routers: Vec<HollowRouter>,
    /// The number of hollow routers in the processes before this one.
    first_index: usize,
    /// Unordered: there are few entries, all of them checked at each sampling interval.
    scheduled: Vec<(Instant, DueAction)>,
    base_bytes: u64,
    /// Ages of sampled observations, by the router's side of a partition.
    ages: [Histogram<u64>; 2],
    /// Bytes in and out of each router at the last sample.
    traffic: Vec<u64>,
    /// The most bytes in and out of one router in one sampling interval.
    peak_quarter: u64,
    /// For each sampling interval, its end and the bytes in and out of all routers.
    quarters: Vec<(u64, u64)>,
    /// When some running router was last seen not to be caught up.
    last_behind_us: u64,
    /// Routers that were caught up at the last sample.
    caught_up: usize,
    /// Promoted databases and the times of their promotions.
    promotions: Vec<(SocketAddr, u64)>,
    /// A router is caught up while none of its sampled observations is older than this.
    caught_up_within: Duration,
}

/// Runs until the command channel closes. Calls `on_report` with each report.
///
/// # Errors
/// A configuration file is invalid, or an address cannot be bound.
pub async fn run(
    plan: HollowPlan,
    commands: Receiver<StandInCommand>,
    mut on_report: impl FnMut(&HollowReport),
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let (control_only, every) =
        (plan.control_only, if plan.control_only { NO_SAMPLING } else { SAMPLE_INTERVAL });
    let mut process = HollowProcess::new(plan, executor)?;
    for index in 0..process.routers.len() {
        process.routers[index].start(&process.context)?;
        Timer::after(START_INTERVAL).await;
    }
    on_report(&process.report());
    let mut next = Instant::now() + every;
    loop {
        let due = process.scheduled.iter().map(|(at, _)| *at).fold(next, Instant::min);
        let command = async { Some(commands.recv().await.map_err(io::Error::other)) };
        let passed = async {
            Timer::at(due).await;
            None
        };
        match command.or(passed).await {
            // The measuring process has ended or needs this one no longer.
            Some(Err(_)) => return Ok(()),
            Some(Ok(command)) => {
                // The sender does not wait for a report on a promotion, and making one takes as long as
                // processing many digests.
                let reports = !matches!(command, StandInCommand::Promoted { .. });
                process.execute(command);
                if reports && control_only {
                    process.sample();
                }
                if reports {
                    on_report(&process.report());
                }
            }
            None => process.run_due_actions()?,
        }
        if Instant::now() >= next {
            next += every;
            process.sample();
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 significant digits are a valid precision")
}

fn value_counts(histogram: &Histogram<u64>) -> Vec<(u64, u64)> {
    histogram.iter_recorded().map(|step| (step.value_iterated_to(), step.count_at_value())).collect()
}

/// The histogram resizes itself, so no value is clipped.
fn record_duration(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.record(duration.as_micros() as u64).expect("an auto-resizing histogram accepts every value");
}

impl HollowProcess {
    fn new(plan: HollowPlan, executor: Rc<LocalExecutor<'static>>) -> io::Result<Self> {
        let files = ConfigFiles { platform: Some(plan.platform), conf: Some(plan.conf) };
        let config = RuntimeConfig::read(&files, |_| None).map_err(io::Error::other)?;
        let Roles { fleet_member: fleet, subscriber: subscribe, .. } = config.roles;
        let role = subscribe.map(ControlRole::Subscriber).or(fleet.map(ControlRole::Member));
        let role =
            role.ok_or_else(|| io::Error::other("expected a fleet or subscribe section, found none"))?;
        let groups = plan.databases.chunks(plan.group.max(1)).map(<[SocketAddr]>::to_vec).collect();
        let context = ProcessContext {
            executor,
            prober: Rc::new(Prober::new(MAX_IDLE_CONNECTIONS)),
            role,
            uses_one_in: plan.uses_one_in,
            control_only: plan.control_only,
            statements: plan.statements,
            groups: Rc::new(groups),
            nodes: Rc::new(plan.databases.into_iter().map(|node| (node, 0)).collect()),
            promotable: Rc::new(plan.promotable.into_iter().collect()),
            partitioned: Rc::new(Cell::new(false)),
            sampled: plan.sampled,
            seed: plan.seed,
        };
        let routers: Vec<HollowRouter> = plan
            .routers
            .into_iter()
            .enumerate()
            .map(|(index, plan)| HollowRouter::new(index, plan))
            .collect();
        Ok(Self {
            context,
            traffic: vec![0; routers.len()],
            routers,
            first_index: plan.first_index,
            scheduled: Vec::new(),
            base_bytes: resident_bytes(std::process::id()).unwrap_or(0),
            ages: [histogram(), histogram()],
            peak_quarter: 0,
            quarters: Vec::new(),
            last_behind_us: 0,
            caught_up: 0,
            promotions: Vec::new(),
            caught_up_within: Duration::from_millis(plan.caught_up_within_ms),
        })
    }

    fn execute(&mut self, command: StandInCommand) {
        let after = |ms: u64| Instant::now() + Duration::from_millis(ms);
        let (first_index, all) = (self.first_index, self.routers.len());
        let affected = |one_in: usize| (0..all).filter(move |index| is_affected(first_index + index, one_in));
        match command {
            StandInCommand::Mark => {
                (self.peak_quarter, self.last_behind_us) = (0, 0);
                self.ages.iter_mut().for_each(Histogram::reset);
                self.quarters.clear();
                self.promotions.clear();
            }
            StandInCommand::Promoted { node, at_us } => self.promotions.push((node, at_us)),
            StandInCommand::Restart { one_in, down_ms } => {
                for index in affected(one_in) {
                    self.routers[index].kill();
                    self.scheduled.push((after(down_ms), DueAction::Start(index)));
                }
            }
            StandInCommand::Stop { one_in, ms } => {
                for index in affected(one_in) {
                    self.routers[index].set_paused(true);
                    self.scheduled.push((after(ms), DueAction::Continue(index)));
                }
            }
            StandInCommand::Partition { ms } => {
                self.context.partitioned.set(true);
                self.scheduled.push((after(ms), DueAction::Heal));
            }
            StandInCommand::Count | StandInCommand::Promote { .. } => {}
        }
    }

    fn run_due_actions(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let (due, scheduled) =
            std::mem::take(&mut self.scheduled).into_iter().partition(|(at, _)| *at <= now);
        self.scheduled = scheduled;
        let due: Vec<(Instant, DueAction)> = due;
        for (_, action) in due {
            match action {
                DueAction::Start(index) => self.routers[index].start(&self.context)?,
                DueAction::Continue(index) => self.routers[index].set_paused(false),
                DueAction::Heal => self.context.partitioned.set(false),
            }
        }
        Ok(())
    }

    fn sample(&mut self) {
        let mut all = 0;
        let mut caught_up = 0;
        let mut running = 0;
        for (index, router) in self.routers.iter().enumerate() {
            let traffic = router.traffic();
            let bytes = traffic.sent_bytes + traffic.read_bytes;
            let more = bytes - std::mem::replace(&mut self.traffic[index], bytes);
            self.peak_quarter = self.peak_quarter.max(more);
            all += more;
            if !router.is_running() {
                continue;
            }
            running += 1;
            let (uptime, ages) = router.ages();
            caught_up +=
                usize::from(ages.iter().all(|age| age.is_some_and(|age| age <= self.caught_up_within)));
            // A database it has never heard of has been unknown for as long as the router runs.
            let all = &mut self.ages[router.side()];
            ages.into_iter().for_each(|age| record_duration(all, age.unwrap_or(uptime)));
        }
        let at = now().as_micros() as u64;
        self.quarters.push((at, all));
        self.caught_up = caught_up;
        if caught_up < running {
            self.last_behind_us = at;
        }
    }

    fn report(&self) -> HollowReport {
        let mut report = HollowReport {
            at_us: now().as_micros() as u64,
            routers: self.routers.len(),
            base_bytes: self.base_bytes,
            resident_bytes: resident_bytes(std::process::id()).unwrap_or(0),
            caught_up: self.caught_up,
            last_behind_us: self.last_behind_us,
            ages: self.ages.iter().flat_map(value_counts).collect(),
            ages_by_side: [value_counts(&self.ages[0]), value_counts(&self.ages[1])],
            peak_quarter: self.peak_quarter,
            quarters: self.quarters.clone(),
            ..HollowReport::default()
        };
        for router in &self.routers {
            let traffic = router.traffic();
            report.sent += traffic.sent;
            report.sent_bytes += traffic.sent_bytes;
            report.read += traffic.read;
            report.read_bytes += traffic.read_bytes;
            report.probes += router.probes();
            report.state_bytes += router.state_bytes() as f64 / self.routers.len() as f64;
        }
        let mut times = histogram();
        report.known =
            self.promotions.iter().map(|promotion| self.promotion_report(*promotion, &mut times)).collect();
        report.known_times = value_counts(&times);
        report
    }

    /// Adds to `times` how long each router took to learn of the promotion of a database, and summarizes
    /// them.
    fn promotion_report(
        &self,
        (node, at_us): (SocketAddr, u64),
        times: &mut Histogram<u64>,
    ) -> PromotionReport {
        let (mut seen_by, mut unknown) = (BTreeMap::new(), 0);
        for router in &self.routers {
            match router
                .promotion_seen_at(node)
                .map(|at| at.as_micros() as u64)
                .filter(|promotion_seen_at| *promotion_seen_at >= at_us)
            {
                Some(promotion_seen_at) => {
                    record_duration(times, Duration::from_micros(promotion_seen_at - at_us));
                    seen_by.insert(promotion_seen_at, &router.name);
                }
                None => unknown += 1,
            }
        }
        let informed = self.routers.len() - unknown;
        let (last_us, last_router) =
            seen_by.pop_last().map(|(at, who)| (at, who.clone())).unwrap_or_default();
        PromotionReport { node, informed, unknown, last_us, last_router }
    }
}
