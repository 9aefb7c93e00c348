//! Membership of the routers of one installation: which of them are alive, which of them owns a periodic task, and the
//! observations of nodes that they share by gossip.
//!
//! No I/O, no clock, no threads. [`Fleet`] has one method for each thing that can happen, and acts by calling its
//! [`Host`]. Time is handed in as a [`Duration`](std::time::Duration) since a fixed moment, on a clock of the router's own
//! that never goes back; randomness comes from the given seed. Start reading at `fleet.rs`; docs/duties.md gives the reasons.

#![warn(missing_docs)]

pub mod fast_hash_map;
pub mod fleet;
pub mod fleet_params;
pub mod host;
pub mod ids;
pub mod membership;
pub mod message;
pub mod observation_store;
pub mod rendezvous;
pub mod scheduler;
pub mod sharded_tasks;

mod node_observations;
mod token_bucket;

pub use fleet::Fleet;
pub use fleet_params::FleetParams;
pub use host::{Event, Host, TimestampedObservation};
pub use ids::{Incarnation, MemberVersion, PeerName};
pub use message::{GossipBody, GossipMessage, MemberRecord, MemberState, Observation};
