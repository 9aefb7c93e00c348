//! A client's statement: the comment ahead of it, which says what RPC it is, and what its SQL says beyond.
//!
//! The statement goes on to a node as the client wrote it, but for the number of `d`.

mod comment;
mod error;
mod sql;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::Duration;

use quillpoint::host::{ReplicaSetId, SessionKey};

use crate::active_request_ids::ActiveRequestId;
use crate::budget::Reservation;
use crate::socket_liveness::ClientLiveness;

use comment::Comment;
pub use error::StatementError;

/// One statement with the comment that it begins with.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    text: Vec<u8>,
    /// Where the number of `d` stands in the text.
    remaining_at: Range<usize>,
    /// The client's name for the RPC, no longer than 64 bytes.
    pub id: String,
    /// The name of its class.
    pub method: String,
    /// Whether it changes anything.
    pub writes: bool,
    /// How long the client still waits; never zero.
    pub remaining: Duration,
    /// The replica set that has its data.
    pub replica_set: ReplicaSetId,
    /// When the session's last write was committed, in Unix time, where clients carry that.
    pub last_write: Option<Duration>,
    /// Whether the client marks it as a retry of its own.
    pub retried: bool,
    /// The session that it belongs to: a hash of the first quoted literal, the same on all routers.
    pub session: Option<SessionKey>,
}

/// A statement in flight, with whom it is for and what it takes up until it is dropped.
pub struct InFlightStatement {
    /// The statement.
    pub statement: Statement,
    /// Whether its client is still there.
    pub client: ClientLiveness,
    /// The memory that is reserved for its text.
    pub memory: Reservation,
    /// Its id, which no other RPC here can have meanwhile.
    pub active_id: ActiveRequestId,
}

impl Statement {
    /// Reads the comment and checks the SQL behind it.
    ///
    /// # Errors
    /// What the client has to change.
    pub fn parse(text: Vec<u8>) -> Result<Self, StatementError> {
        let comment = Comment::parse(&text)?;
        let writes = sql::writes(&text[comment.end..])?;
        let session = sql::first_literal(&text[comment.end..]).map(session_of);
        Ok(Self {
            remaining_at: comment.remaining_at,
            id: comment.id,
            method: comment.method,
            writes,
            remaining: comment.remaining,
            replica_set: comment.replica_set,
            last_write: comment.last_write,
            retried: comment.retried,
            session,
            text,
        })
    }

    /// The memory that it takes, in bytes.
    pub fn size(&self) -> usize {
        self.text.len()
    }

    /// The statement for a node, which is told how long its answer is waited for.
    pub fn with_remaining(&self, remaining: Duration) -> Vec<u8> {
        let before = &self.text[..self.remaining_at.start];
        let after = &self.text[self.remaining_at.end..];
        [before, remaining.as_millis().max(1).to_string().as_bytes(), after].concat()
    }
}

/// Only whether two keys are the same matters; the hasher's own keys are fixed.
fn session_of(literal: &[u8]) -> SessionKey {
    let mut hasher = DefaultHasher::new();
    literal.hash(&mut hasher);
    SessionKey(hasher.finish())
}
