//! Rendezvous hashing (Thaler and Ravishankar, 1998) with weights: who stands where in line for a duty.
//!
//! Each router gets a score for each duty from its name and the duty's subject alone. The order of the scores is
//! the line. When a router comes or goes, only its own places in lines change.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{PeerName, Subject, TaskId};

/// A prober in the node's own zone is so many times as likely to own the duty: probes across zones cost.
const SAME_ZONE: f64 = 4.0;

/// A router that may own duties.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub name: PeerName,
    pub zone: u16,
    pub weight: u8,
}

/// The higher, the nearer to the head of the line. `zone` is the subject's.
pub fn score(duty: TaskId, zone: u16, candidate: &Candidate) -> f64 {
    let part = part(xxh3_64_with_seed(candidate.name.as_str().as_bytes(), key(duty)));
    let near = if zone == candidate.zone { SAME_ZONE } else { 1.0 };
    f64::from(candidate.weight) * near / -part.ln()
}

/// How many candidates stand before `me` for the duty; `None` if it is not among them or takes no duties.
pub fn place(duty: TaskId, zone: u16, me: &PeerName, candidates: &[Candidate]) -> Option<u32> {
    let mine = candidates.iter().find(|candidate| candidate.name == *me && candidate.weight > 0)?;
    let own = (score(duty, zone, mine), &mine.name);
    let before = candidates.iter().filter(|other| (score(duty, zone, other), &other.name) > own).count();
    Some(before as u32)
}

/// A part from 0 to 1 of the duty's period at which a router starts it: neither do all duties of one router come at
/// once, nor do routers that know nothing of each other do the same one at the same time.
pub fn phase(duty: TaskId, me: &PeerName) -> f64 {
    part(xxh3_64_with_seed(me.as_str().as_bytes(), !key(duty)))
}

fn key(duty: TaskId) -> u64 {
    let subject = match duty.subject {
        Subject::Node(address) => address.to_string(),
        Subject::Installation => String::new(),
    };
    xxh3_64_with_seed(subject.as_bytes(), u64::from(duty.kind.0))
}

/// A hash as a number in the open interval from 0 to 1.
fn part(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
