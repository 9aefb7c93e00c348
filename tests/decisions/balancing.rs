//! Which of several replicas a read goes to.

use quillpoint::host::*;

use crate::simulation::{ResponseTimes, Simulation, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs};

#[test]
fn long_any_reads_go_to_one_replica() {
    let mut simulation =
        checked_simulation(4, 0, &[("methods.1.latency_objective", Value::Duration(ms(2400)))]);
    assert!(serve_rpcs(&mut simulation, 1, None, 6).iter().all(|target| *target == node(4)));
}

#[test]
fn any_reads_no_longer_than_bounded_reads_are_spread_over_replicas() {
    // If all such reads went to one replica, each of 300 routers would have its first ones in flight there.
    let slow = |name| (name, Value::Duration(ms(2400)));
    let overrides = [
        slow("methods.0.latency_objective"),
        slow("methods.1.latency_objective"),
        ("routers", Value::Number(300.0)),
    ];
    let mut counts = std::collections::BTreeMap::new();
    for seed in 0..300 {
        let mut simulation = Simulation::new(6, seed, &overrides);
        simulation.advance(ms(100));
        let id = simulation.arrive(1, LONG_DEADLINE, None);
        simulation.sent_to(id).into_iter().for_each(|target| *counts.entry(target).or_insert(0) += 1);
    }
    assert!(counts.values().all(|sends| *sends < 100), "sends per node: {counts:?}");
}

#[test]
fn reads_avoid_a_zone_with_a_slow_link() {
    // Odd nodes are in one zone and respond in time; even nodes are in the other zone and respond late.
    let mut simulation = checked_simulation(7, 0, &[]);
    simulation.response_times = ResponseTimes { even_nodes: ms(400), odd_nodes: ms(40) };
    serve_rpcs(&mut simulation, 1, None, 60);
    let nodes = serve_rpcs(&mut simulation, 1, None, 60);
    let far_nodes = [2, 4, 6].map(node);
    let late = nodes.iter().filter(|target| far_nodes.contains(target)).count();
    assert!(late < 6, "{late} of 60 reads went to the slow zone");
}
