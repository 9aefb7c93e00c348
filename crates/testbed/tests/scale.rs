//! Runs a small fleet as `measure/scale` does. Guards against hollow routers whose traffic or state differs
//! from that of real ones, and against fleets that do not recover from a restart. Processor time and
//! observation ages are not checked, because a busy machine changes both.

use std::path::{Path, PathBuf};
use std::process::Command;

use quillpoint_testbed::record::{Line, Mode, Sizes};
use quillpoint_testbed::scale::faults::Fault;
use quillpoint_testbed::scale::run::{Programs, RunSpec, run};
use quillpoint_testbed::scale::sizes::{default_sizes, with_real};

/// The bounds of the run that are checked here.
const CHECKED_BOUNDS: [&str; 7] = [
    "calibration_messages_in_s",
    "calibration_messages_out_s",
    "calibration_bytes_in_s",
    "calibration_bytes_out_s",
    "calibration_state_bytes",
    "follow_missing",
    "calm_missing",
];
/// Real routers renew each of two subscriptions about once a second, at intervals with a jitter of a fifth.
/// With this many routers and seconds some 380 renewals are counted, with a standard error of 0.8%: far less
/// than the 5% allowed. Three routers in 4 s made 24 renewals with an error of 4%, so that a single message
/// more or less broke the bound.
const REAL_ROUTERS: usize = 12;
const WINDOW_S: f64 = 16.0;

fn programs() -> Programs {
    let hollow = PathBuf::from(env!("CARGO_BIN_EXE_scale-hollow"));
    // The router is a binary of another package, which may not have been built if only this package is
    // tested.
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut build = Command::new(env!("CARGO"));
    build.current_dir(root).args(["build", "--quiet", "--locked", "--package", "quillpoint-router"]);
    if hollow.parent().is_some_and(|folder| folder.ends_with("release")) {
        build.arg("--release");
    }
    assert!(build.status().expect("cargo runs").success(), "the router builds");
    Programs::in_folder(hollow.parent().expect("the binary has a parent folder"))
}

#[test]
fn hollow_routers_match_real_ones_and_the_fleet_recovers_from_a_restart() {
    let programs = programs();
    let sizes = with_real(default_sizes(Mode::Feed, 200 + REAL_ROUTERS, 20), REAL_ROUTERS);
    let sizes = Sizes { control: 2, period_s: 0.5, seed: 7, seconds: WINDOW_S, ..sizes };
    let spec = RunSpec { sizes, axis: None, fault: Some(Fault::Restart), with_cpu: false };
    let line = run(&spec, &programs).expect("the run succeeds");
    let Line::Run { bounds, figures, .. } = line else { panic!("expected a run record, found {line:?}") };
    // A sixth of the real routers. Only restarted routers request the full endpoint list.
    assert_eq!(figures["real_struck"], 2.0);
    assert_eq!(figures["fault_discovery_lists"], 2.0, "{figures:?}");
    for name in CHECKED_BOUNDS {
        assert!(bounds.iter().any(|bound| bound.figure == name), "the run has no bound {name}");
    }
    let broken: Vec<_> =
        bounds.into_iter().filter(|bound| CHECKED_BOUNDS.contains(&&*bound.figure) && !bound.held).collect();
    assert!(broken.is_empty(), "{broken:?}, {figures:?}");
}
