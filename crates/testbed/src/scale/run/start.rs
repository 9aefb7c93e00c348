//! Starts a fleet: addresses, databases, discovery, configuration files, real processes, and hollow routers
//! last.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::stand_in::StandIn;
use super::{GROUP_SIZE, Programs, RunError, RunSpec, TestFleet, promotions};
use crate::listing::DiscoveryServer;
use crate::record::{Mode, Sizes};
use crate::scale::commands::{DatabasesPlan, DatabasesReport, HollowPlan, HollowReport, HollowRouterPlan};
use crate::scale::faults::Fault;
use crate::scale::member::{Address, Files, Kind, Member};
use crate::scale::partition::PartitionRelays;
use crate::scale::roles::{roles, router_name};
use crate::scale::sizes::DATABASES_PER_PROCESS;

/// Control instances publish after this time and five probe periods.
const CONTROL_STARTUP: Duration = Duration::from_millis(1500);
/// Replication lag of the replicas.
const REPLICA_LAG_MS: u64 = 20;
/// Databases of each router whose observation age is sampled.
const SAMPLED_DATABASES: usize = 8;
/// The sessions of each router use one in this many databases.
const USES_ONE_IN: usize = 24;

/// Numbers the runs of this process, which may follow each other or overlap.
static NEXT_RUN: AtomicU16 = AtomicU16::new(0);

/// What separates a run from others on this machine: its folder and its part of the loopback addresses.
struct RunSpace {
    folder: PathBuf,
    slot: u16,
}

impl RunSpace {
    /// Allocates the space of the next run and creates its folder.
    fn next(programs: &Programs) -> std::io::Result<Self> {
        let run = NEXT_RUN.fetch_add(1, Ordering::SeqCst);
        let slot = (std::process::id() as u16).wrapping_mul(13).wrapping_add(run) & 0xfff;
        let folder = programs.folder.join(format!("{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { folder, slot })
    }

    /// The address at an index, 250 on each port. The slot in it keeps other runs on this machine from using
    /// the same one, as far as process ids differ in the bits that go into the slot.
    fn address(&self, base: u8, port: u16, index: usize) -> SocketAddr {
        let second = base + ((self.slot >> 8) & 15) as u8;
        let ip = Ipv4Addr::new(127, second, self.slot as u8, 1 + (index % 250) as u8);
        SocketAddr::from((ip, port + (index / 250) as u16))
    }

    fn database(&self, index: usize) -> SocketAddr {
        self.address(192, 20_000, index)
    }

    /// The addresses of a control instance or a router.
    fn member(&self, index: usize) -> Address {
        Address {
            clients: self.address(208, 8400, index),
            datagrams: self.address(208, 7000, index),
            feed: self.address(208, 7700, index),
        }
    }
}

/// The addresses of all members of a run.
struct FleetAddresses {
    control: Vec<Address>,
    routers: Vec<Address>,
    /// The datagram addresses of the routers.
    datagrams: Vec<SocketAddr>,
    /// An unused address, for the files that all hollow routers share.
    spare: Address,
    baseline: Vec<Address>,
}

impl FleetAddresses {
    /// Control instances come first, so that both sides of a partition have some.
    fn new(space: &RunSpace, sizes: &Sizes) -> Self {
        let all = sizes.control + sizes.routers;
        let members = |indexes: std::ops::Range<usize>| -> Vec<Address> {
            indexes.map(|index| space.member(index)).collect()
        };
        let routers = members(sizes.control..all);
        Self {
            control: members(0..sizes.control),
            datagrams: routers.iter().map(|address| address.datagrams).collect(),
            routers,
            spare: space.member(all),
            baseline: members(all + 1..all + 1 + sizes.real),
        }
    }
}

/// Starts the stand-in databases, with the first of each group as its primary, and waits until all listen.
fn start_databases(programs: &Programs, databases: &[SocketAddr]) -> std::io::Result<Vec<StandIn>> {
    let plans = databases.chunks(DATABASES_PER_PROCESS).map(|chunk| DatabasesPlan {
        addresses: chunk.to_vec(),
        primaries: chunk.iter().step_by(GROUP_SIZE).copied().collect(),
        lag_ms: REPLICA_LAG_MS,
    });
    let database_processes: Vec<StandIn> = plans
        .map(|plan| StandIn::start(&programs.databases, "databases", &plan))
        .collect::<Result<_, _>>()?;
    for process in &database_processes {
        process.await_up::<DatabasesReport>()?;
    }
    Ok(database_processes)
}

/// Starts discovery with an endpoint list of these databases.
fn start_listing(databases: &[SocketAddr]) -> std::io::Result<DiscoveryServer> {
    let entry = |(index, database): (usize, &SocketAddr)| {
        let role = if index.is_multiple_of(GROUP_SIZE) { "primary" } else { "replica" };
        json!({
            "uid": format!("s-{index}"), "endpoint": database, "az": "a", "model": "m",
            "pod_group": index / GROUP_SIZE, "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0, "role": role,
        })
    };
    DiscoveryServer::start(databases.iter().enumerate().map(entry).collect())
}

/// The real processes of a run, by kind.
struct RealMembers {
    control: Vec<Member>,
    routers: Vec<Member>,
    baseline: Vec<Member>,
}

impl RealMembers {
    /// Writes their files. `chosen` are the indexes of the real routers.
    fn new(
        files: &Files<'_>,
        programs: &Programs,
        addresses: &FleetAddresses,
        chosen: &[usize],
        with_baseline: bool,
    ) -> std::io::Result<Self> {
        let member = |kind, index, address| Member::new((kind, index), address, files, &programs.router);
        let control = addresses.control.iter().enumerate();
        let control = control.map(|(index, address)| member(Kind::Control, index, *address));
        let control = control.collect::<Result<_, _>>()?;
        let routers = chosen.iter().map(|index| member(Kind::Router, *index, addresses.routers[*index]));
        let routers = routers.collect::<Result<_, _>>()?;
        let baseline = addresses.baseline.iter().enumerate().filter(|_| with_baseline);
        let baseline = baseline.map(|(index, address)| member(Kind::Baseline, index, *address));
        let baseline = baseline.collect::<Result<_, _>>()?;
        Ok(Self { control, routers, baseline })
    }
}

/// What the processes of hollow routers are started from.
struct HollowStart<'a> {
    spec: &'a RunSpec,
    programs: &'a Programs,
    files: &'a Files<'a>,
    addresses: &'a FleetAddresses,
    /// The indexes of the routers with a dedicated process, and of those that share one.
    dedicated: &'a [usize],
    shared: &'a [usize],
}

impl HollowStart<'_> {
    /// The plans of all processes, those with shared routers first.
    fn plans(
        &self,
        databases: &[SocketAddr],
        promotions: &[(usize, usize)],
    ) -> std::io::Result<Vec<HollowPlan>> {
        let sizes = &self.spec.sizes;
        let calm = self.spec.fault.is_none();
        // Hollow routers share one set of files; only name and address differ.
        let [platform, conf] =
            self.files.write(Kind::Router, "hollow", self.addresses.spare, sizes.routers)?;
        let each = self.shared.len().div_ceil(sizes.hollow_processes - self.dedicated.len()).max(1);
        let sharing = self.shared.chunks(each).len();
        let mut first_index = 0;
        let mut plans = Vec::new();
        for (process, indexes) in self.shared.chunks(each).chain(self.dedicated.chunks(1)).enumerate() {
            let index = |index: &usize| HollowRouterPlan {
                name: router_name(*index),
                listen: self.addresses.datagrams[*index],
            };
            plans.push(HollowPlan {
                platform: platform.clone(),
                conf: conf.clone(),
                routers: indexes.iter().map(index).collect(),
                first_index,
                databases: databases.to_vec(),
                promotable: promotions.iter().map(|(new_primary, _)| databases[*new_primary]).collect(),
                sampled: SAMPLED_DATABASES,
                caught_up_within_ms: (1000.0 + 2000.0 * sizes.period_s) as u64,
                uses_one_in: USES_ONE_IN,
                statements: sizes.statements,
                group: GROUP_SIZE,
                control_only: calm && process >= sharing,
                seed: sizes.seed.wrapping_mul(100_000).wrapping_add((process * 1000) as u64),
            });
            first_index += indexes.len();
        }
        Ok(plans)
    }

    /// Starts all processes and waits until their routers listen.
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

impl TestFleet {
    /// Starts the fleet of a run. Baseline routers are started only if processor time is compared. In a run
    /// without a fault, routers with a dedicated process do nothing that is not part of the control side,
    /// since their processor time is measured. In a run with a partition, relays are put between the two
    /// sides.
    ///
    /// # Errors
    /// A file cannot be written, or a process does not start or is not up in time.
    pub(super) fn start(spec: &RunSpec, programs: &Programs) -> Result<Self, RunError> {
        let sizes = &spec.sizes;
        let space = RunSpace::next(programs)?;
        let addresses = FleetAddresses::new(&space, sizes);
        let databases: Vec<SocketAddr> = (0..sizes.databases).map(|index| space.database(index)).collect();
        let database_processes = start_databases(programs, &databases)?;
        let listing = start_listing(&databases)?;
        let [chosen, dedicated, shared] = roles(sizes, &databases);
        let partitioned = spec.fault == Some(Fault::Partition);
        let real = chosen.iter().map(|index| addresses.datagrams[*index]);
        let partition = partitioned.then(|| PartitionRelays::new(&addresses.control, real)).transpose()?;
        let files = Files {
            folder: &space.folder,
            sizes,
            discovery: listing.address,
            routers: &addresses.datagrams,
            control: &addresses.control,
            partition: partition.as_ref(),
        };
        files.write_keys()?;
        let with_baseline = spec.with_cpu && sizes.mode != Mode::Off;
        let members = RealMembers::new(&files, programs, &addresses, &chosen, with_baseline)?;
        let mut fleet = Self {
            promotions: promotions(sizes),
            sizes: sizes.clone(),
            databases,
            database_processes,
            hollow_processes: Vec::new(),
            dedicated: dedicated.len(),
            real: members.routers,
            baseline: members.baseline,
            control: members.control,
            partition: None,
            listing,
            promoted: 0,
        };
        fleet.start_members()?;
        if sizes.routers > sizes.real {
            let (dedicated, shared) = (&*dedicated, &*shared);
            let hollow =
                HollowStart { spec, programs, files: &files, addresses: &addresses, dedicated, shared };
            fleet.hollow_processes = hollow.start(&fleet.databases, &fleet.promotions)?;
        }
        fleet.partition = partition;
        Ok(fleet)
    }

    /// Starts the real processes: control instances first, since routers connect to them as soon as they run.
    fn start_members(&mut self) -> std::io::Result<()> {
        self.control.iter_mut().try_for_each(Member::start)?;
        self.control.iter().try_for_each(Member::await_serving)?;
        if !self.control.is_empty() {
            // Control instances do not publish until their own observations are complete. Routers that start
            // earlier try one after the other, and take half a minute to return to the preferred ones.
            sleep(CONTROL_STARTUP + Duration::from_secs_f64(self.sizes.period_s * 5.0));
        }
        self.real.iter_mut().chain(&mut self.baseline).try_for_each(Member::start)?;
        self.real.iter().chain(&self.baseline).try_for_each(Member::await_serving)
    }
}
