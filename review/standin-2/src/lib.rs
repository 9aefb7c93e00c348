//! What the cases share: stand-ins for clients, nodes and discovery by the users' protocol page, a router
//! started by the `run` line of `deploy/balancer.toml`, and the record of what was sent, answered and run.
//! Only the standard library is used, and nothing of the project's code.

pub mod client;
pub mod discovery;
pub mod node;
pub mod pg;
pub mod record;
pub mod router;

use std::process::exit;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time.
pub fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    unix().as_millis() as u64
}

/// Whether the case plays its disruption; with `TROUBLE=0` it does not.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process with 2: the case could not run.
pub fn cannot_run(what: &str) -> ! {
    eprintln!("the case could not run: {what}");
    exit(2)
}

/// Waits until `holds`, for `limit` at most. Returns whether it did.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = std::time::Instant::now() + limit;
    while std::time::Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    holds()
}
