//! What came of a run: one JSON object a line, each of which says all that it was made from.

use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Run {
    pub experiment: String,
    pub routers: usize,
    pub nodes: usize,
    pub shared: bool,
    pub seed: u64,
    pub loss: f64,
    pub kills: usize,
    /// Probes that reached a node in a second, from all routers: the mean over nodes, and the most of one.
    pub probes_per_node_s: f64,
    pub probes_per_node_s_max: f64,
    /// From one probe of a node to the next.
    pub gap_p50_s: f64,
    pub gap_p99_s: f64,
    pub gap_max_s: f64,
    /// How old a router's newest evidence on a node was, looked at evenly.
    pub age_p50_s: f64,
    pub age_p99_s: f64,
    /// Sent by a router.
    pub datagrams_per_router_s: f64,
    pub bytes_per_router_s: f64,
    /// Processor time of a router's decisions alone on the machine that played the run: no seed decides it.
    pub cpu_part: f64,
    /// How often a router that ran was taken for dead.
    pub false_deaths: u64,
}

impl Run {
    /// The figure of this name, for a plot.
    pub fn figure(&self, name: &str) -> Option<f64> {
        serde_json::to_value(self).ok()?.get(name)?.as_f64()
    }
}

/// # Errors
/// The file cannot be written.
pub fn append(path: &Path, run: &Run) -> std::io::Result<()> {
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
    writeln!(file, "{}", serde_json::to_string(run)?)
}

/// A line of a record that is no run.
#[derive(Debug, thiserror::Error)]
#[error("{}:{number}: {error}", path.display())]
struct InvalidLine {
    path: PathBuf,
    /// Counts from 1.
    number: usize,
    error: serde_json::Error,
}

/// # Errors
/// The file cannot be read, or a line is no run; it is named.
pub fn read(path: &Path) -> std::io::Result<Vec<Run>> {
    let mut runs = Vec::new();
    for (number, line) in (1..).zip(BufReader::new(std::fs::File::open(path)?).lines()) {
        let run = serde_json::from_str(&line?);
        let invalid = |error| InvalidLine { path: path.to_path_buf(), number, error };
        runs.push(run.map_err(|error| std::io::Error::other(invalid(error)))?);
    }
    Ok(runs)
}
