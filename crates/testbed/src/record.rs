//! Records of scale runs, one JSON object a line: what was played, and what was counted.
//!
//! Figures go by name, with their unit at the end of the name, so that a page's row can name the one it rests on.
//! The names and what they mean stand in `docs/measurements/README.md`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// How routers know of databases in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Each for itself.
    Off,
    /// All are members of one fleet and tell each other everything.
    Shared,
    /// Control instances are the fleet, and routers subscribe to two of them.
    Feed,
}

/// What is varied while all else is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    Routers,
    Databases,
    /// Client connections a real router.
    Connections,
    /// Statements a second a real router.
    Statements,
    /// Changes a second, over all.
    Changes,
}

/// What a run is made of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sizes {
    pub mode: Mode,
    /// All routers, hollow and real.
    pub routers: usize,
    pub real: usize,
    pub hollow_processes: usize,
    pub control: usize,
    pub databases: usize,
    pub connections: usize,
    pub statements: f64,
    pub changes: f64,
    /// How often each database is probed by all together, in seconds.
    pub period_s: f64,
    pub seed: u64,
    pub seconds: f64,
}

/// A bound on a figure, and whether it held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    pub figure: String,
    #[serde(rename = "is")]
    pub value: f64,
    #[serde(rename = "most")]
    pub limit: f64,
    pub held: bool,
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Line {
    /// One size, calm or with a fault.
    Run {
        /// The axis this run is a point of, if it is one.
        axis: Option<Axis>,
        fault: Option<String>,
        /// Which program was played, in a few words, where its cost is not that of older runs. The first has no name.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        program: Option<String>,
        sizes: Sizes,
        figures: BTreeMap<String, f64>,
        bounds: Vec<Bound>,
    },
    /// A figure over an axis: fitted without the largest size, which is predicted and compared with what was played.
    Fit(Fit),
}

/// See [`crate::fit`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The program whose runs these are, and no other's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<String>,
    pub axis: Axis,
    pub mode: Mode,
    /// A name, or several joined by `+`, whose sum is fitted.
    pub figure: String,
    pub form: Form,
    /// figure = offset + slope * form(size)
    pub slope: f64,
    pub offset: f64,
    /// The largest deviation of a fitted point, as a part of it.
    pub residual: f64,
    /// Half the distance between the least and the most of one size's runs, as a part of their mean: the widest.
    pub spread: f64,
    /// How many sizes were fitted.
    pub points: usize,
    #[serde(rename = "largest")]
    pub largest_size: f64,
    pub predicted: f64,
    #[serde(rename = "played")]
    pub measured: f64,
    /// |predicted - played| / played.
    #[serde(rename = "error")]
    pub relative_error: f64,
}

/// How a figure depends on a size. Over routers, `Product` is routers times databases held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    Constant,
    Log,
    Linear,
    Square,
    Product,
}

impl Axis {
    pub const ALL: [Self; 5] =
        [Self::Routers, Self::Databases, Self::Connections, Self::Statements, Self::Changes];

    /// The name in records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Routers => "routers",
            Self::Databases => "databases",
            Self::Connections => "connections",
            Self::Statements => "statements",
            Self::Changes => "changes",
        }
    }
}

impl Mode {
    pub const ALL: [Self; 3] = [Self::Off, Self::Shared, Self::Feed];

    /// The name in records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Shared => "shared",
            Self::Feed => "feed",
        }
    }
}

/// A line that is no record's.
#[derive(Debug, thiserror::Error)]
#[error("{}:{number}: {error}", path.display())]
struct InvalidLine {
    path: PathBuf,
    /// Counts from 1.
    number: usize,
    error: serde_json::Error,
}

/// # Errors
/// The file cannot be read, or a line of it is no record's; it is named.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for (number, line) in (1..).zip(BufReader::new(File::open(path)?).lines()) {
        let invalid = |error| InvalidLine { path: path.to_path_buf(), number, error };
        lines.push(serde_json::from_str(&line?).map_err(|error| io::Error::other(invalid(error)))?);
    }
    Ok(lines)
}

/// Puts these lines in the place of what the file holds, or leaves it as it is.
///
/// # Errors
/// The file cannot be written.
pub fn write(path: &Path, lines: &[Line]) -> io::Result<()> {
    let mut text = String::new();
    for line in lines {
        text += &serde_json::to_string(line)?;
        text.push('\n');
    }
    let beside = path.with_extension("new");
    std::fs::write(&beside, text)?;
    std::fs::rename(&beside, path)
}
