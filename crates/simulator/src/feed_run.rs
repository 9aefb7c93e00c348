//! One simulated run of control instances and routers: its parameters, an optional fault, and the figures
//! measured. Records have the form of the lines that `measure/scale` writes; a line that counts no real and
//! no hollow processes is a simulated one.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;

use crate::feed_world::{FeedWorld, FeedWorldParams, ProcessStats};
use crate::network::LinkQuality;
use crate::world::{START_TIME, fleet_params};

/// Approximate memory that a router uses per database for each control instance that it follows, including
/// the tree that holds the entry.
const CACHED_NODE_BYTES: usize = 160;
/// How often the ages of observations are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Samples cover at most this many routers and at most this many nodes.
const MAX_SAMPLED: usize = 40;
/// How long a run waits for a settled state; after that it continues with the state that it has reached.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How long regions are partitioned from each other.
const PARTITION_DURATION: Duration = Duration::from_secs(30);
/// How long routers are paused.
const PAUSE_DURATION: Duration = Duration::from_secs(3);

/// A fault that is injected after the steady state has been measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedFault {
    /// Kills and restarts a sixth of the routers at once.
    Restart,
    /// Pauses a sixth of the routers.
    Pause,
    /// Partitions the regions from each other.
    Partition,
    /// Kills one control instance.
    KillControl,
    /// Kills all control instances.
    KillAllControl,
}

impl FeedFault {
    /// Returns the fault with this name, as given to `--fault`.
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [Self::Restart, Self::Pause, Self::Partition, Self::KillControl, Self::KillAllControl];
        all.into_iter().find(|fault| fault.name() == name)
    }

    /// The name in `--fault` and in records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Restart => "restart",
            Self::Pause => "stop",
            Self::Partition => "cut",
            Self::KillControl => "control",
            Self::KillAllControl => "control-all",
        }
    }
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct FeedRunParams {
    /// Number of routers.
    pub routers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of control instances.
    pub control_instances: usize,
    /// Number of regions, to which routers, control instances and nodes are assigned in turn.
    pub regions: usize,
    /// Period of the health checks of each node.
    pub health_check_period: Duration,
    /// Rate limit of each control instance for sending snapshots to subscribers, in bytes per second.
    pub snapshot_bytes_per_s: f64,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Simulated seconds over which the steady state is measured.
    pub seconds: f64,
    /// Limit on the estimated memory of the run, in MB.
    pub memory_mb: usize,
    /// The fault to inject, if any.
    pub fault: Option<FeedFault>,
}

impl Default for FeedRunParams {
    fn default() -> Self {
        Self {
            routers: 100,
            nodes: 250,
            control_instances: 8,
            regions: 2,
            health_check_period: Duration::from_millis(150),
            snapshot_bytes_per_s: 12e6,
            seed: 1,
            seconds: 4.0,
            memory_mb: 4000,
            fault: None,
        }
    }
}

/// Why a run of these sizes cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum SizeError {
    /// There are no routers, nodes, control instances or regions.
    #[error("routers, nodes, control instances and regions: expected at least one of each")]
    Zero,
    /// There are more hosts than simulated addresses.
    #[error(
        "expected at most 60000 routers, 60000 nodes and 250 control instances, for lack of addresses for more"
    )]
    TooManyAddresses,
    /// The caches of the routers are estimated to exceed the memory limit.
    #[error(
        "{routers} routers that each cache {nodes} nodes from two control instances need about {needed} MB, \
         expected at most {allowed} MB; {fit} routers fit"
    )]
    NotEnoughMemory {
        /// Number of routers.
        routers: usize,
        /// Number of nodes.
        nodes: usize,
        /// Estimated memory in MB.
        needed: usize,
        /// Memory limit in MB.
        allowed: usize,
        /// Number of routers that fit within the limit.
        fit: usize,
    },
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The parameters of the run.
    pub params: FeedRunParams,
    /// Results by the names that `measure/scale` uses for the same figures.
    pub figures: BTreeMap<&'static str, f64>,
}

impl FeedRunParams {
    /// Checks the sizes of the run.
    ///
    /// # Errors
    /// A number is zero, or there are too few addresses or too little memory for the sizes.
    pub fn validate(&self) -> Result<(), SizeError> {
        if [self.routers, self.nodes, self.control_instances, self.regions].contains(&0) {
            return Err(SizeError::Zero);
        }
        if self.routers > 60_000 || self.nodes > 60_000 || self.control_instances > 250 {
            return Err(SizeError::TooManyAddresses);
        }
        let bytes_per_router = 2 * self.nodes * CACHED_NODE_BYTES;
        let (needed, allowed) = (self.routers * bytes_per_router / 1_000_000, self.memory_mb);
        if needed > allowed {
            let (routers, nodes, fit) = (self.routers, self.nodes, allowed * 1_000_000 / bytes_per_router);
            return Err(SizeError::NotEnoughMemory { routers, nodes, needed, allowed, fit });
        }
        Ok(())
    }

    fn world_params(&self) -> FeedWorldParams {
        let mut fleet_params =
            fleet_params(self.health_check_period, self.health_check_period, self.health_check_period);
        // The program's control instances use the same setting.
        fleet_params.budgets_grow_with_nodes = true;
        FeedWorldParams {
            routers: self.routers,
            control_instances: self.control_instances,
            nodes: self.nodes,
            regions: self.regions,
            link_quality: LinkQuality::default(),
            fleet_params,
            snapshot_bytes_per_s: self.snapshot_bytes_per_s,
            replication_lag: Duration::from_millis(20),
            seed: self.seed,
        }
    }

    /// Simulates the run.
    ///
    /// # Errors
    /// As [`FeedRunParams::validate`], before the simulation starts.
    pub fn simulate(&self) -> Result<Outcome, SizeError> {
        self.validate()?;
        let mut run = FeedRun {
            params: self.clone(),
            world: FeedWorld::new(self.world_params()),
            ages: Histogram::new(3).expect("3 significant digits are valid"),
            figures: BTreeMap::new(),
        };
        run.settle();
        run.measure_steady_state();
        if let Some(fault) = self.fault {
            run.inject_fault(fault);
        }
        Ok(Outcome { params: self.clone(), figures: run.figures })
    }
}

/// A run in progress.
struct FeedRun {
    params: FeedRunParams,
    world: FeedWorld,
    /// Ages of observations at routers, in microseconds.
    ages: Histogram<u64>,
    figures: BTreeMap<&'static str, f64>,
}

/// Adds up all counters; the peak is the highest of all.
fn sum(all_stats: impl Iterator<Item = ProcessStats>) -> ProcessStats {
    all_stats.fold(ProcessStats::default(), |mut sum, stats| {
        (sum.sent, sum.sent_bytes) = (sum.sent + stats.sent, sum.sent_bytes + stats.sent_bytes);
        (sum.received, sum.received_bytes) =
            (sum.received + stats.received, sum.received_bytes + stats.received_bytes);
        (sum.gossip_bytes, sum.cpu_time) =
            (sum.gossip_bytes + stats.gossip_bytes, sum.cpu_time + stats.cpu_time);
        sum.peak_bytes_per_s = sum.peak_bytes_per_s.max(stats.peak_bytes_per_s);
        sum
    })
}

impl FeedRun {
    fn router_stats(&self) -> ProcessStats {
        sum((0..self.params.routers).map(|index| self.world.router_stats(index)))
    }

    fn control_stats(&self) -> ProcessStats {
        sum((0..self.params.control_instances).map(|index| self.world.control_stats(index)))
    }

    /// Runs until all subscribers receive digests for every partition and no snapshot is pending for 7 s in a
    /// row, or until [`SETTLE_TIMEOUT`].
    fn settle(&mut self) {
        let is_busy = |world: &FeedWorld| {
            !world.all_subscribers_complete()
                || (0..self.params.control_instances).any(|index| {
                    world.publisher(index).is_some_and(|publisher| publisher.pending_snapshots() > 0)
                })
        };
        let mut quiet_for = Duration::ZERO;
        while quiet_for < Duration::from_secs(7) && self.world.now < START_TIME + SETTLE_TIMEOUT {
            let until = self.world.now + Duration::from_millis(500);
            self.world.run_until(until);
            quiet_for =
                if is_busy(&self.world) { Duration::ZERO } else { quiet_for + Duration::from_millis(500) };
        }
    }

    /// Runs for the given time and samples the ages of the observations that routers have.
    fn sample_ages(&mut self, span: Duration) {
        let until = self.world.now + span;
        while self.world.now < until {
            let next = (self.world.now + SAMPLE_INTERVAL).min(until);
            self.world.run_until(next);
            let sample = |count: usize| (0..count).step_by(count.div_ceil(MAX_SAMPLED));
            for router in
                sample(self.params.routers).filter(|router| self.world.subscriber(*router).is_some())
            {
                for node in sample(self.params.nodes) {
                    if let Some(observation) = self.world.observation(router, node) {
                        let age = self.world.now.saturating_sub(observation.seen_at).as_micros() as u64;
                        self.ages.record(age).expect("an auto-resizing histogram accepts every value");
                    }
                }
            }
        }
    }

    /// Adds the median, 99th percentile and maximum of the sampled ages to the figures, and resets the
    /// samples.
    fn insert_ages(&mut self, names: [&'static str; 3]) {
        for (name, quantile) in names.into_iter().zip([0.5, 0.99, 1.0]) {
            let micros = self.ages.value_at_quantile(quantile);
            self.figures.insert(name, micros as f64 / 1e6);
        }
        self.ages.reset();
    }

    fn measure_steady_state(&mut self) {
        let seconds = self.params.seconds;
        let (routers, control, probes) =
            (self.router_stats(), self.control_stats(), self.world.probe_count());
        self.world.reset_peaks();
        self.sample_ages(Duration::from_secs_f64(seconds));
        let (routers_after, control_after) = (self.router_stats(), self.control_stats());
        self.insert_ages(["age_p50_s", "age_p99_s", "age_max_s"]);
        let per_process_s =
            |count: usize| move |after: u64, before: u64| (after - before) as f64 / count as f64 / seconds;
        let (router, instance) =
            (per_process_s(self.params.routers), per_process_s(self.params.control_instances));
        let cpu_fraction = |after: Duration, before: Duration, count: usize| {
            (after - before).as_secs_f64() / count as f64 / seconds
        };
        let mean_bytes = |bytes: usize, count: usize| bytes as f64 / count as f64;
        let subscribers = (0..self.params.routers).flat_map(|index| self.world.subscriber(index));
        let state_bytes = subscribers.map(|subscriber| subscriber.state_bytes()).sum();
        self.figures.extend([
            ("router_bytes_in_s", router(routers_after.received_bytes, routers.received_bytes)),
            ("router_bytes_out_s", router(routers_after.sent_bytes, routers.sent_bytes)),
            ("router_messages_in_s", router(routers_after.received, routers.received)),
            ("router_messages_out_s", router(routers_after.sent, routers.sent)),
            ("router_cpu_part", cpu_fraction(routers_after.cpu_time, routers.cpu_time, self.params.routers)),
            ("router_state_bytes", mean_bytes(state_bytes, self.params.routers)),
            ("control_bytes_in_s", instance(control_after.received_bytes, control.received_bytes)),
            ("control_bytes_out_s", instance(control_after.sent_bytes, control.sent_bytes)),
            ("control_messages_in_s", instance(control_after.received, control.received)),
            ("control_messages_out_s", instance(control_after.sent, control.sent)),
            ("control_fleet_bytes_s", instance(control_after.gossip_bytes, control.gossip_bytes)),
            (
                "control_cpu_part",
                cpu_fraction(control_after.cpu_time, control.cpu_time, self.params.control_instances),
            ),
            (
                "database_probes_s",
                (self.world.probe_count() - probes) as f64 / self.params.nodes as f64 / seconds,
            ),
            ("calm_peak_control_bytes_s", control_after.peak_bytes_per_s as f64),
        ]);
        let propagation_s = self.measure_change_propagation();
        self.figures.insert("change_known_max_s", propagation_s);
    }

    /// Makes a node a primary, and returns the seconds from the first probe that reported it until every
    /// router knows: the longest of three such changes.
    fn measure_change_propagation(&mut self) -> f64 {
        let mut longest = Duration::ZERO;
        for round in 0..3 {
            let node = (3 * round + 1) % self.params.nodes;
            self.world.set_primary(node, true);
            let limit = self.world.now + Duration::from_secs(20);
            let knows_change = |world: &FeedWorld, router: usize| {
                world.observation(router, node).is_some_and(|observation| observation.primary == Some(true))
            };
            while !(0..self.params.routers).all(|router| knows_change(&self.world, router))
                && self.world.now < limit
            {
                let until = self.world.now + Duration::from_millis(10);
                self.world.run_until(until);
            }
            let seen_at = self.world.role_seen_at(node).unwrap_or(self.world.now);
            longest = longest.max(self.world.now.saturating_sub(seen_at));
        }
        longest.as_secs_f64()
    }

    fn inject_fault(&mut self, fault: FeedFault) {
        let every_sixth: Vec<usize> = (0..self.params.routers).step_by(6).collect();
        let second = Duration::from_secs(1);
        self.world.run_until(self.world.now + second);
        self.world.reset_peaks();
        let from = self.world.now;
        match fault {
            FeedFault::Restart => {
                every_sixth.iter().for_each(|router| self.world.kill_router(*router));
                every_sixth.iter().for_each(|router| self.world.start_router(*router));
                let complete_after_s = self.wait_until_complete(from);
                self.figures.insert("follow_max_s", complete_after_s);
                self.sample_ages(second * 8);
            }
            FeedFault::Pause => {
                every_sixth.iter().for_each(|router| self.world.pause_router(*router));
                self.world.run_until(from + PAUSE_DURATION);
                every_sixth.iter().for_each(|router| self.world.resume_router(*router));
                let fresh_after_s = self.wait_until_fresh(from + PAUSE_DURATION);
                self.figures.insert("agree_max_s", fresh_after_s);
                self.sample_ages(second * 5);
            }
            FeedFault::Partition => {
                self.world.partitioned = true;
                self.sample_ages(PARTITION_DURATION);
                self.world.partitioned = false;
                self.ages.reset();
                let fresh_after_s = self.wait_until_fresh(self.world.now);
                self.figures.insert("agree_max_s", fresh_after_s);
            }
            FeedFault::KillControl => {
                self.world.kill_control(0);
                self.sample_ages(second * 8);
            }
            FeedFault::KillAllControl => {
                (0..self.params.control_instances).for_each(|index| self.world.kill_control(index));
                self.sample_ages(second * 3);
                let bytes = self.router_stats().sent_bytes;
                self.world.run_until(self.world.now + second * 5);
                let bytes_per_router_s =
                    (self.router_stats().sent_bytes - bytes) as f64 / self.params.routers as f64 / 5.0;
                self.figures.insert("alone_router_bytes_out_s", bytes_per_router_s);
            }
        }
        if !self.ages.is_empty() {
            self.insert_ages(["fault_age_p50_s", "fault_age_p99_s", "fault_age_max_s"]);
        }
        let (routers, control) =
            (self.router_stats().peak_bytes_per_s, self.control_stats().peak_bytes_per_s);
        self.figures.insert("peak_router_bytes_s", routers as f64);
        self.figures.insert("peak_control_bytes_s", control as f64);
        let subscribers = (0..self.params.routers).flat_map(|index| self.world.subscriber(index));
        let max_bytes = subscribers.map(|subscriber| subscriber.state_bytes()).max().unwrap_or_default();
        self.figures.insert("peak_router_state_bytes", max_bytes as f64);
    }

    /// Runs until all subscribers receive digests for every partition, and returns the seconds since `from`.
    fn wait_until_complete(&mut self, from: Duration) -> f64 {
        while !self.world.all_subscribers_complete() && self.world.now < from + SETTLE_TIMEOUT {
            let until = self.world.now + Duration::from_millis(50);
            self.world.run_until(until);
        }
        (self.world.now - from).as_secs_f64()
    }

    /// Runs until every sampled router has, for every node, an observation of at most 1 s of age that is not
    /// a failure. Returns the seconds since `from`.
    fn wait_until_fresh(&mut self, from: Duration) -> f64 {
        let fresh = |world: &FeedWorld, router: usize, node: usize| {
            let observation = world.observation(router, node);
            observation.is_some_and(|observation| {
                !observation.failed && observation.seen_at + Duration::from_secs(1) >= world.now
            })
        };
        let all_fresh = |world: &FeedWorld| {
            let sample = (0..self.params.routers).step_by(self.params.routers.div_ceil(MAX_SAMPLED));
            sample.into_iter().all(|router| (0..self.params.nodes).all(|node| fresh(world, router, node)))
        };
        while !all_fresh(&self.world) && self.world.now < from + SETTLE_TIMEOUT {
            let until = self.world.now + Duration::from_millis(50);
            self.world.run_until(until);
        }
        (self.world.now - from).as_secs_f64()
    }
}

impl Outcome {
    /// Returns the figure with this name, or NaN if the run did not measure it.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(f64::NAN)
    }

    /// Appends the run to a record file, which is created if it does not exist.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn append(&self, path: &Path) -> std::io::Result<()> {
        let params = &self.params;
        let line = json!({
            "kind": "run",
            "axis": null,
            "fault": params.fault.map(FeedFault::name),
            "sizes": {
                "mode": "feed", "routers": params.routers, "real": 0, "hollow_processes": 0,
                "control": params.control_instances, "databases": params.nodes, "connections": 0,
                "statements": 0.0, "changes": 0.0, "period_s": params.health_check_period.as_secs_f64(),
                "seed": params.seed, "seconds": params.seconds,
            },
            "figures": self.figures,
            "bounds": [],
        });
        let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
        writeln!(file, "{line}")
    }
}
