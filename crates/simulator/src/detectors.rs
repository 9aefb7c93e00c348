//! Compares three failure detectors for the members of a fleet: all-to-all heartbeats, gossip, and leases
//! granted by a leader that a majority has elected. Gossip runs the product's membership code; heartbeats and
//! leases are simple models that exist only in this file and advance one heartbeat interval at a time.

use std::time::Duration;

use quillpoint_membership::{Event, MemberState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::network::LinkQuality;
use crate::world::{World, WorldParams, fleet_params};

/// All three detectors send once per interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A peer is declared dead, or a lease expires, after this many consecutive missed heartbeats.
const MISSED_HEARTBEATS_LIMIT: u32 = 4;
/// After a leader fails, its lease must expire first; electing the next leader then takes about this long.
const ELECTION_DURATION: Duration = Duration::from_millis(500);

/// Result of one detector at one fleet size and one rate of loss.
#[derive(Clone, Debug, Serialize)]
pub struct DetectorResult {
    /// `heartbeats`, `gossip` or `lease`.
    #[serde(rename = "way")]
    pub detector: &'static str,
    /// Number of routers.
    pub routers: usize,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Seed of the run's random decisions.
    pub seed: u64,
    /// Datagrams that a router sends per second, the mean over all routers.
    pub datagrams_per_router_s: f64,
    /// The same for the router that sends most.
    pub datagrams_busiest_s: f64,
    /// Median time from a router's failure until another router has detected it.
    pub detect_p50_s: f64,
    /// Time until the last router has detected it.
    pub detect_max_s: f64,
    /// How often per hour a running router is declared dead by another, the mean over all routers.
    pub false_deaths_per_router_h: f64,
}

/// Simulated time over which datagrams and false deaths are counted.
const RUN_SECONDS: f64 = 60.0;

/// Runs all three detectors with the same number of routers, loss and seed.
pub fn compare(routers: usize, loss: f64, seed: u64) -> Vec<DetectorResult> {
    vec![heartbeats(routers, loss, seed), gossip(routers, loss, seed), lease(routers, loss, seed)]
}

/// All-to-all heartbeats: every router sends to every other, and declares a peer dead after too many
/// consecutive missed heartbeats.
fn heartbeats(routers: usize, loss: f64, seed: u64) -> DetectorResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rounds = (RUN_SECONDS / HEARTBEAT_INTERVAL.as_secs_f64()) as u32;
    let mut false_deaths = 0_u64;
    let mut missed = vec![0_u32; routers * routers];
    for _ in 0..rounds {
        for pair in (0..routers * routers).filter(|pair| pair / routers != pair % routers) {
            missed[pair] = if rng.random_bool(loss) { missed[pair] + 1 } else { 0 };
            false_deaths += u64::from(missed[pair] == MISSED_HEARTBEATS_LIMIT);
        }
    }
    // A router fails: each of the others detects it when its count of missed heartbeats reaches the limit.
    // The count starts at the last heartbeat that arrived, so heartbeats lost just before the failure shorten
    // the detection.
    let mut detection_times: Vec<f64> = (1..routers)
        .map(|_| {
            let mut lost_heartbeats = 0;
            while rng.random_bool(loss) {
                lost_heartbeats += 1;
            }
            let phase = rng.random_range(0.0..1.0);
            (f64::from(MISSED_HEARTBEATS_LIMIT) - f64::from(lost_heartbeats.min(MISSED_HEARTBEATS_LIMIT)))
                .max(0.0)
                * HEARTBEAT_INTERVAL.as_secs_f64()
                + phase * HEARTBEAT_INTERVAL.as_secs_f64()
        })
        .collect();
    detection_times.sort_by(f64::total_cmp);
    let rate = (routers - 1) as f64 / HEARTBEAT_INTERVAL.as_secs_f64();
    detector_result("heartbeats", routers, loss, seed, (rate, rate), &detection_times, false_deaths)
}

/// Leases: every follower asks the leader once per interval to renew its lease, and loses its tasks when the
/// lease expires.
fn lease(routers: usize, loss: f64, seed: u64) -> DetectorResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rounds = (RUN_SECONDS / HEARTBEAT_INTERVAL.as_secs_f64()) as u32;
    let mut false_deaths = 0_u64;
    let mut missed = vec![0_u32; routers];
    for _ in 0..rounds {
        let mut renewed = 1;
        for missed_renewals in missed.iter_mut().skip(1) {
            let renewal_failed = rng.random_bool(loss) || rng.random_bool(loss);
            *missed_renewals = if renewal_failed { *missed_renewals + 1 } else { 0 };
            renewed += usize::from(*missed_renewals < MISSED_HEARTBEATS_LIMIT);
            false_deaths += u64::from(*missed_renewals == MISSED_HEARTBEATS_LIMIT);
        }
        // A leader that does not renew the leases of a majority loses its leadership, which counts as one
        // false death.
        false_deaths += u64::from(renewed * 2 <= routers);
    }
    // The leader detects a follower's failure when the lease expires. The leader's own failure is detected
    // after its lease has expired and another leader has been elected.
    let lease_s = HEARTBEAT_INTERVAL.as_secs_f64() * f64::from(MISSED_HEARTBEATS_LIMIT);
    let mut detection_times: Vec<f64> =
        (1..routers).map(|_| lease_s - rng.random_range(0.0..HEARTBEAT_INTERVAL.as_secs_f64())).collect();
    detection_times.push(lease_s + ELECTION_DURATION.as_secs_f64());
    detection_times.sort_by(f64::total_cmp);
    let heartbeats_per_s = 1.0 / HEARTBEAT_INTERVAL.as_secs_f64();
    let datagrams_per_s = 2.0 * (routers - 1) as f64 * heartbeats_per_s;
    detector_result(
        "lease",
        routers,
        loss,
        seed,
        (datagrams_per_s / routers as f64, (routers - 1) as f64 * heartbeats_per_s),
        &detection_times,
        false_deaths,
    )
}

/// Gossip: the product's membership code, in a fleet with a single node.
fn gossip(routers: usize, loss: f64, seed: u64) -> DetectorResult {
    let ms = Duration::from_millis;
    let link_quality = LinkQuality { loss, ..LinkQuality::default() };
    let fleet_params = fleet_params(ms(250), ms(250), ms(150));
    let world_params = WorldParams {
        routers,
        nodes: 1,
        zones: 1,
        link_quality,
        fleet_params,
        shared: true,
        replication_lag: ms(20),
        seed,
    };
    let mut world = World::new(world_params);
    world.run_until(world.now + ms(5000));
    let datagrams_sent =
        |world: &World| (0..routers).map(|router| world.stats(router).datagrams_sent).collect::<Vec<_>>();
    let false_deaths_so_far =
        |world: &World| (0..routers).map(|router| world.stats(router).false_deaths).sum::<u64>();
    let (sent_before, false_deaths) = (datagrams_sent(&world), false_deaths_so_far(&world));
    world.run_until(world.now + Duration::from_secs_f64(RUN_SECONDS));
    let false_deaths = false_deaths_so_far(&world) - false_deaths;
    let rates: Vec<f64> = datagrams_sent(&world)
        .iter()
        .zip(&sent_before)
        .map(|(now, earlier)| (now - earlier) as f64 / RUN_SECONDS)
        .collect();
    let killed_at = world.now;
    world.kill(routers - 1);
    world.run_until(killed_at + ms(20_000));
    let name = format!("r{}", routers - 1);
    let detection_time = |router: usize| {
        let detected = world.events(router).iter().find(|(at, event)| {
            *at >= killed_at && matches!(event, Event::PeerChanged { peer, state: MemberState::Dead, .. } if peer.as_str() == name)
        });
        detected.map_or(20.0, |(at, _)| (*at - killed_at).as_secs_f64())
    };
    let mut detection_times: Vec<f64> = (0..routers - 1).map(detection_time).collect();
    detection_times.sort_by(f64::total_cmp);
    let busiest = rates.iter().copied().fold(0.0, f64::max);
    detector_result(
        "gossip",
        routers,
        loss,
        seed,
        (rates.iter().sum::<f64>() / routers as f64, busiest),
        &detection_times,
        false_deaths,
    )
}

fn detector_result(
    detector: &'static str,
    routers: usize,
    loss: f64,
    seed: u64,
    (datagrams_per_router_s, datagrams_busiest_s): (f64, f64),
    detection_times: &[f64],
    false_deaths: u64,
) -> DetectorResult {
    DetectorResult {
        detector,
        routers,
        loss,
        seed,
        datagrams_per_router_s,
        datagrams_busiest_s,
        detect_p50_s: detection_times[detection_times.len() / 2],
        detect_max_s: detection_times.last().copied().unwrap_or_default(),
        false_deaths_per_router_h: false_deaths as f64 / routers as f64 * 3600.0 / RUN_SECONDS,
    }
}
