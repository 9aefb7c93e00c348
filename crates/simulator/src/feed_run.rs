//! One run of control instances and routers: its sizes, a fault if any, and what is counted. Lines are of the form of
//! the scale run's records; that no process took part shows that they are simulated.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;

use crate::feed_world::{Costs, Shape, World};
use crate::network::Quality;
use crate::world::{START, plans};

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
pub enum Fault {
    /// A sixth of the routers at once.
    Restart,
    Stop,
    /// The regions from each other.
    Cut,
    /// One control instance.
    Kill,
    /// All of them.
    KillAll,
}

impl Fault {
    pub fn named(name: &str) -> Option<Self> {
        let all = [Self::Restart, Self::Stop, Self::Cut, Self::Kill, Self::KillAll];
        all.into_iter().find(|fault| fault.name() == name)
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::Restart => "restart",
            Self::Stop => "stop",
            Self::Cut => "cut",
            Self::Kill => "control",
            Self::KillAll => "control-all",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Sizes {
    pub routers: usize,
    pub nodes: usize,
    pub control: usize,
    pub regions: usize,
    pub period: Duration,
    pub copy_rate: f64,
    pub seed: u64,
    pub seconds: f64,
    pub memory_mb: usize,
    pub fault: Option<Fault>,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            routers: 100,
            nodes: 250,
            control: 8,
            regions: 2,
            period: Duration::from_millis(150),
            copy_rate: 12e6,
            seed: 1,
            seconds: 4.0,
            memory_mb: 4000,
            fault: None,
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum TooLarge {
    #[error("there must be routers, nodes, control instances and regions, at least one of each")]
    Nothing,
    #[error("at most 60000 routers and nodes and 250 control instances have addresses here")]
    Addresses,
    #[error(
        "{routers} routers that keep {nodes} nodes twice take some {needed} MB of {allowed}; {fit} routers fit"
    )]
    Memory { routers: usize, nodes: usize, needed: usize, allowed: usize, fit: usize },
}

/// What came of it, by the names of the scale run's figures.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sizes: Sizes,
    pub figures: BTreeMap<&'static str, f64>,
}

impl Sizes {
    /// # Errors
    /// What does not fit, before anything is begun.
    pub fn check(&self) -> Result<(), TooLarge> {
        if [self.routers, self.nodes, self.control, self.regions].contains(&0) {
            return Err(TooLarge::Nothing);
        }
        if self.routers > 60_000 || self.nodes > 60_000 || self.control > 250 {
            return Err(TooLarge::Addresses);
        }
        let each = 2 * self.nodes * ENTRY_BYTES;
        let (needed, allowed) = (self.routers * each / 1_000_000, self.memory_mb);
        if needed > allowed {
            let (routers, nodes, fit) = (self.routers, self.nodes, allowed * 1_000_000 / each);
            return Err(TooLarge::Memory { routers, nodes, needed, allowed, fit });
        }
        Ok(())
    }

    fn shape(&self) -> Shape {
        let mut plans = plans(self.period, self.period, self.period);
        // As of the program's control instances.
        plans.budgets_grow_with_nodes = true;
        Shape {
            routers: self.routers,
            control: self.control,
            nodes: self.nodes,
            regions: self.regions,
            quality: Quality::default(),
            plans,
            copy_rate: self.copy_rate,
            lag: Duration::from_millis(20),
            seed: self.seed,
        }
    }

    /// Plays it.
    ///
    /// # Errors
    /// What does not fit, before anything is begun.
    pub fn play(&self) -> Result<Outcome, TooLarge> {
        self.check()?;
        let mut play = Play {
            sizes: self.clone(),
            world: World::new(self.shape()),
            ages: Histogram::new(3).expect("three digits"),
            figures: BTreeMap::new(),
        };
        play.settle();
        play.calm();
        if let Some(fault) = self.fault {
            play.fault(fault);
        }
        Ok(Outcome { sizes: self.clone(), figures: play.figures })
    }
}

struct Play {
    sizes: Sizes,
    world: World,
    ages: Histogram<u64>,
    figures: BTreeMap<&'static str, f64>,
}

fn sum(costs: impl Iterator<Item = Costs>) -> Costs {
    costs.fold(Costs::default(), |mut sum, one| {
        (sum.sent, sum.sent_bytes) = (sum.sent + one.sent, sum.sent_bytes + one.sent_bytes);
        (sum.taken, sum.taken_bytes) = (sum.taken + one.taken, sum.taken_bytes + one.taken_bytes);
        (sum.fleet_bytes, sum.busy) = (sum.fleet_bytes + one.fleet_bytes, sum.busy + one.busy);
        sum.peak = sum.peak.max(one.peak);
        sum
    })
}

impl Play {
    fn routers(&self) -> Costs {
        sum((0..self.sizes.routers).map(|place| self.world.router_costs(place)))
    }

    fn control(&self) -> Costs {
        sum((0..self.sizes.control).map(|place| self.world.control_costs(place)))
    }

    /// Until all follow and no copies are on their way.
    fn settle(&mut self) {
        let busy = |world: &World| {
            !world.all_follow()
                || (0..self.sizes.control)
                    .any(|place| world.publisher(place).is_some_and(|one| one.pending_snapshots() > 0))
        };
        let mut quiet = Duration::ZERO;
        while quiet < Duration::from_secs(7) && self.world.now < START + SETTLE {
            let until = self.world.now + Duration::from_millis(500);
            self.world.run_until(until);
            quiet = if busy(&self.world) { Duration::ZERO } else { quiet + Duration::from_millis(500) };
        }
    }

    /// Runs for so long, looking at what is known.
    fn watch(&mut self, span: Duration) {
        let until = self.world.now + span;
        while self.world.now < until {
            let next = (self.world.now + LOOK).min(until);
            self.world.run_until(next);
            let some = |count: usize| (0..count).step_by(count.div_ceil(LOOKED_AT));
            for router in some(self.sizes.routers).filter(|router| self.world.subscriber(*router).is_some()) {
                for node in some(self.sizes.nodes) {
                    if let Some(word) = self.world.known(router, node) {
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
        let seconds = self.sizes.seconds;
        let (routers, control, probes) = (self.routers(), self.control(), self.world.probes());
        self.world.forget_peaks();
        self.watch(Duration::from_secs_f64(seconds));
        let (routers_after, control_after) = (self.routers(), self.control());
        self.put_ages(["age_p50_s", "age_p99_s", "age_max_s"]);
        let each =
            |count: usize| move |after: u64, before: u64| (after - before) as f64 / count as f64 / seconds;
        let (router, instance) = (each(self.sizes.routers), each(self.sizes.control));
        let busy = |after: Duration, before: Duration, count: usize| {
            (after - before).as_secs_f64() / count as f64 / seconds
        };
        let state = |bytes: usize, count: usize| bytes as f64 / count as f64;
        let kept = (0..self.sizes.routers).flat_map(|place| self.world.subscriber(place));
        let kept = kept.map(|subscriber| subscriber.state_bytes()).sum();
        self.figures.extend([
            ("router_bytes_in_s", router(routers_after.taken_bytes, routers.taken_bytes)),
            ("router_bytes_out_s", router(routers_after.sent_bytes, routers.sent_bytes)),
            ("router_messages_in_s", router(routers_after.taken, routers.taken)),
            ("router_messages_out_s", router(routers_after.sent, routers.sent)),
            ("router_cpu_part", busy(routers_after.busy, routers.busy, self.sizes.routers)),
            ("router_state_bytes", state(kept, self.sizes.routers)),
            ("control_bytes_in_s", instance(control_after.taken_bytes, control.taken_bytes)),
            ("control_bytes_out_s", instance(control_after.sent_bytes, control.sent_bytes)),
            ("control_messages_in_s", instance(control_after.taken, control.taken)),
            ("control_messages_out_s", instance(control_after.sent, control.sent)),
            ("control_fleet_bytes_s", instance(control_after.fleet_bytes, control.fleet_bytes)),
            ("control_cpu_part", busy(control_after.busy, control.busy, self.sizes.control)),
            ("database_probes_s", (self.world.probes() - probes) as f64 / self.sizes.nodes as f64 / seconds),
            ("calm_peak_control_bytes_s", control_after.peak as f64),
        ]);
        let known = self.change();
        self.figures.insert("change_known_max_s", known);
    }

    /// From the first probe that saw a changed primary until every router knows; the longest of three.
    fn change(&mut self) -> f64 {
        let mut longest = Duration::ZERO;
        for turn in 0..3 {
            let node = (3 * turn + 1) % self.sizes.nodes;
            self.world.set_primary(node, true);
            let limit = self.world.now + Duration::from_secs(20);
            let knows = |world: &World, router: usize| {
                world.known(router, node).is_some_and(|word| word.primary == Some(true))
            };
            while !(0..self.sizes.routers).all(|router| knows(&self.world, router)) && self.world.now < limit
            {
                let until = self.world.now + Duration::from_millis(10);
                self.world.run_until(until);
            }
            let seen = self.world.role_seen(node).unwrap_or(self.world.now);
            longest = longest.max(self.world.now.saturating_sub(seen));
        }
        longest.as_secs_f64()
    }

    fn fault(&mut self, fault: Fault) {
        let sixth: Vec<usize> = (0..self.sizes.routers).step_by(6).collect();
        let second = Duration::from_secs(1);
        self.world.run_until(self.world.now + second);
        self.world.forget_peaks();
        let from = self.world.now;
        match fault {
            Fault::Restart => {
                sixth.iter().for_each(|router| self.world.kill_router(*router));
                sixth.iter().for_each(|router| self.world.start_router(*router));
                let follow = self.until_all_follow(from);
                self.figures.insert("follow_max_s", follow);
                self.watch(second * 8);
            }
            Fault::Stop => {
                sixth.iter().for_each(|router| self.world.stop_router(*router));
                self.world.run_until(from + STOPPED);
                sixth.iter().for_each(|router| self.world.go_on_router(*router));
                let agree = self.until_all_fresh(from + STOPPED);
                self.figures.insert("agree_max_s", agree);
                self.watch(second * 5);
            }
            Fault::Cut => {
                self.world.parted = true;
                self.watch(CUT);
                self.world.parted = false;
                self.ages.reset();
                let agree = self.until_all_fresh(self.world.now);
                self.figures.insert("agree_max_s", agree);
            }
            Fault::Kill => {
                self.world.kill_control(0);
                self.watch(second * 8);
            }
            Fault::KillAll => {
                (0..self.sizes.control).for_each(|place| self.world.kill_control(place));
                self.watch(second * 3);
                let bytes = self.routers().sent_bytes;
                self.world.run_until(self.world.now + second * 5);
                let each = (self.routers().sent_bytes - bytes) as f64 / self.sizes.routers as f64 / 5.0;
                self.figures.insert("alone_router_bytes_out_s", each);
            }
        }
        if !self.ages.is_empty() {
            self.put_ages(["fault_age_p50_s", "fault_age_p99_s", "fault_age_max_s"]);
        }
        let (routers, control) = (self.routers().peak, self.control().peak);
        self.figures.insert("peak_router_bytes_s", routers as f64);
        self.figures.insert("peak_control_bytes_s", control as f64);
        let most = (0..self.sizes.routers).flat_map(|place| self.world.subscriber(place));
        let most = most.map(|one| one.state_bytes()).max().unwrap_or_default();
        self.figures.insert("peak_router_state_bytes", most as f64);
    }

    fn until_all_follow(&mut self, from: Duration) -> f64 {
        while !self.world.all_follow() && self.world.now < from + SETTLE {
            let until = self.world.now + Duration::from_millis(50);
            self.world.run_until(until);
        }
        (self.world.now - from).as_secs_f64()
    }

    /// Until every router that is looked at knows of every node something of the last second.
    fn until_all_fresh(&mut self, from: Duration) -> f64 {
        let fresh = |world: &World, router: usize, node: usize| {
            let word = world.known(router, node);
            word.is_some_and(|word| !word.failed && word.seen_at + Duration::from_secs(1) >= world.now)
        };
        let all = |world: &World| {
            let some = (0..self.sizes.routers).step_by(self.sizes.routers.div_ceil(LOOKED_AT));
            some.into_iter().all(|router| (0..self.sizes.nodes).all(|node| fresh(world, router, node)))
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
        let sizes = &self.sizes;
        let line = json!({
            "kind": "run",
            "axis": null,
            "fault": sizes.fault.map(Fault::name),
            "sizes": {
                "mode": "feed", "routers": sizes.routers, "real": 0, "hollow_processes": 0,
                "control": sizes.control, "databases": sizes.nodes, "connections": 0, "statements": 0.0,
                "changes": 0.0, "period_s": sizes.period.as_secs_f64(), "seed": sizes.seed,
                "seconds": sizes.seconds,
            },
            "figures": self.figures,
            "bounds": [],
        });
        let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
        writeln!(file, "{line}")
    }
}
