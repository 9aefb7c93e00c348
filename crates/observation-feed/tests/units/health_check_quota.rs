//! An isolated router's quota of health checks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use quillpoint_observation_feed::health_check_quota::{HealthCheckQuota, QuotaParams};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{ms, node};

#[test]
fn thousands_with_reason_to_check_do_not_check_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let params = QuotaParams { health_check_period: ms(100), router_count: 8000 };
    let mut first = Vec::new();
    for _ in 0..60 {
        // Their tokens have been saved up when a database fails.
        let mut quota = HealthCheckQuota::new(params, ms(0));
        quota.nodes_changed(ms(0), &(0..20_000).map(node).collect());
        let looks = (10_000..14_000).step_by(10).find(|at| quota.claim(ms(*at), node(7), None, &mut rng));
        first.push(looks.unwrap() - 10_000);
    }
    first.sort_unstable();
    assert!(first[5] > 50 && first[30] > 600 && first[59] > 1600 && first[59] < 2100, "{first:?}");
}

#[test]
fn a_control_instance_that_counts_few_routers_at_its_start_lets_nobody_loose() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let claims = |digests: u64, apart: u64, rng: &mut ChaCha8Rng| {
        let mut quota =
            HealthCheckQuota::new(QuotaParams { health_check_period: ms(100), router_count: 4000 }, ms(0));
        quota.nodes_changed(ms(0), &(0..2000).map(node).collect());
        let digest_times = (1..=digests).map(|digest| ms(digest * apart));
        digest_times.for_each(|at| {
            quota.params_changed(at, QuotaParams { health_check_period: ms(100), router_count: 8 })
        });
        let from = digests * apart;
        let mut claims = 0;
        for at in (from..from + 10_000).step_by(10) {
            claims += (0..2000).filter(|number| quota.claim(ms(at), node(*number), None, rng)).count();
        }
        claims
    };
    // 2000 databases, ten times a second, by 4000 routers, four times over: 20 a second is the quota of one router.
    let after_one = claims(1, 50, &mut rng);
    assert!((150..=210).contains(&after_one), "{after_one}");
    // A tenth of a second and a second are that, however many digests came in them: with a backlog, from two instances.
    let after_a_few = claims(10, 10, &mut rng);
    assert!((150..=210).contains(&after_a_few), "{after_a_few}");
    let after_a_second = claims(100, 10, &mut rng);
    assert!((160..=235).contains(&after_a_second), "{after_a_second}");
    // One that has heard of nobody for a minute learns from the first digest.
    let after_silence = claims(1, 60_000, &mut rng);
    assert!((160..=235).contains(&after_silence), "{after_silence}");
    let after_a_minute = claims(1200, 50, &mut rng);
    assert!(after_a_minute > 20_000, "in time it is believed: {after_a_minute}");
}

/// All routers use one database, and are isolated for half a minute, twice.
#[test]
fn thousands_that_are_isolated_again_do_not_come_together_at_one_database() {
    const ROUTERS: u32 = 7900;
    let params = QuotaParams { health_check_period: ms(150), router_count: ROUTERS };
    let nodes: BTreeSet<SocketAddr> = (0..4000).map(node).collect();
    // By tenth of a second of each isolation.
    let mut looks = [[0_u32; 300]; 2];
    for router in 0..ROUTERS {
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(router));
        let mut quota = HealthCheckQuota::new(params, ms(0));
        quota.nodes_changed(ms(0), &nodes);
        for (spell, from) in [10_000, 100_000].into_iter().enumerate() {
            quota.begin_isolation(ms(from), &mut rng);
            for tenth in 0..300 {
                let now = ms(from + tenth * 100);
                looks[spell][tenth as usize] += u32::from(quota.claim(now, node(7), None, &mut rng));
            }
        }
    }
    for spell in looks {
        let second = |from: usize| spell[from..from + 10].iter().sum::<u32>();
        let most = (0..=290).map(second).max().unwrap();
        assert!(most <= 4200, "{most} in a second");
        // After the first looks there is no wave, but about the minimum interval: a hundred in a period, 667 a second.
        let later = (60..=290).map(second).max().unwrap();
        assert!(later <= 1700, "{later} in a second");
        assert!((0..=2).all(|thing| spell[thing * 100..].iter().sum::<u32>() > 0));
    }
}

#[test]
fn a_quota_is_begun_at_random_and_one_database_is_spared() {
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
        // 40 a second are its part of all; but no database is asked for more than once a second by one of so many.
        assert!((50..=80).contains(&all), "{all}");
        for times in checks.values() {
            assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 1000), "{times:?}");
        }
    }
    first.sort_unstable();
    assert!(first[5] < 300 && first[25] > 200 && first[45] > 600, "{first:?}");
}
