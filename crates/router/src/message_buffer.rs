//! A buffer for the bytes of a connection that have not been decoded yet. Each byte is copied at most twice
//! between its arrival and its message, however small the pieces in which it arrives and however many messages
//! arrive at once. Chunks are freed as their bytes are decoded.

use std::collections::VecDeque;

use crate::pg::{Decoded, Framing, MESSAGE_HEAD_BYTES};

/// Capacities of chunks are multiples of this, so that small pieces share a chunk.
const CHUNK_STEP_BYTES: usize = 512;

/// Received bytes, of which those from `start` on have not been consumed.
struct Chunk {
    bytes: Vec<u8>,
    start: usize,
}

impl Chunk {
    fn unconsumed(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    fn spare_bytes(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }
}

/// The undecoded bytes of one connection.
#[derive(Default)]
pub struct MessageBuffer {
    chunks: VecDeque<Chunk>,
    length: usize,
    capacity: usize,
}

impl MessageBuffer {
    /// The number of bytes that have not been consumed.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The number of bytes that are allocated.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The capacity after `count` more bytes have been appended.
    pub fn capacity_with(&self, count: usize) -> usize {
        let spare = self.chunks.back().map_or(0, Chunk::spare_bytes);
        self.capacity + count.saturating_sub(spare).next_multiple_of(CHUNK_STEP_BYTES)
    }

    /// Adds bytes that were received.
    pub fn append(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        let spare = self.chunks.back().map_or(0, Chunk::spare_bytes);
        let (filling, rest) = bytes.split_at(spare.min(bytes.len()));
        if let Some(last) = self.chunks.back_mut() {
            last.bytes.extend(filling);
        }
        if !rest.is_empty() {
            let mut bytes = Vec::with_capacity(rest.len().next_multiple_of(CHUNK_STEP_BYTES));
            bytes.extend(rest);
            self.capacity += bytes.capacity();
            self.chunks.push_back(Chunk { bytes, start: 0 });
        }
    }

    /// Decodes and consumes the next message. Returns it with its length in bytes, or `None` if it is not
    /// complete yet.
    ///
    /// # Errors
    /// The decoder's error.
    pub fn decode_next<T>(&mut self, framing: Framing, decode: impl Fn(&[u8]) -> Decoded<T>) -> Decoded<T> {
        let head = self.contiguous(MESSAGE_HEAD_BYTES.min(self.length));
        let message_bytes = framing.message_bytes(head).filter(|length| *length <= self.length);
        // The decoder gets an incomplete message too: its head may already be invalid.
        let bytes = match message_bytes {
            Some(length) => self.contiguous(length),
            None => self.contiguous(MESSAGE_HEAD_BYTES.min(self.length)),
        };
        let Some((message, length)) = decode(bytes)? else { return Ok(None) };
        self.consume(length);
        Ok(Some((message, length)))
    }

    /// Removes and returns the first bytes that are stored together, or `None` if the buffer is empty.
    pub fn take_chunk(&mut self) -> Option<Vec<u8>> {
        let Chunk { mut bytes, start } = self.chunks.pop_front()?;
        self.capacity -= bytes.capacity();
        bytes.drain(..start);
        self.length -= bytes.len();
        Some(bytes)
    }

    /// Removes all bytes and frees the memory.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the first chunk's bytes, after joining chunks until it holds at least `count` bytes. There have
    /// to be as many.
    fn contiguous(&mut self, count: usize) -> &[u8] {
        if self.chunks.front().is_some_and(|first| first.unconsumed().len() < count) {
            self.join(count);
        }
        self.chunks.front().map_or(&[], Chunk::unconsumed)
    }

    /// Moves the first `count` bytes to a chunk of their own.
    fn join(&mut self, count: usize) {
        let mut joined = Vec::with_capacity(count);
        while joined.len() < count
            && let Some(first) = self.chunks.front_mut()
        {
            let moved = first.unconsumed().len().min(count - joined.len());
            joined.extend(&first.unconsumed()[..moved]);
            first.start += moved;
            self.drop_consumed_chunk();
        }
        self.capacity += joined.capacity();
        self.chunks.push_front(Chunk { bytes: joined, start: 0 });
    }

    /// Removes the first `count` bytes, which are in the first chunk.
    fn consume(&mut self, count: usize) {
        if let Some(first) = self.chunks.front_mut() {
            first.start += count;
            self.length -= count;
        }
        self.drop_consumed_chunk();
    }

    /// Frees the first chunk if all of its bytes have been consumed.
    fn drop_consumed_chunk(&mut self) {
        if let Some(consumed) = self.chunks.pop_front_if(|first| first.unconsumed().is_empty()) {
            self.capacity -= consumed.bytes.capacity();
        }
        if self.chunks.is_empty() {
            self.chunks = VecDeque::new();
        }
    }
}
