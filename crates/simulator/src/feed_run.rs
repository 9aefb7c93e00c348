//! One run of control instances and routers: its sizes, a fault if any, and what is counted. Lines are of the form of
//! the scale run's records; that no process took part shows that they are simulated.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;

use crate::feed_world::{FeedWorld, FeedWorldParams, ProcessStats};
use crate::network::LinkQuality;
use crate::world::{START_TIME, fleet_params};

/// About the bytes that a router keeps of a database for each control instance that it follows, the tree's included.
const ENTRY_BYTES: usize = 160;
/// What is known is looked at so often, and at how many routers and nodes at the most.
const LOOK: Duration = Duration::from_millis(50);
const LOOKED_AT: usize = 40;
/// How long a size may take to settle, after which it is played as it is.
const SETTLE: Duration = Duration::from_secs(120);
/// A region is cut off, and routers are stopped, for so long.
const CUT: Duration = Duration::from_secs(30);
const STOPPED: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedFault {
    /// A sixth of the routers at once.
    Restart,
    Pause,
    /// The regions from each other.
    Partition,
    /// One control instance.
    KillControl,
    /// All of them.
    KillAllControl,
}

impl FeedFault {
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [Self::Restart, Self::Pause, Self::Partition, Self::KillControl, Self::KillAllControl];
        all.into_iter().find(|fault| fault.name() == name)
    }

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

#[derive(Clone, Debug)]
pub struct FeedRunParams {
    pub routers: usize,
    pub nodes: usize,
    pub control_instances: usize,
    pub regions: usize,
    pub health_check_period: Duration,
    pub snapshot_bytes_per_s: f64,
    pub seed: u64,
    pub seconds: f64,
    pub memory_mb: usize,
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

#[derive(Debug, thiserror::Error)]
pub enum SizeError {
    #[error("there must be routers, nodes, control instances and regions, at least one of each")]
    Zero,
    #[error("at most 60000 routers and nodes and 250 control instances have addresses here")]
    TooManyAddresses,
    #[error(
        "{routers} routers that keep {nodes} nodes twice take some {needed} MB of {allowed}; {fit} routers fit"
    )]
    NotEnoughMemory { routers: usize, nodes: usize, needed: usize, allowed: usize, fit: usize },
}

/// What came of it, by the names of the scale run's figures.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub params: FeedRunParams,
    pub figures: BTreeMap<&'static str, f64>,
}

impl FeedRunParams {
    /// # Errors
    /// What does not fit, before anything is begun.
    pub fn validate(&self) -> Result<(), SizeError> {
        if [self.routers, self.nodes, self.control_instances, self.regions].contains(&0) {
            return Err(SizeError::Zero);
        }
        if self.routers > 60_000 || self.nodes > 60_000 || self.control_instances > 250 {
            return Err(SizeError::TooManyAddresses);
        }
        let each = 2 * self.nodes * ENTRY_BYTES;
        let (needed, allowed) = (self.routers * each / 1_000_000, self.memory_mb);
        if needed > allowed {
            let (routers, nodes, fit) = (self.routers, self.nodes, allowed * 1_000_000 / each);
            return Err(SizeError::NotEnoughMemory { routers, nodes, needed, allowed, fit });
        }
        Ok(())
    }

    fn shape(&self) -> FeedWorldParams {
        let mut fleet_params =
            fleet_params(self.health_check_period, self.health_check_period, self.health_check_period);
        // As of the program's control instances.
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

    /// Plays it.
    ///
    /// # Errors
    /// What does not fit, before anything is begun.
    pub fn simulate(&self) -> Result<Outcome, SizeError> {
        self.validate()?;
        let mut play = Play {
            params: self.clone(),
            world: FeedWorld::new(self.shape()),
            ages: Histogram::new(3).expect("three digits"),
            figures: BTreeMap::new(),
        };
        play.settle();
        play.calm();
        if let Some(fault) = self.fault {
            play.fault(fault);
        }
        Ok(Outcome { params: self.clone(), figures: play.figures })
    }
}

struct Play {
    params: FeedRunParams,
    world: FeedWorld,
    ages: Histogram<u64>,
    figures: BTreeMap<&'static str, f64>,
}

fn sum(costs: impl Iterator<Item = ProcessStats>) -> ProcessStats {
    costs.fold(ProcessStats::default(), |mut sum, one| {
        (sum.sent, sum.sent_bytes) = (sum.sent + one.sent, sum.sent_bytes + one.sent_bytes);
        (sum.received, sum.received_bytes) =
            (sum.received + one.received, sum.received_bytes + one.received_bytes);
        (sum.gossip_bytes, sum.cpu_time) = (sum.gossip_bytes + one.gossip_bytes, sum.cpu_time + one.cpu_time);
        sum.peak_bytes_per_s = sum.peak_bytes_per_s.max(one.peak_bytes_per_s);
        sum
    })
}

impl Play {
    fn routers(&self) -> ProcessStats {
        sum((0..self.params.routers).map(|place| self.world.router_stats(place)))
    }

    fn control(&self) -> ProcessStats {
        sum((0..self.params.control_instances).map(|place| self.world.control_stats(place)))
    }

    /// Until all follow and no copies are on their way.
    fn settle(&mut self) {
        let cpu_time = |world: &FeedWorld| {
            !world.all_subscribers_complete()
                || (0..self.params.control_instances)
                    .any(|place| world.publisher(place).is_some_and(|one| one.pending_snapshots() > 0))
        };
        let mut quiet = Duration::ZERO;
        while quiet < Duration::from_secs(7) && self.world.now < START_TIME + SETTLE {
            let until = self.world.now + Duration::from_millis(500);
            self.world.run_until(until);
            quiet = if cpu_time(&self.world) { Duration::ZERO } else { quiet + Duration::from_millis(500) };
        }
    }

    /// Runs for so long, looking at what is known.
    fn watch(&mut self, span: Duration) {
        let until = self.world.now + span;
        while self.world.now < until {
            let next = (self.world.now + LOOK).min(until);
            self.world.run_until(next);
            let some = |count: usize| (0..count).step_by(count.div_ceil(LOOKED_AT));
            for router in some(self.params.routers).filter(|router| self.world.subscriber(*router).is_some())
            {
                for node in some(self.params.nodes) {
                    if let Some(word) = self.world.observation(router, node) {
                        let age = self.world.now.saturating_sub(word.seen_at).as_micros() as u64;
                        self.ages.record(age).expect("a histogram that grows takes all");
                    }
                }
            }
        }
    }

    fn put_ages(&mut self, names: [&'static str; 3]) {
        for (name, quantile) in names.into_iter().zip([0.5, 0.99, 1.0]) {
            let micros = self.ages.value_at_quantile(quantile);
            self.figures.insert(name, micros as f64 / 1e6);
        }
        self.ages.reset();
    }

    fn calm(&mut self) {
        let seconds = self.params.seconds;
        let (routers, control, probes) = (self.routers(), self.control(), self.world.probe_count());
        self.world.reset_peaks();
        self.watch(Duration::from_secs_f64(seconds));
        let (routers_after, control_after) = (self.routers(), self.control());
        self.put_ages(["age_p50_s", "age_p99_s", "age_max_s"]);
        let each =
            |count: usize| move |after: u64, before: u64| (after - before) as f64 / count as f64 / seconds;
        let (router, instance) = (each(self.params.routers), each(self.params.control_instances));
        let cpu_time = |after: Duration, before: Duration, count: usize| {
            (after - before).as_secs_f64() / count as f64 / seconds
        };
        let state = |bytes: usize, count: usize| bytes as f64 / count as f64;
        let kept = (0..self.params.routers).flat_map(|place| self.world.subscriber(place));
        let kept = kept.map(|subscriber| subscriber.state_bytes()).sum();
        self.figures.extend([
            ("router_bytes_in_s", router(routers_after.received_bytes, routers.received_bytes)),
            ("router_bytes_out_s", router(routers_after.sent_bytes, routers.sent_bytes)),
            ("router_messages_in_s", router(routers_after.received, routers.received)),
            ("router_messages_out_s", router(routers_after.sent, routers.sent)),
            ("router_cpu_part", cpu_time(routers_after.cpu_time, routers.cpu_time, self.params.routers)),
            ("router_state_bytes", state(kept, self.params.routers)),
            ("control_bytes_in_s", instance(control_after.received_bytes, control.received_bytes)),
            ("control_bytes_out_s", instance(control_after.sent_bytes, control.sent_bytes)),
            ("control_messages_in_s", instance(control_after.received, control.received)),
            ("control_messages_out_s", instance(control_after.sent, control.sent)),
            ("control_fleet_bytes_s", instance(control_after.gossip_bytes, control.gossip_bytes)),
            (
                "control_cpu_part",
                cpu_time(control_after.cpu_time, control.cpu_time, self.params.control_instances),
            ),
            (
                "database_probes_s",
                (self.world.probe_count() - probes) as f64 / self.params.nodes as f64 / seconds,
            ),
            ("calm_peak_control_bytes_s", control_after.peak_bytes_per_s as f64),
        ]);
        let known = self.change();
        self.figures.insert("change_known_max_s", known);
    }

    /// From the first probe that saw a changed primary until every router knows; the longest of three.
    fn change(&mut self) -> f64 {
        let mut longest = Duration::ZERO;
        for turn in 0..3 {
            let node = (3 * turn + 1) % self.params.nodes;
            self.world.set_primary(node, true);
            let limit = self.world.now + Duration::from_secs(20);
            let knows = |world: &FeedWorld, router: usize| {
                world.observation(router, node).is_some_and(|word| word.primary == Some(true))
            };
            while !(0..self.params.routers).all(|router| knows(&self.world, router)) && self.world.now < limit
            {
                let until = self.world.now + Duration::from_millis(10);
                self.world.run_until(until);
            }
            let seen = self.world.role_seen_at(node).unwrap_or(self.world.now);
            longest = longest.max(self.world.now.saturating_sub(seen));
        }
        longest.as_secs_f64()
    }

    fn fault(&mut self, fault: FeedFault) {
        let sixth: Vec<usize> = (0..self.params.routers).step_by(6).collect();
        let second = Duration::from_secs(1);
        self.world.run_until(self.world.now + second);
        self.world.reset_peaks();
        let from = self.world.now;
        match fault {
            FeedFault::Restart => {
                sixth.iter().for_each(|router| self.world.kill_router(*router));
                sixth.iter().for_each(|router| self.world.start_router(*router));
                let follow = self.until_all_follow(from);
                self.figures.insert("follow_max_s", follow);
                self.watch(second * 8);
            }
            FeedFault::Pause => {
                sixth.iter().for_each(|router| self.world.pause_router(*router));
                self.world.run_until(from + STOPPED);
                sixth.iter().for_each(|router| self.world.resume_router(*router));
                let agree = self.until_all_fresh(from + STOPPED);
                self.figures.insert("agree_max_s", agree);
                self.watch(second * 5);
            }
            FeedFault::Partition => {
                self.world.partitioned = true;
                self.watch(CUT);
                self.world.partitioned = false;
                self.ages.reset();
                let agree = self.until_all_fresh(self.world.now);
                self.figures.insert("agree_max_s", agree);
            }
            FeedFault::KillControl => {
                self.world.kill_control(0);
                self.watch(second * 8);
            }
            FeedFault::KillAllControl => {
                (0..self.params.control_instances).for_each(|place| self.world.kill_control(place));
                self.watch(second * 3);
                let bytes = self.routers().sent_bytes;
                self.world.run_until(self.world.now + second * 5);
                let each = (self.routers().sent_bytes - bytes) as f64 / self.params.routers as f64 / 5.0;
                self.figures.insert("alone_router_bytes_out_s", each);
            }
        }
        if !self.ages.is_empty() {
            self.put_ages(["fault_age_p50_s", "fault_age_p99_s", "fault_age_max_s"]);
        }
        let (routers, control) = (self.routers().peak_bytes_per_s, self.control().peak_bytes_per_s);
        self.figures.insert("peak_router_bytes_s", routers as f64);
        self.figures.insert("peak_control_bytes_s", control as f64);
        let most = (0..self.params.routers).flat_map(|place| self.world.subscriber(place));
        let most = most.map(|one| one.state_bytes()).max().unwrap_or_default();
        self.figures.insert("peak_router_state_bytes", most as f64);
    }

    fn until_all_follow(&mut self, from: Duration) -> f64 {
        while !self.world.all_subscribers_complete() && self.world.now < from + SETTLE {
            let until = self.world.now + Duration::from_millis(50);
            self.world.run_until(until);
        }
        (self.world.now - from).as_secs_f64()
    }

    /// Until every router that is looked at knows of every node something of the last second.
    fn until_all_fresh(&mut self, from: Duration) -> f64 {
        let fresh = |world: &FeedWorld, router: usize, node: usize| {
            let word = world.observation(router, node);
            word.is_some_and(|word| !word.failed && word.seen_at + Duration::from_secs(1) >= world.now)
        };
        let all = |world: &FeedWorld| {
            let some = (0..self.params.routers).step_by(self.params.routers.div_ceil(LOOKED_AT));
            some.into_iter().all(|router| (0..self.params.nodes).all(|node| fresh(world, router, node)))
        };
        while !all(&self.world) && self.world.now < from + SETTLE {
            let until = self.world.now + Duration::from_millis(50);
            self.world.run_until(until);
        }
        (self.world.now - from).as_secs_f64()
    }
}

impl Outcome {
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(f64::NAN)
    }

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
                "control": params.control_instances, "databases": params.nodes, "connections": 0, "statements": 0.0,
                "changes": 0.0, "period_s": params.health_check_period.as_secs_f64(), "seed": params.seed,
                "seconds": params.seconds,
            },
            "figures": self.figures,
            "bounds": [],
        });
        let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
        writeln!(file, "{line}")
    }
}
