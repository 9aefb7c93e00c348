//! A memory budget that is divided into categories. [`MemoryBudget`] decides whether a category may use more
//! memory: each one has a number of guaranteed bytes and may borrow further bytes from a common pool, up to
//! its limit. Requests beyond that are rejected. The budget does no I/O, reads no clock and allocates nothing
//! after its creation.
//!
//! The pool exists because fixed partitions would reject requests while memory of other partitions is unused.
//! The guarantees exist because with a single total one category could use up the memory of all others. So a
//! category always gets its guaranteed bytes, and the remaining ones go to whichever category requests them
//! first.

#![warn(missing_docs)]

pub mod budget;
pub mod category;
pub mod pressure;
pub mod transfer;

pub use budget::{BudgetExceeded, ExceededLimit, MemoryBudget, Quota, QuotaError, Rejections};
pub use category::Category;
pub use pressure::{PressureLevel, ReclaimAction};
pub use transfer::{MinimumRate, TimeoutScale, TransferProgress};
