//! Bad clients stop in the middle of a request and stay. A usual client opens a further connection and sends four
//! commands at once. Does each of them get its final answer?

use std::io;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standin::*;

/// Of a router's descriptors, of which its clients may take 120.
const SOCKETS: usize = 256;
const BAD_CLIENTS: usize = 130;
const CALM_BEFORE: Duration = Duration::from_secs(3);
const TROUBLE_FOR: Duration = Duration::from_secs(12);
const CALM_AFTER: Duration = Duration::from_secs(4);
/// How many commands a client sends at once, and how long it waits for each.
const COMMANDS: usize = 4;
const WAIT_MS: u64 = 500;
/// How long a client looks for what still comes: far longer than an answer is of use.
const LOOK: Duration = Duration::from_secs(6);

/// Sends half a request and stays until it gets its error or close; then comes again at once.
fn bad_client(number: usize, address: SocketAddr, stop: &AtomicBool, record: &Record) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut client) = Client::connect(address) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let whole = pg::query(&read_statement(&format!("{number:016x}"), "read", WAIT_MS, 0, "half"));
        if client.send_bytes(&whole[..whole.len() / 2]).is_err() {
            continue;
        }
        record.line(format_args!("bad client {number} has sent half a request and stays"));
        let reply = client.reply_before(Instant::now() + Duration::from_secs(10));
        record.line(format_args!("bad client {number} got {reply:?}"));
    }
}

/// What became of the commands that a client sent at once.
struct Batch {
    ids: Vec<String>,
    replies: Vec<Reply>,
}

fn send_batch(ids: Vec<String>, address: SocketAddr, record: &Record) -> Option<Batch> {
    let mut client = Client::connect(address).ok()?;
    let statements: Vec<String> =
        ids.iter().map(|id| read_statement(id, "read", WAIT_MS, 0, &format!("k-{id}"))).collect();
    let bytes: Vec<u8> = statements.iter().flat_map(|statement| pg::query(statement)).collect();
    if client.send_bytes(&bytes).is_err() {
        record.line(format_args!("commands {ids:?} were not sent whole"));
        return None;
    }
    let sent = Instant::now();
    for statement in &statements {
        record.line(format_args!("a usual client sends, {COMMANDS} at once: {statement}"));
    }
    let mut replies = Vec::new();
    for id in &ids {
        let reply = client.reply_before(sent + LOOK);
        let took = sent.elapsed().as_secs_f64() * 1000.0;
        record.line(format_args!("command {id} got after {took:.1} ms: {reply:?}"));
        let is_end = matches!(reply, Reply::Closed | Reply::Nothing);
        replies.push(reply);
        if is_end {
            break;
        }
    }
    Some(Batch { ids, replies })
}

fn run(folders: &Folders, record: &Arc<Record>) -> io::Result<i32> {
    let mut nodes = Vec::new();
    for number in 0..5 {
        let spec = NodeSpec {
            uid: &format!("s-{number}"),
            address: "127.0.0.1:0".parse().unwrap(),
            group: 0,
            primary: number == 0,
            work_ms: (25.0, 43.0),
            slots: usize::MAX,
        };
        nodes.push(Node::start(spec, record, None)?);
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
    let config = Config {
        listen: free_address()?,
        discovery: discovery.address,
        sockets: SOCKETS,
        routers: 1,
        classes: vec![read],
        known: list_json(41, true, &entries),
        probe_reports: false,
        only_draining_binds: false,
    };
    let mut router = Router::start(&folders.root, &folders.temporary, "n1", &config, record)?;
    router.await_ready()?;
    let address = router.address;
    let stop_bad = Arc::new(AtomicBool::new(false));
    let ids = Ids::new();
    let batches: Arc<Mutex<Vec<Batch>>> = Arc::default();
    let unsent = Arc::new(AtomicUsize::new(0));
    let (mut bad, mut usual) = (Vec::new(), Vec::new());
    let mut has_trouble_begun = false;
    let started = Instant::now();
    // Four times a second a client opens a further connection.
    while started.elapsed() < CALM_BEFORE + TROUBLE_FOR + CALM_AFTER {
        if started.elapsed() >= CALM_BEFORE && !has_trouble_begun {
            has_trouble_begun = true;
            let count = if is_calm() { 0 } else { BAD_CLIENTS };
            record.line(format_args!("{count} bad clients come"));
            for number in 0..count {
                let (stop, record) = (Arc::clone(&stop_bad), Arc::clone(record));
                bad.push(thread::spawn(move || bad_client(number, address, &stop, &record)));
            }
        }
        stop_bad.fetch_or(started.elapsed() >= CALM_BEFORE + TROUBLE_FOR, Ordering::SeqCst);
        let batch_ids: Vec<String> = (0..COMMANDS).map(|_| ids.next()).collect();
        let (batches, unsent, record) = (Arc::clone(&batches), Arc::clone(&unsent), Arc::clone(record));
        usual.push(thread::spawn(move || match send_batch(batch_ids, address, &record) {
            Some(batch) => batches.lock().unwrap().push(batch),
            None => _ = unsent.fetch_add(COMMANDS, Ordering::SeqCst),
        }));
        thread::sleep(Duration::from_millis(250));
    }
    for thread in usual {
        _ = thread.join();
    }
    if let Some(status) = router.ended() {
        record.say(format_args!("the router ended: {status}"));
        return Ok(COULD_NOT_RUN);
    }
    // A connection that is shut with no answer at all crossed its commands, or was shut unread: they are sent once
    // more, and none is lost. One whose first command was answered was not shut unread.
    let (mut answered, mut shut_unread, mut lost) = (0, 0, 0);
    for Batch { ids, replies } in batches.lock().unwrap().iter() {
        let finals = replies.iter().filter(|reply| !matches!(reply, Reply::Closed | Reply::Nothing)).count();
        answered += finals;
        let was_shut_unread = finals == 0 && replies.first() == Some(&Reply::Closed);
        if was_shut_unread {
            shut_unread += COMMANDS;
            continue;
        }
        for id in &ids[finals..] {
            lost += 1;
            record.line(format_args!("LOST: {id}; the answers on its connection: {replies:?}"));
        }
    }
    record.say(format_args!(
        "commands with a final answer: {answered}; on connections shut with no answer: {shut_unread}; not sent: {}; \
         never answered though an earlier one on the connection was: {lost}",
        unsent.load(Ordering::SeqCst)
    ));
    drop(router);
    for thread in bad {
        _ = thread.join();
    }
    if answered < 50 {
        record.say("too few commands were answered: the case could not run");
        return Ok(COULD_NOT_RUN);
    }
    Ok(if lost > 0 { BROKEN } else { HELD })
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
