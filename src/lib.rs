//! The routing decisions of quillpoint, a proxy in front of a PostgreSQL primary and its replicas.
//!
//! Create a [`Router`] with a [`host::Host`], a seed, the settings and the current time. Call one of its
//! methods for each event, in the order in which the events happen: an RPC arrived, an attempt ended, a
//! health check ended, the endpoint list changed, the timer fired. The router acts by calling the host. The
//! host asks [`Router::permits_attempt`] right before it writes an attempt's first byte, and
//! [`Router::permits_response`] before it passes a successful response to a client. The router does no I/O,
//! reads no clock and starts no thread; the same seed and the same events produce the same calls.
//!
//! Start reading in `router.rs`: it holds the root type, which passes each event to the modules concerned and
//! defines the order in which they act. Every other module owns one concern with its state, constants and
//! rules:
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | which requests are admitted and which are shed |
//! | `dispatch`, `wait_queue` | the order in which queued requests are sent |
//! | `attempt_check` | the five rules that an attempt must pass at its start and before its first byte |
//! | `balancing`, `primary`, `zone_latency` | a request's node; the primary's read quota; the search for it |
//! | `concurrency_limit`, `load_reports` | how many attempts may be in flight to a node |
//! | `slow_start` | how much work a recently started node may be sent |
//! | `outlier_detection`, `health_checks`, `connection_shortage` | which nodes to eject, check and readmit |
//! | `retry_policy` | another attempt or the final response, and how long a response is useful |
//! | `freshness`, `session_tokens` | which nodes are fresh enough for a read |
//! | `endpoints` | the endpoint list: added, draining and removed nodes; when the list is polled |
//! | `maintenance` | the periodic work and the single timer |
//!
//! Shared by these modules are `config` (the settings), `method`, `node_state`, `replica_set`,
//! `pending_request`, `attempt_evidence` and `moving_average`.
//!
//! docs/design.md gives the reason for each rule, docs/glossary.md defines the terms.

#![warn(missing_docs)]

mod accessors;
mod admission;
mod attempt_check;
mod attempt_evidence;
mod balancing;
mod concurrency_limit;
mod config;
mod connection_shortage;
mod dispatch;
mod endpoints;
mod freshness;
mod health_checks;
pub mod host;
mod load_reports;
mod maintenance;
mod method;
mod moving_average;
mod node_state;
mod outlier_detection;
mod pending_request;
mod primary;
mod replica_set;
mod retry_policy;
mod router;
mod session_tokens;
mod slow_start;
mod wait_queue;
mod zone_latency;

pub use freshness::MAX_FRESHNESS_WAIT;
pub use router::Router;
