//! Accounts for what one connection holds: its state and the first chunk of its receive buffer, which are
//! bounded by the number of sockets, and the rest of the buffer, which is not.

use quillpoint_memory_budget::Category;

use crate::budget::{Reservation, ReservationRejected, SharedBudget};
use crate::socket::READ_CHUNK_BYTES;

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client, which sends statements.
    Client,
    /// A node, which sends responses.
    Node,
}

/// The memory that one connection holds; released on drop.
pub struct ConnectionMemory {
    /// The state of the connection. Charged without a limit, since the number of sockets is limited.
    state: Reservation,
    state_bytes: usize,
    /// The receive buffer beyond its first chunk.
    buffer: Reservation,
}

impl ConnectionMemory {
    /// Charges a connection whose state takes `state_bytes`.
    pub fn new(budget: &SharedBudget, peer: Peer, state_bytes: usize) -> Self {
        let (state, buffer) = match peer {
            Peer::Client => (Category::ClientConnections, Category::IncomingMessages),
            Peer::Node => (Category::NodeConnections, Category::Responses),
        };
        Self {
            state: budget.charge(state, state_bytes),
            state_bytes,
            buffer: budget.empty_reservation(buffer),
        }
    }

    /// Accounts for a receive buffer of this capacity, and for `bookkeeping_bytes` beside it.
    ///
    /// # Errors
    /// The budget has no room for the buffer.
    pub fn resize(&mut self, capacity: usize, bookkeeping_bytes: usize) -> Result<(), ReservationRejected> {
        let first_chunk = capacity.min(READ_CHUNK_BYTES);
        self.state.recharge(self.state_bytes + first_chunk + bookkeeping_bytes);
        self.buffer.resize(capacity - first_chunk)
    }
}
