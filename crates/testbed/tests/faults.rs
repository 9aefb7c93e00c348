//! Faults of a scale run: who is struck, and when a run is calm, follows and holds its bounds again.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use quillpoint_testbed::listing::DiscoveryServer;
use quillpoint_testbed::record::Mode;
use quillpoint_testbed::scale::counters::Sums;
use quillpoint_testbed::scale::faults::{ONE_IN, calm_after, follows, is_struck};
use serde_json::json;

#[test]
fn a_sixth_is_struck_wherever_the_processes_begin() {
    // Eight with a process to themselves, and the others in two.
    let processes = [1, 1, 1, 1, 1, 1, 1, 1, 500, 492];
    let mut before = 0;
    let mut struck = 0;
    for routers in processes {
        struck += (0..routers).filter(|place| is_struck(before + place, ONE_IN)).count();
        before += routers;
    }
    assert_eq!(struck, before.div_ceil(ONE_IN));
}

#[test]
fn a_real_router_follows_that_has_as_many_control_instances_and_its_first_copies() {
    let sums = |following, state| Sums { following, state, ..Sums::default() };
    let before = sums(2, 100_000);
    assert!(follows(Mode::Feed, &sums(2, 100_000), &before));
    assert!(follows(Mode::Feed, &sums(2, 50_000), &before), "half of the copies are fetched later");
    assert!(!follows(Mode::Feed, &sums(2, 40_000), &before), "a first copy is missing");
    assert!(!follows(Mode::Feed, &sums(1, 100_000), &before), "one of two is not heard");
    assert!(!follows(Mode::Shared, &sums(0, 50_000), &before), "members fetch no halves");
}

#[test]
fn it_is_calm_when_no_second_is_loud_any_more() {
    let quarter = |place: u64| place * 250_000;
    let mut quarters: Vec<(u64, u64)> = (0..40).map(|place| (quarter(place), 25)).collect();
    assert_eq!(calm_after(&quarters, 0, 100.0, 1.25), Some(0.0));
    quarters[10].1 = 60;
    assert_eq!(
        calm_after(&quarters, 0, 100.0, 1.25),
        Some(3.25),
        "the last second with the loud quarter in it"
    );
    quarters[39].1 = 60;
    assert_eq!(calm_after(&quarters, 0, 100.0, 1.25), None, "loud at the end");
}

fn call(address: SocketAddr, from: u64) -> (usize, usize) {
    let mut stream = TcpStream::connect(address).expect("discovery listens");
    let asked = format!("GET /watch?from={from}&hold_ms=1 HTTP/1.1\r\nHost: here\r\n\r\n");
    stream.write_all(asked.as_bytes()).expect("it reads");
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (0, 0);
    loop {
        let mut line = String::new();
        head += reader.read_line(&mut line).expect("it answers");
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().expect("a number");
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("it is whole");
    (asked.len(), head + length)
}

#[test]
fn discovery_counts_its_calls_and_their_bytes() {
    let listing = DiscoveryServer::start(json!([{"uid": "s-1"}])).expect("it listens");
    let before = listing.counts();
    let (first, second) = (call(listing.address, 0), call(listing.address, 1));
    // What was answered is counted right after it was written.
    while listing.counts().since(before).requests < 2 {
        std::thread::yield_now();
    }
    let counts = listing.counts().since(before);
    assert_eq!((counts.requests, counts.full_lists), (2, 1), "who knows the revision is told of none");
    assert_eq!(counts.bytes_in as usize, first.0 + second.0);
    assert_eq!(counts.bytes_out as usize, first.1 + second.1);
    assert!(second.1 < first.1);
}
