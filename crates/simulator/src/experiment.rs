//! Experiment files, which describe simulated runs (fleet sizes, network, faults and seeds), and the runs
//! themselves.

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

/// How often the ages of observations are sampled.
const AGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Ages are sampled at no more than this many routers, and for no more than this many nodes of each.
const MAX_SAMPLED: usize = 12;

/// An experiment file. Each combination of `routers`, `nodes`, `shared` and `seeds` is one run.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, repeated in every record of its runs.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// The question that the experiment answers, as free text for readers of the file.
    #[serde(default)]
    pub about: String,
    /// Numbers of routers.
    #[schemars(length(min = 1), inner(range(min = 1, max = 250)))]
    pub routers: Vec<usize>,
    /// Numbers of nodes.
    #[schemars(length(min = 1), inner(range(min = 1, max = 5000)))]
    pub nodes: Vec<usize>,
    /// Number of zones, to which routers and nodes are assigned in turn.
    #[serde(default = "default_zones")]
    #[schemars(range(min = 1, max = 16))]
    pub zones: usize,
    /// Whether routers divide the probing among themselves (true), or each probes every node (false).
    #[schemars(length(min = 1))]
    pub shared: Vec<bool>,
    /// Seeds of the random decisions.
    #[schemars(length(min = 1))]
    pub seeds: Vec<u64>,
    /// Quality of the network between routers, and between routers and nodes.
    #[serde(default)]
    pub network: LinkQuality,
    /// Probe period of a node in milliseconds.
    #[schemars(range(min = 20.0, max = 3600000.0))]
    pub period_ms: f64,
    /// How long, in milliseconds, a probe may be overdue before the next router in line takes it over.
    #[schemars(range(min = 20.0, max = 3600000.0))]
    pub grace_ms: f64,
    /// Minimum time in milliseconds between two probes of a node by the same router.
    #[schemars(range(min = 10.0, max = 3600000.0))]
    pub floor_ms: f64,
    /// Seconds of simulated time before anything is counted.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub warm_up_s: f64,
    /// Seconds of simulated time after the warm-up, over which the results are counted.
    #[schemars(range(min = 0.1, max = 36000.0))]
    pub span_s: f64,
    /// Faults at fixed times.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Repeatedly kills a randomly chosen router and starts it again.
    #[serde(default)]
    pub kills: Option<Kills>,
}

fn default_zones() -> usize {
    2
}

/// Repeated kills of randomly chosen routers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kills {
    /// Seconds from one kill to the next.
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub every_s: f64,
    /// Seconds until the killed router is started again.
    #[schemars(range(min = 0.01, max = 3600.0))]
    pub down_s: f64,
}

/// A fault at a fixed time of the run.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the end of the warm-up.
    #[schemars(range(min = 0.0, max = 36000.0))]
    pub at_s: f64,
    /// The fault.
    #[serde(rename = "what")]
    pub action: FaultAction,
}

/// Faults that an experiment can inject or undo. Numbers are indexes of routers or nodes.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[schemars(rename = "What")]
pub enum FaultAction {
    /// Kills a router, as by SIGKILL.
    Kill(usize),
    /// Starts a router that is not running.
    Start(usize),
    /// Shuts a router down in a planned way, as by SIGTERM.
    Leave(usize),
    /// Pauses a router, as by SIGSTOP.
    #[serde(rename = "stop")]
    Pause(usize),
    /// Resumes a paused router, as by SIGCONT.
    #[serde(rename = "go_on")]
    Resume(usize),
    /// Sets the loss of datagrams from one router to another, in this direction only.
    #[serde(rename = "lose")]
    SetLoss {
        /// The sending router.
        from: usize,
        /// The receiving router.
        to: usize,
        /// Fraction of datagrams lost; 1 cuts the path.
        #[serde(rename = "part")]
        loss: f64,
    },
    /// Cuts the network between routers of different groups.
    #[serde(rename = "part")]
    Partition(Vec<Vec<usize>>),
    /// Removes all loss and partitions that faults have set.
    Heal,
    /// Makes a node stop answering probes.
    NodeDown(usize),
    /// Makes a node answer probes again.
    NodeUp(usize),
}

/// Why an experiment file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The file is not JSON, or does not fit the types of an experiment.
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
    /// The file violates the schema.
    #[error("{file}: at {location}: {problem}")]
    Schema {
        /// Path of the file.
        file: String,
        /// JSON pointer to the value that violates the schema.
        location: String,
        /// The validator's description of the violation.
        problem: String,
    },
    /// The schema that is generated from the types is not valid.
    #[error("the generated schema of experiment files is not valid: {0}")]
    InvalidSchema(String),
}

/// The JSON schema of an experiment file, generated from the types.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Experiment).to_value()
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    /// The file cannot be read or does not describe an experiment; the error says where in the file.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ExperimentError::Io(file.clone(), error))?;
        Self::parse(&file, &text)
    }

    /// Parses the text of an experiment file. `file` is the path for error messages.
    ///
    /// # Errors
    /// The text does not describe an experiment; the error says where in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, ExperimentError> {
        let json = |error| ExperimentError::Json(file.to_string(), error);
        let value: serde_json::Value = serde_json::from_str(text).map_err(json)?;
        let validator = jsonschema::validator_for(&schema())
            .map_err(|error| ExperimentError::InvalidSchema(error.to_string()))?;
        if let Some(error) = validator.iter_errors(&value).next() {
            let location = match error.instance_path().to_string() {
                location if location.is_empty() => "the top level".to_string(),
                location => location,
            };
            return Err(ExperimentError::Schema {
                file: file.to_string(),
                location,
                problem: error.to_string(),
            });
        }
        serde_json::from_value(value).map_err(json)
    }

    /// The parameters of all runs, in the order in which they are simulated.
    pub fn runs(&self) -> Vec<WorldParams> {
        let duration = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
        let fleet_params =
            fleet_params(duration(self.period_ms), duration(self.grace_ms), duration(self.floor_ms));
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

    /// Simulates one run and returns its results.
    pub fn simulate(&self, params: &WorldParams) -> Run {
        let mut world = World::new(params.clone());
        let mut rng = ChaCha8Rng::seed_from_u64(params.seed ^ 0x5eed);
        let from = START_TIME + Duration::from_secs_f64(self.warm_up_s);
        world.run_until(from);
        let stats_before: Vec<_> = (0..params.routers).map(|router| world.stats(router).clone()).collect();
        let until = from + Duration::from_secs_f64(self.span_s);
        let mut faults: Vec<(Duration, FaultAction)> = self
            .faults
            .iter()
            .map(|fault| (from + Duration::from_secs_f64(fault.at_s), fault.action.clone()))
            .collect();
        let mut kills = 0;
        if let Some(repeated) = self.kills {
            let mut at = from + Duration::from_secs_f64(repeated.every_s);
            while at + Duration::from_secs_f64(repeated.down_s) < until {
                let router = rng.random_range(0..params.routers);
                faults.push((at, FaultAction::Kill(router)));
                faults.push((at + Duration::from_secs_f64(repeated.down_s), FaultAction::Start(router)));
                (at, kills) = (at + Duration::from_secs_f64(repeated.every_s), kills + 1);
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        let mut faults = faults.into_iter().peekable();
        let mut ages = Histogram::<u64>::new(3).expect("3 significant digits are valid");
        let mut next_sample_at = from;
        while world.now < until {
            let next = faults.peek().map_or(until, |(at, _)| *at).min(next_sample_at).min(until);
            world.run_until(next);
            while let Some((_, action)) = faults.next_if(|(at, _)| *at <= world.now) {
                apply_fault(&mut world, &action);
            }
            if world.now >= next_sample_at {
                next_sample_at += AGE_SAMPLE_INTERVAL;
                record_ages(&world, &mut ages);
            }
        }
        summarize(self, params, &world, &stats_before, from, kills, &ages)
    }
}

fn apply_fault(world: &mut World, action: &FaultAction) {
    match action {
        FaultAction::Kill(router) => world.kill(*router),
        FaultAction::Start(router) => world.start(*router),
        FaultAction::Leave(router) => world.leave(*router),
        FaultAction::Pause(router) => world.pause(*router),
        FaultAction::Resume(router) => world.resume(*router),
        FaultAction::SetLoss { from, to, loss } => world.network.set_loss(HostId(*from), HostId(*to), *loss),
        FaultAction::Partition(groups) => world.network.partition(groups),
        FaultAction::Heal => world.network.heal(),
        FaultAction::NodeDown(node) => world.set_node_up(*node, false),
        FaultAction::NodeUp(node) => world.set_node_up(*node, true),
    }
}

/// Records how old the newest observation of a node is at a router, for an evenly spaced sample of routers
/// and nodes.
fn record_ages(world: &World, ages: &mut Histogram<u64>) {
    let sample = |count: usize| (0..count).step_by(count.div_ceil(MAX_SAMPLED));
    for router in sample(world.routers()).filter(|router| world.is_running(*router)) {
        for node in sample(world.nodes()) {
            if let Some(observed_at) = world.last_observation_at(router, node) {
                record_micros(ages, world.now.saturating_sub(observed_at).as_micros() as u64);
            }
        }
    }
}

fn summarize(
    experiment: &Experiment,
    params: &WorldParams,
    world: &World,
    stats_before: &[crate::world::RouterStats],
    from: Duration,
    kills: usize,
    ages: &Histogram<u64>,
) -> Run {
    let seconds = experiment.span_s;
    let mut gaps = Histogram::<u64>::new(3).expect("3 significant digits are valid");
    let (mut probes, mut max_probes) = (0, 0);
    for node in 0..params.nodes {
        let times: Vec<Duration> =
            world.probes(node).iter().map(|(at, _)| *at).filter(|at| *at >= from).collect();
        times.windows(2).for_each(|pair| record_micros(&mut gaps, (pair[1] - pair[0]).as_micros() as u64));
        (probes, max_probes) = (probes + times.len(), max_probes.max(times.len()));
    }
    let per_router_s = |counter: fn(&crate::world::RouterStats) -> f64| {
        let sum: f64 = (0..params.routers)
            .map(|router| counter(world.stats(router)) - counter(&stats_before[router]))
            .sum();
        sum / params.routers as f64 / seconds
    };
    let quantile_s = |times: &Histogram<u64>, quantile: f64| times.value_at_quantile(quantile) as f64 / 1e6;
    Run {
        experiment: experiment.name.clone(),
        routers: params.routers,
        nodes: params.nodes,
        shared: params.shared,
        seed: params.seed,
        loss: params.link_quality.loss,
        kills,
        probes_per_node_s: probes as f64 / params.nodes as f64 / seconds,
        probes_per_node_s_max: max_probes as f64 / seconds,
        gap_p50_s: quantile_s(&gaps, 0.5),
        gap_p99_s: quantile_s(&gaps, 0.99),
        gap_max_s: gaps.max() as f64 / 1e6,
        age_p50_s: quantile_s(ages, 0.5),
        age_p99_s: quantile_s(ages, 0.99),
        datagrams_per_router_s: per_router_s(|stats| stats.datagrams_sent as f64),
        bytes_per_router_s: per_router_s(|stats| stats.bytes_sent as f64),
        cpu_part: per_router_s(|stats| stats.cpu_time.as_secs_f64()),
        false_deaths: (0..params.routers).map(|router| world.stats(router).false_deaths).sum(),
    }
}

/// The histogram resizes itself, so no value is out of range.
fn record_micros(times: &mut Histogram<u64>, micros: u64) {
    times.record(micros).expect("an auto-resizing histogram accepts every value");
}
