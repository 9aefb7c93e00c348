//! Router processes among stand-ins on loopback addresses, for measurements and tests of whole fleets.
//!
//! A [`replica_set::ReplicaSet`] plays a group of nodes and keeps observations of what reached them; [`listing::DiscoveryServer`] plays
//! discovery; [`relay::Relay`] loses datagrams as it is told; [`routers::Routers`] starts, kills and stops processes;
//! [`load::LoadGenerator`] asks as clients do, and counts how each RPC ended. Nothing here decides anything for a router.
//! [`record`] is what a scale run leaves, and [`fit`] what its figures say of other sizes; [`capacity`] makes the
//! tables of a page of them. [`scale`] plays fleets of thousands: hollow routers beside real ones.

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

/// Unix time: the one clock that nodes, clients and routers read here.
pub fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
