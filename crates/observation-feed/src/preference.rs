//! Which control instances a router would follow: those of its own region first, then by rendezvous hashing of its name
//! and theirs, so that each has as many followers as the others and one that comes or goes moves only its own.

use std::net::SocketAddr;

use quillpoint_membership::PeerName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// More control instances than this are not kept.
pub const MOST_CONTROL: usize = 64;

/// A control instance, as a router is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlInstance {
    pub name: PeerName,
    pub address: SocketAddr,
    pub region: Option<String>,
}

/// In the order in which this router prefers them.
pub fn line(me: &PeerName, region: Option<&str>, mut control: Vec<ControlInstance>) -> Vec<ControlInstance> {
    let key = xxh3_64_with_seed(me.as_str().as_bytes(), 0);
    let far = |one: &ControlInstance| region.is_some() && one.region.as_deref() != region;
    let score = |one: &ControlInstance| xxh3_64_with_seed(one.name.as_str().as_bytes(), key);
    control.sort_by(|one, other| {
        (far(one), score(other), &one.name).cmp(&(far(other), score(one), &other.name))
    });
    control.dedup_by(|one, other| one.name == other.name);
    control.truncate(MOST_CONTROL);
    control
}
