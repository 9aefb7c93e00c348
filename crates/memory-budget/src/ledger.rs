//! The one place where bytes are admitted, and given back.

use crate::level::{Level, Relief};
use crate::purpose::Purpose;

const COUNT: usize = Purpose::ALL.len();

/// What one purpose may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Its own: nobody else can borrow it.
    pub own: u64,
    /// The most, what it borrows included.
    pub most: u64,
}

/// Why shares cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Faulty {
    #[error("{}: its own {} bytes are more than the {} that it may hold", .0.name(), .1.own, .1.most)]
    Crossed(Purpose, Share),
    #[error("what is each purpose's own adds up to {own} bytes, of {total}")]
    Oversold { own: u64, total: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The purpose holds all that it may.
    Cap,
    /// It may hold more, but there is nothing left to borrow.
    Pool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for {}: {}", .purpose.name(), match .cause { Cause::Cap => "its cap is reached", Cause::Pool => "nothing is left to borrow" })]
pub struct Refused {
    pub purpose: Purpose,
    pub cause: Cause,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    share: Share,
    used: u64,
    high: u64,
    /// Refusals by cause, since the start.
    at_cap: u64,
    at_pool: u64,
}

impl Account {
    fn borrowed_at(&self, used: u64) -> u64 {
        used.saturating_sub(self.share.own)
    }
}

/// The accounts of a process.
#[derive(Clone, Debug)]
pub struct Ledger {
    accounts: [Account; COUNT],
    /// What is nobody's own, and what is borrowed of it.
    pool: u64,
    borrowed: u64,
    level: Level,
}

impl Ledger {
    /// Accounts within `total` bytes; a purpose that is not named may hold nothing.
    ///
    /// # Errors
    /// Shares that contradict themselves or each other.
    pub fn new(total: u64, shares: &[(Purpose, Share)]) -> Result<Self, Faulty> {
        let mut accounts = [Account::default(); COUNT];
        let mut own: u64 = 0;
        for (purpose, share) in shares {
            if share.own > share.most {
                return Err(Faulty::Crossed(*purpose, *share));
            }
            own = own.saturating_add(share.own);
            accounts[purpose.place()].share = *share;
        }
        let pool = total.checked_sub(own).ok_or(Faulty::Oversold { own, total })?;
        Ok(Self { accounts, pool, borrowed: 0, level: Level::Calm })
    }

    /// Changes what a purpose holds by one owner, from `from` bytes to `to`. Less is always taken.
    ///
    /// # Errors
    /// There is no room; nothing has changed then but the count of refusals.
    pub fn change(&mut self, purpose: Purpose, from: u64, to: u64) -> Result<(), Refused> {
        let (used, borrowed) = self.after(purpose, from, to);
        let account = &mut self.accounts[purpose.place()];
        if to > from {
            if used > account.share.most {
                account.at_cap += 1;
                return Err(Refused { purpose, cause: Cause::Cap });
            }
            // What is its own is there even when others have been charged past the pool.
            if borrowed > self.pool && borrowed > self.borrowed {
                account.at_pool += 1;
                return Err(Refused { purpose, cause: Cause::Pool });
            }
        }
        self.enter(purpose, used, borrowed);
        Ok(())
    }

    /// The same for what must go on whatever is held, as a final answer: it is never refused, and what it takes
    /// beyond the pool makes others' requests be refused.
    pub fn charge(&mut self, purpose: Purpose, from: u64, to: u64) {
        let (used, borrowed) = self.after(purpose, from, to);
        self.enter(purpose, used, borrowed);
    }

    /// What the purpose would hold, and what would be borrowed in all.
    fn after(&self, purpose: Purpose, from: u64, to: u64) -> (u64, u64) {
        let account = &self.accounts[purpose.place()];
        // An owner gives back what it was given, so that this never goes below zero.
        let used = account.used.saturating_sub(from).saturating_add(to);
        let others = self.borrowed.saturating_sub(account.borrowed_at(account.used));
        (used, others.saturating_add(account.borrowed_at(used)))
    }

    fn enter(&mut self, purpose: Purpose, used: u64, borrowed: u64) {
        let account = &mut self.accounts[purpose.place()];
        (account.used, account.high) = (used, account.high.max(used));
        self.borrowed = borrowed;
        self.level = self.level.next(self.borrowed, self.pool);
    }

    pub fn used(&self, purpose: Purpose) -> u64 {
        self.accounts[purpose.place()].used
    }

    /// The most that was ever held.
    pub fn high(&self, purpose: Purpose) -> u64 {
        self.accounts[purpose.place()].high
    }

    /// Refusals since the start: at the purpose's own cap, and for want of anything to borrow.
    pub fn refused(&self, purpose: Purpose) -> (u64, u64) {
        let account = &self.accounts[purpose.place()];
        (account.at_cap, account.at_pool)
    }

    pub fn share(&self, purpose: Purpose) -> Share {
        self.accounts[purpose.place()].share
    }

    pub fn total_used(&self) -> u64 {
        self.accounts.iter().map(|account| account.used).sum()
    }

    /// How short memory is.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Whether this is to be done by now to make room.
    pub fn calls_for(&self, relief: Relief) -> bool {
        self.level >= relief.from()
    }
}
