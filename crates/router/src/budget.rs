//! What peers make the router hold in memory: the router's one budget, and the reservations in it.

use std::cell::RefCell;
use std::rc::Rc;

use quillpoint_memory_budget::{BudgetExceeded, Category, MemoryBudget, Quota};

/// Messages that are arriving from clients may take this fraction of the memory.
const INCOMING_DIVISOR: u64 = 8;
/// Statements and responses under way, copies of which are sent on, may take this fraction of the memory.
const IN_FLIGHT_DIVISOR: u64 = 4;
/// This fraction of the latter is guaranteed to statements, and as much to responses: neither can shut the other out.
const GUARANTEED_DIVISOR: u64 = 16;

/// The budget has no room for a reservation. Its text reaches clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this router holds all the bytes that it may ({0})")]
pub struct ReservationRejected(#[from] BudgetExceeded);

/// The router's memory budget. Clones share it.
#[derive(Clone, Debug)]
pub struct SharedBudget(Rc<RefCell<MemoryBudget>>);

impl SharedBudget {
    /// The usual quotas of this many bytes of memory.
    pub fn new(memory_bytes: u64) -> Self {
        let incoming = memory_bytes / INCOMING_DIVISOR;
        let in_flight = memory_bytes / IN_FLIGHT_DIVISOR;
        let guaranteed = in_flight / GUARANTEED_DIVISOR;
        let quotas = [
            (Category::IncomingMessages, Quota { guaranteed: incoming, limit: incoming }),
            (Category::Statements, Quota { guaranteed, limit: in_flight }),
            (Category::Responses, Quota { guaranteed, limit: in_flight }),
            (Category::ResponseWrites, Quota { guaranteed: 0, limit: in_flight }),
        ];
        let budget = MemoryBudget::new(incoming + in_flight, &quotas).expect("fractions of one whole fit it");
        Self(Rc::new(RefCell::new(budget)))
    }

    /// A reservation of no bytes, to be resized.
    pub fn empty_reservation(&self, category: Category) -> Reservation {
        Reservation { budget: self.clone(), category, bytes: 0 }
    }

    /// Reserves bytes.
    ///
    /// # Errors
    /// There is no room.
    pub fn reserve(&self, category: Category, bytes: usize) -> Result<Reservation, ReservationRejected> {
        let mut reservation = self.empty_reservation(category);
        reservation.resize(bytes)?;
        Ok(reservation)
    }

    /// Reserves bytes, whether or not there is room, for what must go on.
    pub fn charge(&self, category: Category, bytes: usize) -> Reservation {
        self.0.borrow_mut().charge(category, 0, bytes as u64);
        Reservation { budget: self.clone(), category, bytes }
    }

    /// Reads the budget as it stands.
    pub fn read<T>(&self, read: impl FnOnce(&MemoryBudget) -> T) -> T {
        read(&self.0.borrow())
    }
}

/// Bytes that one owner holds, given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: SharedBudget,
    category: Category,
    bytes: usize,
}

impl Reservation {
    /// Changes how many bytes are held. Fewer are always taken.
    ///
    /// # Errors
    /// There is no room for more; nothing has changed then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), ReservationRejected> {
        if bytes != self.bytes {
            let from = self.bytes as u64;
            let to = bytes as u64;
            self.budget.0.borrow_mut().resize(self.category, from, to)?;
            self.bytes = bytes;
        }
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Fewer bytes are always taken.
        _ = self.resize(0);
    }
}
