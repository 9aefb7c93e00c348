//! The decisions on the simulator's wire: its lines to events, and actions to lines.
//!
//! `message` reads one line, `event` turns a message into an event of the decisions, `action` writes what they do,
//! `instance` is one router, and `batch` frames all of it. The wire's own names stay within these files.

#![warn(missing_docs)]

mod action;
mod batch;
mod error;
mod event;
mod instance;
mod message;

pub use batch::BatchProcessor;
pub use error::WireError;
