//! The budget, in which all memory use is reserved and released.

use crate::category::Category;
use crate::pressure::{PressureLevel, ReclaimAction};

const CATEGORIES: usize = Category::ALL.len();

/// How much memory one category may use, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    /// Bytes reserved for the category, which no other category can borrow.
    pub guaranteed: u64,
    /// The maximum that it may use, including borrowed bytes.
    pub limit: u64,
}

/// Why quotas are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuotaError {
    /// A quota guarantees more bytes than its limit allows.
    #[error("{}: expected a guarantee of at most its limit of {} bytes, found {} bytes", .category.name(), .quota.limit, .quota.guaranteed)]
    GuaranteeExceedsLimit {
        /// The category of the quota.
        category: Category,
        /// The invalid quota.
        quota: Quota,
    },
    /// The sum of all guarantees exceeds the size of the budget.
    #[error("expected guarantees of at most {total} bytes together, found {guaranteed} bytes")]
    Oversubscribed {
        /// The sum of all guarantees in bytes.
        guaranteed: u64,
        /// The size of the budget in bytes.
        total: u64,
    },
}

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The limit of the category's own quota.
    Quota,
    /// The size of the common pool: the category's quota would allow the request, but too little is left to
    /// borrow.
    Pool,
}

impl ExceededLimit {
    fn reason(self) -> &'static str {
        match self {
            Self::Quota => "its cap is reached",
            Self::Pool => "nothing is left to borrow",
        }
    }
}

/// A request for memory was rejected. The text of this error is sent to clients of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for {}: {}", .category.name(), .limit.reason())]
pub struct BudgetExceeded {
    /// The category of the request.
    pub category: Category,
    /// The limit that the request would exceed.
    pub limit: ExceededLimit,
}

/// The number of rejected requests of a category since the budget was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejections {
    /// Requests that would have exceeded the category's own quota.
    pub by_quota: u64,
    /// Requests for which too little was left in the pool.
    pub by_pool: u64,
}

impl Rejections {
    /// The number of rejected requests for either reason.
    pub fn total(self) -> u64 {
        self.by_quota + self.by_pool
    }
}

/// The memory use of one category, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    quota: Quota,
    used: u64,
    peak: u64,
    rejections: Rejections,
}

impl Usage {
    /// How many of `bytes` are beyond the guarantee and therefore borrowed from the pool.
    fn borrowed_of(&self, bytes: u64) -> u64 {
        bytes.saturating_sub(self.quota.guaranteed)
    }
}

/// The effect of a request if it is granted, in bytes.
#[derive(Clone, Copy)]
struct Change {
    /// The resulting use of the category.
    used: u64,
    /// The resulting sum of what all categories borrow.
    borrowed: u64,
}

/// The memory budget of a process.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// Indexed by [`Category::index`].
    usage: [Usage; CATEGORIES],
    /// The size of the pool: all bytes that are not guaranteed to a category.
    pool: u64,
    /// Bytes that are borrowed from the pool. [`MemoryBudget::charge`] can make this exceed `pool`.
    borrowed: u64,
    level: PressureLevel,
}

impl MemoryBudget {
    /// Creates a budget of `total` bytes. A category without a quota may use none of them.
    ///
    /// # Errors
    /// A guarantee exceeds its quota's limit, or all guarantees together exceed `total`.
    pub fn new(total: u64, quotas: &[(Category, Quota)]) -> Result<Self, QuotaError> {
        let mut usage = [Usage::default(); CATEGORIES];
        let mut guaranteed: u64 = 0;
        for &(category, quota) in quotas {
            if quota.guaranteed > quota.limit {
                return Err(QuotaError::GuaranteeExceedsLimit { category, quota });
            }
            guaranteed = guaranteed.saturating_add(quota.guaranteed);
            usage[category.index()].quota = quota;
        }
        let pool = total.checked_sub(guaranteed).ok_or(QuotaError::Oversubscribed { guaranteed, total })?;
        Ok(Self { usage, pool, borrowed: 0, level: PressureLevel::Normal })
    }

    /// Changes the size of one reservation of a category from `from` bytes to `to` bytes. Shrinking it always
    /// succeeds.
    ///
    /// # Errors
    /// The request would exceed a limit. Then only the count of rejections has changed.
    pub fn resize(&mut self, category: Category, from: u64, to: u64) -> Result<(), BudgetExceeded> {
        let change = self.change(category, from, to);
        if to > from
            && let Some(limit) = self.exceeded_limit(category, change)
        {
            let rejections = &mut self.usage[category.index()].rejections;
            match limit {
                ExceededLimit::Quota => rejections.by_quota += 1,
                ExceededLimit::Pool => rejections.by_pool += 1,
            }
            return Err(BudgetExceeded { category, limit });
        }
        self.apply(category, change);
        Ok(())
    }

    /// Like [`Self::resize`], but never rejected. For memory that is needed regardless of the budget, such as
    /// that of a final response. While more than the pool is borrowed, requests that would borrow more are
    /// rejected.
    pub fn charge(&mut self, category: Category, from: u64, to: u64) {
        let change = self.change(category, from, to);
        self.apply(category, change);
    }

    fn change(&self, category: Category, from: u64, to: u64) -> Change {
        let usage = &self.usage[category.index()];
        // A reservation releases no more than it was granted, so the subtraction does not saturate.
        let used = usage.used.saturating_sub(from).saturating_add(to);
        let borrowed_by_others = self.borrowed.saturating_sub(usage.borrowed_of(usage.used));
        Change { used, borrowed: borrowed_by_others.saturating_add(usage.borrowed_of(used)) }
    }

    /// The limit that a change exceeds, if any. It is only called for changes that increase the category's
    /// use.
    fn exceeded_limit(&self, category: Category, change: Change) -> Option<ExceededLimit> {
        if change.used > self.usage[category.index()].quota.limit {
            return Some(ExceededLimit::Quota);
        }
        // A request within the guarantee borrows nothing, so it is granted even if other categories were
        // charged beyond the pool.
        let borrows_more = change.borrowed > self.borrowed;
        if change.borrowed > self.pool && borrows_more { Some(ExceededLimit::Pool) } else { None }
    }

    fn apply(&mut self, category: Category, change: Change) {
        let usage = &mut self.usage[category.index()];
        usage.used = change.used;
        usage.peak = usage.peak.max(change.used);
        self.borrowed = change.borrowed;
        self.level = self.level.next(self.borrowed, self.pool);
    }

    /// The bytes that the category uses.
    pub fn used(&self, category: Category) -> u64 {
        self.usage[category.index()].used
    }

    /// The maximum number of bytes that the category has used at one time since the budget was created.
    pub fn peak(&self, category: Category) -> u64 {
        self.usage[category.index()].peak
    }

    /// The number of rejected requests of the category since the budget was created.
    pub fn rejections(&self, category: Category) -> Rejections {
        self.usage[category.index()].rejections
    }

    /// The quota of the category.
    pub fn quota(&self, category: Category) -> Quota {
        self.usage[category.index()].quota
    }

    /// The bytes that all categories use together.
    pub fn total_used(&self) -> u64 {
        self.usage.iter().map(|usage| usage.used).sum()
    }

    /// The current memory pressure.
    pub fn level(&self) -> PressureLevel {
        self.level
    }

    /// Whether the current pressure level asks for the action. Carrying it out is up to the caller.
    pub fn is_active(&self, action: ReclaimAction) -> bool {
        self.level >= action.activation_level()
    }
}
