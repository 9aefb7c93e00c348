//! Simulations in a state that many tests start from.

use std::time::Duration;

use quillpoint::host::*;

use crate::simulation::{Simulation, ms, node};

/// A deadline that no test reaches.
pub const LONG: Duration = Duration::from_millis(3000);

/// All health checks answered once, with node 2 behind by so many milliseconds.
pub fn checked(nodes: usize, behind: u64, change: &[(&str, Value)]) -> Simulation {
    let mut simulation = Simulation::new(nodes, 1, change);
    let now = simulation.now();
    (3..=nodes).for_each(|number| simulation.set_position(number, now));
    simulation.set_position(2, now - ms(behind));
    simulation.record_mut().nodes.get_mut(&node(2)).unwrap().position = now - ms(behind);
    // The first read has the nodes checked; this one leaves at once.
    simulation.arrive(0, ms(1), None);
    simulation.end_health_checks(|_| true);
    simulation
}

/// The nodes that so many RPCs of a method were sent to, each answered at once.
pub fn sent(
    simulation: &mut Simulation,
    method: usize,
    since_write: Option<Duration>,
    times: usize,
) -> Vec<NodeId> {
    let ids: Vec<RpcId> = (0..times)
        .map(|_| {
            let id = simulation.arrive(method, LONG, since_write);
            simulation.sent_to(id).iter().for_each(|_| simulation.end_attempt(id, Outcome::Ok));
            id
        })
        .collect();
    ids.into_iter().flat_map(|id| simulation.sent_to(id)).collect()
}

/// One of a hundred routers, before nodes that report what they have in flight when checked alone.
pub fn with_load(in_flight: f64) -> Simulation {
    with_load_and_retry_after(in_flight, false)
}

/// The same, where clients are told a Retry-After or not.
pub fn with_load_and_retry_after(in_flight: f64, retry_after: bool) -> Simulation {
    let change = [
        ("reports.source", Value::Text("probe".into())),
        ("routers", Value::Number(100.0)),
        ("allowed.retry_after", Value::Bool(retry_after)),
    ];
    let mut simulation = checked(4, 0, &change);
    simulation.in_flight = Some(in_flight);
    for _ in 0..60 {
        simulation.advance(ms(200));
        simulation.arrive(0, ms(100), None);
        simulation.end_health_checks(|_| true);
    }
    simulation
}
