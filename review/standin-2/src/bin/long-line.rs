//! One bad client sends a statement of a class that does not exist, as one long line. The usual clients are
//! owed their final answers all the same.

use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use quillpoint_review_standin_2::client::{self, Client, Reply};
use quillpoint_review_standin_2::discovery::Discovery;
use quillpoint_review_standin_2::node::Node;
use quillpoint_review_standin_2::record::Record;
use quillpoint_review_standin_2::router::{Configuration, Router};
use quillpoint_review_standin_2::{cannot_run, has_trouble};

/// What the usual clients wait for a season-history.
const WAIT: Duration = Duration::from_millis(500);
/// A final answer later than this after the request's time is none: half a second, and 50 ms on sockets.
const LATEST: Duration = Duration::from_millis(550);
/// The bytes of the bad client's statement: less than the longest message that a client may send.
const LINE_BYTES: usize = 130_000;
const CLIENTS: usize = 6;

fn main() {
    let record = Record::create();
    let nodes = [
        Node::start(&record, "s-1", true),
        Node::start(&record, "s-2", false),
        Node::start(&record, "s-3", false),
    ];
    let discovery = Discovery::start(&nodes);
    let mut router = Router::start(&record, &Configuration::hive(&discovery));
    let address = router.address;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || usual_client(number, address, &record, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let bad = has_trouble().then(|| {
        let record = record.clone();
        thread::spawn(move || bad_client(address, &record))
    });
    thread::sleep(Duration::from_secs(22));
    is_over.store(true, Ordering::SeqCst);
    let asked: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    if let Some(bad) = bad {
        _ = bad.join();
    }
    if let Some(status) = router.ended() {
        record.broken(&format!("the router has ended: {status}"));
    }
    record.line(&format!("{asked} requests of the usual clients"));
    drop(router);
    exit(record.verdict());
}

/// Asks four times a second, on one connection, and on a new one if that was closed between requests.
fn usual_client(number: usize, router: std::net::SocketAddr, record: &Record, is_over: &AtomicBool) -> usize {
    let patience = Duration::from_secs(20);
    let mut asked = 0;
    let Ok(mut client) = Client::connect(router, patience) else { cannot_run("a client is not let in") };
    thread::sleep(Duration::from_millis(40 * number as u64));
    while !is_over.load(Ordering::SeqCst) {
        let id = client::new_id();
        let sent = Instant::now();
        let reply = client.ask(&client::read(&id, "season-history", WAIT.as_millis() as u64, 0, "7f3a9c21"));
        let took = sent.elapsed();
        asked += 1;
        record.line(&format!(
            "client {number}: {id}: {} after {:.1} ms",
            reply.text(),
            took.as_secs_f64() * 1e3
        ));
        if matches!(reply, Reply::None(_)) || took > WAIT + LATEST {
            record.broken(&format!(
                "{id}: a request with 500 ms to live was answered ({}) only after {} ms",
                reply.text(),
                took.as_millis()
            ));
        }
        if matches!(reply, Reply::None(_)) {
            match Client::connect(router, patience) {
                Ok(next) => client = next,
                Err(_) => return asked,
            }
        }
        thread::sleep(Duration::from_millis(250).saturating_sub(took));
    }
    asked
}

fn bad_client(router: std::net::SocketAddr, record: &Record) {
    let mut line = format!("/* id={},c=no-such-class,d=500,cluster=0 */ SELECT 1", client::new_id());
    line.extend(std::iter::repeat_n(';', LINE_BYTES - line.len()));
    let Ok(mut client) = Client::connect(router, Duration::from_secs(30)) else { return };
    let sent = Instant::now();
    record.line(&format!("bad client: sends a line of {LINE_BYTES} bytes"));
    let reply = client.ask(&line);
    record.line(&format!("bad client: {} after {:.1} ms", reply.text(), sent.elapsed().as_secs_f64() * 1e3));
}
