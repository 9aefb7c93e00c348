//! An exchange: one query to a node, and what comes of it.

use std::rc::Rc;
use std::time::Instant;

use futures_lite::FutureExt;
use quillpoint::host::{NodeId, Outcome};

use super::connection::{ConnectionError, NodeConnection};
use super::{ConnectionPool, value_at};
use crate::engine::NodeResponse;
use crate::pg::{self, BackendMessage, ProtocolViolation, Response};

/// How an exchange ended.
pub(super) struct Exchange {
    pub(super) outcome: Outcome,
    pub(super) response: NodeResponse,
}

/// Why a connection cannot be used any further.
struct ExchangeError {
    /// The node's final response, where it came before.
    outcome: Option<Outcome>,
    cause: ConnectionError,
}

/// The connection failed before the node's final response.
fn without_outcome(cause: impl Into<ConnectionError>) -> ExchangeError {
    ExchangeError { outcome: None, cause: cause.into() }
}

impl ConnectionPool {
    /// One query to a node and its outcome. `query` decides whether it is sent, and in which words, when there is a
    /// connection for it. The connection is checked in, or closed, before this ends.
    pub(super) async fn exchange(
        self: &Rc<Self>,
        node: NodeId,
        deadline: Instant,
        query: impl Fn() -> Option<Vec<u8>>,
    ) -> Exchange {
        let mut response = NodeResponse::default();
        loop {
            let idle = self.check_out_idle(node);
            let was_idle = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => match self.check_out(node).or(value_at(deadline, Err(Outcome::NotSent))).await {
                    Ok(connection) => connection,
                    Err(outcome) => return Exchange { outcome, response },
                },
            };
            let sent = async { Some(self.send_query(&mut connection, &query, &mut response).await) };
            let result = sent.or(value_at(deadline, None)).await;
            // A node may close an idle connection at any time. What it has not been sent completely cannot have run,
            // so one that breaks before that is no failure of the attempt.
            if was_idle && broke_before_it_could_run(&result, &connection) {
                continue;
            }
            return self.conclude(node, connection, result, response);
        }
    }

    /// Says what an exchange came to, and gives its connection back where it can be used again.
    fn conclude(
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
            Some(Err(ExchangeError { outcome: Some(outcome), .. })) => Exchange { outcome, response },
            Some(Err(ExchangeError { cause: ConnectionError::NotPermitted, .. })) => {
                // Closed where a part of it is on its way: without the rest it never runs.
                if !connection.write_begun {
                    self.check_in(node, connection);
                }
                Exchange { outcome: Outcome::NotSent, response }
            }
            Some(Err(ExchangeError { cause, .. })) => {
                log::debug!("{}: {cause}", node.0);
                // What a response that breaks off says is not believed.
                Exchange { outcome: failure(&cause, fully_written), response: NodeResponse::default() }
            }
        }
    }

    /// Sends the query and reads up to ReadyForQuery. An error that comes with an outcome is the node's last word on a
    /// connection that it then ended.
    async fn send_query(
        &self,
        connection: &mut NodeConnection,
        query: &impl Fn() -> Option<Vec<u8>>,
        response: &mut NodeResponse,
    ) -> Result<Outcome, ExchangeError> {
        connection.write(query).await.map_err(without_outcome)?;
        let mut reading = pg::ResponseReader::default();
        let mut outcome = None;
        loop {
            // What comes behind a complete answer can cost the connection, but no longer the answer.
            let message =
                connection.next_message().await.map_err(|cause| ExchangeError { outcome, cause })?;
            match message {
                BackendMessage::ParameterStatus { name, value } => {
                    self.record_parameter(&name, &value, response)
                }
                BackendMessage::Ignored => {}
                BackendMessage::ReadyForQuery => {
                    return outcome.ok_or_else(|| without_outcome(ProtocolViolation::UnexpectedOrder));
                }
                message if outcome.is_none() => match reading.push(message).map_err(without_outcome)? {
                    None => {}
                    Some(Response::Result(answer)) => {
                        outcome = Some(Outcome::Ok);
                        response.answer = Some(answer);
                    }
                    Some(Response::Error { code, message, fatal }) => {
                        log::debug!("a node answered {code}: {message}");
                        outcome = Some(outcome_of_error(&code));
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

/// Whether the connection failed, by itself, before the query was written completely.
fn broke_before_it_could_run(
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

/// What a failed connection means for its query.
fn failure(cause: &ConnectionError, fully_written: bool) -> Outcome {
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

/// What a node's error means, by its SQLSTATE.
fn outcome_of_error(code: &str) -> Outcome {
    match code {
        "25006" | "72000" => Outcome::Misrouted,
        "53300" => Outcome::Rejected,
        // It is down, or not up yet. Were that an answer, it would pass for a node that is up and short of
        // connections.
        "57P03" => Outcome::ConnectFailed,
        _ => Outcome::Error,
    }
}
