//! The bounds that the figures of a run must meet: the targets that the observation feed was designed for.

use std::collections::BTreeMap;

use crate::record::{Bound, Mode, Sizes};
use crate::scale::faults::Fault;

/// Maximum bytes per second, in and out, of a router's control side (docs/CAPACITY.md).
pub const ROUTER_BYTES_PER_SECOND: f64 = 13_000.0;
/// Maximum processor time of a router's control side, as a fraction of one core (docs/CAPACITY.md).
pub const ROUTER_CPU_PART: f64 = 0.047;
/// Maximum memory of a router's control side (docs/CAPACITY.md).
pub const ROUTER_MEMORY_BYTES: f64 = 64e6;
/// Maximum processor time of a control instance: one core, with nothing else running on it.
const CONTROL_CPU_PART: f64 = 1.0;
/// Maximum resident memory of a control instance.
pub const CONTROL_MEMORY_BYTES: f64 = 1e9;
/// Maximum 99th percentile of the age of observations. It holds only if databases are probed at least as
/// often as by default.
const MAX_AGE_P99_S: f64 = 0.3;
const DEFAULT_PERIOD_S: f64 = 0.15;
/// A new primary is known to all routers within this time of the first probe that saw it.
const MAX_CHANGE_KNOWN_S: f64 = 1.0;
/// All routers, hollow and real, have caught up within this time of a restart.
const MAX_CATCH_UP_S: f64 = 3.0;
/// All routers and control instances agree again within this time of a healed partition.
const MAX_AGREE_S: f64 = 5.0;
/// During a partition the observations on each side may be as old as after the death of a control instance,
/// because each side has lost the control instances of the other.
const MAX_PARTITION_AGE_S: f64 = MAX_CONTROL_LOSS_AGE_S;
/// Maximum peak traffic of a control instance, as a multiple of its traffic before the fault.
const MAX_PEAK_TIMES: f64 = 5.0;
/// Maximum age of any router's observations after a control instance was killed.
const MAX_CONTROL_LOSS_AGE_S: f64 = 1.0;
/// Maximum bytes of a router at twice the databases, as a multiple of its bytes at the original number.
pub const MAX_TWICE_THE_DATABASES_TIMES: f64 = 1.3;

fn bound(figure: &str, value: f64, limit: f64) -> Bound {
    Bound { figure: figure.to_string(), value, limit, held: value <= limit }
}

/// The bounds of a run. A bound whose figure the run does not have is left out.
pub fn bounds_of_run(sizes: &Sizes, fault: Option<Fault>, figures: &BTreeMap<String, f64>) -> Vec<Bound> {
    if sizes.mode != Mode::Feed {
        // Mode shared is the baseline for comparison; only its calibration is checked.
        return Vec::new();
    }
    let mut most = vec![
        ("router_bytes_in_s+router_bytes_out_s", ROUTER_BYTES_PER_SECOND),
        ("router_cpu_part", ROUTER_CPU_PART),
        ("router_memory_bytes", ROUTER_MEMORY_BYTES),
        ("control_cpu_part", CONTROL_CPU_PART),
        ("control_memory_bytes", CONTROL_MEMORY_BYTES),
        // A change is not seen before the next probe, which may be one period away.
        ("change_known_max_s", MAX_CHANGE_KNOWN_S + sizes.period_s),
        ("change_unknown", 0.0),
    ];
    if sizes.period_s <= DEFAULT_PERIOD_S {
        most.push(("age_p99_s", MAX_AGE_P99_S));
    }
    match fault {
        Some(Fault::Restart | Fault::Primary) => {
            most.extend([
                ("follow_max_s", MAX_CATCH_UP_S),
                ("real_follow_max_s", MAX_CATCH_UP_S),
                ("peak_control_times", MAX_PEAK_TIMES),
            ]);
        }
        Some(Fault::Partition) => {
            most.push(("agree_max_s", MAX_AGREE_S));
            if sizes.period_s <= DEFAULT_PERIOD_S {
                most.push(("cut_age_max_s", MAX_PARTITION_AGE_S));
            }
        }
        // The killed instance may have been about to probe (one period), and its successor probes one period
        // later.
        Some(Fault::Control) if sizes.period_s <= DEFAULT_PERIOD_S => {
            most.push(("fault_age_max_s", MAX_CONTROL_LOSS_AGE_S));
        }
        Some(Fault::Stop | Fault::Control) | None => {}
    }
    let sum = |names: &str| names.split('+').map(|name| figures.get(name)).sum::<Option<f64>>();
    most.into_iter().filter_map(|(figure, most)| Some(bound(figure, sum(figure)?, most))).collect()
}

/// Compares a router's bytes in two runs of which the second has twice the databases and the same other
/// sizes. `None` if the runs differ in any other way or are not of mode feed.
pub fn twice_the_databases(
    once: (&Sizes, &BTreeMap<String, f64>),
    double: (&Sizes, &BTreeMap<String, f64>),
) -> Option<Bound> {
    let expected = Sizes { databases: once.0.databases * 2, ..once.0.clone() };
    let bytes = |figures: &BTreeMap<String, f64>| {
        Some(figures.get("router_bytes_in_s")? + figures.get("router_bytes_out_s")?)
    };
    if expected != *double.0 || expected.mode != Mode::Feed {
        return None;
    }
    Some(bound(
        "bytes_at_twice_the_databases",
        bytes(double.1)? / bytes(once.1)?,
        MAX_TWICE_THE_DATABASES_TIMES,
    ))
}
