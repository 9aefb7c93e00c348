//! The router's memory budget. It accounts for all that clients and nodes make the router hold: buffers, and
//! the state of connections, RPCs and attempts. Each owner holds a reservation for its bytes.

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

/// Pending RPCs and their attempts may use up to 1/8 of the memory, beside the texts of their statements.
const PENDING_RPCS_DIVISOR: u64 = 8;
/// While pending RPCs use more than half of their quota, each client's statements are taken one at a time. So
/// clients that send many at once leave room for those that do not.
const PIPELINED_RPCS_DIVISOR: u64 = 2;
/// The state of client connections may use up to 1/8 of the memory, that of connections to nodes up to 1/16.
const CLIENT_CONNECTIONS_DIVISOR: u64 = 8;
const NODE_CONNECTIONS_DIVISOR: u64 = 16;

/// What a client session holds beside its buffers: its task, its registrations, and the response that it is
/// writing. This and the sizes below include what the allocator adds.
pub const SESSION_BYTES: usize = 4096;
/// What a connection to a node holds beside its buffer: its state, its registrations, and the task that opens
/// it.
pub const NODE_CONNECTION_BYTES: usize = 2048;
/// What an RPC holds from its arrival to its response, beside its statement: its entries in the pipeline, the
/// engine and the decisions.
pub const RPC_BYTES: usize = 1664;
/// What an attempt holds: its task, and its wait for a connection.
pub const ATTEMPT_BYTES: usize = 4096;
/// What a response that waits to be written holds beside its bytes.
pub const RESPONSE_BYTES: usize = 128;

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
        let pending_rpcs = memory_bytes / PENDING_RPCS_DIVISOR;
        let client_connections = memory_bytes / CLIENT_CONNECTIONS_DIVISOR;
        let node_connections = memory_bytes / NODE_CONNECTIONS_DIVISOR;
        let quotas = [
            (Category::PendingRpcs, Quota { guaranteed: pending_rpcs, limit: pending_rpcs }),
            (
                Category::ClientConnections,
                Quota { guaranteed: client_connections, limit: client_connections },
            ),
            (Category::NodeConnections, Quota { guaranteed: node_connections, limit: node_connections }),
            (Category::IncomingMessages, Quota { guaranteed: incoming, limit: incoming }),
            (Category::Statements, Quota { guaranteed, limit: in_flight }),
            (Category::Responses, Quota { guaranteed, limit: in_flight }),
            (Category::ResponseWrites, Quota { guaranteed: 0, limit: in_flight }),
        ];
        let total = incoming + in_flight + pending_rpcs + client_connections + node_connections;
        let budget =
            MemoryBudget::new(total, &quotas).expect("the quotas are fractions of the total and fit into it");
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

    /// The number of sockets whose state fits into the quotas of the connections.
    pub fn max_sockets(&self) -> usize {
        let quota = |category| self.read(|budget| budget.quota(category).limit);
        let quotas = quota(Category::ClientConnections) + quota(Category::NodeConnections);
        usize::try_from(quotas / SESSION_BYTES as u64).unwrap_or(usize::MAX)
    }

    /// Whether pending RPCs leave so little of their quota that each client's statements have to be taken one
    /// at a time.
    pub fn limits_pipelining(&self) -> bool {
        self.read(|budget| {
            let quota = budget.quota(Category::PendingRpcs).limit;
            budget.used(Category::PendingRpcs) > quota / PIPELINED_RPCS_DIVISOR
        })
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

impl Reservation {
    /// Takes over the bytes of another reservation of the same category.
    pub fn absorb(&mut self, other: Self) {
        let bytes = self.bytes + other.bytes;
        drop(other);
        self.recharge(bytes);
    }

    /// Changes the number of reserved bytes even if that exceeds the budget, for memory that is bounded by
    /// other limits or that is needed to end work which has begun.
    pub fn recharge(&mut self, bytes: usize) {
        if bytes != self.bytes {
            self.budget.0.borrow_mut().charge(self.category, self.bytes as u64, bytes as u64);
            self.bytes = bytes;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Shrinking cannot fail.
        _ = self.resize(0);
    }
}
