//! Reading from a client's socket, both while the session is idle and while requests are in progress.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{FutureExt, future};

use super::session::Session;
use super::session_end::{SessionEnd, SessionResult};
use crate::descriptors::EvictionPriority;
use crate::receive_buffer::ReceiveError;
use crate::socket::READ_CHUNK_BYTES;
use crate::socket_liveness::peer_has_closed;

/// How many bytes of further messages are read from a pipelining client while its requests are in progress.
const MAX_READ_AHEAD_BYTES: usize = 4 * READ_CHUNK_BYTES;
/// How many consecutive reads from a client take priority over progress of its requests.
pub(super) const MAX_CONSECUTIVE_READS: usize = MAX_READ_AHEAD_BYTES / READ_CHUNK_BYTES;
/// How often a client whose socket is not being read is checked for having disconnected.
pub(super) const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Waits until `deadline` and returns [`SessionEnd::TimedOut`].
async fn timed_out<T>(deadline: Instant) -> Result<T, SessionEnd> {
    Timer::at(deadline).await;
    Err(SessionEnd::TimedOut)
}

impl Session<'_> {
    /// Reads more bytes while no request is in progress. Sets the deadline of a message that has partly
    /// arrived.
    pub(super) async fn receive_next(&mut self, message_deadline: &mut Option<Instant>) -> SessionResult {
        if self.buffer.is_empty() {
            return self.receive_while_idle().await;
        }
        // The deadline starts with the first byte of the message; further bytes do not extend it.
        let message_timeout = self.clients.message_timeout;
        let deadline = *message_deadline.get_or_insert_with(|| Instant::now() + message_timeout);
        async { Ok(self.buffer.receive(&self.stream).await?) }.or(timed_out(deadline)).await
    }

    /// Waits for the first bytes of a message. The session may be closed or evicted while it waits.
    async fn receive_while_idle(&mut self) -> SessionResult {
        // A draining router still reads the bytes that have already arrived.
        let draining = self.clients.draining.get();
        let close = self.close.clone();
        let evict = close.clone();
        let opening_deadline = self.opening_deadline;
        let priority = match opening_deadline {
            Some(_) => EvictionPriority::First,
            None => EvictionPriority::Idle,
        };
        let _evictable =
            self.clients.descriptors.register_evictable(self.permit.held_for, priority, move || evict.set());
        let opening_timeout = async {
            match opening_deadline {
                Some(deadline) => timed_out(deadline).await,
                None => future::pending().await,
            }
        };
        let closing = async {
            if !draining {
                close.wait().await;
            }
            Err(SessionEnd::ClosedWhileIdle)
        };
        async { Ok(self.buffer.receive(&self.stream).await?) }.or(closing).or(opening_timeout).await
    }

    /// Reads ahead while requests are in progress, so that a disconnect is noticed at once and the arrival
    /// times of pipelined messages are known. Reads at most [`MAX_READ_AHEAD_BYTES`], and nothing while memory
    /// is short: further bytes stay in the kernel, and only their number is recorded.
    pub(super) async fn receive_ahead(&mut self) -> SessionResult {
        let may_read_ahead = !self.buffer.is_full && !self.clients.takes_one_at_a_time();
        if may_read_ahead && self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.buffer.receive(&self.stream).await {
                Ok(()) => return Ok(()),
                // Reading continues once a message has been decoded, if there is memory by then.
                Err(ReceiveError::OutOfMemory(_)) => {}
                Err(error) => return Err(error.into()),
            }
        }
        Err(self.disconnected().await)
    }

    /// Waits, without reading, until the client has closed its side, and records when further bytes arrive.
    pub(super) async fn disconnected(&mut self) -> SessionEnd {
        while !peer_has_closed(self.stream.get_ref()) {
            self.buffer.record_unread_arrivals(self.stream.get_ref());
            Timer::after(DISCONNECT_CHECK_INTERVAL).await;
        }
        SessionEnd::ClientDisconnected
    }
}
