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
use crate::process::resident_bytes;
use crate::scale::faults::is_struck;
use crate::scale::hollow::{Common, Hollow, Role};
use crate::scale::orders::{HollowPlan, HollowReport, Known, Order};
use crate::scale::prober::Prober;

/// How often the routers are looked at.
const QUARTER: Duration = Duration::from_millis(250);
/// Or they are not looked at but with orders.
const NEVER: Duration = Duration::from_secs(24 * 3600);
/// Routers are started so far apart, as processes would be: duties that fall due together while a process is busy stay
/// together from then on, and their news goes in fewer letters.
const APART: Duration = Duration::from_millis(5);
/// Connections to databases that are kept for later probes.
pub const MOST_KEPT: usize = 4000;

/// What is to be done at a time to come.
enum Later {
    Start(usize),
    Continue(usize),
    Heal,
}

/// The hollow routers of this process, and what was counted of them.
struct HollowProcess {
    common: Common,
    routers: Vec<Hollow>,
    /// So many hollow routers are in the processes before this one.
    before: usize,
    /// In no order: there are few kinds, and each is looked at once a quarter.
    later: Vec<(Instant, Later)>,
    base_bytes: u64,
    /// By the routers' sides of a cut.
    ages: [Histogram<u64>; 2],
    traffic: Vec<u64>,
    peak_quarter: u64,
    quarters: Vec<(u64, u64)>,
    unfollowed_us: u64,
    following: usize,
    promotions: Vec<(SocketAddr, u64)>,
    /// A router follows while nothing that it is looked at for is known to be older.
    follows: Duration,
}

/// Runs until the orders end. `said` is called with each report.
///
/// # Errors
/// A file is at fault, or an address cannot be had.
pub async fn run(
    plan: HollowPlan,
    orders: Receiver<Order>,
    mut said: impl FnMut(&HollowReport),
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let (bare, every) = (plan.bare, if plan.bare { NEVER } else { QUARTER });
    let mut process = HollowProcess::new(plan, executor)?;
    for place in 0..process.routers.len() {
        process.routers[place].start(&process.common)?;
        Timer::after(APART).await;
    }
    said(&process.report());
    let mut next = Instant::now() + every;
    loop {
        let due = process.later.iter().map(|(at, _)| *at).fold(next, Instant::min);
        let order = async { Some(orders.recv().await.map_err(io::Error::other)) };
        let passed = async {
            Timer::at(due).await;
            None
        };
        match order.or(passed).await {
            // The command has ended, or wants no more.
            Some(Err(_)) => return Ok(()),
            Some(Ok(order)) => {
                // Nobody waits for a report on this one, and one takes what many digests do.
                let reports = !matches!(order, Order::Promoted { .. });
                process.obey(order);
                if reports && bare {
                    process.look();
                }
                if reports {
                    said(&process.report());
                }
            }
            None => process.do_what_is_due()?,
        }
        if Instant::now() >= next {
            next += every;
            process.look();
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

fn pairs(histogram: &Histogram<u64>) -> Vec<(u64, u64)> {
    histogram.iter_recorded().map(|step| (step.value_iterated_to(), step.count_at_value())).collect()
}

/// It grows as it must, so that no value is cut.
fn note(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.record(span.as_micros() as u64).expect("a histogram that grows takes all");
}

impl HollowProcess {
    fn new(plan: HollowPlan, executor: Rc<LocalExecutor<'static>>) -> io::Result<Self> {
        let files = ConfigFiles { platform: Some(plan.platform), conf: Some(plan.conf) };
        let config = RuntimeConfig::read(&files, |_| None).map_err(io::Error::other)?;
        let Roles { fleet_member: fleet, subscriber: subscribe, .. } = config.roles;
        let role = subscribe.map(Role::Subscriber).or(fleet.map(Role::Member));
        let role = role.ok_or_else(|| io::Error::other("the files tell of no fleet and no feed"))?;
        let groups = plan.databases.chunks(plan.group.max(1)).map(<[SocketAddr]>::to_vec).collect();
        let common = Common {
            executor,
            prober: Rc::new(Prober::new(MOST_KEPT)),
            role,
            uses_one_in: plan.uses_one_in,
            bare: plan.bare,
            statements: plan.statements,
            groups: Rc::new(groups),
            nodes: Rc::new(plan.databases.into_iter().map(|node| (node, 0)).collect()),
            movers: Rc::new(plan.movers.into_iter().collect()),
            cut: Rc::new(Cell::new(false)),
            sampled: plan.sampled,
            seed: plan.seed,
        };
        let routers: Vec<Hollow> =
            plan.routers.into_iter().enumerate().map(|(place, told)| Hollow::new(place, told)).collect();
        Ok(Self {
            common,
            traffic: vec![0; routers.len()],
            routers,
            before: plan.before,
            later: Vec::new(),
            base_bytes: resident_bytes(std::process::id()).unwrap_or(0),
            ages: [histogram(), histogram()],
            peak_quarter: 0,
            quarters: Vec::new(),
            unfollowed_us: 0,
            following: 0,
            promotions: Vec::new(),
            follows: Duration::from_millis(plan.follows_ms),
        })
    }

    fn obey(&mut self, order: Order) {
        let after = |ms: u64| Instant::now() + Duration::from_millis(ms);
        let (before, all) = (self.before, self.routers.len());
        let chosen = |one_in: usize| (0..all).filter(move |place| is_struck(before + place, one_in));
        match order {
            Order::Mark => {
                (self.peak_quarter, self.unfollowed_us) = (0, 0);
                self.ages.iter_mut().for_each(Histogram::reset);
                self.quarters.clear();
                self.promotions.clear();
            }
            Order::Promoted { node, at_us } => self.promotions.push((node, at_us)),
            Order::Restart { one_in, down_ms } => {
                for place in chosen(one_in) {
                    self.routers[place].kill();
                    self.later.push((after(down_ms), Later::Start(place)));
                }
            }
            Order::Stop { one_in, ms } => {
                for place in chosen(one_in) {
                    self.routers[place].stand_still(true);
                    self.later.push((after(ms), Later::Continue(place)));
                }
            }
            Order::Cut { ms } => {
                self.common.cut.set(true);
                self.later.push((after(ms), Later::Heal));
            }
            Order::Count | Order::Promote { .. } => {}
        }
    }

    fn do_what_is_due(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
        self.later = later;
        let due: Vec<(Instant, Later)> = due;
        for (_, what) in due {
            match what {
                Later::Start(place) => self.routers[place].start(&self.common)?,
                Later::Continue(place) => self.routers[place].stand_still(false),
                Later::Heal => self.common.cut.set(false),
            }
        }
        Ok(())
    }

    fn look(&mut self) {
        let mut all = 0;
        let mut following = 0;
        let mut running = 0;
        for (place, router) in self.routers.iter().enumerate() {
            let traffic = router.traffic();
            let bytes = traffic.sent_bytes + traffic.read_bytes;
            let more = bytes - std::mem::replace(&mut self.traffic[place], bytes);
            self.peak_quarter = self.peak_quarter.max(more);
            all += more;
            if !router.runs() {
                continue;
            }
            running += 1;
            let (ran, ages) = router.ages();
            following += usize::from(ages.iter().all(|age| age.is_some_and(|age| age <= self.follows)));
            // Of what it has never heard of it knows nothing for as long as it runs.
            let all = &mut self.ages[router.side()];
            ages.into_iter().for_each(|age| note(all, age.unwrap_or(ran)));
        }
        let at = now().as_micros() as u64;
        self.quarters.push((at, all));
        self.following = following;
        if following < running {
            self.unfollowed_us = at;
        }
    }

    fn report(&self) -> HollowReport {
        let mut report = HollowReport {
            at_us: now().as_micros() as u64,
            routers: self.routers.len(),
            base_bytes: self.base_bytes,
            resident_bytes: resident_bytes(std::process::id()).unwrap_or(0),
            following: self.following,
            unfollowed_us: self.unfollowed_us,
            ages: self.ages.iter().flat_map(pairs).collect(),
            ages_by_side: [pairs(&self.ages[0]), pairs(&self.ages[1])],
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
        report.known = self.promotions.iter().map(|told| self.known(*told, &mut times)).collect();
        report.known_times = pairs(&times);
        report
    }

    /// When the promotion of a database was known to each router.
    fn known(&self, (node, at_us): (SocketAddr, u64), times: &mut Histogram<u64>) -> Known {
        let (mut at_which, mut unknown) = (BTreeMap::new(), 0);
        for router in &self.routers {
            match router.risen(node).map(|at| at.as_micros() as u64).filter(|risen| *risen >= at_us) {
                Some(risen) => {
                    note(times, Duration::from_micros(risen - at_us));
                    at_which.insert(risen, &router.name);
                }
                None => unknown += 1,
            }
        }
        let by = self.routers.len() - unknown;
        let (last_us, last_who) = at_which.pop_last().map(|(at, who)| (at, who.clone())).unwrap_or_default();
        Known { node, by, unknown, last_us, last_who }
    }
}
