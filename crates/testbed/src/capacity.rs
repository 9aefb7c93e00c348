//! The tables of `docs/CAPACITY.md`: what the target's size asks of each role, from the records of runs.
//!
//! [`asks`] says which figure stands beside which budget. A row is made from a record's runs and says how: played at
//! that size, predicted by a fit that held, computed, or not measured. Every number is rounded up where it is shown, and
//! what follows is computed from what is shown. `measure/capacity` writes the page.

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

/// Why the page cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    #[error("{0}")]
    Record(#[from] std::io::Error),
    #[error("{0}: its fits are not those of its runs; run measure/fit on it first")]
    StaleFits(&'static str),
    #[error("the page has no marker {0}")]
    MissingMarker(String),
    #[error("the page's marker {0} has no end")]
    UnterminatedMarker(String),
    #[error("the page's marker {0} is not known")]
    UnknownMarker(String),
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// The records that the rows rest on, by name. One that is not there holds nothing.
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

/// Whether the fits of a record are those that its runs give.
pub fn fits_are_current(lines: &[Line]) -> bool {
    let written: Vec<&Fit> =
        lines.iter().filter_map(|line| if let Line::Fit(fit) = line { Some(fit) } else { None }).collect();
    let due = fit::fit_all(lines);
    let near = |one: f64, other: f64| (one - other).abs() <= 1e-9 * one.abs().max(other.abs()).max(1e-9);
    written.len() == due.len()
        && written.iter().zip(&due).all(|(one, other)| {
            one.program == other.program
                && (one.axis, one.mode, &one.figure, one.form)
                    == (other.axis, other.mode, &other.figure, other.form)
                && near(one.slope, other.slope)
                && near(one.offset, other.offset)
                && near(one.relative_error, other.relative_error)
        })
}

fn block(name: &str, records: &Records) -> Option<String> {
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

/// The page with each of its marked parts made anew from the records in the folder. The prose stays.
///
/// # Errors
/// A record cannot be read or has not been fitted, or the page's markers are at fault.
pub fn fill_page(page: &str, folder: &Path) -> Result<String, PageError> {
    let records = Records::read(folder)?;
    let (mut made, mut rest, mut seen) = (String::new(), page, BTreeSet::new());
    while let Some(at) = rest.find(BEGIN) {
        let name = rest[at + BEGIN.len()..].split(" -->").next().unwrap_or_default();
        let filled = block(name, &records).ok_or_else(|| PageError::UnknownMarker(name.to_string()))?;
        let end = rest[at..].find(END).ok_or_else(|| PageError::UnterminatedMarker(name.to_string()))?;
        _ = write!(made, "{}{BEGIN}{name} -->\n{filled}{END}", &rest[..at]);
        seen.insert(name);
        rest = &rest[at + end + END.len()..];
    }
    made += rest;
    let all = SECTIONS.iter().map(|(name, _)| *name).chain([
        "missing-today",
        "missing-feed",
        "slopes",
        "plots",
        "runs",
    ]);
    match all.into_iter().find(|name| !seen.contains(name)) {
        Some(name) => Err(PageError::MissingMarker(name.to_string())),
        None => Ok(made),
    }
}

/// Draws what the page links to, into the folder of the records. The files drawn.
///
/// # Errors
/// A record cannot be read or has not been fitted, or a file cannot be written.
pub fn draw_plots(folder: &Path) -> Result<Vec<String>, PageError> {
    let records = Records::read(folder)?;
    let mut drawn = Vec::new();
    for (file, figure, axis) in tables::drawings(&records) {
        crate::chart::draw(&folder.join(&file), records.lines(MEASURED_RECORD), axis, figure)?;
        drawn.push(file);
    }
    Ok(drawn)
}
