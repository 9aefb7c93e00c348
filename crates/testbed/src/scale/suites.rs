//! Which sizes the short and the long form play.

use crate::record::{Axis, Mode, Sizes};
use crate::scale::faults::{ALL, Fault};
use crate::scale::run::RunSpec;
use crate::scale::sizes::{default_sizes, with_real};

/// Where few routers are real, or their load is much larger than what control adds.
const LONG_WINDOW_S: f64 = 30.0;

fn sizes(mode: Mode, routers: usize, databases: usize, seed: u64) -> Sizes {
    Sizes { seed, ..default_sizes(mode, routers, databases) }
}

fn spec(sizes: Sizes, axis: Option<Axis>, fault: Option<Fault>) -> RunSpec {
    RunSpec { sizes, axis, fault, with_cpu: fault.is_none() }
}

/// Today's sharing, the feed at once and twice the databases, and a restart: under three minutes.
pub fn short(seed: u64) -> Vec<RunSpec> {
    let feed = |routers, databases| Sizes { changes: 1.0, ..sizes(Mode::Feed, routers, databases, seed) };
    vec![
        spec(sizes(Mode::Shared, 150, 250, seed), None, None),
        spec(feed(200, 250), None, None),
        spec(feed(200, 500), None, None),
        spec(feed(500, 250), None, Some(Fault::Restart)),
    ]
}

/// All axes, each with at least four sizes, largest last, and the faults at the largest number of routers. Periods are
/// lengthened where the databases would take the cores.
pub fn long(seed: u64) -> Vec<RunSpec> {
    let mut specs = Vec::new();
    let calm = |sizes: Sizes, axis: Axis| spec(sizes, Some(axis), None);
    for routers in [250, 500, 1000, 2000, 4000] {
        specs.push(calm(sizes(Mode::Feed, routers, 250, seed), Axis::Routers));
    }
    for databases in [500, 1000, 2000, 4000] {
        specs.push(calm(sizes(Mode::Feed, 250, databases, seed), Axis::Databases));
    }
    // Off both axes: what grows with both.
    for times in [2, 4] {
        specs.push(spec(sizes(Mode::Feed, 250 * times, 250 * times, seed), None, None));
    }
    // The target's number of databases, at a pace that the stand-ins bear.
    for databases in [9000, 18_000] {
        let sizes = Sizes { period_s: 2.0, ..sizes(Mode::Feed, 250, databases, seed) };
        specs.push(spec(sizes, None, None));
    }
    for routers in [50, 100, 150, 200, 250] {
        specs.push(calm(sizes(Mode::Shared, routers, 250, seed), Axis::Routers));
    }
    for databases in [500, 1000, 1500, 2000] {
        specs.push(calm(sizes(Mode::Shared, 50, databases, seed), Axis::Databases));
    }
    for changes in [0.2, 1.0, 4.0, 10.0] {
        let sizes = Sizes { changes, ..sizes(Mode::Feed, 500, 1000, seed) };
        specs.push(calm(Sizes { period_s: 0.5, ..sizes }, Axis::Changes));
    }
    // A router says two things a second to those that it follows, at times of its own: of few routers so many are
    // counted only in a longer time. Clients of all real routers, with and without control, share a process.
    for (connections, real) in [(1000, 4), (2000, 4), (4000, 2), (8481, 1)] {
        let sizes = Sizes { connections, seconds: LONG_WINDOW_S, ..sizes(Mode::Feed, 50, 250, seed) };
        specs.push(calm(with_real(sizes, real), Axis::Connections));
    }
    // What control adds to the load of statements is small beside it: the more routers, the less its noise.
    for (statements, real) in [(100.0, 16), (250.0, 16), (500.0, 16), (1000.0, 8)] {
        let sizes = Sizes { statements, seconds: LONG_WINDOW_S, ..sizes(Mode::Feed, 50, 250, seed) };
        specs.push(calm(with_real(sizes, real), Axis::Statements));
    }
    for fault in ALL {
        specs.push(spec(sizes(Mode::Feed, 2000, 500, seed), None, Some(fault)));
    }
    specs
}
