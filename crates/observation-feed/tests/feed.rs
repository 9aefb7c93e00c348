//! Control instances and routers in a simulated world with virtual time, under the faults that the feed has
//! to tolerate. After each message that a router receives, the world checks the invariants: no observation is
//! dated later than the database was seen, no log position is higher than reported, roles and start times
//! match the observation's date, caches stay within their size limits, and each message fits into a datagram.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint_observation_feed::Event;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::faults::{heal_all, inject_fault};
use world::{START, World, WorldParams, converged_world, max_per_second, ms};

#[test]
fn observations_are_never_dated_too_fresh_under_random_faults_and_converge_after_healing() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let params = WorldParams {
            regions: 1 + (seed as usize % 2),
            loss: [0.0, 0.02, 0.2][seed as usize % 3],
            duplicated: 0.05,
            delayed: ([0.0, 0.1, 0.3][seed as usize % 3], ms([0, 300, 2500][(seed / 3) as usize % 3])),
            missed_observations: [0.0, 0.02, 0.1][(seed / 2) as usize % 3],
            max_clock_offset: ms([0, 40][seed as usize % 2]),
            ..WorldParams::without_faults(5, 4, 130, seed)
        };
        let mut world = World::new(params);
        let until = world.now + ms(20_000);
        while world.now < until {
            world.run(ms(rng.random_range(50..500)));
            inject_fault(&mut world, &mut rng);
            let (router, database) = (rng.random_range(0..5), rng.random_range(0..130));
            world.claim_health_check(router, database, rng.random_bool(0.5));
        }
        heal_all(&mut world);
        world.run(ms(5000));
        world.check_convergence().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

#[test]
fn without_faults_observations_are_fresh_and_traffic_hardly_grows_with_the_number_of_databases() {
    let mut bytes = BTreeMap::new();
    for databases in [500, 1000, 2000] {
        let mut world = World::new(WorldParams::without_faults(12, 4, databases, 1));
        world.checks_invariants = false;
        world.run(ms(5000));
        world.check_convergence().unwrap();
        let before: u64 = (0..4).map(|index| world.publisher_costs(index).bytes).sum();
        let mut ages = Vec::new();
        for _ in 0..50 {
            world.run(ms(97));
            ages.extend(world.observation_ages());
        }
        let after: u64 = (0..4).map(|index| world.publisher_costs(index).bytes).sum();
        ages.sort_unstable();
        let p99 = ages[ages.len() * 99 / 100];
        assert!(p99 <= ms(300), "{databases} databases: 99th percentile of observation ages is {p99:?}");
        bytes.insert(databases, (after - before) as f64 / 12.0 / 4.85);
    }
    assert!(
        bytes[&2000] <= 13_000.0 && bytes[&2000] <= 1.3 * bytes[&1000],
        "bytes per second and router by number of databases: {bytes:?}"
    );
    assert!(
        bytes[&1000] <= 1.3 * bytes[&500],
        "bytes per second and router by number of databases: {bytes:?}"
    );
}

#[test]
fn killing_a_control_instance_ages_no_observation_beyond_one_second() {
    let mut world = converged_world(WorldParams::without_faults(10, 4, 200, 3));
    world.kill_publisher(1);
    let mut oldest = Duration::ZERO;
    for _ in 0..40 {
        world.run(ms(50));
        oldest = oldest.max(*world.observation_ages().last().unwrap());
    }
    assert!(oldest <= ms(1000), "the oldest observation was {oldest:?} old");
    // Every router follows two control instances again. After its restart, the killed instance regains its
    // subscribers.
    world.run(ms(4000));
    let all_follow_two = |world: &World| {
        (0..10).all(|router| world.subscriber(router).unwrap().active_instance_names().count() == 2)
    };
    assert!(all_follow_two(&world));
    world.start_publisher(1);
    world.run(ms(30_000));
    let subscribers = |index: usize| world.publisher(index).unwrap().subscriber_count();
    assert!(all_follow_two(&world) && subscribers(1) > 0, "subscribers: {}", subscribers(1));
    assert_eq!((0..4).map(subscribers).sum::<usize>(), 20);
}

#[test]
fn a_primary_change_reaches_all_routers_within_a_second_of_the_health_check_that_sees_it() {
    let mut world = converged_world(WorldParams { loss: 0.02, ..WorldParams::without_faults(10, 4, 200, 4) });
    for turn in 0..10 {
        let (old, new) = (3 * turn, 3 * turn + 1);
        (world.databases[old].primary, world.databases[new].primary) = (false, true);
        let from = world.now;
        world.run(ms(1000) + world.params.period);
        for router in 0..10 {
            let observation = world.observation(router, new).unwrap();
            assert_eq!(observation.primary, Some(true), "change {turn}, router {router}");
            let node = world::address(new);
            let is_new_primary =
                |(at, to, observation): &&(Duration, usize, quillpoint_observation_feed::FeedObservation)| {
                    *at >= from
                        && *to == router
                        && observation.node == node
                        && observation.primary == Some(true)
                };
            assert!(
                world.changed_observations.iter().any(|change| is_new_primary(&change)),
                "change {turn} was not reported to the host of router {router}"
            );
        }
    }
}

#[test]
fn a_failed_or_silent_database_does_not_age_the_others() {
    let mut world = converged_world(WorldParams::without_faults(6, 4, 200, 5));
    world.set_running(7, false);
    world.run(ms(1000));
    for router in 0..6 {
        assert!(world.observation(router, 7).unwrap().failed);
    }
    // The observation of a database that is silent but not known to have failed grows older; all others stay
    // fresh.
    (0..4).for_each(|publisher| _ = world.hidden_databases.insert((publisher, 9)));
    let mut oldest = Duration::ZERO;
    for _ in 0..30 {
        world.run(ms(50));
        for router in 0..6 {
            let seen_at = (0..200)
                .filter(|database| *database != 7 && *database != 9)
                .map(|database| world.observation(router, database).unwrap().seen_at);
            oldest = oldest.max(world.now - seen_at.min().unwrap());
        }
    }
    assert!(oldest <= ms(600), "the oldest observation of the other databases was {oldest:?} old");
    assert!(world.now - world.observation(0, 9).unwrap().seen_at > ms(1000));
    world.set_running(7, true);
    world.hidden_databases.clear();
    world.run(ms(1500));
    world.check_convergence().unwrap();
    assert_eq!(
        world.observation(0, 7).unwrap().started,
        Some(world.databases[7].started),
        "a recent start time is published"
    );
}

/// A sixth of the routers restart at once and need all snapshots. The number of databases is that of the
/// target size, and the snapshot budget per subscriber is that of the target's settings.
#[test]
fn routers_that_restart_together_have_all_snapshots_within_three_seconds_without_traffic_peaks() {
    let normal_rate = 12.0 * 10.0 * 175.0;
    let params = WorldParams {
        snapshot_bytes_per_second: 3.2 * normal_rate,
        period: ms(300),
        ..WorldParams::without_faults(12, 2, 18_000, 6)
    };
    let mut world = World::new(params);
    world.checks_invariants = false;
    // By then, every router has a complete cache of both control instances.
    world.run(ms(36_000));
    let from = world.now;
    world.run(ms(3000));
    let bytes = |world: &World, index: usize, from: Duration| {
        let first = from.as_millis() as u64 / 100;
        let bytes_by_tenth =
            world.publisher_costs(index).bytes_by_tenth.range(first..).map(|(at, (all, _))| (*at, *all));
        max_per_second(bytes_by_tenth)
    };
    let normal = [bytes(&world, 0, from), bytes(&world, 1, from)];
    let from = world.now;
    for router in (0..12).step_by(6) {
        world.kill_router(router);
        world.start_router(router);
    }
    world.run(ms(3000));
    for router in 0..12 {
        assert!(world.subscriber(router).unwrap().is_complete(), "router {router} lacks snapshots");
    }
    world.run(ms(6000));
    for (index, normal) in normal.iter().enumerate() {
        let peak = bytes(&world, index, from);
        assert!(peak <= 5 * normal, "control instance {index}: {peak} bytes per second, normally {normal}");
        assert_eq!(world.publisher(index).unwrap().subscriber_count(), 12);
    }
}

#[test]
fn snapshot_traffic_stays_within_its_budget_in_every_second() {
    let mut world = World::new(WorldParams {
        snapshot_bytes_per_second: 60_000.0,
        loss: 0.1,
        ..WorldParams::without_faults(20, 2, 3000, 7)
    });
    world.checks_invariants = false;
    world.run(ms(20_000));
    for index in 0..2 {
        let snapshots =
            world.publisher_costs(index).bytes_by_tenth.iter().map(|(at, (_, snapshots))| (*at, *snapshots));
        let most = max_per_second(snapshots);
        // The budget, its burst, and one partition, whose snapshot is always sent as a whole.
        assert!(most as f64 <= 60_000.0 * 1.05 + 6_000.0, "{most} bytes of snapshots in a second");
        assert!(most > 40_000, "the budget is not used: only {most} bytes of snapshots in a second");
    }
    assert!((0..20).all(|router| world.subscriber(router).unwrap().is_complete()));
}

#[test]
fn isolated_routers_together_make_a_bounded_multiple_of_the_control_instances_health_checks() {
    let (routers, databases) = (60, 200);
    let mut world = World::new(WorldParams::without_faults(routers, 2, databases, 8));
    world.checks_invariants = false;
    world.run(ms(6000));
    (0..2).for_each(|index| world.kill_publisher(index));
    let until = world.now + ms(12_000);
    let mut checks_by_router = vec![BTreeMap::<usize, u64>::new(); routers];
    while world.now < until {
        world.run(ms(50));
        for (router, checks) in checks_by_router.iter_mut().enumerate() {
            for database in (0..databases).cycle().skip(router * 17).take(databases) {
                if world.claim_health_check(router, database, false) {
                    *checks.entry(database).or_default() += 1;
                }
            }
        }
    }
    assert!((0..routers).all(|router| world.subscriber(router).unwrap().is_isolated()));
    let control_checks_per_second = databases as f64 / 0.15;
    let most = max_per_second(world.claimed_checks.iter().map(|(at, count)| (*at, *count)));
    assert!(
        most as f64 <= 4.0 * control_checks_per_second * 1.1,
        "{most} checks in a second, the control instances made {control_checks_per_second}"
    );
    // Each router nevertheless uses its quota. They neither all start at once nor start late.
    let all: u64 = world.claimed_checks.values().sum();
    assert!(
        all as f64 >= 4.0 * control_checks_per_second * 12.0 * 0.6,
        "the quota is not used: only {all} checks"
    );
    let first = world.claimed_checks.iter().next().unwrap();
    let quota = 4.0 * control_checks_per_second / 10.0;
    assert!((*first.1 as f64) < quota, "the routers started their checks at once: {first:?}");
    for checks in &checks_by_router {
        assert!(
            checks.values().all(|count| *count as f64 <= 12.0 / 0.15 + 1.0),
            "a router checked a database more than once per period: {checks:?}"
        );
    }
    let has_reported = |router: usize, expected: &Event| {
        world.router_events(router).iter().any(|(_, event)| event == expected)
    };
    assert!((0..routers).all(|router| has_reported(router, &Event::Isolated)));
    // Once the control instances send digests again, no router checks a database that these cover.
    (0..2).for_each(|index| world.start_publisher(index));
    world.run(ms(5000));
    world.check_convergence().unwrap();
    assert!(
        !(0..routers)
            .any(|router| (0..databases).any(|database| world.claim_health_check(router, database, false)))
    );
}

#[test]
fn routers_that_want_to_check_the_same_database_at_once_spread_their_checks() {
    let mut world = World::new(WorldParams::without_faults(400, 2, 64, 9));
    world.checks_invariants = false;
    world.run(ms(6000));
    world.set_running(5, false);
    world.run(ms(2000));
    world.claimed_checks.clear();
    let mut checks = vec![0; 400];
    for _ in 0..60 {
        world.run(ms(20));
        for (router, checks) in checks.iter_mut().enumerate() {
            *checks += u32::from(world.claim_health_check(router, 5, true));
        }
    }
    let most = world.claimed_checks.values().max().unwrap();
    assert!(*most <= 440, "{most} checks in a tenth of a second");
    assert!(checks.iter().all(|checks| (1..=3).contains(checks)), "checks by router: {checks:?}");
}

#[test]
fn routers_rejected_by_a_full_control_instance_subscribe_to_another_one() {
    let mut world =
        World::new(WorldParams { max_subscribers: 8, ..WorldParams::without_faults(10, 3, 64, 10) });
    world.run(ms(20_000));
    let all: Vec<usize> = (0..3).map(|index| world.publisher(index).unwrap().subscriber_count()).collect();
    assert!(all.iter().all(|count| *count <= 8), "subscribers by control instance: {all:?}");
    assert_eq!(all.iter().sum::<usize>(), 20, "not every router has two subscriptions");
    world.check_convergence().unwrap();
}

#[test]
fn subscriptions_of_killed_routers_expire_and_subscribe_requests_are_rate_limited() {
    let mut world = converged_world(WorldParams::without_faults(4, 2, 64, 11));
    for router in 0..4 {
        let most =
            world.router_costs(router).subscribes_by_second.iter().skip(2).map(|(_, count)| *count).max();
        assert!(
            most <= Some(4),
            "router {router} sent {most:?} `Subscribe` messages in a second to two instances"
        );
    }
    (0..3).for_each(|router| world.kill_router(router));
    world.run(ms(6000));
    assert_eq!([0, 1].map(|index| world.publisher(index).unwrap().subscriber_count()), [1, 1]);
    // A router without any control instance does not flood them with requests.
    (0..2).for_each(|index| world.kill_publisher(index));
    let from = world.now.as_secs() + 3;
    world.run(ms(20_000));
    let most = world.router_costs(3).subscribes_by_second.range(from..).map(|(_, count)| *count).max();
    assert!(most <= Some(6), "router 3 sent {most:?} `Subscribe` messages in a second");
}

#[test]
fn a_region_that_is_cut_off_keeps_its_own_databases_fresh_and_converges_after_healing() {
    // Two regions with two control instances each. Routers follow the instances of their own region, which
    // then observe only half of the databases.
    let mut world = converged_world(WorldParams { regions: 2, ..WorldParams::without_faults(8, 4, 400, 12) });
    for router in 0..8 {
        let own = format!("{}", router % 2);
        for name in world.subscriber(router).unwrap().active_instance_names() {
            let index: usize = name.as_str().strip_prefix("control-").unwrap().parse().unwrap();
            assert_eq!(format!("{}", index % 2), own);
        }
    }
    for publisher in 0..4 {
        (0..8).filter(|router| router % 2 != publisher % 2).for_each(|router| {
            world.cut_links.insert((publisher, router));
        });
        (0..400).filter(|database| database % 2 != publisher % 2).for_each(|database| {
            world.hidden_databases.insert((publisher, database));
        });
    }
    world.run(ms(3000));
    // Observations of databases on the same side stay fresh.
    for _ in 0..540 {
        world.run(ms(50));
        for router in 0..8 {
            let own = (0..400).filter(|database| database % 2 == router % 2);
            let oldest =
                own.map(|database| world.observation(router, database).unwrap().seen_at).min().unwrap();
            assert!(
                world.now - oldest <= ms(600),
                "router {router} has an observation that is {:?} old",
                world.now - oldest
            );
        }
    }
    world.cut_links.clear();
    world.hidden_databases.clear();
    world.run(ms(5000));
    world.check_convergence().unwrap();
}

#[test]
fn a_growing_transit_delay_makes_observations_older() {
    // From now on, every datagram takes up to 900 ms, half a second on average, as if a queue had built up on
    // the network.
    let mut world = converged_world(WorldParams::without_faults(3, 2, 100, 13));
    world.params.delayed = (1.0, ms(900));
    for _ in 0..60 {
        world.run(ms(50));
        (0..3).for_each(|router| world.check_router(router));
    }
    world.params.delayed = (0.0, Duration::ZERO);
    world.run(ms(5000));
    world.check_convergence().unwrap();
}

#[test]
fn a_run_is_determined_by_its_seed() {
    let run = || {
        let mut world = World::new(WorldParams {
            loss: 0.05,
            duplicated: 0.05,
            ..WorldParams::without_faults(4, 3, 100, 14)
        });
        world.run(ms(4000));
        let bytes: Vec<u64> = (0..3).map(|index| world.publisher_costs(index).bytes).collect();
        let observations: Vec<_> = (0..100).map(|database| world.observation(2, database)).collect();
        (bytes, observations)
    };
    assert_eq!(run(), run());
    assert!(START < run().1[0].unwrap().seen_at);
}
