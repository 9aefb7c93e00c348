//! A process of stand-ins (databases or hollow routers): reads commands and writes reports, each a JSON line.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::process::{CapturedStream, Process};
use crate::scale::commands::StandInCommand;

/// How long to wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running process and the name of what it stands in for.
pub(super) struct StandIn {
    pub(super) process: Process,
    name: &'static str,
}

impl StandIn {
    /// Starts the program and sends it its plan.
    pub(super) fn start(program: &Path, name: &'static str, plan: &impl Serialize) -> std::io::Result<Self> {
        let mut process = Process::start(Command::new(program), CapturedStream::Stdout)?;
        process.send_line(&serde_json::to_string(plan)?)?;
        Ok(Self { process, name })
    }

    /// Waits for the first report, which the process writes once all its addresses are bound.
    pub(super) fn await_up<R: DeserializeOwned>(&self) -> std::io::Result<R> {
        self.report(0)
    }

    /// Waits for a report in the output, from the line at `index` on.
    pub(super) fn report<R: DeserializeOwned>(&self, index: usize) -> std::io::Result<R> {
        let found =
            self.process.wait_for_match(index, REPORT_TIMEOUT, |line| serde_json::from_str(line).ok());
        found.ok_or_else(|| std::io::Error::other(format!("no report in time from {}", self.name)))
    }

    /// Sends a command and returns the index of the output line from which to look for its report.
    pub(super) fn send(&mut self, command: &StandInCommand) -> std::io::Result<usize> {
        let index = self.process.line_count();
        self.process.send_line(&serde_json::to_string(command)?)?;
        Ok(index)
    }
}
