//! The simulator: decision packages as they are, in virtual time, at sizes that sockets do not reach.
//!
//! One seed decides all that happens in a run. [`world::World`] runs routers' fleets among emulated nodes on a
//! network that loses, delays, doubles and parts; [`experiment`] describes runs, [`record`] keeps what came of them,
//! [`plot`] draws it.

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
