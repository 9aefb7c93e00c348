//! One run of one size: everything is started, settles, is counted for a while, and is ended.

mod strike;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::listing::{self, Listing};
use crate::process::{Kept, Process};
use crate::record::{Axis, Line, Mode, Sizes};
use crate::scale::border::Border;
use crate::scale::clients::Clients;
use crate::scale::counters::{Rates, Sums, mean, merged, rates};
use crate::scale::faults::Fault;
use crate::scale::member::{Address, Files, Kind, Member};
use crate::scale::orders::{CrowdPlan, CrowdReport, DatabasesPlan, DatabasesReport, Order, Place};
use crate::scale::roles::{name, roles};
use crate::scale::sizes::{self, BadSize, DATABASES_A_PROCESS, Machine};
use crate::scale::{bounds, calibration};

/// What is awaited for so long never comes.
const NEVER: Duration = Duration::from_secs(30);
/// A fleet of which not all follow by then does not settle.
const SETTLES: Duration = Duration::from_secs(60);
/// Control instances speak by then, and five periods.
const UP: Duration = Duration::from_millis(1500);
/// All follow for so long before anything is counted; of the feed, until the second copies have come too.
const SETTLED: Duration = Duration::from_secs(2);
const COPIED: Duration = Duration::from_secs(7);
/// Clients have been greeted by then, and what that left to be done is over: 11 us for each connection.
const GREETED: Duration = Duration::from_secs(2);
/// After what was counted, what was changed last may still become known.
const KNOWN: Duration = Duration::from_secs(2);
/// How long it is looked at whether it comes to calm after a fault.
const CALMS: Duration = Duration::from_secs(20);
/// How often that is looked at, and how long it must have been calm.
const LOOKS: Duration = Duration::from_secs(1);
const CALM: Duration = Duration::from_secs(4);
/// Calm is at most so many times the calm bytes.
const CALM_TIMES: f64 = 1.25;
/// Databases of a group: a primary and its replicas.
const GROUP: usize = 5;
/// How far behind replicas are.
const LAG_MS: u64 = 20;
/// The age of what is known is looked at for so many databases a router.
const SAMPLED: usize = 8;
/// A fault changes no more primaries.
const MOST_OF_A_FAULT: usize = 2;
/// A router's sessions use one in so many databases.
const USES_ONE_IN: usize = 24;

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

/// A stand-in process, told by orders.
struct StandIn {
    process: Process,
    name: &'static str,
}

impl StandIn {
    fn start(program: &Path, name: &'static str, plan: &impl Serialize) -> std::io::Result<Self> {
        let mut process = Process::start(Command::new(program), Kept::Output)?;
        process.order(&serde_json::to_string(plan)?)?;
        Ok(Self { process, name })
    }

    /// The first report, which says that all is up.
    fn await_up<R: DeserializeOwned>(&self) -> std::io::Result<R> {
        self.report(0)
    }

    fn report<R: DeserializeOwned>(&self, place: usize) -> std::io::Result<R> {
        let found = self.process.await_from(place, NEVER, |line| serde_json::from_str(line).ok());
        found.ok_or_else(|| std::io::Error::other(format!("a process of {} does not report", self.name)))
    }

    /// Where the report on it will stand.
    fn order(&mut self, order: &Order) -> std::io::Result<usize> {
        let place = self.process.count();
        self.process.order(&serde_json::to_string(order)?)?;
        Ok(place)
    }
}

/// The address of a place: 250 on each port. Neither another process of this machine nor another run of this one
/// has the same, as far as its id tells.
fn address(base: u8, slot: u16, port: u16, place: usize) -> SocketAddr {
    let second = base + ((slot >> 8) & 15) as u8;
    let ip = Ipv4Addr::new(127, second, slot as u8, 1 + (place % 250) as u8);
    SocketAddr::from((ip, port + (place / 250) as u16))
}

/// Several runs may follow or stand beside each other in a process.
static NEXT: AtomicU16 = AtomicU16::new(0);

struct World {
    sizes: Sizes,
    /// Groups of databases by place: whose turn it is to be primary.
    databases: Vec<SocketAddr>,
    stores: Vec<StandIn>,
    /// Hollow routers that share a process, and behind them those that have one to themselves.
    crowds: Vec<StandIn>,
    alone: usize,
    real: Vec<Member>,
    /// As many real routers without a control side, under the same load at the same time.
    untied: Vec<Member>,
    control: Vec<Member>,
    /// Where real processes can be cut from each other.
    border: Option<Border>,
    listing: Listing,
    /// What is still to rise and fall, last first.
    promotions: Vec<(usize, usize)>,
    promoted: usize,
}

/// What was counted between two moments, and what is left of it.
struct Window {
    hollow: Rates,
    control: Rates,
    figures: BTreeMap<String, f64>,
}

/// Counts of all at one moment.
struct Snapshot {
    at: Instant,
    crowds: Vec<CrowdReport>,
    real: Vec<Sums>,
    control: Vec<Sums>,
    stores: Vec<DatabasesReport>,
    discovery: listing::Counts,
    cpu: Cpu,
}

/// Processor time so far, by role, and of whom.
#[derive(Clone)]
struct Cpu {
    at: Instant,
    shared: Duration,
    alone: Vec<Duration>,
    real: Vec<Duration>,
    untied: Vec<Duration>,
    control: Vec<Duration>,
}

/// The part of a core that each took from the one moment to the other.
fn parts(before: &[Duration], after: &[Duration], seconds: f64) -> Vec<f64> {
    let part =
        |(before, after): (&Duration, &Duration)| after.saturating_sub(*before).as_secs_f64() / seconds;
    before.iter().zip(after).map(part).collect()
}

fn as_sums(report: &CrowdReport) -> Sums {
    Sums {
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

impl World {
    /// Routers that are not tied to others are there where processor time is held; in a calm run nothing else is done by
    /// those whose time it is. A fleet that is to be cut is divided: its real processes can be cut from each other.
    fn start(play: &Play, programs: &Programs) -> Result<Self, Failed> {
        let sizes = &play.sizes;
        let (calm, divided) = (play.fault.is_none(), play.fault == Some(Fault::Cut));
        let with_untied = play.with_cpu && sizes.mode != Mode::Off;
        let run = NEXT.fetch_add(1, Ordering::SeqCst);
        let slot = (std::process::id() as u16).wrapping_mul(13).wrapping_add(run) & 0xfff;
        let folder = programs.folder.join(format!("{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let databases: Vec<SocketAddr> =
            (0..sizes.databases).map(|place| address(192, slot, 20_000, place)).collect();
        let hollow = sizes.routers - sizes.real;
        let at = |place: usize| Address {
            clients: address(208, slot, 8400, place),
            datagrams: address(208, slot, 7000, place),
            feed: address(208, slot, 7700, place),
        };
        // Control instances come first, so that there are such of both sides.
        let control: Vec<Address> = (0..sizes.control).map(at).collect();
        let routers: Vec<Address> = (sizes.control..sizes.control + sizes.routers).map(at).collect();
        let datagrams: Vec<SocketAddr> = routers.iter().map(|address| address.datagrams).collect();

        let plans = databases.chunks(DATABASES_A_PROCESS).map(|chunk| DatabasesPlan {
            addresses: chunk.to_vec(),
            primaries: chunk.iter().step_by(GROUP).copied().collect(),
            lag_ms: LAG_MS,
        });
        let stores: Vec<StandIn> = plans
            .map(|plan| StandIn::start(&programs.databases, "databases", &plan))
            .collect::<Result<_, _>>()?;
        for store in &stores {
            store.await_up::<DatabasesReport>()?;
        }
        let entry = |(place, database): (usize, &SocketAddr)| {
            let role = if place.is_multiple_of(GROUP) { "primary" } else { "replica" };
            json!({
                "uid": format!("s-{place}"), "endpoint": database, "az": "a", "model": "m",
                "pod_group": place / GROUP, "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0, "role": role,
            })
        };
        let listing = Listing::start(databases.iter().enumerate().map(entry).collect())?;
        let [chosen, alone, shared] = roles(sizes, &databases);
        let real = chosen.iter().map(|place| datagrams[*place]);
        let border = divided.then(|| Border::new(&control, real)).transpose()?;
        let files = Files {
            folder: &folder,
            sizes,
            discovery: listing.address,
            routers: &datagrams,
            control: &control,
            border: border.as_ref(),
        };
        files.write_keys()?;
        let member = |kind, place, address| Member::new((kind, place), address, &files, &programs.router);
        let control: Vec<Member> = control
            .iter()
            .enumerate()
            .map(|(place, address)| member(Kind::Control, place, *address))
            .collect::<Result<_, _>>()?;
        let real: Vec<Member> = chosen
            .iter()
            .map(|place| member(Kind::Router, *place, routers[*place]))
            .collect::<Result<_, _>>()?;
        let beyond = sizes.control + sizes.routers + 1;
        let untied = if with_untied { 0..sizes.real } else { 0..0 };
        let untied: Vec<Member> =
            untied.map(|place| member(Kind::Untied, place, at(beyond + place))).collect::<Result<_, _>>()?;
        let mut world = Self {
            promotions: promotions(sizes),
            sizes: sizes.clone(),
            databases,
            stores,
            crowds: Vec::new(),
            alone: alone.len(),
            real,
            untied,
            control,
            border: None,
            listing,
            promoted: 0,
        };
        world.control.iter_mut().try_for_each(Member::start)?;
        world.control.iter().try_for_each(Member::await_serving)?;
        if !world.control.is_empty() {
            // They say nothing before they know all. Routers that start meanwhile turn from one to the next, and come
            // back to those they prefer over half a minute.
            sleep(UP + Duration::from_secs_f64(sizes.period_s * 5.0));
        }
        world.real.iter_mut().chain(&mut world.untied).try_for_each(Member::start)?;
        world.real.iter().chain(&world.untied).try_for_each(Member::await_serving)?;
        if hollow > 0 {
            // The files of a router that is not there: all hollow ones are told the same but for name and address.
            let spare = at(sizes.control + sizes.routers);
            let [platform, conf] = files.write(Kind::Router, "hollow", spare, sizes.routers)?;
            let each = shared.len().div_ceil(sizes.hollow_processes - alone.len()).max(1);
            let mut before = 0;
            for (process, places) in shared.chunks(each).chain(alone.chunks(1)).enumerate() {
                let place = |place: &usize| Place { name: name(*place), listen: datagrams[*place] };
                let plan = CrowdPlan {
                    platform: platform.clone(),
                    conf: conf.clone(),
                    routers: places.iter().map(place).collect(),
                    before,
                    databases: world.databases.clone(),
                    movers: world.promotions.iter().map(|(rises, _)| world.databases[*rises]).collect(),
                    sampled: SAMPLED,
                    follows_ms: (1000.0 + 2000.0 * sizes.period_s) as u64,
                    uses_one_in: USES_ONE_IN,
                    statements: sizes.statements,
                    group: GROUP,
                    bare: calm && process >= shared.chunks(each).len(),
                    seed: sizes.seed.wrapping_mul(100_000).wrapping_add((process * 1000) as u64),
                };
                before += places.len();
                world.crowds.push(StandIn::start(&programs.hollow, "hollow routers", &plan)?);
            }
            for crowd in &world.crowds {
                crowd.await_up::<CrowdReport>()?;
            }
        }
        world.border = border;
        Ok(world)
    }

    fn order_crowds(&mut self, order: &Order) -> std::io::Result<Vec<CrowdReport>> {
        let places: Vec<usize> =
            self.crowds.iter_mut().map(|crowd| crowd.order(order)).collect::<Result<_, _>>()?;
        self.crowds.iter().zip(places).map(|(crowd, place)| crowd.report(place)).collect()
    }

    /// Waits until all hollow routers have followed for a while.
    fn settle(&mut self) -> Result<(), Failed> {
        let (began, mut since) = (Instant::now(), Instant::now());
        let settled = if self.sizes.mode == Mode::Feed { COPIED } else { SETTLED };
        while since.elapsed() < settled {
            sleep(Duration::from_millis(250));
            let reports = self.order_crowds(&Order::Count)?;
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

    /// All counts by now. Those of real processes come from their logs, for which they read their files anew, so
    /// processor time is looked at on the side of that where it is not in the span that is counted.
    fn snapshot(&mut self, begins: bool) -> std::io::Result<Snapshot> {
        let mut cpu = self.cpu();
        let asked: Vec<usize> = self.real.iter().chain(&self.control).map(Member::ask).collect();
        let crowds = self.order_crowds(if begins { &Order::Mark } else { &Order::Count })?;
        let mode = self.sizes.mode;
        let told: Vec<Sums> = self
            .real
            .iter()
            .chain(&self.control)
            .zip(asked)
            .map(|(member, place)| if member.runs() { member.told(place, mode) } else { Ok(Sums::default()) })
            .collect::<Result<_, _>>()?;
        let (real, control) = told.split_at(self.real.len());
        let mut stores = Vec::new();
        for store in &mut self.stores {
            let place = store.order(&Order::Count)?;
            stores.push(store.report(place)?);
        }
        if begins {
            cpu = self.cpu();
        }
        Ok(Snapshot {
            at: Instant::now(),
            crowds,
            real: real.to_vec(),
            control: control.to_vec(),
            stores,
            discovery: self.listing.counts(),
            cpu,
        })
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

    fn cpu(&self) -> Cpu {
        let shared = self.crowds.len() - self.alone;
        let time = |crowd: &StandIn| crowd.process.usage().map(|(_, time)| time);
        let of = |members: &[Member]| {
            let time = |member: &Member| member.usage().map_or(Duration::ZERO, |(_, time)| time);
            members.iter().map(time).collect()
        };
        Cpu {
            at: Instant::now(),
            shared: self.crowds[..shared].iter().filter_map(time).sum(),
            alone: self.crowds[shared..].iter().filter_map(time).collect(),
            real: of(&self.real),
            untied: of(&self.untied),
            control: of(&self.control),
        }
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
        self.crowds.iter_mut().try_for_each(|crowd| crowd.order(&told).map(drop))
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

    fn window(&self, before: &Snapshot, after: &Snapshot) -> Window {
        let seconds = (after.at - before.at).as_secs_f64();
        let cpu_seconds = (after.cpu.at - before.cpu.at).as_secs_f64();
        let pair = |(before, after): (&Sums, &Sums)| (*before, *after, 1);
        let crowds = before.crowds.iter().zip(&after.crowds);
        let hollow: Vec<_> =
            crowds.map(|(before, after)| (as_sums(before), as_sums(after), after.routers)).collect();
        let real: Vec<_> = before.real.iter().zip(&after.real).map(pair).collect();
        let control: Vec<_> = before.control.iter().zip(&after.control).map(pair).collect();
        let (hollow, real, control) = (rates(&hollow), rates(&real), rates(&control));
        let mut figures = BTreeMap::new();
        let mut put = |name: &str, value: f64| _ = figures.insert(name.to_string(), value);
        let hollow_routers = (self.sizes.routers - self.sizes.real) as f64;
        if hollow_routers > 0.0 {
            let (alone, _) = mean(&parts(&before.cpu.alone, &after.cpu.alone, cpu_seconds));
            for role in ["router", "hollow"] {
                put_rates(&mut put, role, &hollow);
                put(&format!("{role}_cpu_part"), alone);
            }
            let sharing = &after.crowds[..after.crowds.len() - self.alone];
            if !sharing.is_empty() {
                let routers: usize = sharing.iter().map(|report| report.routers).sum();
                let cpu = (after.cpu.shared - before.cpu.shared).as_secs_f64() / cpu_seconds;
                put("hollow_sharing_cpu_part", cpu / routers as f64);
                let grown = |report: &CrowdReport| report.resident_bytes.saturating_sub(report.base_bytes);
                let bytes: u64 = sharing.iter().map(grown).sum();
                put("router_memory_bytes", bytes as f64 / routers as f64);
            }
            let ages = merged(after.crowds.iter().map(|report| &report.ages));
            put("age_p50_s", ages.value_at_quantile(0.5) as f64 / 1e6);
            put("age_p99_s", ages.value_at_quantile(0.99) as f64 / 1e6);
            put("age_max_s", ages.max() as f64 / 1e6);
            let probes: f64 = hollow.probes;
            put("router_probes_s", probes);
        }
        if self.sizes.real > 0 {
            let (on, on_error) = mean(&parts(&before.cpu.real, &after.cpu.real, cpu_seconds));
            put("real_on_cpu_part", on);
            if !self.untied.is_empty() {
                let (off, off_error) = mean(&parts(&before.cpu.untied, &after.cpu.untied, cpu_seconds));
                put("real_off_cpu_part", off);
                put("real_cpu_part", on - off);
                if let (Some(on), Some(off)) = (on_error, off_error) {
                    put("real_cpu_error_part", on.hypot(off));
                }
            }
            if self.sizes.mode != Mode::Off {
                put_rates(&mut put, "real", &real);
            }
        }
        if self.sizes.control > 0 {
            put_rates(&mut put, "control", &control);
            let parts = parts(&before.cpu.control, &after.cpu.control, cpu_seconds);
            put("control_cpu_part", parts.iter().sum::<f64>() / parts.len() as f64);
            let most = self.control.iter().filter_map(Member::usage).map(|(bytes, _)| bytes).max();
            put("control_memory_bytes", most.unwrap_or(0) as f64);
        }
        let probes = |snapshot: &Snapshot| snapshot.stores.iter().map(|store| store.probes).sum::<u64>();
        put(
            "database_probes_s",
            (probes(after) - probes(before)) as f64 / seconds / self.sizes.databases as f64,
        );
        // Whoever is a process of its own has the list from discovery; hollow routers are given it.
        let callers = (self.real.len() + self.control.len()).max(1) as f64;
        let discovery = after.discovery.since(before.discovery);
        put("discovery_calls_s", discovery.calls as f64 / seconds / callers);
        put("discovery_bytes_s", (discovery.bytes_in + discovery.bytes_out) as f64 / seconds / callers);
        if !self.real.is_empty() {
            put("real_memory_bytes", self.real_memory());
        }
        Window { hollow, control, figures }
    }

    /// When changes were known, of all that were made since the mark.
    fn known(&self, reports: &[CrowdReport], figures: &mut BTreeMap<String, f64>) {
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

fn put_rates(put: &mut impl FnMut(&str, f64), role: &str, rates: &Rates) {
    put(&format!("{role}_messages_in_s"), rates.messages_in);
    put(&format!("{role}_messages_out_s"), rates.messages_out);
    put(&format!("{role}_bytes_in_s"), rates.bytes_in);
    put(&format!("{role}_bytes_out_s"), rates.bytes_out);
    if rates.state > 0.0 {
        put(&format!("{role}_state_bytes"), rates.state);
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
        let reports = world.order_crowds(&Order::Count)?;
        world.known(&reports, &mut figures);
    }
    let mut bounds = calibration::bounds(&figures, play.with_cpu);
    if let Some(fault) = play.fault {
        bounds.extend(strike::strike(&mut world, fault, &window, &mut figures)?);
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
