//! Executes a run of one size: starts everything, waits until the fleet has settled, measures it for a while,
//! and stops it.

mod fault_injection;
mod member_watch;
mod stand_in;
mod start;
mod window;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use self::stand_in::StandIn;
use crate::listing::DiscoveryServer;
use crate::record::{Axis, Line, Mode, Sizes};
use crate::scale::clients::Clients;
use crate::scale::commands::{DatabasesReport, HollowReport, StandInCommand};
use crate::scale::counters::merge_histograms;
use crate::scale::faults::Fault;
use crate::scale::member::Member;
use crate::scale::partition::PartitionRelays;
use crate::scale::sizes::{self, DATABASES_PER_PROCESS, Machine, SizeError};
use crate::scale::{bounds, calibration};

/// How long a fleet may take to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long all hollow routers must have been caught up before the measurement starts.
const SETTLED_DURATION: Duration = Duration::from_secs(2);
/// The same in mode feed, so that the redundant snapshots have been pulled as well.
const FEED_SETTLED_DURATION: Duration = Duration::from_secs(7);
/// How long new clients are given until all have connected and the work that this causes is done, which takes
/// 11 us per connection.
const CLIENT_WARM_UP: Duration = Duration::from_secs(2);
/// How long after the measurement the last promotions may take to become known.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Databases in a group: a primary and its replicas.
const GROUP_SIZE: usize = 5;
/// Maximum number of promotions that a fault causes.
const MAX_PROMOTIONS_PER_FAULT: usize = 2;

/// The programs of a run, and the folder for its files.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The router, which also runs as a control instance.
    pub router: PathBuf,
    /// The process of hollow routers.
    pub hollow: PathBuf,
    /// The process of stand-in databases.
    pub databases: PathBuf,
    /// Where runs create their folders.
    pub folder: PathBuf,
}

impl Programs {
    /// The programs as cargo builds them, all in one folder.
    pub fn in_folder(folder: &Path) -> Self {
        Self {
            router: folder.join("quillpoint"),
            hollow: folder.join("scale-hollow"),
            databases: folder.join("scale-databases"),
            folder: folder.join("../measure-scale"),
        }
    }
}

/// What to run.
#[derive(Clone, Debug)]
pub struct RunSpec {
    /// The sizes of the run.
    pub sizes: Sizes,
    /// The axis that this run is a point of, if any.
    pub axis: Option<Axis>,
    /// The fault to inject after the measurement.
    pub fault: Option<Fault>,
    /// Whether the processor time of hollow and real routers is compared, which needs an otherwise idle
    /// machine.
    pub with_cpu: bool,
}

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The sizes cannot be run.
    #[error("{0}")]
    Size(#[from] SizeError),
    /// A process, file or socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Some hollow routers were not caught up in time.
    #[error("the fleet did not settle within {} s: {caught_up} of {hollow} hollow routers have caught up", SETTLE_TIMEOUT.as_secs())]
    NotSettled {
        /// Hollow routers that had caught up.
        caught_up: usize,
        /// All hollow routers.
        hollow: usize,
    },
}

/// A running fleet with its stand-ins.
struct TestFleet {
    sizes: Sizes,
    /// All databases, group by group.
    databases: Vec<SocketAddr>,
    database_processes: Vec<StandIn>,
    /// Processes with shared hollow routers, followed by those with a dedicated one.
    hollow_processes: Vec<StandIn>,
    /// How many of these have a dedicated router.
    dedicated: usize,
    real: Vec<Member>,
    /// The baseline: as many real routers without a control side, under the same load at the same time.
    baseline: Vec<Member>,
    control: Vec<Member>,
    /// Relays that partition the real processes, in a run with a partition.
    partition: Option<PartitionRelays>,
    listing: DiscoveryServer,
    /// Promotions still to be made as pairs of the indexes of the new and the old primary, in reverse order.
    promotions: Vec<(usize, usize)>,
    promoted: usize,
}

impl TestFleet {
    /// Sends a command to all processes of hollow routers and waits for their reports.
    fn command_hollow(&mut self, command: &StandInCommand) -> std::io::Result<Vec<HollowReport>> {
        let indexes: Vec<usize> = self
            .hollow_processes
            .iter_mut()
            .map(|process| process.send(command))
            .collect::<Result<_, _>>()?;
        self.hollow_processes.iter().zip(indexes).map(|(process, index)| process.report(index)).collect()
    }

    /// Waits until all hollow routers have been caught up for a while.
    fn settle(&mut self) -> Result<(), RunError> {
        let (began, mut since) = (Instant::now(), Instant::now());
        let settled = if self.sizes.mode == Mode::Feed { FEED_SETTLED_DURATION } else { SETTLED_DURATION };
        while since.elapsed() < settled {
            sleep(Duration::from_millis(250));
            let reports = self.command_hollow(&StandInCommand::Count)?;
            let caught_up: usize = reports.iter().map(|report| report.caught_up).sum();
            let hollow = self.sizes.routers - self.sizes.real;
            if caught_up < hollow {
                since = Instant::now();
            }
            if began.elapsed() > SETTLE_TIMEOUT {
                return Err(RunError::NotSettled { caught_up, hollow });
            }
        }
        Ok(())
    }

    /// Starts the clients of these real routers.
    fn clients(&self, of: &[Member]) -> std::io::Result<Clients> {
        let routers: Vec<SocketAddr> = of.iter().map(|member| member.address.clients).collect();
        let groups = self.sizes.databases / GROUP_SIZE;
        Clients::start(&routers, self.sizes.connections, self.sizes.statements, groups)
    }

    /// The mean resident memory of the real routers.
    fn real_memory(&self) -> f64 {
        let all: Vec<u64> = self.real.iter().filter_map(Member::usage).map(|(bytes, _)| bytes).collect();
        all.iter().sum::<u64>() as f64 / all.len().max(1) as f64
    }

    /// Makes the next promotion: replaces the primary of a group.
    fn promote(&mut self) -> std::io::Result<()> {
        let Some((new_primary, old_primary)) = self.promotions.pop() else { return Ok(()) };
        let (node, old_node) = (self.databases[new_primary], self.databases[old_primary]);
        let process_index = new_primary / DATABASES_PER_PROCESS;
        if old_primary / DATABASES_PER_PROCESS != process_index {
            // The number of databases per process is a multiple of the group size.
            return Err(std::io::Error::other(
                "expected the databases of a group in one process, found them in two",
            ));
        }
        let process = &mut self.database_processes[process_index];
        let index = process.send(&StandInCommand::Promote { new_primary: node, old_primary: old_node })?;
        let report: DatabasesReport = process.report(index)?;
        self.promoted += 1;
        let notice = StandInCommand::Promoted { node, at_us: report.promoted_us };
        self.hollow_processes.iter_mut().try_for_each(|process| process.send(&notice).map(drop))
    }

    /// Waits for this time and makes promotions at the rate of the run.
    fn wait_with_promotions(&mut self, span: Duration) -> std::io::Result<()> {
        let (began, rate) = (Instant::now(), self.sizes.changes);
        let mut made = 0;
        while began.elapsed() < span {
            let due = if rate > 0.0 { (f64::from(made) + 0.5) / rate } else { f64::INFINITY };
            let left = span.saturating_sub(began.elapsed()).as_secs_f64();
            let wait = due - began.elapsed().as_secs_f64();
            if wait >= left {
                sleep(Duration::from_secs_f64(left.max(0.0)));
                break;
            }
            sleep(Duration::from_secs_f64(wait.max(0.0)));
            self.promote()?;
            made += 1;
        }
        Ok(())
    }

    /// Adds the figures of how long routers took to learn of the promotions since the mark.
    fn put_promotions(&self, reports: &[HollowReport], figures: &mut BTreeMap<String, f64>) {
        let times = merge_histograms(reports.iter().map(|report| &report.known_times));
        let unknown: usize = reports.iter().flat_map(|report| &report.known).map(|known| known.unknown).sum();
        if times.is_empty() && unknown == 0 {
            return;
        }
        figures.insert("change_known_p50_s".into(), times.value_at_quantile(0.5) as f64 / 1e6);
        figures.insert("change_known_max_s".into(), times.max() as f64 / 1e6);
        figures.insert("change_unknown".into(), unknown as f64);
        let last = reports.iter().flat_map(|report| &report.known).max_by_key(|known| known.last_us);
        if let Some(known) = last {
            eprintln!("last router to learn of the promotion of {}: {}", known.node, known.last_router);
        }
    }
}

/// The promotions of a run in reverse order: pairs of the indexes of the new and the old primary. Groups are
/// in random order, and each database is promoted at most once.
fn promotions(sizes: &Sizes) -> Vec<(usize, usize)> {
    let wanted = (sizes.changes * (sizes.seconds + 10.0)).ceil() as usize + MAX_PROMOTIONS_PER_FAULT;
    let mut groups: Vec<usize> = (0..sizes.databases / GROUP_SIZE).collect();
    groups.shuffle(&mut ChaCha8Rng::seed_from_u64(sizes.seed));
    if groups.is_empty() {
        return vec![(1, 0)];
    }
    let of = |number: usize| {
        let (group, turn) = (groups[number % groups.len()], number / groups.len());
        (group * GROUP_SIZE + turn + 1, group * GROUP_SIZE + turn)
    };
    (0..wanted.min(groups.len() * (GROUP_SIZE - 1))).rev().map(of).collect()
}

/// Executes a run and returns its record, which has the calibration among its bounds.
///
/// # Errors
/// The run does not fit the machine, something cannot be started, or the fleet does not settle.
pub fn run(spec: &RunSpec, programs: &Programs) -> Result<Line, RunError> {
    sizes::check(&spec.sizes, &Machine::detect())?;
    let sizes = &spec.sizes;
    let mut figures = BTreeMap::new();
    let mut fleet = TestFleet::start(spec, programs)?;
    fleet.settle()?;
    let memory_before = fleet.real_memory();
    // The baseline routers have clients of their own, whose answers are not counted.
    let (clients, baseline_clients) = (fleet.clients(&fleet.real)?, fleet.clients(&fleet.baseline)?);
    if sizes.connections > 0 || sizes.statements > 0.0 {
        sleep(CLIENT_WARM_UP);
    }
    if sizes.connections > 0 {
        let each = (fleet.real_memory() - memory_before) / sizes.connections as f64;
        figures.insert("connection_memory_bytes".to_string(), each);
    }
    let before = fleet.snapshot(true)?;
    let (answered, ok) = clients.answered();
    fleet.wait_with_promotions(Duration::from_secs_f64(sizes.seconds))?;
    let after = fleet.snapshot(false)?;
    let window = fleet.window(&before, &after);
    figures.extend(window.figures.clone());
    if sizes.statements > 0.0 {
        let (all, ok_after) = clients.answered();
        let seconds = (after.at - before.at).as_secs_f64() * sizes.real as f64;
        figures.insert("statements_s".to_string(), (all - answered) as f64 / seconds);
        figures.insert("statements_ok_s".to_string(), (ok_after - ok) as f64 / seconds);
    }
    clients.end();
    baseline_clients.end();
    if sizes.changes > 0.0 {
        sleep(PROPAGATION_TIME + Duration::from_secs_f64(sizes.period_s));
        let reports = fleet.command_hollow(&StandInCommand::Count)?;
        fleet.put_promotions(&reports, &mut figures);
    }
    let mut bounds = calibration::bounds(&figures, spec.with_cpu);
    if let Some(fault) = spec.fault {
        bounds.extend(fault_injection::inject(&mut fleet, fault, &window, &mut figures)?);
    }
    bounds.extend(bounds::bounds_of_run(sizes, spec.fault, &figures));
    Ok(Line::Run {
        axis: spec.axis,
        fault: spec.fault.map(|fault| fault.name().to_string()),
        program: None,
        sizes: sizes.clone(),
        figures,
        bounds,
    })
}
