//! The receiving end of one RPC's commands.

use std::rc::Rc;

use async_channel::Receiver;
use quillpoint::host::{Outcome, RpcId};

use super::Engine;
use super::command::{NodeResponse, RpcCommand};

/// An RPC under way. Dropping it before its final response means that its client has disconnected.
pub struct PendingResponse {
    engine: Rc<Engine>,
    rpc: RpcId,
    commands: Receiver<RpcCommand>,
}

impl PendingResponse {
    pub(super) fn new(engine: Rc<Engine>, rpc: RpcId, commands: Receiver<RpcCommand>) -> Self {
        Self { engine, rpc, commands }
    }

    /// Waits for the next command. None comes after the final response.
    pub async fn next_command(&self) -> Option<RpcCommand> {
        self.commands.recv().await.ok()
    }

    /// The next command, if one has been given by now.
    pub fn try_next_command(&self) -> Option<RpcCommand> {
        self.commands.try_recv().ok()
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        // Changes nothing where the RPC has had its final response.
        self.engine.client_disconnected(self.rpc);
        // An attempt that was commanded and that nobody makes any more has ended as well: the decisions would count
        // it as in flight, and its node as one that does not answer.
        while let Some(command) = self.try_next_command() {
            if let RpcCommand::Attempt(attempt) = command {
                self.engine.attempt_ended(attempt, Outcome::NotSent, NodeResponse::default());
            }
        }
    }
}
