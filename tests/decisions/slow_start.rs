//! How many RPCs are sent to a node that has recently started.

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};
use crate::support::LONG_DEADLINE;

#[test]
fn evenly_loaded_routers_do_not_overload_a_warming_node() {
    // Evenly loaded: each router gets an RPC every 200 ms.
    check_fleet_load_on_restarted_node(100, &[2], 300);
}

#[test]
fn unevenly_loaded_routers_do_not_overload_a_warming_node() {
    // Some routers get an RPC every 100 ms, others every 400 ms, 1.6 s or 6.4 s.
    for routers in [20, 30, 300] {
        check_fleet_load_on_restarted_node(routers, &[1, 4, 16, 64], 291);
    }
}

/// Simulates 400 steps of 100 ms, with `routers` routers. The elements of `steps_per_rpc` are assigned to the
/// routers in turn: a router gets an RPC every so many steps. After 20 s (step 200) node 4 restarts, and from
/// then on only node 4 is fresh. The load is checked for each second that begins at a step from 200 to before
/// `until`.
fn check_fleet_load_on_restarted_node(routers: usize, steps_per_rpc: &[usize], until: usize) {
    let bounded = ("replication.consistency.1", Value::Text("bounded".into()));
    let overrides = [("routers", Value::Number(routers as f64)), bounded];
    let mut simulations: Vec<Simulation> =
        (0..routers as u64).map(|seed| Simulation::new(4, seed, &overrides)).collect();
    // For each RPC sent to node 4 after its restart, the step; and the number of those sent to it before.
    let (mut sends, mut carried) = (Vec::new(), 0);
    for step in 0..400 {
        for (number, simulation) in simulations.iter_mut().enumerate() {
            let now = simulation.now();
            (2..=4)
                .filter(|node| step < 200 || *node == 4)
                .for_each(|node| simulation.set_position(node, now));
            if step == 200 {
                let mut entry = simulation.endpoint(4, EndpointStatus::InService);
                entry.started = Some(now);
                simulation.update_endpoints(EndpointUpdate::Delta, &[entry]);
            }
            simulation.end_health_checks(|_| true);
            if (step + number).is_multiple_of(steps_per_rpc[number % steps_per_rpc.len()]) {
                let id = simulation.arrive(number % 2, ms(150), None);
                simulation.advance(ms(0));
                simulation.end_health_checks(|_| true);
                let to = simulation.sent_to(id);
                carried += usize::from(step < 200 && to.contains(&node(4)));
                sends.extend(to.iter().filter(|to| step >= 200 && **to == node(4)).map(|_| step));
                to.iter().for_each(|_| simulation.end_attempt(id, Outcome::Ok));
            }
            simulation.advance(ms(100));
        }
    }
    // The limit for all routers together. While warm, the node carried `carried` RPCs in 20 s. After the
    // restart it has a quarter of that capacity, growing with time, and may be sent three times as much, plus
    // a margin for chance. The check ends after about ten seconds: by then the node is warm and may be sent
    // every RPC that no other node is fresh enough for.
    for start in 200..until {
        let sent = sends.iter().filter(|at| (start..start + 10).contains(*at)).count() as f64;
        let progress = 0.25 + 0.75 * (start - 200) as f64 / 100.0;
        let budget = 3.0 * progress.min(1.0) * carried as f64 / 20.0;
        let limit = budget + f64::min(5.0, 2.0 * budget.sqrt() + 2.0);
        assert!(
            sent <= limit,
            "{sent} RPCs sent in the second from step {start}, at most {limit} allowed, {routers} routers"
        );
    }
    assert!(
        sends.len() > routers,
        "expected more than {routers} RPCs to node 4 after its restart, found {}",
        sends.len()
    );
}

#[test]
fn assigned_health_checks_are_charged_to_a_warming_node() {
    let reads = |checks: usize| {
        // So far the router knows the nodes only from the endpoint list.
        let mut simulation = Simulation::new(3, 1, &[]);
        let mut entry = simulation.endpoint(2, EndpointStatus::InService);
        entry.started = Some(simulation.now());
        simulation.update_endpoints(EndpointUpdate::Delta, &[entry]);
        for _ in 0..checks {
            assert!(simulation.router.begin_assigned_health_check(node(2)));
            assert!(!simulation.router.begin_assigned_health_check(node(2)), "one health check at a time");
            let now = simulation.now();
            let report = LoadReport { position: Some(now), ..LoadReport::default() };
            simulation.router.health_check_ended(now, node(2), Outcome::Ok, Some(report));
        }
        let observation = simulation.observation(2, simulation.now());
        simulation.peer_observes(observation);
        simulation.set_position(2, simulation.now());
        simulation.advance(ms(400));
        let observation = simulation.observation(2, simulation.now());
        simulation.peer_observes(observation);
        let ids: Vec<RpcId> = (0..20).map(|_| simulation.arrive(1, LONG_DEADLINE, None)).collect();
        ids.iter().filter(|id| simulation.sent_to(**id) == [node(2)]).count()
    };
    assert!(reads(200) < reads(0), "reads sent after 200 checks: {}, after none: {}", reads(200), reads(0));
}
