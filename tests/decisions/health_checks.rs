//! When nodes are checked, and what that shows.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};
use crate::support::{LONG, checked, sent};

#[test]
fn a_failed_health_check_ejects_a_replica_until_one_is_answered() {
    let mut simulation = checked(3, 0, &[]);
    simulation.advance(ms(400));
    simulation.arrive(0, ms(1), None);
    simulation.end_health_checks(|at| at != node(2));
    assert!(!sent(&mut simulation, 1, None, 40).contains(&node(2)));
    simulation.advance(ms(300));
    simulation.end_health_checks(|_| true);
    assert!(sent(&mut simulation, 1, None, 40).contains(&node(2)));
}

#[test]
fn a_primary_is_lost_only_to_the_third_health_check_in_a_row_that_fails_at_once() {
    let mut simulation = checked(3, 0, &[]);
    simulation.advance(ms(20));
    let write = simulation.arrive(4, LONG, None);
    simulation.end_attempt(write, Outcome::ConnectFailed);
    for round in 0..3 {
        assert_eq!(simulation.sent_to(write), [node(1)], "round {round}: no search for another yet");
        assert_eq!(
            std::mem::take(&mut simulation.record_mut().health_checks),
            [node(1)],
            "checked again at once"
        );
        let now = simulation.now();
        simulation.router.health_check_ended(now, node(1), Outcome::ConnectFailed, None);
    }
    assert_eq!(simulation.sent_to(write), [node(1), node(2)], "and now the search");
}

#[test]
fn a_quiet_router_checks_nodes_for_its_reads_and_no_more() {
    // With many routers most entries age unread: none is checked for its age alone, but one after the other for a
    // read, until one lets it go.
    let mut simulation = checked(6, 0, &[]);
    simulation.advance(ms(3000));
    assert!(simulation.record().health_checks.is_empty());
    let id = simulation.arrive(0, LONG, None);
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
fn a_health_check_that_lets_a_read_go_is_not_taken_from_what_rpcs_earned() {
    // Where traffic is thin each bounded read needs a health check; at its price each is well spent.
    let mut simulation = checked(6, 0, &[("prices.health_check", Value::Number(0.1))]);
    let mut served = 0;
    for _ in 0..200 {
        simulation.advance(ms(400));
        (2..=6).for_each(|number| simulation.set_position(number, simulation.now()));
        let id = simulation.arrive(0, LONG, None);
        simulation.end_health_checks(|_| true);
        for _ in simulation.sent_to(id) {
            simulation.end_attempt(id, Outcome::Ok);
            served += 1;
        }
    }
    assert_eq!(served, 200);
}

#[test]
fn health_checks_cost_no_more_than_rpcs_have_earned() {
    let mut simulation = checked(6, 0, &[("prices.health_check", Value::Number(0.1))]);
    let mut checks = 0;
    for _ in 0..200 {
        simulation.arrive(0, ms(1), None);
        simulation.advance(ms(200));
        checks += simulation.record().health_checks.len();
        simulation.end_health_checks(|_| false);
    }
    assert!((12..=20).contains(&checks), "0.06 of 200, and what was saved up: {checks}");
}

#[test]
fn a_fleet_that_starts_checks_each_node_a_few_times_and_not_once_for_each_router() {
    let change = [("routers", Value::Number(300.0)), ("prices.health_check", Value::Number(0.08))];
    let mut simulations: Vec<Simulation> = (0..300).map(|seed| Simulation::new(20, seed, &change)).collect();
    let count = |simulations: &[Simulation]| {
        simulations.iter().map(|simulation| simulation.record().health_checks.len()).sum::<usize>()
    };
    for simulation in &mut simulations {
        simulation.arrive(0, LONG, None);
    }
    assert_eq!(count(&simulations), 300, "one each, though nobody has been heard: 15 a node");
    // Nobody answers: what each may have saved up is little, as 300 times it is paid for.
    let mut all = 0;
    for _ in 0..100 {
        all += count(&simulations);
        simulations.iter_mut().for_each(|simulation| simulation.end_health_checks(|_| false));
        simulations.iter_mut().for_each(|simulation| simulation.advance(ms(37)));
    }
    assert!(all <= 300 * 13, "{all}");
}

#[test]
fn a_health_check_answered_with_an_error_shows_that_the_node_is_up() {
    let mut simulation = checked(2, 0, &[]);
    simulation.router.health_check_ended(simulation.now(), node(1), Outcome::Error, None);
    let write = simulation.arrive(4, LONG, None);
    assert_eq!(simulation.sent_to(write), [node(1)]);
}
