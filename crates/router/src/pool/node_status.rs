//! What a node says of itself beside its answers: parameters, and the load report.

use std::time::Duration;

use quillpoint::host::{LoadReport, Role};

use super::ConnectionPool;
use crate::engine::NodeResponse;

impl ConnectionPool {
    /// Takes a parameter that came with a response; one of another name is passed over.
    pub(super) fn record_parameter(&self, name: &str, value: &str, response: &mut NodeResponse) {
        match (name, value) {
            ("role", "primary") => response.role = Some(Role::Primary),
            ("role", "replica") => response.role = Some(Role::Replica),
            ("applied_ms", ms) => response.position = ms.parse().ok().map(Duration::from_millis),
            ("load", report) => response.report = self.parse_load_report(report),
            _ => {}
        }
    }

    /// A load report: `name=value` pairs, or bare values in the order of the settings' names. None if any value is no
    /// number.
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
