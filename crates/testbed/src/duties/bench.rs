//! The stand-in nodes of a run, and what each phase of it has shown.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::ROUTERS;
use crate::now;
use crate::replica_set::{Node, ReplicaSet};
use crate::routers::Routers;

/// The figures of a phase.
#[derive(Default, Serialize)]
pub struct Phase {
    /// The name of the phase.
    pub phase: &'static str,
    /// How long it lasted.
    pub seconds: f64,
    /// The longest gap over all nodes: the longest time in which no router received any news of a node.
    pub gap_max_s: f64,
    /// The 99th percentile of the gaps of all nodes.
    pub gap_p99_s: f64,
    /// The median of the gaps of all nodes.
    pub gap_p50_s: f64,
    /// Health checks per second of a node without RPCs, the mean over such nodes.
    pub probes_per_quiet_node_s: f64,
    /// The most health checks per second of any node.
    pub probes_per_node_s_max: f64,
    /// Processor time as a fraction of a core, the mean over the routers.
    pub cpu_part: f64,
    /// Resident memory in MB, the mean over the routers.
    pub resident_mb: f64,
}

/// The stand-in nodes of a run and its phases so far.
pub struct Bench {
    /// Nodes with load.
    pub busy: ReplicaSet,
    /// Nodes without load.
    pub quiet: ReplicaSet,
    /// The phases so far.
    pub phases: Vec<Phase>,
}

impl Bench {
    /// All nodes, those with load first.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.busy.nodes.iter().chain(&self.quiet.nodes)
    }

    /// The longest gap of any node between these two times, in seconds.
    pub fn gap(&self, from: Duration, to: Duration) -> f64 {
        self.nodes().map(|node| node.longest_contact_gap(from, to)).max().unwrap_or_default().as_secs_f64()
    }

    /// Adds a phase that lasted from `from` until now. `cpu_used` is the processor time of each router at its
    /// beginning.
    pub fn phase(&mut self, name: &'static str, from: Duration, routers: &Routers, cpu_used: &[Duration]) {
        let (to, seconds) = (now(), (now() - from).as_secs_f64());
        let mut times = Histogram::<u64>::new(3).expect("3 significant digits are a valid precision");
        for gap in self.nodes().flat_map(|node| node.contact_gaps(from, to)) {
            record_micros(&mut times, gap.as_micros() as u64);
        }
        let rate = |node: &Node| node.probes_since(from) as f64 / seconds;
        let quiet = self.quiet.nodes.iter().map(rate).sum::<f64>() / self.quiet.nodes.len() as f64;
        let usage: Vec<_> =
            (0..ROUTERS).filter_map(|index| routers.usage(index).map(|usage| (index, usage))).collect();
        let cpu: f64 =
            usage.iter().map(|(index, (_, time))| time.saturating_sub(cpu_used[*index]).as_secs_f64()).sum();
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
            "{name:>20}: {seconds:5.1} s, longest gap {:.3} s, {:.2} probes per second of a quiet node, {:.1}% of a core, {:.1} MB",
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
    /// There is no phase of that name.
    pub fn last(&self, name: &str) -> &Phase {
        self.phases.iter().rfind(|phase| phase.phase == name).expect("a phase of this name has been run")
    }
}

/// The processor time of each router so far.
pub fn cpu_used(routers: &Routers) -> Vec<Duration> {
    (0..ROUTERS).map(|index| routers.usage(index).map_or(Duration::ZERO, |(_, time)| time)).collect()
}

/// Records a time in a histogram that resizes itself, so that no value is clipped.
pub fn record_micros(times: &mut Histogram<u64>, micros: u64) {
    times.record(micros).expect("an auto-resizing histogram accepts every value");
}
