//! Random runs under every kind of settings. The invariant checker verifies the five rules at each step.

use quickcheck::{Gen, QuickCheck};
use quillpoint::host::*;

use crate::simulation::{Simulation, ms};

fn text(name: &'static str, text: &str) -> (&'static str, Value) {
    (name, Value::Text(text.into()))
}

/// What each kind of deployment sets in addition to the common settings.
fn variants() -> Vec<Vec<(&'static str, Value)>> {
    let keyed = |scope: &str| {
        let mut overrides =
            vec![text("methods.4.idempotency", "keyed"), text("methods.4.idempotency_scope", scope)];
        overrides
            .extend([text("methods.0.idempotency", "keyed"), text("methods.0.idempotency_scope", scope)]);
        overrides.push(("methods.4.idempotency_window", Value::Duration(ms(60))));
        overrides
    };
    vec![
        vec![],
        vec![text("replication.read_check", "reject"), text("discovery", "subscribe")],
        vec![text("replication.read_check", "hold"), ("methods.0.late_weight", Value::Number(0.2))],
        vec![text("replication.session_tokens", "remembered"), text("discovery", "automatic")],
        vec![("replication.stamps", Value::Bool(false))],
        vec![("allowed.hedging", Value::Bool(false)), ("allowed.cancel", Value::Bool(false))],
        vec![
            ("allowed.health_checks", Value::Bool(false)),
            ("rules.only_listed_draining", Value::Bool(true)),
        ],
        vec![text("methods.0.idempotency", "non_idempotent"), text("replication.consistency.1", "write")],
        vec![
            text("reports.source", "probe"),
            ("replication.stamps", Value::Bool(false)),
            ("test.load_reports", Value::Bool(true)),
        ],
        keyed("replica_set"),
        keyed("zone"),
        keyed("all"),
        vec![("test.observations", Value::Bool(true))],
        vec![("test.observations", Value::Bool(true)), text("methods.0.idempotency", "non_idempotent")],
        vec![("test.observations", Value::Bool(true)), text("replication.session_tokens", "remembered")],
    ]
}

fn run(seed: u64, few_nodes: bool, variant: u8) -> bool {
    let variants = variants();
    let mut simulation =
        Simulation::new(if few_nodes { 2 } else { 6 }, seed, &variants[variant as usize % variants.len()]);
    simulation.run(seed, 1500);
    let sent: usize = simulation.record().nodes.values().map(|node| node.sends.len()).sum();
    few_nodes || sent > 100
}

#[test]
fn random_runs_keep_the_five_rules() {
    // A fixed seed produces the same runs every time.
    let fixed = Gen::from_size_and_seed(64, 20_260);
    // Covers every kind of settings, whichever of them the random runs below omit.
    assert!((0..30).all(|seed| run(seed, false, seed as u8)));
    QuickCheck::new().rng(fixed).tests(120).quickcheck(run as fn(u64, bool, u8) -> bool);
}
