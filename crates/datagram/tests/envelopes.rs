//! Which datagrams of the observation feed are accepted and with which error the others are rejected. Gossip
//! must not be accepted as a feed message, nor the reverse.

use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use quillpoint_datagram::keys::Keyring;
use quillpoint_datagram::{MAX_DATAGRAM_BYTES, OpenError, Opener, Sealer};
use quillpoint_membership::ids::MAX_PEER_NAME_BYTES;
use quillpoint_membership::{
    GossipBody, GossipMessage, Incarnation, MemberRecord, MemberState, MemberVersion, PeerName,
};
use quillpoint_observation_feed::message::{
    DigestNumber, LAG_CLASSES, LagClass, MAX_CHANGES_PER_DIGEST, MAX_ENTRIES_PER_CHUNK, PARTITIONS,
    PartitionId, Revision, SnapshotChunk,
};
use quillpoint_observation_feed::{Change, Digest, Entry, Envelope, Message, NodeStatus, encoded_size};

const OWN: Incarnation = Incarnation(77);
const LONG_AGO: Option<Duration> = Some(Duration::new(1 << 34, 999_999_999));

fn keys(digit: &str) -> Keyring {
    Keyring::parse(&digit.repeat(64)).unwrap()
}

fn envelope(from: &str, incarnation: u64, message: Message) -> Envelope {
    Envelope { from: PeerName::new(from).unwrap(), incarnation: Incarnation(incarnation), message }
}

fn entry(started: Option<Duration>) -> Entry {
    Entry { primary: Some(true), started, status: NodeStatus::Seen(LagClass(7)) }
}

fn digest(changes: usize) -> Message {
    let node: SocketAddr = "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap();
    let change = Change { revision: Revision(u32::MAX), node, entry: Some(entry(LONG_AGO)) };
    Message::Digest(Digest {
        number: DigestNumber(u32::MAX),
        sent: LONG_AGO.unwrap(),
        age: Duration::new(10, 999_999_999),
        watermarks: [LONG_AGO; LAG_CLASSES],
        revisions: vec![Revision(u32::MAX); PARTITIONS],
        changes: vec![change; changes],
        health_check_period: Duration::new(3600, 999_999_999),
        router_count: u32::MAX,
    })
}

fn open(opener: &mut Opener<Envelope>, bytes: &[u8]) -> Result<Envelope, OpenError> {
    opener.open(&keys("a"), OWN, bytes)
}

#[test]
fn a_replayed_envelope_is_rejected() {
    let (mut sealer, mut opener) = (Sealer::default(), Opener::new(4));
    let sent = envelope("c1", 5, digest(2));
    let bytes = sealer.seal(&keys("a"), Some(OWN), &sent).unwrap();
    assert_eq!(open(&mut opener, &bytes), Ok(sent));
    assert_eq!(open(&mut opener, &bytes), Err(OpenError::Replayed));
}

#[test]
fn the_largest_envelopes_fit_a_datagram() {
    let name = "n".repeat(MAX_PEER_NAME_BYTES);
    // Fill each message as far as the size estimates allow, with addresses of either length.
    for node in ["[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535", "255.255.255.255:65535", "1.1.1.1:1"] {
        let node: SocketAddr = node.parse().unwrap();
        for started in [None, LONG_AGO] {
            let (partition, revision, entry) = (PartitionId(63), Revision(u32::MAX), entry(started));
            let chunk = |groups| SnapshotChunk { partition, revision, index: 126, chunk_count: 127, groups };
            // One entry shared by many nodes, or a separate entry for each node.
            let fits = |chunk: &SnapshotChunk| encoded_size::chunk(chunk) <= encoded_size::MAX_PAYLOAD_BYTES;
            let many = |count| chunk(vec![(entry, vec![node; count])]);
            let single = |count| chunk(vec![(entry, vec![node]); count]);
            let many = (1..MAX_ENTRIES_PER_CHUNK).map(many).take_while(fits).last().unwrap();
            let single = (1..MAX_ENTRIES_PER_CHUNK).map(single).take_while(fits).last().unwrap();
            let change = Change { revision, node, entry: Some(entry) };
            let Message::Digest(mut digest) = digest(0) else { unreachable!() };
            while encoded_size::digest(&digest) + encoded_size::change(&change)
                <= encoded_size::MAX_PAYLOAD_BYTES
                && digest.changes.len() < MAX_CHANGES_PER_DIGEST
            {
                digest.changes.push(change);
            }
            assert!(digest.changes.len() > 10 && many.groups[0].1.len() > 25 && single.groups.len() > 10);
            let pull = Message::Pull((0..PARTITIONS as u8).map(PartitionId).collect());
            for message in [Message::Digest(digest), Message::Chunk(many), Message::Chunk(single), pull] {
                let sealed =
                    Sealer::default().seal(&keys("a"), Some(OWN), &envelope(&name, u64::MAX, message));
                assert!(
                    sealed.as_ref().is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES),
                    "{:?}",
                    sealed.err()
                );
            }
        }
    }
}

#[test]
fn forged_truncated_and_misaddressed_envelopes_are_rejected_with_their_own_error() {
    let mut sealer = Sealer::default();
    let sent = envelope("c1", 5, digest(1));
    let valid = sealer.seal(&keys("a"), Some(OWN), &sent).unwrap();
    let mut opener = Opener::new(4);
    let other_key = sealer.seal(&keys("b"), Some(OWN), &sent).unwrap();
    assert_eq!(open(&mut opener, &other_key), Err(OpenError::UnknownKey));
    // The id of a key is not secret, so knowing it must not be enough to forge a datagram.
    let mut forged = other_key;
    forged[3..7].copy_from_slice(&valid[3..7]);
    assert_eq!(open(&mut opener, &forged), Err(OpenError::Forged));
    for receiver in [Some(Incarnation(78)), None] {
        let bytes = sealer.seal(&keys("a"), receiver, &sent).unwrap();
        assert_eq!(
            open(&mut opener, &bytes),
            Err(OpenError::OtherSession),
            "only a subscribe request may omit the receiver"
        );
    }
    let subscribe = sealer.seal(&keys("a"), None, &envelope("r1", 5, Message::Subscribe)).unwrap();
    assert!(open(&mut opener, &subscribe).is_ok());
    for message in [
        Message::Pull(vec![PartitionId(1)]),
        Message::Unsubscribe,
        Message::Leaving,
        Message::SubscriptionRejected,
    ] {
        let bytes = sealer.seal(&keys("a"), None, &envelope("r1", 5, message)).unwrap();
        assert_eq!(open(&mut opener, &bytes), Err(OpenError::OtherSession));
    }
    for bit in 0..valid.len() * 8 {
        let mut bytes = valid.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(open(&mut opener, &bytes).is_err(), "accepted with bit {bit} flipped");
    }
    assert!((0..valid.len()).all(|length| open(&mut opener, &valid[..length]).is_err()));
    assert_eq!(open(&mut opener, &valid), Ok(sent), "a rejected datagram changed the window");
}

#[test]
fn gossip_and_feed_datagrams_are_rejected_by_the_opener_of_the_other_kind() {
    let record = MemberRecord {
        name: PeerName::new("c1").unwrap(),
        version: MemberVersion { incarnation: Incarnation(5), revision: 0 },
        address: "127.0.0.1:1".parse().unwrap(),
        zone: 0,
        weight: 1,
        state: MemberState::Up,
    };
    let message = GossipMessage { from: record, body: GossipBody::JoinRequest, records: Vec::new() };
    let (mut sealer, keys) = (Sealer::default(), keys("a"));
    let mut gossip = sealer.seal(&keys, None, &message).unwrap();
    let mut subscribe = sealer.seal(&keys, None, &envelope("r1", 5, Message::Subscribe)).unwrap();
    assert_eq!(Opener::<Envelope>::new(4).open(&keys, OWN, &gossip), Err(OpenError::OtherKind));
    assert_eq!(Opener::<GossipMessage>::default().open(&keys, OWN, &subscribe), Err(OpenError::OtherKind));
    // Changing the kind in the header does not help, as the hash covers it.
    (gossip[1], subscribe[1]) = (subscribe[1], gossip[1]);
    assert_eq!(Opener::<Envelope>::new(4).open(&keys, OWN, &gossip), Err(OpenError::Forged));
    assert_eq!(Opener::<GossipMessage>::default().open(&keys, OWN, &subscribe), Err(OpenError::Forged));
}

#[test]
fn a_sender_whose_clock_went_back_across_a_restart_is_accepted_and_its_old_datagrams_are_not() {
    let (keys, mut opener) = (keys("a"), Opener::<Envelope>::new(4));
    let sealed = |sealer: &mut Sealer, incarnation| {
        sealer.seal(&keys, Some(OWN), &envelope("c1", incarnation, digest(0))).unwrap()
    };
    let old = sealed(&mut Sealer::default(), 9);
    assert!(opener.open(&keys, OWN, &old).is_ok());
    let mut restarted = Sealer::default();
    for _ in 0..3 {
        assert!(opener.open(&keys, OWN, &sealed(&mut restarted, 4)).is_ok());
        assert_eq!(opener.open(&keys, OWN, &old), Err(OpenError::Replayed));
    }
}

#[test]
fn an_opener_keeps_replay_windows_for_the_configured_number_of_senders() {
    let (keys, mut sealer) = (keys("a"), Sealer::default());
    let mut subscribe = |index: usize| {
        sealer.seal(&keys, None, &envelope(&format!("r{index}"), 5, Message::Subscribe)).unwrap()
    };
    for max_senders in [1, 3, 2000] {
        let mut opener = Opener::<Envelope>::new(max_senders);
        let first = subscribe(0);
        assert!(opener.open(&keys, OWN, &first).is_ok());
        let others: Vec<_> = (1..max_senders).map(&mut subscribe).collect();
        assert!(others.iter().all(|bytes| opener.open(&keys, OWN, bytes).is_ok()));
        let last = others.last().unwrap_or(&first);
        assert_eq!(opener.open(&keys, OWN, last), Err(OpenError::Replayed));
        assert_eq!(
            opener.open(&keys, OWN, &first),
            Err(OpenError::Replayed),
            "a sender was dropped although {max_senders} fit"
        );
        // With more senders than fit, the one that has been silent longest is dropped.
        let more: Vec<_> = (max_senders..=max_senders * 2).map(&mut subscribe).collect();
        assert!(more.iter().all(|bytes| opener.open(&keys, OWN, bytes).is_ok()));
        assert!(opener.open(&keys, OWN, &first).is_ok());
    }
}

#[test]
fn a_random_payload_with_a_valid_hash_never_causes_a_panic() {
    fn sealed(mut payload: Vec<u8>) -> bool {
        let header = Sealer::default().seal(&keys("a"), Some(OWN), &envelope("c1", 5, digest(0))).unwrap();
        payload.truncate(1000);
        let mut bytes = [header[..23].to_vec(), payload].concat();
        bytes.extend(blake3::keyed_hash(&[0xaa; 32], &bytes).as_bytes());
        matches!(
            Opener::<Envelope>::new(4).open(&keys("a"), OWN, &bytes),
            Ok(_) | Err(OpenError::Garbled | OpenError::OtherSession)
        )
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 4))
        .tests(5000)
        .quickcheck(sealed as fn(Vec<u8>) -> bool);
}
