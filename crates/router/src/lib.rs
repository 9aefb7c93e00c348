//! quillpoint on sockets: a router between PostgreSQL clients and a primary with its replicas.
//!
//! [`runtime_config::RuntimeConfig`] holds what a router is told; [`serve::serve`] runs one until it has drained. Every
//! choice is made by the `quillpoint` package; this one carries it out.

pub mod budget;
pub mod client;
pub mod command;
pub mod config;
pub mod config_error;
pub mod deployment;
pub mod descriptors;
pub mod discovery;
pub mod drain;
pub mod endpoint_list;
pub mod endpoint_poll;
pub mod engine;
pub mod events;
pub mod http;
pub mod incoming;
pub mod instance;
pub mod line;
pub mod open_ids;
pub mod part;
pub mod peers;
pub mod pg;
pub mod pool;
pub mod presence;
pub mod report;
pub mod runtime_config;
pub mod serve;
pub mod signals;
pub mod socket;
pub mod statement;
pub mod ties;

pub use quillpoint_control_plane::log_rate_limiter;
