//! Soak test: real router processes under faults of servers, discovery and clients and under signals, all
//! drawn from a seed. Each seed is one run of about ten seconds. Clients and servers record every request
//! with its times, and the rules are checked on that record afterwards.
//!
//! `SOAK_SEEDS=100..150` selects other seeds, `SOAK_AT_ONCE=4` the number of parallel runs.

mod clients;
mod discovery;
mod plan;
mod record;
mod routers;
mod rules;
mod servers;
#[path = "../standin/mod.rs"]
mod standin;
mod violations;

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use plan::Plan;
use routers::Run;

/// The default seeds. They cover each kind of run at least twice.
const DEFAULT_SEEDS: Range<u64> = 1..13;
const PARALLEL_RUNS: u64 = 2;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let ends = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    ends.unwrap_or_else(|| panic!("SOAK_SEEDS: expected FROM..TO, found {text:?}"))
}

fn parallel_runs() -> u64 {
    let Ok(text) = std::env::var("SOAK_AT_ONCE") else { return PARALLEL_RUNS };
    text.parse().unwrap_or_else(|_| panic!("SOAK_AT_ONCE: expected a number, found {text:?}"))
}

#[test]
fn routers_keep_the_rules_under_faults_and_signals() {
    let seeds = seeds();
    let (next, violations_by_seed) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..parallel_runs() {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= seeds.end {
                        return;
                    }
                    let run = Run::execute(Plan::from_seed(seed));
                    let violations = rules::check(&run);
                    eprintln!("seed {seed}: {}", run.summary(violations.len()));
                    if !violations.is_empty() {
                        eprintln!("{}", run.logs());
                        violations_by_seed
                            .lock()
                            .unwrap()
                            .extend(violations.into_iter().map(|violation| (seed, violation)));
                    }
                }
            });
        }
    });
    let violations_by_seed = violations_by_seed.into_inner().unwrap();
    let lines: Vec<String> =
        violations_by_seed.iter().map(|(seed, violation)| format!("seed {seed}: {violation}")).collect();
    assert!(lines.is_empty(), "{} violations:\n{}", lines.len(), lines.join("\n"));
}
