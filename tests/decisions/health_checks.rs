//! When nodes are checked, and what the results change.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};
use crate::support::{LONG_DEADLINE, checked_simulation, serve_rpcs};

#[test]
fn failed_health_check_ejects_a_replica_until_one_succeeds() {
    let mut simulation = checked_simulation(3, 0, &[]);
    simulation.advance(ms(400));
    simulation.arrive(0, ms(1), None);
    simulation.end_health_checks(|target| target != node(2));
    assert!(!serve_rpcs(&mut simulation, 1, None, 40).contains(&node(2)));
    simulation.advance(ms(300));
    simulation.end_health_checks(|_| true);
    assert!(serve_rpcs(&mut simulation, 1, None, 40).contains(&node(2)));
}

#[test]
fn primary_is_dropped_only_after_the_third_immediate_health_check_failure_in_a_row() {
    let mut simulation = checked_simulation(3, 0, &[]);
    simulation.advance(ms(20));
    let write = simulation.arrive(4, LONG_DEADLINE, None);
    simulation.end_attempt(write, Outcome::ConnectFailed);
    for round in 0..3 {
        assert_eq!(simulation.sent_to(write), [node(1)], "round {round}: no search for another primary yet");
        assert_eq!(
            std::mem::take(&mut simulation.record_mut().health_checks),
            [node(1)],
            "checked again immediately"
        );
        let now = simulation.now();
        simulation.router.health_check_ended(now, node(1), Outcome::ConnectFailed, None);
    }
    assert_eq!(simulation.sent_to(write), [node(1), node(2)], "the search begins after the third failure");
}

#[test]
fn router_with_little_traffic_checks_nodes_only_for_its_reads() {
    // With many routers, most of what is known about nodes becomes outdated without being used. No node is
    // checked for its age alone; for a read, one node after the other is checked until the read can be sent.
    let mut simulation = checked_simulation(6, 0, &[]);
    simulation.advance(ms(3000));
    assert!(simulation.record().health_checks.is_empty());
    let id = simulation.arrive(0, LONG_DEADLINE, None);
    let mut checked_nodes = simulation.record().health_checks.clone();
    simulation.end_health_checks(|_| true);
    checked_nodes.extend(simulation.record().health_checks.clone());
    (2..=6).for_each(|number| simulation.set_position(number, simulation.now()));
    assert!(
        checked_nodes.len() == 2 && checked_nodes[0] != checked_nodes[1] && simulation.sent_to(id).is_empty(),
        "{checked_nodes:?}"
    );
    simulation.end_health_checks(|_| true);
    assert_eq!(
        (simulation.sent_to(id), simulation.record().health_checks.len()),
        (vec![checked_nodes[1]], 0)
    );
}

#[test]
fn health_check_that_allows_a_read_is_not_charged_to_the_budget() {
    // With little traffic each bounded read needs a health check, and a check that allows a read to be sent
    // is worth its cost.
    let mut simulation = checked_simulation(6, 0, &[("prices.health_check", Value::Number(0.1))]);
    let mut served = 0;
    for _ in 0..200 {
        simulation.advance(ms(400));
        (2..=6).for_each(|number| simulation.set_position(number, simulation.now()));
        let id = simulation.arrive(0, LONG_DEADLINE, None);
        simulation.end_health_checks(|_| true);
        for _ in simulation.sent_to(id) {
            simulation.end_attempt(id, Outcome::Ok);
            served += 1;
        }
    }
    assert_eq!(served, 200);
}

#[test]
fn health_checks_stay_within_the_budget_earned_by_rpcs() {
    let mut simulation = checked_simulation(6, 0, &[("prices.health_check", Value::Number(0.1))]);
    let mut checks = 0;
    for _ in 0..200 {
        simulation.arrive(0, ms(1), None);
        simulation.advance(ms(200));
        checks += simulation.record().health_checks.len();
        simulation.end_health_checks(|_| false);
    }
    assert!((12..=20).contains(&checks), "0.06 checks per RPC for 200 RPCs, plus the saved budget: {checks}");
}

#[test]
fn starting_fleet_checks_each_node_a_few_times_not_once_per_router() {
    let overrides = [("routers", Value::Number(300.0)), ("prices.health_check", Value::Number(0.08))];
    let mut simulations: Vec<Simulation> =
        (0..300).map(|seed| Simulation::new(20, seed, &overrides)).collect();
    let count = |simulations: &[Simulation]| {
        simulations.iter().map(|simulation| simulation.record().health_checks.len()).sum::<usize>()
    };
    for simulation in &mut simulations {
        simulation.arrive(0, LONG_DEADLINE, None);
    }
    assert_eq!(
        count(&simulations),
        300,
        "one check per router although no node has responded yet: 15 per node"
    );
    // No node responds. What each router may have saved up must be small, because a fleet pays for it 300
    // times.
    let mut all = 0;
    for _ in 0..100 {
        all += count(&simulations);
        simulations.iter_mut().for_each(|simulation| simulation.end_health_checks(|_| false));
        simulations.iter_mut().for_each(|simulation| simulation.advance(ms(37)));
    }
    assert!(all <= 300 * 13, "{all}");
}

#[test]
fn health_check_with_an_error_response_shows_that_the_node_is_up() {
    let mut simulation = checked_simulation(2, 0, &[]);
    simulation.router.health_check_ended(simulation.now(), node(1), Outcome::Error, None);
    let write = simulation.arrive(4, LONG_DEADLINE, None);
    assert_eq!(simulation.sent_to(write), [node(1)]);
}
