//! What control instances know of the databases, on its way to the routers.
//!
//! A few control instances divide the health checks among themselves (`quillpoint-membership`). Each is a [`Publisher`]:
//! ten times a second it sends every subscriber one digest, which says that all databases of a partition were seen at a
//! log position no lower than a watermark, except those that a snapshot of the partition names. Only changes of the
//! snapshot travel by name. A router is a [`Subscriber`] of two of them and no member of their fleet, so that what it
//! receives grows with the faults and not with the size of the installation.
//!
//! No I/O, no clock, no threads: both sides have one method for each thing that can happen and act by calling their
//! [`Host`]. Time is handed in as the reading of a monotonic clock of the process; random numbers come from a seeded
//! generator. docs/feed.md gives the reasons for the design.

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
