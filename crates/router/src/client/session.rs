//! A client session: its state, its startup, and how its connection is closed.

use std::cell::RefCell;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};

use super::ClientSessions;
use super::request_loop::RequestLoop;
use super::response_writer::write_response;
use super::session_end::{SessionEnd, SessionResult};
use crate::descriptors::{DescriptorPermit, EvictionPriority};
use crate::pg::{self, CancelKey, Framing, StartupPacket};
use crate::receive_buffer::ReceiveBuffer;
use crate::session_commits::SessionCommits;
use crate::signal::Signal;
use crate::socket;

/// How long, and how many bytes, the router still reads and discards after it has shut down its side of the
/// connection. Closing with unread bytes would reset the connection, and the client could lose a response
/// that is still in transit.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// A client session, which owns the client's connection.
pub(super) struct Session<'a> {
    pub(super) clients: &'a Rc<ClientSessions>,
    /// Attempts hold a weak reference, to check whether the client is still connected.
    pub(super) stream: Rc<Async<TcpStream>>,
    pub(super) buffer: ReceiveBuffer,
    /// The commits of RPCs on this connection.
    pub(super) commits: Rc<RefCell<SessionCommits>>,
    /// Asks this session to close as soon as it is idle.
    pub(super) close: Signal,
    pub(super) key: CancelKey,
    /// Set by cancel requests with this session's key.
    pub(super) cancel: Signal,
    pub(super) permit: DescriptorPermit,
    /// Whether messages are discarded up to the next Sync, because an extended query message arrived.
    pub(super) discards_until_sync: bool,
    /// The number of consecutive statements that could not be used.
    pub(super) consecutive_unusable_statements: usize,
    /// When the first complete message must have arrived; `None` once it has.
    pub(super) opening_deadline: Option<Instant>,
}

impl Session<'_> {
    /// Serves the client until the session ends, and returns why it ended.
    pub(super) async fn serve(mut self) -> SessionEnd {
        let end = match self.run().await {
            Ok(()) => SessionEnd::Finished,
            Err(end) => end,
        };
        self.close_connection(&end).await;
        end
    }

    async fn run(&mut self) -> SessionResult {
        if !self.open().await? {
            return Ok(());
        }
        RequestLoop::new(self).run().await
    }

    /// Handles startup packets. Returns whether a session was opened; a cancel request opens none.
    async fn open(&mut self) -> Result<bool, SessionEnd> {
        loop {
            let mut out = Vec::new();
            match self.next_startup_packet().await? {
                StartupPacket::CancelRequest(key) => {
                    self.clients.cancel(key);
                    return Ok(false);
                }
                StartupPacket::EncryptionRequest => out.push(b'N'),
                StartupPacket::Startup => pg::encode_session_start(&mut out, Some(self.key)),
            }
            let is_session_start = out.len() > 1;
            self.write(out).await?;
            if is_session_start {
                return Ok(true);
            }
            // A client that repeats its encryption request must not starve other sessions, nor stay past the
            // deadline.
            future::yield_now().await;
            if self.opening_deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                return Err(SessionEnd::TimedOut);
            }
        }
    }

    async fn next_startup_packet(&mut self) -> Result<StartupPacket, SessionEnd> {
        let mut message_deadline = self.opening_deadline;
        loop {
            if let Some(received) = self.buffer.decode_next(Framing::Startup, pg::decode_startup_packet)? {
                return Ok(received.message);
            }
            self.receive_next(&mut message_deadline).await?;
        }
    }

    pub(super) async fn write(&self, bytes: Vec<u8>) -> SessionResult {
        let response = self.clients.encoded(bytes);
        write_response(Rc::clone(self.clients), Rc::clone(&self.stream), response).await
    }

    /// Closes the client's connection; the only place that does so from the router's side. Shuts down
    /// sending, then reads and discards for a while, then closes. Requests read before the shutdown have been
    /// answered; bytes that arrive after it are ignored.
    async fn close_connection(&mut self, end: &SessionEnd) {
        if matches!(end, SessionEnd::ClientDisconnected | SessionEnd::Io(_)) {
            return;
        }
        if let Some(code) = end.code() {
            let mut out = Vec::new();
            pg::encode_error(&mut out, true, code, &end.to_string(), None);
            if self.write(out).await.is_err() {
                return;
            }
        }
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.buffer.clear();
        // Closed early only when descriptors are short.
        let close = Signal::default();
        let evict = close.clone();
        let _evictable = self.clients.descriptors.register_evictable(
            self.permit.held_for,
            EvictionPriority::First,
            move || evict.set(),
        );
        let evicted = close.wait();
        let timeout = async { _ = Timer::after(LINGER_TIMEOUT).await };
        self.discard_received().or(evicted).or(timeout).await;
    }

    /// Reads and discards bytes until the client shuts down its side or [`MAX_LINGER_BYTES`] have arrived.
    async fn discard_received(&self) {
        let mut remaining = MAX_LINGER_BYTES;
        while let Ok(count) = socket::read_chunk(&self.stream, <[u8]>::len).await
            && count > 0
            && count < remaining
        {
            remaining -= count;
            future::yield_now().await;
        }
    }
}
