//! Validation: proof that a node has nothing left to send on a connection, before the next query is written.
//!
//! A node may send more than one response to a query, and its system may hold the rest back until the first
//! part is acknowledged, which the router's next query does. That nothing is to be read therefore proves
//! nothing. So the router sends an empty query behind each response. It has no effect, nodes answer it at
//! once, and the bytes of a connection stay in order: what was sent for earlier queries arrives before the
//! response to the empty query. No statement has that response, so it cannot be mistaken for another one.
//!
//! The response is read when the connection is checked out again, not when it arrives: an idle connection
//! wakes no task.

use std::io::{self, Write};
use std::time::Instant;

use quillpoint::host::NodeId;

use super::ConnectionPool;
use super::connection::{ConnectionError, NodeConnection};
use crate::log_rate_limiter::LogRateLimiter;
use crate::pg::{BackendMessage, ProtocolViolation};
use crate::socket;

/// A simple query without a statement, as [`crate::pg::query_message`] encodes it.
pub(super) const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";

/// The most bytes that are read in place of the response to an empty query, which has a few messages.
const MAX_VALIDATION_BYTES: usize = 4096;

/// How far a connection is validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Validation {
    /// A query has been sent, and no empty query behind it.
    Required,
    /// The empty query was sent at this time; its response has not begun.
    Pending(Instant),
    /// EmptyQueryResponse has been read, and ReadyForQuery is missing.
    Answered(Instant),
    /// The node has nothing left to send.
    Done,
}

impl NodeConnection {
    /// Sends the empty query, unless nothing was sent since the last one.
    ///
    /// # Errors
    /// The connection is broken, does not accept the empty query at once, or has bytes behind its last
    /// response.
    pub(super) fn begin_validation(&mut self) -> Result<(), ConnectionError> {
        if self.validation != Validation::Required {
            return Ok(());
        }
        if !self.undecoded.is_empty() {
            return Err(ProtocolViolation::UnexpectedOrder.into());
        }
        let written = socket::retry_interrupted(|| self.stream.get_ref().write(EMPTY_QUERY))?;
        if written < EMPTY_QUERY.len() {
            return Err(io::Error::from(io::ErrorKind::WriteZero).into());
        }
        self.bytes_read = 0;
        self.validation = Validation::Pending(Instant::now());
        Ok(())
    }

    /// Reads what has arrived of the response to the empty query, without waiting. Returns whether the
    /// connection is validated.
    ///
    /// # Errors
    /// The connection is closed or broken, or the node has sent anything but that response.
    pub(super) fn try_validate(&mut self) -> Result<bool, ConnectionError> {
        while self.validation != Validation::Done {
            match self.decode_next()? {
                Some(message) => self.validation = self.validation.after(message)?,
                None if self.bytes_read > MAX_VALIDATION_BYTES => {
                    return Err(ProtocolViolation::UnexpectedOrder.into());
                }
                None if self.receive_available()? => {}
                None => return Ok(false),
            }
        }
        if self.undecoded.is_empty() { Ok(true) } else { Err(ProtocolViolation::UnexpectedOrder.into()) }
    }

    /// Waits until the connection is validated.
    ///
    /// # Errors
    /// As [`Self::try_validate`].
    pub(super) async fn finish_validation(&mut self) -> Result<(), ConnectionError> {
        while !self.try_validate()? {
            self.stream.readable().await?;
        }
        Ok(())
    }

    /// Reads the rest, up to ReadyForQuery, of a duplicate of the response to the startup packet or to the
    /// empty query, whose first message has been read.
    ///
    /// # Errors
    /// The connection is closed or broken, or the node has sent anything else.
    pub(super) async fn skip_duplicate_response(&mut self) -> Result<(), ConnectionError> {
        loop {
            match self.next_message().await? {
                BackendMessage::ReadyForQuery => return Ok(()),
                BackendMessage::ParameterStatus { .. } | BackendMessage::Ignored => {}
                _ => return Err(ProtocolViolation::UnexpectedOrder.into()),
            }
        }
    }

    /// Whether the connection is still open, and nothing has arrived that the node sent unasked.
    pub(super) fn is_open_and_quiet(&self) -> bool {
        let peeked = socket::retry_interrupted(|| self.stream.get_ref().peek(&mut [0]));
        self.undecoded.is_empty() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Validation {
    /// When the empty query was sent whose response is awaited; now, if none is.
    pub(super) fn pending_since(self) -> Instant {
        match self {
            Self::Pending(sent) | Self::Answered(sent) => sent,
            Self::Required | Self::Done => Instant::now(),
        }
    }

    /// The state after a message has arrived in place of, or within, the response to the empty query.
    fn after(self, message: BackendMessage) -> Result<Self, ProtocolViolation> {
        match (self, message) {
            (_, BackendMessage::ParameterStatus { .. } | BackendMessage::Ignored) => Ok(self),
            (Self::Pending(sent), BackendMessage::EmptyQueryResponse) => Ok(Self::Answered(sent)),
            (Self::Answered(_), BackendMessage::ReadyForQuery) => Ok(Self::Done),
            _ => Err(ProtocolViolation::UnexpectedOrder),
        }
    }
}

/// Logs why connections to a node were not reused.
#[derive(Default)]
pub(super) struct ValidationLog(LogRateLimiter);

impl ValidationLog {
    /// Logs why the validation of a connection failed. A node may close a connection at any time; one that
    /// sends what no query asked for is reported, unless that is too often.
    pub(super) fn record(&mut self, node: NodeId, error: &ConnectionError) {
        if matches!(error, ConnectionError::ProtocolViolation(_)) && self.0.try_acquire() {
            log::warn!(
                "node {}: dropped a connection with unexpected data behind a response: {error}",
                node.0
            );
        } else {
            log::debug!("node {}: dropped a connection: {error}", node.0);
        }
    }
}

impl ConnectionPool {
    /// Logs why a connection to the node was not reused.
    pub(super) fn log_failed_validation(&self, node: NodeId, error: &ConnectionError) {
        self.nodes.borrow_mut().entry(node).or_default().validation_log.record(node, error);
    }
}

impl Drop for NodeConnection {
    /// Closing with unread bytes would reset the connection, so the response to the empty query is read.
    fn drop(&mut self) {
        if matches!(self.validation, Validation::Pending(_)) {
            _ = self.receive_available();
        }
    }
}
