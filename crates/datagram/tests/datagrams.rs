//! Which gossip datagrams are accepted and with which error the others are rejected. No input may cause a
//! panic or be accepted twice.

use quickcheck::{Gen, QuickCheck};
use quillpoint_datagram::keys::{KeyFileError, Keyring};
use quillpoint_datagram::{MAX_DATAGRAM_BYTES, OpenError, Opener, Sealer};
use quillpoint_membership::ids::{MAX_PEER_NAME_BYTES, PingNumber};
use quillpoint_membership::message::{
    MAX_JOIN_REPLY_RECORDS, MAX_PIGGYBACKED_RECORDS, OBSERVATION_BATCH_SIZE,
};
use quillpoint_membership::{
    GossipBody, GossipMessage, Incarnation, MemberRecord, MemberState, MemberVersion, Observation, PeerName,
};
use std::time::Duration;

const OWN: Incarnation = Incarnation(77);

fn keys(text: &str) -> Keyring {
    let lines: Vec<String> = text.split(' ').map(|digit| digit.repeat(64)).collect();
    Keyring::parse(&lines.join("\n")).unwrap()
}

fn member_record(name: &str, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: PeerName::new(name).unwrap(),
        version: MemberVersion { incarnation: Incarnation(incarnation), revision: u32::MAX },
        address: "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap(),
        zone: u16::MAX,
        weight: u8::MAX,
        state: MemberState::Suspect,
    }
}

fn gossip(body: GossipBody) -> GossipMessage {
    GossipMessage { from: member_record("n1", 5), body, records: Vec::new() }
}

fn ping() -> GossipMessage {
    gossip(GossipBody::Ping(PingNumber(7)))
}

#[test]
fn a_replayed_datagram_is_rejected() {
    let (keys, mut sealer, mut opener) = (keys("a"), Sealer::default(), Opener::default());
    let bytes = sealer.seal(&keys, Some(OWN), &ping()).unwrap();
    assert_eq!(opener.open(&keys, OWN, &bytes), Ok(ping()));
    assert_eq!(opener.open(&keys, OWN, &bytes), Err(OpenError::Replayed));
}

#[test]
fn the_largest_messages_fit_a_datagram() {
    let name = "n".repeat(MAX_PEER_NAME_BYTES);
    let record = member_record(&name, u64::MAX);
    let observation = Observation {
        node: record.address,
        age: Duration::new(10, 999_999_999),
        position: Some(Duration::new(1 << 34, 999_999_999)),
        primary: Some(true),
        waiting: Some(u32::MAX),
        started: Some(Duration::new(1 << 34, 999_999_999)),
        failed: true,
    };
    let observations = GossipMessage {
        from: record.clone(),
        body: GossipBody::Observations(vec![observation; OBSERVATION_BATCH_SIZE]),
        records: vec![record.clone(); MAX_PIGGYBACKED_RECORDS + 1],
    };
    let join_reply = GossipMessage {
        from: record.clone(),
        body: GossipBody::JoinReply,
        records: vec![record; MAX_JOIN_REPLY_RECORDS + 1],
    };
    for message in [observations, join_reply] {
        assert!(Sealer::default().seal(&keys("a"), Some(OWN), &message).unwrap().len() <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn each_invalid_datagram_is_rejected_with_its_own_error_and_changes_no_window() {
    let (own_keys, other_keys) = (keys("a"), keys("b"));
    let mut sealer = Sealer::default();
    let valid = sealer.seal(&own_keys, Some(OWN), &ping()).unwrap();
    let mut opener = Opener::default();
    let mut open = |bytes: &[u8]| opener.open(&own_keys, OWN, bytes).unwrap_err();
    assert_eq!(open(b""), OpenError::Truncated);
    assert_eq!(open(b"Q"), OpenError::Truncated);
    assert_eq!(open(&valid[..40]), OpenError::Truncated);
    assert_eq!(open(&valid[..valid.len() - 1]), OpenError::Forged);
    assert_eq!(open(b"GET / HTTP/1.1"), OpenError::Foreign);
    assert_eq!(open(&[valid.clone(), vec![0; MAX_DATAGRAM_BYTES]].concat()), OpenError::TooLong);
    let mut later_version = valid.clone();
    later_version[2] = 2;
    assert_eq!(open(&later_version), OpenError::Version);
    assert_eq!(open(&sealer.seal(&other_keys, Some(OWN), &ping()).unwrap()), OpenError::UnknownKey);
    let misaddressed = sealer.seal(&own_keys, Some(Incarnation(78)), &ping()).unwrap();
    assert_eq!(open(&misaddressed), OpenError::OtherSession);
    // A join request may leave the receiver's incarnation open, but may not name another one.
    let misaddressed =
        sealer.seal(&own_keys, Some(Incarnation(78)), &gossip(GossipBody::JoinRequest)).unwrap();
    assert_eq!(open(&misaddressed), OpenError::OtherSession);
    let unaddressed = sealer.seal(&own_keys, None, &ping()).unwrap();
    assert_eq!(open(&unaddressed), OpenError::OtherSession, "only a join request may omit the receiver");
    // The datagram that was sealed first is still accepted: none of the rejected ones moved the window.
    assert!(opener.open(&own_keys, OWN, &valid).is_ok());
}

#[test]
fn a_datagram_with_any_bit_flipped_or_truncated_at_any_length_is_rejected() {
    let keys = keys("a");
    let valid = Sealer::default().seal(&keys, Some(OWN), &ping()).unwrap();
    for bit in 0..valid.len() * 8 {
        let mut bytes = valid.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(Opener::default().open(&keys, OWN, &bytes).is_err(), "accepted with bit {bit} flipped");
    }
    assert!((0..valid.len()).all(|length| Opener::default().open(&keys, OWN, &valid[..length]).is_err()));
}

#[test]
fn random_bytes_never_cause_a_panic_even_with_a_valid_hash() {
    fn unauthenticated(bytes: Vec<u8>) -> bool {
        Opener::default().open(&keys("a"), OWN, &bytes).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1500, 1))
        .tests(2000)
        .quickcheck(unauthenticated as fn(Vec<u8>) -> bool);
    // A sender that has the key may still send a malformed payload.
    fn sealed(mut payload: Vec<u8>) -> bool {
        let key = [0xaa; 32];
        let keys = keys("a");
        let header = Sealer::default().seal(&keys, Some(OWN), &ping()).unwrap()[..23].to_vec();
        payload.truncate(1000);
        let mut bytes = [header, payload].concat();
        bytes.extend(blake3::keyed_hash(&key, &bytes).as_bytes());
        matches!(
            Opener::default().open(&keys, OWN, &bytes),
            Ok(_) | Err(OpenError::Garbled | OpenError::OtherSession)
        )
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 2))
        .tests(5000)
        .quickcheck(sealed as fn(Vec<u8>) -> bool);
}

#[test]
fn reordered_datagrams_are_accepted_within_the_replay_window_only() {
    let (keys, mut sealer, mut opener) = (keys("a"), Sealer::default(), Opener::default());
    let datagrams: Vec<Vec<u8>> = (0..600).map(|_| sealer.seal(&keys, Some(OWN), &ping()).unwrap()).collect();
    assert!(opener.open(&keys, OWN, &datagrams[300]).is_ok());
    assert!((45..300).rev().all(|number| opener.open(&keys, OWN, &datagrams[number]).is_ok()));
    assert_eq!(opener.open(&keys, OWN, &datagrams[44]), Err(OpenError::Replayed), "older than the window");
    assert!(opener.open(&keys, OWN, &datagrams[599]).is_ok());
    assert_eq!(opener.open(&keys, OWN, &datagrams[300]), Err(OpenError::Replayed));
    assert!(opener.open(&keys, OWN, &datagrams[400]).is_ok(), "numbers that were skipped are new");
    assert_eq!(opener.open(&keys, OWN, &datagrams[400]), Err(OpenError::Replayed));
}

#[test]
fn datagrams_recorded_before_a_restart_are_rejected_after_it() {
    let (keys, mut sealer) = (keys("a"), Sealer::default());
    let old = sealer.seal(&keys, Some(OWN), &ping()).unwrap();
    assert_eq!(Opener::default().open(&keys, Incarnation(78), &old), Err(OpenError::OtherSession));
    // A datagram of the sender's earlier incarnation must not reset the window of its later one.
    let mut opener = Opener::default();
    let new = GossipMessage { from: member_record("n1", 6), ..ping() };
    assert!(opener.open(&keys, OWN, &Sealer::default().seal(&keys, Some(OWN), &new).unwrap()).is_ok());
    assert_eq!(
        opener.open(&keys, OWN, &sealer.seal(&keys, Some(OWN), &ping()).unwrap()),
        Err(OpenError::Replayed)
    );
    assert_eq!(
        opener.open(&keys, OWN, &Sealer::default().seal(&keys, Some(OWN), &new).unwrap()),
        Err(OpenError::Replayed)
    );
}

#[test]
fn keys_can_be_rotated_without_rejected_datagrams() {
    let (old, both, swapped, new) = (keys("a"), keys("a b"), keys("b a"), keys("b"));
    let mut sealer = Sealer::default();
    let mut accepted = |from: &Keyring, to: &Keyring| {
        let bytes = sealer.seal(from, Some(OWN), &ping()).unwrap();
        Opener::default().open(to, OWN, &bytes).is_ok()
    };
    // While a step is rolled out, processes before and after it must accept each other's datagrams.
    for (before, after) in [(&old, &both), (&both, &swapped), (&swapped, &new)] {
        assert!(accepted(before, after) && accepted(after, before), "{before:?} and {after:?}");
    }
    assert!(!accepted(&old, &new));
}

#[test]
fn the_number_of_replay_windows_is_bounded_when_new_senders_keep_appearing() {
    let (keys, mut sealer, mut opener) = (keys("a"), Sealer::default(), Opener::default());
    let join = |index: u64| GossipMessage {
        from: member_record(&format!("n{index}"), 5),
        ..gossip(GossipBody::JoinRequest)
    };
    let first = sealer.seal(&keys, None, &join(0)).unwrap();
    assert!(opener.open(&keys, OWN, &first).is_ok());
    for index in 1..600 {
        let bytes = sealer.seal(&keys, None, &join(index)).unwrap();
        assert!(opener.open(&keys, OWN, &bytes).is_ok());
    }
    // The first sender was silent longest and was dropped, so its join request is accepted a second time.
    assert!(opener.open(&keys, OWN, &first).is_ok());
}

#[test]
fn key_file_errors_name_the_line_and_debug_output_does_not_leak_the_key() {
    let error = |text: &str| Keyring::parse(text).unwrap_err();
    let [a, b, c] = ["a", "b", "c"].map(|digit| digit.repeat(64));
    assert_eq!(error("# none\n\n"), KeyFileError::NoKey);
    assert_eq!(error(&format!("# one\n{a}\nshort")), KeyFileError::InvalidKey { line: 3 });
    assert_eq!(error(&format!("{a}\n{a}")), KeyFileError::DuplicateKey { line: 2 });
    assert_eq!(error(&format!("{a}\n{b}\n{c}")), KeyFileError::TooManyKeys { line: 3 });
    let keyring = Keyring::parse(&format!("{a} # the old one")).unwrap();
    assert!(!format!("{keyring:?}").contains("aaaa"));
}
