//! What a run takes of the machine, and whether it fits, before anything is started.

use std::fs;

use crate::record::{Mode, Sizes};

/// No run has more processes, and none takes more memory than this, or than half of what the machine has.
pub const MAX_PROCESSES: usize = 300;
pub const MAX_MEMORY_BYTES: u64 = 12 << 30;
/// A fleet in which all are members keeps no more peers than this (`quillpoint_membership::membership::MAX_PEERS`), and so
/// is none beyond: each would know another part of it.
pub const MAX_SHARED_ROUTERS: usize = quillpoint_membership::membership::MAX_PEERS - 6;
/// Databases a process, and about how many connections to each are open at once.
pub const DATABASES_PER_PROCESS: usize = 2000;
const CONNECTIONS_PER_DATABASE: usize = 6;
/// Standard streams, reactors, files that are read.
const SPARE_DESCRIPTORS: usize = 64;
/// Addresses of a kind: 250 on each of so many ports.
const MAX_ADDRESSES: usize = 250 * 80;
/// Hollow routers a process, by what a router's control side takes of a core: one that is late by itself would show
/// the lateness of the measurement.
const HOLLOW_PER_PROCESS_SHARED: usize = 20;
const HOLLOW_PER_PROCESS_FEED: usize = 1000;
/// Real routers, and control instances where there are such.
const DEFAULT_REAL_ROUTERS: usize = 16;
const DEFAULT_CONTROL_INSTANCES: usize = 4;

/// What there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Descriptors a process.
    pub descriptors: usize,
    pub processes: usize,
    pub memory: u64,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SizeError {
    #[error("{what}: asked for {asked}, expected at least {minimum}")]
    TooSmall { what: &'static str, asked: String, minimum: &'static str },
    #[error(
        "{what}: asked for {asked}, which takes {needed} {resource}; there are {available}: the largest that fits is {largest}"
    )]
    TooLarge {
        what: &'static str,
        asked: usize,
        needed: u64,
        resource: &'static str,
        available: u64,
        largest: usize,
    },
    #[error(
        "routers: asked for {asked} in one fleet; members keep {MAX_SHARED_ROUTERS} others with room for those that start anew: \
         the largest that fits is {MAX_SHARED_ROUTERS} (modes off and feed take more)"
    )]
    Shared { asked: usize },
    #[error("real: asked for {real} real routers among {routers} in all")]
    Real { real: usize, routers: usize },
    #[error(
        "mode off: asked for {hollow} hollow routers, which have no control side to be measured; expected none"
    )]
    Hollow { hollow: usize },
}

/// What a run takes: of each the most that any process does, or all together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    pub descriptors: u64,
    pub processes: u64,
    pub memory: u64,
    pub addresses: u64,
}

impl Machine {
    /// As the system tells it.
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

/// So many of the hollow routers have a process to themselves. Those that share one share its wake-ups too, and so
/// take less of a core than a real one: 0.8% against 2.1% in a fleet of 25.
pub fn dedicated_processes(hollow: usize) -> usize {
    (hollow / 4).clamp(hollow.min(1), 8)
}

/// Into how many processes so many hollow routers go, with those that have one to themselves.
pub fn hollow_processes(mode: Mode, hollow: usize) -> usize {
    let dedicated = dedicated_processes(hollow);
    match mode {
        Mode::Off => 0,
        Mode::Shared => dedicated + (hollow - dedicated).div_ceil(HOLLOW_PER_PROCESS_SHARED),
        Mode::Feed => dedicated + (hollow - dedicated).div_ceil(HOLLOW_PER_PROCESS_FEED),
    }
}

/// A run of so many routers and databases with all else as it is where nothing else is said: the one set-up from which
/// forms, the command's options and tests vary.
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

/// The same run with so many real routers among all.
pub fn with_real(sizes: Sizes, real: usize) -> Sizes {
    let hollow = sizes.routers.saturating_sub(real);
    Sizes { real, hollow_processes: hollow_processes(sizes.mode, hollow), ..sizes }
}

pub fn database_processes(databases: usize) -> usize {
    databases.div_ceil(DATABASES_PER_PROCESS)
}

/// Reckoned from what runs of several sizes took, upwards.
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
    // As many real routers again have no control side: what the same load costs without it.
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

/// # Errors
/// What was asked for, what there is, and the largest that fits.
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
        return too_small("hollow processes", asked, "one for each of eight routers, and one for the rest");
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

/// The same run with another size of one kind.
fn with_size(sizes: &Sizes, what: &str, size: usize) -> Sizes {
    let mut other = sizes.clone();
    match what {
        "databases" => other.databases = size,
        "connections" => other.connections = size,
        "real" => (other.real, other.routers) = (size, sizes.routers - sizes.real + size),
        "control" => other.control = size,
        "hollow processes" => other.hollow_processes = size,
        _ => {
            // More hollow routers need more processes, as they do without this limit.
            let hollow = size.saturating_sub(sizes.real);
            other.routers = size;
            other.hollow_processes = hollow_processes(sizes.mode, hollow).min(sizes.hollow_processes);
        }
    }
    other
}

/// Of which kind fewer would do, the first of them.
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
    // Routers first: they are what a run is about.
    let found = std::iter::once(routers).chain(kinds).find(is_enough);
    found.map_or(("routers", sizes.routers), |(what, asked, _)| (what, asked))
}
