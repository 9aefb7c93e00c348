//! One run of one size: everything is started, settles, is counted for a while, and is ended.

mod strike;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use quillpoint_fleet::PeerName;
use quillpoint_fleet::ids::{DutyId, KindId, Subject};
use quillpoint_fleet::rendezvous::{self, Candidate};
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
use crate::scale::counters::{Rates, Sums, merged, rates};
use crate::scale::faults::Fault;
use crate::scale::member::{Address, Files, Kind, Member};
use crate::scale::orders::{CrowdPlan, CrowdReport, DatabasesPlan, DatabasesReport, Order, Place};
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
/// A real router has taken a database of the list in by then.
const LISTED: Duration = Duration::from_micros(300);
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
/// How long the real routers are counted that know nothing of each other.
const OFF_S: f64 = 4.0;

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
    shared: Duration,
    alone: Duration,
    real: Duration,
    control: Vec<Duration>,
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
    /// `divided` is a fleet whose real processes can be cut from each other.
    fn start(sizes: &Sizes, programs: &Programs, divided: bool) -> Result<Self, Failed> {
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
        let mut world = Self {
            promotions: promotions(sizes),
            sizes: sizes.clone(),
            databases,
            stores,
            crowds: Vec::new(),
            alone: alone.len(),
            real,
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
        world.real.iter_mut().try_for_each(Member::start)?;
        world.real.iter().try_for_each(Member::await_serving)?;
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

    /// Clients of the real routers, as the sizes say.
    fn clients(&self) -> std::io::Result<Clients> {
        let routers: Vec<SocketAddr> = self.real.iter().map(|member| member.address.clients).collect();
        Clients::start(&routers, self.sizes.connections, self.sizes.statements)
    }

    /// The resident memory of the mean real router.
    fn real_memory(&self) -> f64 {
        let all: Vec<u64> = self.real.iter().filter_map(Member::usage).map(|(bytes, _)| bytes).collect();
        all.iter().sum::<u64>() as f64 / all.len().max(1) as f64
    }

    fn cpu(&self) -> Cpu {
        let shared = self.crowds.len() - self.alone;
        let time = |crowd: &StandIn| crowd.process.usage().map(|(_, time)| time);
        let crowds = |crowds: &[StandIn]| crowds.iter().filter_map(time).sum();
        let of = |member: &Member| member.usage().map_or(Duration::ZERO, |(_, time)| time);
        Cpu {
            shared: crowds(&self.crowds[..shared]),
            alone: crowds(&self.crowds[shared..]),
            real: self.real.iter().map(of).sum(),
            control: self.control.iter().map(of).collect(),
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
        self.order_crowds(&Order::Promoted { node, at_us: report.promoted_us })?;
        Ok(())
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
            let alone =
                (after.cpu.alone - before.cpu.alone).as_secs_f64() / seconds / self.alone.max(1) as f64;
            for role in ["router", "hollow"] {
                put_rates(&mut put, role, &hollow);
                put(&format!("{role}_cpu_part"), alone);
            }
            let sharing = &after.crowds[..after.crowds.len() - self.alone];
            if !sharing.is_empty() {
                let routers: usize = sharing.iter().map(|report| report.routers).sum();
                let cpu = (after.cpu.shared - before.cpu.shared).as_secs_f64() / seconds;
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
            let cpu = (after.cpu.real - before.cpu.real).as_secs_f64() / seconds;
            put("real_on_cpu_part", cpu / self.sizes.real as f64);
            if self.sizes.mode != Mode::Off {
                put_rates(&mut put, "real", &real);
            }
        }
        if self.sizes.control > 0 {
            put_rates(&mut put, "control", &control);
            let parts: Vec<f64> = before
                .cpu
                .control
                .iter()
                .zip(&after.cpu.control)
                .map(|(before, after)| after.saturating_sub(*before).as_secs_f64() / seconds)
                .collect();
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

/// The name of the router of this place, real or hollow.
fn name(place: usize) -> String {
    format!("r{place}")
}

/// The places of the real routers, of the hollow ones with a process to themselves, and of those that share one. Where
/// all are members, each of the first two is chosen so that its routers own as many duties as routers do in the mean
/// and in the spread, as names share them out by chance: in a fleet of 200 and 250 databases 16 own a fifth more or
/// less, and say so much more.
fn roles(sizes: &Sizes, databases: &[SocketAddr]) -> [Vec<usize>; 3] {
    let mut places: Vec<usize> = (0..sizes.routers).collect();
    if sizes.mode == Mode::Shared {
        let candidate = |place: &usize| {
            let name = PeerName::new(&name(*place)).expect("letters and digits");
            Candidate { name, zone: 0, weight: 1 }
        };
        let candidates: Vec<Candidate> = places.iter().map(candidate).collect();
        let mut owned = vec![0; candidates.len()];
        for database in databases {
            let duty = DutyId { kind: KindId(0), subject: Subject::Node(*database) };
            let scores = candidates.iter().map(|candidate| rendezvous::score(duty, 0, candidate));
            let first = scores.enumerate().max_by(|(_, one), (_, other)| one.total_cmp(other));
            owned[first.map_or(0, |(place, _)| place)] += 1;
        }
        places.sort_by_key(|place| (owned[*place], *place));
    }
    let real = spread(&mut places, sizes.real);
    let count = sizes::alone(places.len());
    let alone = spread(&mut places, count);
    [real, alone, places]
}

/// Takes so many out of the line, spread evenly over it.
fn spread(line: &mut Vec<usize>, count: usize) -> Vec<usize> {
    let step = line.len() as f64 / count.max(1) as f64;
    let taken: Vec<usize> = (0..count).map(|number| line[((number as f64 + 0.5) * step) as usize]).collect();
    line.retain(|place| !taken.contains(place));
    taken
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
    // The real ones' load without control, for what control adds to it.
    if sizes.real > 0 && sizes.mode != Mode::Off && play.with_cpu {
        let off = Sizes {
            mode: Mode::Off,
            routers: sizes.real,
            control: 0,
            hollow_processes: 0,
            changes: 0.0,
            ..sizes.clone()
        };
        let mut world = World::start(&off, programs, false)?;
        // The list of databases is read first, and is no part of the load.
        sleep(SETTLED + LISTED * sizes.databases as u32);
        let clients = world.clients()?;
        let before = world.snapshot(true)?;
        sleep(Duration::from_secs_f64(OFF_S.min(sizes.seconds)));
        let after = world.snapshot(false)?;
        clients.end();
        let window = world.window(&before, &after);
        figures.insert("real_off_cpu_part".to_string(), window.figures["real_on_cpu_part"]);
    }
    let mut world = World::start(sizes, programs, play.fault == Some(Fault::Cut))?;
    world.settle()?;
    let lean = world.real_memory();
    let clients = world.clients()?;
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
    if sizes.changes > 0.0 {
        sleep(KNOWN + Duration::from_secs_f64(sizes.period_s));
        let reports = world.order_crowds(&Order::Count)?;
        world.known(&reports, &mut figures);
    }
    if let Some(off) = figures.get("real_off_cpu_part") {
        let on = figures["real_on_cpu_part"];
        figures.insert("real_cpu_part".to_string(), on - off);
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
