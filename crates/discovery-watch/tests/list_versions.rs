//! Answers in any order, to polls that were made at any time: the list that is known is never older than the newest answer,
//! and no newer one is left out.

use quillpoint_discovery_watch::{AnswerUse, ListBasis, ListVersions};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn answers_in_any_order_never_take_back_what_is_known() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut versions = ListVersions::new(None);
        let mut known = 0;
        let mut newest = 1;
        let mut polls: Vec<ListBasis> = Vec::new();
        for step in 0..400 {
            newest += rng.random_range(0..2);
            match rng.random_range(0..3) {
                0 if polls.len() < 4 => polls.push(versions.basis()),
                _ if !polls.is_empty() => {
                    let basis = polls.swap_remove(rng.random_range(0..polls.len()));
                    // The list may have been written a while ago, but never before it was requested.
                    let version = rng.random_range(basis.from.unwrap_or(1)..=newest);
                    match versions.judge(basis, version) {
                        AnswerUse::All => {
                            assert!(version >= known, "seed {seed}, step {step}: {version} after {known}");
                            versions.applied(version);
                            known = version;
                        }
                        AnswerUse::Nothing => {
                            assert!(version <= known, "seed {seed}, step {step}: {version} is newer")
                        }
                        AnswerUse::DrainingOnly => panic!("seed {seed}: discovery has not moved"),
                    }
                }
                _ => {}
            }
        }
        assert!(known > 100, "seed {seed}");
    }
}

#[test]
fn a_discovery_that_counts_versions_anew_is_believed() {
    let mut versions = ListVersions::new(Some(40));
    assert_eq!(versions.judge(versions.basis(), 3), AnswerUse::All);
    versions.applied(3);
    assert_eq!(versions.basis().from, Some(3));
}

#[test]
fn an_earlier_address_only_tells_of_draining_until_the_present_one_has_answered() {
    let mut versions = ListVersions::new(Some(40));
    let before = versions.basis();
    versions.address_changed();
    assert_eq!((versions.basis().from, versions.judge(before, 41)), (None, AnswerUse::DrainingOnly));
    let after = versions.basis();
    assert!(versions.is_present(after) && !versions.is_present(before));
    assert_eq!(versions.judge(after, 2), AnswerUse::All);
    versions.applied(2);
    assert_eq!(versions.judge(before, 42), AnswerUse::Nothing);
}
