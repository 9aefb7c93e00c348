//! A process of stand-ins (databases, or hollow routers): it reads orders and writes reports, a JSON line each.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::process::{CapturedStream, Process};
use crate::scale::orders::Order;

/// How long a report is awaited.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running process and what it stands in for.
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

    /// Waits for the first report, which says that all of it is listening.
    pub(super) fn await_up<R: DeserializeOwned>(&self) -> std::io::Result<R> {
        self.report(0)
    }

    /// The report at this place of the output.
    pub(super) fn report<R: DeserializeOwned>(&self, place: usize) -> std::io::Result<R> {
        let found =
            self.process.wait_for_match(place, REPORT_TIMEOUT, |line| serde_json::from_str(line).ok());
        found.ok_or_else(|| std::io::Error::other(format!("a process of {} does not report", self.name)))
    }

    /// Sends an order and returns the place of its report among the lines of the output.
    pub(super) fn order(&mut self, order: &Order) -> std::io::Result<usize> {
        let place = self.process.line_count();
        self.process.send_line(&serde_json::to_string(order)?)?;
        Ok(place)
    }
}
