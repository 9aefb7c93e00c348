//! Fleets in virtual time under every fault that they are for. The rules are checked after each event by the world's
//! observations, which share no code with what decides.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use quillpoint_membership::{Event, GossipBody, Observation};
use quillpoint_simulator::network::{HostId, LinkQuality};
use quillpoint_simulator::world::{World, WorldParams, fleet_params, node_address};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PERIOD: Duration = Duration::from_millis(250);
const GRACE: Duration = Duration::from_millis(250);
const FLOOR: Duration = PERIOD;
/// Besides graces, a probe may be late by a tick, a way through the network, and news that waits to be sent.
const SLACK: Duration = Duration::from_millis(150);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn world(routers: usize, nodes: usize, seed: u64) -> World {
    let fleet_params = fleet_params(PERIOD, GRACE, FLOOR);
    World::new(WorldParams {
        routers,
        nodes,
        zones: 2,
        link_quality: LinkQuality::default(),
        fleet_params,
        shared: true,
        replication_lag: ms(20),
        seed,
    })
}

/// Follows the probes of all nodes as they come.
#[derive(Default)]
struct Follower {
    seen: BTreeMap<usize, usize>,
    last: BTreeMap<(usize, usize), Duration>,
}

impl Follower {
    /// Rule: whatever happens, no router probes a node more often than its ceiling. The network may bring two
    /// probes closer together than they were sent.
    fn check(&mut self, world: &World) {
        for node in 0..world.nodes() {
            let probes = world.probes(node);
            let seen = self.seen.entry(node).or_default();
            for (at, by) in &probes[*seen..] {
                if let Some(before) = self.last.insert((node, *by), *at) {
                    assert!(*at + ms(3) >= before + FLOOR, "node {node} by {by}: {before:?}, {at:?}");
                }
            }
            *seen = probes.len();
        }
    }
}

fn run(world: &mut World, span: Duration) {
    let (mut follower, until) = (Follower::default(), world.now + span);
    for node in 0..world.nodes() {
        follower.seen.insert(node, world.probes(node).len());
    }
    while world.now < until {
        world.run_until((world.now + ms(50)).min(until));
        follower.check(world);
    }
}

/// The longest time without a probe of any node from then on, the time up to now included.
fn longest_gap(world: &World, from: Duration) -> Duration {
    let gap = |node: usize| {
        let after = world.probes(node).iter().map(|(at, _)| *at).filter(|at| *at >= from);
        let times: Vec<Duration> = [from].into_iter().chain(after).chain([world.now]).collect();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    };
    (0..world.nodes()).map(gap).max().unwrap_or_default()
}

/// Probes a node and second from then on: the mean and the most of a node.
fn rate(world: &World, from: Duration) -> (f64, f64) {
    let seconds = (world.now - from).as_secs_f64();
    let count =
        |node: usize| world.probes(node).iter().filter(|(at, _)| *at >= from).count() as f64 / seconds;
    let all: Vec<f64> = (0..world.nodes()).map(count).collect();
    (all.iter().sum::<f64>() / all.len() as f64, all.iter().copied().fold(0.0, f64::max))
}

fn agree(world: &World) -> bool {
    let all: Vec<String> =
        (0..world.routers()).filter(|place| world.is_running(*place)).map(|p| format!("r{p}")).collect();
    let mut sorted = all.clone();
    sorted.sort();
    (0..world.routers())
        .filter(|place| world.is_running(*place))
        .all(|place| world.active_members(place) == sorted)
}

/// A fleet that has settled.
fn settled(routers: usize, nodes: usize, seed: u64) -> World {
    let mut world = world(routers, nodes, seed);
    run(&mut world, ms(4000));
    assert!(agree(&world), "{:?}", world.active_members(0));
    world
}

#[test]
fn each_duty_has_one_owner_and_each_node_is_probed_once_a_period() {
    for routers in [1, 3, 10] {
        let mut world = settled(routers, 20, 7);
        let from = world.now;
        run(&mut world, ms(5000));
        assert_eq!((0..routers).map(|place| world.owned_task_count(place)).sum::<usize>(), 20);
        let (mean, most) = rate(&world, from);
        assert!(most <= 4.2 && mean >= 3.0, "{routers}: {mean} {most}");
        assert!(longest_gap(&world, from) <= PERIOD + SLACK, "{:?}", longest_gap(&world, from));
        // Every router's record is as fresh as its own probes would make it.
        let oldest = (0..routers).flat_map(|p| (0..20).map(move |n| (p, n)));
        for (place, node) in oldest {
            let heard = world.last_observation_at(place, node).unwrap();
            assert!(heard + PERIOD + SLACK >= world.now, "{place} of {node}");
        }
    }
}

#[test]
fn duties_of_a_killed_router_are_taken_over_before_it_passes_for_dead() {
    let mut world = settled(3, 12, 3);
    let from = world.now;
    world.kill(1);
    run(&mut world, ms(5000));
    assert!(longest_gap(&world, from) <= PERIOD + GRACE + SLACK, "{:?}", longest_gap(&world, from));
    assert!(agree(&world));
    assert_eq!(world.owned_task_count(0) + world.owned_task_count(2), 12);
}

#[test]
fn a_planned_leave_hands_over_without_a_gap() {
    let mut world = settled(3, 12, 4);
    let from = world.now;
    world.leave(2);
    run(&mut world, ms(200));
    assert!(agree(&world), "at once, and not by detection");
    run(&mut world, ms(3000));
    assert!(longest_gap(&world, from) <= PERIOD + SLACK, "{:?}", longest_gap(&world, from));
}

#[test]
fn a_killed_router_is_back_within_50_ms_and_old_letters_do_not_count() {
    let mut world = settled(3, 12, 5);
    for _ in 0..20 {
        let from = world.now;
        world.kill(0);
        run(&mut world, ms(50));
        world.start(0);
        run(&mut world, ms(1500));
        assert!(agree(&world), "{:?}", [0, 1, 2].map(|place| world.active_members(place)));
        assert!(longest_gap(&world, from) <= PERIOD + GRACE + SLACK, "{:?}", longest_gap(&world, from));
    }
}

#[test]
fn a_fresh_router_probes_only_what_nobody_told_it() {
    let mut world = settled(3, 30, 6);
    world.kill(2);
    run(&mut world, ms(3000));
    let from = world.now;
    world.start(2);
    run(&mut world, ms(240));
    let own = |node: &usize| world.probes(*node).iter().any(|(at, by)| *at >= from && *by == 2);
    let probed = (0..30).filter(own).count();
    assert!(probed <= 12, "about its share of a period and no more: {probed}");
    assert!((0..30).all(|node| world.last_observation_at(2, node).is_some()), "it was told of all");
}

#[test]
fn a_router_alone_does_all_and_a_partition_heals() {
    let mut world = settled(4, 12, 8);
    let parted = world.now;
    world.network.partition(&[vec![0, 1], vec![2, 3]]);
    run(&mut world, ms(4000));
    assert_eq!(world.active_members(0), ["r0", "r1"]);
    assert_eq!(world.active_members(3), ["r2", "r3"]);
    assert!(longest_gap(&world, parted) <= PERIOD + GRACE * 2 + SLACK);
    let (mean, _) = rate(&world, world.now - ms(2000));
    assert!(mean > 6.0, "both halves probe: {mean}");
    world.network.heal();
    let healed = world.now;
    run(&mut world, ms(4000));
    assert!(agree(&world), "{:?}", world.active_members(0));
    run(&mut world, ms(2000));
    let (mean, most) = rate(&world, world.now - ms(2000));
    assert!(most <= 5.0 && mean <= 4.2, "back to one: {mean} {most}");
    assert!(longest_gap(&world, healed) <= PERIOD + GRACE + SLACK);
}

#[test]
fn a_router_that_stood_still_joins_anew_and_knows_it() {
    let mut world = settled(3, 12, 9);
    let from = world.now;
    world.pause(1);
    run(&mut world, ms(3000));
    world.resume(1);
    let on = world.now;
    run(&mut world, ms(3000));
    assert!(world.events(1).iter().any(|(_, event)| matches!(event, Event::ProcessPaused(_))));
    assert!(agree(&world), "{:?}", [0, 1, 2].map(|place| world.active_members(place)));
    assert!(longest_gap(&world, from) <= PERIOD + GRACE + SLACK);
    // What it still thought to own when it went on, it has not done a second time.
    let soon =
        |node: usize| world.probes(node).iter().filter(|(at, _)| *at >= on && *at < on + ms(500)).count();
    assert!((0..12).all(|node| soon(node) <= 4), "{:?}", (0..12).map(soon).collect::<Vec<_>>());
}

#[test]
fn loss_one_way_only_kills_nobody() {
    let mut world = settled(4, 12, 10);
    world.network.set_loss(HostId(0), HostId(1), 1.0);
    let from = world.now;
    run(&mut world, ms(10_000));
    let deaths: u64 = (0..4).map(|place| world.stats(place).false_deaths).sum();
    assert_eq!(deaths, 0);
    assert!(longest_gap(&world, from) <= PERIOD + GRACE + SLACK);
}

#[test]
fn a_clock_that_is_off_changes_nothing() {
    let mut world = world(3, 12, 11);
    world.kill(0);
    world.kill(1);
    world.set_clock_skew(0, ms(5000), ms(0));
    world.set_clock_skew(1, ms(0), ms(5000));
    world.start(0);
    world.start(1);
    run(&mut world, ms(4000));
    assert!(agree(&world));
    let from = world.now;
    run(&mut world, ms(4000));
    let (mean, most) = rate(&world, from);
    assert!(most <= 4.2 && mean >= 3.0, "{mean} {most}");
    assert!(longest_gap(&world, from) <= PERIOD + SLACK);
}

#[test]
fn a_clock_that_went_back_over_a_restart_is_overcome() {
    let mut world = settled(3, 12, 12);
    world.kill(1);
    world.set_clock_skew(1, ms(0), ms(60_000));
    world.start(1);
    run(&mut world, ms(3000));
    assert!(agree(&world), "{:?}", [0, 1, 2].map(|place| world.active_members(place)));
    assert_eq!((0..3).map(|place| world.owned_task_count(place)).sum::<usize>(), 12);
}

#[test]
fn of_two_processes_with_one_name_the_earlier_gives_way_and_returns() {
    let mut world = settled(3, 12, 13);
    world.kill(2);
    world.set_name(2, 0);
    world.start(2);
    run(&mut world, ms(3000));
    let events = |world: &World, place: usize| -> Vec<Event> {
        world.events(place).iter().map(|(_, event)| event.clone()).collect()
    };
    assert!(
        events(&world, 0).iter().any(|event| matches!(event, Event::Displaced(_))),
        "{:?}",
        events(&world, 0)
    );
    assert_eq!(world.owned_task_count(0), 0, "it takes no duties");
    assert_eq!(world.owned_task_count(1) + world.owned_task_count(2), 12);
    world.kill(2);
    run(&mut world, ms(5000));
    assert!(events(&world, 0).contains(&Event::Restored), "{:?}", events(&world, 0));
    assert_eq!(world.owned_task_count(0) + world.owned_task_count(1), 12);
}

#[test]
fn all_at_once_restarted_probe_no_more_than_alone_and_settle() {
    let mut world = settled(3, 12, 14);
    (0..3).for_each(|place| world.kill(place));
    run(&mut world, ms(500));
    let from = world.now;
    (0..3).for_each(|place| world.start(place));
    run(&mut world, ms(1000));
    let most = (0..12).map(|n| world.probes(n).iter().filter(|(at, _)| *at >= from).count()).max().unwrap();
    assert!(most <= 3 * 5, "{most}");
    run(&mut world, ms(3000));
    assert!(agree(&world));
}

#[test]
fn a_failed_probe_makes_the_next_in_line_look_and_two_make_it_known() {
    let mut world = settled(3, 6, 15);
    world.set_node_up(0, false);
    let from = world.now;
    run(&mut world, ms(1500));
    let by: std::collections::BTreeSet<usize> =
        world.probes(0).iter().filter(|(at, _)| *at >= from).map(|(_, by)| *by).collect();
    assert!(by.len() >= 2, "several look for themselves: {by:?}");
}

#[test]
fn a_peer_that_lies_is_not_believed_once_a_node_contradicts_it() {
    let fleet_params = fleet_params(PERIOD, GRACE, FLOOR);
    let link_quality = LinkQuality::default();
    let mut world = World::new(WorldParams {
        routers: 3,
        nodes: 24,
        zones: 2,
        link_quality,
        fleet_params,
        shared: true,
        replication_lag: ms(5000),
        seed: 16,
    });
    run(&mut world, ms(2000));
    for node in 0..24 {
        let lie = Observation {
            node: node_address(node),
            age: ms(0),
            position: Some(world.now),
            primary: None,
            waiting: None,
            started: None,
            failed: false,
        };
        (1..3).for_each(|to| world.forge_message(0, to, GossipBody::Observations(vec![lie.clone()])));
    }
    run(&mut world, ms(1000));
    let found = |place: usize| {
        world.events(place).iter().any(|(_, event)| matches!(event, Event::PeerContradicted { .. }))
    };
    assert!(found(1) && found(2));
}

#[test]
fn ever_new_names_fill_no_more_than_a_bound() {
    let mut world = settled(2, 2, 17);
    for number in 0..2000 {
        // A holder of the key who makes up names.
        let mut card = quillpoint_membership::MemberRecord {
            name: quillpoint_membership::PeerName::new(&format!("x{number}")).unwrap(),
            version: quillpoint_membership::MemberVersion {
                incarnation: quillpoint_membership::Incarnation(number),
                revision: 0,
            },
            address: node_address(0),
            zone: 0,
            weight: 1,
            state: quillpoint_membership::MemberState::Up,
        };
        card.zone = 1;
        world.forge_records(0, 1, vec![card]);
    }
    run(&mut world, ms(100));
    assert!(world.peer_count(1).unwrap() <= quillpoint_membership::membership::MAX_PEERS);
}

/// Any schedule of faults; then the network is whole, all run, and the fleet must settle within a bound.
fn any_schedule(seed: u64) -> bool {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let routers = chance.random_range(2..6);
    let link_quality = LinkQuality { loss: 0.1, duplicated: 0.1, min_delay_ms: 0.1, max_delay_ms: 30.0 };
    let fleet_params = fleet_params(PERIOD, GRACE, FLOOR);
    let mut world = World::new(WorldParams {
        routers,
        nodes: 8,
        zones: 2,
        link_quality,
        fleet_params,
        shared: true,
        replication_lag: ms(20),
        seed,
    });
    let mut follower = Follower::default();
    for _ in 0..30 {
        let place = chance.random_range(0..routers);
        match chance.random_range(0..10) {
            0 | 1 => world.kill(place),
            2 | 3 => world.start(place),
            4 => world.pause(place),
            5 => world.resume(place),
            6 => {
                let other = chance.random_range(0..routers);
                world.network.set_loss(HostId(place), HostId(other), chance.random_range(0.0..=1.0));
            }
            7 => {
                let (one, two) = (0..routers).partition(|place| place % 2 == 0);
                world.network.partition(&[one, two]);
            }
            8 => world.leave(place),
            _ => world.network.heal(),
        }
        let until = world.now + ms(chance.random_range(10..1500));
        while world.now < until {
            world.run_until((world.now + ms(40)).min(until));
            follower.check(&world);
        }
    }
    world.network.heal();
    for place in 0..routers {
        world.resume(place);
        world.start(place);
    }
    // Detection, contradiction, greeting: all within this.
    world.run_until(world.now + ms(8000));
    assert!(
        agree(&world),
        "seed {seed}: {:?}",
        (0..routers).map(|p| world.active_members(p)).collect::<Vec<_>>()
    );
    let from = world.now;
    world.run_until(from + ms(3000));
    assert_eq!((0..routers).map(|place| world.owned_task_count(place)).sum::<usize>(), 8, "seed {seed}");
    // With a tenth of all news lost, the next in line now and then does one too many.
    let (mean, _) = rate(&world, from);
    assert!(mean <= 5.0, "seed {seed}: {mean}");
    assert!(
        longest_gap(&world, from) <= PERIOD + GRACE * 2 + SLACK,
        "seed {seed}: {:?}",
        longest_gap(&world, from)
    );
    true
}

#[test]
fn rules_hold_and_the_fleet_settles_after_any_schedule_of_faults() {
    let fixed = Gen::from_size_and_seed(64, 20_261);
    QuickCheck::new().rng(fixed).tests(150).quickcheck(any_schedule as fn(u64) -> bool);
}
