//! The life cycle of an RPC, from its turn in the pipeline to its response.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use futures_lite::future;
use quillpoint::host::MethodId;

use super::ClientSessions;
use super::receive::DISCONNECT_CHECK_INTERVAL;
use super::response_writer::{TOO_MANY_RPCS, encode_abort, encode_rejection};
use crate::budget::Reservation;
use crate::engine::RpcCommand;
use crate::pg;
use crate::request_pipeline::EncodedResponse;
use crate::session_commits::SessionCommits;
use crate::statement::InFlightStatement;

/// An RPC as its session submits it.
pub(super) struct RpcRequest {
    pub(super) method: MethodId,
    pub(super) statement: Rc<InFlightStatement>,
    /// When the last byte of the statement arrived: the RPC's deadline counts from then.
    pub(super) arrived: Instant,
    /// The commits of earlier RPCs on the same connection; a commit of this one is added.
    pub(super) commits: Rc<RefCell<SessionCommits>>,
    /// What the RPC holds beside its statement, until its response.
    pub(super) memory: Reservation,
}

impl ClientSessions {
    /// Runs an RPC and returns its response. Called once those earlier statements of the connection that it
    /// must wait for have ended.
    pub(super) async fn run_rpc(self: Rc<Self>, request: RpcRequest) -> EncodedResponse {
        let RpcRequest { method, statement: in_flight, arrived, commits, memory: _memory } = request;
        let mut out = Vec::new();
        let engine = &self.engine;
        let statement = &in_flight.statement;
        if arrived.elapsed() >= DISCONNECT_CHECK_INTERVAL && !in_flight.client.is_connected() {
            // The RPC is not started. The session notices the disconnect at its next check and drops this
            // future.
            return future::pending().await;
        }
        if engine.pending_rpcs() >= self.max_pending_rpcs {
            return self.encoded_no_capacity(TOO_MANY_RPCS);
        }
        let last_commit =
            statement.session.and_then(|key| commits.borrow().last_commit(statement.replica_set, key));
        let Some(pending) = engine.rpc_arrived(method, statement, arrived, last_commit) else {
            pg::encode_error(
                &mut out,
                false,
                "53300",
                "its time was over before its turn: nothing ran",
                None,
            );
            return self.encoded_with_ready(out);
        };
        loop {
            match pending.next_command().await {
                Some(RpcCommand::Attempt(attempt)) => {
                    self.pool.make_attempt(Rc::clone(engine), attempt, Rc::clone(&in_flight));
                    continue;
                }
                Some(RpcCommand::Answer { answer, position, memory: _answer_memory }) => {
                    if let Some(commit) = position.filter(|_| statement.writes) {
                        commits.borrow_mut().record(statement.replica_set, statement.session, commit);
                    }
                    pg::encode_result(&mut out, &answer);
                }
                Some(RpcCommand::Reject { retry_after }) => encode_rejection(&mut out, retry_after),
                Some(RpcCommand::Abort { last_outcome }) => encode_abort(&mut out, last_outcome),
                // Not reached: the channel closes only after the final response, on which this function has
                // returned.
                None => return future::pending().await,
            }
            return self.encoded_with_ready(out);
        }
    }
}
