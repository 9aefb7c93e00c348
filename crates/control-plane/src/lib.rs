//! The control side of a router: the packages that decide, and the code that puts their letters on sockets.
//!
//! One part with one face, [`Around`], which a router's engine gives as well as the books of a hollow router: many of
//! these in a process have no clients and no statements, and serve measurements. It decides nothing and knows nothing
//! of clients.

pub mod alarm;
pub mod around;
pub mod feed;
pub mod part;
pub mod peers;
pub mod post;
pub mod publisher;
pub mod seldom;
pub mod subscriber;
pub mod wire;

pub use around::Around;
pub use feed::{PublisherPart, SubscriberPart};
pub use part::Part;
pub use peers::{Counts, Peers};
pub use publisher::Publication;
pub use subscriber::Subscription;
pub use wire::{Traffic, Wire};
