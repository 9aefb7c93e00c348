//! Record files of scale runs, one JSON object per line: the sizes of each run and the figures measured in
//! it.
//!
//! Figures have names that end in their unit, so that a row of the capacity page can cite the figure it is
//! based on. `docs/measurements/README.md` lists the names and their meanings.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// How routers observe databases in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Each router observes the databases by itself.
    Off,
    /// All routers are members of one fleet and send each other all of their observations.
    Shared,
    /// Control instances form the fleet, and each router subscribes to the feed of two of them.
    Feed,
}

/// The size that a series of runs varies while all other sizes stay the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// Number of routers.
    Routers,
    /// Number of databases.
    Databases,
    /// Client connections per real router.
    Connections,
    /// Statements per second and real router.
    Statements,
    /// Changes of databases per second, over the whole fleet.
    Changes,
}

/// The sizes of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sizes {
    /// How routers observe databases.
    pub mode: Mode,
    /// Number of all routers, hollow and real.
    pub routers: usize,
    /// Number of real routers, each a process.
    pub real: usize,
    /// Number of processes that host the hollow routers.
    pub hollow_processes: usize,
    /// Number of control instances.
    pub control: usize,
    /// Number of databases.
    pub databases: usize,
    /// Client connections per real router.
    pub connections: usize,
    /// Statements per second and real router.
    pub statements: f64,
    /// Changes of databases per second, over the whole fleet.
    pub changes: f64,
    /// Interval at which each database is probed by all probers together, in seconds.
    pub period_s: f64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Length of the measurement in seconds.
    pub seconds: f64,
}

/// An upper bound on a figure, and whether the run kept it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// Name of the figure.
    pub figure: String,
    /// Measured value.
    #[serde(rename = "is")]
    pub value: f64,
    /// Largest allowed value.
    #[serde(rename = "most")]
    pub limit: f64,
    /// Whether the value is within the limit.
    pub held: bool,
}

/// One line of a record file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Line {
    /// One run, without a fault (calm) or with one.
    Run {
        /// The axis that this run is a point of, if any.
        axis: Option<Axis>,
        /// Name of the injected fault, or none in a calm run.
        fault: Option<String>,
        /// Short name of the program version, for versions whose cost differs from that of older runs. The
        /// first version has no name.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        program: Option<String>,
        /// The sizes of the run.
        sizes: Sizes,
        /// Measured figures by name.
        figures: BTreeMap<String, f64>,
        /// Bounds that were checked.
        bounds: Vec<Bound>,
    },
    /// A figure fitted over an axis. The largest size is left out of the fit, and its prediction is compared
    /// with the measurement.
    Fit(Fit),
}

/// A fitted curve; see [`crate::fit`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The program version whose runs were fitted. Runs of different versions are never mixed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<String>,
    /// The size that varies.
    pub axis: Axis,
    /// The mode of the runs.
    pub mode: Mode,
    /// A name, or several joined by `+`, whose sum is fitted.
    pub figure: String,
    /// Form of the curve.
    pub form: Form,
    /// `figure = offset + slope * form(size)`
    pub slope: f64,
    /// See `slope`.
    pub offset: f64,
    /// The largest deviation of the curve from a fitted point, relative to that point.
    pub residual: f64,
    /// Half the distance between the smallest and the largest run of one size, relative to their mean. Of all
    /// sizes, the widest.
    pub spread: f64,
    /// Number of fitted points.
    pub points: usize,
    /// The largest size, which is not fitted.
    #[serde(rename = "largest")]
    pub largest_size: f64,
    /// The figure that the curve predicts at the largest size.
    pub predicted: f64,
    /// The figure that was measured at the largest size.
    #[serde(rename = "played")]
    pub measured: f64,
    /// `|predicted - measured| / measured`
    #[serde(rename = "error")]
    pub relative_error: f64,
}

/// How a figure depends on a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// Does not depend on it.
    Constant,
    /// Grows with its logarithm.
    Log,
    /// Grows with it.
    Linear,
    /// Grows with its square.
    Square,
    /// Grows with routers times databases. On either of these axes the other size is the one at which it was
    /// held.
    Product,
}

impl Axis {
    /// All axes, in the order of the records.
    pub const ALL: [Self; 5] =
        [Self::Routers, Self::Databases, Self::Connections, Self::Statements, Self::Changes];

    /// Returns the name in records.
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
    /// All modes, in the order of the records.
    pub const ALL: [Self; 3] = [Self::Off, Self::Shared, Self::Feed];

    /// Returns the name in records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Shared => "shared",
            Self::Feed => "feed",
        }
    }
}

/// A line of a record file that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("{}:{number}: {error}", path.display())]
struct InvalidLine {
    path: PathBuf,
    /// Line number, from 1.
    number: usize,
    error: serde_json::Error,
}

/// Reads a record file.
///
/// # Errors
/// The file cannot be read, or a line of it cannot be parsed; the error names the file and the line.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for (number, line) in (1..).zip(BufReader::new(File::open(path)?).lines()) {
        let invalid = |error| InvalidLine { path: path.to_path_buf(), number, error };
        lines.push(serde_json::from_str(&line?).map_err(|error| io::Error::other(invalid(error)))?);
    }
    Ok(lines)
}

/// Replaces the contents of a record file atomically: on an error the old contents stay.
///
/// # Errors
/// The file cannot be written.
pub fn write(path: &Path, lines: &[Line]) -> io::Result<()> {
    let mut text = String::new();
    for line in lines {
        text += &serde_json::to_string(line)?;
        text.push('\n');
    }
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}
