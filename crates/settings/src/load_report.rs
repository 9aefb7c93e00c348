//! The fields of load reports, by the platform's names.

use std::time::Duration;

use quillpoint::host::LoadReport;

use crate::duration_from_ms;

/// Sets the field that has this name on the simulator's wire or in a node's answers; skips other names.
///
/// A log position is given in seconds after `origin`.
pub fn set_report_field(report: &mut LoadReport, name: &str, value: f64, origin: Duration) {
    match name {
        "x0" => report.position = Some(origin + duration_from_ms(value * 1000.0)),
        "x1" => report.primary = Some(value > 0.0),
        "active" | "inflight" => report.in_flight = Some(value),
        "waiting" | "queue" => report.queued = Some(value),
        _ => {}
    }
}
