//! One run of one size: everything is started, settles, is counted for a while, and is ended.

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
use crate::scale::border::Border;
use crate::scale::clients::Clients;
use crate::scale::counters::merged;
use crate::scale::faults::Fault;
use crate::scale::member::Member;
use crate::scale::orders::{DatabasesReport, HollowReport, Order};
use crate::scale::sizes::{self, BadSize, DATABASES_A_PROCESS, Machine};
use crate::scale::{bounds, calibration};

/// A fleet of which not all follow by then does not settle.
const SETTLES: Duration = Duration::from_secs(60);
/// All follow for so long before anything is counted; of the feed, until the second copies have come too.
const SETTLED: Duration = Duration::from_secs(2);
const COPIED: Duration = Duration::from_secs(7);
/// Clients have been greeted by then, and what that left to be done is over: 11 us for each connection.
const GREETED: Duration = Duration::from_secs(2);
/// After what was counted, what was changed last may still become known.
const KNOWN: Duration = Duration::from_secs(2);
/// Databases of a group: a primary and its replicas.
const GROUP: usize = 5;
/// A fault changes no more primaries.
const MOST_OF_A_FAULT: usize = 2;

/// Where the programs are, and where files may be written.
#[derive(Clone, Debug)]
pub struct Programs {
    pub router: PathBuf,
    pub hollow: PathBuf,
    pub databases: PathBuf,
    pub folder: PathBuf,
}

impl Programs {
    /// As cargo builds them, in one folder.
    pub fn beside(folder: &Path) -> Self {
        Self {
            router: folder.join("quillpoint"),
            hollow: folder.join("scale-hollow"),
            databases: folder.join("scale-databases"),
            folder: folder.join("../measure-scale"),
        }
    }
}

/// A run that is wanted.
#[derive(Clone, Debug)]
pub struct Play {
    pub sizes: Sizes,
    pub axis: Option<Axis>,
    pub fault: Option<Fault>,
    /// Whether processor time is held against the bound of the calibration, which wants a quiet machine.
    pub with_cpu: bool,
}

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("{0}")]
    Size(#[from] BadSize),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("the fleet does not settle within {} s: {following} of {hollow} hollow routers follow", SETTLES.as_secs())]
    Restless { following: usize, hollow: usize },
}

/// A running fleet, with all that stands in for its surroundings.
struct World {
    sizes: Sizes,
    /// Groups of databases by place: whose turn it is to be primary.
    databases: Vec<SocketAddr>,
    stores: Vec<StandIn>,
    /// Hollow routers that share a process, and behind them those that have one to themselves.
    hollow_processes: Vec<StandIn>,
    alone: usize,
    real: Vec<Member>,
    /// As many real routers without a control side, under the same load at the same time.
    untied: Vec<Member>,
    control: Vec<Member>,
    /// Where real processes can be cut from each other.
    border: Option<Border>,
    listing: DiscoveryServer,
    /// What is still to rise and fall, last first.
    promotions: Vec<(usize, usize)>,
    promoted: usize,
}

impl World {
    /// Sends an order to all processes of hollow routers, and waits for their reports.
    fn order_hollow(&mut self, order: &Order) -> std::io::Result<Vec<HollowReport>> {
        let places: Vec<usize> =
            self.hollow_processes.iter_mut().map(|process| process.order(order)).collect::<Result<_, _>>()?;
        self.hollow_processes.iter().zip(places).map(|(process, place)| process.report(place)).collect()
    }

    /// Waits until all hollow routers have followed for a while.
    fn settle(&mut self) -> Result<(), Failed> {
        let (began, mut since) = (Instant::now(), Instant::now());
        let settled = if self.sizes.mode == Mode::Feed { COPIED } else { SETTLED };
        while since.elapsed() < settled {
            sleep(Duration::from_millis(250));
            let reports = self.order_hollow(&Order::Count)?;
            let following: usize = reports.iter().map(|report| report.following).sum();
            let hollow = self.sizes.routers - self.sizes.real;
            if following < hollow {
                since = Instant::now();
            }
            if began.elapsed() > SETTLES {
                return Err(Failed::Restless { following, hollow });
            }
        }
        Ok(())
    }

    /// Clients of real routers, as the sizes say.
    fn clients(&self, of: &[Member]) -> std::io::Result<Clients> {
        let routers: Vec<SocketAddr> = of.iter().map(|member| member.address.clients).collect();
        let groups = self.sizes.databases / GROUP;
        Clients::start(&routers, self.sizes.connections, self.sizes.statements, groups)
    }

    /// The resident memory of the mean real router.
    fn real_memory(&self) -> f64 {
        let all: Vec<u64> = self.real.iter().filter_map(Member::usage).map(|(bytes, _)| bytes).collect();
        all.iter().sum::<u64>() as f64 / all.len().max(1) as f64
    }

    /// The next promotion: another database of its group is primary from now on.
    fn promote(&mut self) -> std::io::Result<()> {
        let Some((rises, falls)) = self.promotions.pop() else { return Ok(()) };
        let (node, fallen) = (self.databases[rises], self.databases[falls]);
        let of_rising = rises / DATABASES_A_PROCESS;
        if falls / DATABASES_A_PROCESS != of_rising {
            // Groups are whole within a process: its databases are a multiple of a group.
            return Err(std::io::Error::other("a group in two processes"));
        }
        let store = &mut self.stores[of_rising];
        let place = store.order(&Order::Promote { rises: node, falls: fallen })?;
        let report: DatabasesReport = store.report(place)?;
        self.promoted += 1;
        let told = Order::Promoted { node, at_us: report.promoted_us };
        self.hollow_processes.iter_mut().try_for_each(|process| process.order(&told).map(drop))
    }

    /// Lets time pass, with changes at their rate.
    fn pass(&mut self, span: Duration) -> std::io::Result<()> {
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

    /// When changes were known, of all that were made since the mark.
    fn known(&self, reports: &[HollowReport], figures: &mut BTreeMap<String, f64>) {
        let times = merged(reports.iter().map(|report| &report.known_times));
        let unknown: usize = reports.iter().flat_map(|report| &report.known).map(|known| known.unknown).sum();
        if times.is_empty() && unknown == 0 {
            return;
        }
        figures.insert("change_known_p50_s".into(), times.value_at_quantile(0.5) as f64 / 1e6);
        figures.insert("change_known_max_s".into(), times.max() as f64 / 1e6);
        figures.insert("change_unknown".into(), unknown as f64);
        let last = reports.iter().flat_map(|report| &report.known).max_by_key(|known| known.last_us);
        if let Some(known) = last {
            eprintln!("the last to know of {}: {}", known.node, known.last_who);
        }
    }
}

/// Which databases rise and fall in a run, last first: groups in an order by chance, each database once at the most.
fn promotions(sizes: &Sizes) -> Vec<(usize, usize)> {
    let wanted = (sizes.changes * (sizes.seconds + 10.0)).ceil() as usize + MOST_OF_A_FAULT;
    let mut groups: Vec<usize> = (0..sizes.databases / GROUP).collect();
    groups.shuffle(&mut ChaCha8Rng::seed_from_u64(sizes.seed));
    if groups.is_empty() {
        return vec![(1, 0)];
    }
    let of = |number: usize| {
        let (group, turn) = (groups[number % groups.len()], number / groups.len());
        (group * GROUP + turn + 1, group * GROUP + turn)
    };
    (0..wanted.min(groups.len() * (GROUP - 1))).rev().map(of).collect()
}

/// Plays it and counts. The line that comes back has the calibration among its bounds.
///
/// # Errors
/// It does not fit, something cannot be started, or the fleet does not settle.
pub fn play(play: &Play, programs: &Programs) -> Result<Line, Failed> {
    sizes::check(&play.sizes, &Machine::here())?;
    let sizes = &play.sizes;
    let mut figures = BTreeMap::new();
    let mut world = World::start(play, programs)?;
    world.settle()?;
    let lean = world.real_memory();
    // Those of untied routers are others: nobody asks how theirs were answered.
    let (clients, of_untied) = (world.clients(&world.real)?, world.clients(&world.untied)?);
    if sizes.connections > 0 || sizes.statements > 0.0 {
        sleep(GREETED);
    }
    if sizes.connections > 0 {
        let each = (world.real_memory() - lean) / sizes.connections as f64;
        figures.insert("connection_memory_bytes".to_string(), each);
    }
    let before = world.snapshot(true)?;
    let (answered, ok) = clients.answered();
    world.pass(Duration::from_secs_f64(sizes.seconds))?;
    let after = world.snapshot(false)?;
    let window = world.window(&before, &after);
    figures.extend(window.figures.clone());
    if sizes.statements > 0.0 {
        let (all, well) = clients.answered();
        let seconds = (after.at - before.at).as_secs_f64() * sizes.real as f64;
        figures.insert("statements_s".to_string(), (all - answered) as f64 / seconds);
        figures.insert("statements_ok_s".to_string(), (well - ok) as f64 / seconds);
    }
    clients.end();
    of_untied.end();
    if sizes.changes > 0.0 {
        sleep(KNOWN + Duration::from_secs_f64(sizes.period_s));
        let reports = world.order_hollow(&Order::Count)?;
        world.known(&reports, &mut figures);
    }
    let mut bounds = calibration::bounds(&figures, play.with_cpu);
    if let Some(fault) = play.fault {
        bounds.extend(fault_injection::inject(&mut world, fault, &window, &mut figures)?);
    }
    bounds.extend(bounds::of(sizes, play.fault, &figures));
    Ok(Line::Run {
        axis: play.axis,
        fault: play.fault.map(|fault| fault.name().to_string()),
        program: None,
        sizes: sizes.clone(),
        figures,
        bounds,
    })
}
