//! A router is killed and comes back with its last list. Meanwhile a node of one group has gone, and its address has
//! been given to a new node, under a new id, of another group. Do requests go to nodes of their own group?

use std::io;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standin::*;

const GROUPS: u64 = 2;
const NODES_PER_GROUP: u64 = 3;
const CLIENTS: u64 = 8;
const WAIT_MS: u64 = 500;
/// How long after the restarted router was told the case waits before it judges.
const TOLD_FOR: Duration = Duration::from_secs(1);

/// What the clients have seen since the case began to judge.
#[derive(Default)]
struct Seen {
    judges: AtomicBool,
    own_group: AtomicUsize,
    other_group: AtomicUsize,
    refused_or_failed: AtomicUsize,
    never_answered: AtomicUsize,
    examples: Mutex<Vec<String>>,
}

impl Seen {
    fn count(&self, counter: &AtomicUsize, example: Option<String>, record: &Record) {
        if !self.judges.load(Ordering::SeqCst) {
            return;
        }
        counter.fetch_add(1, Ordering::SeqCst);
        if let Some(example) = example {
            record.line(format_args!("BROKEN: {example}"));
            self.examples.lock().unwrap().push(example);
        }
    }
}

/// Sends a request on the connection that is kept, or on a new one, and returns its answer.
fn ask(kept: &mut Option<Client>, address: SocketAddr, statement: &str) -> Reply {
    if kept.is_none() {
        *kept = Client::connect(address).ok();
    }
    let Some(client) = kept.as_mut() else { return Reply::Closed };
    let reply = match client.send(statement) {
        Ok(()) => client.reply_before(Instant::now() + Duration::from_millis(WAIT_MS + 600)),
        Err(_) => Reply::Closed,
    };
    if matches!(reply, Reply::Closed | Reply::Nothing) {
        *kept = None;
    }
    reply
}

fn client(number: u64, address: SocketAddr, ids: &Ids, seen: &Seen, stop: &AtomicBool, record: &Record) {
    let group = number % GROUPS;
    let mut kept = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(100));
        let id = ids.next();
        let statement = read_statement(&id, "read", WAIT_MS, group, &format!("k-{number}"));
        let mut reply = ask(&mut kept, address, &statement);
        record.line(format_args!("client {number} sent {statement} and got {reply:?}"));
        if reply == Reply::Closed {
            // It may have crossed the end of the connection: once more, on a new one.
            reply = ask(&mut kept, address, &statement);
            record.line(format_args!("client {number} sent {id} once more and got {reply:?}"));
        }
        match &reply {
            Reply::Value(value) if value.starts_with(&format!("group {group} ")) => {
                seen.count(&seen.own_group, None, record);
            }
            Reply::Value(value) => {
                let example = format!("request {id} of group {group} was served {value:?}");
                seen.count(&seen.other_group, Some(example), record);
            }
            Reply::Refused { .. } | Reply::Failed { .. } => seen.count(&seen.refused_or_failed, None, record),
            Reply::Closed | Reply::Nothing => {
                let example = format!("request {id} of group {group} got no answer, nor when sent once more");
                seen.count(&seen.never_answered, Some(example), record);
            }
        }
    }
}

fn node(
    uid: &str,
    address: SocketAddr,
    group: u64,
    primary: bool,
    record: &Arc<Record>,
) -> io::Result<Arc<Node>> {
    Node::start(
        NodeSpec { uid, address, group, primary, work_ms: (10.0, 20.0), slots: usize::MAX },
        record,
        None,
    )
}

/// Takes a node away as a platform does: listed as draining, then ended, then off the list.
fn take_away(entry: &Entry, node: &Node, discovery: &Discovery) {
    discovery.change(&[Entry { state: "terminating", ..entry.clone() }]);
    thread::sleep(Duration::from_millis(800));
    node.stop();
    thread::sleep(Duration::from_millis(300));
    discovery.change(&[Entry { state: "terminated", ..entry.clone() }]);
}

fn run(folders: &Folders, record: &Arc<Record>) -> io::Result<i32> {
    let mut nodes = Vec::new();
    for number in 0..GROUPS * NODES_PER_GROUP {
        let (group, primary) = (number / NODES_PER_GROUP, number % NODES_PER_GROUP == 0);
        let address = "127.0.0.1:0".parse().unwrap();
        nodes.push(node(&format!("s-{number}"), address, group, primary, record)?);
    }
    let entries: Vec<Entry> = nodes.iter().map(|node| Entry::of(node, 0)).collect();
    let discovery = Discovery::start(41, entries.clone(), record)?;
    let read = Class {
        name: "read",
        needs: "loose",
        bound_ms: 0.0,
        semantics: "free",
        goal_ms: 150.0,
        give_up_ms: WAIT_MS as f64,
        value: 1.0,
    };
    let mut config = Config {
        listen: free_address()?,
        discovery: discovery.address,
        sockets: 1024,
        routers: 2,
        classes: vec![read],
        known: list_json(41, true, &entries),
        probe_reports: false,
        only_draining_binds: true,
    };
    // Of the two routers one is killed: no more than half.
    let other = Router::start(&folders.root, &folders.temporary, "n2", &config, record)?;
    config.listen = free_address()?;
    let start = || Router::start(&folders.root, &folders.temporary, "n1", &config, record);
    let mut router = start()?;
    router.await_ready()?;
    other.await_ready()?;
    let addresses = [router.address, other.address];
    let (ids, seen, stop) =
        (Arc::new(Ids::new()), Arc::new(Seen::default()), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (ids, seen, stop) = (Arc::clone(&ids), Arc::clone(&seen), Arc::clone(&stop));
        let record = Arc::clone(record);
        let address = addresses[(number / GROUPS % 2) as usize];
        clients.push(thread::spawn(move || client(number, address, &ids, &seen, &stop, &record)));
    }
    thread::sleep(Duration::from_secs(3));
    if !is_calm() {
        record.line("router n1 is killed");
        drop(router);
        router = {
            replace_node(&mut nodes, &entries, &discovery, record)?;
            record.line("router n1 comes back with its last list, version 41");
            start()?
        };
        router.await_ready()?;
    } else {
        replace_node(&mut nodes, &entries, &discovery, record)?;
    }
    thread::sleep(TOLD_FOR);
    seen.judges.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(5));
    record.line("the new node is taken away in its turn");
    let new = Arc::clone(&nodes[nodes.len() - 1]);
    take_away(&Entry::of(&new, 0), &new, &discovery);
    thread::sleep(Duration::from_secs(5));
    seen.judges.store(false, Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        _ = client.join();
    }
    let load = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let has_ended = router.ended();
    let panics = router.log.lock().unwrap().iter().filter(|line| line.contains("panicked at")).count();
    record.say(format_args!(
        "requests served by their own group: {}; by another group: {}; refused or failed: {}; never answered: {}; panics in the router's log: {panics}; its process ended: {}",
        load(&seen.own_group),
        load(&seen.other_group),
        load(&seen.refused_or_failed),
        load(&seen.never_answered),
        has_ended.is_some()
    ));
    for example in seen.examples.lock().unwrap().iter().take(3) {
        record.say(example);
    }
    if load(&seen.own_group) < 50 {
        record.say("too few requests were served: the case could not run");
        return Ok(COULD_NOT_RUN);
    }
    let broken = load(&seen.other_group) + load(&seen.never_answered);
    Ok(if broken > 0 || has_ended.is_some() { BROKEN } else { HELD })
}

/// The last node of group 0 goes; 0.7 s later a new node of group 1 starts at the address that is free again.
fn replace_node(
    nodes: &mut Vec<Arc<Node>>,
    entries: &[Entry],
    discovery: &Discovery,
    record: &Arc<Record>,
) -> io::Result<()> {
    let last = NODES_PER_GROUP as usize - 1;
    take_away(&entries[last], &nodes[last], discovery);
    thread::sleep(Duration::from_millis(700));
    let new = node("s-9", entries[last].endpoint, 1, false, record)?;
    discovery.change(&[Entry::of(&new, unix_ms() as u64)]);
    nodes.push(new);
    thread::sleep(Duration::from_millis(1000));
    Ok(())
}

fn main() {
    let Some(folders) = Folders::from_arguments() else { exit(COULD_NOT_RUN) };
    let Ok(record) = Record::create(&folders.case.join("record.txt")) else { exit(COULD_NOT_RUN) };
    let status = run(&folders, &record).unwrap_or_else(|error| {
        record.say(format_args!("the case could not run: {error}"));
        COULD_NOT_RUN
    });
    record.flush();
    exit(status);
}
