//! Which responses of discovery are applied when several polls are in progress and their responses arrive in
//! any order: an older list never replaces a newer one, and no newer list is ignored.

use quillpoint_discovery_watch::{ApplyScope, ListVersions, PollBasis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Guards against a late response to an earlier poll that replaces the list of a later response, or a newer
/// response that is ignored.
#[test]
fn responses_in_any_order_never_replace_a_newer_list() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut versions = ListVersions::new(None);
        let mut applied_version = 0;
        let mut newest_version = 1;
        let mut polls: Vec<PollBasis> = Vec::new();
        for step in 0..400 {
            newest_version += rng.random_range(0..2);
            match rng.random_range(0..3) {
                0 if polls.len() < 4 => polls.push(versions.poll_basis()),
                _ if !polls.is_empty() => {
                    let basis = polls.swap_remove(rng.random_range(0..polls.len()));
                    // The response may have been written some time ago, so it has any version from the
                    // requested one on.
                    let version = rng.random_range(basis.from_version.unwrap_or(1)..=newest_version);
                    match versions.apply_scope(basis, version) {
                        ApplyScope::All => {
                            assert!(
                                version >= applied_version,
                                "seed {seed}, step {step}: {version} applied after {applied_version}"
                            );
                            versions.record_applied(version);
                            applied_version = version;
                        }
                        ApplyScope::Nothing => {
                            assert!(
                                version <= applied_version,
                                "seed {seed}, step {step}: {version} ignored after {applied_version}"
                            )
                        }
                        ApplyScope::DrainingOnly => {
                            panic!("seed {seed}, step {step}: the address has not changed")
                        }
                    }
                }
                _ => {}
            }
        }
        assert!(applied_version > 100, "seed {seed}: only version {applied_version} was applied");
    }
}

/// Guards against ignoring every response of a discovery that restarted and numbers its versions from the
/// start again: all of them are lower than the version of the cached list.
#[test]
fn a_lower_version_is_applied_if_nothing_was_applied_since_the_poll() {
    let mut versions = ListVersions::new(Some(40));
    assert_eq!(versions.apply_scope(versions.poll_basis(), 3), ApplyScope::All);
    versions.record_applied(3);
    assert_eq!(versions.poll_basis().from_version, Some(3));
}

/// Guards against a late response from an earlier address of discovery that replaces the list of the current
/// address: versions of different addresses cannot be compared. Until the current address has responded, only
/// draining and removed nodes are taken from such a response.
#[test]
fn a_response_from_an_earlier_address_applies_only_draining_nodes() {
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
