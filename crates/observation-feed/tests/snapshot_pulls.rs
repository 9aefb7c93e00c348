//! Repeated requests for a snapshot that does not arrive: soon enough that the partition does not lack it for
//! long, but not immediately, and not by all routers at the same time.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use quillpoint_observation_feed::message::{DigestNumber, LAG_CLASSES, PARTITIONS, PartitionId, Revision};
use quillpoint_observation_feed::subscriber::SubscriberParams;
use quillpoint_observation_feed::{
    ControlInstance, Digest, Event, FeedObservation, Host, Message, Subscriber,
};

#[derive(Clone, Default)]
struct RecordingHost(Rc<RefCell<Vec<Message>>>);

impl Host for RecordingHost {
    fn send(&mut self, _to: SocketAddr, _receiver: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().push(message);
    }
    fn set_timer(&mut self, _after: Duration) {}
    fn observation_changed(&mut self, _observation: FeedObservation) {}
    fn report_event(&mut self, _event: Event) {}
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn digest(number: u32, sent: u64) -> Digest {
    Digest {
        number: DigestNumber(number),
        sent: ms(sent),
        age: ms(50),
        watermarks: [Some(ms(sent - 60)); LAG_CLASSES],
        revisions: (0..PARTITIONS).map(|partition| Revision(u32::from(partition == 5))).collect(),
        changes: Vec::new(),
        health_check_period: ms(150),
        router_count: 10,
    }
}

/// The times at which a router requests the only partition that has a snapshot, when no request is answered.
/// The router's timer fires every 10 ms.
fn request_times(seed: u64) -> Vec<u64> {
    let host = RecordingHost::default();
    let name = |name| PeerName::new(name).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 7500));
    let control = vec![ControlInstance { name: name("c0"), address, region: None }];
    let params = SubscriberParams {
        region: None,
        digest_interval: ms(100),
        health_check_period: ms(150),
        router_count: 10,
    };
    let mut router = Subscriber::new(host.clone(), name("r1"), params, control, seed, ms(1000));
    router.nodes_changed(ms(1000), &BTreeSet::new());
    let mut requested = Vec::new();
    for at in (1000..41_000).step_by(10) {
        if at % 100 == 0 {
            let digest = Message::Digest(digest(at as u32 / 100, at + 4000));
            router.message_arrived(ms(at), &name("c0"), Incarnation(7), digest);
        }
        router.timer_fired(ms(at));
        for message in host.0.borrow_mut().drain(..) {
            if let Message::Pull(partitions) = message {
                assert_eq!(partitions, [PartitionId(5)]);
                requested.push(at);
            }
        }
    }
    requested
}

#[test]
fn an_unanswered_snapshot_request_is_repeated_within_1_6_s_but_not_immediately() {
    for seed in 0..20 {
        let requested = request_times(seed);
        let waits: Vec<u64> = requested.windows(2).map(|two| two[1] - two[0]).collect();
        // 1600 ms plus 10 ms, the timer interval of this test.
        assert!(waits.iter().all(|wait| (400..=1610).contains(wait)), "seed {seed}: {waits:?}");
        let last = requested.last().unwrap();
        assert!(*last >= 41_000 - 1610, "seed {seed}: the last request was at {last}");
        // Further attempts wait longer, up to the maximum backoff: no router keeps requesting every half
        // second.
        assert!(waits[2..].iter().all(|wait| *wait >= 1060), "seed {seed}: {waits:?}");
    }
}

#[test]
fn routers_that_started_together_spread_their_repeated_requests() {
    let mut requests_by_time = BTreeMap::<u64, u32>::new();
    for seed in 0..200 {
        request_times(seed)
            .into_iter()
            .filter(|at| *at >= 10_000)
            .for_each(|at| *requests_by_time.entry(at).or_default() += 1);
    }
    // 200 routers request about every 1.33 s, in steps of 10 ms: 1.5 requests per step on average.
    let most = requests_by_time.values().max();
    assert!(most.is_some_and(|most| *most <= 10), "{most:?} requests at the same time");
}
