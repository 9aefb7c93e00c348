//! The request pipeline of a client connection: its unanswered requests, in order of arrival. Statements run
//! concurrently where their order does not matter; responses are written in request order.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use quillpoint::host::{ReplicaSetId, SessionKey};

use crate::budget::Reservation;

/// The most requests of a connection that are running, waiting to run, or waiting for their response to be
/// written.
pub const MAX_PIPELINED_REQUESTS: usize = 16;
/// While this many bytes of responses wait to be written, no further statement starts except the oldest
/// unanswered one, which the later responses wait for.
const MAX_UNWRITTEN_RESPONSE_BYTES: usize = 64 * 1024;

/// Short responses are written together, up to this many bytes.
const MAX_JOINED_RESPONSE_BYTES: usize = 16 * 1024;

/// What a statement reads or writes; determines which earlier statements it must wait for.
#[derive(Clone, Copy, Debug)]
pub struct StatementScope {
    /// The replica set that the statement is sent to.
    pub replica_set: ReplicaSetId,
    /// The session of the statement. `None` if unknown: it could be any session.
    pub session: Option<SessionKey>,
    /// Whether the statement is a write.
    pub writes: bool,
    /// Whether it must see all earlier commits, of any session.
    pub reads_fresh: bool,
}

impl StatementScope {
    /// Whether this statement may start only after the statement `earlier`, which arrived before it, has
    /// ended. Reads do not wait for reads. A read sees the earlier writes of its session and not the later
    /// ones. Writes to a replica set keep their order even across sessions: the router knows only one literal
    /// of each statement, and a client that sends one write after the other may rely on the effect of the
    /// first.
    pub fn waits_for(&self, earlier: &Self) -> bool {
        let same_session =
            self.session.is_none() || earlier.session.is_none() || self.session == earlier.session;
        let both_write = self.writes && earlier.writes;
        let must_see_write = self.reads_fresh && earlier.writes;
        let one_writes = self.writes || earlier.writes;
        self.replica_set == earlier.replica_set
            && (both_write || must_see_write || (one_writes && same_session))
    }
}

/// An encoded response and the memory charged for it.
pub struct EncodedResponse {
    /// The bytes to write to the client.
    pub bytes: Vec<u8>,
    /// The memory charged for the bytes.
    pub memory: Reservation,
}

impl EncodedResponse {
    /// Adds the response to the next request, to be written together.
    fn append(&mut self, next: Self) {
        self.bytes.extend(next.bytes);
        self.memory.absorb(next.memory);
    }
}

/// Runs a statement and returns its response. Dropping it ends the statement.
pub type ResponseFuture = Pin<Box<dyn Future<Output = EncodedResponse>>>;

enum Request {
    Unanswered { scope: StatementScope, response: ResponseFuture, started: bool },
    Answered(EncodedResponse),
}

impl Request {
    fn is_unanswered(&self) -> bool {
        matches!(self, Self::Unanswered { .. })
    }
}

/// The requests of one connection, the oldest first.
#[derive(Default)]
pub struct RequestPipeline(VecDeque<Request>);

impl RequestPipeline {
    /// Whether no request waits for its response and no response waits to be written.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether another request may be added. With `one_at_a_time`, for when memory is short, only to an empty
    /// pipeline.
    pub fn has_capacity(&self, one_at_a_time: bool) -> bool {
        if self.0.is_empty() {
            return true;
        }
        let has_room = self.0.len() < MAX_PIPELINED_REQUESTS;
        !one_at_a_time && has_room && self.unwritten_response_bytes() < MAX_UNWRITTEN_RESPONSE_BYTES
    }

    /// The number of bytes of responses that wait to be written.
    fn unwritten_response_bytes(&self) -> usize {
        let bytes = self.0.iter().map(|request| match request {
            Request::Answered(response) => response.bytes.len(),
            Request::Unanswered { .. } => 0,
        });
        bytes.sum()
    }

    /// Adds a statement. It starts once all earlier statements that it must wait for have ended.
    pub fn push_statement(&mut self, scope: StatementScope, response: ResponseFuture) {
        self.0.push_back(Request::Unanswered { scope, response, started: false });
    }

    /// Adds the response to a request that runs no statement. It is written after all earlier responses.
    pub fn push_response(&mut self, response: EncodedResponse) {
        self.0.push_back(Request::Answered(response));
    }

    /// Removes the responses to the oldest requests that have been answered, as many as are written together,
    /// and returns their bytes. Returns `None` if the oldest request has not been answered.
    pub fn pop_responses(&mut self) -> Option<EncodedResponse> {
        let mut responses = self.pop_response(usize::MAX)?;
        while let Some(next) =
            self.pop_response(MAX_JOINED_RESPONSE_BYTES.saturating_sub(responses.bytes.len()))
        {
            responses.append(next);
        }
        Some(responses)
    }

    /// Removes and returns the response to the oldest request, if that has been answered with at most
    /// `max_bytes`.
    fn pop_response(&mut self, max_bytes: usize) -> Option<EncodedResponse> {
        match self.0.pop_front()? {
            Request::Answered(response) if response.bytes.len() <= max_bytes => Some(response),
            other => {
                self.0.push_front(other);
                None
            }
        }
    }

    /// Whether any statement has no response yet.
    pub fn has_unanswered_statement(&self) -> bool {
        self.0.iter().any(Request::is_unanswered)
    }

    /// Ends the oldest statement without a response, which is the one that the client waits for, with this
    /// response.
    pub fn cancel_first(&mut self, response: EncodedResponse) {
        if let Some(first) = self.0.iter_mut().find(|request| request.is_unanswered()) {
            *first = Request::Answered(response);
        }
    }

    /// Polls all statements that may run, and starts those whose turn has come. Returns whether any was
    /// answered.
    pub fn poll(&mut self, context: &mut Context<'_>) -> bool {
        let mut earlier_scopes: Vec<StatementScope> = Vec::new();
        let mut any_answered = false;
        let mut unwritten_bytes = self.unwritten_response_bytes();
        for request in &mut self.0 {
            let Request::Unanswered { scope, response, started } = request else { continue };
            // The oldest unanswered statement may always start, since later responses wait for its response.
            let has_capacity = earlier_scopes.is_empty() || unwritten_bytes < MAX_UNWRITTEN_RESPONSE_BYTES;
            *started |= has_capacity && !earlier_scopes.iter().any(|earlier| scope.waits_for(earlier));
            if !*started {
                earlier_scopes.push(*scope);
                continue;
            }
            match response.as_mut().poll(context) {
                Poll::Ready(response) => {
                    unwritten_bytes += response.bytes.len();
                    *request = Request::Answered(response);
                    any_answered = true;
                }
                Poll::Pending => earlier_scopes.push(*scope),
            }
        }
        any_answered
    }
}
