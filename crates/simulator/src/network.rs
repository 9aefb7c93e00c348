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
pub struct Quality {
    /// The part of the datagrams that is lost.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub loss: f64,
    /// The part that arrives twice.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub doubled: f64,
    /// The shortest and the longest time under way, in milliseconds; any between is as likely.
    #[schemars(range(min = 0.0, max = 60000.0))]
    pub least_ms: f64,
    #[schemars(range(min = 0.0, max = 60000.0))]
    pub most_ms: f64,
}

impl Default for Quality {
    fn default() -> Self {
        Self { loss: 0.0, doubled: 0.0, least_ms: 0.1, most_ms: 1.0 }
    }
}

/// A place on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(pub usize);

pub struct Network {
    pub quality: Quality,
    /// Loss on one way, where a fault has set it; 1 is a cut.
    ways: BTreeMap<(Place, Place), f64>,
}

impl Network {
    pub fn new(quality: Quality) -> Self {
        Self { quality, ways: BTreeMap::new() }
    }

    /// Sets the loss of one way.
    pub fn lose(&mut self, from: Place, to: Place, part: f64) {
        self.ways.insert((from, to), part);
    }

    /// Cuts both ways between any two places of different islands.
    pub fn part(&mut self, islands: &[Vec<usize>]) {
        for (number, island) in islands.iter().enumerate() {
            for other in islands.iter().skip(number + 1) {
                for (one, two) in island.iter().flat_map(|one| other.iter().map(move |two| (*one, *two))) {
                    self.lose(Place(one), Place(two), 1.0);
                    self.lose(Place(two), Place(one), 1.0);
                }
            }
        }
    }

    /// All ways are as at the start.
    pub fn heal(&mut self) {
        self.ways.clear();
    }

    /// After which times a datagram that is sent now arrives: never, once or twice.
    pub fn arrivals(&self, chance: &mut ChaCha8Rng, from: Place, to: Place) -> Vec<Duration> {
        let loss = self.ways.get(&(from, to)).copied().unwrap_or(0.0).max(self.quality.loss);
        if loss > 0.0 && chance.random_bool(loss.min(1.0)) {
            return Vec::new();
        }
        let twice = self.quality.doubled > 0.0 && chance.random_bool(self.quality.doubled);
        (0..=usize::from(twice)).map(|_| self.delay(chance)).collect()
    }

    pub fn delay(&self, chance: &mut ChaCha8Rng) -> Duration {
        let Quality { least_ms, most_ms, .. } = self.quality;
        let ms = if most_ms > least_ms { chance.random_range(least_ms..most_ms) } else { least_ms };
        Duration::from_secs_f64(ms / 1000.0)
    }
}
