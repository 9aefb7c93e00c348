//! Bad clients connect by hundreds, stop in the middle of a request and stay. The usual clients' requests are
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
use quillpoint_review_standin_2::{has_trouble, pg};

/// What the usual clients wait for a season-history.
const WAIT: Duration = Duration::from_millis(500);
/// A final answer later than this after the request's time is none: half a second, and 50 ms on sockets.
const LATEST: Duration = Duration::from_millis(550);
/// The router's limit of descriptors.
const SOCKETS: u64 = 256;
const BAD_CLIENTS: usize = 250;
const CLIENTS: usize = 10;

fn main() {
    let record = Record::create();
    let nodes = [
        Node::start(&record, "s-1", true),
        Node::start(&record, "s-2", false),
        Node::start(&record, "s-3", false),
    ];
    let discovery = Discovery::start(&nodes);
    let mut configuration = Configuration::hive(&discovery);
    configuration.sockets = SOCKETS;
    let mut router = Router::start(&record, &configuration);
    let address = router.address;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || usual_client(number, address, &record, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        for _ in 0..3 {
            record.line(&format!("{BAD_CLIENTS} bad clients connect and send half a request"));
            let bad: Vec<_> = (0..BAD_CLIENTS).map(|_| thread::spawn(move || bad_client(address))).collect();
            let ended = bad.into_iter().filter_map(|client| client.join().ok()).flatten();
            let times: Vec<f64> = ended.map(|time| time.as_secs_f64()).collect();
            let longest = times.iter().copied().fold(0.0, f64::max);
            record.line(&format!(
                "{} of them were answered or closed, the last after {longest:.2} s",
                times.len()
            ));
            thread::sleep(Duration::from_secs(1));
        }
    }
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    let asked: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    if let Some(status) = router.ended() {
        record.broken(&format!("the router has ended: {status}"));
    }
    record.line(&format!("{asked} requests of the usual clients"));
    drop(router);
    exit(record.verdict());
}

/// Asks about three times a second, each time on a connection that may be new. A request that the router
/// closed the connection on without an answer is sent once more on a new one.
fn usual_client(number: usize, router: std::net::SocketAddr, record: &Record, is_over: &AtomicBool) -> usize {
    let patience = Duration::from_secs(6);
    let mut asked = 0;
    let mut connection: Option<Client> = None;
    thread::sleep(Duration::from_millis(30 * number as u64));
    while !is_over.load(Ordering::SeqCst) {
        let id = client::new_id();
        let text = client::read(&id, "season-history", WAIT.as_millis() as u64, 0, "7f3a9c21");
        let mut answer = Asked::on(connection.as_mut(), &text);
        if matches!(answer.reply, Reply::None(_)) {
            // The connection was closed between requests, or there was none: a new one, with the query
            // directly after the startup packet.
            connection = Client::connect_and_send(router, patience, &text).ok();
            answer = Asked::sent(connection.as_mut());
        }
        let Asked { reply, took } = answer;
        if matches!(reply, Reply::None(_)) {
            connection = None;
        }
        asked += 1;
        record.line(&format!(
            "client {number}: {id}: {} after {:.1} ms",
            reply.text(),
            took.as_secs_f64() * 1e3
        ));
        if took > WAIT + LATEST {
            record.broken(&format!(
                "{id}: a request with 500 ms to live was answered ({}) only after {} ms",
                reply.text(),
                took.as_millis()
            ));
        }
        thread::sleep(Duration::from_millis(300).saturating_sub(took));
    }
    asked
}

/// The answer to a request, and how long after the request's last byte was written it came.
struct Asked {
    reply: Reply,
    took: Duration,
}

impl Asked {
    /// Asks on a connection, if there is one.
    fn on(client: Option<&mut Client>, text: &str) -> Self {
        Self::sent(client.and_then(|client| client.send(text).is_ok().then_some(client)))
    }

    /// Waits for the answer to a request that has just been written.
    fn sent(client: Option<&mut Client>) -> Self {
        let written = Instant::now();
        let reply = client.map_or_else(|| Reply::None("no connection".into()), Client::reply);
        Self { reply, took: written.elapsed() }
    }
}

/// Sends the startup packet and half a query, and stays until it is answered with an error or closed.
fn bad_client(router: std::net::SocketAddr) -> Option<Duration> {
    let query = pg::query(client::read(&client::new_id(), "season-history", 500, 0, "7f3a9c21").as_bytes());
    let begun = Instant::now();
    let mut bytes = pg::startup();
    bytes.extend(&query[..query.len() / 2]);
    let mut client = Client::connect_raw(router, Duration::from_secs(8)).ok()?;
    client.send_bytes(&bytes).ok()?;
    match client.reply() {
        Reply::None(why) if why.contains("WouldBlock") || why.contains("timed out") => None,
        _ => Some(begun.elapsed()),
    }
}
