//! The largest possible messages fit into a datagram.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, TimestampedObservation};
use quillpoint_observation_feed::message::{Digest, DigestNumber, LAG_CLASSES, PARTITIONS, PartitionId};
use quillpoint_observation_feed::observation_store::{ObservationStore, SubscriberPresence};
use quillpoint_observation_feed::{Envelope, Message, encoded_size};

use crate::fixtures::{ms, name};

const NODES: u32 = 20_000;

/// A database whose address has the maximum encoded size.
fn node(number: u32) -> SocketAddr {
    let address = std::net::Ipv6Addr::from(u128::MAX - u128::from(number) * 977);
    SocketAddr::from((address, 60_000 + (number % 5000) as u16))
}

fn observe_all(store: &mut ObservationStore, at: Duration, primary: bool) {
    for number in 0..NODES {
        let observation = TimestampedObservation {
            node: node(number),
            at,
            position: Some(at - Duration::new(u64::from(number % 9), 999)),
            primary: Some(primary),
            waiting: None,
            started: Some(at - Duration::new(1, number)),
            failed: false,
        };
        store.observe(at, observation);
    }
}

fn datagram_bytes(message: Message) -> usize {
    let from = name(&"n".repeat(32));
    let envelope = Envelope { from, incarnation: Incarnation(u64::MAX), message };
    postcard::to_stdvec(&envelope).unwrap().len() + 55
}

#[test]
fn the_largest_messages_fit_into_a_datagram() {
    let now = Duration::new(u64::MAX / 2, 999_999_999);
    let mut store = ObservationStore::new(ms(150), 0);
    store.nodes_changed(now, &(0..NODES).map(node).collect());
    observe_all(&mut store, now, false);
    store.update_snapshots(now, 0, SubscriberPresence::Present);
    for partition in (0..PARTITIONS as u8).map(PartitionId) {
        for chunk in store.snapshot(partition) {
            assert!(datagram_bytes(Message::Chunk(chunk)) <= 1200);
        }
    }
    let mut max_bytes = 0;
    for step in 1..40 {
        let now = now + ms(step * 100);
        observe_all(&mut store, now, step % 2 == 0);
        let mut digest = Digest {
            number: DigestNumber(u32::MAX),
            sent: now,
            age: now,
            watermarks: [Some(now); LAG_CLASSES],
            revisions: store.highest_revisions(),
            changes: Vec::new(),
            health_check_period: now,
            router_count: u32::MAX,
        };
        let max_change_bytes = encoded_size::MAX_PAYLOAD_BYTES - encoded_size::digest(&digest);
        assert!(
            store.update_snapshots(now, max_change_bytes, SubscriberPresence::Present),
            "expected more changes than a digest can carry"
        );
        (digest.revisions, digest.changes) = (store.revisions(), store.take_changes(max_change_bytes));
        assert!(!digest.changes.is_empty());
        max_bytes = max_bytes.max(datagram_bytes(Message::Digest(digest)));
    }
    assert!((1000..=1200).contains(&max_bytes), "the largest digest takes {max_bytes} bytes");
    let partitions = (0..PARTITIONS as u8).map(PartitionId).collect();
    assert!(datagram_bytes(Message::Pull(partitions)) <= 1200);
}
