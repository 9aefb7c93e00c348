//! Fleets of thousands on one machine: real router processes beside hollow routers, before stand-in databases.
//!
//! A hollow router is the control side of a real one, the same code (`quillpoint-control-plane`), with no clients and no
//! statements; some hundreds share a process. [`play::play`] plays one size and counts; [`calibration`] holds hollow
//! against real in the same fleet, so that what is counted at the hollow ones may be taken for the real. What the
//! figures mean stands in `docs/measurements/README.md`.

pub mod bounds;
pub mod calibration;
pub mod clients;
pub mod commands;
pub mod counters;
pub mod databases;
pub mod faults;
pub mod hollow;
pub mod hollow_process;
pub mod member;
pub mod observations;
pub mod partition;
pub mod prober;
pub mod report;
pub mod roles;
pub mod run;
pub mod sizes;
pub mod suites;
