//! What is taken and what is refused, by kind; nothing that arrives may panic or pass twice.

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
fn a_message_passes_once() {
    let (keys, mut sealer, mut opener) = (keys("a"), Sealer::default(), Opener::default());
    let bytes = sealer.seal(&keys, Some(OWN), &ping()).unwrap();
    assert_eq!(opener.open(&keys, OWN, &bytes), Ok(ping()));
    assert_eq!(opener.open(&keys, OWN, &bytes), Err(OpenError::Replayed));
}

#[test]
fn the_largest_messages_fit_a_datagram() {
    let name = "n".repeat(MAX_PEER_NAME_BYTES);
    let card = member_record(&name, u64::MAX);
    let news = Observation {
        node: card.address,
        age: Duration::new(10, 999_999_999),
        position: Some(Duration::new(1 << 34, 999_999_999)),
        primary: Some(true),
        waiting: Some(u32::MAX),
        started: Some(Duration::new(1 << 34, 999_999_999)),
        failed: true,
    };
    let along = GossipMessage {
        from: card.clone(),
        body: GossipBody::Observations(vec![news; OBSERVATION_BATCH_SIZE]),
        records: vec![card.clone(); MAX_PIGGYBACKED_RECORDS + 1],
    };
    let whole = GossipMessage {
        from: card.clone(),
        body: GossipBody::JoinReply,
        records: vec![card; MAX_JOIN_REPLY_RECORDS + 1],
    };
    for message in [along, whole] {
        assert!(Sealer::default().seal(&keys("a"), Some(OWN), &message).unwrap().len() <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn each_bad_kind_is_refused_as_what_it_is() {
    let (ours, theirs) = (keys("a"), keys("b"));
    let mut sealer = Sealer::default();
    let good = sealer.seal(&ours, Some(OWN), &ping()).unwrap();
    let mut opener = Opener::default();
    let mut open = |bytes: &[u8]| opener.open(&ours, OWN, bytes).unwrap_err();
    assert_eq!(open(b""), OpenError::Truncated);
    assert_eq!(open(b"Q"), OpenError::Truncated);
    assert_eq!(open(&good[..40]), OpenError::Truncated);
    assert_eq!(open(&good[..good.len() - 1]), OpenError::Forged);
    assert_eq!(open(b"GET / HTTP/1.1"), OpenError::Foreign);
    assert_eq!(open(&[good.clone(), vec![0; MAX_DATAGRAM_BYTES]].concat()), OpenError::TooLong);
    let mut later = good.clone();
    later[2] = 2;
    assert_eq!(open(&later), OpenError::Version);
    assert_eq!(open(&sealer.seal(&theirs, Some(OWN), &ping()).unwrap()), OpenError::UnknownKey);
    let other = sealer.seal(&ours, Some(Incarnation(78)), &ping()).unwrap();
    assert_eq!(open(&other), OpenError::OtherSession);
    // Even a join request, which may leave the start open, may not name another.
    let other = sealer.seal(&ours, Some(Incarnation(78)), &gossip(GossipBody::JoinRequest)).unwrap();
    assert_eq!(open(&other), OpenError::OtherSession);
    let unknown = sealer.seal(&ours, None, &ping()).unwrap();
    assert_eq!(open(&unknown), OpenError::OtherSession, "only a join request may leave it open");
    // Of all these, none changed the window.
    assert!(opener.open(&ours, OWN, &good).is_ok());
}

#[test]
fn no_flipped_bit_and_no_cut_passes() {
    let keys = keys("a");
    let good = Sealer::default().seal(&keys, Some(OWN), &ping()).unwrap();
    for bit in 0..good.len() * 8 {
        let mut bytes = good.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(Opener::default().open(&keys, OWN, &bytes).is_err(), "bit {bit}");
    }
    assert!((0..good.len()).all(|cut| Opener::default().open(&keys, OWN, &good[..cut]).is_err()));
}

#[test]
fn noise_never_panics_even_under_a_good_hash() {
    fn noise(bytes: Vec<u8>) -> bool {
        Opener::default().open(&keys("a"), OWN, &bytes).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1500, 1))
        .tests(2000)
        .quickcheck(noise as fn(Vec<u8>) -> bool);
    // What a holder of the key sends is not trusted to be well formed: any bytes in place of the payload.
    fn sealed(mut noise: Vec<u8>) -> bool {
        let key = [0xaa; 32];
        let keys = keys("a");
        let head = Sealer::default().seal(&keys, Some(OWN), &ping()).unwrap()[..23].to_vec();
        noise.truncate(1000);
        let mut bytes = [head, noise].concat();
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
fn messages_out_of_order_pass_within_the_window() {
    let (keys, mut sealer, mut opener) = (keys("a"), Sealer::default(), Opener::default());
    let all: Vec<Vec<u8>> = (0..600).map(|_| sealer.seal(&keys, Some(OWN), &ping()).unwrap()).collect();
    assert!(opener.open(&keys, OWN, &all[300]).is_ok());
    assert!((45..300).rev().all(|at| opener.open(&keys, OWN, &all[at]).is_ok()));
    assert_eq!(opener.open(&keys, OWN, &all[44]), Err(OpenError::Replayed), "too old to tell");
    assert!(opener.open(&keys, OWN, &all[599]).is_ok());
    assert_eq!(opener.open(&keys, OWN, &all[300]), Err(OpenError::Replayed));
    assert!(opener.open(&keys, OWN, &all[400]).is_ok(), "a leap clears what it passes");
    assert_eq!(opener.open(&keys, OWN, &all[400]), Err(OpenError::Replayed));
}

#[test]
fn what_was_recorded_before_a_restart_is_worth_nothing_after_it() {
    let (keys, mut sealer) = (keys("a"), Sealer::default());
    let old = sealer.seal(&keys, Some(OWN), &ping()).unwrap();
    assert_eq!(Opener::default().open(&keys, Incarnation(78), &old), Err(OpenError::OtherSession));
    // An earlier start of the sender turns no window back.
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
fn two_keys_serve_a_change_of_keys() {
    let (old, both, swapped, new) = (keys("a"), keys("a b"), keys("b a"), keys("b"));
    let mut sealer = Sealer::default();
    let mut passes = |from: &Keyring, to: &Keyring| {
        let bytes = sealer.seal(from, Some(OWN), &ping()).unwrap();
        Opener::default().open(to, OWN, &bytes).is_ok()
    };
    for (one, other) in [(&old, &both), (&both, &swapped), (&swapped, &new)] {
        assert!(passes(one, other) && passes(other, one), "each step of the change");
    }
    assert!(!passes(&old, &new));
}

#[test]
fn windows_of_ever_new_senders_are_bounded() {
    let (keys, mut sealer, mut opener) = (keys("a"), Sealer::default(), Opener::default());
    let join = |place: u64| GossipMessage {
        from: member_record(&format!("n{place}"), 5),
        ..gossip(GossipBody::JoinRequest)
    };
    let first = sealer.seal(&keys, None, &join(0)).unwrap();
    assert!(opener.open(&keys, OWN, &first).is_ok());
    for place in 1..600 {
        let bytes = sealer.seal(&keys, None, &join(place)).unwrap();
        assert!(opener.open(&keys, OWN, &bytes).is_ok());
    }
    // The silent one was forgotten, so its join request counts anew; the last one is remembered.
    assert!(opener.open(&keys, OWN, &first).is_ok());
}

#[test]
fn a_key_file_names_the_line_at_fault_and_not_the_key() {
    let line = |text: &str| Keyring::parse(text).unwrap_err();
    let [a, b, c] = ["a", "b", "c"].map(|digit| digit.repeat(64));
    assert_eq!(line("# none\n\n"), KeyFileError::NoKey);
    assert_eq!(line(&format!("# one\n{a}\nshort")), KeyFileError::InvalidKey { line: 3 });
    assert_eq!(line(&format!("{a}\n{a}")), KeyFileError::DuplicateKey { line: 2 });
    assert_eq!(line(&format!("{a}\n{b}\n{c}")), KeyFileError::TooManyKeys { line: 3 });
    let ring = Keyring::parse(&format!("{a} # the old one")).unwrap();
    assert!(!format!("{ring:?}").contains("aaaa"));
}
