//! A router's order of preference of control instances: those of its own region first, then by rendezvous
//! hashing of the router's and the instance's names. Subscribers are spread evenly, and adding or removing an
//! instance moves only the instance's own subscribers.

use std::net::SocketAddr;

use quillpoint_membership::PeerName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of control instances that a router uses from its configuration.
pub const MAX_CONTROL_INSTANCES: usize = 64;

/// A control instance from a router's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlInstance {
    /// Its name as a member of its fleet.
    pub name: PeerName,
    /// The address of its publisher.
    pub address: SocketAddr,
    /// Its region, if configured.
    pub region: Option<String>,
}

/// Returns the control instances in this router's order of preference, without duplicate names.
pub fn rank_control_instances(
    router: &PeerName,
    region: Option<&str>,
    mut instances: Vec<ControlInstance>,
) -> Vec<ControlInstance> {
    let seed = xxh3_64_with_seed(router.as_str().as_bytes(), 0);
    let is_remote = |instance: &ControlInstance| region.is_some() && instance.region.as_deref() != region;
    let score = |instance: &ControlInstance| xxh3_64_with_seed(instance.name.as_str().as_bytes(), seed);
    instances.sort_by(|left, right| {
        let by_region = is_remote(left).cmp(&is_remote(right));
        let by_score = score(right).cmp(&score(left));
        by_region.then(by_score).then_with(|| left.name.cmp(&right.name))
    });
    instances.dedup_by(|left, right| left.name == right.name);
    instances.truncate(MAX_CONTROL_INSTANCES);
    instances
}
