//! Weighted rendezvous hashing (Thaler and Ravishankar, 1998): the order in which routers stand in for each other at a task.
//!
//! Each candidate gets a score for each task, from its name, the task, their zones and its weight alone. Ranks follow the
//! scores, the highest first; rank 0 owns the task. When a router comes or goes, only its own ranks change.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{PeerName, TaskId, TaskTarget};

/// How much more likely a router owns a task in its own zone than in another: health checks across zones cost.
const SAME_ZONE_FACTOR: f64 = 4.0;

/// A router that may own tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: PeerName,
    /// The index of its zone.
    pub zone: u16,
    /// Its share of the tasks, relative to that of the others. Zero for none.
    pub weight: u8,
}

/// The score of a candidate for a task whose target is in `zone`. The highest score owns the task.
pub fn score(task: TaskId, zone: u16, candidate: &Candidate) -> f64 {
    let uniform = unit_interval(xxh3_64_with_seed(candidate.name.as_str().as_bytes(), task_hash(task)));
    let zone_factor = if zone == candidate.zone { SAME_ZONE_FACTOR } else { 1.0 };
    f64::from(candidate.weight) * zone_factor / -uniform.ln()
}

/// The rank of the router `own_name` at the task: how many candidates precede it. `None` if it is no candidate or has no
/// weight.
pub fn rank(task: TaskId, zone: u16, own_name: &PeerName, candidates: &[Candidate]) -> Option<u32> {
    let own = candidates.iter().find(|candidate| candidate.name == *own_name && candidate.weight > 0)?;
    let own_key = (score(task, zone, own), &own.name);
    let precedes = |other: &&Candidate| (score(task, zone, other), &other.name) > own_key;
    Some(candidates.iter().filter(precedes).count() as u32)
}

/// The fraction of the task's period, from 0 to 1, after which a router first runs it. It spreads the tasks of one router
/// over the period, and keeps routers that do not know of each other from running the same task together.
pub fn phase(task: TaskId, own_name: &PeerName) -> f64 {
    unit_interval(xxh3_64_with_seed(own_name.as_str().as_bytes(), !task_hash(task)))
}

fn task_hash(task: TaskId) -> u64 {
    let target = match task.target {
        TaskTarget::Node(address) => address.to_string(),
        TaskTarget::Deployment => String::new(),
    };
    xxh3_64_with_seed(target.as_bytes(), u64::from(task.kind.0))
}

/// A hash as a number in the open interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
