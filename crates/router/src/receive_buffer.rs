//! What a client has sent and is not decoded yet, and when each byte of it arrived.
//!
//! An RPC's time runs from when its last byte arrived, and not from when it was decoded. Bytes that are not read
//! ahead wait in the kernel, which says how many there are: so their time is known as well.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;

use crate::budget::{Reservation, ReservationRejected};
use crate::pg::ProtocolViolation;
use crate::socket;
use crate::socket_liveness::unread_bytes;

/// How much is read at once.
pub const READ_CHUNK_BYTES: usize = 4096;
/// How many times of arrival are kept apart; past it, the oldest bytes pass for as young as those behind them.
const MAX_ARRIVALS: usize = 256;

/// The buffer of one connection.
pub struct ReceiveBuffer {
    unread: Vec<u8>,
    memory: Reservation,
    /// Bytes that were decoded since the start.
    decoded_bytes: u64,
    /// Bytes that were read since the start.
    read_bytes: u64,
    arrivals: VecDeque<Arrival>,
    /// Whether the memory budget had no room for more, and nothing has been decoded since.
    pub is_full: bool,
}

/// This many bytes since the start had arrived by then.
struct Arrival {
    total_bytes: u64,
    at: Instant,
}

/// A message that was decoded.
pub struct ReceivedMessage<T> {
    /// What the decoder made of it.
    pub message: T,
    /// When its last byte arrived.
    pub arrived: Instant,
}

/// Why nothing more was read.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The connection is broken.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// There is no memory for more.
    #[error("{0}")]
    OutOfMemory(#[from] ReservationRejected),
    /// The client ended its sending.
    #[error("the client ended its sending")]
    Closed,
}

impl ReceiveBuffer {
    /// An empty buffer, which accounts for its memory with `memory`.
    pub fn new(memory: Reservation) -> Self {
        Self {
            unread: Vec::new(),
            memory,
            decoded_bytes: 0,
            read_bytes: 0,
            arrivals: VecDeque::new(),
            is_full: false,
        }
    }

    /// Bytes that have been read and not decoded.
    pub fn len(&self) -> usize {
        self.unread.len()
    }

    /// Whether all that was read has been decoded.
    pub fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }

    /// Decodes the next message, once it is complete.
    ///
    /// # Errors
    /// What the decoder says.
    pub fn decode_next<T>(
        &mut self,
        decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, ProtocolViolation>,
    ) -> Result<Option<ReceivedMessage<T>>, ProtocolViolation> {
        let Some((message, length)) = decode(&self.unread)? else { return Ok(None) };
        self.unread.drain(..length);
        self.decoded_bytes += length as u64;
        self.is_full = false;
        let passed = self.arrivals.partition_point(|arrival| arrival.total_bytes < self.decoded_bytes);
        self.arrivals.drain(..passed);
        let arrived = self.arrivals.front().map_or_else(Instant::now, |arrival| arrival.at);
        if self.unread.is_empty() {
            // What a long message took is not kept for the next.
            self.unread.shrink_to(READ_CHUNK_BYTES);
            _ = self.memory.resize(bytes_to_reserve(&self.unread));
        }
        Ok(Some(ReceivedMessage { message, arrived }))
    }

    /// Waits for the next bytes and reads them.
    ///
    /// # Errors
    /// The connection has ended or broken, or there is no memory for more.
    pub async fn receive(&mut self, stream: &Async<TcpStream>) -> Result<(), ReceiveError> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let count = socket::read(stream, &mut chunk).await?;
        if count == 0 {
            return Err(ReceiveError::Closed);
        }
        // No more than has arrived: many clients may send long messages at once.
        self.unread.reserve_exact(count);
        self.unread.extend(&chunk[..count]);
        self.read_bytes += count as u64;
        self.record_arrival(self.read_bytes);
        let reserved = self.memory.resize(bytes_to_reserve(&self.unread));
        self.is_full = reserved.is_err();
        Ok(reserved?)
    }

    /// Notes when the bytes arrived that wait in the kernel, for when they are read.
    pub fn record_unread_arrivals(&mut self, stream: &TcpStream) {
        self.record_arrival(self.read_bytes + unread_bytes(stream));
    }

    /// Bytes that were noted before arrived then, and not now.
    fn record_arrival(&mut self, total_bytes: u64) {
        let known = self.arrivals.back().map_or(self.decoded_bytes, |arrival| arrival.total_bytes);
        if total_bytes > known {
            self.arrivals.push_back(Arrival { total_bytes, at: Instant::now() });
        }
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    /// Frees the buffer: nothing of it is needed any more.
    pub fn clear(&mut self) {
        self.unread = Vec::new();
        _ = self.memory.resize(0);
    }
}

/// A chunk for each session is bounded by the count of descriptors; only what goes beyond it is reserved.
fn bytes_to_reserve(unread: &Vec<u8>) -> usize {
    unread.capacity().saturating_sub(READ_CHUNK_BYTES)
}
