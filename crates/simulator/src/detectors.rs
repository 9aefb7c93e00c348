//! Three ways to know who is there, side by side: all-to-all heartbeats, gossip (the fleet as it is), and a lease from a
//! leader that a majority has chosen. The first and the last are models of this file alone, beat by beat.

use std::time::Duration;

use quillpoint_membership::{Event, MemberState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::network::LinkQuality;
use crate::world::{World, WorldParams, fleet_params};

/// All three speak once in this time.
const BEAT: Duration = Duration::from_millis(250);
/// So many beats without a word make a peer dead, or a lease void.
const MISSED: u32 = 4;
/// A leader that is gone is followed by another after the lease and about this.
const ELECTION: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Serialize)]
pub struct DetectorResult {
    #[serde(rename = "way")]
    pub detector: &'static str,
    pub routers: usize,
    pub loss: f64,
    pub seed: u64,
    /// Sent by a router: the mean, and the one that sends most.
    pub datagrams_per_router_s: f64,
    pub datagrams_busiest_s: f64,
    /// From a death until half, and until the last, of the others know.
    pub detect_p50_s: f64,
    pub detect_max_s: f64,
    /// How often in an hour each router is taken for dead by some other while it runs.
    pub false_deaths_per_router_h: f64,
}

/// Beats of a run.
const SPAN_S: f64 = 60.0;

pub fn compare(routers: usize, loss: f64, seed: u64) -> Vec<DetectorResult> {
    vec![heartbeats(routers, loss, seed), gossip(routers, loss, seed), lease(routers, loss, seed)]
}

/// Each sends to each. One that has missed so many beats of a peer takes it for dead.
fn heartbeats(routers: usize, loss: f64, seed: u64) -> DetectorResult {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let beats = (SPAN_S / BEAT.as_secs_f64()) as u32;
    let mut deaths = 0_u64;
    let mut missed = vec![0_u32; routers * routers];
    for _ in 0..beats {
        for pair in (0..routers * routers).filter(|pair| pair / routers != pair % routers) {
            missed[pair] = if chance.random_bool(loss) { missed[pair] + 1 } else { 0 };
            deaths += u64::from(missed[pair] == MISSED);
        }
    }
    // A death: each other notices when its count is full, which began at the last beat that came.
    let mut notice: Vec<f64> = (1..routers)
        .map(|_| {
            let mut lost = 0;
            while chance.random_bool(loss) {
                lost += 1;
            }
            let phase = chance.random_range(0.0..1.0);
            (f64::from(MISSED) - f64::from(lost.min(MISSED))).max(0.0) * BEAT.as_secs_f64()
                + phase * BEAT.as_secs_f64()
        })
        .collect();
    notice.sort_by(f64::total_cmp);
    let rate = (routers - 1) as f64 / BEAT.as_secs_f64();
    row("heartbeats", routers, loss, seed, (rate, rate), &notice, deaths)
}

/// A follower asks the leader each beat to renew its lease. Whose lease has run out has lost its duties.
fn lease(routers: usize, loss: f64, seed: u64) -> DetectorResult {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let beats = (SPAN_S / BEAT.as_secs_f64()) as u32;
    let mut deaths = 0_u64;
    let mut missed = vec![0_u32; routers];
    for _ in 0..beats {
        let mut renewed = 1;
        for misses in missed.iter_mut().skip(1) {
            let fails = chance.random_bool(loss) || chance.random_bool(loss);
            *misses = if fails { *misses + 1 } else { 0 };
            renewed += usize::from(*misses < MISSED);
            deaths += u64::from(*misses == MISSED);
        }
        // A leader without a majority is none.
        deaths += u64::from(renewed * 2 <= routers);
    }
    // The leader knows of a follower's death when its lease has run out; of the leader's own, an election later.
    let length = BEAT.as_secs_f64() * f64::from(MISSED);
    let mut notice: Vec<f64> =
        (1..routers).map(|_| length - chance.random_range(0.0..BEAT.as_secs_f64())).collect();
    notice.push(length + ELECTION.as_secs_f64());
    notice.sort_by(f64::total_cmp);
    let beat = 1.0 / BEAT.as_secs_f64();
    let all = 2.0 * (routers - 1) as f64 * beat;
    row("lease", routers, loss, seed, (all / routers as f64, (routers - 1) as f64 * beat), &notice, deaths)
}

/// The fleet as it is, with one node to keep it company.
fn gossip(routers: usize, loss: f64, seed: u64) -> DetectorResult {
    let ms = Duration::from_millis;
    let link_quality = LinkQuality { loss, ..LinkQuality::default() };
    let fleet_params = fleet_params(ms(250), ms(250), ms(150));
    let shape = WorldParams {
        routers,
        nodes: 1,
        zones: 1,
        link_quality,
        fleet_params,
        shared: true,
        replication_lag: ms(20),
        seed,
    };
    let mut world = World::new(shape);
    world.run_until(world.now + ms(5000));
    let sent =
        |world: &World| (0..routers).map(|place| world.stats(place).datagrams_sent).collect::<Vec<_>>();
    let dead = |world: &World| (0..routers).map(|place| world.stats(place).false_deaths).sum::<u64>();
    let (before, deaths) = (sent(&world), dead(&world));
    world.run_until(world.now + Duration::from_secs_f64(SPAN_S));
    let deaths = dead(&world) - deaths;
    let rates: Vec<f64> =
        sent(&world).iter().zip(&before).map(|(now, then)| (now - then) as f64 / SPAN_S).collect();
    let killed = world.now;
    world.kill(routers - 1);
    world.run_until(killed + ms(20_000));
    let name = format!("r{}", routers - 1);
    let knows = |place: usize| {
        let known = world.events(place).iter().find(|(at, event)| {
            *at >= killed && matches!(event, Event::PeerChanged { peer, state: MemberState::Dead, .. } if peer.as_str() == name)
        });
        known.map_or(20.0, |(at, _)| (*at - killed).as_secs_f64())
    };
    let mut notice: Vec<f64> = (0..routers - 1).map(knows).collect();
    notice.sort_by(f64::total_cmp);
    let busiest = rates.iter().copied().fold(0.0, f64::max);
    row("gossip", routers, loss, seed, (rates.iter().sum::<f64>() / routers as f64, busiest), &notice, deaths)
}

fn row(
    detector: &'static str,
    routers: usize,
    loss: f64,
    seed: u64,
    (datagrams_per_router_s, datagrams_busiest_s): (f64, f64),
    notice: &[f64],
    deaths: u64,
) -> DetectorResult {
    DetectorResult {
        detector,
        routers,
        loss,
        seed,
        datagrams_per_router_s,
        datagrams_busiest_s,
        detect_p50_s: notice[notice.len() / 2],
        detect_max_s: notice.last().copied().unwrap_or_default(),
        false_deaths_per_router_h: deaths as f64 / routers as f64 * 3600.0 / SPAN_S,
    }
}
