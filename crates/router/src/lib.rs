//! quillpoint on sockets: a router between PostgreSQL clients and a primary with its replicas.
//!
//! [`runtime_config::RuntimeConfig`] holds what a router is told; [`serve::serve`] runs one until it has drained. Every
//! choice is made by the `quillpoint` package; this one carries it out.
//!
//! Each resource has one owner and one place of return:
//!
//! - the decisions, their clock and their timer: [`engine::Engine`]; an RPC ends by its final response, or when its
//!   [`engine::PendingResponse`] is dropped
//! - connections to nodes: [`pool::ConnectionPool`], checked out and checked in there
//! - connections of clients: their session in [`client`], closed in one place
//! - descriptors: [`descriptors::DescriptorPermit`], given back when it is dropped
//! - memory: [`budget::Reservation`], given back when it is dropped
//! - ids of RPCs: [`active_request_ids::ActiveRequestId`], released when it is dropped

#![warn(missing_docs)]

pub mod active_request_ids;
pub mod budget;
pub mod client;
pub mod command;
pub mod config;
pub mod config_error;
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
pub mod signals;
pub mod socket;
pub mod socket_liveness;
pub mod statement;

pub use quillpoint_control_plane::log_rate_limiter;
