//! A stand-in for the discovery service, whose endpoint list a test can change.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value as Json, json};

use crate::replica_set::Node;

/// An entry of the endpoint list.
pub struct Endpoint<'a> {
    /// The node that the entry describes.
    pub node: &'a Node,
    /// Number of the replica set that the node belongs to.
    pub group: u64,
    /// When the node last started, in Unix time; zero for long ago.
    pub started: Duration,
}

/// Returns one entry of the endpoint list as discovery sends it.
pub fn endpoint_json(address: SocketAddr, group: u64, started: Duration, primary: bool) -> Json {
    json!({
        "uid": format!("s-{}", address.port()), "endpoint": address, "az": "a", "model": "m",
        "pod_group": group, "state": "in_service", "capacity_hint": 1.0,
        "boot_ms": started.as_millis() as u64, "role": if primary { "primary" } else { "replica" },
    })
}

/// Returns the entries of the endpoint list as discovery sends them.
pub fn endpoint_list_json(entries: &[Endpoint<'_>]) -> Json {
    let entry = |entry: &Endpoint<'_>| {
        endpoint_json(entry.node.address, entry.group, entry.started, entry.node.primary)
    };
    entries.iter().map(entry).collect()
}

/// Requests and bytes that the discovery stand-in has handled so far, HTTP headers included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryCounts {
    /// Answered requests.
    pub requests: u64,
    /// Requests that were answered with the whole list.
    pub full_lists: u64,
    /// Bytes of the requests.
    pub bytes_in: u64,
    /// Bytes of the responses.
    pub bytes_out: u64,
}

impl DiscoveryCounts {
    /// Returns the difference from an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            requests: self.requests - earlier.requests,
            full_lists: self.full_lists - earlier.full_lists,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }
}

/// A discovery server on loopback that answers long polls for the endpoint list. Clones share the list.
#[derive(Clone)]
pub struct DiscoveryServer {
    /// Where routers send their requests.
    pub address: SocketAddr,
    /// The revision and the endpoints, and the signal that wakes waiting polls.
    endpoints: Arc<(Mutex<(u64, Json)>, Condvar)>,
    counts: Arc<Mutex<DiscoveryCounts>>,
}

impl DiscoveryServer {
    /// Starts to serve this list as revision 1.
    ///
    /// # Errors
    /// No loopback port can be bound.
    pub fn start(new_endpoints: Json) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let server = Self {
            address: listener.local_addr()?,
            endpoints: Arc::new((Mutex::new((1, new_endpoints)), Condvar::new())),
            counts: Arc::default(),
        };
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let server = shared.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Replaces the list by the next revision, and wakes all waiting polls.
    pub fn set_endpoints(&self, new_endpoints: Json) {
        let mut endpoints = self.endpoints.0.lock().unwrap_or_else(PoisonError::into_inner);
        *endpoints = (endpoints.0 + 1, new_endpoints);
        self.endpoints.1.notify_all();
    }

    /// Returns the requests and bytes handled so far.
    pub fn counts(&self) -> DiscoveryCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, is_full: bool, bytes_in: usize, bytes_out: usize) {
        let counts = &mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.requests += 1;
        counts.full_lists += u64::from(is_full);
        counts.bytes_in += bytes_in as u64;
        counts.bytes_out += bytes_out as u64;
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        while let Some(Ok(request_line)) = lines.next() {
            // `lines` strips the two bytes that end each line.
            let mut request_bytes = request_line.len() + 2;
            loop {
                let line = lines.next()?.ok()?;
                request_bytes += line.len() + 2;
                if line.is_empty() {
                    break;
                }
            }
            let query_parameter =
                |name: &str| request_line.split(name).nth(1)?.split(['&', ' ']).next()?.parse::<u64>().ok();
            let (from, max_wait) =
                (query_parameter("from="), Duration::from_millis(query_parameter("hold_ms=").unwrap_or(0)));
            let endpoints = self.endpoints.0.lock().unwrap_or_else(PoisonError::into_inner);
            let is_unchanged = |endpoints: &mut (u64, Json)| Some(endpoints.0) == from;
            let (endpoints, _) = self
                .endpoints
                .1
                .wait_timeout_while(endpoints, max_wait, is_unchanged)
                .unwrap_or_else(PoisonError::into_inner);
            let is_full = Some(endpoints.0) != from;
            let body = json!({"rev": endpoints.0, "all": is_full, "targets": if is_full { endpoints.1.clone() } else { json!([]) }});
            drop(endpoints);
            let body = body.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let response = head + &body;
            stream.write_all(response.as_bytes()).ok()?;
            self.count(is_full, request_bytes, response.len());
        }
        Some(())
    }
}
