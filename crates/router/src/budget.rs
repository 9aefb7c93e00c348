//! The one count of the memory that peers make a router hold, against its share of the limit.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this router holds all the bytes that it may")]
pub struct Exhausted;

#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: Cell<usize>,
}

/// What one owner holds, given back when it is dropped.
#[derive(Debug)]
pub struct Held {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Budget {
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, used: Cell::new(0) })
    }

    pub fn hold(self: &Rc<Self>, bytes: usize) -> Result<Held, Exhausted> {
        let mut held = Held { budget: Rc::clone(self), bytes: 0 };
        held.resize(bytes)?;
        Ok(held)
    }
}

impl Held {
    /// Nothing changes where there is no room for more.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let used = self.budget.used.get() - self.bytes + bytes;
        if bytes > self.bytes && used > self.budget.limit {
            return Err(Exhausted);
        }
        self.budget.used.set(used);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
