//! Stand-ins for clients, nodes and discovery, after their public protocols, and a router process among them.
//! They do as they are set to and record what they see; nothing in them decides.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of them")]

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

/// Far longer than anything here takes: what is awaited for so long never comes.
const NEVER: Duration = Duration::from_secs(30);

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

pub fn count(counts: &AtomicUsize) -> usize {
    counts.load(Ordering::SeqCst)
}
