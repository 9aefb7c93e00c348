//! The simulator runs the product's own state machines (membership and observation feed) in virtual time, at
//! fleet sizes that cannot be reached with real sockets.
//!
//! Runs are deterministic: the seed determines everything that happens, except measured CPU time.
//! [`world::World`] simulates a fleet of routers that probe emulated nodes over a network with loss, delay,
//! duplication and partitions; [`feed_world::FeedWorld`] simulates control instances that publish
//! observations to routers. [`experiment`] reads descriptions of runs, [`record`] stores their results, and
//! [`plot`] draws them.

pub mod command;
pub mod detectors;
pub mod experiment;
pub mod feed_run;
pub mod feed_world;
pub mod network;
pub mod plot;
pub mod queue;
pub mod record;
pub mod world;
