//! A network of datagrams between places: loss, delay, and so reordering, doubling, and cuts one way or both.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How every way behaves that no fault has changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Quality")]
pub struct LinkQuality {
    /// The part of the datagrams that is lost.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub loss: f64,
    /// The part that arrives twice.
    #[schemars(range(min = 0.0, max = 1.0))]
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    /// The shortest and the longest time under way, in milliseconds; any between is as likely.
    #[schemars(range(min = 0.0, max = 60000.0))]
    #[serde(rename = "least_ms")]
    pub min_delay_ms: f64,
    #[schemars(range(min = 0.0, max = 60000.0))]
    #[serde(rename = "most_ms")]
    pub max_delay_ms: f64,
}

impl Default for LinkQuality {
    fn default() -> Self {
        Self { loss: 0.0, duplicated: 0.0, min_delay_ms: 0.1, max_delay_ms: 1.0 }
    }
}

/// A place on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub usize);

pub struct Network {
    pub link_quality: LinkQuality,
    /// Loss on one way, where a fault has set it; 1 is a cut.
    ways: BTreeMap<(HostId, HostId), f64>,
}

impl Network {
    pub fn new(link_quality: LinkQuality) -> Self {
        Self { link_quality, ways: BTreeMap::new() }
    }

    /// Sets the loss of one way.
    pub fn set_loss(&mut self, from: HostId, to: HostId, loss: f64) {
        self.ways.insert((from, to), loss);
    }

    /// Cuts both ways between any two places of different islands.
    pub fn partition(&mut self, islands: &[Vec<usize>]) {
        for (number, island) in islands.iter().enumerate() {
            for other in islands.iter().skip(number + 1) {
                for (one, two) in island.iter().flat_map(|one| other.iter().map(move |two| (*one, *two))) {
                    self.set_loss(HostId(one), HostId(two), 1.0);
                    self.set_loss(HostId(two), HostId(one), 1.0);
                }
            }
        }
    }

    /// All ways are as at the start.
    pub fn heal(&mut self) {
        self.ways.clear();
    }

    /// After which times a datagram that is sent now arrives: never, once or twice.
    pub fn delivery_delays(&self, chance: &mut ChaCha8Rng, from: HostId, to: HostId) -> Vec<Duration> {
        let loss = self.ways.get(&(from, to)).copied().unwrap_or(0.0).max(self.link_quality.loss);
        if loss > 0.0 && chance.random_bool(loss.min(1.0)) {
            return Vec::new();
        }
        let twice = self.link_quality.duplicated > 0.0 && chance.random_bool(self.link_quality.duplicated);
        (0..=usize::from(twice)).map(|_| self.random_delay(chance)).collect()
    }

    pub fn random_delay(&self, chance: &mut ChaCha8Rng) -> Duration {
        let LinkQuality { min_delay_ms, max_delay_ms, .. } = self.link_quality;
        let ms = if max_delay_ms > min_delay_ms {
            chance.random_range(min_delay_ms..max_delay_ms)
        } else {
            min_delay_ms
        };
        Duration::from_secs_f64(ms / 1000.0)
    }
}
