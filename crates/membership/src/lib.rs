//! The routers of one installation: who is there, who owns which periodic duty, and what they tell each other.
//!
//! No I/O, no clock, no threads: [`Fleet`] has one method for each thing that can happen and acts by calling its
//! [`Host`]. Time is handed in as a span on a clock of the router's own that only goes forward; chance comes from
//! the given seed. Start reading at `fleet.rs`; docs/duties.md says why things are as they are.

pub mod fast_hash_map;
pub mod fleet;
pub mod host;
pub mod ids;
pub mod membership;
pub mod message;
pub mod observation_store;
pub mod rendezvous;
pub mod scheduler;
pub mod sharded_tasks;

pub use fleet::{Fleet, FleetParams};
pub use host::{DatedObservation, Event, Host};
pub use ids::{Incarnation, MemberVersion, PeerName};
pub use message::{GossipBody, GossipMessage, MemberRecord, MemberState, Observation};
