//! Scale measurements: fleets of thousands of routers on one machine, with real router processes and hollow
//! routers in front of stand-in databases.
//!
//! A hollow router runs the same control side as a real one (`quillpoint-control-plane`), but serves no
//! clients and no statements; hundreds of them share a process. [`run::run`] runs a fleet of one size and
//! counts its traffic and cost. [`calibration`] compares hollow with real routers in the same fleet, so that
//! figures counted at hollow routers can be taken for those of real ones. `docs/measurements/README.md`
//! explains the figures.

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
