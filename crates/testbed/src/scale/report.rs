//! Executes runs one after the other, checks them against their bounds and reports them: a line for each run
//! appended to the record file, and one JSON object at the end of the output.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

use serde::Serialize;

use crate::record::{Bound, Line, Sizes};
use crate::scale::bounds;
use crate::scale::run::{Programs, RunError, RunSpec, run};

/// A `--bound` option that is invalid.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum BoundError {
    /// It has no `=`.
    #[error("bound: expected FIGURE=VALUE, found {0}")]
    InvalidForm(String),
    /// The text after the `=` is not a number.
    #[error("bound: expected FIGURE=VALUE, found {0}")]
    InvalidValue(String),
}

/// Parses a `--bound` option.
///
/// # Errors
/// The text is not of the form `FIGURE=VALUE`.
pub fn bound(text: &str) -> Result<(String, f64), BoundError> {
    let (figure, value) = text.split_once('=').ok_or_else(|| BoundError::InvalidForm(text.to_string()))?;
    let value = value.parse().map_err(|_| BoundError::InvalidValue(text.to_string()))?;
    Ok((figure.to_string(), value))
}

/// The last line of the output.
#[derive(Serialize)]
struct Verdict<'a> {
    held: bool,
    runs: Vec<RunVerdict<'a>>,
    /// Bounds of the command line on figures that no run has.
    without_figure: Vec<&'a str>,
}

#[derive(Serialize)]
struct RunVerdict<'a> {
    sizes: &'a Sizes,
    fault: &'a Option<String>,
    figures: &'a BTreeMap<String, f64>,
    bounds: &'a [Bound],
}

/// Executes the runs and reports them. Returns whether all bounds held.
///
/// # Errors
/// A run failed, or the record cannot be written.
pub fn run_all(
    specs: &[RunSpec],
    programs: &Programs,
    extra_bounds: &[(String, f64)],
    record: Option<&Path>,
    quiet: bool,
) -> Result<bool, RunError> {
    let mut report = RunReport { lines: Vec::new(), extra_bounds, record, quiet };
    for spec in specs {
        report.add_run(run(spec, programs)?)?;
    }
    let lines = report.lines;
    let mut runs = Vec::new();
    for line in &lines {
        if let Line::Run { sizes, fault, figures, bounds, .. } = line {
            runs.push(RunVerdict { sizes, fault, figures, bounds });
        }
    }
    let has = |name: &str| runs.iter().any(|run| run.bounds.iter().any(|bound| bound.figure == name));
    let without_figure: Vec<&str> =
        extra_bounds.iter().map(|(name, _)| name.as_str()).filter(|name| !has(name)).collect();
    let broken = |run: &RunVerdict<'_>| run.bounds.iter().any(|bound| !bound.held);
    // A bound on a figure that no run has counts as failed.
    let held = without_figure.is_empty() && !runs.iter().any(broken);
    let verdict = Verdict { held, runs, without_figure };
    println!("{}", serde_json::to_string(&verdict).map_err(std::io::Error::from)?);
    Ok(held)
}

/// The runs completed so far, and where they are reported.
pub struct RunReport<'a> {
    /// The runs, in the order of execution.
    pub lines: Vec<Line>,
    /// Bounds of the command line, as figure names and values.
    pub extra_bounds: &'a [(String, f64)],
    /// The file that each run is appended to.
    pub record: Option<&'a Path>,
    /// Whether to print nothing about each run.
    pub quiet: bool,
}

impl RunReport<'_> {
    /// Checks a run against the bounds of the command line and against earlier runs, then prints and records
    /// it; the recorded line thus has every bound that was checked.
    ///
    /// # Errors
    /// The record cannot be written.
    pub fn add_run(&mut self, mut line: Line) -> std::io::Result<()> {
        add_comparison(&self.lines, &mut line);
        apply_extra_bounds(&mut line, self.extra_bounds);
        if !self.quiet {
            print_run(&line);
        }
        if let Some(path) = self.record {
            let mut file = OpenOptions::new().create(true).append(true).open(path)?;
            writeln!(file, "{}", serde_json::to_string(&line)?)?;
        }
        self.lines.push(line);
        Ok(())
    }
}

/// Adds the bound on two runs, if an earlier one has half the databases, to the later one.
fn add_comparison(before: &[Line], line: &mut Line) {
    let Line::Run { sizes, figures, bounds: held, fault: None, .. } = line else { return };
    let found = before.iter().find_map(|line| match line {
        Line::Run { sizes: once, figures: of_once, fault: None, .. } => {
            bounds::twice_the_databases((once, of_once), (sizes, figures))
        }
        _ => None,
    });
    held.extend(found);
}

/// Applies the bounds of the command line; they replace bounds on the same figure.
fn apply_extra_bounds(line: &mut Line, extra_bounds: &[(String, f64)]) {
    let Line::Run { figures, bounds, .. } = line else { return };
    for (name, most) in extra_bounds {
        let known = bounds.iter().find(|bound| bound.figure == *name).map(|bound| bound.value);
        let Some(value) = known.or_else(|| figures.get(name).copied()) else { continue };
        bounds.retain(|bound| bound.figure != *name);
        bounds.push(Bound { figure: name.clone(), value, limit: *most, held: value <= *most });
    }
}

fn print_run(line: &Line) {
    let Line::Run { sizes, fault, figures, bounds, .. } = line else { return };
    let fault = fault.as_ref().map_or(String::new(), |fault| format!(", {fault}"));
    println!(
        "{:?}: {} routers ({} real), {} databases, {} control, {} s{fault}",
        sizes.mode, sizes.routers, sizes.real, sizes.databases, sizes.control, sizes.seconds
    );
    for (name, value) in figures {
        println!("  {name:>28} {value:.4}");
    }
    for bound in bounds {
        let Bound { figure, value, limit, held } = bound;
        println!("  {figure:>28} {value:.4} <= {limit:.4}: {}", if *held { "held" } else { "BROKEN" });
    }
}
