//! Checks that hollow routers represent real ones: compares the figures of both kinds in the same fleet.

use std::collections::BTreeMap;

use crate::record::Bound;

/// Maximum deviation of a hollow router's figure from a real router's, as a fraction of the real one's.
pub const MAX_DEVIATIONS: [(&str, f64); 6] = [
    ("messages_in_s", 0.05),
    ("messages_out_s", 0.05),
    ("bytes_in_s", 0.05),
    ("bytes_out_s", 0.05),
    ("state_bytes", 0.10),
    ("cpu_part", 0.25),
];

/// The largest accepted standard error of a real router's processor time, as a fraction of it. Two such
/// errors make up the allowed deviation of 0.25, so with a larger error the comparison could not tell an
/// allowed deviation from none at all.
pub const MAX_CPU_ERROR_PART: f64 = 0.125;

/// A bound on the deviation of each of these figures that the run has under both `real_` and `hollow_`.
/// Processor time is compared only if `with_cpu` is set.
pub fn bounds(figures: &BTreeMap<String, f64>, with_cpu: bool) -> Vec<Bound> {
    let bound_of = |(name, most): &(&str, f64)| {
        let real = figures.get(&format!("real_{name}"))?;
        let hollow = figures.get(&format!("hollow_{name}"))?;
        if *name == "cpu_part" && !with_cpu {
            return None;
        }
        // If both are zero there is no deviation.
        let value =
            if real == hollow { 0.0 } else { (hollow - real).abs() / real.abs().max(f64::MIN_POSITIVE) };
        Some(Bound { figure: format!("calibration_{name}"), value, limit: *most, held: value <= *most })
    };
    let mut bounds: Vec<Bound> = MAX_DEVIATIONS.iter().filter_map(bound_of).collect();
    let cpu = figures.get("real_cpu_part").zip(figures.get("real_cpu_error_part"));
    if let Some((cpu, error)) = cpu.filter(|_| with_cpu) {
        // A measured cost of zero or less is nothing but error.
        let value = if *cpu > 0.0 { error / cpu } else { (error / cpu.abs()).max(1.0) };
        let figure = "calibration_cpu_part_error".to_string();
        bounds.push(Bound { figure, value, limit: MAX_CPU_ERROR_PART, held: value <= MAX_CPU_ERROR_PART });
    }
    bounds
}
