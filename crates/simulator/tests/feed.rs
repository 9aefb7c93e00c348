//! Control instances and routers in the simulator: the bounds of the mechanism at small sizes, with the fleet that
//! divides the probing as it is, and what does not fit.

use std::time::Duration;

use quillpoint_simulator::feed_run::{FeedFault, FeedRunParams, Outcome};

fn sizes(routers: usize, nodes: usize, fault: Option<FeedFault>) -> FeedRunParams {
    FeedRunParams { routers, nodes, control_instances: 4, seconds: 2.0, fault, ..FeedRunParams::default() }
}

fn simulate(routers: usize, nodes: usize, fault: Option<FeedFault>) -> Outcome {
    sizes(routers, nodes, fault).simulate().unwrap()
}

fn holds(outcome: &Outcome, figure: &str, most: f64) {
    let is = outcome.figure(figure);
    assert!(is <= most, "{figure}: {is}, at most {most}");
}

#[test]
fn calm_holds_the_bounds_and_does_not_grow_with_the_nodes() {
    let [small, large] = [200, 400].map(|nodes| simulate(24, nodes, None));
    for outcome in [&small, &large] {
        holds(outcome, "router_bytes_in_s", 13_000.0);
        holds(outcome, "age_p99_s", 0.3);
        holds(outcome, "change_known_max_s", 1.0);
        holds(outcome, "database_probes_s", 7.0);
    }
    holds(&large, "router_bytes_in_s", 1.3 * small.figure("router_bytes_in_s"));
    // What stands in no line of the program: the world's own count of digests.
    assert!((19.0..=21.0).contains(&large.figure("router_messages_in_s")), "{large:?}");
}

#[test]
fn faults_hold_the_bounds() {
    let restart = simulate(24, 300, Some(FeedFault::Restart));
    holds(&restart, "follow_max_s", 3.0);
    holds(&restart, "fault_age_max_s", 1.0);
    holds(&simulate(24, 300, Some(FeedFault::KillControl)), "fault_age_max_s", 1.0);
    holds(&simulate(24, 300, Some(FeedFault::Partition)), "agree_max_s", 5.0);
    holds(&simulate(24, 300, Some(FeedFault::Pause)), "agree_max_s", 3.0);
    let alone = simulate(24, 300, Some(FeedFault::KillAllControl));
    // Two who do not answer are each asked a few times a second at the most.
    holds(&alone, "alone_router_bytes_out_s", 600.0);
}

#[test]
fn a_seed_decides_all_but_the_machines_own_time() {
    let timeless = |outcome: Outcome| {
        let mut figures = outcome.figures;
        figures.retain(|name, _| !name.ends_with("cpu_part"));
        figures
    };
    assert_eq!(timeless(simulate(10, 100, None)), timeless(simulate(10, 100, None)));
    let other = FeedRunParams { seed: 2, ..sizes(10, 100, None) }.simulate().unwrap();
    assert_ne!(timeless(other), timeless(simulate(10, 100, None)));
}

#[test]
fn what_does_not_fit_is_said_before_anything_is_begun() {
    let refused = |sizes: FeedRunParams| sizes.simulate().unwrap_err().to_string();
    let large = refused(sizes(7900, 18_000, None));
    assert!(large.contains("7900 routers") && large.contains("694 routers fit"), "{large}");
    assert!(refused(sizes(0, 100, None)).contains("at least one"));
    assert!(refused(sizes(100_000, 1, None)).contains("addresses"));
    assert_eq!(FeedFault::from_name("restart"), Some(FeedFault::Restart));
    assert_eq!(FeedFault::from_name("flood"), None);
    assert_eq!(FeedRunParams::default().health_check_period, Duration::from_millis(150));
}
