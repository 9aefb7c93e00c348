//! One client's session: its state, how it begins, and how its connection is closed.

use std::cell::RefCell;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};

use super::ClientSessions;
use super::request_loop::RequestLoop;
use super::response_writer::write_response;
use super::session_end::{SessionEnd, SessionResult};
use crate::descriptors::{DescriptorPermit, EvictionPriority};
use crate::pg::{self, CancelKey, StartupPacket};
use crate::receive_buffer::{READ_CHUNK_BYTES, ReceiveBuffer};
use crate::session_commits::SessionCommits;
use crate::socket;

/// How long what still comes from a client is discarded after the router has ended its sending, and how many bytes of
/// it. A close at once would be a reset, which can take a response that is still on its way with it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// One client's session. It owns the connection.
pub(super) struct Session<'a> {
    pub(super) clients: &'a Rc<ClientSessions>,
    /// Attempts look through a weak reference whether the client is still connected.
    pub(super) stream: Rc<Async<TcpStream>>,
    pub(super) buffer: ReceiveBuffer,
    /// What RPCs of this connection have written.
    pub(super) commits: Rc<RefCell<SessionCommits>>,
    /// Asks this session to close as soon as it is idle.
    pub(super) close: Sender<()>,
    pub(super) closed: Receiver<()>,
    pub(super) key: CancelKey,
    pub(super) cancelled: Receiver<()>,
    pub(super) permit: DescriptorPermit,
    /// Whether messages are discarded up to Sync, after one of the extended protocol.
    pub(super) discards_until_sync: bool,
    /// Statements in a row that cannot be used.
    pub(super) unusable_statements: usize,
    /// By when the first complete message of the session must have come, until it has.
    pub(super) opening_deadline: Option<Instant>,
}

impl Session<'_> {
    /// Serves the client from its first byte to its last. Why the session ended.
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

    /// Reads startup messages. Whether a session begins; a cancel request begins none.
    async fn open(&mut self) -> Result<bool, SessionEnd> {
        loop {
            let mut out = Vec::new();
            match self.next_opening().await? {
                StartupPacket::CancelRequest(key) => {
                    self.clients.cancel(key);
                    return Ok(false);
                }
                StartupPacket::EncryptionRequest => out.push(b'N'),
                StartupPacket::Startup => pg::encode_session_start(&mut out, Some(self.key)),
            }
            let begins = out.len() > 1;
            self.write(out).await?;
            if begins {
                return Ok(true);
            }
            // One that asks for encryption again and again must neither keep the others from theirs nor stay.
            future::yield_now().await;
            if self.opening_deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                return Err(SessionEnd::TimedOut);
            }
        }
    }

    async fn next_opening(&mut self) -> Result<StartupPacket, SessionEnd> {
        let mut message_deadline = self.opening_deadline;
        loop {
            if let Some(received) = self.buffer.decode_next(pg::decode_startup_packet)? {
                return Ok(received.message);
            }
            self.receive_next(&mut message_deadline).await?;
        }
    }

    async fn write(&self, bytes: Vec<u8>) -> SessionResult {
        let response = self.clients.encoded(bytes);
        write_response(Rc::clone(self.clients), Rc::clone(&self.stream), response).await
    }

    /// The one place that ends a client's connection from this side: the router ends its sending, reads on for a
    /// while without acting on it, and closes then. The end of the sending is the point of no return: what has
    /// been read before it is answered, what comes after it is not.
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
        // It is evicted at once where descriptors are short, and by nothing else.
        let (close, closed) = async_channel::bounded::<()>(1);
        let _evictable = self.clients.descriptors.register_evictable(
            self.permit.held_for,
            EvictionPriority::First,
            move || _ = close.try_send(()),
        );
        let evicted = async { _ = closed.recv().await };
        let timeout = async { _ = Timer::after(LINGER_TIMEOUT).await };
        self.discard_received().or(evicted).or(timeout).await;
    }

    /// Reads on, up to the client's end of sending or the bytes that are put up with.
    async fn discard_received(&self) {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut remaining = MAX_LINGER_BYTES;
        while let Ok(count) = socket::read(&self.stream, &mut chunk).await
            && count > 0
            && count < remaining
        {
            remaining -= count;
            future::yield_now().await;
        }
    }
}
