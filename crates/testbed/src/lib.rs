//! Runs router processes among stand-ins on loopback addresses, to measure and test whole fleets.
//!
//! A [`replica_set::ReplicaSet`] stands in for a primary and its replicas and records what reaches each node.
//! [`listing::DiscoveryServer`] stands in for discovery. [`relay::Relay`] drops datagrams as configured.
//! [`routers::Routers`] starts, kills and stops router processes. [`load::LoadGenerator`] sends RPCs as
//! clients do and counts their outcomes. None of these takes part in a router's decisions.
//!
//! [`record`] is the file format of scale runs, [`fit`] extrapolates their figures to other sizes, and
//! [`capacity`] renders them as the tables of the capacity page. [`scale`] runs fleets of thousands of
//! routers: simplified ("hollow") routers beside real ones.

pub mod capacity;
pub mod chart;
pub mod duties;
pub mod fit;
pub mod listing;
pub mod load;
pub mod process;
pub mod record;
pub mod relay;
pub mod replica_set;
pub mod routers;
pub mod scale;
pub mod simulated;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the Unix time. The stand-ins, the clients and the routers all read this one clock.
pub fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
