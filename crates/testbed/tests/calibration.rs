//! The calibration of a scale run: what is held between hollow and real routers, and how what is held is counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quillpoint_testbed::fit::calibrated_figure;
use quillpoint_testbed::record::{Bound, Mode, Sizes};
use quillpoint_testbed::scale::calibration::{ALLOWED, CPU_ERROR, bounds};
use quillpoint_testbed::scale::counters::mean;
use quillpoint_testbed::scale::roles::roles;
use quillpoint_testbed::scale::sizes::{usual, with_real};

fn figures(all: &[(&str, f64)]) -> BTreeMap<String, f64> {
    all.iter().map(|(name, value)| (name.to_string(), *value)).collect()
}

fn of<'a>(bounds: &'a [Bound], name: &str) -> &'a Bound {
    bounds.iter().find(|bound| bound.figure == name).unwrap_or_else(|| panic!("no {name}"))
}

/// Each deviation holds up to its bound and not beyond, whichever of the two kinds has more.
#[test]
fn a_deviation_holds_up_to_its_bound_and_not_beyond() {
    for (name, most) in ALLOWED {
        for way in [1.0, -1.0] {
            let at = |part: f64| {
                let hollow = 100.0 * (1.0 + way * part);
                let of_both = [(&*format!("real_{name}"), 100.0), (&*format!("hollow_{name}"), hollow)];
                of(&bounds(&figures(&of_both), true), &format!("calibration_{name}")).held
            };
            assert!(at(most * 0.99) && !at(most * 1.01), "{name} {way}");
        }
    }
    let allowed: Vec<f64> = ALLOWED.iter().map(|(_, most)| *most).collect();
    assert_eq!(allowed, [0.05, 0.05, 0.05, 0.05, 0.10, 0.25]);
}

/// A difference of two loads may be lost in their noise: then it agrees with anything, and nothing is shown by it.
#[test]
fn a_difference_that_is_lost_in_its_noise_shows_nothing() {
    let run = |cpu: f64, error: f64| {
        let all = [("real_cpu_part", cpu), ("hollow_cpu_part", cpu), ("real_cpu_error_part", error)];
        let bounds = bounds(&figures(&all), true);
        of(&bounds, "calibration_cpu_part_error").held
    };
    assert!(run(0.004, 0.004 * CPU_ERROR * 0.99));
    assert!(!run(0.004, 0.004 * CPU_ERROR * 1.01));
    assert!(!run(0.0, 0.0) && !run(-0.004, 0.000_01));
    // Two errors lie within what is allowed between both kinds.
    assert!(ALLOWED.iter().any(|(name, most)| *name == "cpu_part" && CPU_ERROR * 2.0 <= *most));
}

/// Where processor time is not held, neither is its noise.
#[test]
fn a_busy_machine_may_leave_processor_time_out() {
    let all = [("real_cpu_part", 0.1), ("hollow_cpu_part", 0.5), ("real_cpu_error_part", 0.5)];
    assert_eq!(bounds(&figures(&all), false), []);
    assert_eq!(bounds(&figures(&all), true).iter().filter(|bound| !bound.held).count(), 2);
}

/// What hollow routers showed stands for no router where the real ones' figure is lost in its noise.
#[test]
fn a_figure_without_its_calibration_is_none() {
    let figures = figures(&[("router_cpu_part", 0.004), ("router_bytes_in_s", 812.0)]);
    let bound = |name: &str, held| Bound { figure: name.to_string(), value: 1.0, limit: 0.5, held };
    for name in ["calibration_cpu_part", "calibration_cpu_part_error"] {
        assert_eq!(calibrated_figure(&figures, &[bound(name, false)], "router_cpu_part"), None, "{name}");
        assert_eq!(
            calibrated_figure(&figures, &[bound(name, true)], "router_cpu_part"),
            Some(0.004),
            "{name}"
        );
        assert_eq!(
            calibrated_figure(&figures, &[bound(name, false)], "router_bytes_in_s"),
            Some(812.0),
            "{name}"
        );
    }
}

#[test]
fn the_error_of_a_mean_is_the_standard_error() {
    // Of one alone nobody knows how far it is off.
    assert_eq!((mean(&[]), mean(&[3.0])), ((0.0, None), (3.0, None)));
    let (is, error) = mean(&[1.0, 2.0, 3.0, 6.0]);
    let error = error.expect("four of them");
    // The deviation of the sample is the root of 14/3, over the root of four.
    assert!((is - 3.0).abs() < 1e-12 && (error - (14.0f64 / 3.0 / 4.0).sqrt()).abs() < 1e-12, "{is} {error}");
}

fn databases(count: usize, base: u8) -> Vec<SocketAddr> {
    (0..count).map(|place| SocketAddr::from(([127, base, 0, place as u8 + 1], 20_000))).collect()
}

/// Everybody has one role.
#[test]
fn every_router_has_one_role() {
    for mode in [Mode::Feed, Mode::Shared] {
        let sizes = Sizes { seed: 3, ..with_real(usual(mode, 60, 50), 16) };
        let [real, alone, shared] = roles(&sizes, &databases(50, 192));
        assert_eq!((real.len(), alone.len(), shared.len()), (16, 8, 36));
        let mut all = [real, alone, shared].concat();
        all.sort_unstable();
        assert_eq!(all, (0..60).collect::<Vec<usize>>());
    }
}
