//! Which sizes the short and the long form play.

use crate::record::{Axis, Mode, Sizes};
use crate::scale::faults::{ALL, Fault};
use crate::scale::play::Play;
use crate::scale::sizes::hollow_processes;

fn sizes(mode: Mode, routers: usize, databases: usize, seed: u64) -> Sizes {
    let real = routers.min(16);
    Sizes {
        mode,
        routers,
        real,
        hollow_processes: hollow_processes(mode, routers - real),
        control: if mode == Mode::Feed { 4 } else { 0 },
        databases,
        connections: 0,
        statements: 0.0,
        changes: 0.0,
        period_s: 0.15,
        seed,
        seconds: 8.0,
    }
}

fn with_real(sizes: Sizes, real: usize) -> Sizes {
    Sizes { real, hollow_processes: hollow_processes(sizes.mode, sizes.routers - real), ..sizes }
}

fn play(sizes: Sizes, axis: Option<Axis>, fault: Option<Fault>) -> Play {
    Play { sizes, axis, fault, with_cpu: fault.is_none() }
}

/// Today's sharing, the feed at once and twice the databases, and a restart: under three minutes.
pub fn short(seed: u64) -> Vec<Play> {
    let feed = |routers, databases| Sizes { changes: 1.0, ..sizes(Mode::Feed, routers, databases, seed) };
    vec![
        play(sizes(Mode::Shared, 150, 250, seed), None, None),
        play(feed(200, 250), None, None),
        play(feed(200, 500), None, None),
        play(feed(500, 250), None, Some(Fault::Restart)),
    ]
}

/// All axes, each with at least four sizes, largest last, and the faults at the largest number of routers. Periods are
/// lengthened where the databases would take the cores.
pub fn long(seed: u64) -> Vec<Play> {
    let mut plays = Vec::new();
    let calm = |sizes: Sizes, axis: Axis| play(sizes, Some(axis), None);
    for routers in [250, 500, 1000, 2000, 4000] {
        plays.push(calm(sizes(Mode::Feed, routers, 250, seed), Axis::Routers));
    }
    for databases in [500, 1000, 2000, 4000] {
        plays.push(calm(sizes(Mode::Feed, 250, databases, seed), Axis::Databases));
    }
    // Off both axes: what grows with both.
    for times in [2, 4] {
        plays.push(play(sizes(Mode::Feed, 250 * times, 250 * times, seed), None, None));
    }
    // The target's number of databases, at a pace that the stand-ins bear.
    for databases in [9000, 18_000] {
        let sizes = Sizes { period_s: 2.0, ..sizes(Mode::Feed, 250, databases, seed) };
        plays.push(play(sizes, None, None));
    }
    for routers in [50, 100, 150, 200, 250] {
        plays.push(calm(sizes(Mode::Shared, routers, 250, seed), Axis::Routers));
    }
    for databases in [500, 1000, 1500, 2000] {
        plays.push(calm(sizes(Mode::Shared, 50, databases, seed), Axis::Databases));
    }
    for changes in [0.2, 1.0, 4.0, 10.0] {
        let sizes = Sizes { changes, ..sizes(Mode::Feed, 500, 1000, seed) };
        plays.push(calm(Sizes { period_s: 0.5, ..sizes }, Axis::Changes));
    }
    for connections in [1000, 2000, 4000, 8481] {
        let sizes = Sizes { connections, ..with_real(sizes(Mode::Feed, 50, 250, seed), 2) };
        plays.push(calm(sizes, Axis::Connections));
    }
    for statements in [100.0, 250.0, 500.0, 1000.0] {
        let sizes = Sizes { statements, ..with_real(sizes(Mode::Feed, 50, 250, seed), 4) };
        plays.push(calm(sizes, Axis::Statements));
    }
    for fault in ALL {
        plays.push(play(sizes(Mode::Feed, 2000, 500, seed), None, Some(fault)));
    }
    plays
}
