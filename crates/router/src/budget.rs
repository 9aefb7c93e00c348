//! The router's memory budget. It accounts for the buffers whose sizes clients and nodes determine: each
//! owner of a buffer holds a reservation for its bytes.

use std::cell::RefCell;
use std::rc::Rc;

use quillpoint_memory_budget::{BudgetExceeded, Category, MemoryBudget, Quota};

/// Incoming client messages may use up to 1/8 of the memory.
const INCOMING_DIVISOR: u64 = 8;
/// In-flight statements and responses, including the copies being written to sockets, may use up to 1/4 of
/// the memory.
const IN_FLIGHT_DIVISOR: u64 = 4;
/// Of the in-flight memory, 1/16 is guaranteed to statements and 1/16 to responses, so that neither can
/// starve the other.
const GUARANTEED_DIVISOR: u64 = 16;

/// A reservation that would exceed the budget. The message is sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this router holds all the bytes that it may ({0})")]
pub struct ReservationRejected(#[from] BudgetExceeded);

/// The router's memory budget. Clones share it.
#[derive(Clone, Debug)]
pub struct SharedBudget(Rc<RefCell<MemoryBudget>>);

impl SharedBudget {
    /// Divides `memory_bytes` into the quotas of all categories.
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
        let budget = MemoryBudget::new(incoming + in_flight, &quotas)
            .expect("the quotas are fractions of the total and fit into it");
        Self(Rc::new(RefCell::new(budget)))
    }

    /// Returns a reservation of zero bytes, to be resized later.
    pub fn empty_reservation(&self, category: Category) -> Reservation {
        Reservation { budget: self.clone(), category, bytes: 0 }
    }

    /// Reserves bytes if the budget allows it.
    ///
    /// # Errors
    /// The reservation would exceed the budget.
    pub fn reserve(&self, category: Category, bytes: usize) -> Result<Reservation, ReservationRejected> {
        let mut reservation = self.empty_reservation(category);
        reservation.resize(bytes)?;
        Ok(reservation)
    }

    /// Reserves bytes even if that exceeds the budget, for work that cannot be rejected any more.
    pub fn charge(&self, category: Category, bytes: usize) -> Reservation {
        self.0.borrow_mut().charge(category, 0, bytes as u64);
        Reservation { budget: self.clone(), category, bytes }
    }

    /// Calls `read` with the current state of the budget.
    pub fn read<T>(&self, read: impl FnOnce(&MemoryBudget) -> T) -> T {
        read(&self.0.borrow())
    }
}

/// Bytes reserved by one owner. Dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    budget: SharedBudget,
    category: Category,
    bytes: usize,
}

impl Reservation {
    /// Changes the number of reserved bytes. Shrinking always succeeds.
    ///
    /// # Errors
    /// Growing would exceed the budget; the reservation is unchanged.
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
        // Shrinking cannot fail.
        _ = self.resize(0);
    }
}
