//! What processes of an installation tell each other, as datagrams: versioned, bounded, authenticated, each taken once.
//!
//! A datagram is a header, the [`Payload`] in postcard's format, and a keyed BLAKE3 hash over both:
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | `Q` |
//! | 1 | the kind: `P` for gossip between members of a fleet, `F` for the observation feed |
//! | 1 | version, 1 |
//! | 4 | which key |
//! | 8 | the receiver's incarnation, as the sender knows it; 0 where it does not |
//! | 8 | the sender's sequence number, growing |
//! | .. | the payload |
//! | 32 | the hash |
//!
//! Numbers are in network order. A datagram is taken only by the process it was sent to: its header names that
//! process's incarnation, so what was recorded before a restart is worth nothing after it. Only a join or subscribe
//! request, which does no more than ask, may leave the incarnation open. Each sequence number of one incarnation of a
//! sender is taken once.

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
