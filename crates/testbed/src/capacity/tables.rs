//! The page's tables, in Markdown.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use super::Records;
use super::asks::{MEASURED_RECORD, PLOTS, SECTIONS, Sharing, Source, requirements};
use super::numbers::{format_number, round_up, round_up_to_thousandth};
use super::rows::{HEAD, Ratio, Row, rows};
use crate::fit::{self, MAX_RELATIVE_ERROR};
use crate::record::{self, Axis, Form, Line, Mode, Sizes};

/// What stands for a program without a name.
const FIRST: &str = "–";

/// The rows of a section.
pub fn table(section: &str, records: &Records) -> String {
    let lines = requirements(section).into_iter().flat_map(|ask| rows(&ask, records)).map(|row| row.line());
    HEAD.to_string() + &lines.collect::<String>()
}

/// What is over its budget, the worst first, and what nobody knows.
pub fn missing(sides: &[Sharing], records: &Records) -> String {
    let mut over = Vec::<(Ratio, &str, Row)>::new();
    let (mut unknown, mut unjudged) = (Vec::new(), Vec::new());
    for (section, when) in SECTIONS {
        for ask in requirements(section).iter().filter(|ask| sides.contains(&ask.sharing)) {
            let rows = rows(ask, records);
            let worst = rows.iter().filter_map(|row| Some((row.ratio()?, row)));
            match worst.max_by(|one, other| one.0.is.total_cmp(&other.0.is)) {
                Some((ratio, row)) if ratio.is > 1.0 => over.push((ratio, when, row.clone())),
                Some(_) => {}
                None if rows.iter().all(|row| row.figure.is_none()) => {
                    unknown.push(format!("{}: {} ({when})", ask.role, ask.quantity));
                }
                None if rows.iter().any(Row::is_unjudged) => {
                    unjudged.push(format!("{}: {} ({when})", ask.role, ask.quantity));
                }
                None => {}
            }
        }
    }
    over.sort_by(|one, other| other.0.is.total_cmp(&one.0.is));
    let mut told =
        "| ratio | role | what | when | basis | mechanism |\n| --- | --- | --- | --- | --- | --- |\n"
            .to_string();
    for (ratio, when, row) in &over {
        let ratio = ratio.told();
        _ = writeln!(
            told,
            "| {ratio} | {} | {} | {when} | {} | {} |",
            row.role, row.what, row.basis, row.mechanism
        );
    }
    match over.first() {
        Some((ratio, when, row)) => {
            let (ratio, by) = (ratio.told(), &row.record);
            _ = writeln!(
                told,
                "\nFirst: {}, {} ({when}): {ratio} times its budget ({}; {by}).",
                row.role, row.what, row.basis
            );
        }
        None => told += "\nNothing that is known is over its budget.\n",
    }
    if !unjudged.is_empty() {
        _ = writeln!(
            told,
            "\nKnown below the target, before other instances or at another period alone, so that the budget judges nothing: {}.",
            unjudged.join("; ")
        );
    }
    if !unknown.is_empty() {
        _ = writeln!(told, "\nNot measured: {}.", unknown.join("; "));
    }
    told
}

/// The fits that the rows look at, each once.
pub fn slopes(records: &Records) -> String {
    let mut told = "| record | program | figure | mode | over | form | slope | offset | fitted | residual | spread | largest | predicted | played | error | used |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    let mut seen = BTreeSet::new();
    for (section, _) in SECTIONS {
        for ask in requirements(section) {
            let Source::CalmRuns { record, mode, figure, over } = ask.source else { continue };
            let lines = records.lines(record);
            let all =
                over.iter().flat_map(|over| fit::programs(lines).into_iter().map(|of| (over.axis(), of)));
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
                // What an offset's binary form leaves of nothing is nothing.
                let offset = if fit.offset.abs() < fit.measured.abs() * 1e-9 { 0.0 } else { fit.offset };
                let [slope, offset] = [fit.slope, offset].map(|is| format_number(round_up(is, 6)));
                let [residual, spread, error] = [fit.residual, fit.spread, fit.relative_error]
                    .map(|is| format_number(round_up_to_thousandth(is)));
                let [predicted, played] =
                    [fit.predicted, fit.measured].map(|is| format_number(round_up(is, 4)));
                let failed = fit::points_of_program(lines, program, axis, mode, figure);
                let failed = failed.and_then(|points| points.first_uncalibrated_beyond());
                let used = match failed {
                    _ if fit.relative_error > MAX_RELATIVE_ERROR => "no".to_string(),
                    Some(failed) => format!("not beyond: calibration failed at {}", format_number(failed)),
                    None => "yes".to_string(),
                };
                let program = program.unwrap_or(FIRST);
                _ = writeln!(
                    told,
                    "| {record} | {program} | {figure} | {} | {} | {form} | {slope} | {offset} | {} | {residual} | {spread} | {} | {predicted} | {played} | {error} | {used} |",
                    mode.name(),
                    axis.name(),
                    fit.points,
                    format_number(fit.largest_size),
                );
            }
        }
    }
    told
}

/// The drawings that there are points for, by their files' names.
pub fn drawings(records: &Records) -> Vec<(String, &'static str, Axis)> {
    let is_played = |figure: &str, axis: Axis| {
        let sizes = |mode| {
            fit::newest_points(records.lines(MEASURED_RECORD), axis, mode, figure)
                .map_or(0, |of| of.points.len())
        };
        Mode::ALL.into_iter().any(|mode| sizes(mode) >= fit::MIN_SIZES)
    };
    let name =
        |figure: &str| figure.split('+').next().unwrap_or_default().replace("_in_s", "").replace('_', "-");
    let drawn = PLOTS.into_iter().filter(|(figure, axis)| is_played(figure, *axis));
    drawn
        .map(|(figure, axis)| (format!("scale-{}-{}.svg", name(figure), axis.name()), figure, axis))
        .collect()
}

/// Links to the drawings.
pub fn plots(records: &Records) -> String {
    let drawn = drawings(records);
    let link = |(file, figure, axis): &(String, &str, Axis)| {
        format!("![{figure} over {}](measurements/{file})\n", axis.name())
    };
    if drawn.is_empty() {
        "Nothing was played at enough sizes.\n".to_string()
    } else {
        drawn.iter().map(link).collect()
    }
}

/// What was played, and which bounds of a run were broken.
pub fn runs(records: &Records) -> String {
    let mut told =
        "| record | program | mode | fault | runs | routers | databases | instances | bounds broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
    for (record, lines) in &records.0 {
        let mut groups = BTreeMap::<(&str, Mode, &str), Vec<(&Sizes, &[record::Bound])>>::new();
        for line in lines {
            if let Line::Run { fault, program, sizes, bounds, .. } = line {
                let program = program.as_deref().unwrap_or(FIRST);
                groups
                    .entry((program, sizes.mode, fault.as_deref().unwrap_or("calm")))
                    .or_default()
                    .push((sizes, bounds));
            }
        }
        for ((program, mode, fault), runs) in groups {
            let span = |of: fn(&Sizes) -> usize| {
                let (least, most) = runs.iter().fold((usize::MAX, 0), |(low, high), (sizes, _)| {
                    (low.min(of(sizes)), high.max(of(sizes)))
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
                    let [is, most] = [bound.value, bound.limit].map(|is| format_number(round_up(is, 4)));
                    format!("{} {is} for {most} at {routers} × {databases}", bound.figure)
                })
            });
            let broken: Vec<String> = broken.collect();
            let broken = if broken.is_empty() { "none".to_string() } else { broken.join("; ") };
            _ = writeln!(
                told,
                "| {record} | {program} | {} | {fault} | {} | {} | {} | {} | {broken} |",
                mode.name(),
                runs.len(),
                span(|sizes| sizes.routers),
                span(|sizes| sizes.databases),
                span(|sizes| sizes.control),
            );
        }
    }
    told
}
