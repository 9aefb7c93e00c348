//! The figures of a whole run, and the bounds that they are held against.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::bench::{Bench, note};
use super::rpc_costs::{Contrast, FirstReads};
use super::{LONGEST_GAP, ROUTERS};
use crate::load::RpcResults;
use crate::replica_set::Node;

/// Shared probing costs at most this part of what three routers alone cost together.
const SHARED_PART: f64 = 0.5;

/// What a run has shown beside its phases.
#[derive(Default)]
pub struct Found {
    pub gap_max_s: f64,
    pub kills: usize,
    pub take_over_max_s: f64,
    /// Whether the router that stood still said so.
    pub noticed_pause: bool,
    pub false_deaths: usize,
    /// RPCs at a node that warms up, as a part of those at a warm one.
    pub cold_part: f64,
    /// Whether the router that was told to stop ended well.
    pub drained: bool,
    pub contrasts: Vec<Contrast>,
    pub firsts: Vec<FirstReads>,
}

/// The last line.
#[derive(Serialize)]
pub struct Figures {
    pub probe_gap_max_s: f64,
    pub probes_per_node_s_shared: f64,
    pub probes_per_node_s_alone: f64,
    pub probes_per_node_s_off: f64,
    pub take_over_max_s: f64,
    pub kills: usize,
    pub rpcs: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub cut: u64,
    pub lost: u64,
    pub doubled: u64,
    pub stale: u64,
    pub entered_missing: usize,
    pub refused_but_ran: usize,
    pub cold_part: f64,
    pub false_deaths: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub seed: u64,
    pub broken: Vec<String>,
}

impl Figures {
    /// The figures of a run, without the bounds that it broke.
    pub fn new(bench: &Bench, found: &Found, tally: &RpcResults, seed: u64) -> Self {
        let count = |count: &std::sync::atomic::AtomicU64| count.load(std::sync::atomic::Ordering::SeqCst);
        let ids = |ids: &std::sync::Mutex<Vec<String>>| ids.lock().map(|ids| ids.clone()).unwrap_or_default();
        let mut times = Histogram::<u64>::new(3).expect("three digits");
        tally
            .latencies_us
            .lock()
            .map(|all| all.iter().for_each(|time| note(&mut times, *time)))
            .unwrap_or_default();
        let (_, doubled) = bench.busy.write_counts();
        Figures {
            probe_gap_max_s: found.gap_max_s,
            probes_per_node_s_shared: bench.last("shared").probes_per_quiet_node_s,
            probes_per_node_s_alone: bench.last("alone").probes_per_quiet_node_s,
            probes_per_node_s_off: bench.last("off").probes_per_node_s_max,
            take_over_max_s: found.take_over_max_s,
            kills: found.kills,
            rpcs: tally.total(),
            ok: count(&tally.ok),
            pushed_back: count(&tally.rejected),
            aborted: count(&tally.failed),
            cut: count(&tally.interrupted),
            lost: count(&tally.lost),
            doubled: doubled as u64,
            stale: bench.nodes().map(Node::stale_reads).sum(),
            entered_missing: ids(&tally.committed_ids)
                .iter()
                .filter(|id| !bench.busy.has_executed(id))
                .count(),
            refused_but_ran: ids(&tally.rejected_ids).iter().filter(|id| bench.busy.has_executed(id)).count(),
            cold_part: found.cold_part,
            false_deaths: found.false_deaths,
            p50_ms: times.value_at_quantile(0.5) as f64 / 1000.0,
            p99_ms: times.value_at_quantile(0.99) as f64 / 1000.0,
            seed,
            broken: Vec::new(),
        }
    }

    /// The bounds that do not hold, in words.
    pub fn broken(&self, bench: &Bench, found: &Found) -> Vec<String> {
        let alone = self.probes_per_node_s_alone;
        // What one router alone may do, from its floor, for each of them.
        let ceiling = ROUTERS as f64 / 0.150 * 1.05;
        let highest = bench.phases.iter().map(|phase| phase.probes_per_node_s_max).fold(0.0, f64::max);
        let bounds = [
            ("a node unheard of for too long", self.probe_gap_max_s <= LONGEST_GAP),
            ("a killed router's duties taken over too late", self.take_over_max_s <= LONGEST_GAP),
            ("shared probes cost too much", self.probes_per_node_s_shared <= alone * SHARED_PART),
            ("too few probes: something else is amiss", self.probes_per_node_s_shared >= 2.0),
            ("more probes than the ceilings allow", highest <= ceiling),
            ("an RPC was lost", self.lost == 0),
            ("a write ran twice", self.doubled == 0),
            ("a stale read", self.stale == 0),
            ("a write answered ok did not run", self.entered_missing == 0),
            ("a write pushed back ran", self.refused_but_ran == 0),
            ("hardly any RPCs were ok", self.ok * 10 >= self.rpcs * 9 && self.rpcs > 1000),
            ("a cold node got as much as a warm one", self.cold_part <= 0.9),
            ("a router that stood still did not notice", found.noticed_pause),
            ("a router that was told to stop did not end well", found.drained),
            ("one lossy way killed a peer", self.false_deaths == 0),
        ];
        bounds.iter().filter(|(_, kept)| !kept).map(|(bound, _)| (*bound).to_string()).collect()
    }
}
