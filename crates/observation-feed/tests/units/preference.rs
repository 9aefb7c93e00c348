//! A router's order of preference of control instances.

use std::collections::BTreeMap;

use quillpoint_membership::PeerName;
use quillpoint_observation_feed::ControlInstance;
use quillpoint_observation_feed::preference::rank_control_instances;

use crate::fixtures::{control_instances, name};

#[test]
fn the_own_region_is_preferred_and_subscribers_are_spread_evenly() {
    let mut subscribers = BTreeMap::<PeerName, usize>::new();
    for router in 0..2000 {
        let router_name = name(&format!("r{router}"));
        let ranked = rank_control_instances(&router_name, Some("region-1"), control_instances(8, 2));
        assert!(ranked[..4].iter().all(|instance| instance.region.as_deref() == Some("region-1")));
        ranked[..2].iter().for_each(|instance| *subscribers.entry(instance.name.clone()).or_default() += 1);
        // Removing an instance does not change the order of the others.
        let others: Vec<ControlInstance> =
            ranked.iter().filter(|instance| instance.name != name("c3")).cloned().collect();
        let remaining =
            control_instances(8, 2).into_iter().filter(|instance| instance.name != name("c3")).collect();
        assert_eq!(rank_control_instances(&router_name, Some("region-1"), remaining), others);
    }
    assert!(
        subscribers.len() == 4 && subscribers.values().all(|count| (900..1100).contains(count)),
        "subscribers by control instance: {subscribers:?}"
    );
}
