//! A file that describes runs: fleets, network, faults, seeds; and the runs themselves.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::network::{HostId, LinkQuality};
use crate::record::Run;
use crate::world::{START_TIME, World, WorldParams, fleet_params};

/// How often the age of evidence is looked at, and at how many routers and nodes at the most.
const LOOK: Duration = Duration::from_millis(50);
const LOOKED_AT: usize = 12;

/// Every combination of `routers`, `nodes`, `shared` and `seeds` is one run.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// What is asked, for people.
    #[serde(default)]
    pub about: String,
    #[schemars(length(min = 1), inner(range(min = 1, max = 250)))]
    pub routers: Vec<usize>,
    #[schemars(length(min = 1), inner(range(min = 1, max = 5000)))]
    pub nodes: Vec<usize>,
    #[serde(default = "two")]
    #[schemars(range(min = 1, max = 16))]
    pub zones: usize,
    /// Whether routers share duties, or each does all.
    #[schemars(length(min = 1))]
    pub shared: Vec<bool>,
    #[schemars(length(min = 1))]
    pub seeds: Vec<u64>,
    #[serde(default)]
    pub network: LinkQuality,
    #[schemars(range(min = 20.0, max = 3600000.0))]
    pub period_ms: f64,
    #[schemars(range(min = 20.0, max = 3600000.0))]
    pub grace_ms: f64,
    #[schemars(range(min = 10.0, max = 3600000.0))]
    pub floor_ms: f64,
    /// What happens before is not counted.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub warm_up_s: f64,
    #[schemars(range(min = 0.1, max = 36000.0))]
    pub span_s: f64,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// A router drawn by chance is killed and started again, over and over.
    #[serde(default)]
    pub kills: Option<Kills>,
}

fn two() -> usize {
    2
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kills {
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub every_s: f64,
    #[schemars(range(min = 0.01, max = 3600.0))]
    pub down_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Counted from the end of the warm-up.
    #[schemars(range(min = 0.0, max = 36000.0))]
    pub at_s: f64,
    #[serde(rename = "what")]
    pub action: FaultAction,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[schemars(rename = "What")]
pub enum FaultAction {
    Kill(usize),
    Start(usize),
    Leave(usize),
    #[serde(rename = "stop")]
    Pause(usize),
    #[serde(rename = "go_on")]
    Resume(usize),
    /// Datagrams one way.
    #[serde(rename = "lose")]
    SetLoss {
        from: usize,
        to: usize,
        #[serde(rename = "part")]
        loss: f64,
    },
    /// Nothing passes between places of different islands.
    #[serde(rename = "part")]
    Partition(Vec<Vec<usize>>),
    Heal,
    NodeDown(usize),
    NodeUp(usize),
}

/// Why a file describes no experiment.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
    #[error("{file}: at {place}: {fault}")]
    Schema { file: String, place: String, fault: String },
    #[error("the schema itself: {0}")]
    InvalidSchema(String),
}

/// The form of the file, from the types.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Experiment).to_value()
}

impl Experiment {
    /// # Errors
    /// What is wrong with the file, and where in it.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ExperimentError::Io(file.clone(), error))?;
        Self::parse(&file, &text)
    }

    /// # Errors
    /// As [`Experiment::read`]; `file` is named in them.
    pub fn parse(file: &str, text: &str) -> Result<Self, ExperimentError> {
        let json = |error| ExperimentError::Json(file.to_string(), error);
        let tree: serde_json::Value = serde_json::from_str(text).map_err(json)?;
        let validator = jsonschema::validator_for(&schema())
            .map_err(|error| ExperimentError::InvalidSchema(error.to_string()))?;
        if let Some(error) = validator.iter_errors(&tree).next() {
            let place = match error.instance_path().to_string() {
                place if place.is_empty() => "the top".to_string(),
                place => place,
            };
            return Err(ExperimentError::Schema { file: file.to_string(), place, fault: error.to_string() });
        }
        serde_json::from_value(tree).map_err(json)
    }

    /// All runs, in the order in which they are played.
    pub fn runs(&self) -> Vec<WorldParams> {
        let span = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
        let fleet_params = fleet_params(span(self.period_ms), span(self.grace_ms), span(self.floor_ms));
        let mut runs = Vec::new();
        for routers in &self.routers {
            for nodes in &self.nodes {
                for shared in &self.shared {
                    for seed in &self.seeds {
                        let (routers, nodes, zones, link_quality) =
                            (*routers, *nodes, self.zones, self.network);
                        let (shared, seed, replication_lag) = (*shared, *seed, Duration::from_millis(20));
                        runs.push(WorldParams {
                            routers,
                            nodes,
                            zones,
                            link_quality,
                            fleet_params,
                            shared,
                            replication_lag,
                            seed,
                        });
                    }
                }
            }
        }
        runs
    }

    /// Plays one of them.
    pub fn simulate(&self, shape: &WorldParams) -> Run {
        let mut world = World::new(shape.clone());
        let mut chance = ChaCha8Rng::seed_from_u64(shape.seed ^ 0x5eed);
        let from = START_TIME + Duration::from_secs_f64(self.warm_up_s);
        world.run_until(from);
        let before: Vec<_> = (0..shape.routers).map(|place| world.stats(place).clone()).collect();
        let until = from + Duration::from_secs_f64(self.span_s);
        let mut faults: Vec<(Duration, FaultAction)> = self
            .faults
            .iter()
            .map(|fault| (from + Duration::from_secs_f64(fault.at_s), fault.action.clone()))
            .collect();
        let mut kills = 0;
        if let Some(every) = self.kills {
            let mut at = from + Duration::from_secs_f64(every.every_s);
            while at + Duration::from_secs_f64(every.down_s) < until {
                let router = chance.random_range(0..shape.routers);
                faults.push((at, FaultAction::Kill(router)));
                faults.push((at + Duration::from_secs_f64(every.down_s), FaultAction::Start(router)));
                (at, kills) = (at + Duration::from_secs_f64(every.every_s), kills + 1);
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        let mut faults = faults.into_iter().peekable();
        let mut ages = Histogram::<u64>::new(3).expect("three digits");
        let mut look = from;
        while world.now < until {
            let next = faults.peek().map_or(until, |(at, _)| *at).min(look).min(until);
            world.run_until(next);
            while let Some((_, what)) = faults.next_if(|(at, _)| *at <= world.now) {
                happen(&mut world, &what);
            }
            if world.now >= look {
                look += LOOK;
                note_ages(&world, &mut ages);
            }
        }
        summary(self, shape, &world, &before, from, kills, &ages)
    }
}

fn happen(world: &mut World, what: &FaultAction) {
    match what {
        FaultAction::Kill(router) => world.kill(*router),
        FaultAction::Start(router) => world.start(*router),
        FaultAction::Leave(router) => world.leave(*router),
        FaultAction::Pause(router) => world.pause(*router),
        FaultAction::Resume(router) => world.resume(*router),
        FaultAction::SetLoss { from, to, loss } => world.network.set_loss(HostId(*from), HostId(*to), *loss),
        FaultAction::Partition(islands) => world.network.partition(islands),
        FaultAction::Heal => world.network.heal(),
        FaultAction::NodeDown(node) => world.set_node_up(*node, false),
        FaultAction::NodeUp(node) => world.set_node_up(*node, true),
    }
}

/// How old the newest evidence on a node is at a router, for some of each spread over all.
fn note_ages(world: &World, ages: &mut Histogram<u64>) {
    let some = |count: usize| (0..count).step_by(count.div_ceil(LOOKED_AT));
    for place in some(world.routers()).filter(|place| world.is_running(*place)) {
        for node in some(world.nodes()) {
            if let Some(heard) = world.last_observation_at(place, node) {
                note(ages, world.now.saturating_sub(heard).as_micros() as u64);
            }
        }
    }
}

fn summary(
    experiment: &Experiment,
    shape: &WorldParams,
    world: &World,
    before: &[crate::world::RouterStats],
    from: Duration,
    kills: usize,
    ages: &Histogram<u64>,
) -> Run {
    let seconds = experiment.span_s;
    let mut gaps = Histogram::<u64>::new(3).expect("three digits");
    let (mut probes, mut most) = (0, 0);
    for node in 0..shape.nodes {
        let times: Vec<Duration> =
            world.probes(node).iter().map(|(at, _)| *at).filter(|at| *at >= from).collect();
        times.windows(2).for_each(|pair| note(&mut gaps, (pair[1] - pair[0]).as_micros() as u64));
        (probes, most) = (probes + times.len(), most.max(times.len()));
    }
    let cost = |what: fn(&crate::world::RouterStats) -> f64| {
        let sum: f64 = (0..shape.routers).map(|place| what(world.stats(place)) - what(&before[place])).sum();
        sum / shape.routers as f64 / seconds
    };
    let at = |times: &Histogram<u64>, quantile: f64| times.value_at_quantile(quantile) as f64 / 1e6;
    Run {
        experiment: experiment.name.clone(),
        routers: shape.routers,
        nodes: shape.nodes,
        shared: shape.shared,
        seed: shape.seed,
        loss: shape.link_quality.loss,
        kills,
        probes_per_node_s: probes as f64 / shape.nodes as f64 / seconds,
        probes_per_node_s_max: most as f64 / seconds,
        gap_p50_s: at(&gaps, 0.5),
        gap_p99_s: at(&gaps, 0.99),
        gap_max_s: gaps.max() as f64 / 1e6,
        age_p50_s: at(ages, 0.5),
        age_p99_s: at(ages, 0.99),
        datagrams_per_router_s: cost(|costs| costs.datagrams_sent as f64),
        bytes_per_router_s: cost(|costs| costs.bytes_sent as f64),
        cpu_part: cost(|costs| costs.cpu_time.as_secs_f64()),
        false_deaths: (0..shape.routers).map(|place| world.stats(place).false_deaths).sum(),
    }
}

/// It grows as it must, so that no value is cut.
fn note(times: &mut Histogram<u64>, micros: u64) {
    times.record(micros).expect("a histogram that grows takes all");
}
