//! Stand-ins for clients, nodes and discovery that speak their public protocols, and a router process between
//! them. They behave as configured by a test and record what they receive; they make no decisions of their
//! own.
#![allow(dead_code, unused_imports, reason = "each test file uses only some of the stand-ins")]

mod client;
mod discovery;
mod node;
mod router_process;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use client::{Client, Reply, statement};
pub use discovery::{Discovery, targets};
pub use node::{ConnectBehavior, Node, NodeBehavior, VALUE};
pub use router_process::{RouterProcess, configuration, router_command, write_config_file};

/// Timeout for expected events, much longer than any of them takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

pub fn count(counts: &AtomicUsize) -> usize {
    counts.load(Ordering::SeqCst)
}
