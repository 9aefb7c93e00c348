//! Rejects the statements that have arrived on a session which is about to end. A close would leave them
//! without an answer.
//!
//! Invariant: when the session is closed, each message that had arrived has been answered. Only for a client
//! that sends without a pause, those that arrived within [`MAX_CROSSING_TIME`] before the close have not: they
//! crossed it, and their client sends them again.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{FutureExt, future};

use super::response_writer::encode_no_capacity;
use super::session::Session;
use super::session_end::{SessionEnd, SessionResult};
use crate::pg::{self, FrontendKind, FrontendSkipper};
use crate::socket;
use crate::socket_liveness::unread_bytes;

/// The error message for a statement behind the one that ends its session, or behind the end of the process.
const SESSION_ENDS: &str = "its session ends: nothing ran";
/// A client that sends without a pause is answered for this long. Then the session ends after the first round of
/// rejections that takes no longer than [`MAX_CROSSING_TIME`]; a longer one is followed by another.
const REJECTING_TIME: Duration = Duration::from_millis(200);
const MAX_CROSSING_TIME: Duration = Duration::from_millis(20);
/// A client that sends without a pause and reads slowly is answered for no longer than this.
const MAX_REJECTING_TIME: Duration = Duration::from_secs(2);
/// How long the rest of a message may be in transit that its client has written whole.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Rejections are written once they have this many bytes; then other sessions get a turn.
const WRITE_BYTES: usize = 16 * 1024;
/// While memory is short, the rejections of this many bytes are written at once: the shortest statements are a
/// twentieth as long as their rejections.
const READ_BYTES_WITHOUT_MEMORY: usize = 256;

/// Encodes the responses to messages that are skipped.
struct Rejections {
    skipper: FrontendSkipper,
    /// The response to a statement.
    rejection: Vec<u8>,
    unwritten: Vec<u8>,
    discards_until_sync: bool,
    /// Whether no further message can be answered: the client has ended the session, or has sent invalid bytes.
    has_ended: bool,
}

impl Rejections {
    fn new(discards_until_sync: bool) -> Self {
        let mut rejection = Vec::new();
        encode_no_capacity(&mut rejection, SESSION_ENDS);
        pg::encode_ready_for_query(&mut rejection);
        Self {
            skipper: FrontendSkipper::default(),
            rejection,
            unwritten: Vec::new(),
            discards_until_sync,
            has_ended: false,
        }
    }

    /// Adds the responses to the messages that end within these bytes.
    fn add(&mut self, mut bytes: &[u8]) {
        while !self.has_ended {
            match self.skipper.next_end(&mut bytes) {
                Ok(Some(kind)) => self.respond(kind),
                Ok(None) => return,
                Err(_) => self.has_ended = true,
            }
        }
    }

    fn respond(&mut self, kind: FrontendKind) {
        match kind {
            FrontendKind::Terminate => self.has_ended = true,
            FrontendKind::Sync => {
                self.discards_until_sync = false;
                pg::encode_ready_for_query(&mut self.unwritten);
            }
            _ if self.discards_until_sync => {}
            FrontendKind::ExtendedQuery => {
                self.discards_until_sync = true;
                pg::encode_extended_query_error(&mut self.unwritten);
            }
            FrontendKind::Query => self.unwritten.extend(&self.rejection),
        }
    }
}

impl Session<'_> {
    /// Rejects the statements that have arrived. Ends once nothing has arrived since, or all but what crosses
    /// the close has been answered.
    ///
    /// # Errors
    /// The client has disconnected, or does not read the responses.
    pub(super) async fn reject_arrived(&mut self) -> SessionResult {
        let mut rejections = Rejections::new(self.discards_until_sync);
        let started = Instant::now();
        loop {
            let round_started = Instant::now();
            self.reject_round(&mut rejections).await?;
            if rejections.has_ended || !self.has_more(&rejections).await {
                return Ok(());
            }
            let is_short = round_started.elapsed() <= MAX_CROSSING_TIME;
            if is_short && started.elapsed() >= REJECTING_TIME || started.elapsed() >= MAX_REJECTING_TIME {
                return Ok(());
            }
        }
    }

    /// Whether more has arrived, or the rest of a message arrives soon.
    async fn has_more(&self, rejections: &Rejections) -> bool {
        if unread_bytes(self.stream.get_ref()) > 0 {
            return true;
        }
        if rejections.skipper.is_between_messages() {
            return false;
        }
        let arrives = async { self.stream.readable().await.is_ok() };
        let is_late = async {
            Timer::after(MAX_TRANSIT_TIME).await;
            false
        };
        arrives.or(is_late).await && unread_bytes(self.stream.get_ref()) > 0
    }

    /// Rejects the statements that have arrived at the start of the round.
    async fn reject_round(&mut self, rejections: &mut Rejections) -> SessionResult {
        let mut arrived = unread_bytes(self.stream.get_ref()) as usize;
        while let Some(chunk) = self.buffer.take_chunk() {
            rejections.add(&chunk);
            if rejections.unwritten.len() >= WRITE_BYTES {
                self.write_rejections(rejections).await?;
            }
        }
        while arrived > 0 && !rejections.has_ended {
            let is_memory_short = self.clients.takes_one_at_a_time();
            let max_bytes = if is_memory_short { arrived.min(READ_BYTES_WITHOUT_MEMORY) } else { arrived };
            match socket::read_arrived(self.stream.get_ref(), max_bytes, |bytes| rejections.add(bytes))? {
                0 => return Err(SessionEnd::ClientDisconnected),
                count => arrived -= count,
            }
            if is_memory_short || rejections.unwritten.len() >= WRITE_BYTES {
                self.write_rejections(rejections).await?;
                future::yield_now().await;
            }
        }
        // Without a turn for others: the client sends more once it has read these, and nothing has arrived yet.
        self.write_rejections(rejections).await
    }

    async fn write_rejections(&self, rejections: &mut Rejections) -> SessionResult {
        self.write(std::mem::take(&mut rejections.unwritten)).await
    }
}
