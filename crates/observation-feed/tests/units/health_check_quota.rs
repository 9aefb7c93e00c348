//! The quota of health checks of an isolated router.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use quillpoint_observation_feed::health_check_quota::{HealthCheckQuota, QuotaParams};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{ms, node};

#[test]
fn first_checks_of_thousands_of_routers_are_spread_out() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let params = QuotaParams { health_check_period: ms(100), router_count: 8000 };
    let mut first = Vec::new();
    for _ in 0..60 {
        // The router's bucket is full when the database fails.
        let mut quota = HealthCheckQuota::new(params, ms(0));
        quota.nodes_changed(ms(0), &(0..20_000).map(node).collect());
        let granted_at =
            (10_000..14_000).step_by(10).find(|at| quota.claim(ms(*at), node(7), None, &mut rng));
        first.push(granted_at.unwrap() - 10_000);
    }
    first.sort_unstable();
    assert!(first[5] > 50 && first[30] > 600 && first[59] > 1600 && first[59] < 2100, "{first:?}");
}

#[test]
fn a_sudden_drop_of_the_router_count_raises_the_quota_only_slowly() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    // The number of checks that a router is granted in ten seconds, after digests of a control instance that
    // has just started and counts eight routers instead of 4000.
    let claims = |digests: u64, interval: u64, rng: &mut ChaCha8Rng| {
        let mut quota =
            HealthCheckQuota::new(QuotaParams { health_check_period: ms(100), router_count: 4000 }, ms(0));
        quota.nodes_changed(ms(0), &(0..2000).map(node).collect());
        let digest_times = (1..=digests).map(|digest| ms(digest * interval));
        digest_times.for_each(|at| {
            quota.params_changed(at, QuotaParams { health_check_period: ms(100), router_count: 8 })
        });
        let from = digests * interval;
        let mut claims = 0;
        for at in (from..from + 10_000).step_by(10) {
            claims += (0..2000).filter(|number| quota.claim(ms(at), node(*number), None, rng)).count();
        }
        claims
    };
    // 2000 databases are checked ten times a second; 4000 routers share four times that rate. The quota of
    // one router is 20 checks a second.
    let after_one = claims(1, 50, &mut rng);
    assert!((150..=210).contains(&after_one), "{after_one} checks in ten seconds after one digest");
    // Only the elapsed time counts, a tenth of a second and then a second, not the number of digests, which
    // arrive more often during a backlog and from two instances.
    let after_a_few = claims(10, 10, &mut rng);
    assert!((150..=210).contains(&after_a_few), "{after_a_few} checks in ten seconds after 0.1 s of digests");
    let after_a_second = claims(100, 10, &mut rng);
    assert!(
        (160..=235).contains(&after_a_second),
        "{after_a_second} checks in ten seconds after 1 s of digests"
    );
    // After a minute without digests, the first digest counts as one second of decay.
    let after_silence = claims(1, 60_000, &mut rng);
    assert!(
        (160..=235).contains(&after_silence),
        "{after_silence} checks in ten seconds after a minute of silence"
    );
    let after_a_minute = claims(1200, 50, &mut rng);
    assert!(
        after_a_minute > 20_000,
        "the lower count is not applied after a minute: {after_a_minute} checks"
    );
}

/// All routers use the same database and become isolated at the same time, twice for half a minute. In the
/// second isolation all checks are long overdue, and without rescheduling they would all be made at once.
#[test]
fn thousands_of_routers_that_are_isolated_again_do_not_check_one_database_at_once() {
    const ROUTERS: u32 = 7900;
    let params = QuotaParams { health_check_period: ms(150), router_count: ROUTERS };
    let nodes: BTreeSet<SocketAddr> = (0..4000).map(node).collect();
    // Number of checks in each tenth of a second of each isolation.
    let mut checks = [[0_u32; 300]; 2];
    for router in 0..ROUTERS {
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(router));
        let mut quota = HealthCheckQuota::new(params, ms(0));
        quota.nodes_changed(ms(0), &nodes);
        for (isolation, from) in [10_000, 100_000].into_iter().enumerate() {
            quota.begin_isolation(ms(from), &mut rng);
            for tenth in 0..300 {
                let now = ms(from + tenth * 100);
                checks[isolation][tenth as usize] += u32::from(quota.claim(now, node(7), None, &mut rng));
            }
        }
    }
    for isolation in checks {
        let second = |from: usize| isolation[from..from + 10].iter().sum::<u32>();
        let most = (0..=290).map(second).max().unwrap();
        assert!(most <= 4200, "{most} checks in a second");
        // After the first checks there is no second wave: the minimum interval allows about a hundred checks
        // per period, 667 a second.
        let later = (60..=290).map(second).max().unwrap();
        assert!(later <= 1700, "{later} checks in a second after the first ones");
        assert!((0..=2).all(|third| isolation[third * 100..].iter().sum::<u32>() > 0));
    }
}

#[test]
fn an_isolated_router_starts_at_a_random_time_and_limits_the_checks_of_each_database() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let params = QuotaParams { health_check_period: ms(100), router_count: 1000 };
    let nodes: BTreeSet<SocketAddr> = (0..1000).map(node).collect();
    let mut first = Vec::new();
    for _ in 0..50 {
        let mut quota = HealthCheckQuota::new(params, ms(0));
        quota.nodes_changed(ms(0), &nodes);
        quota.begin_isolation(ms(0), &mut rng);
        let mut checks = BTreeMap::<u16, Vec<u64>>::new();
        for at in (0..4000).step_by(10) {
            for number in 0..20 {
                if quota.claim(ms(at), node(number), None, &mut rng) {
                    checks.entry(number).or_default().push(at);
                }
            }
        }
        first.push(*checks.values().flatten().min().unwrap());
        let all: usize = checks.values().map(Vec::len).sum();
        // The router's quota is 40 checks a second, but with so many routers each may check a database only
        // once a second.
        assert!((50..=80).contains(&all), "{all} checks in four seconds");
        for times in checks.values() {
            assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 1000), "{times:?}");
        }
    }
    first.sort_unstable();
    assert!(first[5] < 300 && first[25] > 200 && first[45] > 600, "{first:?}");
}
