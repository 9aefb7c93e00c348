//! Weighted rendezvous hashing (Thaler and Ravishankar, 1998): determines the owner of a task, and the order
//! in which other routers take it over.
//!
//! Each candidate has a score for each task, which depends only on the candidate's name, zone and weight, and
//! on the task and its zone. Candidates are ranked by score, the highest first; the candidate with rank 0
//! owns the task. When a router joins or leaves, the relative order of the other routers does not change.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{PeerName, TaskId, TaskTarget};

/// A router is this many times as likely to own a task in its own zone as in another: health checks
/// across zones cost more.
const SAME_ZONE_FACTOR: f64 = 4.0;

/// A router that can own tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: PeerName,
    /// The index of its zone.
    pub zone: u16,
    /// Its share of the tasks, relative to those of the other candidates. With zero it owns none.
    pub weight: u8,
}

/// The score of a candidate for a task whose target is in `zone`. The candidate with the highest score owns
/// the task.
pub fn score(task: TaskId, zone: u16, candidate: &Candidate) -> f64 {
    let uniform = unit_interval(xxh3_64_with_seed(candidate.name.as_str().as_bytes(), task_hash(task)));
    let zone_factor = if zone == candidate.zone { SAME_ZONE_FACTOR } else { 1.0 };
    f64::from(candidate.weight) * zone_factor / -uniform.ln()
}

/// The rank of the router `own_name` for the task: the number of candidates that precede it by score, or by
/// name if the scores are equal. `None` if the router is not a candidate or has a weight of zero.
pub fn rank(task: TaskId, zone: u16, own_name: &PeerName, candidates: &[Candidate]) -> Option<u32> {
    let own = candidates.iter().find(|candidate| candidate.name == *own_name && candidate.weight > 0)?;
    let own_sort_key = (score(task, zone, own), &own.name);
    let precedes = |other: &&Candidate| (score(task, zone, other), &other.name) > own_sort_key;
    Some(candidates.iter().filter(precedes).count() as u32)
}

/// The delay before a router first runs the task, as a fraction of the task's period from 0 to 1. It spreads
/// the tasks of one router over the period, and prevents routers that do not know of each other from running
/// the same task at the same time.
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

/// Maps a hash to a number in the open interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
