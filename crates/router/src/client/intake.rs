//! Turns a client's messages into pipeline entries: statements to run, or immediate responses.

use std::rc::Rc;
use std::time::Instant;

use quillpoint::host::MethodId;
use quillpoint_memory_budget::Category;

use super::request::RpcRequest;
use super::response_writer::{TOO_MANY_RPCS, encode_no_capacity};
use super::session::Session;
use super::session_end::{Ending, SessionEnd};
use crate::budget::{RPC_BYTES, Reservation};
use crate::pg::{self, FrontendMessage};
use crate::receive_buffer::ReceivedMessage;
use crate::request_pipeline::RequestPipeline;
use crate::socket_liveness::ClientLiveness;
use crate::statement::{InFlightStatement, Statement, quoted_part};

/// The session ends after this many consecutive unusable statements: it is not a client of this service.
const MAX_CONSECUTIVE_UNUSABLE_STATEMENTS: usize = 8;

/// The error message for a client over the descriptor quota.
const NO_SOCKET: &str = "this router has no socket left for it";

/// The result of reading a query. The bytes are the response messages without ReadyForQuery.
enum QueryIntake {
    /// A statement to run, with the resources reserved for it.
    Statement { method: MethodId, statement: Rc<InFlightStatement>, memory: Reservation },
    /// The query is answered immediately.
    Answered(Vec<u8>),
    /// The statement cannot be used; the bytes are an error response.
    Unusable(Vec<u8>),
}

fn unusable(code: &str, message: &str) -> QueryIntake {
    let mut out = Vec::new();
    pg::encode_error(&mut out, false, code, message, None);
    QueryIntake::Unusable(out)
}

fn no_capacity() -> QueryIntake {
    let mut out = Vec::new();
    encode_no_capacity(&mut out, TOO_MANY_RPCS);
    QueryIntake::Answered(out)
}

impl Session<'_> {
    /// Adds a message to the pipeline. Returns how the session ends if this message ends it.
    pub(super) fn handle_message(
        &mut self,
        received: ReceivedMessage<FrontendMessage>,
        pipeline: &mut RequestPipeline,
    ) -> Option<Ending> {
        let ReceivedMessage { message, arrived } = received;
        let mut out = Vec::new();
        match message {
            FrontendMessage::Terminate => return Some(Ending::immediate(Ok(()))),
            FrontendMessage::Sync => {
                self.discards_until_sync = false;
                pg::encode_ready_for_query(&mut out);
            }
            _ if self.discards_until_sync => return None,
            FrontendMessage::ExtendedQuery => {
                self.discards_until_sync = true;
                pg::encode_extended_query_error(&mut out);
            }
            FrontendMessage::Query(text) => return self.handle_query(text, arrived, pipeline),
        }
        pipeline.push_response(self.clients.encoded(out));
        None
    }

    fn handle_query(
        &mut self,
        text: Vec<u8>,
        arrived: Instant,
        pipeline: &mut RequestPipeline,
    ) -> Option<Ending> {
        if !self.permit.try_admit() {
            pipeline.push_response(self.clients.encoded_no_capacity(NO_SOCKET));
            return Some(Ending::after_arrived(Ok(())));
        }
        match self.read_query(text) {
            QueryIntake::Statement { method, statement, memory } => {
                self.consecutive_unusable_statements = 0;
                let commits = Rc::clone(&self.commits);
                self.push_request(RpcRequest { method, statement, arrived, commits, memory }, pipeline);
                None
            }
            QueryIntake::Answered(out) => {
                self.consecutive_unusable_statements = 0;
                pipeline.push_response(self.clients.encoded_with_ready(out));
                None
            }
            QueryIntake::Unusable(out) => {
                self.consecutive_unusable_statements += 1;
                pipeline.push_response(self.clients.encoded_with_ready(out));
                let is_last = self.consecutive_unusable_statements >= MAX_CONSECUTIVE_UNUSABLE_STATEMENTS;
                is_last.then(|| Ending::after_arrived(Err(SessionEnd::TooManyUnusableStatements)))
            }
        }
    }

    fn push_request(&mut self, request: RpcRequest, pipeline: &mut RequestPipeline) {
        // Discards a cancel request that arrived while all statements were answered.
        if !pipeline.has_unanswered_statement() {
            self.cancel.take();
        }
        let scope = self.clients.engine.statement_scope(request.method, &request.statement.statement);
        pipeline.push_statement(scope, Box::pin(Rc::clone(self.clients).run_rpc(request)));
    }

    /// Parses a query and reserves the resources for its statement.
    fn read_query(&self, text: Vec<u8>) -> QueryIntake {
        let clients = self.clients;
        let engine = &clients.engine;
        if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            return self.answer_empty_query();
        }
        let statement = match Statement::parse(text) {
            Ok(statement) => statement,
            Err(error) => return unusable(error.sqlstate(), &error.to_string()),
        };
        let Some(method) = engine.method_by_name(&statement.method) else {
            let message = format!("the comment's c names no class: {:?}", quoted_part(&statement.method));
            return unusable("22023", &message);
        };
        if engine.writes(method) != statement.writes {
            // A write that is declared as a read could be retried and run twice.
            return unusable("22023", &format!("the statement is none of class {:?}", statement.method));
        }
        let Some(id) = clients.active_ids.register(Rc::clone(&statement.id)) else {
            return unusable("42710", "an RPC of this id is under way");
        };
        let Ok(memory) = clients.budget.reserve(Category::Statements, statement.size()) else {
            return no_capacity();
        };
        let Ok(rpc_memory) = clients.budget.reserve(Category::PendingRpcs, RPC_BYTES) else {
            return no_capacity();
        };
        let client = ClientLiveness::new(Rc::downgrade(&self.stream));
        QueryIntake::Statement {
            method,
            statement: Rc::new(InFlightStatement { statement, client, memory, active_id: id }),
            memory: rpc_memory,
        }
    }

    /// Answers an empty query, which serves as a readiness check.
    fn answer_empty_query(&self) -> QueryIntake {
        let mut out = Vec::new();
        if self.clients.engine.is_ready() {
            pg::encode_empty_query_response(&mut out);
        } else {
            pg::encode_error(&mut out, false, "57P03", "no list of nodes has come yet", None);
        }
        QueryIntake::Answered(out)
    }
}
