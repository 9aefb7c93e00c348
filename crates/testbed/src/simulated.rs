//! Converts the records of `quillpoint-simulator` to scale records. Simulated runs are recognized in a record
//! by having neither real routers nor hollow processes.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use crate::record::{Line, Mode, Sizes};

/// Returns whether a file is a record of the simulator.
///
/// # Errors
/// The file cannot be read.
pub fn is_record(path: &Path) -> io::Result<bool> {
    let text = std::fs::read_to_string(path)?;
    let first = text
        .lines()
        .next()
        .and_then(|line| serde_json::from_str::<quillpoint_simulator::record::Run>(line).ok());
    Ok(first.is_some())
}

/// Reads a record of the simulator. Runs with loss or kills are left out, because they do not show a calm
/// fleet. The probe period and the length of a run are zero here, because only the experiment file contains
/// them.
///
/// # Errors
/// The file cannot be read, or a line is not a run; the error names the line.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let runs = quillpoint_simulator::record::read(path)?;
    let line = |run: quillpoint_simulator::record::Run| Line::Run {
        axis: None,
        fault: None,
        program: None,
        sizes: Sizes {
            mode: if run.shared { Mode::Shared } else { Mode::Off },
            routers: run.routers,
            real: 0,
            hollow_processes: 0,
            control: 0,
            databases: run.nodes,
            connections: 0,
            statements: 0.0,
            changes: 0.0,
            period_s: 0.0,
            seed: run.seed,
            seconds: 0.0,
        },
        figures: BTreeMap::from(
            [
                ("router_bytes_out_s", run.bytes_per_router_s),
                ("router_messages_out_s", run.datagrams_per_router_s),
                ("router_cpu_part", run.cpu_part),
                ("age_p50_s", run.age_p50_s),
                ("age_p99_s", run.age_p99_s),
                ("database_probes_s", run.probes_per_node_s),
            ]
            .map(|(name, value)| (name.to_string(), value)),
        ),
        bounds: Vec::new(),
    };
    Ok(runs.into_iter().filter(|run| run.kills == 0 && run.loss == 0.0).map(line).collect())
}
