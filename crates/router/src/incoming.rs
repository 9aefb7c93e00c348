//! What a client has sent and is not decoded yet, and when each byte of it came.
//!
//! An RPC's time runs from when its last byte came, and not from when it was decoded. Bytes that are not read
//! ahead wait in the system, which says how many there are: so their time is known as well.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;

use crate::budget::{Exhausted, Held};
use crate::pg::ProtocolViolation;
use crate::presence::bytes_waiting;
use crate::socket;

/// How much is read at once.
pub const PIECE: usize = 4096;
/// How many times of arrival are kept apart; past it, the oldest bytes pass for as young as those behind them.
const MOST_MARKS: usize = 256;

pub struct Incoming {
    unread: Vec<u8>,
    memory: Held,
    /// How many bytes were taken out since the start, and how many have been read.
    taken: u64,
    read: u64,
    /// So many bytes had come by then, since the start.
    marks: VecDeque<(u64, Instant)>,
    /// The accounts had no room for more, and nothing has been taken out since.
    pub is_full: bool,
}

/// Why nothing more was read.
#[derive(Debug, thiserror::Error)]
pub enum Stop {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Exhausted(#[from] Exhausted),
    #[error("the client ended its sending")]
    End,
}

impl Incoming {
    pub fn new(memory: Held) -> Self {
        Self { unread: Vec::new(), memory, taken: 0, read: 0, marks: VecDeque::new(), is_full: false }
    }

    /// Bytes that have been read and not taken out.
    pub fn len(&self) -> usize {
        self.unread.len()
    }

    pub fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }

    /// The next message, once it is whole, and when its last byte came.
    ///
    /// # Errors
    /// What the decoder says.
    pub fn take<T>(
        &mut self,
        decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, ProtocolViolation>,
    ) -> Result<Option<(T, Instant)>, ProtocolViolation> {
        let Some((message, count)) = decode(&self.unread)? else { return Ok(None) };
        self.unread.drain(..count);
        (self.taken, self.is_full) = (self.taken + count as u64, false);
        let passed = self.marks.partition_point(|(come, _)| *come < self.taken);
        self.marks.drain(..passed);
        let arrived = self.marks.front().map_or_else(Instant::now, |(_, at)| *at);
        if self.unread.is_empty() {
            // What a long message took is not kept for the next.
            self.unread.shrink_to(PIECE);
            _ = self.memory.resize(beyond_a_piece(&self.unread));
        }
        Ok(Some((message, arrived)))
    }

    /// Waits for the next bytes and takes them in.
    ///
    /// # Errors
    /// The connection has ended or broken, or there is no room for more.
    pub async fn read(&mut self, stream: &Async<TcpStream>) -> Result<(), Stop> {
        let mut piece = [0; PIECE];
        let count = socket::read(stream, &mut piece).await?;
        if count == 0 {
            return Err(Stop::End);
        }
        // No more than has come: many clients may send long messages at once.
        self.unread.reserve_exact(count);
        self.unread.extend(&piece[..count]);
        self.read += count as u64;
        self.note(self.read);
        let resized = self.memory.resize(beyond_a_piece(&self.unread));
        self.is_full = resized.is_err();
        Ok(resized?)
    }

    /// Notes what waits in the system, for when it is read.
    pub fn note_waiting(&mut self, stream: &TcpStream) {
        self.note(self.read + bytes_waiting(stream));
    }

    /// Bytes that were noted before have come then, and not now.
    fn note(&mut self, come: u64) {
        let known = self.marks.back().map_or(self.taken, |(come, _)| *come);
        if come > known {
            self.marks.push_back((come, Instant::now()));
        }
        if self.marks.len() > MOST_MARKS {
            self.marks.pop_front();
        }
    }

    /// Nothing of it is needed any more.
    pub fn clear(&mut self) {
        self.unread = Vec::new();
        _ = self.memory.resize(0);
    }
}

/// What counts against the budget: a piece for each session is bounded by the count of sockets.
fn beyond_a_piece(unread: &Vec<u8>) -> usize {
    unread.capacity().saturating_sub(PIECE)
}
