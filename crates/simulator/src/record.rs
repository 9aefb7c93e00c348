//! Results of simulated runs, stored as JSON lines. Each line also carries the parameters of its run.

use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The parameters and results of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Run {
    /// Name of the experiment.
    pub experiment: String,
    /// Number of routers.
    pub routers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether the routers shared the probing, rather than each probing every node.
    pub shared: bool,
    /// Seed of the run's random decisions.
    pub seed: u64,
    /// Fraction of datagrams lost on every path.
    pub loss: f64,
    /// Number of times that a router was killed and started again.
    pub kills: usize,
    /// Probes per second that reached a node, from all routers together: the mean over all nodes.
    pub probes_per_node_s: f64,
    /// The same for the node that was probed most.
    pub probes_per_node_s_max: f64,
    /// Median time between two consecutive probes of a node, by any router.
    pub gap_p50_s: f64,
    /// 99th percentile of that time.
    pub gap_p99_s: f64,
    /// Maximum of that time.
    pub gap_max_s: f64,
    /// Median age of a router's newest observation of a node, sampled at regular intervals.
    pub age_p50_s: f64,
    /// 99th percentile of that age.
    pub age_p99_s: f64,
    /// Datagrams that a router sent per second, the mean over all routers.
    pub datagrams_per_router_s: f64,
    /// Bytes that a router sent per second, the mean over all routers.
    pub bytes_per_router_s: f64,
    /// Fraction of one CPU core that a router's state machine used on the machine that ran the simulation.
    /// Not determined by the seed.
    pub cpu_part: f64,
    /// How often a running router was declared dead by another.
    pub false_deaths: u64,
}

impl Run {
    /// Returns the numeric field with this serialized name, for a plot.
    pub fn figure(&self, name: &str) -> Option<f64> {
        serde_json::to_value(self).ok()?.get(name)?.as_f64()
    }
}

/// Appends a run to a record file, which is created if it does not exist.
///
/// # Errors
/// The file cannot be written.
pub fn append(path: &Path, run: &Run) -> std::io::Result<()> {
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
    writeln!(file, "{}", serde_json::to_string(run)?)
}

/// A line of a record file that does not parse as a [`Run`].
#[derive(Debug, thiserror::Error)]
#[error("{}:{line_number}: {error}", path.display())]
struct InvalidLine {
    path: PathBuf,
    /// Line number, counted from 1.
    line_number: usize,
    error: serde_json::Error,
}

/// Reads all runs of a record file.
///
/// # Errors
/// The file cannot be read, or a line does not parse as a [`Run`]; the error names the file and the line
/// number.
pub fn read(path: &Path) -> std::io::Result<Vec<Run>> {
    let mut runs = Vec::new();
    for (line_number, line) in (1..).zip(BufReader::new(std::fs::File::open(path)?).lines()) {
        let run = serde_json::from_str(&line?);
        let invalid = |error| InvalidLine { path: path.to_path_buf(), line_number, error };
        runs.push(run.map_err(|error| std::io::Error::other(invalid(error)))?);
    }
    Ok(runs)
}
