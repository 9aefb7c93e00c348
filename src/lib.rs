//! The routing decisions of quillpoint, a proxy before a PostgreSQL primary and its replicas.
//!
//! Make a [`Router`] with a [`host::Host`], a seed, the settings and the time. Call its one method for each event, in
//! the order in which events happen: an RPC arrived, an attempt ended, a health check ended, the endpoint list changed,
//! the timer fired. It acts by calling the host. The host asks [`Router::permits_attempt`] right before an attempt's
//! first byte, and [`Router::permits_response`] before it gives an ok to a client. The router does no I/O, reads no
//! clock and starts no thread; the same seed and the same events give the same calls.
//!
//! Start reading in `router.rs`: it holds the root type, which hands each event on and owns the order in which the
//! rules act. Each other module owns one concern with its state, its constants and its rules:
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | which request is admitted or shed |
//! | `dispatch`, `wait_queue` | in what order the queued requests are served |
//! | `attempt_check` | the five rules that every attempt passes when it is ordered and before its first byte |
//! | `balancing`, `primary`, `zone_latency` | which node a request goes to; the primary's quota and the search for it |
//! | `concurrency_limit`, `load_reports` | how much may be in flight to a node |
//! | `slow_start` | what a node that has just started may be sent |
//! | `outlier_detection`, `health_checks`, `connection_shortage` | which nodes are ejected, checked and heard again |
//! | `retry_policy` | a further attempt or the final answer, and until when either is of use |
//! | `freshness`, `session_tokens` | which node is fresh enough for a read |
//! | `endpoints` | the endpoint list: nodes added, draining, removed; polling it |
//! | `maintenance` | the periodic work and the one timer |
//!
//! What they share is in `config` (the settings), `method`, `node_state`, `replica_set`, `pending_request`,
//! `attempt_evidence` and `moving_average`.
//!
//! Why each rule exists is in docs/design.md; the terms are in docs/glossary.md.

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
