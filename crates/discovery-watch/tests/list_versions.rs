//! Answers in any order, to polls that were made at any time: the list that is known is never older than the newest answer,
//! and no newer one is left out.

use quillpoint_discovery_watch::{ApplyScope, ListVersions, PollBasis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn answers_in_any_order_never_take_back_what_is_known() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut versions = ListVersions::new(None);
        let mut known = 0;
        let mut newest = 1;
        let mut polls: Vec<PollBasis> = Vec::new();
        for step in 0..400 {
            newest += rng.random_range(0..2);
            match rng.random_range(0..3) {
                0 if polls.len() < 4 => polls.push(versions.poll_basis()),
                _ if !polls.is_empty() => {
                    let basis = polls.swap_remove(rng.random_range(0..polls.len()));
                    // The list may have been written a while ago, but never before it was requested.
                    let version = rng.random_range(basis.from_version.unwrap_or(1)..=newest);
                    match versions.apply_scope(basis, version) {
                        ApplyScope::All => {
                            assert!(version >= known, "seed {seed}, step {step}: {version} after {known}");
                            versions.record_applied(version);
                            known = version;
                        }
                        ApplyScope::Nothing => {
                            assert!(version <= known, "seed {seed}, step {step}: {version} is newer")
                        }
                        ApplyScope::DrainingOnly => panic!("seed {seed}: discovery has not moved"),
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
    assert_eq!(versions.apply_scope(versions.poll_basis(), 3), ApplyScope::All);
    versions.record_applied(3);
    assert_eq!(versions.poll_basis().from_version, Some(3));
}

#[test]
fn an_earlier_address_only_tells_of_draining_until_the_present_one_has_answered() {
    let mut versions = ListVersions::new(Some(40));
    let before = versions.poll_basis();
    versions.address_changed();
    assert_eq!(
        (versions.poll_basis().from_version, versions.apply_scope(before, 41)),
        (None, ApplyScope::DrainingOnly)
    );
    let after = versions.poll_basis();
    assert!(versions.is_from_current_address(after) && !versions.is_from_current_address(before));
    assert_eq!(versions.apply_scope(after, 2), ApplyScope::All);
    versions.record_applied(2);
    assert_eq!(versions.apply_scope(before, 42), ApplyScope::Nothing);
}
