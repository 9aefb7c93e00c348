//! Discovery by the protocol page, for a list that does not change: the whole list, or a watch on changes that
//! ends without any.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::node::Node;

/// The version of the list.
pub const VERSION: u64 = 1;

/// A discovery service on a loopback port.
pub struct Discovery {
    pub address: SocketAddr,
    /// The list in JSON.
    pub targets: String,
}

/// The entry of a node of the one group.
fn target(node: &Node) -> String {
    let role = if node.is_primary { "primary" } else { "replica" };
    format!(
        r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"std","pod_group":0,"state":"in_service","capacity_hint":1.0,"boot_ms":0,"role":"{role}"}}"#,
        node.uid, node.address
    )
}

impl Discovery {
    pub fn start(nodes: &[Node]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let targets = format!("[{}]", nodes.iter().map(target).collect::<Vec<_>>().join(","));
        let served: Arc<str> = targets.as_str().into();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let targets = Arc::clone(&served);
                thread::spawn(move || serve(stream, &targets));
            }
        });
        Self { address, targets }
    }
}

fn serve(mut stream: TcpStream, targets: &str) {
    _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else { return };
    let mut lines = BufReader::new(read_half).lines();
    while let Some(Ok(call)) = lines.next() {
        while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
        let number =
            |name: &str| -> Option<u64> { call.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok() };
        let is_watch = number("from=") == Some(VERSION);
        if is_watch {
            thread::sleep(Duration::from_millis(number("hold_ms=").unwrap_or(0).min(60_000)));
        }
        let changed = if is_watch { "[]" } else { targets };
        let body = format!(r#"{{"rev":{VERSION},"all":{},"targets":{changed}}}"#, !is_watch);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
