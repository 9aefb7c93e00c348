//! The periodic work and its timer.

use crate::simulation::{Simulation, ms};
use crate::support::checked_simulation;

#[test]
fn timer_of_an_idle_router_with_many_nodes_fires_rarely() {
    let simulation = checked_simulation(120, 0, &[]);
    let next = |simulation: &Simulation| *simulation.record().timers.iter().min().unwrap() - simulation.now();
    assert!(
        next(&simulation) <= ms(38),
        "a pending read needs periodic dispatch, as capacity may return without an event"
    );
    let mut simulation = Simulation::new(120, 1, &[]);
    let mut fired = 0;
    while simulation.now() < ms(101_000) && fired < 100 {
        let span = next(&simulation);
        simulation.advance(span);
        fired += 1;
    }
    assert!(
        fired <= 10,
        "one round per 120 ms with 120 nodes, but the timer fired {fired} times in a second"
    );
}
