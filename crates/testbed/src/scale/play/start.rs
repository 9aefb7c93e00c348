//! How a fleet is started: addresses, databases, discovery, files, real processes, and hollow routers last.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::stand_in::StandIn;
use super::{Failed, GROUP, Play, Programs, World, promotions};
use crate::listing::DiscoveryServer;
use crate::record::{Mode, Sizes};
use crate::scale::border::Border;
use crate::scale::faults::Fault;
use crate::scale::member::{Address, Files, Kind, Member};
use crate::scale::orders::{DatabasesPlan, DatabasesReport, HollowPlan, HollowReport, Place};
use crate::scale::roles::{name, roles};
use crate::scale::sizes::DATABASES_A_PROCESS;

/// Control instances publish by then and after five periods.
const CONTROL_STARTUP: Duration = Duration::from_millis(1500);
/// How far behind replicas are.
const LAG_MS: u64 = 20;
/// The age of what is known is sampled for so many databases a router.
const SAMPLED: usize = 8;
/// A router's sessions use one in so many databases.
const USES_ONE_IN: usize = 24;

/// Several runs may follow or stand beside each other in a process.
static NEXT: AtomicU16 = AtomicU16::new(0);

/// What sets a run apart from others on this machine: its folder and its part of the loopback addresses.
struct RunSpace {
    folder: PathBuf,
    slot: u16,
}

impl RunSpace {
    /// Takes the next of this process, and creates its folder.
    fn next(programs: &Programs) -> std::io::Result<Self> {
        let run = NEXT.fetch_add(1, Ordering::SeqCst);
        let slot = (std::process::id() as u16).wrapping_mul(13).wrapping_add(run) & 0xfff;
        let folder = programs.folder.join(format!("{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { folder, slot })
    }

    /// The address of a place: 250 on each port. Neither another process of this machine nor another run of this one
    /// has the same, as far as its id tells.
    fn address(&self, base: u8, port: u16, place: usize) -> SocketAddr {
        let second = base + ((self.slot >> 8) & 15) as u8;
        let ip = Ipv4Addr::new(127, second, self.slot as u8, 1 + (place % 250) as u8);
        SocketAddr::from((ip, port + (place / 250) as u16))
    }

    fn database(&self, place: usize) -> SocketAddr {
        self.address(192, 20_000, place)
    }

    /// Of a control instance or a router.
    fn member(&self, place: usize) -> Address {
        Address {
            clients: self.address(208, 8400, place),
            datagrams: self.address(208, 7000, place),
            feed: self.address(208, 7700, place),
        }
    }
}

/// The addresses of all members of a run.
struct FleetAddresses {
    control: Vec<Address>,
    routers: Vec<Address>,
    /// Where the routers listen for datagrams.
    datagrams: Vec<SocketAddr>,
    /// For the files that all hollow routers share, of a router that is not there.
    spare: Address,
    untied: Vec<Address>,
}

impl FleetAddresses {
    /// Control instances come first, so that there are such of both sides of a cut.
    fn new(space: &RunSpace, sizes: &Sizes) -> Self {
        let all = sizes.control + sizes.routers;
        let members = |places: std::ops::Range<usize>| -> Vec<Address> {
            places.map(|place| space.member(place)).collect()
        };
        let routers = members(sizes.control..all);
        Self {
            control: members(0..sizes.control),
            datagrams: routers.iter().map(|address| address.datagrams).collect(),
            routers,
            spare: space.member(all),
            untied: members(all + 1..all + 1 + sizes.real),
        }
    }
}

/// Starts the stand-in databases, the first of each group as its primary, and waits until all listen.
fn start_databases(programs: &Programs, databases: &[SocketAddr]) -> std::io::Result<Vec<StandIn>> {
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
    Ok(stores)
}

/// Starts discovery with a list of these databases.
fn start_listing(databases: &[SocketAddr]) -> std::io::Result<DiscoveryServer> {
    let entry = |(place, database): (usize, &SocketAddr)| {
        let role = if place.is_multiple_of(GROUP) { "primary" } else { "replica" };
        json!({
            "uid": format!("s-{place}"), "endpoint": database, "az": "a", "model": "m",
            "pod_group": place / GROUP, "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0, "role": role,
        })
    };
    DiscoveryServer::start(databases.iter().enumerate().map(entry).collect())
}

/// The real processes of a run, by kind.
struct RealMembers {
    control: Vec<Member>,
    routers: Vec<Member>,
    untied: Vec<Member>,
}

impl RealMembers {
    /// Writes their files. `chosen` are the places of the real routers.
    fn new(
        files: &Files<'_>,
        programs: &Programs,
        addresses: &FleetAddresses,
        chosen: &[usize],
        with_untied: bool,
    ) -> std::io::Result<Self> {
        let member = |kind, place, address| Member::new((kind, place), address, files, &programs.router);
        let control = addresses.control.iter().enumerate();
        let control = control.map(|(place, address)| member(Kind::Control, place, *address));
        let control = control.collect::<Result<_, _>>()?;
        let routers = chosen.iter().map(|place| member(Kind::Router, *place, addresses.routers[*place]));
        let routers = routers.collect::<Result<_, _>>()?;
        let untied = addresses.untied.iter().enumerate().filter(|_| with_untied);
        let untied = untied.map(|(place, address)| member(Kind::Untied, place, *address));
        let untied = untied.collect::<Result<_, _>>()?;
        Ok(Self { control, routers, untied })
    }
}

/// What the processes of hollow routers are started with.
struct HollowStart<'a> {
    play: &'a Play,
    programs: &'a Programs,
    files: &'a Files<'a>,
    addresses: &'a FleetAddresses,
    /// The places of routers with a process to themselves, and of those that share one.
    alone: &'a [usize],
    shared: &'a [usize],
}

impl HollowStart<'_> {
    /// The plans of all processes, those of shared ones first.
    fn plans(
        &self,
        databases: &[SocketAddr],
        promotions: &[(usize, usize)],
    ) -> std::io::Result<Vec<HollowPlan>> {
        let sizes = &self.play.sizes;
        let calm = self.play.fault.is_none();
        // All hollow routers are told the same but for name and address.
        let [platform, conf] =
            self.files.write(Kind::Router, "hollow", self.addresses.spare, sizes.routers)?;
        let each = self.shared.len().div_ceil(sizes.hollow_processes - self.alone.len()).max(1);
        let sharing = self.shared.chunks(each).len();
        let mut before = 0;
        let mut plans = Vec::new();
        for (process, places) in self.shared.chunks(each).chain(self.alone.chunks(1)).enumerate() {
            let place =
                |place: &usize| Place { name: name(*place), listen: self.addresses.datagrams[*place] };
            plans.push(HollowPlan {
                platform: platform.clone(),
                conf: conf.clone(),
                routers: places.iter().map(place).collect(),
                before,
                databases: databases.to_vec(),
                movers: promotions.iter().map(|(rises, _)| databases[*rises]).collect(),
                sampled: SAMPLED,
                follows_ms: (1000.0 + 2000.0 * sizes.period_s) as u64,
                uses_one_in: USES_ONE_IN,
                statements: sizes.statements,
                group: GROUP,
                bare: calm && process >= sharing,
                seed: sizes.seed.wrapping_mul(100_000).wrapping_add((process * 1000) as u64),
            });
            before += places.len();
        }
        Ok(plans)
    }

    /// Starts all processes, and waits until their routers listen.
    fn start(
        &self,
        databases: &[SocketAddr],
        promotions: &[(usize, usize)],
    ) -> std::io::Result<Vec<StandIn>> {
        let plans = self.plans(databases, promotions)?;
        let start = |plan: &HollowPlan| StandIn::start(&self.programs.hollow, "hollow routers", plan);
        let processes: Vec<StandIn> = plans.iter().map(start).collect::<Result<_, _>>()?;
        for process in &processes {
            process.await_up::<HollowReport>()?;
        }
        Ok(processes)
    }
}

impl World {
    /// Starts the fleet of a run. Routers without a control side are there where processor time is held; in a calm run
    /// nothing else is done by those whose time it is. A fleet that is to be cut is divided: its real processes can be
    /// cut from each other.
    ///
    /// # Errors
    /// A file cannot be written, or a process does not start or is not up in time.
    pub(super) fn start(play: &Play, programs: &Programs) -> Result<Self, Failed> {
        let sizes = &play.sizes;
        let space = RunSpace::next(programs)?;
        let addresses = FleetAddresses::new(&space, sizes);
        let databases: Vec<SocketAddr> = (0..sizes.databases).map(|place| space.database(place)).collect();
        let stores = start_databases(programs, &databases)?;
        let listing = start_listing(&databases)?;
        let [chosen, alone, shared] = roles(sizes, &databases);
        let divided = play.fault == Some(Fault::Cut);
        let real = chosen.iter().map(|place| addresses.datagrams[*place]);
        let border = divided.then(|| Border::new(&addresses.control, real)).transpose()?;
        let files = Files {
            folder: &space.folder,
            sizes,
            discovery: listing.address,
            routers: &addresses.datagrams,
            control: &addresses.control,
            border: border.as_ref(),
        };
        files.write_keys()?;
        let with_untied = play.with_cpu && sizes.mode != Mode::Off;
        let members = RealMembers::new(&files, programs, &addresses, &chosen, with_untied)?;
        let mut world = Self {
            promotions: promotions(sizes),
            sizes: sizes.clone(),
            databases,
            stores,
            hollow_processes: Vec::new(),
            alone: alone.len(),
            real: members.routers,
            untied: members.untied,
            control: members.control,
            border: None,
            listing,
            promoted: 0,
        };
        world.start_members()?;
        if sizes.routers > sizes.real {
            let (alone, shared) = (&*alone, &*shared);
            let hollow = HollowStart { play, programs, files: &files, addresses: &addresses, alone, shared };
            world.hollow_processes = hollow.start(&world.databases, &world.promotions)?;
        }
        world.border = border;
        Ok(world)
    }

    /// Starts the real processes: control instances first, since routers ask them as soon as they run.
    fn start_members(&mut self) -> std::io::Result<()> {
        self.control.iter_mut().try_for_each(Member::start)?;
        self.control.iter().try_for_each(Member::await_serving)?;
        if !self.control.is_empty() {
            // They say nothing before they know all. Routers that start meanwhile turn from one to the next, and come
            // back to those they prefer over half a minute.
            sleep(CONTROL_STARTUP + Duration::from_secs_f64(self.sizes.period_s * 5.0));
        }
        self.real.iter_mut().chain(&mut self.untied).try_for_each(Member::start)?;
        self.real.iter().chain(&self.untied).try_for_each(Member::await_serving)
    }
}
