//! Which router owns a task, and in which order the others take it over.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use quillpoint_membership::PeerName;
use quillpoint_membership::ids::{TaskId, TaskKind, TaskTarget};
use quillpoint_membership::rendezvous::{Candidate, phase, rank};

fn name(number: usize) -> PeerName {
    PeerName::new(&format!("r{number}")).unwrap()
}

fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], number))
}

fn task(number: u16) -> TaskId {
    TaskId { kind: TaskKind(0), target: TaskTarget::Node(node(number)) }
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(|number| Candidate { name: name(number), zone: (number % 2) as u16, weight: 1 }).collect()
}

/// The owner of each of the tasks `0..tasks`, which are all in zone 0.
fn owners(candidates: &[Candidate], tasks: u16) -> Vec<PeerName> {
    let owner = |number: u16| {
        let is_owner = |candidate: &&Candidate| rank(task(number), 0, &candidate.name, candidates) == Some(0);
        candidates.iter().find(is_owner).unwrap().name.clone()
    };
    (0..tasks).map(owner).collect()
}

/// Guards against two routers with the same rank, which would both run a task at the same time.
#[test]
fn each_rank_is_assigned_to_exactly_one_router() {
    let all = candidates(7);
    for number in 0..200 {
        let ranks: BTreeSet<u32> =
            all.iter().map(|candidate| rank(task(number), 0, &candidate.name, &all).unwrap()).collect();
        assert_eq!(ranks, (0..7).collect());
    }
}

/// Guards against a departing router that causes tasks of the remaining routers to change their owners.
#[test]
fn a_router_that_leaves_moves_only_its_own_tasks() {
    let all = candidates(10);
    let before = owners(&all, 500);
    let after = owners(&all[..9], 500);
    for (before, after) in before.iter().zip(&after) {
        assert!(*before == name(9) || before == after, "a task moved from {before} to {after}");
    }
}

/// Guards against too many health checks across zones, and against shares of tasks that do not match the
/// weights.
#[test]
fn owners_are_preferably_in_the_zone_of_the_node_and_in_proportion_to_their_weights() {
    let in_same_zone = owners(&candidates(10), 1000)
        .iter()
        .filter(|owner| owner.as_str().ends_with(['0', '2', '4', '6', '8']))
        .count();
    assert!(
        (700..900).contains(&in_same_zone),
        "expected about four fifths in the same zone, found {in_same_zone} of 1000"
    );
    let mut weighted = candidates(4);
    weighted.iter_mut().for_each(|candidate| candidate.zone = 0);
    weighted[1].weight = 3;
    weighted[2].weight = 0;
    let owners = owners(&weighted, 1000);
    let owned_by = |number: usize| owners.iter().filter(|owner| **owner == name(number)).count();
    assert_eq!(owned_by(2), 0, "a router with weight zero owns tasks");
    assert!((500..700).contains(&owned_by(1)), "expected about three fifths, found {} of 1000", owned_by(1));
}

/// Guards against first runs in step: of all tasks of a router, or of the same task by several routers that
/// do not know of each other.
#[test]
fn phases_are_spread_over_the_period_and_differ_between_routers() {
    let early = (0..1000).filter(|number| phase(task(*number), &name(0)) < 0.25).count();
    assert!(
        (200..300).contains(&early),
        "expected about a quarter in the first quarter of the period, found {early} of 1000"
    );
    assert_ne!(phase(task(1), &name(0)), phase(task(1), &name(1)));
}
