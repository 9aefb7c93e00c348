//! The control side of a router: the packages that decide, and the code that puts their letters on sockets.
//!
//! One part with one face, [`ControlHost`], which a router's engine gives as well as the books of a hollow router: many of
//! these in a process have no clients and no statements, and serve measurements. It decides nothing and knows nothing
//! of clients.

pub mod alarm;
pub mod control_host;
pub mod feed;
pub mod fleet_member;
pub mod log_rate_limiter;
pub mod member_config;
pub mod post;
pub mod publisher;
pub mod subscriber;
pub mod wire;

pub use control_host::ControlHost;
pub use feed::{PublisherConfig, SubscriberConfig};
pub use fleet_member::{Counts, FleetMember};
pub use member_config::MemberConfig;
pub use publisher::PublisherService;
pub use subscriber::SubscriberService;
pub use wire::{Traffic, Wire};
