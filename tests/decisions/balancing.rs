//! Which of several replicas a read goes to.

use quillpoint::host::*;

use crate::simulation::{AnswerTimes, Simulation, ms, node};
use crate::support::{LONG, checked, sent};

#[test]
fn long_any_reads_keep_to_one_replica() {
    let mut simulation = checked(4, 0, &[("methods.1.latency_objective", Value::Duration(ms(2400)))]);
    assert!(sent(&mut simulation, 1, None, 6).iter().all(|at| *at == node(4)));
}

#[test]
fn any_reads_no_longer_than_bounded_ones_fill_no_single_replica() {
    // Each of 300 routers would have its first ones in flight at the same replica.
    let slow = |name| (name, Value::Duration(ms(2400)));
    let change = [
        slow("methods.0.latency_objective"),
        slow("methods.1.latency_objective"),
        ("routers", Value::Number(300.0)),
    ];
    let mut most = std::collections::BTreeMap::new();
    for seed in 0..300 {
        let mut simulation = Simulation::new(6, seed, &change);
        simulation.advance(ms(100));
        let id = simulation.arrive(1, LONG, None);
        simulation.sent_to(id).into_iter().for_each(|at| *most.entry(at).or_insert(0) += 1);
    }
    assert!(most.values().all(|sends| *sends < 100), "{most:?}");
}

#[test]
fn reads_keep_off_a_zone_whose_link_is_slow() {
    // Odd nodes are in one zone and answer in time, even ones in the other and late.
    let mut simulation = checked(7, 0, &[]);
    simulation.answer_times = AnswerTimes { even_nodes: ms(400), odd_nodes: ms(40) };
    sent(&mut simulation, 1, None, 60);
    let nodes = sent(&mut simulation, 1, None, 60);
    let far = [2, 4, 6].map(node);
    let late = nodes.iter().filter(|at| far.contains(at)).count();
    assert!(late < 6, "{late} of 60");
}
