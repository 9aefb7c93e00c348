//! The moving average by which single answers and reports become a node's, a zone's or a method's mean.

/// Weight of one sample: the latest twenty or so make up the mean.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.05;

/// Moves the mean towards one sample. Both have the same unit.
pub(crate) fn add_sample(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}
