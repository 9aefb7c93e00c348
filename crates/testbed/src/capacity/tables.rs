//! The tables of the capacity page in Markdown.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use super::Records;
use super::asks::{MEASURED_RECORD, PLOTS, SECTIONS, Sharing, Source, requirements};
use super::numbers::{format_number, round_up, round_up_to_thousandth};
use super::rows::{Ratio, Row, TABLE_HEAD, rows};
use crate::fit::{self, MAX_RELATIVE_ERROR};
use crate::record::{self, Axis, Form, Line, Mode, Sizes};

/// Shown in place of the name of the first program version, which has none.
const UNNAMED_PROGRAM: &str = "–";

/// Returns the table of a section.
pub fn table(section: &str, records: &Records) -> String {
    let lines = requirements(section)
        .into_iter()
        .flat_map(|requirement| rows(&requirement, records))
        .map(|row| row.to_markdown());
    TABLE_HEAD.to_string() + &lines.collect::<String>()
}

/// Lists the requirements over their budgets, the largest ratio first, then those without a ratio and those
/// not measured.
pub fn missing(sharing: &[Sharing], records: &Records) -> String {
    let mut over_budget = Vec::<(Ratio, &str, Row)>::new();
    let (mut not_measured, mut without_ratio) = (Vec::new(), Vec::new());
    for (section, when) in SECTIONS {
        for requirement in
            requirements(section).iter().filter(|requirement| sharing.contains(&requirement.sharing))
        {
            let rows = rows(requirement, records);
            let worst = rows.iter().filter_map(|row| Some((row.ratio()?, row)));
            match worst.max_by(|one, other| one.0.value.total_cmp(&other.0.value)) {
                Some((ratio, row)) if ratio.value > 1.0 => over_budget.push((ratio, when, row.clone())),
                Some(_) => {}
                None if rows.iter().all(|row| row.figure.is_none()) => {
                    not_measured.push(format!("{}: {} ({when})", requirement.role, requirement.quantity));
                }
                None if rows.iter().any(Row::lacks_ratio) => {
                    without_ratio.push(format!("{}: {} ({when})", requirement.role, requirement.quantity));
                }
                None => {}
            }
        }
    }
    over_budget.sort_by(|one, other| other.0.value.total_cmp(&one.0.value));
    let mut text =
        "| ratio | role | what | when | basis | mechanism |\n| --- | --- | --- | --- | --- | --- |\n"
            .to_string();
    for (ratio, when, row) in &over_budget {
        let ratio = ratio.to_text();
        _ = writeln!(
            text,
            "| {ratio} | {} | {} | {when} | {} | {} |",
            row.role, row.quantity, row.basis, row.mechanism
        );
    }
    match over_budget.first() {
        Some((ratio, when, row)) => {
            let (ratio, by) = (ratio.to_text(), &row.record);
            _ = writeln!(
                text,
                "\nFirst: {}, {} ({when}): {ratio} times its budget ({}; {by}).",
                row.role, row.quantity, row.basis
            );
        }
        None => text += "\nNothing that is known is over its budget.\n",
    }
    if !without_ratio.is_empty() {
        _ = writeln!(
            text,
            "\nKnown below the target, before other instances or at another period alone, so that the budget judges nothing: {}.",
            without_ratio.join("; ")
        );
    }
    if !not_measured.is_empty() {
        _ = writeln!(text, "\nNot measured: {}.", not_measured.join("; "));
    }
    text
}

/// Returns the table of the fits that the rows use, each once.
pub fn slopes(records: &Records) -> String {
    let mut text = "| record | program | figure | mode | over | form | slope | offset | fitted | residual | spread | largest | predicted | played | error | used |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    let mut seen = BTreeSet::new();
    for (section, _) in SECTIONS {
        for requirement in requirements(section) {
            let Source::CalmRuns { record, mode, figure, target_sizes } = requirement.source else {
                continue;
            };
            let lines = records.lines(record);
            let all = target_sizes.iter().flat_map(|target_size| {
                fit::programs(lines).into_iter().map(|program| (target_size.axis(), program))
            });
            for (axis, program) in all {
                let Ok(fit) = fit::fit_program(lines, program, axis, mode, figure) else { continue };
                if !seen.insert((record, program, figure, mode, axis)) {
                    continue;
                }
                let form = match fit.form {
                    Form::Constant => "constant",
                    Form::Log => "ln n",
                    Form::Linear => "n",
                    Form::Square => "n²",
                    Form::Product => "n·m",
                };
                // An offset this small beside the figure is a floating-point rounding error of zero.
                let offset = if fit.offset.abs() < fit.measured.abs() * 1e-9 { 0.0 } else { fit.offset };
                let [slope, offset] = [fit.slope, offset].map(|value| format_number(round_up(value, 6)));
                let [residual, spread, error] = [fit.residual, fit.spread, fit.relative_error]
                    .map(|value| format_number(round_up_to_thousandth(value)));
                let [predicted, played] =
                    [fit.predicted, fit.measured].map(|value| format_number(round_up(value, 4)));
                let failed = fit::points_of_program(lines, program, axis, mode, figure);
                let failed = failed.and_then(|points| points.first_uncalibrated_beyond());
                let used = match failed {
                    _ if fit.relative_error > MAX_RELATIVE_ERROR => "no".to_string(),
                    Some(failed) => format!("not beyond: calibration failed at {}", format_number(failed)),
                    None => "yes".to_string(),
                };
                let program = program.unwrap_or(UNNAMED_PROGRAM);
                _ = writeln!(
                    text,
                    "| {record} | {program} | {figure} | {} | {} | {form} | {slope} | {offset} | {} | {residual} | {spread} | {} | {predicted} | {played} | {error} | {used} |",
                    mode.name(),
                    axis.name(),
                    fit.points,
                    format_number(fit.largest_size),
                );
            }
        }
    }
    text
}

/// Returns the plots for which there are enough points: file name, figure and axis.
pub fn plot_files(records: &Records) -> Vec<(String, &'static str, Axis)> {
    let has_enough_points = |figure: &str, axis: Axis| {
        let sizes = |mode| {
            fit::newest_points(records.lines(MEASURED_RECORD), axis, mode, figure)
                .map_or(0, |points| points.points.len())
        };
        Mode::ALL.into_iter().any(|mode| sizes(mode) >= fit::MIN_SIZES)
    };
    let name =
        |figure: &str| figure.split('+').next().unwrap_or_default().replace("_in_s", "").replace('_', "-");
    let available = PLOTS.into_iter().filter(|(figure, axis)| has_enough_points(figure, *axis));
    available
        .map(|(figure, axis)| (format!("scale-{}-{}.svg", name(figure), axis.name()), figure, axis))
        .collect()
}

/// Returns links to the plots.
pub fn plots(records: &Records) -> String {
    let available = plot_files(records);
    let link = |(file, figure, axis): &(String, &str, Axis)| {
        format!("![{figure} over {}](measurements/{file})\n", axis.name())
    };
    if available.is_empty() {
        "Nothing was played at enough sizes.\n".to_string()
    } else {
        available.iter().map(link).collect()
    }
}

/// Returns the table of the runs, with the bounds that they broke.
pub fn runs(records: &Records) -> String {
    let mut text =
        "| record | program | mode | fault | runs | routers | databases | instances | bounds broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
    for (record, lines) in &records.0 {
        let mut groups = BTreeMap::<(&str, Mode, &str), Vec<(&Sizes, &[record::Bound])>>::new();
        for line in lines {
            if let Line::Run { fault, program, sizes, bounds, .. } = line {
                let program = program.as_deref().unwrap_or(UNNAMED_PROGRAM);
                groups
                    .entry((program, sizes.mode, fault.as_deref().unwrap_or("calm")))
                    .or_default()
                    .push((sizes, bounds));
            }
        }
        for ((program, mode, fault), runs) in groups {
            let span = |size: fn(&Sizes) -> usize| {
                let (least, most) = runs.iter().fold((usize::MAX, 0), |(low, high), (sizes, _)| {
                    (low.min(size(sizes)), high.max(size(sizes)))
                });
                if least == most {
                    format_number(most as f64)
                } else {
                    format!("{} to {}", format_number(least as f64), format_number(most as f64))
                }
            };
            let broken = runs.iter().flat_map(|(sizes, bounds)| {
                bounds.iter().filter(|bound| !bound.held).map(|bound| {
                    let (routers, databases) =
                        (format_number(sizes.routers as f64), format_number(sizes.databases as f64));
                    let [value, limit] =
                        [bound.value, bound.limit].map(|value| format_number(round_up(value, 4)));
                    format!("{} {value} for {limit} at {routers} × {databases}", bound.figure)
                })
            });
            let broken: Vec<String> = broken.collect();
            let broken = if broken.is_empty() { "none".to_string() } else { broken.join("; ") };
            _ = writeln!(
                text,
                "| {record} | {program} | {} | {fault} | {} | {} | {} | {} | {broken} |",
                mode.name(),
                runs.len(),
                span(|sizes| sizes.routers),
                span(|sizes| sizes.databases),
                span(|sizes| sizes.control),
            );
        }
    }
    text
}
