//! The latency of each zone as seen from this router: a slow or lossy link makes all nodes of a zone look
//! slow to this router only.

use std::collections::BTreeMap;

use crate::host::ZoneId;
use crate::moving_average::add_sample;

/// Average ratio, for each zone, of a response time to the baseline of its method.
#[derive(Default)]
pub(crate) struct ZoneLatencies {
    relative: BTreeMap<ZoneId, f64>,
}

impl ZoneLatencies {
    /// Adds the response of a node in the zone.
    pub fn record(&mut self, zone: ZoneId, relative_latency: f64) {
        add_sample(self.relative.entry(zone).or_insert(1.0), relative_latency);
    }

    /// The relative latency of the zone with the lowest latency; at least 1.
    pub fn lowest(&self) -> f64 {
        self.relative.values().copied().reduce(f64::min).unwrap_or(1.0).max(1.0)
    }

    /// How near a zone is, from 0 to 1: the lowest relative latency of any zone / that of this zone.
    pub fn locality(&self, zone: ZoneId) -> f64 {
        self.relative.get(&zone).map_or(1.0, |relative| self.lowest() / relative.max(1.0))
    }
}
