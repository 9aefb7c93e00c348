//! Measures what sharing health checks changes for RPCs.

use std::thread::sleep;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::bench::record_micros;
use crate::load::LoadGenerator;
use crate::now;
use crate::replica_set::ReplicaSet;
use crate::routers::Routers;

/// How long a fleet takes to settle.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// What sharing health checks changes for RPCs: at routers with few requests, and when a primary fails.
#[derive(Serialize)]
pub struct RpcCosts {
    /// Whether and how the routers share health checks.
    pub contrast: &'static str,
    /// Median time of sparse bounded reads, one in 0.7 s at each router.
    pub sparse_p50_ms: f64,
    /// The 99th percentile of these times.
    pub sparse_p99_ms: f64,
    /// The longest of these times.
    pub sparse_max_ms: f64,
    /// Sparse reads that succeeded.
    pub sparse_ok: u64,
    /// Sparse reads that were rejected with nothing run.
    pub sparse_pushed_back: u64,
    /// Health checks made per sparse read.
    pub sparse_probes_per_rpc: f64,
    /// Health checks of the group in the second after its primary failed, under the usual load.
    pub failover_probes: usize,
}

/// Measures sparse reads at each router for this many seconds, then a failing primary.
pub fn measure_rpc_costs(
    name: &'static str,
    busy: &ReplicaSet,
    addresses: &[std::net::SocketAddr],
    seconds: u64,
) -> RpcCosts {
    let load = LoadGenerator::with_methods(addresses, 1, Duration::from_millis(700), &["recent"]);
    let from = now();
    sleep(Duration::from_secs(seconds));
    let tally = load.finish();
    let probes: usize = busy.nodes.iter().map(|node| node.probes_since(from)).sum();
    let mut times = Histogram::<u64>::new(3).expect("3 significant digits are a valid precision");
    tally
        .latencies_us
        .lock()
        .map(|all| all.iter().for_each(|time| record_micros(&mut times, *time)))
        .unwrap_or_default();
    let load = LoadGenerator::start(addresses, 8, Duration::from_millis(100));
    sleep(SETTLE_TIME);
    let (primary, from) = (&busy.nodes[0], now());
    primary.set_available(false);
    sleep(Duration::from_secs(1));
    let failover_probes = busy.nodes.iter().map(|node| node.probes_since(from)).sum();
    primary.set_available(true);
    load.finish();
    let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
    RpcCosts {
        contrast: name,
        sparse_p50_ms: ms(0.5),
        sparse_p99_ms: ms(0.99),
        sparse_max_ms: times.max() as f64 / 1000.0,
        sparse_ok: tally.ok.load(std::sync::atomic::Ordering::SeqCst),
        sparse_pushed_back: tally.rejected.load(std::sync::atomic::Ordering::SeqCst),
        sparse_probes_per_rpc: probes as f64 / tally.total().max(1) as f64,
        failover_probes,
    }
}

/// The first bounded read of a router that has just started, where a health check takes 30 ms.
#[derive(Serialize)]
pub struct FirstReads {
    /// Whether and how the routers share health checks.
    pub first_reads: &'static str,
    /// Starts that were measured.
    pub starts: usize,
    /// Median time of the first reads.
    pub p50_ms: f64,
    /// The longest of these times.
    pub max_ms: f64,
    /// First reads that succeeded.
    pub ok: u64,
}

/// How long the stand-in nodes delay their answers to health checks.
const SLOW_PROBE: Duration = Duration::from_millis(30);

/// Measures the first read after each of this many starts of the first router.
///
/// # Errors
/// The router cannot be started.
pub fn measure_first_reads(
    name: &'static str,
    busy: &ReplicaSet,
    routers: &mut Routers,
    starts: usize,
) -> std::io::Result<FirstReads> {
    busy.nodes.iter().for_each(|node| node.delay_probes(SLOW_PROBE));
    let address = [routers.all[0].address];
    let (mut times, mut ok) = (Vec::new(), 0);
    for _ in 0..starts {
        routers.kill(0);
        routers.start(0)?;
        // A load balancer in front would send clients only some time after a router responds; the router has
        // received observations from its peers by then.
        sleep(Duration::from_millis(300));
        let load = LoadGenerator::with_methods(&address, 1, Duration::from_millis(400), &["recent"]);
        sleep(Duration::from_millis(200));
        let tally = load.finish();
        ok += tally.ok.load(std::sync::atomic::Ordering::SeqCst);
        times.extend(tally.latencies_us.lock().map(|times| times.first().copied()).unwrap_or_default());
    }
    busy.nodes.iter().for_each(|node| node.delay_probes(Duration::ZERO));
    times.sort_unstable();
    let ms = |time: Option<&u64>| time.copied().unwrap_or_default() as f64 / 1000.0;
    let (p50_ms, max_ms) = (ms(times.get(times.len() / 2)), ms(times.last()));
    Ok(FirstReads { first_reads: name, starts, p50_ms, max_ms, ok })
}
