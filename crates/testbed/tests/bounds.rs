//! Each bound of a run holds at its limit and breaks just above it. Guards against a bound that is loosened,
//! dropped, or checked on the wrong figure.

use std::collections::BTreeMap;

use quillpoint_testbed::record::{Bound, Mode, Sizes};
use quillpoint_testbed::scale::bounds::{bounds_of_run, twice_the_databases};
use quillpoint_testbed::scale::faults::{ALL, Fault};

fn sizes() -> Sizes {
    Sizes {
        mode: Mode::Feed,
        routers: 2000,
        real: 16,
        hollow_processes: 10,
        control: 4,
        databases: 500,
        connections: 0,
        statements: 0.0,
        changes: 1.0,
        period_s: 0.15,
        seed: 1,
        seconds: 8.0,
    }
}

fn figures(pairs: &[(&str, f64)]) -> BTreeMap<String, f64> {
    pairs.iter().map(|(name, value)| (name.to_string(), *value)).collect()
}

/// The bounds of every run, with and without a fault.
const CALM_LIMITS: [(&str, f64); 7] = [
    ("router_cpu_part", 0.047),
    ("router_memory_bytes", 64e6),
    ("control_cpu_part", 1.0),
    ("control_memory_bytes", 1e9),
    ("change_known_max_s", 1.15),
    ("change_unknown", 0.0),
    ("age_p99_s", 0.3),
];
const BYTES: &str = "router_bytes_in_s+router_bytes_out_s";

fn fault_limits(fault: Fault) -> &'static [(&'static str, f64)] {
    match fault {
        Fault::Restart | Fault::Primary => {
            &[("follow_max_s", 3.0), ("real_follow_max_s", 3.0), ("peak_control_times", 5.0)]
        }
        Fault::Partition => &[("agree_max_s", 5.0), ("cut_age_max_s", 1.0)],
        Fault::Control => &[("fault_age_max_s", 1.0)],
        Fault::Stop => &[],
    }
}

/// The bound of this name in a run with just these figures.
fn bound(fault: Option<Fault>, name: &str, pairs: &[(&str, f64)]) -> Bound {
    let bounds = bounds_of_run(&sizes(), fault, &figures(pairs));
    let found = bounds.iter().find(|bound| bound.figure == name).cloned();
    found.unwrap_or_else(|| panic!("found no bound on {name} with fault {fault:?}: {bounds:?}"))
}

#[test]
fn each_bound_holds_at_its_limit_and_breaks_just_above_it() {
    let faults = ALL.into_iter().map(Some).chain([None]);
    for fault in faults {
        let extra = fault.map_or(&[][..], fault_limits);
        for (name, most) in CALM_LIMITS.iter().chain(extra) {
            let over = most * 1.001 + 1e-9;
            assert!(bound(fault, name, &[(name, *most)]).held, "{name} at {most} with {fault:?}");
            assert!(!bound(fault, name, &[(name, over)]).held, "{name} at {over} with {fault:?}");
        }
        let bytes = |bytes_in, bytes_out| {
            bound(fault, BYTES, &[("router_bytes_in_s", bytes_in), ("router_bytes_out_s", bytes_out)]).held
        };
        assert!(bytes(12_000.0, 1_000.0));
        assert!(!bytes(12_000.0, 1_001.0), "the bound is on the sum of bytes in and out");
    }
}

#[test]
fn runs_have_no_other_bounds_and_none_on_missing_figures() {
    let all: Vec<&str> = CALM_LIMITS
        .iter()
        .map(|(name, _)| *name)
        .chain(["router_bytes_in_s", "router_bytes_out_s"])
        .collect();
    for fault in ALL.into_iter().map(Some).chain([None]) {
        let fault_limits: Vec<&str> =
            fault.map_or(&[][..], fault_limits).iter().map(|(name, _)| *name).collect();
        let everything: Vec<(&str, f64)> = all.iter().chain(&fault_limits).map(|name| (*name, 0.0)).collect();
        let bounds = bounds_of_run(&sizes(), fault, &figures(&everything));
        assert_eq!(bounds.len(), CALM_LIMITS.len() + 1 + fault_limits.len(), "{fault:?}: {bounds:?}");
        assert_eq!(bounds_of_run(&sizes(), fault, &BTreeMap::new()), Vec::new());
    }
    // Observation ages depend on the probe period, and mode shared is only a baseline: neither has bounds
    // here.
    let slow = Sizes { period_s: 2.0, ..sizes() };
    for name in ["age_p99_s", "cut_age_max_s", "fault_age_max_s"] {
        assert!(
            ALL.iter().all(|fault| bounds_of_run(&slow, Some(*fault), &figures(&[(name, 9.0)])).is_empty()),
            "{name}"
        );
    }
    let shared = Sizes { mode: Mode::Shared, ..sizes() };
    assert!(
        bounds_of_run(&shared, Some(Fault::Partition), &figures(&[("agree_max_s", 9.0), ("age_p99_s", 9.0)]))
            .is_empty()
    );
}

#[test]
fn bytes_at_twice_the_databases_hold_at_1_3_times_and_break_just_above_it() {
    let once = figures(&[("router_bytes_in_s", 900.0), ("router_bytes_out_s", 100.0)]);
    let more = |bytes: f64| figures(&[("router_bytes_in_s", bytes - 100.0), ("router_bytes_out_s", 100.0)]);
    let double = Sizes { databases: 1000, ..sizes() };
    let held = |bytes| {
        twice_the_databases((&sizes(), &once), (&double, &more(bytes))).expect("comparable runs").held
    };
    assert!(held(1300.0));
    assert!(!held(1301.0));
    // No other size may differ.
    for other in [
        sizes(),
        Sizes { databases: 1001, ..sizes() },
        Sizes { routers: 1000, ..double.clone() },
        Sizes { mode: Mode::Shared, ..double.clone() },
    ] {
        assert_eq!(twice_the_databases((&sizes(), &once), (&other, &more(1301.0))), None, "{other:?}");
    }
}
