//! The calibration of a scale run: which deviations between hollow and real routers are allowed, and how the
//! compared figures are computed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quillpoint_testbed::fit::calibrated_figure;
use quillpoint_testbed::record::{Bound, Mode, Sizes};
use quillpoint_testbed::scale::calibration::{MAX_CPU_ERROR_PART, MAX_DEVIATIONS, bounds};
use quillpoint_testbed::scale::counters::mean;
use quillpoint_testbed::scale::roles::roles;
use quillpoint_testbed::scale::sizes::{default_sizes, with_real};

fn figures(all: &[(&str, f64)]) -> BTreeMap<String, f64> {
    all.iter().map(|(name, value)| (name.to_string(), *value)).collect()
}

fn find_bound<'a>(bounds: &'a [Bound], name: &str) -> &'a Bound {
    bounds
        .iter()
        .find(|bound| bound.figure == name)
        .unwrap_or_else(|| panic!("found no bound {name} in {bounds:?}"))
}

/// Guards against a bound that is loosened or that checks one direction only: each deviation holds just below
/// its bound and breaks just above it, whichever kind of router has more.
#[test]
fn a_deviation_holds_up_to_its_bound_and_breaks_above_it() {
    for (name, most) in MAX_DEVIATIONS {
        for way in [1.0, -1.0] {
            let at = |part: f64| {
                let hollow = 100.0 * (1.0 + way * part);
                let of_both = [(&*format!("real_{name}"), 100.0), (&*format!("hollow_{name}"), hollow)];
                find_bound(&bounds(&figures(&of_both), true), &format!("calibration_{name}")).held
            };
            assert!(at(most * 0.99) && !at(most * 1.01), "{name} {way}");
        }
    }
    let allowed: Vec<f64> = MAX_DEVIATIONS.iter().map(|(_, most)| *most).collect();
    assert_eq!(allowed, [0.05, 0.05, 0.05, 0.05, 0.10, 0.25]);
}

/// The processor time of the control side is a difference of two loads, which may be smaller than its
/// standard error. Such a figure agrees with any other, so the calibration must not pass on it.
#[test]
fn a_difference_within_its_standard_error_breaks_the_calibration() {
    let run = |cpu: f64, error: f64| {
        let all = [("real_cpu_part", cpu), ("hollow_cpu_part", cpu), ("real_cpu_error_part", error)];
        let bounds = bounds(&figures(&all), true);
        find_bound(&bounds, "calibration_cpu_part_error").held
    };
    assert!(run(0.004, 0.004 * MAX_CPU_ERROR_PART * 0.99));
    assert!(!run(0.004, 0.004 * MAX_CPU_ERROR_PART * 1.01));
    assert!(!run(0.0, 0.0) && !run(-0.004, 0.000_01));
    // Two standard errors must not exceed the allowed deviation.
    assert!(
        MAX_DEVIATIONS.iter().any(|(name, most)| *name == "cpu_part" && MAX_CPU_ERROR_PART * 2.0 <= *most)
    );
}

/// If processor time is not compared, for instance on a busy machine, its standard error is not checked
/// either.
#[test]
fn processor_time_is_not_compared_without_cpu() {
    let all = [("real_cpu_part", 0.1), ("hollow_cpu_part", 0.5), ("real_cpu_error_part", 0.5)];
    assert_eq!(bounds(&figures(&all), false), []);
    assert_eq!(bounds(&figures(&all), true).iter().filter(|bound| !bound.held).count(), 2);
}

/// Guards against using the processor time of hollow routers in a fit although the calibration failed: a
/// figure counts only if the bounds of its calibration held.
#[test]
fn a_figure_with_a_failed_calibration_is_not_used() {
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
    // A single value has no standard error.
    assert_eq!((mean(&[]), mean(&[3.0])), ((0.0, None), (3.0, None)));
    let (is, error) = mean(&[1.0, 2.0, 3.0, 6.0]);
    let error = error.expect("four values have a standard error");
    // The standard deviation of the sample is the square root of 14/3; the error is that divided by the
    // square root of 4.
    assert!((is - 3.0).abs() < 1e-12 && (error - (14.0f64 / 3.0 / 4.0).sqrt()).abs() < 1e-12, "{is} {error}");
}

fn databases(count: usize, base: u8) -> Vec<SocketAddr> {
    (0..count).map(|index| SocketAddr::from(([127, base, 0, index as u8 + 1], 20_000))).collect()
}

/// Guards against routers that are started twice or never: each index has exactly one role.
#[test]
fn every_router_has_one_role() {
    for mode in [Mode::Feed, Mode::Shared] {
        let sizes = Sizes { seed: 3, ..with_real(default_sizes(mode, 60, 50), 16) };
        let [real, dedicated, shared] = roles(&sizes, &databases(50, 192));
        assert_eq!((real.len(), dedicated.len(), shared.len()), (16, 8, 36));
        let mut all = [real, dedicated, shared].concat();
        all.sort_unstable();
        assert_eq!(all, (0..60).collect::<Vec<usize>>());
    }
}
