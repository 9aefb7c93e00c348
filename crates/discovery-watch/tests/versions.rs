//! Answers that come in any order, to calls that were made at any time: what is known is never older than what the
//! newest answer told, and nothing that could be told is passed over.

use quillpoint_discovery_watch::{Basis, Use, Versions};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn answers_in_any_order_never_take_back_what_is_known() {
    for seed in 0..200 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let (mut versions, mut known, mut newest) = (Versions::new(None), 0, 1);
        let mut out: Vec<Basis> = Vec::new();
        for step in 0..400 {
            newest += chance.random_range(0..2);
            match chance.random_range(0..3) {
                0 if out.len() < 4 => out.push(versions.basis()),
                _ if !out.is_empty() => {
                    let basis = out.swap_remove(chance.random_range(0..out.len()));
                    // What it tells may have been written a while ago, but never before it was asked for.
                    let told = chance.random_range(basis.from.unwrap_or(1)..=newest);
                    match versions.judge(basis, told) {
                        Use::All => {
                            assert!(told >= known, "seed {seed}, step {step}: {told} after {known}");
                            versions.taken(told);
                            known = told;
                        }
                        Use::Nothing => assert!(told <= known, "seed {seed}, step {step}: {told} is news"),
                        Use::Stops => panic!("seed {seed}: discovery has not moved"),
                    }
                }
                _ => {}
            }
        }
        assert!(known > 100, "seed {seed}");
    }
}

#[test]
fn a_discovery_that_counts_anew_is_believed() {
    let mut versions = Versions::new(Some(40));
    assert_eq!(versions.judge(versions.basis(), 3), Use::All);
    versions.taken(3);
    assert_eq!(versions.basis().from, Some(3));
}

#[test]
fn where_discovery_was_before_only_stops_are_heard_until_the_new_place_has_told() {
    let mut versions = Versions::new(Some(40));
    let before = versions.basis();
    versions.moved();
    assert_eq!((versions.basis().from, versions.judge(before, 41)), (None, Use::Stops));
    let after = versions.basis();
    assert!(versions.is_present(after) && !versions.is_present(before));
    assert_eq!(versions.judge(after, 2), Use::All);
    versions.taken(2);
    assert_eq!(versions.judge(before, 42), Use::Nothing);
}
