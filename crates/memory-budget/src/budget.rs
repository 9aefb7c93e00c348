//! The budget: the one place where bytes are admitted, and given back.

use crate::category::Category;
use crate::pressure::{PressureLevel, ReclaimAction};

const CATEGORIES: usize = Category::ALL.len();

/// What one category may hold, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    /// Guaranteed to it: no other category can borrow these bytes.
    pub guaranteed: u64,
    /// The most that it may hold, borrowed bytes included.
    pub limit: u64,
}

/// Why quotas cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuotaError {
    /// A quota contradicts itself.
    #[error("{}: expected a guarantee of at most its limit of {} bytes, found {} bytes", .category.name(), .quota.limit, .quota.guaranteed)]
    GuaranteeExceedsLimit {
        /// The category of the quota.
        category: Category,
        /// The quota as it was given.
        quota: Quota,
    },
    /// The quotas together guarantee more than there is.
    #[error("expected guarantees of at most {total} bytes together, found {guaranteed} bytes")]
    Oversubscribed {
        /// The sum of all guarantees.
        guaranteed: u64,
        /// The size of the budget.
        total: u64,
    },
}

/// Which limit a request went beyond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The category holds all that it may.
    Quota,
    /// The category may hold more, but nothing is left to borrow.
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

/// There is no room for the bytes. The text reaches clients of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for {}: {}", .category.name(), .limit.reason())]
pub struct BudgetExceeded {
    /// The category that asked.
    pub category: Category,
    /// The limit that stands in the way.
    pub limit: ExceededLimit,
}

/// How often a category was rejected since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejections {
    /// At its own quota.
    pub by_quota: u64,
    /// For want of anything to borrow.
    pub by_pool: u64,
}

impl Rejections {
    /// All of them.
    pub fn total(self) -> u64 {
        self.by_quota + self.by_pool
    }
}

/// What one category holds.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    quota: Quota,
    used: u64,
    peak: u64,
    rejections: Rejections,
}

impl Usage {
    /// How much of this many bytes is borrowed.
    fn borrowed_of(&self, bytes: u64) -> u64 {
        bytes.saturating_sub(self.quota.guaranteed)
    }
}

/// What a change would come to, in bytes.
#[derive(Clone, Copy)]
struct Change {
    /// What the category would hold.
    used: u64,
    /// What all categories together would have borrowed.
    borrowed: u64,
}

/// The budget of a process.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// By [`Category::index`].
    usage: [Usage; CATEGORIES],
    /// Bytes that are guaranteed to no category.
    pool: u64,
    /// Bytes of the pool that are borrowed; more than the pool where bytes were charged beyond it.
    borrowed: u64,
    level: PressureLevel,
}

impl MemoryBudget {
    /// A budget of `total` bytes. A category that is not named may hold nothing.
    ///
    /// # Errors
    /// Quotas contradict themselves or each other.
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

    /// Changes what one owner holds for a category, from `from` bytes to `to`. Fewer bytes are always taken.
    ///
    /// # Errors
    /// There is no room; nothing has changed then but the count of rejections.
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

    /// As [`Self::resize`], for what must go on whatever is held, as a final response: it is never rejected, and what it
    /// takes beyond the pool makes others' requests be rejected.
    pub fn charge(&mut self, category: Category, from: u64, to: u64) {
        let change = self.change(category, from, to);
        self.apply(category, change);
    }

    fn change(&self, category: Category, from: u64, to: u64) -> Change {
        let usage = &self.usage[category.index()];
        // An owner gives back what it was given, so that this never goes below zero.
        let used = usage.used.saturating_sub(from).saturating_add(to);
        let borrowed_by_others = self.borrowed.saturating_sub(usage.borrowed_of(usage.used));
        Change { used, borrowed: borrowed_by_others.saturating_add(usage.borrowed_of(used)) }
    }

    /// The limit that a change to more bytes goes beyond.
    fn exceeded_limit(&self, category: Category, change: Change) -> Option<ExceededLimit> {
        if change.used > self.usage[category.index()].quota.limit {
            return Some(ExceededLimit::Quota);
        }
        // What is guaranteed is there even when others have been charged past the pool.
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

    /// Bytes that are held.
    pub fn used(&self, category: Category) -> u64 {
        self.usage[category.index()].used
    }

    /// The most bytes that were ever held.
    pub fn peak(&self, category: Category) -> u64 {
        self.usage[category.index()].peak
    }

    /// How often the category was rejected since the start.
    pub fn rejections(&self, category: Category) -> Rejections {
        self.usage[category.index()].rejections
    }

    /// What the category may hold.
    pub fn quota(&self, category: Category) -> Quota {
        self.usage[category.index()].quota
    }

    /// Bytes that all categories hold together.
    pub fn total_used(&self) -> u64 {
        self.usage.iter().map(|usage| usage.used).sum()
    }

    /// How short memory is.
    pub fn level(&self) -> PressureLevel {
        self.level
    }

    /// Whether the level calls for the action by now. Whether it is carried out is the caller's part.
    pub fn is_active(&self, action: ReclaimAction) -> bool {
        self.level >= action.activation_level()
    }
}
