//! Control instances and routers in virtual time, under every fault that they are for. The world checks the rules after
//! each message that a router takes: nothing is dated fresher than it was seen, no position is higher than was shown, a
//! role and a start are of about that time, replicas stay within their bounds, each datagram fits.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint_observation_feed::Event;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::faults::{happen, heal};
use world::{START, Shape, World, most_a_second, ms, settled};

#[test]
fn whatever_happens_nothing_is_dated_fresher_than_it_was_seen_and_all_agree_after_healing() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let shape = Shape {
            regions: 1 + (seed as usize % 2),
            loss: [0.0, 0.02, 0.2][seed as usize % 3],
            doubled: 0.05,
            slow: ([0.0, 0.1, 0.3][seed as usize % 3], ms([0, 300, 2500][(seed / 3) as usize % 3])),
            unseen: [0.0, 0.02, 0.1][(seed / 2) as usize % 3],
            skew: ms([0, 40][seed as usize % 2]),
            ..Shape::calm(5, 4, 130, seed)
        };
        let mut world = World::new(shape);
        let until = world.now + ms(20_000);
        while world.now < until {
            world.run(ms(rng.random_range(50..500)));
            happen(&mut world, &mut rng);
            let (router, database) = (rng.random_range(0..5), rng.random_range(0..130));
            world.claim(router, database, rng.random_bool(0.5));
        }
        heal(&mut world);
        world.run(ms(5000));
        world.agrees().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

#[test]
fn calm_costs_little_and_what_is_known_is_fresh() {
    let mut bytes = BTreeMap::new();
    for databases in [500, 1000, 2000] {
        let mut world = World::new(Shape::calm(12, 4, databases, 1));
        world.checked = false;
        world.run(ms(5000));
        world.agrees().unwrap();
        let before: u64 = (0..4).map(|place| world.publisher_costs(place).bytes).sum();
        let mut ages = Vec::new();
        for _ in 0..50 {
            world.run(ms(97));
            ages.extend(world.ages());
        }
        let after: u64 = (0..4).map(|place| world.publisher_costs(place).bytes).sum();
        ages.sort_unstable();
        let p99 = ages[ages.len() * 99 / 100];
        assert!(p99 <= ms(300), "{databases}: {p99:?}");
        bytes.insert(databases, (after - before) as f64 / 12.0 / 4.85);
    }
    assert!(bytes[&2000] <= 13_000.0 && bytes[&2000] <= 1.3 * bytes[&1000], "{bytes:?}");
    assert!(bytes[&1000] <= 1.3 * bytes[&500], "{bytes:?}");
}

#[test]
fn a_killed_control_instance_ages_nobody_past_a_second() {
    let mut world = settled(Shape::calm(10, 4, 200, 3));
    world.kill_publisher(1);
    let mut oldest = Duration::ZERO;
    for _ in 0..40 {
        world.run(ms(50));
        oldest = oldest.max(*world.ages().last().unwrap());
    }
    assert!(oldest <= ms(1000), "{oldest:?}");
    // All have two again, and the one that was killed gets its own back in time.
    world.run(ms(4000));
    let two = |world: &World| {
        (0..10).all(|router| world.subscriber(router).unwrap().active_instance_names().count() == 2)
    };
    assert!(two(&world));
    world.start_publisher(1);
    world.run(ms(30_000));
    let followers = |place: usize| world.publisher(place).unwrap().subscriber_count();
    assert!(two(&world) && followers(1) > 0, "{}", followers(1));
    assert_eq!((0..4).map(followers).sum::<usize>(), 20);
}

#[test]
fn a_change_of_primary_is_known_within_a_second_of_the_first_check_that_saw_it() {
    let mut world = settled(Shape { loss: 0.02, ..Shape::calm(10, 4, 200, 4) });
    for turn in 0..10 {
        let (old, new) = (3 * turn, 3 * turn + 1);
        (world.databases[old].primary, world.databases[new].primary) = (false, true);
        let from = world.now;
        world.run(ms(1000) + world.shape.period);
        for router in 0..10 {
            let observation = world.known(router, new).unwrap();
            assert_eq!(observation.primary, Some(true), "{turn}, {router}");
            let node = world::address(new);
            let reports =
                |(at, to, observation): &&(Duration, usize, quillpoint_observation_feed::FeedObservation)| {
                    *at >= from
                        && *to == router
                        && observation.node == node
                        && observation.primary == Some(true)
                };
            assert!(world.changed.iter().any(|change| reports(&change)), "reported at once, unasked");
        }
    }
}

#[test]
fn a_database_that_fails_is_published_and_does_not_age_the_others() {
    let mut world = settled(Shape::calm(6, 4, 200, 5));
    world.set_up(7, false);
    world.run(ms(1000));
    for router in 0..6 {
        assert!(world.known(router, 7).unwrap().failed);
    }
    // One that is silent, though nothing says that it has failed, is as old as it is, alone.
    (0..4).for_each(|publisher| _ = world.blind.insert((publisher, 9)));
    let mut oldest = Duration::ZERO;
    for _ in 0..30 {
        world.run(ms(50));
        for router in 0..6 {
            let known = (0..200)
                .filter(|one| *one != 7 && *one != 9)
                .map(|one| world.known(router, one).unwrap().seen_at);
            oldest = oldest.max(world.now - known.min().unwrap());
        }
    }
    assert!(oldest <= ms(600), "{oldest:?}");
    assert!(world.now - world.known(0, 9).unwrap().seen_at > ms(1000));
    world.set_up(7, true);
    world.blind.clear();
    world.run(ms(1500));
    world.agrees().unwrap();
    assert_eq!(
        world.known(0, 7).unwrap().started,
        Some(world.databases[7].started),
        "young, so it is published"
    );
}

/// A sixth of the routers at once, at the target's databases and with as much budget for snapshots as the target's settings have
/// for each subscriber.
#[test]
fn a_sixth_restarted_follows_again_within_three_seconds_and_peaks_stay_low() {
    let calm_rate = 12.0 * 10.0 * 175.0;
    let shape = Shape {
        snapshot_bytes_per_second: 3.2 * calm_rate,
        period: ms(300),
        ..Shape::calm(12, 2, 18_000, 6)
    };
    let mut world = World::new(shape);
    world.checked = false;
    // All have both replicas by then.
    world.run(ms(36_000));
    let from = world.now;
    world.run(ms(3000));
    let bytes = |world: &World, place: usize, from: Duration| {
        let first = from.as_millis() as u64 / 100;
        let by_tenth = world.publisher_costs(place).by_tenth.range(first..).map(|(at, (all, _))| (*at, *all));
        most_a_second(by_tenth)
    };
    let calm = [bytes(&world, 0, from), bytes(&world, 1, from)];
    let from = world.now;
    for router in (0..12).step_by(6) {
        world.kill_router(router);
        world.start_router(router);
    }
    world.run(ms(3000));
    for router in 0..12 {
        assert!(world.subscriber(router).unwrap().is_complete(), "{router}");
    }
    world.run(ms(6000));
    for (place, calm) in calm.iter().enumerate() {
        let peak = bytes(&world, place, from);
        assert!(peak <= 5 * calm, "{peak} bytes a second, calm {calm}");
        assert_eq!(world.publisher(place).unwrap().subscriber_count(), 12);
    }
}

#[test]
fn snapshots_keep_to_their_budget_in_any_second() {
    let mut world =
        World::new(Shape { snapshot_bytes_per_second: 60_000.0, loss: 0.1, ..Shape::calm(20, 2, 3000, 7) });
    world.checked = false;
    world.run(ms(20_000));
    for place in 0..2 {
        let snapshots =
            world.publisher_costs(place).by_tenth.iter().map(|(at, (_, snapshots))| (*at, *snapshots));
        let most = most_a_second(snapshots);
        // What is saved up and one partition that is sent as a whole.
        assert!(most as f64 <= 60_000.0 * 1.05 + 6_000.0, "{most}");
        assert!(most > 40_000, "the budget is used: {most}");
    }
    assert!((0..20).all(|router| world.subscriber(router).unwrap().is_complete()));
}

#[test]
fn isolated_routers_check_no_more_together_than_a_few_times_what_control_did() {
    let (routers, databases) = (60, 200);
    let mut world = World::new(Shape::calm(routers, 2, databases, 8));
    world.checked = false;
    world.run(ms(6000));
    (0..2).for_each(|place| world.kill_publisher(place));
    let until = world.now + ms(12_000);
    let mut by_one = vec![BTreeMap::<usize, u64>::new(); routers];
    while world.now < until {
        world.run(ms(50));
        for (router, probes) in by_one.iter_mut().enumerate() {
            for database in (0..databases).cycle().skip(router * 17).take(databases) {
                if world.claim(router, database, false) {
                    *probes.entry(database).or_default() += 1;
                }
            }
        }
    }
    assert!((0..routers).all(|router| world.subscriber(router).unwrap().is_isolated()));
    let by_control = databases as f64 / 0.15;
    let most = most_a_second(world.isolated_checks.iter().map(|(at, count)| (*at, *count)));
    assert!(most as f64 <= 4.0 * by_control * 1.1, "{most} of {by_control}");
    // Each gets its share all the same, and begins it neither at once nor late.
    let all: u64 = world.isolated_checks.values().sum();
    assert!(all as f64 >= 4.0 * by_control * 12.0 * 0.6, "{all}");
    let first = world.isolated_checks.iter().next().unwrap();
    let share = 4.0 * by_control / 10.0;
    assert!((*first.1 as f64) < share, "{first:?}: not all at once");
    for probes in &by_one {
        assert!(probes.values().all(|count| *count as f64 <= 12.0 / 0.15 + 1.0), "once a period at the most");
    }
    let has_emitted =
        |router: usize, what: &Event| world.router_events(router).iter().any(|(_, event)| event == what);
    assert!((0..routers).all(|router| has_emitted(router, &Event::Isolated)));
    // And once they speak again, nobody probes what they have seen.
    (0..2).for_each(|place| world.start_publisher(place));
    world.run(ms(5000));
    world.agrees().unwrap();
    assert!(!(0..routers).any(|router| (0..databases).any(|database| world.claim(router, database, false))));
}

#[test]
fn many_with_reason_to_check_one_database_do_so_one_after_the_other() {
    let mut world = World::new(Shape::calm(400, 2, 64, 9));
    world.checked = false;
    world.run(ms(6000));
    world.set_up(5, false);
    world.run(ms(2000));
    world.isolated_checks.clear();
    let mut who = vec![0; 400];
    for _ in 0..60 {
        world.run(ms(20));
        for (router, looks) in who.iter_mut().enumerate() {
            *looks += u32::from(world.claim(router, 5, true));
        }
    }
    let most = world.isolated_checks.values().max().unwrap();
    assert!(*most <= 440, "{most} in a tenth of a second");
    assert!(who.iter().all(|looks| (1..=3).contains(looks)), "{who:?}");
}

#[test]
fn subscribers_are_bounded_and_the_others_go_elsewhere() {
    let mut world = World::new(Shape { max_subscribers: 8, ..Shape::calm(10, 3, 64, 10) });
    world.run(ms(20_000));
    let all: Vec<usize> = (0..3).map(|place| world.publisher(place).unwrap().subscriber_count()).collect();
    assert!(all.iter().all(|count| *count <= 8), "{all:?}");
    assert_eq!(all.iter().sum::<usize>(), 20, "each still has two");
    world.agrees().unwrap();
}

#[test]
fn a_router_that_is_gone_is_forgotten_and_none_subscribes_more_than_about_once_a_second() {
    let mut world = settled(Shape::calm(4, 2, 64, 11));
    for router in 0..4 {
        let asked = world.router_costs(router).subscribes.iter().skip(2).map(|(_, count)| *count).max();
        assert!(asked <= Some(4), "two of them, each about once: {asked:?}");
    }
    (0..3).for_each(|router| world.kill_router(router));
    world.run(ms(6000));
    assert_eq!([0, 1].map(|place| world.publisher(place).unwrap().subscriber_count()), [1, 1]);
    // With nobody there, no router shouts.
    (0..2).for_each(|place| world.kill_publisher(place));
    let from = world.now.as_secs() + 3;
    world.run(ms(20_000));
    let asked = world.router_costs(3).subscribes.range(from..).map(|(_, count)| *count).max();
    assert!(asked <= Some(6), "{asked:?}");
}

#[test]
fn a_region_that_is_cut_off_goes_on_and_agrees_soon_after() {
    // Two regions: routers of one follow its own two control instances, which then see only half of the databases.
    let mut world = settled(Shape { regions: 2, ..Shape::calm(8, 4, 400, 12) });
    for router in 0..8 {
        let own = format!("{}", router % 2);
        for name in world.subscriber(router).unwrap().active_instance_names() {
            let place: usize = name.as_str().strip_prefix("control-").unwrap().parse().unwrap();
            assert_eq!(format!("{}", place % 2), own);
        }
    }
    for publisher in 0..4 {
        (0..8).filter(|router| router % 2 != publisher % 2).for_each(|router| {
            world.cut.insert((publisher, router));
        });
        (0..400).filter(|database| database % 2 != publisher % 2).for_each(|database| {
            world.blind.insert((publisher, database));
        });
    }
    world.run(ms(3000));
    // What is seen on this side stays fresh.
    for _ in 0..540 {
        world.run(ms(50));
        for router in 0..8 {
            let own = (0..400).filter(|database| database % 2 == router % 2);
            let oldest = own.map(|database| world.known(router, database).unwrap().seen_at).min().unwrap();
            assert!(world.now - oldest <= ms(600), "{:?}", world.now - oldest);
        }
    }
    world.cut.clear();
    world.blind.clear();
    world.run(ms(5000));
    world.agrees().unwrap();
}

#[test]
fn a_digest_that_comes_much_later_than_the_others_is_as_much_older() {
    // All of what one control instance sends takes half a second from now on: a queue has built up on the way.
    let mut world = settled(Shape::calm(3, 2, 100, 13));
    world.shape.slow = (1.0, ms(900));
    for _ in 0..60 {
        world.run(ms(50));
        (0..3).for_each(|router| world.check_router(router));
    }
    world.shape.slow = (0.0, Duration::ZERO);
    world.run(ms(5000));
    world.agrees().unwrap();
}

#[test]
fn a_seed_decides_all() {
    let run = || {
        let mut world = World::new(Shape { loss: 0.05, doubled: 0.05, ..Shape::calm(4, 3, 100, 14) });
        world.run(ms(4000));
        let bytes: Vec<u64> = (0..3).map(|place| world.publisher_costs(place).bytes).collect();
        let observations: Vec<_> = (0..100).map(|database| world.known(2, database)).collect();
        (bytes, observations)
    };
    assert_eq!(run(), run());
    assert!(START < run().1[0].unwrap().seen_at);
}
