//! A planned restart, while clients send many commands at once. What the router has taken is owed an answer
//! before it ends.

use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use quillpoint_review_standin_2::client::{self, Client, Reply};
use quillpoint_review_standin_2::discovery::Discovery;
use quillpoint_review_standin_2::node::Node;
use quillpoint_review_standin_2::record::Record;
use quillpoint_review_standin_2::router::{Configuration, Router};
use quillpoint_review_standin_2::{cannot_run, has_trouble, pg};

/// Less than a third of the descriptors.
const CLIENTS: usize = 300;
const COMMANDS: usize = 100;
/// The platform kills the router no earlier than the longest deadline (3 s) and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// What was written whole this long before the connection's end has not crossed it.
const CROSSING: Duration = Duration::from_millis(250);

#[derive(Default)]
struct Counts {
    values: AtomicUsize,
    refusals: AtomicUsize,
    others: AtomicUsize,
    /// Without an answer, and written just before the end of their connection.
    crossed: AtomicUsize,
    /// Without an answer, and written long before.
    lost: AtomicUsize,
}

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
    let mut router = Router::start(&record, &Configuration::hive(&discovery));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        match Client::connect(router.address, Duration::from_secs(10)) {
            Ok(client) => clients.push(client),
            Err(error) => cannot_run(&error.to_string()),
        }
    }
    let (counts, is_over) = (Arc::<Counts>::default(), Arc::new(AtomicBool::new(false)));
    let tasks: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| {
            let (record, counts, is_over) = (record.clone(), Arc::clone(&counts), Arc::clone(&is_over));
            thread::spawn(move || ask_on(number, client, &record, &counts, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        router.signal("TERM");
        let told = Instant::now();
        while router.ended().is_none() && told.elapsed() < KILL_AFTER {
            thread::sleep(Duration::from_millis(2));
        }
        match router.ended() {
            Some(status) => {
                record.line(&format!(
                    "the router ended {} ms after SIGTERM: {status}",
                    told.elapsed().as_millis()
                ));
            }
            None => {
                record.line("the platform kills the router");
                _ = router.child.kill();
            }
        }
    } else {
        thread::sleep(KILL_AFTER);
    }
    is_over.store(true, Ordering::SeqCst);
    tasks.into_iter().for_each(|task| _ = task.join());
    let [values, refusals, others, crossed, lost] =
        [&counts.values, &counts.refusals, &counts.others, &counts.crossed, &counts.lost]
            .map(|count| count.load(Ordering::SeqCst));
    record.line(&format!(
        "{values} values, {refusals} refusals, {others} other errors; without an answer: {crossed} that crossed the end of their connection, {lost} that did not"
    ));
    if lost > 0 {
        record.broken(&format!(
            "{lost} requests that the router had taken more than {} ms before got no answer",
            CROSSING.as_millis()
        ));
    }
    drop(router);
    exit(record.verdict());
}

/// Sends commands, reads all their answers, and sends the next ones, until the connection ends.
fn ask_on(number: usize, mut client: Client, record: &Record, counts: &Counts, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let mut bytes = Vec::new();
        for _ in 0..COMMANDS {
            let text = client::read(&client::new_id(), "season-history", 500, 0, "7f3a9c21");
            bytes.extend(pg::query(text.as_bytes()));
        }
        if client.send_bytes(&bytes).is_err() {
            return;
        }
        let sent = Instant::now();
        for answered in 0..COMMANDS {
            let reply = client.reply();
            match &reply {
                Reply::Value(_) => &counts.values,
                reply if reply.is_refusal() => &counts.refusals,
                Reply::None(why) => {
                    let waited = sent.elapsed();
                    let missing = COMMANDS - answered;
                    let has_crossed = waited <= CROSSING;
                    record.line(&format!(
                        "client {number}: {missing} of {COMMANDS} commands without an answer {} ms after they were sent ({why})",
                        waited.as_millis()
                    ));
                    let count = if has_crossed { &counts.crossed } else { &counts.lost };
                    count.fetch_add(missing, Ordering::SeqCst);
                    return;
                }
                Reply::Empty | Reply::Error(_) => &counts.others,
            }
            .fetch_add(1, Ordering::SeqCst);
        }
    }
}
