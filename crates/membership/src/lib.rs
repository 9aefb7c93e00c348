//! Membership of the routers of one deployment: which routers are alive, which router owns which periodic
//! task, and the observations of nodes that the routers share by gossip.
//!
//! The crate does no I/O, has no clock and starts no threads. [`Fleet`] has one method for each kind of
//! input, and acts by calling its [`Host`]. The caller passes in the current time as a
//! [`Duration`](std::time::Duration) since a fixed instant, from a monotonic clock of the router; randomness
//! comes from the given seed. Start reading at `fleet.rs`; docs/duties.md explains the design.

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
