//! The latency of each zone as seen from this router: a slow or lossy link makes all nodes beyond it look slow from
//! here alone.

use std::collections::BTreeMap;

use crate::host::ZoneId;
use crate::moving_average::add_sample;

/// Answer times pooled by zone, each against the shortest of its method.
#[derive(Default)]
pub(crate) struct ZoneLatencies {
    relative: BTreeMap<ZoneId, f64>,
}

impl ZoneLatencies {
    /// Takes in one answer of a node of the zone.
    pub fn record(&mut self, zone: ZoneId, relative_latency: f64) {
        add_sample(self.relative.entry(zone).or_insert(1.0), relative_latency);
    }

    /// The relative latency of the zone whose answers are least delayed; 1 at the least.
    pub fn lowest(&self) -> f64 {
        self.relative.values().copied().reduce(f64::min).unwrap_or(1.0).max(1.0)
    }

    /// How near a zone is, from 0 to 1: the lowest zone latency against its own.
    pub fn locality(&self, zone: ZoneId) -> f64 {
        self.relative.get(&zone).map_or(1.0, |relative| self.lowest() / relative.max(1.0))
    }
}
