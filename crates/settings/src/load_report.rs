//! Reads the fields of load reports by the platform's names.

use std::time::Duration;

use quillpoint::host::LoadReport;

use crate::duration_from_ms;

/// Sets the field of a load report that the platform calls `name`. A field can have two names: one in the
/// protocol of the simulator and one in the responses of nodes. Unknown names are ignored.
///
/// Log positions are in seconds since `origin`.
pub fn set_report_field(report: &mut LoadReport, name: &str, value: f64, origin: Duration) {
    match name {
        "x0" => report.position = Some(origin + duration_from_ms(value * 1000.0)),
        "x1" => report.primary = Some(value > 0.0),
        "active" | "inflight" => report.in_flight = Some(value),
        "waiting" | "queue" => report.queued = Some(value),
        _ => {}
    }
}
