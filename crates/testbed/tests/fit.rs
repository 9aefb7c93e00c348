//! Fits of figures over sizes: each form is found where it is the truth, and the largest size tells where none is.

use std::collections::BTreeMap;

use quillpoint_testbed::fit::{
    FitError, fit_all, fit_newest, fit_program, newest_points, points_of_program, programs,
};
use quillpoint_testbed::record::{Axis, Bound, Fit, Form, Line, Mode, Sizes, read, write};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FIGURE: &str = "router_bytes_in_s";
const LARGE: [usize; 6] = [250, 500, 1000, 2000, 4000, 7900];

fn run(routers: usize, databases: usize, seed: u64, is: f64) -> Line {
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
        figures: BTreeMap::from([(FIGURE.to_string(), is)]),
        bounds: Vec::new(),
    }
}

/// One run at each size of the axis, with the other held at 500.
fn over(axis: Axis, sizes: &[usize], is: impl Fn(f64, f64) -> f64) -> Vec<Line> {
    let at = |size: &usize| match axis {
        Axis::Routers => (*size, 500),
        _ => (500, *size),
    };
    let run = |(routers, databases)| run(routers, databases, 1, is(routers as f64, databases as f64));
    sizes.iter().map(at).map(run).collect()
}

fn routers(lines: &[Line]) -> Fit {
    fit_newest(lines, Axis::Routers, Mode::Feed, FIGURE).expect("enough sizes")
}

fn close(is: f64, should: f64) {
    assert!((is - should).abs() <= should.abs() * 1e-6 + 1e-9, "{is} is not {should}");
}

#[test]
fn each_form_is_found_with_its_slope_and_predicts_the_largest_size() {
    type Truth = fn(f64) -> f64;
    let truths: [(Form, f64, f64, Truth); 4] = [
        (Form::Constant, 0.0, 812.5, |_| 812.5),
        (Form::Log, 37.0, 400.0, |n| 400.0 + 37.0 * n.ln()),
        (Form::Linear, 208.0, 23_000.0, |n| 23_000.0 + 208.0 * n),
        (Form::Square, 0.03, 9.0, |n| 9.0 + 0.03 * n * n),
    ];
    for (form, slope, offset, truth) in truths {
        for axis in [Axis::Routers, Axis::Databases] {
            let lines = over(axis, &LARGE, |n, m| truth(if axis == Axis::Routers { n } else { m }));
            let fit = fit_newest(&lines, axis, Mode::Feed, FIGURE).expect("enough sizes");
            assert_eq!(fit.form, form);
            close(fit.slope, slope);
            close(fit.offset, offset);
            close(fit.predicted, truth(7900.0));
            close(fit.measured, truth(7900.0));
            close(fit.predict(100_000.0), truth(100_000.0));
            assert!(fit.relative_error < 1e-9 && fit.residual < 1e-9 && fit.is_usable());
            assert_eq!((fit.points, fit.largest_size), (5, 7900.0));
        }
    }
}

#[test]
fn a_product_is_told_from_either_size_alone_by_the_points_of_both_axes() {
    let truth = |n: f64, m: f64| 50.0 + 0.004 * n * m;
    let mut lines = over(Axis::Routers, &LARGE, truth);
    // With databases held, nothing but a line can be seen.
    assert_eq!(routers(&lines).form, Form::Linear);
    lines.extend(over(Axis::Databases, &LARGE, truth));
    for axis in [Axis::Routers, Axis::Databases] {
        let fit = fit_newest(&lines, axis, Mode::Feed, FIGURE).expect("enough sizes");
        assert_eq!(fit.form, Form::Product);
        close(fit.slope, 0.004);
        close(fit.offset, 50.0);
        close(fit.predicted, truth(7900.0, 500.0));
        close(fit.predict(7900.0 * 18_000.0), truth(7900.0, 18_000.0));
    }
}

#[test]
fn a_line_over_one_size_stays_one_where_the_other_changes_nothing_or_adds() {
    type Truth = fn(f64, f64) -> f64;
    let truths: [Truth; 4] = [
        |n, _| 5.0 + 3.0 * n,
        |n, m| 5.0 + 3.0 * n + 0.001 * m,
        |n, m| 5.0 + 3.0 * n + 40.0 * m,
        |n, m| 5.0 + 3.0 * n + 0.5 * m.ln(),
    ];
    for truth in truths {
        let mut lines = over(Axis::Routers, &LARGE, truth);
        lines.extend(over(Axis::Databases, &LARGE, truth));
        assert_eq!(routers(&lines).form, Form::Linear);
        close(routers(&lines).slope, 3.0);
    }
}

#[test]
fn noise_neither_hides_a_slope_nor_makes_one() {
    let (mut other, mut misled, rounds) = (0, 0, 200);
    for seed in 0..rounds {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut noise = move || 1.0 + chance.random_range(-0.03..0.03);
        let lines: Vec<Line> =
            LARGE.iter().map(|n| run(*n, 500, 1, (900.0 + 2.0 * *n as f64) * noise())).collect();
        let line = routers(&lines);
        if line.form == Form::Linear {
            assert!((line.slope - 2.0).abs() < 0.3 && line.is_usable(), "{line:?}");
        } else {
            other += 1;
        }
        let lines: Vec<Line> = LARGE.iter().map(|n| run(*n, 500, 1, 900.0 * noise())).collect();
        let flat = routers(&lines);
        // A slope that chance has made is slight, or found out by the largest size.
        assert!(!flat.is_usable() || (flat.predict(7900.0) - 900.0).abs() < 900.0 * 0.25, "{flat:?}");
        misled += usize::from(flat.form != Form::Constant && flat.form != Form::Log);
    }
    println!("{other} lines taken for something else, {misled} constants for a growth, of {rounds}");
    assert!(other * 10 <= rounds as usize && misled * 4 <= rounds as usize, "{other}, {misled}");
}

#[test]
fn a_form_that_does_not_hold_is_caught_by_the_largest_size() {
    // A line up to 4,000; beyond, something gives way.
    let lines = over(Axis::Routers, &LARGE, |n, _| if n > 4000.0 { 9.0 * n } else { 2.0 * n });
    let fit = routers(&lines);
    assert_eq!(fit.form, Form::Linear);
    close(fit.slope, 2.0);
    close(fit.relative_error, 7.0 / 9.0);
    assert!(!fit.is_usable());
    // The largest size has no say in the form.
    let lines = over(Axis::Routers, &LARGE, |n, _| if n > 4000.0 { 0.0 } else { 2.0 * n });
    assert_eq!((routers(&lines).form, routers(&lines).relative_error), (Form::Linear, 1.0));
    assert!(!routers(&lines).is_usable());
}

#[test]
fn an_error_of_a_fifth_is_the_most_that_is_usable() {
    let largest = |is: f64| routers(&over(Axis::Routers, &LARGE, |n, _| if n > 4000.0 { is } else { 100.0 }));
    assert!(largest(124.9).is_usable(), "predicted 100, a fifth below");
    assert!(!largest(125.1).is_usable());
    assert!(largest(83.4).is_usable());
    assert!(!largest(83.3).is_usable());
}

#[test]
fn fewer_than_four_sizes_are_an_error_that_says_so() {
    let lines = over(Axis::Routers, &LARGE[..3], |n, _| n);
    let error = fit_newest(&lines, Axis::Routers, Mode::Feed, FIGURE).expect_err("three sizes");
    let (figure, axis, mode) = (FIGURE.to_string(), Axis::Routers, Mode::Feed);
    assert_eq!(error, FitError::TooFew { figure, axis, mode, sizes: 3 });
    let told = error.to_string();
    assert!(told.contains("router_bytes_in_s over routers, feed: 3 sizes"), "{told}");
    assert!(told.contains("4 are needed"), "{told}");
    // One size twice is one size.
    let mut lines = over(Axis::Routers, &LARGE[..3], |n, _| n);
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
    let mut lines = over(Axis::Routers, &LARGE, |n, _| 10.0 * n);
    lines.push(run(1000, 500, 2, 9_000.0));
    lines.push(run(1000, 500, 3, 11_000.0));
    let all = newest_points(&lines, Axis::Routers, Mode::Feed, FIGURE).expect("points");
    assert_eq!(all.points.iter().map(|point| point.runs).collect::<Vec<_>>(), [1, 1, 3, 1, 1, 1]);
    close(all.points[2].mean, 10_000.0);
    let fit = routers(&lines);
    assert_eq!((fit.form, fit.points), (Form::Linear, 5));
    close(fit.slope, 10.0);
    close(fit.spread, 0.1);
}

#[test]
fn only_calm_runs_that_differ_in_the_axis_alone_are_points_of_it() {
    let mut lines = over(Axis::Routers, &LARGE, |n, _| 10.0 * n);
    let mut fault = run(16_000, 500, 1, 1.0);
    if let Line::Run { fault, .. } = &mut fault {
        *fault = Some("restart".to_string());
    }
    let mut slower = run(16_000, 500, 1, 1.0);
    if let Line::Run { sizes, .. } = &mut slower {
        sizes.period_s = 1.0;
    }
    lines.extend([fault, slower, run(16_000, 600, 1, 1.0)]);
    assert_eq!(routers(&lines).largest_size, 7900.0);
    close(routers(&lines).slope, 10.0);
    // Of two places the one with more sizes counts.
    lines.extend(over(Axis::Routers, &LARGE[..4], |n, _| n).into_iter().map(|mut line| {
        if let Line::Run { sizes, .. } = &mut line {
            sizes.databases = 4000;
        }
        line
    }));
    close(routers(&lines).slope, 10.0);
}

#[test]
fn names_joined_by_plus_are_summed_and_a_run_without_one_of_them_is_no_point() {
    let mut lines = over(Axis::Routers, &LARGE, |n, _| 10.0 * n);
    for line in &mut lines {
        if let Line::Run { sizes, figures, .. } = line {
            figures.insert("router_bytes_out_s".to_string(), 5.0 * sizes.routers as f64 + 1.0);
        }
    }
    lines.push(run(16_000, 500, 1, 0.0));
    let sum = "router_bytes_in_s+router_bytes_out_s";
    let fit = fit_newest(&lines, Axis::Routers, Mode::Feed, sum).expect("enough sizes");
    close(fit.slope, 15.0);
    assert_eq!(fit.largest_size, 7900.0);
    assert!(fit_all(&lines).contains(&fit));
}

#[test]
fn a_record_is_read_as_it_was_written_and_a_faulty_line_is_named() {
    let mut lines = over(Axis::Routers, &LARGE, |n, _| 0.125 * n);
    lines.extend(fit_all(&lines).into_iter().map(Line::Fit));
    assert_eq!(lines.len(), 7);
    let path = std::env::temp_dir().join(format!("quillpoint-fit-{}.jsonl", std::process::id()));
    write(&path, &lines).expect("written");
    let again = read(&path).expect("read");
    assert_eq!(again[..6], lines[..6]);
    let (Line::Fit(one), Line::Fit(other)) = (&again[6], &lines[6]) else { panic!("a fit comes last") };
    close(one.slope, other.slope);
    let text = std::fs::read_to_string(&path).expect("read") + "{\"kind\":\"run\"}\n";
    std::fs::write(&path, text).expect("written");
    let error = read(&path).expect_err("a line that is none").to_string();
    assert!(error.contains(":8: "), "{error}");
    std::fs::remove_file(&path).expect("removed");
}

/// The same runs by a program of this name.
fn by(name: &str, lines: Vec<Line>) -> Vec<Line> {
    let named = |mut line: Line| {
        if let Line::Run { program, .. } = &mut line {
            *program = Some(name.to_string());
        }
        line
    };
    lines.into_iter().map(named).collect()
}

#[test]
fn runs_of_two_programs_are_never_in_one_fit_and_the_newest_with_enough_sizes_counts() {
    let old = over(Axis::Routers, &LARGE, |n, _| 900.0 + 2.0 * n);
    let mut lines = old.clone();
    lines.extend(by("lean", over(Axis::Routers, &LARGE[..4], |n, _| 100.0 + n)));
    // A newer one still, at too few sizes; and one more run of the first does not make it the newest.
    lines.extend(by("leanest", over(Axis::Routers, &LARGE[..3], |n, _| 0.5 * n)));
    lines.extend(old.iter().take(1).cloned());
    assert_eq!(programs(&lines), [Some("leanest"), Some("lean"), None]);
    let lean = routers(&lines);
    assert_eq!((lean.program.as_deref(), lean.form, lean.largest_size), (Some("lean"), Form::Linear, 2000.0));
    close(lean.slope, 1.0);
    close(lean.offset, 100.0);
    close(lean.relative_error, 0.0);
    let first = fit_program(&lines, None, Axis::Routers, Mode::Feed, FIGURE).expect("enough sizes");
    close(first.slope, 2.0);
    assert_eq!((first.program, first.largest_size), (None, 7900.0));
    let few = fit_program(&lines, Some("leanest"), Axis::Routers, Mode::Feed, FIGURE);
    assert!(matches!(few, Err(FitError::TooFew { sizes: 3, .. })), "{few:?}");
    // Each that can be fitted is, the oldest first.
    let all: Vec<Option<String>> =
        fit_all(&lines).into_iter().filter(|fit| fit.axis == Axis::Routers).map(|fit| fit.program).collect();
    assert_eq!(all, [None, Some("lean".to_string())]);
    // Three sizes of one and three of another are not six.
    let mut few = over(Axis::Routers, &LARGE[..3], |n, _| 2.0 * n);
    few.extend(by("lean", over(Axis::Routers, &LARGE[3..], |n, _| n)));
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
fn the_other_axis_of_a_product_is_the_same_programs() {
    let truth = |n: f64, m: f64| 50.0 + 0.004 * n * m;
    let mut lines = over(Axis::Databases, &LARGE, truth);
    lines.extend(by("lean", over(Axis::Routers, &LARGE, truth)));
    // By the databases of the first program it would be one.
    assert_eq!(routers(&lines).form, Form::Linear);
    lines.extend(by("lean", over(Axis::Databases, &LARGE, truth)));
    assert_eq!(routers(&lines).form, Form::Product);
}

#[test]
fn a_line_without_a_program_is_read_and_written_as_ever() {
    let path = std::env::temp_dir().join(format!("quillpoint-program-{}.jsonl", std::process::id()));
    let mut lines = over(Axis::Routers, &LARGE[..1], |n, _| n);
    lines.extend(by("lean", lines.clone()));
    write(&path, &lines).expect("written");
    let text = std::fs::read_to_string(&path).expect("there");
    assert_eq!(read(&path).expect("read"), lines);
    _ = std::fs::remove_file(&path);
    let told: Vec<&str> = text.lines().collect();
    assert!(!told[0].contains("program") && told[1].contains(r#""program":"lean""#), "{text}");
}

#[test]
fn a_size_is_no_cheaper_for_being_played_until_calibration_holds() {
    let broken = |mut line: Line, real: f64| {
        if let Line::Run { figures, bounds, .. } = &mut line {
            figures.insert("real_bytes_in_s".to_string(), real);
            let figure = "calibration_bytes_in_s".to_string();
            bounds.push(Bound { figure, value: 0.3, limit: 0.05, held: false });
        }
        line
    };
    let mut lines = over(Axis::Routers, &LARGE, |_, _| 100.0);
    // Played twice: first the hollow ones showed more, then calibration held.
    lines.push(broken(run(1000, 500, 2, 140.0), 100.0));
    // Here the real ones showed more, and here both showed less.
    lines.push(broken(run(2000, 500, 2, 90.0), 120.0));
    lines.push(broken(run(4000, 500, 2, 60.0), 70.0));
    // At a size where calibration never held nothing counts, but it is known that it was played.
    lines.push(broken(run(9000, 500, 1, 500.0), 100.0));
    lines.push(broken(run(300, 500, 1, 500.0), 100.0));
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
