//! Which routers of a run are real, which hollow ones have a process to themselves, and which share one.

use std::net::SocketAddr;

use quillpoint_membership::PeerName;
use quillpoint_membership::ids::{TaskId, TaskKind, TaskTarget};
use quillpoint_membership::rendezvous::{self, Candidate};

use crate::record::{Mode, Sizes};
use crate::scale::sizes;

/// The name of the router of this place, real or hollow.
pub fn name(place: usize) -> String {
    format!("r{place}")
}

/// The places of the real routers, of the hollow ones with a process to themselves, and of those that share one. Where
/// all are members, each of the first two is chosen so that its routers own as many duties as routers do in the mean
/// and in the spread, as names share them out by chance: in a fleet of 200 and 250 databases 16 own a fifth more or
/// less, and say so much more.
pub fn roles(sizes: &Sizes, databases: &[SocketAddr]) -> [Vec<usize>; 3] {
    let mut places: Vec<usize> = (0..sizes.routers).collect();
    if sizes.mode == Mode::Shared {
        let candidate = |place: &usize| {
            let name = PeerName::new(&name(*place)).expect("letters and digits");
            Candidate { name, zone: 0, weight: 1 }
        };
        let candidates: Vec<Candidate> = places.iter().map(candidate).collect();
        let mut owned = vec![0; candidates.len()];
        for database in databases {
            let duty = TaskId { kind: TaskKind(0), target: TaskTarget::Node(*database) };
            let scores = candidates.iter().map(|candidate| rendezvous::score(duty, 0, candidate));
            let first = scores.enumerate().max_by(|(_, one), (_, other)| one.total_cmp(other));
            owned[first.map_or(0, |(place, _)| place)] += 1;
        }
        places.sort_by_key(|place| (owned[*place], *place));
    }
    let real = spread(&mut places, sizes.real);
    let count = sizes::alone(places.len());
    let alone = spread(&mut places, count);
    [real, alone, places]
}

/// Takes so many out of the line, spread evenly over it.
fn spread(line: &mut Vec<usize>, count: usize) -> Vec<usize> {
    let step = line.len() as f64 / count.max(1) as f64;
    let taken: Vec<usize> = (0..count).map(|number| line[((number as f64 + 0.5) * step) as usize]).collect();
    line.retain(|place| !taken.contains(place));
    taken
}
