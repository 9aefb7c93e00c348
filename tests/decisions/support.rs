//! Simulations in states from which many tests start.

use std::time::Duration;

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};

/// A deadline that no test reaches.
pub const LONG_DEADLINE: Duration = Duration::from_millis(3000);

/// A simulation in which all health checks have been answered once and node 2 lags by `lag_ms` milliseconds.
pub fn checked_simulation(nodes: usize, lag_ms: u64, overrides: &[(&str, Value)]) -> Simulation {
    let mut simulation = Simulation::new(nodes, 1, overrides);
    let now = simulation.now();
    (3..=nodes).for_each(|number| simulation.set_position(number, now));
    simulation.set_position(2, now - ms(lag_ms));
    simulation.record_mut().nodes.get_mut(&node(2)).unwrap().position = now - ms(lag_ms);
    // This read makes the router check the nodes. Its deadline passes before it can be sent.
    simulation.arrive(0, ms(1), None);
    simulation.end_health_checks(|_| true);
    simulation
}

/// Serves `times` RPCs of a method, each of whose attempts succeeds at once. Returns the nodes they were sent
/// to.
pub fn serve_rpcs(
    simulation: &mut Simulation,
    method: usize,
    since_write: Option<Duration>,
    times: usize,
) -> Vec<NodeId> {
    let ids: Vec<RpcId> = (0..times)
        .map(|_| {
            let id = simulation.arrive(method, LONG_DEADLINE, since_write);
            simulation.sent_to(id).iter().for_each(|_| simulation.end_attempt(id, Outcome::Ok));
            id
        })
        .collect();
    ids.into_iter().flat_map(|id| simulation.sent_to(id)).collect()
}

/// One of a hundred routers in front of nodes that report their requests in flight only in health checks.
pub fn with_reported_load(in_flight: f64) -> Simulation {
    with_reported_load_and_retry_after(in_flight, false)
}

/// The same; `retry_after` tells whether clients get a Retry-After.
pub fn with_reported_load_and_retry_after(in_flight: f64, retry_after: bool) -> Simulation {
    let overrides = [
        ("reports.source", Value::Text("probe".into())),
        ("routers", Value::Number(100.0)),
        ("allowed.retry_after", Value::Bool(retry_after)),
    ];
    let mut simulation = checked_simulation(4, 0, &overrides);
    simulation.in_flight = Some(in_flight);
    for _ in 0..60 {
        simulation.advance(ms(200));
        simulation.arrive(0, ms(100), None);
        simulation.end_health_checks(|_| true);
    }
    simulation
}
