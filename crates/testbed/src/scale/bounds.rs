//! What must hold in a run: of the feed, the bounds that it was built to.

use std::collections::BTreeMap;

use crate::record::{Bound, Mode, Sizes};
use crate::scale::faults::Fault;

/// A router's control side, a second and in all (docs/CAPACITY.md).
pub const ROUTER_BYTES_S: f64 = 13_000.0;
pub const ROUTER_CPU: f64 = 0.047;
pub const ROUTER_MEMORY: f64 = 64e6;
/// A control instance's share, with nothing else on its core.
const CONTROL_CPU: f64 = 1.0;
pub const CONTROL_MEMORY: f64 = 1e9;
/// What is known is no older, where databases are probed as often as by default.
const AGE_P99_S: f64 = 0.3;
const USUAL_PERIOD_S: f64 = 0.15;
/// A changed primary is known to all, after the first probe that saw it.
const CHANGE_KNOWN_S: f64 = 1.0;
/// All follow again after a restart, hollow and real; and all agree after two halves were cut from each other.
const FOLLOW_RESTART_S: f64 = 3.0;
const AGREE_CUT_S: f64 = 5.0;
/// Each half of a cut goes on: what is known there is no older than after the death of a control instance, as its half
/// has lost the other's.
const CUT_AGE_S: f64 = KILLED_AGE_S;
/// A control instance's peak beside its calm.
const PEAK_TIMES: f64 = 5.0;
/// Nobody's age when a control instance is killed.
const KILLED_AGE_S: f64 = 1.0;
/// Bytes at twice the databases.
pub const TWICE: f64 = 1.3;

fn bound(figure: &str, value: f64, limit: f64) -> Bound {
    Bound { figure: figure.to_string(), value, limit, held: value <= limit }
}

/// The bounds of a run of this mode. What it has no figure for has none, but for those that every run has.
pub fn of(sizes: &Sizes, fault: Option<Fault>, figures: &BTreeMap<String, f64>) -> Vec<Bound> {
    if sizes.mode != Mode::Feed {
        // Today's sharing is the baseline, and is held to nothing but its calibration.
        return Vec::new();
    }
    let mut most = vec![
        ("router_bytes_in_s+router_bytes_out_s", ROUTER_BYTES_S),
        ("router_cpu_part", ROUTER_CPU),
        ("router_memory_bytes", ROUTER_MEMORY),
        ("control_cpu_part", CONTROL_CPU),
        ("control_memory_bytes", CONTROL_MEMORY),
        // Nothing is told of a change before a probe has seen it.
        ("change_known_max_s", CHANGE_KNOWN_S + sizes.period_s),
        ("change_unknown", 0.0),
    ];
    if sizes.period_s <= USUAL_PERIOD_S {
        most.push(("age_p99_s", AGE_P99_S));
    }
    match fault {
        Some(Fault::Restart | Fault::Primary) => {
            most.extend([
                ("follow_max_s", FOLLOW_RESTART_S),
                ("real_follow_max_s", FOLLOW_RESTART_S),
                ("peak_control_times", PEAK_TIMES),
            ]);
        }
        Some(Fault::Cut) => {
            most.push(("agree_max_s", AGREE_CUT_S));
            if sizes.period_s <= USUAL_PERIOD_S {
                most.push(("cut_age_max_s", CUT_AGE_S));
            }
        }
        // A period may pass at its own probing, and one until another's takes over.
        Some(Fault::Control) if sizes.period_s <= USUAL_PERIOD_S => {
            most.push(("fault_age_max_s", KILLED_AGE_S));
        }
        Some(Fault::Stop | Fault::Control) | None => {}
    }
    let sum = |names: &str| names.split('+').map(|name| figures.get(name)).sum::<Option<f64>>();
    most.into_iter().filter_map(|(figure, most)| Some(bound(figure, sum(figure)?, most))).collect()
}

/// Bytes of a router at twice the databases beside those at once, all else held; of runs that differ so.
pub fn twice(
    once: (&Sizes, &BTreeMap<String, f64>),
    twice: (&Sizes, &BTreeMap<String, f64>),
) -> Option<Bound> {
    let alike = Sizes { databases: once.0.databases * 2, ..once.0.clone() };
    let bytes = |figures: &BTreeMap<String, f64>| {
        Some(figures.get("router_bytes_in_s")? + figures.get("router_bytes_out_s")?)
    };
    if alike != *twice.0 || alike.mode != Mode::Feed {
        return None;
    }
    Some(bound("bytes_at_twice_the_databases", bytes(twice.1)? / bytes(once.1)?, TWICE))
}
