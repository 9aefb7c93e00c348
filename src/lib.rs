//! The decisions of quillpoint, a proxy before a primary and its replicas.
//!
//! [`Router`] decides, in [`logic`]; what it asks of its surroundings is in [`host`].

pub mod host;
pub mod logic;
mod look;
mod state;

pub use logic::{HOLD, Router};
