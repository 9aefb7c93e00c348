//! The receive buffer of a client connection: bytes that have not been decoded yet, and their arrival times.
//!
//! An RPC's deadline counts from the arrival of its last byte, not from when it is decoded. Bytes that are
//! not read ahead wait in the kernel, which reports their number, so that their arrival times are known too.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;

use crate::budget::ReservationRejected;
use crate::connection_memory::ConnectionMemory;
use crate::message_buffer::MessageBuffer;
use crate::pg::{Decoded, Framing, ProtocolViolation};
use crate::socket;
use crate::socket_liveness::unread_bytes;

/// How many arrival times are stored. Beyond it the oldest is dropped, and its bytes count as arrived with
/// the next ones.
const MAX_ARRIVALS: usize = 256;

/// The receive buffer of one client connection.
pub struct ReceiveBuffer {
    undecoded: MessageBuffer,
    memory: ConnectionMemory,
    /// The number of bytes decoded since the connection was opened.
    decoded_bytes: u64,
    /// The number of bytes read since the connection was opened.
    read_bytes: u64,
    arrivals: VecDeque<Arrival>,
    /// Whether the memory budget was exceeded by the last read, and nothing has been decoded since.
    pub is_full: bool,
}

/// At the time `at`, `total_bytes` bytes had arrived since the connection was opened.
struct Arrival {
    total_bytes: u64,
    at: Instant,
}

/// A decoded message.
pub struct ReceivedMessage<T> {
    /// The result of the decoder.
    pub message: T,
    /// When its last byte arrived.
    pub arrived: Instant,
}

/// Why reading failed.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The connection is broken.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The memory budget has no room for the bytes.
    #[error("{0}")]
    OutOfMemory(#[from] ReservationRejected),
    /// The client closed its side of the connection.
    #[error("the client closed its side of the connection")]
    Closed,
}

impl ReceiveBuffer {
    /// Creates an empty buffer that accounts for its memory with `memory`.
    pub fn new(memory: ConnectionMemory) -> Self {
        Self {
            undecoded: MessageBuffer::default(),
            memory,
            decoded_bytes: 0,
            read_bytes: 0,
            arrivals: VecDeque::new(),
            is_full: false,
        }
    }

    /// The number of bytes that have been read and not yet decoded.
    pub fn len(&self) -> usize {
        self.undecoded.len()
    }

    /// Whether all bytes that were read have been decoded.
    pub fn is_empty(&self) -> bool {
        self.undecoded.is_empty()
    }

    /// Decodes the next message, or returns `None` if it is not complete yet.
    ///
    /// # Errors
    /// The decoder's error.
    pub fn decode_next<T>(
        &mut self,
        framing: Framing,
        decode: impl Fn(&[u8]) -> Decoded<T>,
    ) -> Result<Option<ReceivedMessage<T>>, ProtocolViolation> {
        let Some((message, length)) = self.undecoded.decode_next(framing, decode)? else { return Ok(None) };
        self.decoded_bytes += length as u64;
        self.is_full = false;
        let decoded = self.arrivals.partition_point(|arrival| arrival.total_bytes < self.decoded_bytes);
        self.arrivals.drain(..decoded);
        let arrived = self.arrivals.front().map_or_else(Instant::now, |arrival| arrival.at);
        if self.undecoded.is_empty() {
            self.release_arrivals();
        }
        // Shrinking cannot fail. Joining the pieces of a message may have allocated some bytes more.
        _ = self.account();
        Ok(Some(ReceivedMessage { message, arrived }))
    }

    /// Waits for the next bytes and reads them.
    ///
    /// # Errors
    /// The connection is closed or broken, or the memory budget has no room for the bytes. In the latter case
    /// the bytes have been read.
    pub async fn receive(&mut self, stream: &Async<TcpStream>) -> Result<(), ReceiveError> {
        socket::read_chunk(stream, |bytes| self.append(bytes)).await?
    }

    /// Adds bytes that were read from the stream; none if the client has closed its side.
    fn append(&mut self, bytes: &[u8]) -> Result<(), ReceiveError> {
        if bytes.is_empty() {
            return Err(ReceiveError::Closed);
        }
        self.undecoded.append(bytes);
        self.read_bytes += bytes.len() as u64;
        self.record_arrival(self.read_bytes);
        let reserved = self.account();
        self.is_full = reserved.is_err();
        Ok(reserved?)
    }

    /// Records the arrival time of the bytes that wait in the kernel.
    pub fn record_unread_arrivals(&mut self, stream: &TcpStream) {
        self.record_arrival(self.read_bytes + unread_bytes(stream));
    }

    /// Records the current time as the arrival time of the bytes up to `total_bytes` that have none yet.
    fn record_arrival(&mut self, total_bytes: u64) {
        let recorded = self.arrivals.back().map_or(self.decoded_bytes, |arrival| arrival.total_bytes);
        if total_bytes > recorded {
            if self.arrivals.len() >= MAX_ARRIVALS {
                self.arrivals.pop_front();
            }
            self.arrivals.push_back(Arrival { total_bytes, at: Instant::now() });
        }
    }

    /// Removes and returns the first undecoded bytes that are stored together, without decoding them.
    pub fn take_chunk(&mut self) -> Option<Vec<u8>> {
        let chunk = self.undecoded.take_chunk()?;
        self.decoded_bytes += chunk.len() as u64;
        // Shrinking cannot fail.
        _ = self.account();
        Some(chunk)
    }

    /// Discards all bytes and frees the buffer.
    pub fn clear(&mut self) {
        self.undecoded.clear();
        self.arrivals = VecDeque::new();
        _ = self.account();
    }

    /// Frees the memory for the arrival times of many short pieces, which a connection seldom needs.
    fn release_arrivals(&mut self) {
        if self.arrivals.is_empty() {
            self.arrivals = VecDeque::new();
        }
    }

    fn account(&mut self) -> Result<(), ReservationRejected> {
        let arrivals_bytes = self.arrivals.capacity() * size_of::<Arrival>();
        self.memory.resize(self.undecoded.capacity(), arrivals_bytes)
    }
}
