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

/// The standard error of a real router's processor time, as a part of it: at two of them a deviation that is allowed
/// and none at all look alike, and the run says nothing.
pub const CPU_ERROR: f64 = 0.125;

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
        let value =
            if real == hollow { 0.0 } else { (hollow - real).abs() / real.abs().max(f64::MIN_POSITIVE) };
        Some(Bound { figure: format!("calibration_{name}"), value, limit: *most, held: value <= *most })
    };
    let mut bounds: Vec<Bound> = ALLOWED.iter().filter_map(held).collect();
    let cpu = figures.get("real_cpu_part").zip(figures.get("real_cpu_error_part"));
    if let Some((cpu, error)) = cpu.filter(|_| with_cpu) {
        // Where the difference is nothing or less, all of it is error.
        let value = if *cpu > 0.0 { error / cpu } else { (error / cpu.abs()).max(1.0) };
        let figure = "calibration_cpu_part_error".to_string();
        bounds.push(Bound { figure, value, limit: CPU_ERROR, held: value <= CPU_ERROR });
    }
    bounds
}
