//! The order in which a router prefers control instances.

use std::collections::BTreeMap;

use quillpoint_membership::PeerName;
use quillpoint_observation_feed::ControlInstance;
use quillpoint_observation_feed::preference::rank_control_instances;

use crate::fixtures::{control_instances, name};

#[test]
fn the_own_region_goes_first_and_all_have_about_as_many_followers() {
    let mut followers = BTreeMap::<PeerName, usize>::new();
    for router in 0..2000 {
        let me = name(&format!("r{router}"));
        let ranked = rank_control_instances(&me, Some("region-1"), control_instances(8, 2));
        assert!(ranked[..4].iter().all(|one| one.region.as_deref() == Some("region-1")));
        ranked[..2].iter().for_each(|one| *followers.entry(one.name.clone()).or_default() += 1);
        // One that goes leaves the order of the others as it was.
        let others: Vec<ControlInstance> =
            ranked.iter().filter(|one| one.name != name("c3")).cloned().collect();
        let all = control_instances(8, 2).into_iter().filter(|one| one.name != name("c3")).collect();
        assert_eq!(rank_control_instances(&me, Some("region-1"), all), others);
    }
    assert!(
        followers.len() == 4 && followers.values().all(|count| (900..1100).contains(count)),
        "{followers:?}"
    );
}
