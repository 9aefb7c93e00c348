//! A connection to a node: opening it, writing queries, and reading messages.
//!
//! Responses carry no number, so they are matched to queries by their order alone. Before a query is written,
//! [`validation`](super::validation) therefore proves that the node has nothing left to send.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::future;
use quillpoint::host::NodeId;
use quillpoint_memory_budget::Category;

use super::validation::Validation;
use crate::budget::{NODE_CONNECTION_BYTES, ReservationRejected, SharedBudget};
use crate::connection_memory::{ConnectionMemory, Peer};
use crate::descriptors::DescriptorPermit;
use crate::message_buffer::MessageBuffer;
use crate::pg::{self, BackendMessage, Framing, ProtocolViolation};
use crate::socket::{self, READ_CHUNK_BYTES};

/// The longest response that is read. An answer of one value is much shorter.
const MAX_RESPONSE_BYTES: usize = 2 << 20;
/// Nodes accept any user and database. These are the names that clients use.
const STARTUP_USER: &str = "portal";
const STARTUP_DATABASE: &str = "crm";

/// Why a connection or an exchange on it failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    ProtocolViolation(#[from] ProtocolViolation),
    #[error("the node closed or rejected the connection")]
    Closed,
    #[error("the connect timeout expired")]
    ConnectTimeout,
    #[error("{0}")]
    OutOfMemory(#[from] ReservationRejected),
    /// The RPC has ended, or may no longer be sent to this node.
    #[error("the query is no longer permitted")]
    NotPermitted,
    #[error("the response is longer than {MAX_RESPONSE_BYTES} bytes")]
    ResponseTooLong,
}

/// A connection to a node, with the bytes that have been read and not yet decoded.
pub(super) struct NodeConnection {
    pub(super) stream: Async<TcpStream>,
    pub(super) undecoded: MessageBuffer,
    memory: ConnectionMemory,
    pub(super) validation: Validation,
    /// Whether the first byte of the current query has been written.
    pub(super) write_begun: bool,
    /// Whether the last byte of the current query has been written. The query may run from then on.
    pub(super) fully_written: bool,
    /// The number of bytes read since the current query, or the empty query behind it, was started.
    pub(super) bytes_read: usize,
    /// When a query or its response was last sent or received. Neither a checkout that sends nothing nor a
    /// validation changes it.
    pub(super) last_used: Instant,
    _permit: DescriptorPermit,
}

impl NodeConnection {
    /// Connects and reads the node's startup response up to ReadyForQuery. The connection needs no validation,
    /// since the node has nothing to answer yet.
    ///
    /// # Errors
    /// The connection cannot be established, breaks, or is rejected by the node.
    pub(super) async fn open(
        node: NodeId,
        permit: DescriptorPermit,
        budget: &SharedBudget,
    ) -> Result<Self, ConnectionError> {
        let memory = ConnectionMemory::new(budget, Peer::Node, NODE_CONNECTION_BYTES);
        let stream = Async::<TcpStream>::connect(node.0).await?;
        stream.get_ref().set_nodelay(true)?;
        let mut connection = Self {
            stream,
            undecoded: MessageBuffer::default(),
            memory,
            validation: Validation::Done,
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
                    log::debug!("node {}: rejected a connection with {code}: {message}", node.0);
                    return Err(ConnectionError::Closed);
                }
                BackendMessage::Authentication(kind) if kind != 0 => {
                    log::debug!("node {}: requested authentication, which routers do not support", node.0);
                    return Err(ConnectionError::Closed);
                }
                _ => {}
            }
        }
    }

    /// Writes a query while it is permitted. `query` is called right before the first byte and again after
    /// each stalled write, since the RPC may have ended by then.
    ///
    /// # Errors
    /// The connection is broken, or the query is no longer permitted.
    pub(super) async fn write(
        &mut self,
        query: &impl Fn() -> Option<Vec<u8>>,
        budget: &SharedBudget,
    ) -> Result<(), ConnectionError> {
        self.write_begun = false;
        self.fully_written = false;
        self.bytes_read = 0;
        let mut message = query().ok_or(ConnectionError::NotPermitted)?;
        let _memory = budget.charge(Category::Statements, message.capacity());
        self.last_used = Instant::now();
        let mut written = 0;
        while written < message.len() {
            match self.stream.get_ref().write(&message[written..]) {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(count) => {
                    self.write_begun = true;
                    self.validation = Validation::Required;
                    written += count;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                    let renewed = query().ok_or(ConnectionError::NotPermitted)?;
                    // If nothing has been written yet, the renewed query states the currently remaining time.
                    message = if self.write_begun { message } else { renewed };
                }
                Err(error) => return Err(error.into()),
            }
        }
        self.fully_written = true;
        Ok(())
    }

    /// Waits for the next message from the node.
    ///
    /// # Errors
    /// The connection is broken, the bytes are not a valid message, or there is no memory for them.
    pub(super) async fn next_message(&mut self) -> Result<BackendMessage, ConnectionError> {
        loop {
            if let Some(message) = self.decode_next()? {
                return Ok(message);
            }
            if self.fully_written && self.bytes_read == 0 {
                // The response has usually not arrived yet. Waiting for readiness first saves a read that
                // would fail with WouldBlock, for each of thousands of health checks.
                self.stream.readable().await?;
            }
            self.receive().await?;
            // A node that sends without a pause must not starve other tasks or the timeout.
            if self.bytes_read > READ_CHUNK_BYTES {
                future::yield_now().await;
            }
        }
    }

    /// Decodes the next message, or returns `None` if it is not complete yet.
    ///
    /// # Errors
    /// The bytes are not a valid message, or there is no memory for them.
    pub(super) fn decode_next(&mut self) -> Result<Option<BackendMessage>, ConnectionError> {
        let decoded = self.undecoded.decode_next(Framing::Typed, pg::decode_backend_message)?;
        self.reserve_memory()?;
        Ok(decoded.map(|(message, _)| message))
    }

    /// Waits for the next bytes of a response and reads them into `undecoded`.
    async fn receive(&mut self) -> Result<(), ConnectionError> {
        while !self.receive_available()? {
            self.stream.readable().await?;
        }
        self.last_used = Instant::now();
        if self.bytes_read > MAX_RESPONSE_BYTES {
            return Err(ConnectionError::ResponseTooLong);
        }
        Ok(())
    }

    /// Reads the bytes that have arrived into `undecoded`, without waiting. Returns whether there were any.
    ///
    /// # Errors
    /// The connection is closed or broken, or there is no memory for the bytes.
    pub(super) fn receive_available(&mut self) -> Result<bool, ConnectionError> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let count = match socket::retry_interrupted(|| self.stream.get_ref().read(&mut chunk)) {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
            Err(error) => return Err(error.into()),
        };
        self.undecoded.append(&chunk[..count]);
        self.bytes_read += count;
        self.reserve_memory()?;
        Ok(true)
    }

    fn reserve_memory(&mut self) -> Result<(), ReservationRejected> {
        self.memory.resize(self.undecoded.capacity(), 0)
    }
}
