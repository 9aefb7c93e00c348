//! A client's statement: the leading comment that describes the RPC, and the SQL after it.
//!
//! A statement is forwarded to a node as the client wrote it, except for the value of the `d` field, the
//! remaining time.

mod comment;
mod error;
mod sql;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use quillpoint::host::{ReplicaSetId, SessionKey};

use crate::active_request_ids::ActiveRequestId;
use crate::budget::Reservation;
use crate::socket_liveness::ClientLiveness;

use comment::Comment;
pub use error::{StatementError, quoted_part};

/// A statement with its leading comment.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    text: Vec<u8>,
    /// The position of the value of `d` in the text.
    remaining_range: Range<usize>,
    /// The client's id for the RPC, at most 64 bytes.
    pub id: Rc<str>,
    /// The name of the RPC's method, from the `c` field (class).
    pub method: String,
    /// Whether the statement is a write.
    pub writes: bool,
    /// How much longer the client waits for the response; never zero.
    pub remaining: Duration,
    /// The replica set that stores the data.
    pub replica_set: ReplicaSetId,
    /// When the session's last write was committed, in Unix time, if the client states it.
    pub last_write: Option<Duration>,
    /// Whether the client marks the RPC as a retry by the client.
    pub is_retry: bool,
    /// The session of the RPC: a hash of the first quoted literal, which is the same on all routers.
    pub session: Option<SessionKey>,
}

/// A statement in flight, with its client's connection and the resources that are held until it is dropped.
pub struct InFlightStatement {
    /// The statement.
    pub statement: Statement,
    /// Checks whether the client is still connected.
    pub client: ClientLiveness,
    /// The memory reserved for the statement's text.
    pub memory: Reservation,
    /// The registration of the RPC's id, which no other RPC in this router can use meanwhile.
    pub active_id: ActiveRequestId,
}

impl Statement {
    /// Parses the leading comment and checks the SQL after it.
    ///
    /// # Errors
    /// The statement is invalid or not supported.
    pub fn parse(text: Vec<u8>) -> Result<Self, StatementError> {
        let comment = Comment::parse(&text)?;
        let writes = sql::writes(&text[comment.end..])?;
        let session = sql::first_literal(&text[comment.end..]).map(session_key);
        Ok(Self {
            remaining_range: comment.remaining_range,
            id: comment.id.into(),
            method: comment.method,
            writes,
            remaining: comment.remaining,
            replica_set: comment.replica_set,
            last_write: comment.last_write,
            is_retry: comment.is_retry,
            session,
            text,
        })
    }

    /// Returns the size of the text in bytes.
    pub fn size(&self) -> usize {
        self.text.len()
    }

    /// Returns the statement's text with the remaining time replaced, for sending it to a node.
    pub fn with_remaining(&self, remaining: Duration) -> Vec<u8> {
        let before = &self.text[..self.remaining_range.start];
        let after = &self.text[self.remaining_range.end..];
        [before, remaining.as_millis().max(1).to_string().as_bytes(), after].concat()
    }
}

/// Hashes a literal. Keys are only compared for equality; [`DefaultHasher::new`] uses fixed keys, so that all
/// routers compute the same hash.
fn session_key(literal: &[u8]) -> SessionKey {
    let mut hasher = DefaultHasher::new();
    literal.hash(&mut hasher);
    SessionKey(hasher.finish())
}
