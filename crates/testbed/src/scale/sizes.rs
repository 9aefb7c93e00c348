//! What a run requires of the machine; checked before anything is started.

use std::fs;

use crate::record::{Mode, Sizes};

/// Maximum number of processes of a run.
pub const MAX_PROCESSES: usize = 300;
/// Maximum memory of a run; a run may not take more than half of the machine's memory either.
pub const MAX_MEMORY_BYTES: u64 = 12 << 30;
/// Maximum number of routers of a fleet in mode shared. A member tracks at most
/// `quillpoint_membership::membership::MAX_PEERS` peers, so in a larger fleet each member would know a
/// different part of it. The margin of 6 leaves room for restarted routers.
pub const MAX_SHARED_ROUTERS: usize = quillpoint_membership::membership::MAX_PEERS - 6;
/// Stand-in databases per process.
pub const DATABASES_PER_PROCESS: usize = 2000;
/// About how many connections to each database are open at once.
const CONNECTIONS_PER_DATABASE: usize = 6;
/// For standard streams, event loops and files.
const SPARE_DESCRIPTORS: usize = 64;
/// Maximum number of addresses of a kind: 250 on each of 80 ports.
const MAX_ADDRESSES: usize = 250 * 80;
/// Hollow routers per process, chosen by the processor time of a router's control side: a process that is
/// short of processor time would add delays of the measurement to the figures.
const HOLLOW_PER_PROCESS_SHARED: usize = 20;
const HOLLOW_PER_PROCESS_FEED: usize = 1000;
/// The default number of real routers.
const DEFAULT_REAL_ROUTERS: usize = 16;
/// The default number of control instances in mode feed.
const DEFAULT_CONTROL_INSTANCES: usize = 4;

/// The resources that are available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// File descriptors per process.
    pub descriptors: usize,
    /// Maximum number of processes of a run.
    pub processes: usize,
    /// Memory in bytes.
    pub memory: u64,
}

/// Sizes that cannot be run.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SizeError {
    /// A size is below its minimum, or out of range.
    #[error("{what}: asked for {asked}, expected at least {minimum}")]
    TooSmall {
        /// The size.
        what: &'static str,
        /// The value asked for.
        asked: String,
        /// The minimum, and the range if there is one.
        minimum: &'static str,
    },
    /// A size needs more than the machine has.
    #[error(
        "{what}: asked for {asked}, which takes {needed} {resource}; there are {available}: the largest that fits is {largest}"
    )]
    TooLarge {
        /// The size to reduce.
        what: &'static str,
        /// The value asked for.
        asked: usize,
        /// How much of the resource the run needs.
        needed: u64,
        /// The resource that is short.
        resource: &'static str,
        /// How much of the resource there is.
        available: u64,
        /// The largest value that fits.
        largest: usize,
    },
    /// A fleet in mode shared has more routers than a member can track.
    #[error(
        "routers: asked for {asked} in one fleet; a member tracks at most {MAX_SHARED_ROUTERS} peers, with room for restarted routers: \
         the largest that fits is {MAX_SHARED_ROUTERS} (modes off and feed take more)"
    )]
    Shared {
        /// The number of routers asked for.
        asked: usize,
    },
    /// More real routers than routers.
    #[error("real: asked for {real} real routers among {routers} in all")]
    Real {
        /// Real routers asked for.
        real: usize,
        /// All routers asked for.
        routers: usize,
    },
    /// Hollow routers in mode off.
    #[error(
        "mode off: asked for {hollow} hollow routers, which have no control side to measure in this mode; expected none"
    )]
    Hollow {
        /// Hollow routers that the sizes imply.
        hollow: usize,
    },
}

/// What a run requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// File descriptors of the process that needs the most.
    pub descriptors: u64,
    /// Processes of the whole run.
    pub processes: u64,
    /// Memory of the whole run, in bytes.
    pub memory: u64,
    /// Loopback addresses of the kind that needs the most.
    pub addresses: u64,
}

impl Machine {
    /// Reads the limits of this machine.
    pub fn detect() -> Self {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let open = limits.lines().find(|line| line.starts_with("Max open files"));
        let open = open.and_then(|line| line.split_whitespace().nth(3)).and_then(|word| word.parse().ok());
        let memory_info = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let all = memory_info.lines().find(|line| line.starts_with("MemTotal:"));
        let all =
            all.and_then(|line| line.split_whitespace().nth(1)).and_then(|word| word.parse::<u64>().ok());
        Self {
            descriptors: open.unwrap_or(1024),
            processes: MAX_PROCESSES,
            memory: (all.unwrap_or(0) * 1024 / 2).min(MAX_MEMORY_BYTES),
        }
    }
}

/// How many of the hollow routers get a dedicated process. Routers that share a process also share its
/// wake-ups, and so use less processor time than a real one: 0.8% against 2.1% of a core in a fleet of 25.
pub fn dedicated_processes(hollow: usize) -> usize {
    (hollow / 4).clamp(hollow.min(1), 8)
}

/// The number of processes for this many hollow routers, dedicated ones included.
pub fn hollow_processes(mode: Mode, hollow: usize) -> usize {
    let dedicated = dedicated_processes(hollow);
    match mode {
        Mode::Off => 0,
        Mode::Shared => dedicated + (hollow - dedicated).div_ceil(HOLLOW_PER_PROCESS_SHARED),
        Mode::Feed => dedicated + (hollow - dedicated).div_ceil(HOLLOW_PER_PROCESS_FEED),
    }
}

/// The default sizes of a run with this many routers and databases. The suites, the options of the command
/// and the tests all start from these.
pub fn default_sizes(mode: Mode, routers: usize, databases: usize) -> Sizes {
    let sizes = Sizes {
        mode,
        routers,
        real: 0,
        hollow_processes: 0,
        control: if mode == Mode::Feed { DEFAULT_CONTROL_INSTANCES } else { 0 },
        databases,
        connections: 0,
        statements: 0.0,
        changes: 0.0,
        period_s: 0.15,
        seed: 1,
        seconds: 8.0,
    };
    with_real(sizes, if mode == Mode::Off { routers } else { routers.min(DEFAULT_REAL_ROUTERS) })
}

/// The same sizes with another number of real routers.
pub fn with_real(sizes: Sizes, real: usize) -> Sizes {
    let hollow = sizes.routers.saturating_sub(real);
    Sizes { real, hollow_processes: hollow_processes(sizes.mode, hollow), ..sizes }
}

/// The number of processes for this many stand-in databases.
pub fn database_processes(databases: usize) -> usize {
    databases.div_ceil(DATABASES_PER_PROCESS)
}

/// Estimates the requirements of a run, rounded up from those measured in runs of several sizes.
pub fn requirements(sizes: &Sizes) -> Requirements {
    let Sizes { mode, routers, real, hollow_processes, control, databases, connections, .. } = *sizes;
    let hollow = routers - real.min(routers);
    let each = (hollow - dedicated_processes(hollow))
        .div_ceil(hollow_processes.saturating_sub(dedicated_processes(hollow)).max(1));
    let idle = if hollow_processes == 0 {
        0
    } else {
        databases.min(crate::scale::hollow_process::MAX_IDLE_CONNECTIONS)
    };
    let of_databases = databases.min(DATABASES_PER_PROCESS) * (1 + CONNECTIONS_PER_DATABASE);
    let of_real = connections + databases;
    // For the baseline: as many real routers again, without a control side.
    let baseline = if mode == Mode::Off { 0 } else { real };
    let of_clients = connections * (real + baseline);
    let descriptors = (each + idle).max(of_databases).max(of_real).max(of_clients) + SPARE_DESCRIPTORS;
    let processes = 1 + real + baseline + control + hollow_processes + database_processes(databases);
    let known = match mode {
        Mode::Off => 0,
        Mode::Shared => databases * 900 + routers * 700,
        Mode::Feed => databases * 130,
    };
    let memory = hollow * (60_000 + known)
        + (real + baseline + control) * (16 << 20)
        + (real + baseline + control) * (databases * 3_000 + connections * 16_000 + known)
        + databases * 12_000
        + (hollow_processes + 2) * (16 << 20);
    Requirements {
        descriptors: descriptors as u64,
        processes: processes as u64,
        memory: memory as u64,
        addresses: databases.max(routers + baseline + control + 1) as u64,
    }
}

/// Checks that the sizes are valid and that the run fits the machine.
///
/// # Errors
/// The size that is invalid or too large, with what is available and the largest value that fits.
pub fn check(sizes: &Sizes, machine: &Machine) -> Result<(), SizeError> {
    let too_small = |what, asked: String, minimum| Err(SizeError::TooSmall { what, asked, minimum });
    if sizes.routers == 0 {
        return too_small("routers", "0".into(), "1");
    }
    if sizes.databases < 2 {
        return too_small("databases", sizes.databases.to_string(), "2, a primary and a replica");
    }
    if !(sizes.seconds >= 1.0 && sizes.seconds <= 600.0) {
        return too_small("seconds", sizes.seconds.to_string(), "1 (and no more than 600)");
    }
    if !(sizes.period_s >= 0.05 && sizes.period_s <= 60.0) {
        return too_small("period", sizes.period_s.to_string(), "0.05 s (and no more than 60)");
    }
    if sizes.mode == Mode::Feed && sizes.control == 0 {
        return too_small("control", "0".into(), "1 in mode feed");
    }
    if sizes.real > sizes.routers {
        return Err(SizeError::Real { real: sizes.real, routers: sizes.routers });
    }
    let hollow = sizes.routers - sizes.real;
    if sizes.mode == Mode::Off && hollow > 0 {
        return Err(SizeError::Hollow { hollow });
    }
    let sharing = hollow - dedicated_processes(hollow);
    if sizes.mode != Mode::Off && sizes.hollow_processes < dedicated_processes(hollow) + sharing.min(1) {
        let asked = sizes.hollow_processes.to_string();
        return too_small(
            "hollow processes",
            asked,
            "one for each dedicated router (up to eight), and one for the rest",
        );
    }
    if sizes.mode == Mode::Shared && sizes.routers > MAX_SHARED_ROUTERS {
        return Err(SizeError::Shared { asked: sizes.routers });
    }
    let Some((resource, needed, available)) = exceeded_limit(sizes, machine) else { return Ok(()) };
    let (what, asked) = reducible_size(sizes, machine);
    let with = |size| with_size(sizes, what, size);
    let (mut fits, mut not) = (0, asked);
    while fits + 1 < not {
        let middle = fits + (not - fits) / 2;
        if exceeded_limit(&with(middle), machine).is_none() { fits = middle } else { not = middle }
    }
    Err(SizeError::TooLarge { what, asked, needed, resource, available, largest: fits })
}

fn exceeded_limit(sizes: &Sizes, machine: &Machine) -> Option<(&'static str, u64, u64)> {
    let requirements = requirements(sizes);
    [
        ("processes", requirements.processes, machine.processes as u64),
        ("descriptors in a process", requirements.descriptors, machine.descriptors as u64),
        ("bytes of memory", requirements.memory, machine.memory),
        ("addresses", requirements.addresses, MAX_ADDRESSES as u64),
    ]
    .into_iter()
    .find(|(_, needed, available)| needed > available)
}

/// The same sizes with one of them replaced.
fn with_size(sizes: &Sizes, what: &str, size: usize) -> Sizes {
    let mut other = sizes.clone();
    match what {
        "databases" => other.databases = size,
        "connections" => other.connections = size,
        "real" => (other.real, other.routers) = (size, sizes.routers - sizes.real + size),
        "control" => other.control = size,
        "hollow processes" => other.hollow_processes = size,
        _ => {
            // The process count follows the number of hollow routers, but does not exceed the one asked for.
            let hollow = size.saturating_sub(sizes.real);
            other.routers = size;
            other.hollow_processes = hollow_processes(sizes.mode, hollow).min(sizes.hollow_processes);
        }
    }
    other
}

/// The first size whose minimum would make the run fit, and its value.
fn reducible_size(sizes: &Sizes, machine: &Machine) -> (&'static str, usize) {
    let kinds = [
        ("connections", sizes.connections, 0),
        ("databases", sizes.databases, 2),
        ("hollow processes", sizes.hollow_processes, dedicated_processes(sizes.routers - sizes.real) + 1),
        ("real", sizes.real, 0),
        ("control", sizes.control, 1),
    ];
    let is_enough = |(what, asked, minimum): &(&'static str, usize, usize)| {
        asked > minimum && exceeded_limit(&with_size(sizes, what, *minimum), machine).is_none()
    };
    let routers = ("routers", sizes.routers, sizes.real);
    // Routers come first: their number is what most runs are about.
    let found = std::iter::once(routers).chain(kinds).find(is_enough);
    found.map_or(("routers", sizes.routers), |(what, asked, _)| (what, asked))
}
