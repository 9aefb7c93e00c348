//! Some good answers of the nodes carry a second copy directly behind them. Is each client served the value that a
//! node made for its own request, has each write run that was answered as done, and has none run twice?

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standin::*;

/// The share of the good answers that carry a second copy.
const SHARE: f64 = 0.05;
const RUN_FOR: Duration = Duration::from_secs(40);
const ROUTERS: [&str; 2] = ["n1", "n2"];
const NODES: usize = 5;
/// A node works on four requests at a time, and turns away more: its queue is full.
const SLOTS: usize = 4;
/// So many clients, with these pauses between two requests, send some 260 requests a second, 45 of them writes.
const CLIENTS: usize = 30;
const PAUSE_MS: (f64, f64) = (40.0, 120.0);
const WRITES: f64 = 0.17;
const READ_WAIT_MS: u64 = 500;
const WRITE_WAIT_MS: u64 = 3000;

/// Whether nothing waits on the connection: no further request has arrived.
fn nothing_waits(stream: &TcpStream) -> bool {
    _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// What became of the requests.
#[derive(Default)]
struct Seen {
    own: AtomicUsize,
    not_served: AtomicUsize,
    foreign: Mutex<Vec<String>>,
    /// Each write that its client was told is done.
    done_writes: Mutex<Vec<String>>,
}

fn client(number: usize, address: SocketAddr, ids: &Ids, seen: &Seen, stop: &AtomicBool, record: &Record) {
    let random = Random::new(number as u64 * 7919 + 17);
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_secs_f64(random.between(PAUSE_MS.0, PAUSE_MS.1) / 1000.0));
        if connection.is_none() {
            connection = Client::connect(address).ok();
        }
        let Some(open) = connection.as_mut() else { continue };
        let (id, key) = (ids.next(), format!("k{number}"));
        let is_write = random.fraction() < WRITES;
        let (wait, statement) = if is_write {
            (WRITE_WAIT_MS, write_statement(&id, "write", WRITE_WAIT_MS, 0, &key))
        } else {
            (READ_WAIT_MS, read_statement(&id, "read", READ_WAIT_MS, 0, &key))
        };
        let sent = Instant::now();
        if open.send(&statement).is_err() {
            connection = None;
            continue;
        }
        let reply = open.reply_before(Instant::now() + Duration::from_millis(wait + 600));
        let verb = if is_write { "write" } else { "read" };
        let took = sent.elapsed().as_secs_f64() * 1000.0;
        match &reply {
            Reply::Value(value) => {
                if is_write {
                    seen.done_writes.lock().unwrap().push(id.clone());
                }
                if value.ends_with(&format!(" for {id}")) {
                    record.line(format_args!("c{number} sent {verb} {id}: own value, {took:.0} ms"));
                    seen.own.fetch_add(1, Ordering::SeqCst);
                } else {
                    let line = format!("{verb} {id} was served {value:?}");
                    record.line(format_args!("c{number} sent {verb} {id}: FOREIGN, {took:.0} ms: {value:?}"));
                    seen.foreign.lock().unwrap().push(line);
                }
            }
            other => {
                record.line(format_args!("c{number} sent {verb} {id}: {other:?}, {took:.0} ms"));
                seen.not_served.fetch_add(1, Ordering::SeqCst);
            }
        }
        if matches!(reply, Reply::Closed | Reply::Nothing) {
            connection = None;
        }
    }
}

fn start_nodes(copies: &Arc<AtomicUsize>, record: &Arc<Record>) -> io::Result<Vec<Arc<Node>>> {
    let mut nodes = Vec::new();
    for number in 0..NODES {
        let copies = Arc::clone(copies);
        let after = move |node: &Node, stream: &mut TcpStream, answer: &[u8]| {
            if !is_calm() && node.random.fraction() < SHARE && nothing_waits(stream) {
                copies.fetch_add(1, Ordering::SeqCst);
                stream.write_all(answer)?;
                node.record.line(format_args!("{} wrote its last answer a second time", node.uid));
            }
            Ok(())
        };
        let spec = NodeSpec {
            uid: &format!("s-{number}"),
            address: "127.0.0.1:0".parse().unwrap(),
            group: 0,
            primary: number == 0,
            work_ms: (25.0, 43.0),
            slots: SLOTS,
        };
        nodes.push(Node::start(spec, record, Some(Box::new(after)))?);
    }
    Ok(nodes)
}

fn run(folders: &Folders, record: &Arc<Record>) -> io::Result<i32> {
    let copies = Arc::new(AtomicUsize::new(0));
    let nodes = start_nodes(&copies, record)?;
    let entries: Vec<Entry> = nodes.iter().map(|node| Entry::of(node, 0)).collect();
    let discovery = Discovery::start(41, entries.clone(), record)?;
    let read = Class {
        name: "read",
        needs: "loose",
        bound_ms: 0.0,
        semantics: "free",
        goal_ms: 150.0,
        give_up_ms: READ_WAIT_MS as f64,
        value: 1.0,
    };
    let write = Class {
        name: "write",
        needs: "update",
        bound_ms: 0.0,
        semantics: "single_shot",
        goal_ms: 300.0,
        give_up_ms: WRITE_WAIT_MS as f64,
        value: 6.0,
    };
    let mut config = Config {
        listen: free_address()?,
        discovery: discovery.address,
        sockets: 1024,
        routers: ROUTERS.len(),
        classes: vec![read, write],
        known: list_json(41, true, &entries),
        probe_reports: false,
        only_draining_binds: false,
    };
    let mut routers = Vec::new();
    for name in ROUTERS {
        config.listen = free_address()?;
        routers.push(Router::start(&folders.root, &folders.temporary, name, &config, record)?);
    }
    for router in &routers {
        router.await_ready()?;
    }
    record.line(format_args!("reads: {}", read_statement("ID", "read", READ_WAIT_MS, 0, "kN")));
    record.line(format_args!("writes: {}", write_statement("ID", "write", WRITE_WAIT_MS, 0, "kN")));
    let (ids, seen, stop) =
        (Arc::new(Ids::new()), Arc::new(Seen::default()), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        record.line(format_args!("reads: {}", read_statement("ID", "read", READ_WAIT_MS, 0, "kN")));
        record.line(format_args!("writes: {}", write_statement("ID", "write", WRITE_WAIT_MS, 0, "kN")));
        let (ids, seen, stop) = (Arc::clone(&ids), Arc::clone(&seen), Arc::clone(&stop));
        let (record, address) = (Arc::clone(record), routers[number % ROUTERS.len()].address);
        clients.push(thread::spawn(move || client(number, address, &ids, &seen, &stop, &record)));
    }
    thread::sleep(RUN_FOR);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        _ = client.join();
    }
    // Whatever a node still works on ends within this time.
    thread::sleep(Duration::from_millis(500));
    if let Some(status) = routers.iter_mut().find_map(Router::ended) {
        record.say(format_args!("a router ended: {status}"));
        return Ok(COULD_NOT_RUN);
    }
    Ok(judge(&nodes, &seen, copies.load(Ordering::SeqCst), record))
}

fn judge(nodes: &[Arc<Node>], seen: &Seen, copies: usize, record: &Record) -> i32 {
    let mut runs_of_writes: BTreeMap<String, usize> = BTreeMap::new();
    for node in nodes {
        for (id, is_write) in node.runs.lock().unwrap().iter() {
            if *is_write {
                *runs_of_writes.entry(id.clone()).or_default() += 1;
            }
        }
    }
    let done = seen.done_writes.lock().unwrap();
    let never_run: Vec<&String> = done.iter().filter(|id| !runs_of_writes.contains_key(*id)).collect();
    let run_twice: Vec<&String> =
        runs_of_writes.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id).collect();
    let foreign = seen.foreign.lock().unwrap();
    let foreign_writes = foreign.iter().filter(|line| line.starts_with("write")).count();
    let own = seen.own.load(Ordering::SeqCst);
    record.say(format_args!(
        "second copies: {copies}; served their own value: {own}; served another request's value: {} \
         ({foreign_writes} writes); not served: {}; writes answered as done: {}, of them never run: {}; writes run \
         twice: {}",
        foreign.len(),
        seen.not_served.load(Ordering::SeqCst),
        done.len(),
        never_run.len(),
        run_twice.len()
    ));
    for line in foreign.iter().take(2) {
        record.say(line);
    }
    for id in never_run.iter().take(2) {
        record.say(format_args!("write {id} was answered as done, and no node has run it"));
    }
    for id in run_twice.iter().take(2) {
        record.say(format_args!("write {id} has run twice"));
    }
    if own < 5000 {
        record.say("too few requests were served: the case could not run");
        return COULD_NOT_RUN;
    }
    if foreign.is_empty() && never_run.is_empty() && run_twice.is_empty() { HELD } else { BROKEN }
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
