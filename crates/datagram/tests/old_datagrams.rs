//! Datagrams as an earlier release sealed them. This release must produce the same bytes and must open them,
//! as a fleet runs both releases during a rolling upgrade.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_datagram::keys::Keyring;
use quillpoint_datagram::{Opener, Payload, Sealer};
use quillpoint_membership::ids::PingNumber;
use quillpoint_membership::{
    GossipBody, GossipMessage, Incarnation, MemberRecord, MemberState, MemberVersion, Observation, PeerName,
};
use quillpoint_observation_feed::message::{
    DigestNumber, LAG_CLASSES, LagClass, PARTITIONS, PartitionId, Revision, SnapshotChunk,
};
use quillpoint_observation_feed::{Change, Digest, Entry, Envelope, Message, NodeStatus};

const OWN: Incarnation = Incarnation(77);

const JOIN_REQUEST: &str = "515001123c69bb00000000000000000000000000000001027231818081b184e9910303000a000004e839020501000038698c\
    e540d09079582487ef3fbb062d80aa19d40243df23ce3cbca3ca806531";

const JOIN_REPLY: &str = "515001123c69bb000000000000004d0000000000000002027231818081b184e9910303000a000004e8390205010103027232\
    818081b184e9910303000a000004e839020502027233818081b184e9910303000a000004e839020504027234818081b184e9\
    910303000a000004e83902050322949bfa2398177d5c5bac94ea9907a04b8df4d143606e4e036da4845e97e14a";

const PING: &str = "515001123c69bb000000000000004d0000000000000003027231818081b184e9910303000a000004e8390205010207008332\
    893f708a1e9a0f36fc96ccdab461e91e0f8fc96999711b42f58a39bcf5f1";

const ACK: &str = "515001123c69bb000000000000004d0000000000000004027231818081b184e9910303000a000004e839020501030700bc3a\
    a1d07807fc1038bc9f39a2b43cd20da42bfc0fdf0eed5459d895c2d0395e";

const INDIRECT_PING: &str = "515001123c69bb000000000000004d0000000000000005027231818081b184e9910303000a000004e8390205010408027232\
    005d4535397719e5d00e7aeeca78f0b38d713c6d3348d123d29e5adc376b9e0388";

const OBSERVATIONS: &str = "515001123c69bb000000000000004d0000000000000006027231818081b184e9910303000a000004e8390205010501012001\
    0db8000000000000000000000001b92a0080e59a770180f2d6ca06f8c0070101010901a8edd6ca06000000441f432213fe49\
    0bb3a4c60418059ad273af491dcf53cb5f474273abeff1851c";

const SUBSCRIBE: &str = "514601123c69bb0000000000000000000000000000000102633105000dbfa06fc63c2576c65a60b77a577893a2525a5dea6b\
    8e083ee05a70e01a3805";

const UNSUBSCRIBE: &str = "514601123c69bb000000000000004d00000000000000020263310501a5da1412da18d0bae4119d025f44fd75a6bec38a6b24\
    7928094ac675e5b7d996";

const PULL: &str = "514601123c69bb000000000000004d0000000000000003026331050202013f882a944686b941df199d364bd941c66d4475fd\
    21aaf7bdae34bac5ed0122c364";

const DIGEST: &str = "514601123c69bb000000000000004d00000000000000040263310503ac0246c0843d008095f52a0101809dca6f0000000000\
    0000400404040404040404040404040404040404040404040404040404040404040404040404040404040404040404040404\
    04040404040404040404040404040404040204000a010001b92a010100010900000105000a010001b92a000080a3c347dc3d\
    a8729aae294180033d4be9804eff3cca6782ca77f62e12ecdc2f1a1544c4eb38";

const CHUNK: &str = "514601123c69bb000000000000004d0000000000000005026331050409040103030100010900000101000a010001b92a0000\
    0100000002005c89c4558f00c86b53b1efc745a08579466b2cf24196a35e509bc45450d94186";

const SUBSCRIPTION_REJECTED: &str = "514601123c69bb000000000000004d0000000000000006026331050510e8ea7ccc12d5fd5873d1ecbf2c5f09cdb9f2b4aa91\
    26de6f3ce513f2460fda";

const LEAVING: &str = "514601123c69bb000000000000004d000000000000000702633105061b25a31422d8203b2ff1b422e779bb67e91c523a7c4b\
    6ee5509d0fa75089eb73";

const RENEW: &str = "514601123c69bb000000000000004d00000000000000080263310507536db0403771170ae3147844aacea82485307d33cacf\
    1fa4c7ea037f90a53178";

fn keys() -> Keyring {
    Keyring::parse(&"a1".repeat(32)).unwrap()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

/// A payload, the receiver that its datagram names, and the datagram from the earlier release in hexadecimal
/// digits.
struct Sealed<P> {
    payload: P,
    receiver: Option<Incarnation>,
    old: &'static str,
}

/// Checks datagrams in the order in which one sealer sealed them, which determines their sequence numbers.
fn check<P: Payload + PartialEq + std::fmt::Debug>(datagrams: &[Sealed<P>]) {
    let mut sealer = Sealer::default();
    let mut opener = Opener::<P>::new(4);
    for Sealed { payload, receiver, old } in datagrams {
        assert_eq!(hex(&sealer.seal(&keys(), *receiver, payload).unwrap()), *old, "{payload:?}");
        assert_eq!(opener.open(&keys(), OWN, &bytes(old)).as_ref(), Ok(payload));
    }
}

fn member(name: &str, state: MemberState) -> MemberRecord {
    MemberRecord {
        name: PeerName::new(name).unwrap(),
        version: MemberVersion { incarnation: Incarnation(1_767_225_600_000_001), revision: 3 },
        address: "10.0.0.4:7400".parse().unwrap(),
        zone: 2,
        weight: 5,
        state,
    }
}

fn gossip(body: GossipBody, old: &'static str) -> Sealed<GossipMessage> {
    let records = match body {
        GossipBody::JoinReply => vec![
            member("r2", MemberState::Suspect),
            member("r3", MemberState::Dead),
            member("r4", MemberState::Left),
        ],
        _ => Vec::new(),
    };
    let receiver = Some(OWN).filter(|_| body != GossipBody::JoinRequest);
    Sealed { payload: GossipMessage { from: member("r1", MemberState::Up), body, records }, receiver, old }
}

#[test]
fn gossip_datagrams_are_compatible_with_the_earlier_release() {
    let observation = Observation {
        node: "[2001:db8::1]:5433".parse().unwrap(),
        age: Duration::from_millis(250),
        position: Some(Duration::from_micros(1_767_225_600_000_123)),
        primary: Some(true),
        waiting: Some(9),
        started: Some(Duration::from_secs(1_767_225_000)),
        failed: false,
    };
    let peer = PeerName::new("r2").unwrap();
    check(&[
        gossip(GossipBody::JoinRequest, JOIN_REQUEST),
        gossip(GossipBody::JoinReply, JOIN_REPLY),
        gossip(GossipBody::Ping(PingNumber(7)), PING),
        gossip(GossipBody::Ack(PingNumber(7)), ACK),
        gossip(GossipBody::IndirectPing(PingNumber(8), peer), INDIRECT_PING),
        gossip(GossipBody::Observations(vec![observation]), OBSERVATIONS),
    ]);
}

fn feed(message: Message, old: &'static str) -> Sealed<Envelope> {
    let receiver = Some(OWN).filter(|_| message != Message::Subscribe);
    let from = PeerName::new("c1").unwrap();
    Sealed { payload: Envelope { from, incarnation: Incarnation(5), message }, receiver, old }
}

fn entry(status: NodeStatus) -> Entry {
    Entry { primary: None, started: None, status }
}

#[test]
fn feed_datagrams_are_compatible_with_the_earlier_release() {
    let node: SocketAddr = "10.1.0.1:5433".parse().unwrap();
    let seen = Entry {
        primary: Some(false),
        started: Some(Duration::from_secs(9)),
        status: NodeStatus::Seen(LagClass(1)),
    };
    let mut watermarks = [None; LAG_CLASSES];
    watermarks[0] = Some(Duration::from_millis(1234));
    let digest = Digest {
        number: DigestNumber(300),
        sent: Duration::from_millis(70_001),
        age: Duration::from_millis(90),
        watermarks,
        revisions: vec![Revision(4); PARTITIONS],
        changes: vec![
            Change { revision: Revision(4), node, entry: Some(seen) },
            Change { revision: Revision(5), node, entry: None },
        ],
        health_check_period: Duration::from_millis(150),
        router_count: 7900,
    };
    let chunk = SnapshotChunk {
        partition: PartitionId(9),
        revision: Revision(4),
        index: 1,
        chunk_count: 3,
        groups: vec![
            (seen, vec![node]),
            (entry(NodeStatus::Unseen), Vec::new()),
            (entry(NodeStatus::Down), Vec::new()),
        ],
    };
    check(&[
        feed(Message::Subscribe, SUBSCRIBE),
        feed(Message::Unsubscribe, UNSUBSCRIBE),
        feed(Message::Pull(vec![PartitionId(1), PartitionId(63)]), PULL),
        feed(Message::Digest(digest), DIGEST),
        feed(Message::Chunk(chunk), CHUNK),
        feed(Message::SubscriptionRejected, SUBSCRIPTION_REJECTED),
        feed(Message::Leaving, LEAVING),
        feed(Message::Renew, RENEW),
    ]);
}
