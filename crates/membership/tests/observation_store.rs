//! Which observations are sent, and which ones of peers are believed.

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

#[test]
fn the_latest_observations_are_sent_first_and_the_rest_within_the_budget() {
    let mut store = store(100, 4000.0);
    for number in 0..100 {
        store.record_own(ms(10_000 + u64::from(number)), ms(0), observation(number, 9000));
    }
    // A thousand bytes are saved up, of which a message of ten observations takes 560.
    let first = store.take_outgoing(ms(10_100), 1);
    let nodes: Vec<u16> = first.concat().iter().map(|observation| observation.node.port()).collect();
    assert_eq!(nodes, (90..100).rev().collect::<Vec<u16>>());
    assert_eq!(first[0][0].age, ms(1));
    assert!(store.take_outgoing(ms(10_100), 1).is_empty(), "nothing is left to spend");
    let later = store.take_outgoing(ms(10_300), 1);
    assert_eq!(later.concat()[0].node.port(), 89);
    // What is too old by then is not sent at all.
    let late = store.take_outgoing(ms(10_100) + MAX_OBSERVATION_AGE, 1);
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn no_observations_queue_up_while_there_is_no_peer() {
    let mut store = store(10, 1e6);
    for number in 0..10 {
        store.record_own(ms(1000), ms(0), observation(number, 900));
    }
    assert!(store.take_outgoing(ms(1000), 0).is_empty());
    assert!(store.take_outgoing(ms(1010), 1).is_empty());
    assert_eq!(store.snapshot(ms(1020)).concat().len(), 10, "a peer that joins is sent the snapshot");
}

#[test]
fn the_snapshot_holds_the_latest_observations_of_all_routers_but_no_failures() {
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

#[test]
fn the_latest_observation_of_a_peer_is_known_until_it_is_too_old() {
    let mut store = store(2, 1e6);
    assert_eq!(store.latest_from_peers(ms(900), node(0)), None);
    let Assessment::Accepted(first) = store.record_from_peer(ms(1000), &name(1), observation(0, 900)) else {
        panic!("an answer")
    };
    assert_eq!(store.latest_from_peers(ms(1000), node(0)), Some(first));
    // Older observations, failures and own observations do not replace it.
    store.record_from_peer(ms(1000), &name(2), Observation { age: ms(500), ..observation(0, 400) });
    store.record_from_peer(ms(1100), &name(2), failure(0));
    store.record_own(ms(1200), ms(1190), observation(0, 1150));
    assert_eq!(store.latest_from_peers(ms(1200), node(0)), Some(first));
    let Assessment::Accepted(later) = store.record_from_peer(ms(1300), &name(2), observation(0, 1290)) else {
        panic!("an answer")
    };
    assert_eq!(store.latest_from_peers(ms(1300) + MAX_OBSERVATION_AGE, node(0)), Some(later));
    assert_eq!(store.latest_from_peers(ms(1301) + MAX_OBSERVATION_AGE, node(0)), None, "too old");
    assert_eq!(
        (store.latest_from_peers(ms(1300), node(1)), store.latest_from_peers(ms(1300), node(9))),
        (None, None)
    );
    // The node itself contradicts it.
    assert_eq!(store.record_own(ms(1400), ms(1350), observation(0, 1000)), Some(name(2)));
    assert_eq!(store.latest_from_peers(ms(1400), node(0)), None);
}

#[test]
fn a_failure_is_believed_only_once_two_routers_have_lately_met_it() {
    let mut store = store(1, 1e6);
    assert_eq!(store.record_from_peer(ms(5000), &name(1), failure(0)), Assessment::Unconfirmed);
    assert_eq!(
        store.record_from_peer(ms(5100), &name(1), failure(0)),
        Assessment::Unconfirmed,
        "the same router twice"
    );
    assert_eq!(
        store.record_from_peer(ms(8000), &name(2), failure(0)),
        Assessment::Unconfirmed,
        "too far apart"
    );
    let Assessment::Accepted(dated) = store.record_from_peer(ms(8500), &name(1), failure(0)) else {
        panic!("two routers")
    };
    assert!(dated.failed);
    // Its own answer outweighs failures that were found before.
    store.record_own(ms(9000), ms(8990), observation(0, 8900));
    assert_eq!(
        store.record_from_peer(ms(9000), &name(1), Observation { age: ms(100), ..failure(0) }),
        Assessment::Rejected
    );
    assert_eq!(
        store.record_from_peer(ms(9100), &name(1), failure(0)),
        Assessment::Unconfirmed,
        "counted anew"
    );
}

#[test]
fn a_slow_answer_contradicts_no_peer() {
    let mut store = store(1, 1e6);
    store.record_from_peer(ms(1000), &name(1), observation(0, 990));
    // Sent before that observation, answered after it: the node had not got so far yet.
    assert_eq!(store.record_own(ms(1200), ms(900), observation(0, 890)), None);
    // Sent after it, the node should have said no less.
    assert_eq!(store.record_own(ms(1300), ms(1100), observation(0, 890)), Some(name(1)));
    assert_eq!(
        store.record_from_peer(ms(1400), &name(1), observation(0, 1390)),
        Assessment::Rejected,
        "not believed for a while"
    );
    assert!(matches!(
        store.record_from_peer(ms(70_000), &name(1), observation(0, 69_000)),
        Assessment::Accepted(_)
    ));
}

#[test]
fn an_observation_that_is_old_or_of_no_listed_node_or_of_the_future_is_rejected() {
    let mut store = store(1, 1e6);
    let old = Observation { age: MAX_OBSERVATION_AGE + ms(1), ..observation(0, 900) };
    assert_eq!(store.record_from_peer(ms(20_000), &name(1), old), Assessment::Rejected);
    assert_eq!(store.record_from_peer(ms(20_000), &name(1), observation(9, 900)), Assessment::Rejected);
    let Assessment::Accepted(dated) = store.record_from_peer(ms(20_000), &name(1), observation(0, 20_001))
    else {
        panic!("an answer")
    };
    assert_eq!(dated.position, None);
    assert_eq!(store.len(), 1);
}
