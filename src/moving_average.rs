//! The moving average that combines single responses and reports into the mean of a node, zone or method.

/// Weight of one sample: the mean covers about the latest twenty samples.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.05;

/// Moves the mean towards one sample of the same unit.
pub(crate) fn add_sample(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}
