//! An exchange: a query to a node and its response.

use std::rc::Rc;
use std::time::Instant;

use futures_lite::FutureExt;
use quillpoint::host::{NodeId, Outcome};
use quillpoint_memory_budget::Category;

use super::checkout::CheckedOut;
use super::connection::{ConnectionError, NodeConnection};
use super::{ConnectionPool, value_at};
use crate::engine::NodeResponse;
use crate::pg::{self, BackendMessage, ProtocolViolation, Response};

/// The result of an exchange.
pub(super) struct Exchange {
    pub(super) outcome: Outcome,
    pub(super) response: NodeResponse,
}

/// Why an exchange failed, so that its connection cannot be reused.
struct ExchangeError {
    /// The outcome of the node's final response, if that arrived before the failure.
    outcome: Option<Outcome>,
    cause: ConnectionError,
}

/// The error for a failure before the node's final response.
fn without_outcome(cause: impl Into<ConnectionError>) -> ExchangeError {
    ExchangeError { outcome: None, cause: cause.into() }
}

impl ConnectionPool {
    /// Sends a query to a node and returns the outcome. `query` is called once there is a connection: it
    /// returns the message to send, or `None` if the query may no longer be sent. The connection is checked
    /// in or closed before this returns.
    pub(super) async fn exchange(
        self: &Rc<Self>,
        node: NodeId,
        deadline: Instant,
        query: impl Fn() -> Option<Vec<u8>>,
    ) -> Exchange {
        let mut response = NodeResponse::default();
        loop {
            let (mut connection, was_idle) = match self.check_out(node, deadline).await {
                Ok(CheckedOut { connection, was_idle }) => (connection, was_idle),
                Err(outcome) => return Exchange { outcome, response },
            };
            let sent = async { Some(self.send_query(&mut connection, &query, &mut response).await) };
            let result = sent.or(value_at(deadline, None)).await;
            // A node may close an idle connection at any time. A query that was not sent completely cannot
            // have run, so it is retried on another connection instead of failing the attempt.
            if was_idle && failed_before_query_was_sent(&result, &connection) {
                continue;
            }
            return self.finish_exchange(node, connection, result, response);
        }
    }

    /// Determines the result of an exchange and checks its connection in if it can be reused.
    fn finish_exchange(
        self: &Rc<Self>,
        node: NodeId,
        connection: NodeConnection,
        result: Option<Result<Outcome, ExchangeError>>,
        response: NodeResponse,
    ) -> Exchange {
        let fully_written = connection.fully_written;
        match result {
            None if fully_written => Exchange { outcome: Outcome::TimedOut, response },
            None => Exchange { outcome: Outcome::NotSent, response },
            Some(Ok(outcome)) => {
                self.check_in(node, connection);
                Exchange { outcome, response }
            }
            Some(Err(ExchangeError { outcome: Some(outcome), cause })) => {
                Exchange { outcome: outcome_before_failure(outcome, &cause), response }
            }
            Some(Err(ExchangeError { cause: ConnectionError::NotPermitted, .. })) => {
                // If a part of the query has been sent, the connection is closed: an incomplete query never
                // runs.
                if !connection.write_begun {
                    self.check_in(node, connection);
                }
                Exchange { outcome: Outcome::NotSent, response }
            }
            Some(Err(ExchangeError { cause, .. })) => {
                log::debug!("node {}: query failed: {cause}", node.0);
                // The role, position and load report of an incomplete response are discarded.
                Exchange {
                    outcome: outcome_of_failure(&cause, fully_written),
                    response: NodeResponse::default(),
                }
            }
        }
    }

    /// Sends the query and reads up to ReadyForQuery. An error with an outcome means that the node responded,
    /// but that the connection cannot be used after the response.
    async fn send_query(
        &self,
        connection: &mut NodeConnection,
        query: &impl Fn() -> Option<Vec<u8>>,
        response: &mut NodeResponse,
    ) -> Result<Outcome, ExchangeError> {
        connection.write(query, &self.budget).await.map_err(without_outcome)?;
        let mut reader = pg::ResponseReader::default();
        let mut outcome = None;
        loop {
            // A violation after a complete answer closes the connection, but the answer is kept.
            let message =
                connection.next_message().await.map_err(|cause| ExchangeError { outcome, cause })?;
            match message {
                BackendMessage::ParameterStatus { name, value } => {
                    self.record_parameter(&name, &value, response)
                }
                BackendMessage::Ignored => {}
                // A duplicate of the response to the startup packet or to the empty query. No statement has
                // such a response, so that of the statement follows.
                BackendMessage::Authentication(_) | BackendMessage::EmptyQueryResponse
                    if outcome.is_none() && !reader.has_begun() =>
                {
                    connection.skip_duplicate_response().await.map_err(without_outcome)?;
                }
                BackendMessage::ReadyForQuery => {
                    return outcome.ok_or_else(|| without_outcome(ProtocolViolation::UnexpectedOrder));
                }
                message if outcome.is_none() => match reader.push(message).map_err(without_outcome)? {
                    None => {}
                    Some(Response::Result(answer)) => {
                        outcome = Some(Outcome::Ok);
                        let memory = self.budget.charge(Category::Responses, answer.size());
                        response.answer_memory = Some(memory);
                        response.answer = Some(answer);
                    }
                    Some(Response::Error { code, message, fatal, result_begun }) => {
                        log::debug!("a node responded with error {code}: {message}");
                        // Whatever the error says, a statement whose result has begun was not refused.
                        outcome = Some(if result_begun { Outcome::Error } else { outcome_of_error(&code) });
                        if fatal {
                            return Err(ExchangeError { outcome, cause: ConnectionError::Closed });
                        }
                    }
                },
                _ => return Err(ExchangeError { outcome, cause: ProtocolViolation::UnexpectedOrder.into() }),
            }
        }
    }
}

/// Whether the connection failed before the query was written completely, as opposed to a query that was not
/// permitted.
fn failed_before_query_was_sent(
    result: &Option<Result<Outcome, ExchangeError>>,
    connection: &NodeConnection,
) -> bool {
    match result {
        Some(Err(ExchangeError { outcome: None, cause })) => {
            !matches!(cause, ConnectionError::NotPermitted) && !connection.fully_written
        }
        _ => false,
    }
}

/// The outcome of a query that was answered before its connection failed. A refusal is no proof that nothing
/// ran if more than a refusal followed.
fn outcome_before_failure(answered: Outcome, cause: &ConnectionError) -> Outcome {
    let is_malformed = outcome_of_failure(cause, true) == Outcome::Malformed;
    if answered.never_ran() && is_malformed { Outcome::Malformed } else { answered }
}

/// The outcome of a query whose connection failed.
fn outcome_of_failure(cause: &ConnectionError, fully_written: bool) -> Outcome {
    if !fully_written {
        return Outcome::ConnectFailed;
    }
    match cause {
        ConnectionError::ProtocolViolation(_)
        | ConnectionError::OutOfMemory(_)
        | ConnectionError::ResponseTooLong => Outcome::Malformed,
        _ => Outcome::Reset,
    }
}

/// The outcome of a query that the node answered with an error, by its SQLSTATE.
fn outcome_of_error(code: &str) -> Outcome {
    match code {
        "25006" | "72000" => Outcome::Misrouted,
        "53300" => Outcome::Rejected,
        // The node is shutting down or starting up. `Rejected` would mean a node that is up and short of
        // connections.
        "57P03" => Outcome::ConnectFailed,
        _ => Outcome::Error,
    }
}
