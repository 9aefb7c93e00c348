//! Discovery, with a list that the one who runs it changes.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value as Json, json};

use crate::replica_set::Node;

/// An entry of the list: the node, its group, and when it last started (zero for long ago).
pub struct Endpoint<'a> {
    pub node: &'a Node,
    pub group: u64,
    pub started: Duration,
}

/// An entry in discovery's form.
pub fn endpoint_json(address: SocketAddr, group: u64, started: Duration, primary: bool) -> Json {
    json!({
        "uid": format!("s-{}", address.port()), "endpoint": address, "az": "a", "model": "m",
        "pod_group": group, "state": "in_service", "capacity_hint": 1.0,
        "boot_ms": started.as_millis() as u64, "role": if primary { "primary" } else { "replica" },
    })
}

/// The list's entries in discovery's form.
pub fn endpoint_list_json(entries: &[Endpoint<'_>]) -> Json {
    let entry = |entry: &Endpoint<'_>| {
        endpoint_json(entry.node.address, entry.group, entry.started, entry.node.primary)
    };
    entries.iter().map(entry).collect()
}

/// What discovery was asked and has answered so far, heads of HTTP included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryCounts {
    /// Those that were answered.
    pub requests: u64,
    /// Of these, those that were answered with the whole list.
    pub full_lists: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl DiscoveryCounts {
    pub fn since(self, before: Self) -> Self {
        Self {
            requests: self.requests - before.requests,
            full_lists: self.full_lists - before.full_lists,
            bytes_in: self.bytes_in - before.bytes_in,
            bytes_out: self.bytes_out - before.bytes_out,
        }
    }
}

#[derive(Clone)]
pub struct DiscoveryServer {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, Json)>, Condvar)>,
    counts: Arc<Mutex<DiscoveryCounts>>,
}

impl DiscoveryServer {
    pub fn start(targets: Json) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let listing = Self {
            address: listener.local_addr()?,
            list: Arc::new((Mutex::new((1, targets)), Condvar::new())),
            counts: Arc::default(),
        };
        let served = listing.clone();
        thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let listing = served.clone();
                thread::spawn(move || listing.serve(stream));
            }
        });
        Ok(listing)
    }

    pub fn set_endpoints(&self, targets: Json) {
        let mut list = self.list.0.lock().unwrap_or_else(PoisonError::into_inner);
        *list = (list.0 + 1, targets);
        self.list.1.notify_all();
    }

    pub fn counts(&self) -> DiscoveryCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, all: bool, bytes_in: usize, bytes_out: usize) {
        let counts = &mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.requests += 1;
        counts.full_lists += u64::from(all);
        counts.bytes_in += bytes_in as u64;
        counts.bytes_out += bytes_out as u64;
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        while let Some(Ok(call)) = lines.next() {
            // Each line ended in two bytes that are not kept.
            let mut asked = call.len() + 2;
            loop {
                let line = lines.next()?.ok()?;
                asked += line.len() + 2;
                if line.is_empty() {
                    break;
                }
            }
            let number = |name: &str| call.split(name).nth(1)?.split(['&', ' ']).next()?.parse::<u64>().ok();
            let (from, hold) = (number("from="), Duration::from_millis(number("hold_ms=").unwrap_or(0)));
            let list = self.list.0.lock().unwrap_or_else(PoisonError::into_inner);
            let same = |list: &mut (u64, Json)| Some(list.0) == from;
            let (list, _) =
                self.list.1.wait_timeout_while(list, hold, same).unwrap_or_else(PoisonError::into_inner);
            let all = Some(list.0) != from;
            let body =
                json!({"rev": list.0, "all": all, "targets": if all { list.1.clone() } else { json!([]) }});
            drop(list);
            let body = body.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let answer = head + &body;
            stream.write_all(answer.as_bytes()).ok()?;
            self.count(all, asked, answer.len());
        }
        Some(())
    }
}
