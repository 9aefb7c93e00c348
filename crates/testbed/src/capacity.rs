//! Generates the tables of `docs/CAPACITY.md`, which list the cost of each role at the target size, from the
//! records of runs.
//!
//! [`asks`] lists the figures and their budgets. A row is computed from the runs of a record and names its
//! basis: measured at that size, predicted by a usable fit, computed, or not measured. Every number is
//! rounded up where it is shown, and further numbers are computed from the rounded ones. `measure/capacity`
//! writes the page.

pub mod asks;
pub mod numbers;
mod rows;
mod tables;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::Path;

use asks::{MEASURED_RECORD, SECTIONS, SIMULATED_RECORD, Sharing};
use quillpoint_simulator::plot::PlotError;
pub use rows::is_simulated;

use crate::fit;
use crate::record::{self, Fit, Line};

/// Why the page cannot be generated.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// A record cannot be read.
    #[error("{0}")]
    Record(#[from] std::io::Error),
    /// A record lacks the fits of its runs.
    #[error("{0}: the fits in the record differ from those of its runs; run measure/fit on it first")]
    StaleFits(&'static str),
    /// A section has no begin marker in the page.
    #[error("the page has no marker {0}")]
    MissingMarker(String),
    /// A begin marker has no end marker.
    #[error("the page's marker {0} has no end marker after it")]
    UnterminatedMarker(String),
    /// A begin marker names no section.
    #[error("the page's marker {0} is not known")]
    UnknownMarker(String),
    /// A plot cannot be written.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// The records that the rows are computed from, by name. A missing file counts as an empty record.
struct Records(BTreeMap<&'static str, Vec<Line>>);

impl Records {
    fn read(folder: &Path) -> Result<Self, PageError> {
        let mut records = BTreeMap::new();
        for name in [MEASURED_RECORD, SIMULATED_RECORD] {
            let path = folder.join(name);
            let lines = if path.exists() { record::read(&path)? } else { Vec::new() };
            if !fits_are_current(&lines) {
                return Err(PageError::StaleFits(name));
            }
            records.insert(name, lines);
        }
        Ok(Self(records))
    }

    fn lines(&self, record: &str) -> &[Line] {
        self.0.get(record).map_or(&[], Vec::as_slice)
    }
}

/// Returns whether the fits in a record are those that its runs give.
pub fn fits_are_current(lines: &[Line]) -> bool {
    let written: Vec<&Fit> =
        lines.iter().filter_map(|line| if let Line::Fit(fit) = line { Some(fit) } else { None }).collect();
    let expected = fit::fit_all(lines);
    let is_near = |one: f64, other: f64| (one - other).abs() <= 1e-9 * one.abs().max(other.abs()).max(1e-9);
    written.len() == expected.len()
        && written.iter().zip(&expected).all(|(one, other)| {
            one.program == other.program
                && (one.axis, one.mode, &one.figure, one.form)
                    == (other.axis, other.mode, &other.figure, other.form)
                && is_near(one.slope, other.slope)
                && is_near(one.offset, other.offset)
                && is_near(one.relative_error, other.relative_error)
        })
}

/// Generates the part of the page with this marker, or `None` for an unknown marker.
fn section_content(name: &str, records: &Records) -> Option<String> {
    match name {
        "missing-today" => Some(tables::missing(&[Sharing::Shared, Sharing::Any], records)),
        "missing-feed" => Some(tables::missing(&[Sharing::Feed, Sharing::Any], records)),
        "slopes" => Some(tables::slopes(records)),
        "plots" => Some(tables::plots(records)),
        "runs" => Some(tables::runs(records)),
        section if SECTIONS.iter().any(|(name, _)| *name == section) => Some(tables::table(section, records)),
        _ => None,
    }
}

const BEGIN: &str = "<!-- begin ";
const END: &str = "<!-- end -->";

/// Returns the page with each part between markers regenerated from the records in the folder. Other text
/// stays as it is.
///
/// # Errors
/// A record cannot be read or lacks its fits, or a marker of the page is missing, unknown or without an end.
pub fn fill_page(page: &str, folder: &Path) -> Result<String, PageError> {
    let records = Records::read(folder)?;
    let (mut output, mut rest, mut seen) = (String::new(), page, BTreeSet::new());
    while let Some(begin) = rest.find(BEGIN) {
        let name = rest[begin + BEGIN.len()..].split(" -->").next().unwrap_or_default();
        let content =
            section_content(name, &records).ok_or_else(|| PageError::UnknownMarker(name.to_string()))?;
        let end = rest[begin..].find(END).ok_or_else(|| PageError::UnterminatedMarker(name.to_string()))?;
        _ = write!(output, "{}{BEGIN}{name} -->\n{content}{END}", &rest[..begin]);
        seen.insert(name);
        rest = &rest[begin + end + END.len()..];
    }
    output += rest;
    let all = SECTIONS.iter().map(|(name, _)| *name).chain([
        "missing-today",
        "missing-feed",
        "slopes",
        "plots",
        "runs",
    ]);
    match all.into_iter().find(|name| !seen.contains(name)) {
        Some(name) => Err(PageError::MissingMarker(name.to_string())),
        None => Ok(output),
    }
}

/// Writes the plots that the page links to into the folder of the records. Returns their file names.
///
/// # Errors
/// A record cannot be read or lacks its fits, or a file cannot be written.
pub fn draw_plots(folder: &Path) -> Result<Vec<String>, PageError> {
    let records = Records::read(folder)?;
    let mut plotted = Vec::new();
    for (file, figure, axis) in tables::plot_files(&records) {
        crate::chart::draw(&folder.join(&file), records.lines(MEASURED_RECORD), axis, figure)?;
        plotted.push(file);
    }
    Ok(plotted)
}
