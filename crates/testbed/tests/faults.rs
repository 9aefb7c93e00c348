//! Faults of a scale run: which routers are affected, and when a fleet has caught up and its traffic is back
//! to normal.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use quillpoint_testbed::listing::DiscoveryServer;
use quillpoint_testbed::record::Mode;
use quillpoint_testbed::scale::counters::Counters;
use quillpoint_testbed::scale::faults::{AFFECTED_ONE_IN, calm_after_s, has_caught_up, is_affected};
use serde_json::json;

#[test]
fn a_sixth_is_affected_however_routers_are_split_over_processes() {
    // Eight dedicated processes, and two that share the other routers.
    let processes = [1, 1, 1, 1, 1, 1, 1, 1, 500, 492];
    let mut before = 0;
    let mut affected = 0;
    for routers in processes {
        affected += (0..routers).filter(|index| is_affected(before + index, AFFECTED_ONE_IN)).count();
        before += routers;
    }
    assert_eq!(affected, before.div_ceil(AFFECTED_ONE_IN));
}

#[test]
fn a_real_router_has_caught_up_with_its_control_instances_and_first_snapshots() {
    let counters = |following, state| Counters { following, state, ..Counters::default() };
    let before = counters(2, 100_000);
    assert!(has_caught_up(Mode::Feed, &counters(2, 100_000), &before));
    assert!(
        has_caught_up(Mode::Feed, &counters(2, 50_000), &before),
        "the redundant half of the snapshots is pulled later"
    );
    assert!(
        !has_caught_up(Mode::Feed, &counters(2, 40_000), &before),
        "less than one snapshot of everything"
    );
    assert!(
        !has_caught_up(Mode::Feed, &counters(1, 100_000), &before),
        "only one of two control instances is followed"
    );
    assert!(
        !has_caught_up(Mode::Shared, &counters(0, 50_000), &before),
        "members receive their whole state at once"
    );
}

#[test]
fn traffic_is_calm_after_the_last_busy_second() {
    let quarter = |index: u64| index * 250_000;
    let mut quarters: Vec<(u64, u64)> = (0..40).map(|index| (quarter(index), 25)).collect();
    assert_eq!(calm_after_s(&quarters, 0, 100.0, 1.25), Some(0.0));
    quarters[10].1 = 60;
    assert_eq!(
        calm_after_s(&quarters, 0, 100.0, 1.25),
        Some(3.25),
        "the end of the last second that contains the busy quarter"
    );
    quarters[39].1 = 60;
    assert_eq!(calm_after_s(&quarters, 0, 100.0, 1.25), None, "busy at the end");
}

fn call(address: SocketAddr, from: u64) -> (usize, usize) {
    let mut stream = TcpStream::connect(address).expect("discovery listens");
    let request = format!("GET /watch?from={from}&hold_ms=1 HTTP/1.1\r\nHost: here\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("discovery reads the request");
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (0, 0);
    loop {
        let mut line = String::new();
        head += reader.read_line(&mut line).expect("discovery answers");
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().expect("Content-Length is a number");
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body is complete");
    (request.len(), head + length)
}

#[test]
fn discovery_counts_its_calls_and_their_bytes() {
    let listing = DiscoveryServer::start(json!([{"uid": "s-1"}])).expect("discovery starts");
    let before = listing.counts();
    let (first, second) = (call(listing.address, 0), call(listing.address, 1));
    // Discovery counts a call just after it has written the answer.
    while listing.counts().since(before).requests < 2 {
        std::thread::yield_now();
    }
    let counts = listing.counts().since(before);
    assert_eq!(
        (counts.requests, counts.full_lists),
        (2, 1),
        "a caller that knows the current revision gets no list"
    );
    assert_eq!(counts.bytes_in as usize, first.0 + second.0);
    assert_eq!(counts.bytes_out as usize, first.1 + second.1);
    assert!(second.1 < first.1);
}
