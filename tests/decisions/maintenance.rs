//! The periodic work and its timer.

use crate::simulation::{Simulation, ms};
use crate::support::checked;

#[test]
fn with_many_nodes_and_nothing_pending_the_timer_fires_as_seldom_as_it_may() {
    let simulation = checked(120, 0, &[]);
    let next = |simulation: &Simulation| *simulation.record().timers.iter().min().unwrap() - simulation.now();
    assert!(
        next(&simulation) <= ms(38),
        "a read is pending, and what it waits for may come without an event"
    );
    let mut simulation = Simulation::new(120, 1, &[]);
    let mut fired = 0;
    while simulation.now() < ms(101_000) && fired < 100 {
        let span = next(&simulation);
        simulation.advance(span);
        fired += 1;
    }
    assert!(fired <= 10, "120 nodes, 120 ms: {fired} times in a second");
}
