//! A rolling deploy replaces a replica of one group; the address goes to a new machine of another group. Both
//! are told in one answer of discovery.

use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use quillpoint_review_standin_2::client::{self, Client, Reply};
use quillpoint_review_standin_2::discovery::{Discovery, Target, targets_json};
use quillpoint_review_standin_2::node::{Identity, Node};
use quillpoint_review_standin_2::record::Record;
use quillpoint_review_standin_2::router::{Configuration, Router};
use quillpoint_review_standin_2::{cannot_run, has_trouble, unix_ms};

fn main() {
    let record = Record::create();
    let node = |uid, group, is_primary| Node::start(&record, uid, group, is_primary);
    let nodes = [
        node("s-1", 0, true),
        node("s-2", 0, false),
        node("s-3", 0, false),
        node("s-4", 1, true),
        node("s-5", 1, false),
    ];
    let target = |index: usize, uid, group, role| Target::new(uid, nodes[index].address, group, role);
    let targets = [
        target(0, "s-1", 0, "primary"),
        target(1, "s-2", 0, "replica"),
        target(2, "s-3", 0, "replica"),
        target(3, "s-4", 1, "primary"),
        target(4, "s-5", 1, "replica"),
    ];
    let discovery = Discovery::start(&record, &targets);
    let mut router = Router::start(&record, &Configuration::mdn(discovery.address, targets_json(&targets)));
    let mut clients = Vec::new();
    for _ in 0..2 {
        match Client::connect(router.address, Duration::from_secs(5)) {
            Ok(client) => clients.push(client),
            Err(error) => cannot_run(&error.to_string()),
        }
    }
    ask_for(&record, &mut clients, Duration::from_secs(3));

    // The replica s-3 of group 0 drains, and ends after its grace.
    let terminating = Target { state: "terminating", ..targets[2].clone() };
    discovery.change(&[terminating]);
    ask_for(&record, &mut clients, Duration::from_millis(2500));
    nodes[2].stop();
    let ended = Target { state: "terminated", ..targets[2].clone() };
    let new_machine = if has_trouble() {
        // Its address goes to the new machine s-9 of group 1.
        let machine =
            Identity { uid: "s-9".into(), group: 1, is_primary: false, lag: Duration::from_millis(8) };
        nodes[2].become_machine(machine);
        nodes[2].clone()
    } else {
        // The new machine s-9 of group 1 has an address of its own.
        node("s-9", 1, false)
    };
    let started = Target { boot_ms: unix_ms(), ..Target::new("s-9", new_machine.address, 1, "replica") };
    discovery.change(&[ended, started.clone()]);
    let replaced = quillpoint_review_standin_2::unix();
    ask_for(&record, &mut clients, Duration::from_secs(10));

    // Later the new machine drains in its turn, and ends after its grace.
    discovery.change(&[Target { state: "terminating", ..started.clone() }]);
    ask_for(&record, &mut clients, Duration::from_millis(2500));
    new_machine.stop();
    discovery.change(&[Target { state: "terminated", ..started }]);
    ask_for(&record, &mut clients, Duration::from_secs(4));

    for node in &nodes {
        let identity = node.identity();
        let foreign = |arrival: &&quillpoint_review_standin_2::node::Arrival| {
            arrival.at > replaced && arrival.group != identity.group
        };
        let arrivals = node.arrivals();
        let foreign: Vec<_> = arrivals.iter().filter(foreign).collect();
        if let Some(first) = foreign.first() {
            record.broken(&format!(
                "{} of group {} got {} requests of another group; the first: {}",
                identity.uid,
                identity.group,
                foreign.len(),
                first.text
            ));
        }
    }
    if let Some(status) = router.ended() {
        record.broken(&format!("the router has ended: {status}"));
    }
    drop(router);
    exit(record.verdict());
}

/// Asks both groups, by turns, about 40 times a second. A value has to be that of the group that was asked.
fn ask_for(record: &Record, clients: &mut [Client], time: Duration) {
    let end = Instant::now() + time;
    let mut group = 0;
    let mut count = 0;
    while Instant::now() < end {
        let id = client::new_id();
        let client = &mut clients[group as usize];
        // Engineers' own reads, without a write before, and lookups.
        let (class, wait_ms) = if count % 4 < 2 { ("own-read", 1200) } else { ("lookup", 2000) };
        count += 1;
        let reply = client.ask(&client::read(&id, class, wait_ms, group, "7f3a9c21"));
        record.line(&format!("client: {id} asks group {group}: {}", reply.text()));
        match &reply {
            Reply::Value(value) if !value.starts_with(format!("group {group} ").as_bytes()) => {
                record.broken(&format!("{id} asked group {group} and got: {}", reply.text()));
            }
            Reply::None(_) => {
                record.broken(&format!("{id} has got no answer: {}", reply.text()));
                return;
            }
            _ => {}
        }
        group = 1 - group;
        thread::sleep(Duration::from_millis(20));
    }
}
