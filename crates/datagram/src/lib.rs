//! The datagrams that control instances exchange with each other and with routers. They are versioned,
//! authenticated, limited in length and protected against replay.
//!
//! A datagram consists of a header, the [`Payload`] encoded by postcard, and a keyed BLAKE3 hash over both:
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | `Q` |
//! | 1 | the kind: `P` for gossip between members of a fleet, `F` for the observation feed |
//! | 1 | the version of the format, currently 1 |
//! | 4 | the id of the key |
//! | 8 | the receiver's incarnation, or 0 if the sender does not know it |
//! | 8 | the sender's sequence number, which increases with each datagram |
//! | .. | the payload |
//! | 32 | the hash |
//!
//! Numbers are in network byte order. The header names the incarnation of the receiving process, which is new
//! with each start, and a process of another incarnation rejects the datagram; so datagrams recorded before a
//! restart of the receiver cannot be replayed after it. Only a join or subscribe request may leave the
//! incarnation open: it asks for a reply, and carries nothing but what its sender states about itself. From
//! one incarnation of a sender, each sequence number is accepted at most once.

#![warn(missing_docs)]

mod header;
pub mod keys;
mod open;
pub mod payload;
mod replay_window;
mod seal;
mod senders;

pub use crate::header::MAX_DATAGRAM_BYTES;
pub use crate::open::{OpenError, Opener};
pub use crate::payload::{Payload, Sender};
pub use crate::seal::{SealError, Sealer};
