//! A memory budget by category. [`MemoryBudget`] decides what may be held for what: each category has guaranteed bytes,
//! may borrow from a common pool up to its limit, and is rejected beyond. No I/O, no clock, no allocation after the start.
//!
//! Why a pool with guarantees: fixed partitions refuse while memory lies idle, and a single sum lets one category crowd
//! out the rest. Here a category always gets what is guaranteed to it, and the rest goes to whoever asks first.

#![warn(missing_docs)]

pub mod budget;
pub mod category;
pub mod pressure;
pub mod transfer;

pub use budget::{BudgetExceeded, ExceededLimit, MemoryBudget, Quota, QuotaError, Rejections};
pub use category::Category;
pub use pressure::{PressureLevel, ReclaimAction};
pub use transfer::{MinimumRate, TimeoutScale, TransferProgress};
