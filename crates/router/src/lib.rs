//! The quillpoint router process: a proxy between PostgreSQL clients and a primary with its replicas.
//!
//! [`runtime_config::RuntimeConfig`] is the configuration of a router; [`serve::serve`] runs a router until
//! it has drained. The `quillpoint` package makes all routing decisions; this crate does the I/O for them.
//!
//! Each resource has one owner and is released in one place:
//!
//! - the decision state machine with its clock and timer: [`engine::Engine`]; an RPC ends with its final
//!   response or when its [`engine::PendingResponse`] is dropped
//! - connections to nodes: [`pool::ConnectionPool`], which checks them out and in
//! - client connections: the session in [`client`], which closes them in one place
//! - file descriptors: [`descriptors::DescriptorPermit`], released on drop
//! - memory: [`budget::Reservation`], released on drop
//! - RPC ids: [`active_request_ids::ActiveRequestId`], released on drop

#![warn(missing_docs)]

pub mod active_request_ids;
pub mod budget;
pub mod client;
pub mod command;
pub mod config;
pub mod config_error;
pub mod connection_memory;
pub mod control_connections;
pub mod control_instance;
pub mod deployment;
pub mod descriptors;
pub mod discovery;
pub mod drain;
pub mod endpoint_list;
pub mod endpoint_poll;
pub mod engine;
mod engine_control_host;
pub mod events;
pub mod http;
pub mod memory_report;
pub mod message_buffer;
mod observation_exchange;
mod observations;
pub mod pg;
pub mod pool;
pub mod receive_buffer;
pub mod request_pipeline;
pub mod roles;
pub mod runtime_config;
pub mod serve;
pub mod session_commits;
pub mod signal;
pub mod signals;
pub mod socket;
pub mod socket_liveness;
pub mod statement;

pub use quillpoint_control_plane::log_rate_limiter;
