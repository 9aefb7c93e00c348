//! One connection to a node: it is opened, a query is written, and messages are read.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::future;
use quillpoint::host::NodeId;
use quillpoint_memory_budget::Category;

use crate::budget::{Reservation, ReservationRejected, SharedBudget};
use crate::descriptors::DescriptorPermit;
use crate::pg::{self, BackendMessage, ProtocolViolation};
use crate::socket;

/// How much is read at once.
const READ_CHUNK_BYTES: usize = 4096;
/// Bounds what one response may make the router read; an answer of one value comes nowhere near it.
const MAX_RESPONSE_BYTES: usize = 2 << 20;
/// Nodes accept any user; these are the ones that clients name.
const STARTUP_USER: &str = "portal";
const STARTUP_DATABASE: &str = "crm";

/// Why an exchange on a connection came to no complete response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    ProtocolViolation(#[from] ProtocolViolation),
    #[error("the connection ended")]
    Closed,
    #[error("it did not come up in time")]
    ConnectTimeout,
    #[error("{0}")]
    OutOfMemory(#[from] ReservationRejected),
    /// Its RPC is over, or may not go there any more.
    #[error("the query is no longer permitted")]
    NotPermitted,
    #[error("the response does not end within {MAX_RESPONSE_BYTES} bytes")]
    ResponseTooLong,
}

/// A connection to a node, with what has been read of it and not decoded.
pub(super) struct NodeConnection {
    stream: Async<TcpStream>,
    unread: Vec<u8>,
    memory: Reservation,
    /// Whether the first byte of the query that it carries has been written.
    pub(super) write_begun: bool,
    /// Whether the last byte of that query has been written: from then on it may run.
    pub(super) fully_written: bool,
    /// Bytes read since that query.
    bytes_read: usize,
    /// When bytes were last exchanged with its node; a checkout that came to nothing does not change it.
    pub(super) last_used: Instant,
    _permit: DescriptorPermit,
}

impl NodeConnection {
    /// Connects, and reads the node's greeting up to ReadyForQuery.
    ///
    /// # Errors
    /// The connection cannot be had, breaks, or is rejected by the node.
    pub(super) async fn open(
        node: NodeId,
        permit: DescriptorPermit,
        budget: &SharedBudget,
    ) -> Result<Self, ConnectionError> {
        let stream = Async::<TcpStream>::connect(node.0).await?;
        stream.get_ref().set_nodelay(true)?;
        let mut connection = Self {
            stream,
            unread: Vec::new(),
            memory: budget.empty_reservation(Category::Responses),
            write_begun: false,
            fully_written: false,
            bytes_read: 0,
            last_used: Instant::now(),
            _permit: permit,
        };
        let mut startup = Vec::new();
        pg::encode_startup(&mut startup, STARTUP_USER, STARTUP_DATABASE);
        socket::write_all(&connection.stream, &startup).await?;
        connection.await_ready_for_query(node).await?;
        Ok(connection)
    }

    async fn await_ready_for_query(&mut self, node: NodeId) -> Result<(), ConnectionError> {
        loop {
            match self.next_message().await? {
                BackendMessage::ReadyForQuery => return Ok(()),
                BackendMessage::ErrorResponse { code, message, .. } => {
                    log::debug!("{} rejected a connection with {code}: {message}", node.0);
                    return Err(ConnectionError::Closed);
                }
                BackendMessage::Authentication(kind) if kind != 0 => {
                    log::debug!("{} asks for a password, which routers have none of", node.0);
                    return Err(ConnectionError::Closed);
                }
                _ => {}
            }
        }
    }

    /// Writes a query while it is permitted. `query` is asked right before the first byte, and again after a stall, as
    /// its RPC may have ended meanwhile.
    ///
    /// # Errors
    /// The connection is broken, or the query is not permitted any more.
    pub(super) async fn write(
        &mut self,
        query: &impl Fn() -> Option<Vec<u8>>,
    ) -> Result<(), ConnectionError> {
        self.write_begun = false;
        self.fully_written = false;
        self.bytes_read = 0;
        let mut message = query().ok_or(ConnectionError::NotPermitted)?;
        self.last_used = Instant::now();
        let mut written = 0;
        while written < message.len() {
            match self.stream.get_ref().write(&message[written..]) {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(count) => {
                    self.write_begun = true;
                    written += count;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                    let renewed = query().ok_or(ConnectionError::NotPermitted)?;
                    // Nothing has gone out, so the query says how much time is left as of now.
                    message = if self.write_begun { message } else { renewed };
                }
                Err(error) => return Err(error.into()),
            }
        }
        self.fully_written = true;
        Ok(())
    }

    /// The next message from the node.
    ///
    /// # Errors
    /// The connection is broken, the bytes are no message, or there is no memory for them.
    pub(super) async fn next_message(&mut self) -> Result<BackendMessage, ConnectionError> {
        loop {
            if let Some((message, length)) = pg::decode_backend_message(&self.unread)? {
                self.unread.drain(..length);
                if self.unread.is_empty() {
                    // What a long value took is not kept for the next.
                    self.unread.shrink_to(READ_CHUNK_BYTES);
                    self.reserve_memory()?;
                }
                return Ok(message);
            }
            if self.fully_written && self.bytes_read == 0 {
                // Its response has not come yet: to read at once would be in vain, at each of thousands of checks.
                self.stream.readable().await?;
            }
            self.receive().await?;
            // A node that never stops must not keep the other tasks, nor the time-out, from their turn.
            if self.bytes_read > READ_CHUNK_BYTES {
                future::yield_now().await;
            }
        }
    }

    /// Reads what comes next.
    async fn receive(&mut self) -> Result<(), ConnectionError> {
        let Self { stream, unread, .. } = self;
        // The chunk is no part of the task, which would be as much larger, and moved as it begins.
        let read = |mut stream: &TcpStream| {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let count = socket::retry_interrupted(|| stream.read(&mut chunk))?;
            unread.extend(&chunk[..count]);
            Ok(count)
        };
        let count = stream.read_with(read).await?;
        if count == 0 {
            return Err(ConnectionError::Closed);
        }
        self.bytes_read += count;
        self.last_used = Instant::now();
        self.reserve_memory()?;
        if self.bytes_read > MAX_RESPONSE_BYTES {
            return Err(ConnectionError::ResponseTooLong);
        }
        Ok(())
    }

    /// A chunk for each connection is bounded by the count of sockets; only what goes beyond it is reserved.
    fn reserve_memory(&mut self) -> Result<(), ReservationRejected> {
        self.memory.resize(self.unread.capacity().saturating_sub(READ_CHUNK_BYTES))
    }

    /// Whether nothing is unread and the node has not closed it. Only then can it carry another query.
    pub(super) fn is_reusable(&self) -> bool {
        let peeked = socket::retry_interrupted(|| self.stream.get_ref().peek(&mut [0]));
        self.unread.is_empty() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}
