//! How a session reads: with nothing else to do, and while requests are under way.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{FutureExt, future};

use super::session::Session;
use super::session_end::{SessionEnd, SessionResult};
use crate::descriptors::EvictionPriority;
use crate::receive_buffer::{READ_CHUNK_BYTES, ReceiveError};
use crate::socket_liveness::peer_has_closed;

/// How far a client that sends ahead of its responses is read while requests are under way, beyond these.
const MAX_READ_AHEAD_BYTES: usize = 4 * READ_CHUNK_BYTES;
/// How many times in a row a client is read before its requests go on.
pub(super) const MAX_READS_IN_A_ROW: usize = MAX_READ_AHEAD_BYTES / READ_CHUNK_BYTES;
/// How often a client that is not read on is checked for whether it has disconnected.
pub(super) const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Times out at this instant.
pub(super) async fn timed_out<T>(deadline: Instant) -> Result<T, SessionEnd> {
    Timer::at(deadline).await;
    Err(SessionEnd::TimedOut)
}

impl Session<'_> {
    /// Reads on while nothing else is to be done. Sets the deadline of a message that has begun.
    pub(super) async fn receive_next(&mut self, message_deadline: &mut Option<Instant>) -> SessionResult {
        if self.buffer.is_empty() {
            return self.receive_while_idle().await;
        }
        // Its first byte has come, so the rest is due: a trickle does not put that off.
        let message_timeout = self.clients.message_timeout;
        let deadline = *message_deadline.get_or_insert_with(|| Instant::now() + message_timeout);
        async { Ok(self.buffer.receive(&self.stream).await?) }.or(timed_out(deadline)).await
    }

    /// Waits for the first bytes of a message. The session may be closed meanwhile.
    async fn receive_while_idle(&mut self) -> SessionResult {
        // While it drains, a router still takes what has arrived by now.
        let draining = self.clients.draining.get();
        let close = self.close.clone();
        let closed = self.closed.clone();
        let opening_deadline = self.opening_deadline;
        let priority = match opening_deadline {
            Some(_) => EvictionPriority::First,
            None => EvictionPriority::Idle,
        };
        let _evictable =
            self.clients
                .descriptors
                .register_evictable(self.permit.held_for, priority, move || _ = close.try_send(()));
        let opening_timeout = async {
            match opening_deadline {
                Some(deadline) => timed_out(deadline).await,
                None => future::pending().await,
            }
        };
        let closing = async {
            if !draining {
                _ = closed.recv().await;
            }
            Err(SessionEnd::ClosedWhileIdle)
        };
        async { Ok(self.buffer.receive(&self.stream).await?) }.or(closing).or(opening_timeout).await
    }

    /// Reads on while requests are under way, so that a client that disconnects is noticed at once, and the arrival of
    /// what it sends ahead of its responses is known. Only so far: what lies beyond waits in the kernel, and of that
    /// only the length is read.
    pub(super) async fn receive_ahead(&mut self) -> SessionResult {
        if self.buffer.len() < MAX_READ_AHEAD_BYTES && !self.buffer.is_full {
            match self.buffer.receive(&self.stream).await {
                Ok(()) => return Ok(()),
                // It is read on once something is decoded, if there is memory by then.
                Err(ReceiveError::OutOfMemory(_)) => {}
                Err(error) => return Err(error.into()),
            }
        }
        loop {
            if peer_has_closed(self.stream.get_ref()) {
                return Err(SessionEnd::ClientDisconnected);
            }
            self.buffer.record_unread_arrivals(self.stream.get_ref());
            Timer::after(DISCONNECT_CHECK_INTERVAL).await;
        }
    }
}
