//! Clients by hundreds send hundreds of commands at once, each on its own connection, and read what is sent to
//! them. The router has to stay within its limit of memory.

use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use quillpoint_review_standin_2::client::{self, Client, Reply};
use quillpoint_review_standin_2::discovery::Discovery;
use quillpoint_review_standin_2::node::Node;
use quillpoint_review_standin_2::record::Record;
use quillpoint_review_standin_2::router::{Configuration, Router};
use quillpoint_review_standin_2::{cannot_run, has_trouble, pg};

/// The router's limits: the lowest memory and the most descriptors that the pages name.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Fewer than the router admits, which is half of its descriptors.
const CLIENTS: usize = 480;
const COMMANDS: usize = 200;
const ROUNDS: usize = 4;

fn main() {
    let record = Record::create();
    let nodes = [
        Node::start(&record, "s-1", true),
        Node::start(&record, "s-2", false),
        Node::start(&record, "s-3", false),
    ];
    for node in &nodes {
        node.set_work(Duration::from_millis(30));
    }
    let discovery = Discovery::start(&nodes);
    let mut configuration = Configuration::hive(&discovery);
    configuration.memory_mb = MEMORY_MB;
    configuration.sockets = SOCKETS;
    let mut router = Router::start(&record, &configuration);
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        match Client::connect(router.address, Duration::from_secs(30)) {
            Ok(client) => clients.push(client),
            Err(error) => cannot_run(&error.to_string()),
        }
    }
    record.line(&format!("{CLIENTS} clients are connected; own memory: {} kB", router.own_memory_kb()));
    let counts = Arc::new([const { AtomicUsize::new(0) }; 4]);
    let at_once = if has_trouble() { COMMANDS } else { 1 };
    let tasks: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            let counts = Arc::clone(&counts);
            thread::spawn(move || {
                for _ in 0..ROUNDS {
                    ask_at_once(&mut client, at_once, &counts);
                    thread::sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    let mut most_kb = 0;
    while !tasks.iter().all(thread::JoinHandle::is_finished) {
        let now_kb = router.own_memory_kb();
        if now_kb > most_kb {
            most_kb = now_kb;
            record.line(&format!("the router's own memory: {now_kb} kB"));
        }
        if let Some(status) = router.ended() {
            record.broken(&format!("the router has ended: {status}"));
            break;
        }
        if now_kb > MEMORY_MB * 1024 {
            record.broken(&format!(
                "the router's own memory is {now_kb} kB with a limit of {MEMORY_MB} MB ({} kB): the platform kills it",
                MEMORY_MB * 1024
            ));
            _ = router.child.kill();
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    tasks.into_iter().for_each(|task| _ = task.join());
    let [values, refusals, errors, none] = [0, 1, 2, 3].map(|kind| counts[kind].load(Ordering::SeqCst));
    record.line(&format!(
        "answers: {values} values, {refusals} refusals, {errors} other errors, {none} none; most memory {most_kb} kB"
    ));
    println!("the most memory: {most_kb} kB");
    drop(router);
    exit(record.verdict());
}

fn ask_at_once(client: &mut Client, count: usize, counts: &[AtomicUsize; 4]) {
    let mut bytes = Vec::new();
    for _ in 0..count {
        let text = client::read(&client::new_id(), "season-history", 500, 0, "7f3a9c21");
        bytes.extend(pg::query(text.as_bytes()));
    }
    if client.send_bytes(&bytes).is_err() {
        return;
    }
    for _ in 0..count {
        let reply = client.reply();
        let kind = match &reply {
            Reply::Value(_) => 0,
            reply if reply.is_refusal() => 1,
            Reply::Empty | Reply::Error(_) => 2,
            Reply::None(_) => 3,
        };
        counts[kind].fetch_add(1, Ordering::SeqCst);
        if kind == 3 {
            return;
        }
    }
}
