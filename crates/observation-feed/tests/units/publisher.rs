//! The publisher: which routers get digests, and how snapshots are paced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use quillpoint_observation_feed::message::{PARTITIONS, PartitionId};
use quillpoint_observation_feed::publisher::PublisherParams;
use quillpoint_observation_feed::{Event, Message, Publisher, encoded_size};

use crate::fixtures::{PERIOD, RecordingHost, ms, name, node, observation};

fn publisher(
    host: &RecordingHost,
    max_subscribers: usize,
    snapshot_bytes_per_second: f64,
) -> Publisher<RecordingHost> {
    let params = PublisherParams {
        health_check_period: PERIOD,
        digest_interval: ms(100),
        snapshot_bytes_per_second,
        max_subscribers,
    };
    let mut publisher = Publisher::new(host.clone(), params, 1, ms(1000));
    publisher.nodes_changed(ms(1000), &(0..200).map(node).collect());
    (0..200).for_each(|number| publisher.observe(ms(1400), observation(number, ms(1400), ms(0))));
    publisher
}

/// Advances the time; every database is seen once per period.
fn run(publisher: &mut Publisher<RecordingHost>, from: u64, until: u64) {
    for at in (from..until).step_by(10).map(ms) {
        let due = (0..200).filter(|number| u128::from(*number % 10) * 10 == at.as_millis() % 100);
        due.for_each(|number| publisher.observe(at, observation(number, at, ms(0))));
        publisher.timer_fired(at);
    }
}

#[test]
fn only_the_latest_incarnation_of_a_subscribed_router_gets_digests() {
    let host = RecordingHost::default();
    let mut publisher = publisher(&host, 2, 1e6);
    let all = || Message::Pull((0..=255).map(PartitionId).collect());
    publisher.message_arrived(ms(1000), node(9000), &name("stranger"), Incarnation(5), all());
    publisher.message_arrived(ms(1000), node(9001), &name("r1"), Incarnation(5), Message::Subscribe);
    // Messages of an earlier incarnation of the router, and messages that only control instances send, are
    // ignored.
    publisher.message_arrived(ms(1000), node(9002), &name("r1"), Incarnation(4), Message::Subscribe);
    publisher.message_arrived(ms(1000), node(9002), &name("r1"), Incarnation(4), Message::Unsubscribe);
    publisher.message_arrived(ms(1000), node(9002), &name("r1"), Incarnation(5), Message::Leaving);
    run(&mut publisher, 1000, 1390);
    assert!(host.0.borrow().sent.is_empty(), "the publisher sent something before it had warmed up");
    run(&mut publisher, 1390, 2000);
    publisher.message_arrived(ms(2000), node(9001), &name("r1"), Incarnation(5), all());
    run(&mut publisher, 2000, 3000);
    let sent = std::mem::take(&mut host.0.borrow_mut().sent);
    assert!(sent.iter().all(|(to, _)| *to == node(9001)));
    let digests = sent.iter().filter(|(_, message)| matches!(message, Message::Digest(_))).count();
    assert!((14..=17).contains(&digests), "{digests} digests");
    let chunks = sent.iter().filter_map(|(_, message)| match message {
        Message::Chunk(chunk) => Some(chunk.groups.iter().map(|(_, nodes)| nodes.len()).sum::<usize>()),
        _ => None,
    });
    assert_eq!(chunks.sum::<usize>(), 200, "the snapshots must contain each database once");
    // The maximum is two subscribers: a third is rejected. Subscriptions that are not renewed expire.
    publisher.message_arrived(ms(3000), node(9003), &name("r3"), Incarnation(1), Message::Subscribe);
    publisher.message_arrived(ms(3000), node(9004), &name("r4"), Incarnation(1), Message::Subscribe);
    assert_eq!(host.0.borrow().sent, [(node(9004), Message::SubscriptionRejected)]);
    assert_eq!(host.0.borrow().events.last(), Some(&Event::SubscriberRejected(name("r4"))));
    run(&mut publisher, 3000, 7200);
    assert_eq!(publisher.subscriber_count(), 0);
    publisher.message_arrived(ms(7200), node(9003), &name("r3"), Incarnation(1), Message::Subscribe);
    host.0.borrow_mut().sent.clear();
    publisher.leave(ms(7300));
    run(&mut publisher, 7300, 8000);
    assert_eq!(host.0.borrow().sent, [(node(9003), Message::Leaving)], "`Leaving` must be the last message");
}

#[test]
fn snapshots_are_sent_round_robin_to_the_waiting_routers() {
    let host = RecordingHost::default();
    let mut publisher = publisher(&host, 10, 1e5);
    run(&mut publisher, 1000, 1400);
    let partitions = || Message::Pull((0..PARTITIONS as u8).map(PartitionId).collect());
    for router in 0..4 {
        let router_name = name(&format!("r{router}"));
        let at = node(9000 + router);
        publisher.message_arrived(ms(1400), at, &router_name, Incarnation(5), Message::Subscribe);
        publisher.message_arrived(ms(1400), at, &router_name, Incarnation(5), partitions());
    }
    run(&mut publisher, 1400, 1500);
    let mut chunks = BTreeMap::<SocketAddr, u32>::new();
    for (to, message) in &host.0.borrow().sent {
        *chunks.entry(*to).or_default() += u32::from(matches!(message, Message::Chunk(_)));
    }
    assert!(chunks.len() == 4, "chunks by router: {chunks:?}");
    let (least, most) = (chunks.values().min().unwrap(), chunks.values().max().unwrap());
    // The budget is used up before any router has all 64 partitions.
    assert!(*least >= 10 && *most < 50 && most - least <= 1, "chunks by router: {chunks:?}");
}

#[test]
fn a_router_that_resubscribes_repeatedly_is_queued_for_snapshots_only_once() {
    let host = RecordingHost::default();
    let mut publisher = publisher(&host, 10, 1e5);
    run(&mut publisher, 1000, 1400);
    let partitions = || Message::Pull((0..PARTITIONS as u8).map(PartitionId).collect());
    let (often, once) = (name("often"), name("once"));
    let mut send = |at: u64, router: &PeerName, message: Message| {
        publisher.message_arrived(
            ms(at),
            node(9000 + u16::from(*router == once)),
            router,
            Incarnation(5),
            message,
        );
        publisher.state_bytes()
    };
    send(1400, &often, Message::Subscribe);
    let first = send(1400, &often, partitions());
    for cycle in 0..100 {
        send(1400 + cycle, &often, Message::Unsubscribe);
        send(1400 + cycle, &often, Message::Subscribe);
        assert_eq!(send(1400 + cycle, &often, partitions()), first, "state grew in cycle {cycle}");
    }
    send(1500, &once, Message::Subscribe);
    send(1500, &once, partitions());
    host.0.borrow_mut().sent.clear();
    run(&mut publisher, 1500, 1600);
    let sent = &host.0.borrow().sent;
    let chunks = |to: u16| {
        let is_chunk =
            |(at, message): &&(SocketAddr, Message)| *at == node(to) && matches!(message, Message::Chunk(_));
        sent.iter().filter(is_chunk).count()
    };
    assert!(
        chunks(9001) >= 10 && chunks(9000).abs_diff(chunks(9001)) <= 1,
        "both routers must get equally many chunks"
    );
}

/// With the largest budget that the default settings allow.
#[test]
fn snapshots_are_sent_in_small_bursts_and_still_use_the_whole_budget() {
    let rate = 8.0 * 1024.0 * 1024.0;
    let host = RecordingHost::default();
    let mut publisher = publisher(&host, 1000, rate);
    run(&mut publisher, 1000, 1500);
    let request_all = |publisher: &mut Publisher<RecordingHost>, at: Duration| {
        for router in 0..400 {
            let (router_name, address) = (name(&format!("r{router}")), node(9000 + router));
            let partitions = Message::Pull((0..PARTITIONS as u8).map(PartitionId).collect());
            publisher.message_arrived(at, address, &router_name, Incarnation(5), Message::Subscribe);
            publisher.message_arrived(at, address, &router_name, Incarnation(5), partitions);
        }
    };
    // Nothing has been requested for a while and the timer has not fired, so the budget's burst is available.
    request_all(&mut publisher, ms(1700));
    let (mut now, mut all) = (ms(1700), 0);
    while now < ms(2200) {
        host.0.borrow_mut().sent.clear();
        publisher.timer_fired(now);
        let sent = std::mem::take(&mut host.0.borrow_mut().sent);
        let bytes = sent.iter().map(|(_, message)| match message {
            Message::Chunk(chunk) => encoded_size::chunk(chunk) + 90,
            _ => 0,
        });
        let bytes: usize = bytes.sum();
        assert!(bytes <= 70_000, "{bytes} bytes in one call");
        all += bytes;
        if publisher.pending_snapshots() < 5000 {
            request_all(&mut publisher, now);
        }
        // Like a real host: fires the timer when it is due, and at least a millisecond later.
        now += host.0.borrow().timer.max(ms(1));
    }
    let most = rate * 0.55 + 10_000.0;
    assert!(all as f64 >= rate * 0.5 * 0.95 && all as f64 <= most, "{all} bytes in half a second");
}
