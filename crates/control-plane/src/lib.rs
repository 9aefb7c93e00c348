//! The control side of a router: the fleet member, the publisher and the subscriber of the observation feed,
//! each with its socket and its timer.
//!
//! Its interface to the surrounding process is [`ControlHost`], which is implemented by routers and by hollow
//! routers. For measurements, many hollow routers run in one process, without clients and statements. The
//! decisions are made in `quillpoint-membership` and `quillpoint-observation-feed`.

#![warn(missing_docs)]

pub mod control_host;
pub mod datagram_socket;
mod deadline_timer;
mod feed_commands;
pub mod feed_config;
mod feed_log;
mod fleet_commands;
mod fleet_log;
pub mod fleet_member;
pub mod log_rate_limiter;
pub mod member_config;
pub mod publisher_service;
mod read_pacer;
pub mod sealed_transport;
pub mod subscriber_service;

pub use control_host::ControlHost;
pub use datagram_socket::{DatagramSocket, Traffic};
pub use feed_config::{PublisherConfig, SubscriberConfig};
pub use fleet_member::FleetMember;
pub use log_rate_limiter::LogRateLimiter;
pub use member_config::MemberConfig;
pub use publisher_service::PublisherService;
pub use subscriber_service::SubscriberService;
