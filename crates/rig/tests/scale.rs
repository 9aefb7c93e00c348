//! A small fleet as `measure/scale` plays it: hollow routers send and read what real ones do, and a restart comes to
//! calm. Processor time is not held here, and neither are ages: a busy machine moves both.

use std::path::{Path, PathBuf};
use std::process::Command;

use quillpoint_rig::record::{Line, Mode, Sizes};
use quillpoint_rig::scale::faults::Fault;
use quillpoint_rig::scale::play::{Play, Programs, play};
use quillpoint_rig::scale::sizes::{usual, with_real};

/// What is held here of the bounds of a run.
const HELD: [&str; 7] = [
    "calibration_messages_in_s",
    "calibration_messages_out_s",
    "calibration_bytes_in_s",
    "calibration_bytes_out_s",
    "calibration_state_bytes",
    "follow_missing",
    "calm_missing",
];
/// A machine that is busy with other tests may hold a control instance up for half a second, so that routers turn to
/// others while it is counted: then it is counted once more. Hollow routers that differ from real ones do so each time.
const TIMES: usize = 3;

fn programs() -> Programs {
    let hollow = PathBuf::from(env!("CARGO_BIN_EXE_scale-hollow"));
    // The program is another package's, which need not have been built when this one alone is tested.
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut build = Command::new(env!("CARGO"));
    build.current_dir(root).args(["build", "--quiet", "--locked", "--package", "quillpoint-router"]);
    if hollow.parent().is_some_and(|folder| folder.ends_with("release")) {
        build.arg("--release");
    }
    assert!(build.status().expect("cargo runs").success(), "the program is built");
    Programs::beside(hollow.parent().expect("it lies in a folder"))
}

#[test]
fn hollow_routers_pass_for_real_ones_and_a_restart_comes_to_calm() {
    let programs = programs();
    let sizes = with_real(usual(Mode::Feed, 203, 20), 3);
    let sizes = Sizes { control: 2, period_s: 0.5, seed: 7, seconds: 4.0, ..sizes };
    let wanted = Play { sizes, axis: None, fault: Some(Fault::Restart), with_cpu: false };
    let mut broken = Vec::new();
    for _ in 0..TIMES {
        let line = play(&wanted, &programs).expect("it is played");
        let Line::Run { bounds, figures, .. } = line else { panic!("a run is told as one") };
        // One of three is a sixth, upwards. It is started anew, so that it asks for the whole list, as nobody else does.
        assert_eq!(figures["real_struck"], 1.0);
        assert_eq!(figures["fault_discovery_lists"], 1.0, "{figures:?}");
        for name in HELD {
            assert!(bounds.iter().any(|bound| bound.figure == name), "{name} is counted");
        }
        broken = bounds.into_iter().filter(|bound| HELD.contains(&&*bound.figure) && !bound.held).collect();
        if broken.is_empty() {
            return;
        }
    }
    panic!("broken each time: {broken:?}");
}
