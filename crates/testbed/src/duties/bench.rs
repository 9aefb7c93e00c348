//! Nodes under health checks, and what each phase of a run has shown of them.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::ROUTERS;
use crate::now;
use crate::replica_set::{Node, ReplicaSet};
use crate::routers::Routers;

/// What a phase has shown.
#[derive(Default, Serialize)]
pub struct Phase {
    pub phase: &'static str,
    pub seconds: f64,
    /// The longest time in which nothing told any router of a node, over all nodes, and quantiles of such times.
    pub gap_max_s: f64,
    pub gap_p99_s: f64,
    pub gap_p50_s: f64,
    /// Probes a second of a node that gets no RPCs, in the mean and at the most.
    pub probes_per_quiet_node_s: f64,
    pub probes_per_node_s_max: f64,
    /// Processor time a second, and resident memory, of the mean router.
    pub cpu_part: f64,
    pub resident_mb: f64,
}

/// The stand-in nodes of a run, those with load and those without, and the phases so far.
pub struct Bench {
    pub busy: ReplicaSet,
    pub quiet: ReplicaSet,
    pub phases: Vec<Phase>,
}

impl Bench {
    /// All nodes, those with load first.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.busy.nodes.iter().chain(&self.quiet.nodes)
    }

    /// The longest time between these in which nothing told any router of some node, in seconds.
    pub fn gap(&self, from: Duration, to: Duration) -> f64 {
        self.nodes().map(|node| node.longest_contact_gap(from, to)).max().unwrap_or_default().as_secs_f64()
    }

    /// Enters what has been seen since then.
    pub fn phase(&mut self, name: &'static str, from: Duration, routers: &Routers, used: &[Duration]) {
        let (to, seconds) = (now(), (now() - from).as_secs_f64());
        let mut times = Histogram::<u64>::new(3).expect("three digits");
        for gap in self.nodes().flat_map(|node| node.contact_gaps(from, to)) {
            note(&mut times, gap.as_micros() as u64);
        }
        let rate = |node: &Node| node.probes_since(from) as f64 / seconds;
        let quiet = self.quiet.nodes.iter().map(rate).sum::<f64>() / self.quiet.nodes.len() as f64;
        let usage: Vec<_> =
            (0..ROUTERS).filter_map(|place| routers.usage(place).map(|usage| (place, usage))).collect();
        let cpu: f64 =
            usage.iter().map(|(place, (_, time))| time.saturating_sub(used[*place]).as_secs_f64()).sum();
        let resident: f64 = usage.iter().map(|(_, (bytes, _))| *bytes as f64).sum();
        let count = usage.len().max(1) as f64;
        let phase = Phase {
            phase: name,
            seconds,
            gap_max_s: self.gap(from, to),
            gap_p99_s: times.value_at_quantile(0.99) as f64 / 1e6,
            gap_p50_s: times.value_at_quantile(0.5) as f64 / 1e6,
            probes_per_quiet_node_s: quiet,
            probes_per_node_s_max: self.nodes().map(rate).fold(0.0, f64::max),
            cpu_part: cpu / count / seconds,
            resident_mb: resident / count / 1e6,
        };
        println!(
            "{name:>20}: {seconds:5.1} s, longest gap {:.3} s, {:.2} probes a second of a quiet node, {:.1}% of a core, {:.1} MB",
            phase.gap_max_s,
            phase.probes_per_quiet_node_s,
            phase.cpu_part * 100.0,
            phase.resident_mb
        );
        self.phases.push(phase);
    }

    /// The last phase of that name.
    ///
    /// # Panics
    /// None was played.
    pub fn last(&self, name: &str) -> &Phase {
        self.phases.iter().rfind(|phase| phase.phase == name).expect("each phase is played")
    }
}

/// The processor time of each router so far.
pub fn used(routers: &Routers) -> Vec<Duration> {
    (0..ROUTERS).map(|place| routers.usage(place).map_or(Duration::ZERO, |(_, time)| time)).collect()
}

/// Records a time in a histogram that grows as it must, so that no value is cut.
pub fn note(times: &mut Histogram<u64>, micros: u64) {
    times.record(micros).expect("a histogram that grows takes all");
}
