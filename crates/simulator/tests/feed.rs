//! Control instances and routers in the simulator: the bounds on traffic, age and recovery at small sizes,
//! and the errors for sizes that cannot be simulated. The control instances divide the probing by the
//! product's own code.

use std::time::Duration;

use quillpoint_simulator::feed_run::{FeedFault, FeedRunParams, Outcome};

fn params(routers: usize, nodes: usize, fault: Option<FeedFault>) -> FeedRunParams {
    FeedRunParams { routers, nodes, control_instances: 4, seconds: 2.0, fault, ..FeedRunParams::default() }
}

fn simulate(routers: usize, nodes: usize, fault: Option<FeedFault>) -> Outcome {
    params(routers, nodes, fault).simulate().unwrap()
}

fn assert_at_most(outcome: &Outcome, figure: &str, limit: f64) {
    let value = outcome.figure(figure);
    assert!(value <= limit, "{figure}: expected at most {limit}, found {value}");
}

/// Guards against feed traffic that grows with the number of nodes although nothing changes.
#[test]
fn steady_state_stays_within_bounds_and_router_traffic_does_not_grow_with_nodes() {
    let [small, large] = [200, 400].map(|nodes| simulate(24, nodes, None));
    for outcome in [&small, &large] {
        assert_at_most(outcome, "router_bytes_in_s", 13_000.0);
        assert_at_most(outcome, "age_p99_s", 0.3);
        assert_at_most(outcome, "change_known_max_s", 1.0);
        assert_at_most(outcome, "database_probes_s", 7.0);
    }
    assert_at_most(&large, "router_bytes_in_s", 1.3 * small.figure("router_bytes_in_s"));
    // Counted by the world, not by the code under test: digests of two control instances, ten a second each.
    assert!((19.0..=21.0).contains(&large.figure("router_messages_in_s")), "{large:?}");
}

/// Guards against slow recovery and stale observations after each kind of fault.
#[test]
fn recovery_from_each_fault_stays_within_bounds() {
    let restart = simulate(24, 300, Some(FeedFault::Restart));
    assert_at_most(&restart, "follow_max_s", 3.0);
    assert_at_most(&restart, "fault_age_max_s", 1.0);
    assert_at_most(&simulate(24, 300, Some(FeedFault::KillControl)), "fault_age_max_s", 1.0);
    assert_at_most(&simulate(24, 300, Some(FeedFault::Partition)), "agree_max_s", 5.0);
    assert_at_most(&simulate(24, 300, Some(FeedFault::Pause)), "agree_max_s", 3.0);
    let isolated = simulate(24, 300, Some(FeedFault::KillAllControl));
    // Each router sends subscribe requests to two control instances that do not answer, at most a few times a
    // second.
    assert_at_most(&isolated, "alone_router_bytes_out_s", 600.0);
}

/// Guards against non-determinism: with the same seed, everything but the measured CPU time must be the same.
#[test]
fn a_seed_determines_everything_except_cpu_time() {
    let without_cpu_time = |outcome: Outcome| {
        let mut figures = outcome.figures;
        figures.retain(|name, _| !name.ends_with("cpu_part"));
        figures
    };
    assert_eq!(without_cpu_time(simulate(10, 100, None)), without_cpu_time(simulate(10, 100, None)));
    let other = FeedRunParams { seed: 2, ..params(10, 100, None) }.simulate().unwrap();
    assert_ne!(without_cpu_time(other), without_cpu_time(simulate(10, 100, None)));
}

/// Guards against runs that exhaust the machine's memory or wrap around in addresses: they must be rejected
/// before the simulation starts, with an error that says what would fit.
#[test]
fn sizes_that_cannot_be_simulated_are_rejected_before_the_run() {
    let error_of = |params: FeedRunParams| params.simulate().unwrap_err().to_string();
    let large = error_of(params(7900, 18_000, None));
    assert!(large.contains("7900 routers") && large.contains("694 routers fit"), "{large}");
    assert!(error_of(params(0, 100, None)).contains("at least one"));
    assert!(error_of(params(100_000, 1, None)).contains("addresses"));
    assert_eq!(FeedFault::from_name("restart"), Some(FeedFault::Restart));
    assert_eq!(FeedFault::from_name("flood"), None);
    assert_eq!(FeedRunParams::default().health_check_period, Duration::from_millis(150));
}
