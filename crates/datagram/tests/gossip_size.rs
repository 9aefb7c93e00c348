//! Gossip messages are filled with observations up to a limit by count and one by bytes. These tests guard
//! against messages that do not fit a datagram, with node addresses of either length (IPv4 and IPv6).

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_datagram::keys::Keyring;
use quillpoint_datagram::{MAX_DATAGRAM_BYTES, Sealer};
use quillpoint_membership::ids::MAX_PEER_NAME_BYTES;
use quillpoint_membership::message::{
    MAX_OBSERVATION_BATCH_BYTES, MAX_PIGGYBACKED_RECORDS, OBSERVATION_BATCH_SIZE,
};
use quillpoint_membership::observation_store::ObservationStore;
use quillpoint_membership::{
    GossipBody, GossipMessage, Incarnation, MemberRecord, MemberState, MemberVersion, Observation, PeerName,
};

const LONG_AGO: Option<Duration> = Some(Duration::new(1 << 34, 999_999_999));

/// The longest or the shortest encoding of an observation.
fn observation(node: SocketAddr, long: bool) -> Observation {
    let (position, started) = if long { (LONG_AGO, LONG_AGO) } else { (None, None) };
    let waiting = long.then_some(u32::MAX);
    let age = Duration::new(10, 999_999_999);
    Observation { node, age, position, primary: long.then_some(true), waiting, started, failed: false }
}

fn member_record(address: SocketAddr) -> MemberRecord {
    MemberRecord {
        name: PeerName::new(&"n".repeat(MAX_PEER_NAME_BYTES)).unwrap(),
        version: MemberVersion { incarnation: Incarnation(u64::MAX), revision: u32::MAX },
        address,
        zone: u16::MAX,
        weight: u8::MAX,
        state: MemberState::Dead,
    }
}

fn keys() -> Keyring {
    Keyring::parse(&"a".repeat(64)).unwrap()
}

fn sealed_bytes(observations: Vec<Observation>) -> usize {
    let record = member_record("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap());
    let piggybacked = vec![record.clone(); MAX_PIGGYBACKED_RECORDS + 1];
    let message =
        GossipMessage { from: record, body: GossipBody::Observations(observations), records: piggybacked };
    Sealer::default().seal(&keys(), Some(Incarnation(1)), &message).map_or(usize::MAX, |bytes| bytes.len())
}

#[test]
fn an_encoded_observation_is_no_longer_than_its_estimate() {
    let empty = sealed_bytes(Vec::new());
    for node in ["[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535", "255.255.255.255:65535", "1.1.1.1:1"] {
        for long in [true, false] {
            let observation = observation(node.parse().unwrap(), long);
            let bytes = observation.max_encoded_bytes();
            assert!(
                sealed_bytes(vec![observation]) - empty <= bytes && bytes < 70,
                "{node}: estimated as {bytes} bytes"
            );
        }
    }
}

#[test]
fn full_batches_of_observations_fit_a_datagram_together_with_the_longest_records() {
    for v4 in [true, false] {
        for long in [true, false] {
            let node = |port: u16| match v4 {
                true => SocketAddr::from(([10, 0, 0, 1], 50_000 + port)),
                false => SocketAddr::from(([0xffff; 8], 50_000 + port)),
            };
            let now = LONG_AGO.unwrap();
            let mut store = ObservationStore::new(PeerName::new("r1").unwrap(), 1e9, now);
            store.nodes_changed(&(0..200).map(node).collect());
            (0..200).for_each(|port| _ = store.record_own(now, now, observation(node(port), long)));
            let batches = store.take_outgoing(now, 3);
            assert_eq!(batches.concat().len(), 200, "expected each observation once");
            for batch in &batches {
                assert!(
                    batch.iter().map(Observation::max_encoded_bytes).sum::<usize>()
                        <= MAX_OBSERVATION_BATCH_BYTES
                );
                assert!(sealed_bytes(batch.clone()) <= MAX_DATAGRAM_BYTES);
            }
            // All batches but the last are filled by bytes, so there are fewer than with ten observations in
            // each.
            assert!(
                batches.len() < 200 / OBSERVATION_BATCH_SIZE || (!v4 && long),
                "expected batches filled by bytes, found {} batches",
                batches.len()
            );
        }
    }
}
