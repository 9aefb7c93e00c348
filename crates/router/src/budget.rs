//! What peers make a router hold, by purpose: the router's one ledger, and the owners of what is held.

use std::cell::RefCell;
use std::rc::Rc;

use quillpoint_memory_budget::{Ledger, Purpose, Refused, Share};

/// The parts of the memory that may be held of messages that are coming in from clients, and of statements and
/// answers under way, of which copies are sent on.
const COMING_PART: u64 = 8;
const HELD_PART: u64 = 4;
/// Of the latter part, this is statements' own, and as much answers' own: neither can shut the other out.
const OWN_PART: u64 = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this router holds all the bytes that it may ({0})")]
pub struct Exhausted(#[from] Refused);

/// The router's accounts. Clones are the same accounts.
#[derive(Clone, Debug)]
pub struct Accounts(Rc<RefCell<Ledger>>);

impl Accounts {
    /// By the usual shares of so much memory.
    pub fn of(memory: u64) -> Self {
        let (coming, held) = (memory / COMING_PART, memory / HELD_PART);
        let own = held / OWN_PART;
        let shares = [
            (Purpose::Coming, Share { own: coming, most: coming }),
            (Purpose::Statements, Share { own, most: held }),
            (Purpose::Answers, Share { own, most: held }),
            (Purpose::Writes, Share { own: 0, most: held }),
        ];
        let ledger = Ledger::new(coming + held, &shares).expect("parts of one whole fit it");
        Self(Rc::new(RefCell::new(ledger)))
    }

    /// Nothing is held yet by the new owner.
    pub fn owner(&self, purpose: Purpose) -> Held {
        Held { accounts: self.clone(), purpose, bytes: 0 }
    }

    /// # Errors
    /// There is no room.
    pub fn hold(&self, purpose: Purpose, bytes: usize) -> Result<Held, Exhausted> {
        let mut held = self.owner(purpose);
        held.resize(bytes)?;
        Ok(held)
    }

    /// For what must go on whatever is held.
    pub fn charge(&self, purpose: Purpose, bytes: usize) -> Held {
        self.0.borrow_mut().charge(purpose, 0, bytes as u64);
        Held { accounts: self.clone(), purpose, bytes }
    }

    /// The ledger as it stands.
    pub fn look<T>(&self, at: impl FnOnce(&Ledger) -> T) -> T {
        at(&self.0.borrow())
    }
}

/// What one owner holds, given back when it is dropped.
#[derive(Debug)]
pub struct Held {
    accounts: Accounts,
    purpose: Purpose,
    bytes: usize,
}

impl Held {
    /// Nothing changes where there is no room for more.
    ///
    /// # Errors
    /// There is no room.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes != self.bytes {
            let (from, to) = (self.bytes as u64, bytes as u64);
            self.accounts.0.borrow_mut().change(self.purpose, from, to)?;
            self.bytes = bytes;
        }
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        // Less is always taken.
        _ = self.resize(0);
    }
}
