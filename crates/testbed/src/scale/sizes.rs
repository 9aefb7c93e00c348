//! What a run takes of the machine, and whether it fits, before anything is started.

use std::fs;

use crate::record::{Mode, Sizes};

/// No run has more processes, and none takes more memory than this, or than half of what the machine has.
pub const MOST_PROCESSES: usize = 300;
pub const MOST_MEMORY: u64 = 12 << 30;
/// A fleet in which all are members keeps no more peers than this (`quillpoint_membership::membership::MAX_PEERS`), and so
/// is none beyond: each would know another part of it.
pub const MOST_SHARED: usize = quillpoint_membership::membership::MAX_PEERS - 6;
/// Databases a process, and about how many connections to each are open at once.
pub const DATABASES_A_PROCESS: usize = 2000;
const CONNECTIONS_EACH: usize = 6;
/// Standard streams, reactors, files that are read.
const SPARE: usize = 64;
/// Addresses of a kind: 250 on each of so many ports.
const MOST_ADDRESSES: usize = 250 * 80;
/// Hollow routers a process, by what a router's control side takes of a core: one that is late by itself would show
/// the lateness of the measurement.
const HOLLOW_SHARED: usize = 20;
const HOLLOW_FEED: usize = 1000;
/// Real routers, and control instances where there are such.
const REAL: usize = 16;
const CONTROL: usize = 4;

/// What there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Descriptors a process.
    pub descriptors: usize,
    pub processes: usize,
    pub memory: u64,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadSize {
    #[error("{what}: asked for {asked}, expected at least {least}")]
    TooFew { what: &'static str, asked: String, least: &'static str },
    #[error(
        "{what}: asked for {asked}, which takes {takes} {of}; there are {there}: the largest that fits is {largest}"
    )]
    TooMany { what: &'static str, asked: usize, takes: u64, of: &'static str, there: u64, largest: usize },
    #[error(
        "routers: asked for {asked} in one fleet; members keep {MOST_SHARED} others with room for those that start anew: \
         the largest that fits is {MOST_SHARED} (modes off and feed take more)"
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
pub struct Takes {
    pub descriptors: u64,
    pub processes: u64,
    pub memory: u64,
    pub addresses: u64,
}

impl Machine {
    /// As the system tells it.
    pub fn here() -> Self {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let open = limits.lines().find(|line| line.starts_with("Max open files"));
        let open = open.and_then(|line| line.split_whitespace().nth(3)).and_then(|word| word.parse().ok());
        let about = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let all = about.lines().find(|line| line.starts_with("MemTotal:"));
        let all =
            all.and_then(|line| line.split_whitespace().nth(1)).and_then(|word| word.parse::<u64>().ok());
        Self {
            descriptors: open.unwrap_or(1024),
            processes: MOST_PROCESSES,
            memory: (all.unwrap_or(0) * 1024 / 2).min(MOST_MEMORY),
        }
    }
}

/// So many of the hollow routers have a process to themselves. Those that share one share its wake-ups too, and so
/// take less of a core than a real one: 0.8% against 2.1% in a fleet of 25.
pub fn alone(hollow: usize) -> usize {
    (hollow / 4).clamp(hollow.min(1), 8)
}

/// Into how many processes so many hollow routers go, with those that have one to themselves.
pub fn hollow_processes(mode: Mode, hollow: usize) -> usize {
    let alone = alone(hollow);
    match mode {
        Mode::Off => 0,
        Mode::Shared => alone + (hollow - alone).div_ceil(HOLLOW_SHARED),
        Mode::Feed => alone + (hollow - alone).div_ceil(HOLLOW_FEED),
    }
}

/// A run of so many routers and databases with all else as it is where nothing else is said: the one set-up from which
/// forms, the command's options and tests vary.
pub fn usual(mode: Mode, routers: usize, databases: usize) -> Sizes {
    let sizes = Sizes {
        mode,
        routers,
        real: 0,
        hollow_processes: 0,
        control: if mode == Mode::Feed { CONTROL } else { 0 },
        databases,
        connections: 0,
        statements: 0.0,
        changes: 0.0,
        period_s: 0.15,
        seed: 1,
        seconds: 8.0,
    };
    with_real(sizes, if mode == Mode::Off { routers } else { routers.min(REAL) })
}

/// The same run with so many real routers among all.
pub fn with_real(sizes: Sizes, real: usize) -> Sizes {
    let hollow = sizes.routers.saturating_sub(real);
    Sizes { real, hollow_processes: hollow_processes(sizes.mode, hollow), ..sizes }
}

pub fn database_processes(databases: usize) -> usize {
    databases.div_ceil(DATABASES_A_PROCESS)
}

/// Reckoned from what runs of several sizes took, upwards.
pub fn takes(sizes: &Sizes) -> Takes {
    let Sizes { mode, routers, real, hollow_processes, control, databases, connections, .. } = *sizes;
    let hollow = routers - real.min(routers);
    let each = (hollow - alone(hollow)).div_ceil(hollow_processes.saturating_sub(alone(hollow)).max(1));
    let kept = if hollow_processes == 0 { 0 } else { databases.min(crate::scale::hollow_process::MOST_KEPT) };
    let of_databases = databases.min(DATABASES_A_PROCESS) * (1 + CONNECTIONS_EACH);
    let of_real = connections + databases;
    // As many real routers again have no control side: what the same load costs without it.
    let untied = if mode == Mode::Off { 0 } else { real };
    let of_clients = connections * (real + untied);
    let descriptors = (each + kept).max(of_databases).max(of_real).max(of_clients) + SPARE;
    let processes = 1 + real + untied + control + hollow_processes + database_processes(databases);
    let known = match mode {
        Mode::Off => 0,
        Mode::Shared => databases * 900 + routers * 700,
        Mode::Feed => databases * 130,
    };
    let memory = hollow * (60_000 + known)
        + (real + untied + control) * (16 << 20)
        + (real + untied + control) * (databases * 3_000 + connections * 16_000 + known)
        + databases * 12_000
        + (hollow_processes + 2) * (16 << 20);
    Takes {
        descriptors: descriptors as u64,
        processes: processes as u64,
        memory: memory as u64,
        addresses: databases.max(routers + untied + control + 1) as u64,
    }
}

/// # Errors
/// What was asked for, what there is, and the largest that fits.
pub fn check(sizes: &Sizes, machine: &Machine) -> Result<(), BadSize> {
    let few = |what, asked: String, least| Err(BadSize::TooFew { what, asked, least });
    if sizes.routers == 0 {
        return few("routers", "0".into(), "1");
    }
    if sizes.databases < 2 {
        return few("databases", sizes.databases.to_string(), "2, a primary and a replica");
    }
    if !(sizes.seconds >= 1.0 && sizes.seconds <= 600.0) {
        return few("seconds", sizes.seconds.to_string(), "1 (and no more than 600)");
    }
    if !(sizes.period_s >= 0.05 && sizes.period_s <= 60.0) {
        return few("period", sizes.period_s.to_string(), "0.05 s (and no more than 60)");
    }
    if sizes.mode == Mode::Feed && sizes.control == 0 {
        return few("control", "0".into(), "1 in mode feed");
    }
    if sizes.real > sizes.routers {
        return Err(BadSize::Real { real: sizes.real, routers: sizes.routers });
    }
    let hollow = sizes.routers - sizes.real;
    if sizes.mode == Mode::Off && hollow > 0 {
        return Err(BadSize::Hollow { hollow });
    }
    let sharing = hollow - alone(hollow);
    if sizes.mode != Mode::Off && sizes.hollow_processes < alone(hollow) + sharing.min(1) {
        let asked = sizes.hollow_processes.to_string();
        return few("hollow processes", asked, "one for each of eight routers, and one for the rest");
    }
    if sizes.mode == Mode::Shared && sizes.routers > MOST_SHARED {
        return Err(BadSize::Shared { asked: sizes.routers });
    }
    let Some((of, takes, there)) = too_much(sizes, machine) else { return Ok(()) };
    let (what, asked) = culprit(sizes, machine);
    let with = |size| at(sizes, what, size);
    let (mut fits, mut not) = (0, asked);
    while fits + 1 < not {
        let middle = fits + (not - fits) / 2;
        if too_much(&with(middle), machine).is_none() { fits = middle } else { not = middle }
    }
    Err(BadSize::TooMany { what, asked, takes, of, there, largest: fits })
}

fn too_much(sizes: &Sizes, machine: &Machine) -> Option<(&'static str, u64, u64)> {
    let takes = takes(sizes);
    [
        ("processes", takes.processes, machine.processes as u64),
        ("descriptors in a process", takes.descriptors, machine.descriptors as u64),
        ("bytes of memory", takes.memory, machine.memory),
        ("addresses", takes.addresses, MOST_ADDRESSES as u64),
    ]
    .into_iter()
    .find(|(_, takes, there)| takes > there)
}

/// The same run with another size of one kind.
fn at(sizes: &Sizes, what: &str, size: usize) -> Sizes {
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
fn culprit(sizes: &Sizes, machine: &Machine) -> (&'static str, usize) {
    let kinds = [
        ("connections", sizes.connections, 0),
        ("databases", sizes.databases, 2),
        ("hollow processes", sizes.hollow_processes, alone(sizes.routers - sizes.real) + 1),
        ("real", sizes.real, 0),
        ("control", sizes.control, 1),
    ];
    let cures = |(what, asked, least): &(&'static str, usize, usize)| {
        asked > least && too_much(&at(sizes, what, *least), machine).is_none()
    };
    let routers = ("routers", sizes.routers, sizes.real);
    // Routers first: they are what a run is about.
    let found = std::iter::once(routers).chain(kinds).find(cures);
    found.map_or(("routers", sizes.routers), |(what, asked, _)| (what, asked))
}
