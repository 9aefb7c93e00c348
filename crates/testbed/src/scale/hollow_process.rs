//! A process of hollow routers: starts them, looks at them four times a second, and does as it is ordered.

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
use crate::process::resident;
use crate::scale::commands::{HollowPlan, HollowReport, PromotionReport, StandInCommand};
use crate::scale::faults::is_affected;
use crate::scale::hollow::{ControlRole, HollowRouter, ProcessContext};
use crate::scale::prober::Prober;

/// How often the routers are looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Or they are not looked at but with orders.
const NO_SAMPLING: Duration = Duration::from_secs(24 * 3600);
/// Routers are started so far apart, as processes would be: duties that fall due together while a process is busy stay
/// together from then on, and their news goes in fewer letters.
const START_INTERVAL: Duration = Duration::from_millis(5);
/// Connections to databases that are kept for later probes.
pub const MAX_IDLE_CONNECTIONS: usize = 4000;

/// What is to be done at a time to come.
enum DueAction {
    Start(usize),
    Continue(usize),
    Heal,
}

/// The hollow routers of this process, and what was counted of them.
struct HollowProcess {
    context: ProcessContext,
    routers: Vec<HollowRouter>,
    /// So many hollow routers are in the processes before this one.
    first_index: usize,
    /// In no order: there are few kinds, and each is looked at once a quarter.
    scheduled: Vec<(Instant, DueAction)>,
    base_bytes: u64,
    /// By the routers' sides of a cut.
    ages: [Histogram<u64>; 2],
    traffic: Vec<u64>,
    peak_quarter: u64,
    quarters: Vec<(u64, u64)>,
    last_behind_us: u64,
    caught_up: usize,
    promotions: Vec<(SocketAddr, u64)>,
    /// A router follows while nothing that it is looked at for is known to be older.
    caught_up_within: Duration,
}

/// Runs until the orders end. `said` is called with each report.
///
/// # Errors
/// A file is at fault, or an address cannot be had.
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
            // The command has ended, or wants no more.
            Some(Err(_)) => return Ok(()),
            Some(Ok(command)) => {
                // Nobody waits for a report on this one, and one takes what many digests do.
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
    Histogram::new(3).expect("three digits")
}

fn value_counts(histogram: &Histogram<u64>) -> Vec<(u64, u64)> {
    histogram.iter_recorded().map(|step| (step.value_iterated_to(), step.count_at_value())).collect()
}

/// It grows as it must, so that no value is cut.
fn record_duration(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.record(duration.as_micros() as u64).expect("a histogram that grows takes all");
}

impl HollowProcess {
    fn new(plan: HollowPlan, executor: Rc<LocalExecutor<'static>>) -> io::Result<Self> {
        let files = ConfigFiles { platform: Some(plan.platform), conf: Some(plan.conf) };
        let config = RuntimeConfig::read(&files, |_| None).map_err(io::Error::other)?;
        let Roles { fleet_member: fleet, subscriber: subscribe, .. } = config.roles;
        let role = subscribe.map(ControlRole::Subscriber).or(fleet.map(ControlRole::Member));
        let role = role.ok_or_else(|| io::Error::other("the files tell of no fleet and no feed"))?;
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
            base_bytes: resident(std::process::id()).unwrap_or(0),
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
            // Of what it has never heard of it knows nothing for as long as it runs.
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
            resident_bytes: resident(std::process::id()).unwrap_or(0),
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
        report.known = self.promotions.iter().map(|promotion| self.known(*promotion, &mut times)).collect();
        report.known_times = value_counts(&times);
        report
    }

    /// When the promotion of a database was known to each router.
    fn known(&self, (node, at_us): (SocketAddr, u64), times: &mut Histogram<u64>) -> PromotionReport {
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
