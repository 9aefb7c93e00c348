//! What peers make a router hold is charged to its memory budget, and beyond the budget the router pushes
//! back. Each test compares the charges of a router process, from its last `memory` event, with its resident
//! memory.

mod standin;

use std::fs;
use std::io::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quillpoint_router::pg;
use standin::{Client, Discovery, Node, NodeBehavior, Reply, RouterProcess};
use standin::{configuration, statement, targets};

/// Sockets for as many clients as a test has, and for connections to nodes.
const SOCKETS: usize = 1040;
const CLIENTS: usize = 400;
/// The lowest limit that the platform sets.
const LOW_MEMORY_MB: u64 = 32;
/// Enough for all that the clients of a test may ask.
const AMPLE_MEMORY_MB: u64 = 1024;
/// How often resident memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// How long the router has to take what clients have sent.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A router between nodes, of which the first is the primary.
struct TestRouter {
    process: RouterProcess,
    nodes: Vec<Node>,
    _discovery: Discovery,
}

impl TestRouter {
    fn start(memory_mb: u64, nodes: usize) -> Self {
        let nodes: Vec<Node> = (0..nodes).map(|index| Node::start(index == 0)).collect();
        let role = |index| if index == 0 { "primary" } else { "replica" };
        let listed: Vec<_> =
            nodes.iter().enumerate().map(|(index, node)| (node, role(index), "in_service")).collect();
        let list = targets(&listed);
        let discovery = Discovery::start(list.clone());
        let text = configuration(discovery.address, &list, SOCKETS)
            .replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{memory_mb}"#));
        let process = RouterProcess::start(&text);
        // What the first RPC makes the process hold for good belongs to no session.
        let mut client = process.client();
        assert!(matches!(client.rpc("look", 9000), Reply::Value(_)));
        client.disconnect();
        std::thread::sleep(SETTLE_TIME);
        Self { process, nodes, _discovery: discovery }
    }

    fn set_behavior(&self, behavior: NodeBehavior) {
        self.nodes.iter().for_each(|node| node.set_behavior(behavior));
    }

    fn queries(&self) -> usize {
        self.nodes.iter().map(|node| node.queries().len()).sum()
    }

    /// Opens sessions that have been served once.
    fn clients(&self, count: usize) -> Vec<Client> {
        let open = |_| {
            let mut client = Client::connect_and_query(self.process.address, "");
            assert_eq!(client.reply(), Reply::Empty);
            client
        };
        (0..count).map(open).collect()
    }

    /// The resident memory of the process that belongs to no file.
    fn own_memory(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
        line.split_whitespace().next().unwrap().parse::<usize>().unwrap() * 1024
    }

    /// The most that the process holds within a time.
    fn peak_memory(&self, time: Duration) -> usize {
        let end = Instant::now() + time;
        let mut peak = 0;
        while Instant::now() < end {
            peak = peak.max(self.own_memory());
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        peak
    }

    /// Ends the router and returns the sum of the highest charges of all categories.
    fn highest_charge(&mut self) -> usize {
        self.process.signal("-TERM");
        let event = self.process.log_line("event=memory");
        assert!(self.process.wait_for_exit().success());
        let fields = event.split_whitespace().filter_map(|field| field.split_once('='));
        let highest = fields.filter(|(name, _)| name.ends_with("_high"));
        highest.map(|(_, bytes)| bytes.parse::<usize>().unwrap()).sum()
    }
}

fn send_statements(client: &mut Client, count: usize) {
    let texts: Vec<String> = (0..count).map(|_| statement("look", 9000)).collect();
    client.send_queries(&texts);
}

fn assert_covered(name: &str, growth: usize, charge: usize) {
    println!("{name}: own memory grew by {} kB, charged: {} kB", growth / 1024, charge / 1024);
    assert!(growth <= charge, "{name}: the charge of {charge} bytes does not cover a growth of {growth}");
}

/// Guards against state of sessions that no category of the budget counts.
#[test]
fn charge_covers_idle_sessions() {
    let mut router = TestRouter::start(AMPLE_MEMORY_MB, 2);
    let before = router.own_memory();
    let _clients = router.clients(CLIENTS);
    let growth = router.peak_memory(SETTLE_TIME) - before;
    assert_covered("idle sessions", growth, router.highest_charge());
}

/// Guards against statements in line that hold more than is charged for them: with many clients that sent many
/// at once the router passed its memory limit.
#[test]
fn charge_covers_statements_in_line() {
    let mut router = TestRouter::start(AMPLE_MEMORY_MB, 2);
    let before = router.own_memory();
    let mut clients = router.clients(CLIENTS);
    router.set_behavior(NodeBehavior::Hang);
    clients.iter_mut().for_each(|client| send_statements(client, 40));
    let growth = router.peak_memory(SETTLE_TIME) - before;
    assert_covered("statements in line", growth, router.highest_charge());
}

/// Guards against attempts and connections to nodes that hold more than is charged for them.
#[test]
fn charge_covers_attempts_in_flight() {
    let mut router = TestRouter::start(AMPLE_MEMORY_MB, 40);
    let before = router.own_memory();
    let mut clients = router.clients(CLIENTS);
    router.set_behavior(NodeBehavior::Hang);
    clients.iter_mut().for_each(|client| send_statements(client, 1));
    let growth = router.peak_memory(2 * SETTLE_TIME) - before;
    println!("{} attempts", router.queries());
    assert_covered("attempts in flight", growth, router.highest_charge());
}

/// Guards against answers that wait for their clients to read and that are charged in part only.
#[test]
fn charge_covers_answers_that_clients_do_not_read() {
    let mut router = TestRouter::start(AMPLE_MEMORY_MB, 2);
    let before = router.own_memory();
    let mut clients = router.clients(50);
    router.set_behavior(NodeBehavior::LargeValue(60_000));
    clients.iter_mut().for_each(|client| send_statements(client, 60));
    let growth = router.peak_memory(8 * SETTLE_TIME) - before;
    assert_covered("unread answers", growth, router.highest_charge());
}

/// Sends statements in batches and reads their answers, until the time is over. Returns how many were answered
/// with a value. The router may close a connection between requests, as when descriptors are short; the batch
/// that crosses the close is sent again.
fn send_batches(address: SocketAddr, mut client: Client, batch: usize, end: Instant) -> usize {
    let mut values = 0;
    while Instant::now() < end {
        let texts: Vec<String> = (0..batch).map(|_| statement("look", 9000)).collect();
        let bytes: Vec<u8> = texts.iter().flat_map(|text| pg::query_message(text.as_bytes())).collect();
        _ = client.stream.write_all(&bytes);
        for answered in 0..batch {
            match client.reply() {
                Reply::Value(_) => values += 1,
                Reply::Error(code, _) if code == "53300" => {}
                Reply::Closed if answered == 0 => {
                    client = Client::connect(address);
                    break;
                }
                reply => panic!("expected a value or a rejection, got {reply:?} after {answered} answers"),
            }
        }
    }
    values
}

/// Guards against clients that send many statements at once and take the router over its memory limit, which
/// ends it, and against refusing other clients for it.
#[test]
fn many_statements_at_once_stay_within_the_memory_limit() {
    const PLAY_TIME: Duration = Duration::from_secs(4);
    const USUAL_CLIENTS: usize = 20;
    let router = TestRouter::start(LOW_MEMORY_MB, 3);
    router.set_behavior(NodeBehavior::Delay(30));
    let address = router.process.address;
    let mut clients = router.clients(CLIENTS + USUAL_CLIENTS);
    let end = Instant::now() + PLAY_TIME;
    let usual: Vec<_> = clients
        .split_off(CLIENTS)
        .into_iter()
        .map(|client| std::thread::spawn(move || send_batches(address, client, 1, end)))
        .collect();
    let pipelining: Vec<_> = clients
        .into_iter()
        .map(|client| std::thread::spawn(move || send_batches(address, client, 200, end)))
        .collect();
    let peak = router.peak_memory(PLAY_TIME);
    println!("own memory: {} kB", peak / 1024);
    assert!(peak < LOW_MEMORY_MB as usize * 1024 * 1024, "{peak} bytes");
    let served: Vec<usize> = usual.into_iter().map(|client| client.join().unwrap()).collect();
    println!("usual clients were served {served:?} times");
    assert!(served.iter().all(|values| *values > 0), "a usual client was not served: {served:?}");
    pipelining.into_iter().for_each(|client| _ = client.join().unwrap());
}

/// Guards against large answers that take the router over its memory limit while their clients do not read.
#[test]
fn unread_large_answers_stay_within_the_memory_limit() {
    let router = TestRouter::start(LOW_MEMORY_MB, 20);
    let mut clients = router.clients(CLIENTS);
    router.set_behavior(NodeBehavior::LargeValue(65_536));
    for client in &mut clients {
        send_statements(client, 60);
    }
    let peak = router.peak_memory(8 * SETTLE_TIME);
    println!("own memory: {} kB", peak / 1024);
    assert!(peak < LOW_MEMORY_MB as usize * 1024 * 1024, "{peak} bytes");
}

/// Guards against half messages that take the router over its memory limit, in pieces of one byte too, whose
/// arrival times are recorded.
#[test]
fn half_messages_stay_within_the_memory_limit() {
    const PIECES: usize = 300;
    let router = TestRouter::start(LOW_MEMORY_MB, 2);
    let mut clients = router.clients(CLIENTS);
    let long = pg::query_message(&vec![b'x'; 100_000]);
    for piece in 0..PIECES {
        // Clients over the budget are closed.
        clients.iter_mut().for_each(|client| _ = client.stream.write_all(&long[piece..=piece]));
    }
    clients.iter_mut().for_each(|client| _ = client.stream.write_all(&long[PIECES..30_000]));
    let peak = router.peak_memory(2 * SETTLE_TIME);
    println!("own memory: {} kB", peak / 1024);
    assert!(peak < LOW_MEMORY_MB as usize * 1024 * 1024, "{peak} bytes");
}

/// Guards against rejections that take the router over its memory limit: the shortest statements are a twentieth
/// as long.
#[test]
fn unread_rejections_stay_within_the_memory_limit() {
    const STATEMENTS: usize = 60_000;
    let router = TestRouter::start(LOW_MEMORY_MB, 2);
    let mut clients = router.clients(CLIENTS);
    // The first ones end the session; those behind are rejected.
    let mut bytes: Vec<u8> = (0..8).flat_map(|_| pg::query_message(b"SELECT 1")).collect();
    bytes.extend(pg::query_message(b"").repeat(STATEMENTS));
    for client in &mut clients {
        // What a client does not read at last blocks what it sends.
        client.stream.set_nonblocking(true).unwrap();
        _ = client.stream.write_all(&bytes);
    }
    let peak = router.peak_memory(4 * SETTLE_TIME);
    println!("own memory: {} kB", peak / 1024);
    assert!(peak < LOW_MEMORY_MB as usize * 1024 * 1024, "{peak} bytes");
}
