//! Plays what is wanted one after the other, holds it against its bounds, and tells of it: a line for each size to a
//! record, one JSON object last.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

use serde::Serialize;

use crate::record::{Bound, Line, Sizes};
use crate::scale::bounds;
use crate::scale::play::{Failed, Play, Programs, play};

/// A text of the command line that is no bound.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum BoundError {
    /// It has no `=`.
    #[error("bound: expected FIGURE=VALUE, found {0}")]
    InvalidForm(String),
    /// What stands behind the `=` is no number.
    #[error("bound: expected FIGURE=VALUE, found {0}")]
    InvalidValue(String),
}

/// A bound as the command line says it.
///
/// # Errors
/// It is no `FIGURE=VALUE`.
pub fn bound(text: &str) -> Result<(String, f64), BoundError> {
    let (figure, value) = text.split_once('=').ok_or_else(|| BoundError::InvalidForm(text.to_string()))?;
    let value = value.parse().map_err(|_| BoundError::InvalidValue(text.to_string()))?;
    Ok((figure.to_string(), value))
}

/// The last line.
#[derive(Serialize)]
struct Verdict<'a> {
    held: bool,
    runs: Vec<Told<'a>>,
    /// Bounds of the command line on figures that no run has.
    without_figure: Vec<&'a str>,
}

#[derive(Serialize)]
struct Told<'a> {
    sizes: &'a Sizes,
    fault: &'a Option<String>,
    figures: &'a BTreeMap<String, f64>,
    bounds: &'a [Bound],
}

/// Whether all bounds held.
///
/// # Errors
/// A run could not be played, or the record not written.
pub fn play_all(
    plays: &[Play],
    programs: &Programs,
    tighter: &[(String, f64)],
    record: Option<&Path>,
    quiet: bool,
) -> Result<bool, Failed> {
    let mut played = Played { lines: Vec::new(), tighter, record, quiet };
    for wanted in plays {
        played.enter(play(wanted, programs)?)?;
    }
    let lines = played.lines;
    let mut runs = Vec::new();
    for line in &lines {
        if let Line::Run { sizes, fault, figures, bounds, .. } = line {
            runs.push(Told { sizes, fault, figures, bounds });
        }
    }
    let has = |name: &str| runs.iter().any(|run| run.bounds.iter().any(|bound| bound.figure == name));
    let without_figure: Vec<&str> =
        tighter.iter().map(|(name, _)| name.as_str()).filter(|name| !has(name)).collect();
    let broken = |run: &Told<'_>| run.bounds.iter().any(|bound| !bound.held);
    // A bound that nothing is held against holds nothing.
    let held = without_figure.is_empty() && !runs.iter().any(broken);
    let verdict = Verdict { held, runs, without_figure };
    println!("{}", serde_json::to_string(&verdict).map_err(std::io::Error::from)?);
    Ok(held)
}

/// What was played so far, and where it is told of.
pub struct Played<'a> {
    pub lines: Vec<Line>,
    pub tighter: &'a [(String, f64)],
    pub record: Option<&'a Path>,
    pub quiet: bool,
}

impl Played<'_> {
    /// Holds a run against its bounds and against the earlier ones before it is told and written, so that a record has
    /// all bounds that were held.
    ///
    /// # Errors
    /// The record cannot be written.
    pub fn enter(&mut self, mut line: Line) -> std::io::Result<()> {
        compare(&self.lines, &mut line);
        hold(&mut line, self.tighter);
        if !self.quiet {
            tell(&line);
        }
        if let Some(path) = self.record {
            let mut file = OpenOptions::new().create(true).append(true).open(path)?;
            writeln!(file, "{}", serde_json::to_string(&line)?)?;
        }
        self.lines.push(line);
        Ok(())
    }
}

/// What holds between two runs is entered with the later one.
fn compare(before: &[Line], line: &mut Line) {
    let Line::Run { sizes, figures, bounds: held, fault: None, .. } = line else { return };
    let found = before.iter().find_map(|line| match line {
        Line::Run { sizes: once, figures: of_once, fault: None, .. } => {
            bounds::twice((once, of_once), (sizes, figures))
        }
        _ => None,
    });
    held.extend(found);
}

/// Bounds of the command line replace those of the same name, or come on top of them.
fn hold(line: &mut Line, tighter: &[(String, f64)]) {
    let Line::Run { figures, bounds, .. } = line else { return };
    for (name, most) in tighter {
        let known = bounds.iter().find(|bound| bound.figure == *name).map(|bound| bound.value);
        let Some(value) = known.or_else(|| figures.get(name).copied()) else { continue };
        bounds.retain(|bound| bound.figure != *name);
        bounds.push(Bound { figure: name.clone(), value, limit: *most, held: value <= *most });
    }
}

fn tell(line: &Line) {
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
