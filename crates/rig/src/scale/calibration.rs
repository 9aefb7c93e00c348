//! Whether hollow routers may stand for real ones: both in the same fleet, the same figures side by side.

use std::collections::BTreeMap;

use crate::record::Bound;

/// How far a hollow router's figure may lie from a real one's, as a part of it.
pub const ALLOWED: [(&str, f64); 6] = [
    ("messages_in_s", 0.05),
    ("messages_out_s", 0.05),
    ("bytes_in_s", 0.05),
    ("bytes_out_s", 0.05),
    ("state_bytes", 0.10),
    ("cpu_part", 0.25),
];

/// A bound for each of these figures that the run has under `real_` and `hollow_`: the deviation's part, and the most
/// that is allowed. Processor time is held only where `with_cpu`.
pub fn bounds(figures: &BTreeMap<String, f64>, with_cpu: bool) -> Vec<Bound> {
    let held = |(name, most): &(&str, f64)| {
        let real = figures.get(&format!("real_{name}"))?;
        let hollow = figures.get(&format!("hollow_{name}"))?;
        if *name == "cpu_part" && !with_cpu {
            return None;
        }
        // Of a real one that does nothing, a hollow one that does nothing is no deviation.
        let is = if real == hollow { 0.0 } else { (hollow - real).abs() / real.abs().max(f64::MIN_POSITIVE) };
        Some(Bound { figure: format!("calibration_{name}"), is, most: *most, held: is <= *most })
    };
    ALLOWED.iter().filter_map(held).collect()
}
