//! What control instances know of the databases, on its way to the routers.
//!
//! A few control instances divide the probing among themselves (`quillpoint-membership`). Each is a publisher: ten times a
//! second it sends every subscriber one digest, which says that of each part of the databases all were seen at a log
//! position no lower than a watermark, but for those that a copy of that part names. Only changes of the copy travel
//! by name. A router is a subscriber of two of them and no member of their fleet, so that what it receives follows the
//! trouble and not the size of the installation.
//!
//! No I/O, no clock, no threads: [`Publisher`] and [`Subscriber`] have one method for each thing that can happen and
//! act by calling their [`Host`]. Time is handed in as a span on a clock of the process's own that only goes forward;
//! chance comes from the given seed. docs/feed.md says why things are as they are.

pub mod clock;
pub mod copy;
pub mod encoded_size;
pub mod health_check_quota;
pub mod host;
pub mod message;
pub mod observation_store;
pub mod preference;
pub mod publisher;
pub mod publisher_replica;
pub mod sorted_table;
pub mod subscriber;
pub mod token_bucket;

pub use host::{Event, FeedObservation, Host};
pub use message::{Change, Digest, Entry, Envelope, Message, NodeStatus};
pub use preference::ControlInstance;
pub use publisher::Publisher;
pub use subscriber::Subscriber;
