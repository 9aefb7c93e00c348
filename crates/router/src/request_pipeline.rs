//! The request pipeline of a connection: what its client has asked and has not been answered yet, in order. Statements run
//! side by side where they may; responses leave in the order in which they were asked for.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use quillpoint::host::{ReplicaSetId, SessionKey};

use crate::budget::Reservation;

/// Bounds the statements of a connection that run, wait to run, or have a response that waits to be written.
pub const MAX_PIPELINED_REQUESTS: usize = 16;
/// With this much of responses that wait to be written nothing more is begun, but for what these wait for.
const MAX_WAITING_RESPONSE_BYTES: usize = 64 * 1024;

/// What a statement reads or writes, as far as its order among others goes.
#[derive(Clone, Copy, Debug)]
pub struct StatementScope {
    /// The replica set that it goes to.
    pub replica_set: ReplicaSetId,
    /// The session that it belongs to; none may be any.
    pub session: Option<SessionKey>,
    /// Whether it writes.
    pub writes: bool,
    /// Whether it must see all that was committed before it, of any session.
    pub reads_fresh: bool,
}

impl StatementScope {
    /// Whether this statement, which came later, is begun only when `earlier` has ended. Reads pass reads. A read
    /// sees the write of its own session that it came behind, and does not see the one that it came ahead of.
    /// Writes of a replica set keep their order whatever their sessions: of a statement only one literal is known
    /// here, and a client that sends one behind the other may count on the first.
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

/// A response in the form in which it is written, and the memory that it takes.
pub struct EncodedResponse {
    /// The bytes for the client.
    pub bytes: Vec<u8>,
    /// What the bytes take.
    pub memory: Reservation,
}

/// From a statement's turn to its response. Dropping it ends the statement.
pub type ResponseFuture = Pin<Box<dyn Future<Output = EncodedResponse>>>;

enum Request {
    Running { scope: StatementScope, response: ResponseFuture, begun: bool },
    Answered(EncodedResponse),
}

impl Request {
    fn is_running(&self) -> bool {
        matches!(self, Self::Running { .. })
    }
}

/// The requests of one connection, the oldest first.
#[derive(Default)]
pub struct RequestPipeline(VecDeque<Request>);

impl RequestPipeline {
    /// Whether nothing waits for its response, nor any response to be written.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether one more may be added. `one_at_a_time` where memory is short.
    pub fn has_capacity(&self, one_at_a_time: bool) -> bool {
        if self.0.is_empty() {
            return true;
        }
        let has_room = self.0.len() < MAX_PIPELINED_REQUESTS;
        !one_at_a_time && has_room && self.waiting_response_bytes() < MAX_WAITING_RESPONSE_BYTES
    }

    /// Bytes of responses that wait to be written.
    fn waiting_response_bytes(&self) -> usize {
        let bytes = self.0.iter().map(|request| match request {
            Request::Answered(response) => response.bytes.len(),
            Request::Running { .. } => 0,
        });
        bytes.sum()
    }

    /// Adds a statement. It begins when none that it waits for is ahead of it.
    pub fn push_statement(&mut self, scope: StatementScope, response: ResponseFuture) {
        self.0.push_back(Request::Running { scope, response, begun: false });
    }

    /// Adds the response to what is answered at once, to be written when all before it has been.
    pub fn push_response(&mut self, response: EncodedResponse) {
        self.0.push_back(Request::Answered(response));
    }

    /// Takes the oldest response out, if it is there and nothing older waits for its own.
    pub fn pop_response(&mut self) -> Option<EncodedResponse> {
        match self.0.pop_front()? {
            Request::Answered(response) => Some(response),
            running => {
                self.0.push_front(running);
                None
            }
        }
    }

    /// Whether a statement has no response yet.
    pub fn has_running_statement(&self) -> bool {
        self.0.iter().any(Request::is_running)
    }

    /// Ends the first statement that has no response yet, which is the one that its client waits for, with this one.
    pub fn cancel_first(&mut self, response: EncodedResponse) {
        if let Some(first) = self.0.iter_mut().find(|request| request.is_running()) {
            *first = Request::Answered(response);
        }
    }

    /// Goes on with all statements that may. Whether one has been answered.
    pub fn poll(&mut self, context: &mut Context<'_>) -> bool {
        let mut ahead: Vec<StatementScope> = Vec::new();
        let mut any_answered = false;
        let mut waiting_bytes = self.waiting_response_bytes();
        for request in &mut self.0 {
            let Request::Running { scope, response, begun } = request else { continue };
            // The first one is what the others' responses wait for.
            let has_capacity = ahead.is_empty() || waiting_bytes < MAX_WAITING_RESPONSE_BYTES;
            *begun |= has_capacity && !ahead.iter().any(|earlier| scope.waits_for(earlier));
            if !*begun {
                ahead.push(*scope);
                continue;
            }
            match response.as_mut().poll(context) {
                Poll::Ready(response) => {
                    waiting_bytes += response.bytes.len();
                    *request = Request::Answered(response);
                    any_answered = true;
                }
                Poll::Pending => ahead.push(*scope),
            }
        }
        any_answered
    }
}
