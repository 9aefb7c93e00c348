//! The runs of the short and the long suite.

use crate::record::{Axis, Mode, Sizes};
use crate::scale::faults::{ALL, Fault};
use crate::scale::run::RunSpec;
use crate::scale::sizes::{default_sizes, with_real};

/// The measured time of runs with few real routers, or with a load that costs much more than the control
/// side.
const LONG_WINDOW_S: f64 = 30.0;

fn sizes(mode: Mode, routers: usize, databases: usize, seed: u64) -> Sizes {
    Sizes { seed, ..default_sizes(mode, routers, databases) }
}

fn spec(sizes: Sizes, axis: Option<Axis>, fault: Option<Fault>) -> RunSpec {
    RunSpec { sizes, axis, fault, with_cpu: fault.is_none() }
}

/// The short suite, under three minutes: mode shared, mode feed at a number of databases and at twice that
/// number, and a restart.
pub fn short(seed: u64) -> Vec<RunSpec> {
    let feed = |routers, databases| Sizes { changes: 1.0, ..sizes(Mode::Feed, routers, databases, seed) };
    vec![
        spec(sizes(Mode::Shared, 150, 250, seed), None, None),
        spec(feed(200, 250), None, None),
        spec(feed(200, 500), None, None),
        spec(feed(500, 250), None, Some(Fault::Restart)),
    ]
}

/// The long suite: every axis with at least four sizes, the largest last, and each fault at a large number of
/// routers. The probe period is longer where the stand-in databases would otherwise use up the cores.
pub fn long(seed: u64) -> Vec<RunSpec> {
    let mut specs = Vec::new();
    let calm = |sizes: Sizes, axis: Axis| spec(sizes, Some(axis), None);
    for routers in [250, 500, 1000, 2000, 4000] {
        specs.push(calm(sizes(Mode::Feed, routers, 250, seed), Axis::Routers));
    }
    for databases in [500, 1000, 2000, 4000] {
        specs.push(calm(sizes(Mode::Feed, 250, databases, seed), Axis::Databases));
    }
    // Sizes on neither axis: costs that grow with both routers and databases.
    for times in [2, 4] {
        specs.push(spec(sizes(Mode::Feed, 250 * times, 250 * times, seed), None, None));
    }
    // The number of databases that quillpoint is designed for, at a probe rate that the stand-ins can serve.
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
    // A router sends two messages a second to the control instances that it follows, with jittered timing:
    // with few routers a longer measured time is needed to count enough of them. One process holds the
    // clients of all real routers, with and without a control side, which limits the number of connections.
    for (connections, real) in [(1000, 4), (2000, 4), (4000, 2), (8481, 1)] {
        let sizes = Sizes { connections, seconds: LONG_WINDOW_S, ..sizes(Mode::Feed, 50, 250, seed) };
        specs.push(calm(with_real(sizes, real), Axis::Connections));
    }
    // The control side costs little compared with the statement load, so more real routers are needed to
    // average out the noise.
    for (statements, real) in [(100.0, 16), (250.0, 16), (500.0, 16), (1000.0, 8)] {
        let sizes = Sizes { statements, seconds: LONG_WINDOW_S, ..sizes(Mode::Feed, 50, 250, seed) };
        specs.push(calm(with_real(sizes, real), Axis::Statements));
    }
    for fault in ALL {
        specs.push(spec(sizes(Mode::Feed, 2000, 500, seed), None, Some(fault)));
    }
    specs
}
