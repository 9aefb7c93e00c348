//! Selects which routers of a run are real, which hollow ones have a dedicated process, and which share one.

use std::net::SocketAddr;

use quillpoint_membership::PeerName;
use quillpoint_membership::ids::{TaskId, TaskKind, TaskTarget};
use quillpoint_membership::rendezvous::{self, Candidate};

use crate::record::{Mode, Sizes};
use crate::scale::sizes;

/// The name of the router at this index, real or hollow.
pub fn router_name(index: usize) -> String {
    format!("r{index}")
}

/// The indexes of the real routers, of the hollow routers with a dedicated process, and of those that share
/// one.
///
/// In mode shared, tasks are distributed by rendezvous hashing of names, so routers own different numbers of
/// them: in a fleet of 200 routers and 250 databases, 16 routers picked without regard to that own a fifth
/// more or less than the mean, and send that much more or less. Real and dedicated routers are therefore
/// picked evenly from the routers ordered by owned tasks, so that both groups match the fleet in mean and
/// spread.
pub fn roles(sizes: &Sizes, databases: &[SocketAddr]) -> [Vec<usize>; 3] {
    let mut indexes: Vec<usize> = (0..sizes.routers).collect();
    if sizes.mode == Mode::Shared {
        let candidate = |index: &usize| {
            let name =
                PeerName::new(&router_name(*index)).expect("a letter and digits are a valid peer name");
            Candidate { name, zone: 0, weight: 1 }
        };
        let candidates: Vec<Candidate> = indexes.iter().map(candidate).collect();
        let mut owned = vec![0; candidates.len()];
        for database in databases {
            let task = TaskId { kind: TaskKind(0), target: TaskTarget::Node(*database) };
            let scores = candidates.iter().map(|candidate| rendezvous::score(task, 0, candidate));
            let owner = scores.enumerate().max_by(|(_, one), (_, other)| one.total_cmp(other));
            owned[owner.map_or(0, |(index, _)| index)] += 1;
        }
        indexes.sort_by_key(|index| (owned[*index], *index));
    }
    let real = take_evenly(&mut indexes, sizes.real);
    let count = sizes::dedicated_processes(indexes.len());
    let dedicated = take_evenly(&mut indexes, count);
    [real, dedicated, indexes]
}

/// Removes `count` indexes, evenly spaced, and returns them.
fn take_evenly(indexes: &mut Vec<usize>, count: usize) -> Vec<usize> {
    let step = indexes.len() as f64 / count.max(1) as f64;
    let taken: Vec<usize> =
        (0..count).map(|number| indexes[((number as f64 + 0.5) * step) as usize]).collect();
    indexes.retain(|index| !taken.contains(index));
    taken
}
