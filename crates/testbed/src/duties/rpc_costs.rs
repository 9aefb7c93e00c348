//! What sharing changes for RPCs.

use std::thread::sleep;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::bench::note;
use crate::load::LoadGenerator;
use crate::now;
use crate::replica_set::ReplicaSet;
use crate::routers::Routers;

/// A fleet has settled by then.
const SETTLED: Duration = Duration::from_millis(1500);

/// What sharing changes for RPCs: routers that are hardly asked anything, and a primary that goes.
#[derive(Serialize)]
pub struct Contrast {
    pub contrast: &'static str,
    /// Bounded reads, one in 0.7 s at each router: their times, and the probes they cause.
    pub sparse_p50_ms: f64,
    pub sparse_p99_ms: f64,
    pub sparse_max_ms: f64,
    pub sparse_ok: u64,
    pub sparse_pushed_back: u64,
    pub sparse_probes_per_rpc: f64,
    /// Probes of its group in the second after the primary broke, under the usual load.
    pub failover_probes: usize,
}

/// Measures sparse reads at each router for so many seconds, and then a primary that goes.
pub fn contrast(
    name: &'static str,
    busy: &ReplicaSet,
    addresses: &[std::net::SocketAddr],
    seconds: u64,
) -> Contrast {
    let load = LoadGenerator::with_methods(addresses, 1, Duration::from_millis(700), &["recent"]);
    let from = now();
    sleep(Duration::from_secs(seconds));
    let tally = load.finish();
    let probes: usize = busy.nodes.iter().map(|node| node.probes_since(from)).sum();
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    tally
        .latencies_us
        .lock()
        .map(|all| all.iter().for_each(|time| note(&mut times, *time)))
        .unwrap_or_default();
    let load = LoadGenerator::start(addresses, 8, Duration::from_millis(100));
    sleep(SETTLED);
    let (primary, from) = (&busy.nodes[0], now());
    primary.set_available(false);
    sleep(Duration::from_secs(1));
    let failover_probes = busy.nodes.iter().map(|node| node.probes_since(from)).sum();
    primary.set_available(true);
    load.finish();
    let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
    Contrast {
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

/// The first bounded read of a router that has just started, where a probe takes 30 ms: its times over many starts.
#[derive(Serialize)]
pub struct FirstReads {
    pub first_reads: &'static str,
    pub starts: usize,
    pub p50_ms: f64,
    pub max_ms: f64,
    pub ok: u64,
}

const SLOW_PROBE: Duration = Duration::from_millis(30);

/// Measures the first read after each of so many starts of the first router.
///
/// # Errors
/// The router cannot be started.
pub fn first_reads(
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
        // A front sends clients once a router answers, and some time later: it has heard from its peers by then.
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
