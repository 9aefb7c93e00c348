//! An emulated datagram network between simulated hosts. Datagrams can be lost, delayed (and therefore
//! reordered) or duplicated, and a path can be cut in one direction or in both.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Loss, duplication and delay of every path that no fault has changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Quality")]
pub struct LinkQuality {
    /// Fraction of datagrams that are lost.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub loss: f64,
    /// Fraction of delivered datagrams that arrive twice.
    #[schemars(range(min = 0.0, max = 1.0))]
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    /// Shortest one-way delay in milliseconds. Delays are uniformly distributed between this and `most_ms`.
    #[schemars(range(min = 0.0, max = 60000.0))]
    #[serde(rename = "least_ms")]
    pub min_delay_ms: f64,
    /// Longest one-way delay in milliseconds.
    #[schemars(range(min = 0.0, max = 60000.0))]
    #[serde(rename = "most_ms")]
    pub max_delay_ms: f64,
}

impl Default for LinkQuality {
    fn default() -> Self {
        Self { loss: 0.0, duplicated: 0.0, min_delay_ms: 0.1, max_delay_ms: 1.0 }
    }
}

/// Index of a host on the emulated network, such as a router or a control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub usize);

/// The emulated network: default link quality plus the loss that faults have set on single paths.
pub struct Network {
    /// Applies to every path; a path's own loss takes effect only where it is higher.
    pub link_quality: LinkQuality,
    /// Loss from one host to another, where a fault has set it; 1 cuts the path in that direction.
    path_loss: BTreeMap<(HostId, HostId), f64>,
}

impl Network {
    /// Creates a network without faults.
    pub fn new(link_quality: LinkQuality) -> Self {
        Self { link_quality, path_loss: BTreeMap::new() }
    }

    /// Sets the fraction of datagrams lost from `from` to `to`, in this direction only.
    pub fn set_loss(&mut self, from: HostId, to: HostId, loss: f64) {
        self.path_loss.insert((from, to), loss);
    }

    /// Partitions the network: cuts both directions between any two hosts of different groups.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        for (index, group) in groups.iter().enumerate() {
            for other in groups.iter().skip(index + 1) {
                for (left, right) in
                    group.iter().flat_map(|left| other.iter().map(move |right| (*left, *right)))
                {
                    self.set_loss(HostId(left), HostId(right), 1.0);
                    self.set_loss(HostId(right), HostId(left), 1.0);
                }
            }
        }
    }

    /// Removes the loss that faults have set on paths; the default link quality remains.
    pub fn heal(&mut self) {
        self.path_loss.clear();
    }

    /// Returns the delay of each copy of a datagram that arrives: empty if it is lost, two entries if it is
    /// duplicated.
    pub fn delivery_delays(&self, rng: &mut ChaCha8Rng, from: HostId, to: HostId) -> Vec<Duration> {
        let loss = self.path_loss.get(&(from, to)).copied().unwrap_or(0.0).max(self.link_quality.loss);
        if loss > 0.0 && rng.random_bool(loss.min(1.0)) {
            return Vec::new();
        }
        let duplicate = self.link_quality.duplicated > 0.0 && rng.random_bool(self.link_quality.duplicated);
        (0..=usize::from(duplicate)).map(|_| self.random_delay(rng)).collect()
    }

    /// Draws the delay of one datagram, without loss or duplication.
    pub fn random_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        let LinkQuality { min_delay_ms, max_delay_ms, .. } = self.link_quality;
        let ms = if max_delay_ms > min_delay_ms {
            rng.random_range(min_delay_ms..max_delay_ms)
        } else {
            min_delay_ms
        };
        Duration::from_secs_f64(ms / 1000.0)
    }
}
