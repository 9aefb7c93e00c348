//! Memory by purpose. [`Ledger`] decides what may be held for what: each purpose has bytes that are its own, may
//! borrow from a common pool up to a cap, and is refused beyond. No I/O, no clock, no allocation after the start.
//!
//! Why a pool with guarantees: hard shares refuse while memory lies idle, and a single sum lets one purpose crowd
//! out the rest. Here a purpose always gets what is its own, and what is nobody's goes to who asks first.

pub mod ledger;
pub mod level;
pub mod progress;
pub mod purpose;

pub use ledger::{Cause, Faulty, Ledger, Refused, Share};
pub use level::{Level, Relief};
pub use progress::{Pace, Progress};
pub use purpose::Purpose;
