//! Fits of figures over sizes: the right form is selected, and the largest size shows when no form holds.

use std::collections::BTreeMap;

use quillpoint_testbed::fit::{
    FitError, fit_all, fit_newest, fit_program, newest_points, points_of_program, programs,
};
use quillpoint_testbed::record::{Axis, Bound, Fit, Form, Line, Mode, Sizes, read, write};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FIGURE: &str = "router_bytes_in_s";
const LARGE: [usize; 6] = [250, 500, 1000, 2000, 4000, 7900];

fn run(routers: usize, databases: usize, seed: u64, value: f64) -> Line {
    Line::Run {
        axis: None,
        fault: None,
        program: None,
        sizes: Sizes {
            mode: Mode::Feed,
            routers,
            real: 3,
            hollow_processes: 2,
            control: 2,
            databases,
            connections: 100,
            statements: 100.0,
            changes: 0.2,
            period_s: 0.15,
            seed,
            seconds: 10.0,
        },
        figures: BTreeMap::from([(FIGURE.to_string(), value)]),
        bounds: Vec::new(),
    }
}

/// Returns one run at each size of the axis, with the other axis held at 500.
fn runs_over(axis: Axis, sizes: &[usize], value: impl Fn(f64, f64) -> f64) -> Vec<Line> {
    let at = |size: &usize| match axis {
        Axis::Routers => (*size, 500),
        _ => (500, *size),
    };
    let run = |(routers, databases)| run(routers, databases, 1, value(routers as f64, databases as f64));
    sizes.iter().map(at).map(run).collect()
}

fn fit_over_routers(lines: &[Line]) -> Fit {
    fit_newest(lines, Axis::Routers, Mode::Feed, FIGURE).expect("a fit")
}

fn assert_close(value: f64, expected: f64) {
    assert!(
        (value - expected).abs() <= expected.abs() * 1e-6 + 1e-9,
        "expected about {expected}, found {value}"
    );
}

#[test]
fn each_form_is_selected_for_its_own_curve_and_predicts_the_largest_size() {
    type Curve = fn(f64) -> f64;
    let curves: [(Form, f64, f64, Curve); 4] = [
        (Form::Constant, 0.0, 812.5, |_| 812.5),
        (Form::Log, 37.0, 400.0, |n| 400.0 + 37.0 * n.ln()),
        (Form::Linear, 208.0, 23_000.0, |n| 23_000.0 + 208.0 * n),
        (Form::Square, 0.03, 9.0, |n| 9.0 + 0.03 * n * n),
    ];
    for (form, slope, offset, curve) in curves {
        for axis in [Axis::Routers, Axis::Databases] {
            let lines = runs_over(axis, &LARGE, |n, m| curve(if axis == Axis::Routers { n } else { m }));
            let fit = fit_newest(&lines, axis, Mode::Feed, FIGURE).expect("a fit");
            assert_eq!(fit.form, form);
            assert_close(fit.slope, slope);
            assert_close(fit.offset, offset);
            assert_close(fit.predicted, curve(7900.0));
            assert_close(fit.measured, curve(7900.0));
            assert_close(fit.predict(100_000.0), curve(100_000.0));
            assert!(fit.relative_error < 1e-9 && fit.residual < 1e-9 && fit.is_usable());
            assert_eq!((fit.points, fit.largest_size), (5, 7900.0));
        }
    }
}

#[test]
fn points_of_both_axes_distinguish_a_product_from_a_line() {
    let curve = |n: f64, m: f64| 50.0 + 0.004 * n * m;
    let mut lines = runs_over(Axis::Routers, &LARGE, curve);
    // With the number of databases held, a product looks like a line.
    assert_eq!(fit_over_routers(&lines).form, Form::Linear);
    lines.extend(runs_over(Axis::Databases, &LARGE, curve));
    for axis in [Axis::Routers, Axis::Databases] {
        let fit = fit_newest(&lines, axis, Mode::Feed, FIGURE).expect("a fit");
        assert_eq!(fit.form, Form::Product);
        assert_close(fit.slope, 0.004);
        assert_close(fit.offset, 50.0);
        assert_close(fit.predicted, curve(7900.0, 500.0));
        assert_close(fit.predict(7900.0 * 18_000.0), curve(7900.0, 18_000.0));
    }
}

#[test]
fn a_line_stays_a_line_if_the_other_size_has_no_effect_or_adds_to_it() {
    type Curve = fn(f64, f64) -> f64;
    let curves: [Curve; 4] = [
        |n, _| 5.0 + 3.0 * n,
        |n, m| 5.0 + 3.0 * n + 0.001 * m,
        |n, m| 5.0 + 3.0 * n + 40.0 * m,
        |n, m| 5.0 + 3.0 * n + 0.5 * m.ln(),
    ];
    for curve in curves {
        let mut lines = runs_over(Axis::Routers, &LARGE, curve);
        lines.extend(runs_over(Axis::Databases, &LARGE, curve));
        assert_eq!(fit_over_routers(&lines).form, Form::Linear);
        assert_close(fit_over_routers(&lines).slope, 3.0);
    }
}

#[test]
fn noise_neither_hides_a_slope_nor_fakes_one() {
    let (mut other, mut false_growth, rounds) = (0, 0, 200);
    for seed in 0..rounds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut noise = move || 1.0 + rng.random_range(-0.03..0.03);
        let lines: Vec<Line> =
            LARGE.iter().map(|n| run(*n, 500, 1, (900.0 + 2.0 * *n as f64) * noise())).collect();
        let line = fit_over_routers(&lines);
        if line.form == Form::Linear {
            assert!((line.slope - 2.0).abs() < 0.3 && line.is_usable(), "{line:?}");
        } else {
            other += 1;
        }
        let lines: Vec<Line> = LARGE.iter().map(|n| run(*n, 500, 1, 900.0 * noise())).collect();
        let flat = fit_over_routers(&lines);
        // A slope that comes from noise is either small or refuted by the largest size.
        assert!(!flat.is_usable() || (flat.predict(7900.0) - 900.0).abs() < 900.0 * 0.25, "{flat:?}");
        false_growth += usize::from(flat.form != Form::Constant && flat.form != Form::Log);
    }
    println!(
        "of {rounds} rounds, {other} lines were fitted with another form and {false_growth} constants with a growing one"
    );
    assert!(
        other * 10 <= rounds as usize && false_growth * 4 <= rounds as usize,
        "of {rounds} rounds, {other} lines were fitted with another form and {false_growth} constants with a growing one"
    );
}

#[test]
fn the_largest_size_refutes_a_form_that_does_not_hold() {
    // A line up to 4,000, and a jump beyond it.
    let lines = runs_over(Axis::Routers, &LARGE, |n, _| if n > 4000.0 { 9.0 * n } else { 2.0 * n });
    let fit = fit_over_routers(&lines);
    assert_eq!(fit.form, Form::Linear);
    assert_close(fit.slope, 2.0);
    assert_close(fit.relative_error, 7.0 / 9.0);
    assert!(!fit.is_usable());
    // The largest size has no influence on the selected form.
    let lines = runs_over(Axis::Routers, &LARGE, |n, _| if n > 4000.0 { 0.0 } else { 2.0 * n });
    assert_eq!((fit_over_routers(&lines).form, fit_over_routers(&lines).relative_error), (Form::Linear, 1.0));
    assert!(!fit_over_routers(&lines).is_usable());
}

#[test]
fn a_relative_error_above_a_fifth_makes_a_fit_unusable() {
    let largest = |value: f64| {
        fit_over_routers(&runs_over(Axis::Routers, &LARGE, |n, _| if n > 4000.0 { value } else { 100.0 }))
    };
    assert!(largest(124.9).is_usable(), "expected a prediction of 100 to be usable for 124.9");
    assert!(!largest(125.1).is_usable());
    assert!(largest(83.4).is_usable());
    assert!(!largest(83.3).is_usable());
}

#[test]
fn fewer_than_four_sizes_are_rejected_with_their_number() {
    let lines = runs_over(Axis::Routers, &LARGE[..3], |n, _| n);
    let error = fit_newest(&lines, Axis::Routers, Mode::Feed, FIGURE).expect_err("three sizes");
    let (figure, axis, mode) = (FIGURE.to_string(), Axis::Routers, Mode::Feed);
    assert_eq!(error, FitError::TooFew { figure, axis, mode, sizes: 3 });
    let text = error.to_string();
    assert!(text.contains("router_bytes_in_s over routers, feed: 3 sizes"), "{text}");
    assert!(text.contains("4 are needed"), "{text}");
    // Two runs at one size count as one size.
    let mut lines = runs_over(Axis::Routers, &LARGE[..3], |n, _| n);
    lines.push(run(1000, 500, 2, 1000.0));
    assert!(matches!(
        fit_newest(&lines, Axis::Routers, Mode::Feed, FIGURE),
        Err(FitError::TooFew { sizes: 3, .. })
    ));
    assert!(matches!(
        fit_newest(&lines, Axis::Routers, Mode::Shared, FIGURE),
        Err(FitError::TooFew { sizes: 0, .. })
    ));
    assert!(matches!(
        fit_newest(&lines, Axis::Routers, Mode::Feed, "other"),
        Err(FitError::TooFew { sizes: 0, .. })
    ));
    assert!(matches!(
        fit_newest(&[], Axis::Routers, Mode::Feed, FIGURE),
        Err(FitError::TooFew { sizes: 0, .. })
    ));
    assert!(fit_all(&lines).is_empty());
}

#[test]
fn runs_of_one_size_are_averaged_and_their_spread_is_kept() {
    let mut lines = runs_over(Axis::Routers, &LARGE, |n, _| 10.0 * n);
    lines.push(run(1000, 500, 2, 9_000.0));
    lines.push(run(1000, 500, 3, 11_000.0));
    let all = newest_points(&lines, Axis::Routers, Mode::Feed, FIGURE).expect("points");
    assert_eq!(all.points.iter().map(|point| point.runs).collect::<Vec<_>>(), [1, 1, 3, 1, 1, 1]);
    assert_close(all.points[2].mean, 10_000.0);
    let fit = fit_over_routers(&lines);
    assert_eq!((fit.form, fit.points), (Form::Linear, 5));
    assert_close(fit.slope, 10.0);
    assert_close(fit.spread, 0.1);
}

#[test]
fn only_calm_runs_that_differ_in_the_axis_alone_are_points_of_it() {
    let mut lines = runs_over(Axis::Routers, &LARGE, |n, _| 10.0 * n);
    let mut fault = run(16_000, 500, 1, 1.0);
    if let Line::Run { fault, .. } = &mut fault {
        *fault = Some("restart".to_string());
    }
    let mut slower = run(16_000, 500, 1, 1.0);
    if let Line::Run { sizes, .. } = &mut slower {
        sizes.period_s = 1.0;
    }
    lines.extend([fault, slower, run(16_000, 600, 1, 1.0)]);
    assert_eq!(fit_over_routers(&lines).largest_size, 7900.0);
    assert_close(fit_over_routers(&lines).slope, 10.0);
    // Of two series the one with more sizes is used.
    lines.extend(runs_over(Axis::Routers, &LARGE[..4], |n, _| n).into_iter().map(|mut line| {
        if let Line::Run { sizes, .. } = &mut line {
            sizes.databases = 4000;
        }
        line
    }));
    assert_close(fit_over_routers(&lines).slope, 10.0);
}

#[test]
fn names_joined_by_plus_are_summed_and_a_run_without_one_of_them_is_left_out() {
    let mut lines = runs_over(Axis::Routers, &LARGE, |n, _| 10.0 * n);
    for line in &mut lines {
        if let Line::Run { sizes, figures, .. } = line {
            figures.insert("router_bytes_out_s".to_string(), 5.0 * sizes.routers as f64 + 1.0);
        }
    }
    lines.push(run(16_000, 500, 1, 0.0));
    let sum = "router_bytes_in_s+router_bytes_out_s";
    let fit = fit_newest(&lines, Axis::Routers, Mode::Feed, sum).expect("a fit");
    assert_close(fit.slope, 15.0);
    assert_eq!(fit.largest_size, 7900.0);
    assert!(fit_all(&lines).contains(&fit));
}

#[test]
fn a_record_is_read_as_it_was_written_and_an_invalid_line_is_reported_by_number() {
    let mut lines = runs_over(Axis::Routers, &LARGE, |n, _| 0.125 * n);
    lines.extend(fit_all(&lines).into_iter().map(Line::Fit));
    assert_eq!(lines.len(), 7);
    let path = std::env::temp_dir().join(format!("quillpoint-fit-{}.jsonl", std::process::id()));
    write(&path, &lines).expect("the record can be written");
    let reread = read(&path).expect("the record can be read");
    assert_eq!(reread[..6], lines[..6]);
    let (Line::Fit(one), Line::Fit(other)) = (&reread[6], &lines[6]) else {
        panic!("expected a fit in the last line")
    };
    assert_close(one.slope, other.slope);
    let text = std::fs::read_to_string(&path).expect("the record can be read") + "{\"kind\":\"run\"}\n";
    std::fs::write(&path, text).expect("the record can be written");
    let error = read(&path).expect_err("an invalid line").to_string();
    assert!(error.contains(":8: "), "{error}");
    std::fs::remove_file(&path).expect("the record can be removed");
}

/// Returns the same runs as those of a program version with this name.
fn of_program(name: &str, lines: Vec<Line>) -> Vec<Line> {
    let named = |mut line: Line| {
        if let Line::Run { program, .. } = &mut line {
            *program = Some(name.to_string());
        }
        line
    };
    lines.into_iter().map(named).collect()
}

#[test]
fn runs_of_two_programs_are_never_mixed_and_the_newest_with_enough_sizes_is_fitted() {
    let old = runs_over(Axis::Routers, &LARGE, |n, _| 900.0 + 2.0 * n);
    let mut lines = old.clone();
    lines.extend(of_program("lean", runs_over(Axis::Routers, &LARGE[..4], |n, _| 100.0 + n)));
    // A still newer version has too few sizes. A later run of the first version does not make it the newest.
    lines.extend(of_program("leanest", runs_over(Axis::Routers, &LARGE[..3], |n, _| 0.5 * n)));
    lines.extend(old.iter().take(1).cloned());
    assert_eq!(programs(&lines), [Some("leanest"), Some("lean"), None]);
    let lean = fit_over_routers(&lines);
    assert_eq!((lean.program.as_deref(), lean.form, lean.largest_size), (Some("lean"), Form::Linear, 2000.0));
    assert_close(lean.slope, 1.0);
    assert_close(lean.offset, 100.0);
    assert_close(lean.relative_error, 0.0);
    let first = fit_program(&lines, None, Axis::Routers, Mode::Feed, FIGURE).expect("a fit");
    assert_close(first.slope, 2.0);
    assert_eq!((first.program, first.largest_size), (None, 7900.0));
    let few = fit_program(&lines, Some("leanest"), Axis::Routers, Mode::Feed, FIGURE);
    assert!(matches!(few, Err(FitError::TooFew { sizes: 3, .. })), "{few:?}");
    // Every version with enough sizes is fitted, the oldest first.
    let all: Vec<Option<String>> =
        fit_all(&lines).into_iter().filter(|fit| fit.axis == Axis::Routers).map(|fit| fit.program).collect();
    assert_eq!(all, [None, Some("lean".to_string())]);
    // Three sizes of one version and three of another do not add up.
    let mut few = runs_over(Axis::Routers, &LARGE[..3], |n, _| 2.0 * n);
    few.extend(of_program("lean", runs_over(Axis::Routers, &LARGE[3..], |n, _| n)));
    assert!(matches!(
        fit_newest(&few, Axis::Routers, Mode::Feed, FIGURE),
        Err(FitError::TooFew { sizes: 3, .. })
    ));
    assert_eq!(
        newest_points(&few, Axis::Routers, Mode::Feed, FIGURE).expect("points").program.as_deref(),
        Some("lean")
    );
}

#[test]
fn a_product_uses_only_runs_of_the_same_program() {
    let curve = |n: f64, m: f64| 50.0 + 0.004 * n * m;
    let mut lines = runs_over(Axis::Databases, &LARGE, curve);
    lines.extend(of_program("lean", runs_over(Axis::Routers, &LARGE, curve)));
    // With the database axis of the first version, these runs would be fitted as a product.
    assert_eq!(fit_over_routers(&lines).form, Form::Linear);
    lines.extend(of_program("lean", runs_over(Axis::Databases, &LARGE, curve)));
    assert_eq!(fit_over_routers(&lines).form, Form::Product);
}

#[test]
fn a_run_without_a_program_name_has_no_program_field() {
    let path = std::env::temp_dir().join(format!("quillpoint-program-{}.jsonl", std::process::id()));
    let mut lines = runs_over(Axis::Routers, &LARGE[..1], |n, _| n);
    lines.extend(of_program("lean", lines.clone()));
    write(&path, &lines).expect("the record can be written");
    let text = std::fs::read_to_string(&path).expect("the record can be read");
    assert_eq!(read(&path).expect("the record can be read"), lines);
    _ = std::fs::remove_file(&path);
    let lines_of_text: Vec<&str> = text.lines().collect();
    assert!(
        !lines_of_text[0].contains("program") && lines_of_text[1].contains(r#""program":"lean""#),
        "{text}"
    );
}

/// Guards against repeating a run until calibration holds by chance: the runs that failed calibration with a
/// higher figure still count, so that the size does not look cheaper.
#[test]
fn repeating_a_size_until_calibration_holds_does_not_lower_its_figure() {
    let uncalibrated = |mut line: Line, real: f64| {
        if let Line::Run { figures, bounds, .. } = &mut line {
            figures.insert("real_bytes_in_s".to_string(), real);
            let figure = "calibration_bytes_in_s".to_string();
            bounds.push(Bound { figure, value: 0.3, limit: 0.05, held: false });
        }
        line
    };
    let mut lines = runs_over(Axis::Routers, &LARGE, |_, _| 100.0);
    // Run twice: hollow routers had the larger figure in the run that failed calibration.
    lines.push(uncalibrated(run(1000, 500, 2, 140.0), 100.0));
    // At 2,000 real routers had the larger figure in the failed run; at 4,000 both had a smaller one.
    lines.push(uncalibrated(run(2000, 500, 2, 90.0), 120.0));
    lines.push(uncalibrated(run(4000, 500, 2, 60.0), 70.0));
    // A size where calibration failed in every run is no point, but is listed.
    lines.push(uncalibrated(run(9000, 500, 1, 500.0), 100.0));
    lines.push(uncalibrated(run(300, 500, 1, 500.0), 100.0));
    let found = points_of_program(&lines, None, Axis::Routers, Mode::Feed, FIGURE).expect("points");
    let means: Vec<(f64, f64, f64)> =
        found.points.iter().map(|point| (point.size, point.mean, point.max)).collect();
    assert_eq!(
        means,
        [
            (250.0, 100.0, 100.0),
            (500.0, 100.0, 100.0),
            (1000.0, 120.0, 140.0),
            (2000.0, 110.0, 120.0),
            (4000.0, 100.0, 100.0),
            (7900.0, 100.0, 100.0)
        ]
    );
    assert_eq!(found.uncalibrated, [300.0, 9000.0]);
    assert_eq!(found.first_uncalibrated_beyond(), Some(9000.0));
}
