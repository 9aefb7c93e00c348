//! The observation feed, by which control instances publish the state of the databases to routers.
//!
//! A few control instances divide the health checks among themselves (`quillpoint-membership`). Each is a
//! [`Publisher`]: ten times a second it sends every subscriber one digest, which states that all databases of
//! a partition were seen recently, at a log position no lower than a watermark, except for those that the
//! partition's snapshot marks as unseen or down. Only changes to the snapshot are sent for single databases.
//! A router is a [`Subscriber`] of two control instances and not a member of their fleet, so the traffic that
//! it receives grows with the number of faults and not with the number of databases.
//!
//! No I/O, clocks or threads: publisher and subscriber are state machines with one method per external event,
//! and act by calling their [`Host`]. Time is passed in as the reading of the process's monotonic clock;
//! random numbers come from a seeded generator. docs/feed.md explains the design.

#![warn(missing_docs)]

pub mod digest_delay;
pub mod encoded_size;
pub mod health_check_quota;
pub mod host;
pub mod message;
pub mod observation_store;
mod partition_cache;
pub mod partition_caches;
pub mod preference;
pub mod publisher;
pub mod publisher_cache;
pub mod sorted_table;
pub mod subscriber;
pub mod token_bucket;

pub use host::{Event, FeedObservation, Host};
pub use message::{Change, Digest, Entry, Envelope, Message, NodeStatus};
pub use preference::ControlInstance;
pub use publisher::Publisher;
pub use subscriber::Subscriber;
