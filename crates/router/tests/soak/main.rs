//! A soak of real routers under seeded faults of servers, discovery, clients and signals. Each seed is a run of some ten
//! seconds; what reached whom and when is recorded on both sides, and the rules are checked on the record.
//!
//! `SOAK_SEEDS=100..150` runs other seeds, `SOAK_AT_ONCE=4` so many side by side.

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

/// What is run where nothing else is asked for: each kind of run at least twice.
const SEEDS: Range<u64> = 1..13;
const AT_ONCE: u64 = 2;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let ends = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    ends.unwrap_or_else(|| panic!("SOAK_SEEDS: expected FROM..TO, found {text:?}"))
}

fn at_once() -> u64 {
    let Ok(text) = std::env::var("SOAK_AT_ONCE") else { return AT_ONCE };
    text.parse().unwrap_or_else(|_| panic!("SOAK_AT_ONCE: expected a number, found {text:?}"))
}

#[test]
fn routers_under_faults_and_signals_keep_the_rules() {
    let seeds = seeds();
    let (next, broken) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..at_once() {
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
                        broken
                            .lock()
                            .unwrap()
                            .extend(violations.into_iter().map(|violation| (seed, violation)));
                    }
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    let lines: Vec<String> =
        broken.iter().map(|(seed, violation)| format!("seed {seed}: {violation}")).collect();
    assert!(lines.is_empty(), "{} violations:\n{}", lines.len(), lines.join("\n"));
}
