//! Which sizes the short and the long form play.

use crate::record::{Axis, Mode, Sizes};
use crate::scale::faults::Fault;
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

fn play(sizes: Sizes, axis: Option<Axis>, fault: Option<Fault>) -> Play {
    Play { sizes, axis, fault, with_cpu: true }
}

/// A few small sizes, and one fault.
pub fn short(seed: u64) -> Vec<Play> {
    let with_changes = |sizes: Sizes| Sizes { changes: 1.0, ..sizes };
    vec![
        play(with_changes(sizes(Mode::Shared, 50, 250, seed)), None, None),
        play(with_changes(sizes(Mode::Shared, 100, 250, seed)), None, None),
    ]
}

/// All axes, each with at least four sizes, largest last, and the faults at the largest.
pub fn long(seed: u64) -> Vec<Play> {
    let mut plays = Vec::new();
    for routers in [25, 50, 100, 200] {
        plays.push(play(sizes(Mode::Shared, routers, 250, seed), Some(Axis::Routers), None));
    }
    for databases in [250, 500, 1000, 2000] {
        plays.push(play(sizes(Mode::Shared, 50, databases, seed), Some(Axis::Databases), None));
    }
    plays
}
