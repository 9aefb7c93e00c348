//! Which own observations are sent, and which observations by peers are accepted.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::observation_store::{Assessment, MAX_OBSERVATION_AGE, ObservationStore};
use quillpoint_membership::{Observation, PeerName};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(number: usize) -> PeerName {
    PeerName::new(&format!("r{number}")).unwrap()
}

fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], number))
}

fn observation(number: u16, position: u64) -> Observation {
    let position = Some(ms(position));
    Observation {
        node: node(number),
        age: ms(0),
        position,
        primary: None,
        waiting: None,
        started: None,
        failed: false,
    }
}

fn failure(number: u16) -> Observation {
    Observation { position: None, failed: true, ..observation(number, 0) }
}

fn store(nodes: u16, rate: f64) -> ObservationStore {
    let mut store = ObservationStore::new(name(0), rate, ms(0));
    store.nodes_changed(&(0..nodes).map(node).collect());
    store
}

/// Guards against outdated observations that use up the budget: the latest are sent first, the others when
/// the budget allows, and those that have become too old not at all.
#[test]
fn the_latest_observations_are_sent_first_and_the_rest_within_the_budget() {
    let mut store = store(100, 4000.0);
    for number in 0..100 {
        store.record_own(ms(10_000 + u64::from(number)), ms(0), observation(number, 9000));
    }
    // The burst is a thousand bytes; a message of ten observations takes 560.
    let first = store.take_outgoing(ms(10_100), 1);
    let nodes: Vec<u16> = first.concat().iter().map(|observation| observation.node.port()).collect();
    assert_eq!(nodes, (90..100).rev().collect::<Vec<u16>>());
    assert_eq!(first[0][0].age, ms(1));
    assert!(store.take_outgoing(ms(10_100), 1).is_empty(), "the budget is used up");
    let later = store.take_outgoing(ms(10_300), 1);
    assert_eq!(later.concat()[0].node.port(), 89);
    // Observations that are too old by then are not sent at all.
    let late = store.take_outgoing(ms(10_100) + MAX_OBSERVATION_AGE, 1);
    assert!(late.is_empty(), "outdated observations were sent: {late:?}");
}

/// Guards against a burst of queued observations to the first peer that joins, which receives the snapshot
/// anyway.
#[test]
fn no_observations_are_queued_while_there_is_no_peer() {
    let mut store = store(10, 1e6);
    for number in 0..10 {
        store.record_own(ms(1000), ms(0), observation(number, 900));
    }
    assert!(store.take_outgoing(ms(1000), 0).is_empty());
    assert!(store.take_outgoing(ms(1010), 1).is_empty());
    assert_eq!(store.snapshot(ms(1020)).concat().len(), 10, "the snapshot has the observations of all nodes");
}

/// Guards against a router that reports failures that it has not detected itself, and against a snapshot that
/// omits observations by other routers.
#[test]
fn the_snapshot_has_the_latest_observations_by_all_routers_but_no_failures() {
    let mut store = store(3, 1e6);
    store.record_own(ms(1000), ms(0), observation(0, 900));
    store.record_from_peer(ms(1100), &name(1), observation(0, 1050));
    store.record_from_peer(ms(1100), &name(1), observation(1, 1060));
    store.record_own(ms(1200), ms(0), failure(1));
    store.record_own(ms(1200), ms(0), failure(2));
    let snapshot = store.snapshot(ms(1300)).concat();
    let latest: Vec<_> = snapshot
        .iter()
        .map(|observation| (observation.node.port(), observation.position.unwrap(), observation.age))
        .collect();
    assert_eq!(latest, [(0, ms(1050), ms(200)), (1, ms(1060), ms(200))]);
}

/// Guards against a latest peer observation that is outdated, or that an older observation, a failure or an
/// own observation has replaced, and against one that the node itself has contradicted.
#[test]
fn the_latest_observation_by_a_peer_is_returned_until_it_is_too_old_or_contradicted() {
    let mut store = store(2, 1e6);
    assert_eq!(store.latest_from_peers(ms(900), node(0)), None);
    let Assessment::Accepted(first) = store.record_from_peer(ms(1000), &name(1), observation(0, 900)) else {
        panic!("the observation was not accepted")
    };
    assert_eq!(store.latest_from_peers(ms(1000), node(0)), Some(first));
    // Older observations, failures and own observations do not replace it.
    store.record_from_peer(ms(1000), &name(2), Observation { age: ms(500), ..observation(0, 400) });
    store.record_from_peer(ms(1100), &name(2), failure(0));
    store.record_own(ms(1200), ms(1190), observation(0, 1150));
    assert_eq!(store.latest_from_peers(ms(1200), node(0)), Some(first));
    let Assessment::Accepted(later) = store.record_from_peer(ms(1300), &name(2), observation(0, 1290)) else {
        panic!("the later observation was not accepted")
    };
    assert_eq!(store.latest_from_peers(ms(1300) + MAX_OBSERVATION_AGE, node(0)), Some(later));
    assert_eq!(
        store.latest_from_peers(ms(1301) + MAX_OBSERVATION_AGE, node(0)),
        None,
        "the observation is too old"
    );
    assert_eq!(
        (store.latest_from_peers(ms(1300), node(1)), store.latest_from_peers(ms(1300), node(9))),
        (None, None)
    );
    // A response of the node itself contradicts the peer.
    assert_eq!(store.record_own(ms(1400), ms(1350), observation(0, 1000)), Some(name(2)));
    assert_eq!(store.latest_from_peers(ms(1400), node(0)), None);
}

/// Guards against ejecting a node because one router cannot reach it: a failure is accepted only when two
/// routers have reported one recently.
#[test]
fn a_failure_is_accepted_only_after_two_routers_have_recently_reported_it() {
    let mut store = store(1, 1e6);
    assert_eq!(store.record_from_peer(ms(5000), &name(1), failure(0)), Assessment::Unconfirmed);
    assert_eq!(
        store.record_from_peer(ms(5100), &name(1), failure(0)),
        Assessment::Unconfirmed,
        "both failures are from the same router"
    );
    assert_eq!(
        store.record_from_peer(ms(8000), &name(2), failure(0)),
        Assessment::Unconfirmed,
        "the failures are too far apart"
    );
    let Assessment::Accepted(accepted) = store.record_from_peer(ms(8500), &name(1), failure(0)) else {
        panic!("the failure was reported by two routers but not accepted")
    };
    assert!(accepted.failed);
    // A later response of the node invalidates earlier failures.
    store.record_own(ms(9000), ms(8990), observation(0, 8900));
    assert_eq!(
        store.record_from_peer(ms(9000), &name(1), Observation { age: ms(100), ..failure(0) }),
        Assessment::Rejected
    );
    assert_eq!(
        store.record_from_peer(ms(9100), &name(1), failure(0)),
        Assessment::Unconfirmed,
        "failures are counted from the start again"
    );
}

/// Guards against rejecting the observations of a correct peer: a response to a request that was sent before
/// the peer's observation can have a lower log position, since it was slow.
#[test]
fn a_slow_response_does_not_contradict_a_peer() {
    let mut store = store(1, 1e6);
    store.record_from_peer(ms(1000), &name(1), observation(0, 990));
    // The request was sent before the peer's observation: the node may not have reached that position yet.
    assert_eq!(store.record_own(ms(1200), ms(900), observation(0, 890)), None);
    // The request was sent after the peer's observation: a lower position contradicts the peer.
    assert_eq!(store.record_own(ms(1300), ms(1100), observation(0, 890)), Some(name(1)));
    assert_eq!(
        store.record_from_peer(ms(1400), &name(1), observation(0, 1390)),
        Assessment::Rejected,
        "observations by the peer are rejected for a while"
    );
    assert!(matches!(
        store.record_from_peer(ms(70_000), &name(1), observation(0, 69_000)),
        Assessment::Accepted(_)
    ));
}

/// Guards against accepting outdated observations, observations of nodes that are not listed, and log
/// positions ahead of this router's clock.
#[test]
fn old_observations_and_unlisted_nodes_are_rejected_and_future_positions_are_dropped() {
    let mut store = store(1, 1e6);
    let old = Observation { age: MAX_OBSERVATION_AGE + ms(1), ..observation(0, 900) };
    assert_eq!(store.record_from_peer(ms(20_000), &name(1), old), Assessment::Rejected);
    assert_eq!(store.record_from_peer(ms(20_000), &name(1), observation(9, 900)), Assessment::Rejected);
    let Assessment::Accepted(accepted) = store.record_from_peer(ms(20_000), &name(1), observation(0, 20_001))
    else {
        panic!("the observation was not accepted")
    };
    assert_eq!(accepted.position, None);
    assert_eq!(store.len(), 1);
}
