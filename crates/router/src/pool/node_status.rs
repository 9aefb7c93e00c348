//! The state that nodes report along with their answers: run-time parameters and load reports.

use std::time::Duration;

use quillpoint::host::{LoadReport, Role};

use super::ConnectionPool;
use crate::engine::NodeResponse;

impl ConnectionPool {
    /// Stores a run-time parameter that arrived with a response. Ignores parameters of other names.
    pub(super) fn record_parameter(&self, name: &str, value: &str, response: &mut NodeResponse) {
        match (name, value) {
            ("role", "primary") => response.role = Some(Role::Primary),
            ("role", "replica") => response.role = Some(Role::Replica),
            ("applied_ms", ms) => response.position = ms.parse().ok().map(Duration::from_millis),
            ("load", report) => response.report = self.parse_load_report(report),
            _ => {}
        }
    }

    /// Parses a load report: comma-separated `name=value` pairs, or bare values in the order of the
    /// configured report fields. Returns `None` if any value is not a number.
    pub(super) fn parse_load_report(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for (index, pair) in text.split(',').enumerate() {
            let field = self.report_fields.get(index).map_or("", String::as_str);
            let (name, value) = pair.split_once('=').unwrap_or((field, pair));
            quillpoint_settings::set_report_field(
                &mut report,
                name.trim(),
                value.trim().parse().ok()?,
                Duration::ZERO,
            );
        }
        Some(report)
    }
}
