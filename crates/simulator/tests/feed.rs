//! Control instances and routers in the simulator: the bounds of the mechanism at small sizes, with the fleet that
//! divides the probing as it is, and what does not fit.

use std::time::Duration;

use quillpoint_simulator::feed_run::{Fault, Outcome, Sizes};

fn sizes(routers: usize, nodes: usize, fault: Option<Fault>) -> Sizes {
    Sizes { routers, nodes, control: 4, seconds: 2.0, fault, ..Sizes::default() }
}

fn play(routers: usize, nodes: usize, fault: Option<Fault>) -> Outcome {
    sizes(routers, nodes, fault).play().unwrap()
}

fn holds(outcome: &Outcome, figure: &str, most: f64) {
    let is = outcome.figure(figure);
    assert!(is <= most, "{figure}: {is}, at most {most}");
}

#[test]
fn calm_holds_the_bounds_and_does_not_grow_with_the_nodes() {
    let [small, large] = [200, 400].map(|nodes| play(24, nodes, None));
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
    let restart = play(24, 300, Some(Fault::Restart));
    holds(&restart, "follow_max_s", 3.0);
    holds(&restart, "fault_age_max_s", 1.0);
    holds(&play(24, 300, Some(Fault::Kill)), "fault_age_max_s", 1.0);
    holds(&play(24, 300, Some(Fault::Cut)), "agree_max_s", 5.0);
    holds(&play(24, 300, Some(Fault::Stop)), "agree_max_s", 3.0);
    let alone = play(24, 300, Some(Fault::KillAll));
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
    assert_eq!(timeless(play(10, 100, None)), timeless(play(10, 100, None)));
    let other = Sizes { seed: 2, ..sizes(10, 100, None) }.play().unwrap();
    assert_ne!(timeless(other), timeless(play(10, 100, None)));
}

#[test]
fn what_does_not_fit_is_said_before_anything_is_begun() {
    let refused = |sizes: Sizes| sizes.play().unwrap_err().to_string();
    let large = refused(sizes(7900, 18_000, None));
    assert!(large.contains("7900 routers") && large.contains("694 routers fit"), "{large}");
    assert!(refused(sizes(0, 100, None)).contains("at least one"));
    assert!(refused(sizes(100_000, 1, None)).contains("addresses"));
    assert_eq!(Fault::named("restart"), Some(Fault::Restart));
    assert_eq!(Fault::named("flood"), None);
    assert_eq!(Sizes::default().period, Duration::from_millis(150));
}
