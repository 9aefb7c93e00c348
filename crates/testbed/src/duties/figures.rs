//! The figures of a whole run, and the bounds they must meet.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::bench::{Bench, record_micros};
use super::rpc_costs::{FirstReads, RpcCosts};
use super::{MAX_GAP_S, ROUTERS};
use crate::load::RpcResults;
use crate::replica_set::Node;

/// Shared health checks may be at most this fraction of those that three routers make when each checks all
/// nodes alone.
const MAX_SHARED_PROBES_PART: f64 = 0.5;

/// Results of a run besides its phases.
#[derive(Default)]
pub struct Findings {
    /// The longest gap of any node through all phases before the restart of all routers, in seconds.
    pub gap_max_s: f64,
    /// Routers killed.
    pub kills: usize,
    /// The longest gap after a kill, until others check the nodes of the killed router, in seconds.
    pub take_over_max_s: f64,
    /// Whether the paused router logged the pause.
    pub logged_pause: bool,
    /// Peers declared dead while one direction between two routers lost all datagrams.
    pub false_deaths: usize,
    /// RPCs at a node that is warming up, as a fraction of those at a warm one.
    pub cold_part: f64,
    /// Whether the router that received SIGTERM exited successfully.
    pub drained: bool,
    /// What sharing health checks changes for RPCs; long runs only.
    pub rpc_costs: Vec<RpcCosts>,
    /// First reads of routers that have just started; long runs only.
    pub first_reads: Vec<FirstReads>,
}

/// The last line of the output. The counts of RPCs are those of the load in the shared phases; see [`RpcResults`].
#[derive(Serialize)]
pub struct Figures {
    /// See [`Findings::gap_max_s`].
    pub probe_gap_max_s: f64,
    /// Health checks per second of a quiet node while routers share them.
    pub probes_per_node_s_shared: f64,
    /// The same while each router checks all nodes by itself.
    pub probes_per_node_s_alone: f64,
    /// The most of any node while routers make none but for their RPCs.
    pub probes_per_node_s_off: f64,
    /// See [`Findings::take_over_max_s`].
    pub take_over_max_s: f64,
    /// Routers killed.
    pub kills: usize,
    /// RPCs sent.
    pub rpcs: u64,
    /// RPCs that succeeded.
    pub ok: u64,
    /// RPCs that were rejected with nothing run.
    pub pushed_back: u64,
    /// RPCs that ended in any other error.
    pub aborted: u64,
    /// RPCs whose connection broke while their router was down or being stopped.
    pub cut: u64,
    /// RPCs without an answer in time, or whose connection broke while their router was up.
    pub lost: u64,
    /// Writes that ran twice.
    pub doubled: u64,
    /// Reads of values older than allowed.
    pub stale: u64,
    /// Writes that were answered ok but did not run.
    pub entered_missing: usize,
    /// Writes that were rejected but ran.
    pub refused_but_ran: usize,
    /// See [`Findings::cold_part`].
    pub cold_part: f64,
    /// See [`Findings::false_deaths`].
    pub false_deaths: usize,
    /// Median time of successful RPCs.
    pub p50_ms: f64,
    /// The 99th percentile of these times.
    pub p99_ms: f64,
    /// Seed of the run.
    pub seed: u64,
    /// The bounds that do not hold.
    pub broken: Vec<String>,
}

impl Figures {
    /// Computes the figures of a run; `broken` stays empty.
    pub fn new(bench: &Bench, findings: &Findings, tally: &RpcResults, seed: u64) -> Self {
        let count = |count: &std::sync::atomic::AtomicU64| count.load(std::sync::atomic::Ordering::SeqCst);
        let ids = |ids: &std::sync::Mutex<Vec<String>>| ids.lock().map(|ids| ids.clone()).unwrap_or_default();
        let mut times = Histogram::<u64>::new(3).expect("3 significant digits are a valid precision");
        tally
            .latencies_us
            .lock()
            .map(|all| all.iter().for_each(|time| record_micros(&mut times, *time)))
            .unwrap_or_default();
        let (_, doubled) = bench.busy.write_counts();
        Figures {
            probe_gap_max_s: findings.gap_max_s,
            probes_per_node_s_shared: bench.last("shared").probes_per_quiet_node_s,
            probes_per_node_s_alone: bench.last("alone").probes_per_quiet_node_s,
            probes_per_node_s_off: bench.last("off").probes_per_node_s_max,
            take_over_max_s: findings.take_over_max_s,
            kills: findings.kills,
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
            cold_part: findings.cold_part,
            false_deaths: findings.false_deaths,
            p50_ms: times.value_at_quantile(0.5) as f64 / 1000.0,
            p99_ms: times.value_at_quantile(0.99) as f64 / 1000.0,
            seed,
            broken: Vec::new(),
        }
    }

    /// The bounds that do not hold.
    pub fn broken(&self, bench: &Bench, findings: &Findings) -> Vec<String> {
        let alone = self.probes_per_node_s_alone;
        // Each router alone may check a node once in 150 ms, plus 5% tolerance.
        let ceiling = ROUTERS as f64 / 0.150 * 1.05;
        let highest = bench.phases.iter().map(|phase| phase.probes_per_node_s_max).fold(0.0, f64::max);
        let bounds = [
            ("a node unheard of for too long", self.probe_gap_max_s <= MAX_GAP_S),
            ("a killed router's duties taken over too late", self.take_over_max_s <= MAX_GAP_S),
            ("shared probes cost too much", self.probes_per_node_s_shared <= alone * MAX_SHARED_PROBES_PART),
            ("too few probes: something else is amiss", self.probes_per_node_s_shared >= 2.0),
            ("more probes than the ceilings allow", highest <= ceiling),
            ("an RPC was lost", self.lost == 0),
            ("a write ran twice", self.doubled == 0),
            ("a stale read", self.stale == 0),
            ("a write answered ok did not run", self.entered_missing == 0),
            ("a write pushed back ran", self.refused_but_ran == 0),
            ("hardly any RPCs were ok", self.ok * 10 >= self.rpcs * 9 && self.rpcs > 1000),
            ("a cold node got as much as a warm one", self.cold_part <= 0.9),
            ("a router that stood still did not notice", findings.logged_pause),
            ("a router that was told to stop did not end well", findings.drained),
            ("one lossy way killed a peer", self.false_deaths == 0),
        ];
        bounds.iter().filter(|(_, kept)| !kept).map(|(bound, _)| (*bound).to_string()).collect()
    }
}
