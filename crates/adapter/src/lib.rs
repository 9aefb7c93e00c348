//! Connects the routing core ([`quillpoint::Router`]) to a simulator's line protocol: lines of input become
//! events of a router, and its actions become lines of output.
//!
//! `message` parses one line, `event` converts a message to an event, `action` writes the actions, `instance`
//! is one router, and `batch` does the framing. The names of the protocol are used only in this crate.

#![warn(missing_docs)]

mod action;
mod batch;
mod error;
mod event;
mod instance;
mod message;

pub use batch::BatchProcessor;
pub use error::WireError;
