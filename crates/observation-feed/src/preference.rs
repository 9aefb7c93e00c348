//! Which control instances a router prefers: those of its own region first, then by rendezvous hashing of its name and
//! theirs, so that each has about as many subscribers as the others and one that comes or goes moves only its own.

use std::net::SocketAddr;

use quillpoint_membership::PeerName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most control instances that a router takes from its configuration.
pub const MAX_CONTROL_INSTANCES: usize = 64;

/// A control instance from a router's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlInstance {
    /// Its name in its fleet.
    pub name: PeerName,
    /// Where it publishes.
    pub address: SocketAddr,
    /// Its region, if one is configured.
    pub region: Option<String>,
}

/// The control instances in the order in which this router prefers them, each name once.
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
