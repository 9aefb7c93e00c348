//! A discovery service whose endpoint list is set by the test.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use super::{Node, WAIT_TIMEOUT, count};

/// A discovery service whose endpoint list is set by the test.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, String)>, Condvar)>,
    calls: Arc<(Mutex<usize>, Condvar)>,
    /// While set, new and waiting calls are left unanswered for good; their connections stay open.
    pub unresponsive: Arc<AtomicBool>,
    /// The number of calls that were left unanswered.
    unanswered: Arc<AtomicUsize>,
}

/// The entries of an endpoint list in JSON, from nodes with their roles and states.
pub fn targets(nodes: &[(&Node, &str, &str)]) -> String {
    let entry = |(index, (node, role, state)): (usize, &(&Node, &str, &str))| {
        let endpoint = node.address;
        format!(
            r#"{{"uid":"s-{index}","endpoint":"{endpoint}","az":"a","model":"m","pod_group":0,"state":"{state}",
            "capacity_hint":1.0,"boot_ms":0,"role":"{role}"}}"#
        )
    };
    format!("[{}]", nodes.iter().enumerate().map(entry).collect::<Vec<_>>().join(","))
}

impl Discovery {
    pub fn start(targets: String) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), targets)
    }

    pub fn start_at(address: SocketAddr, targets: String) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let list = Arc::new((Mutex::new((1, targets)), Condvar::new()));
        let (calls, unresponsive, unanswered) = Default::default();
        let discovery = Self { address, list, calls, unresponsive, unanswered };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let discovery = served.clone();
                thread::spawn(move || discovery.serve(stream.unwrap()));
            }
        });
        discovery
    }

    pub fn set_targets(&self, targets: String) {
        let mut list = self.list.0.lock().unwrap();
        *list = (list.0 + 1, targets);
        self.list.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        while let Some(Ok(call)) = lines.next() {
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let number = |name: &str| {
                let digits = call.split(name).nth(1)?.split(['&', ' ']).next()?;
                digits.parse::<u64>().ok()
            };
            let unresponsive = self.unresponsive.load(Ordering::SeqCst);
            *self.calls.0.lock().unwrap() += 1;
            self.calls.1.notify_all();
            let (from, hold) = (number("from="), number("hold_ms="));
            let list = self.list.0.lock().unwrap();
            let hold = Duration::from_millis(hold.unwrap_or(0));
            let (list, _) = self.list.1.wait_timeout_while(list, hold, |list| Some(list.0) == from).unwrap();
            let (rev, all) = (list.0, Some(list.0) != from);
            let targets = if all { list.1.clone() } else { "[]".to_string() };
            drop(list);
            if unresponsive || self.unresponsive.load(Ordering::SeqCst) {
                self.unanswered.fetch_add(1, Ordering::SeqCst);
                continue;
            }
            let body = format!(r#"{{"rev":{rev},"all":{all},"targets":{targets}}}"#);
            // Two chunks, split within the JSON.
            let (first, second) = body.split_at(body.len() / 3);
            let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let whole = format!("{head}{}{}0\r\n\r\n", chunk(first), chunk(second));
            if stream.write_all(whole.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The same discovery service with another address in `address`, to put into a router's configuration.
    pub fn with_advertised_address(&self, address: SocketAddr) -> Self {
        Self { address, ..self.clone() }
    }

    pub fn has_unanswered_calls(&self) -> bool {
        count(&self.unanswered) > 0
    }

    pub fn calls(&self) -> usize {
        *self.calls.0.lock().unwrap()
    }

    /// Waits for this many calls. A call after an answer proves that the router has read the answer.
    pub fn await_calls(&self, count: usize) {
        let calls = self.calls.0.lock().unwrap();
        let (_guard, wait) =
            self.calls.1.wait_timeout_while(calls, WAIT_TIMEOUT, |calls| *calls < count).unwrap();
        assert!(!wait.timed_out(), "discovery received fewer than {count} calls within {WAIT_TIMEOUT:?}");
    }
}
