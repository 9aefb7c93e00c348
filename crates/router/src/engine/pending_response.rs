//! The receiver of an RPC's commands.

use std::rc::Rc;

use quillpoint::host::{Outcome, RpcId};

use super::Engine;
use super::command::{NodeResponse, RpcCommand};
use super::command_queue::CommandReceiver;

/// A pending RPC, as its task sees it. Dropping it before the final response means that the client has
/// disconnected.
pub struct PendingResponse {
    engine: Rc<Engine>,
    rpc: RpcId,
    commands: CommandReceiver,
}

impl PendingResponse {
    pub(super) fn new(engine: Rc<Engine>, rpc: RpcId, commands: CommandReceiver) -> Self {
        Self { engine, rpc, commands }
    }

    /// Waits for the next command. Returns `None` after the final response.
    pub async fn next_command(&self) -> Option<RpcCommand> {
        self.commands.receive().await
    }

    /// Returns the next command if one is already queued.
    pub fn try_next_command(&self) -> Option<RpcCommand> {
        self.commands.try_receive()
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        // Has no effect if the RPC has received its final response.
        self.engine.client_disconnected(self.rpc);
        // Attempts that were commanded but will not be made are ended too. Otherwise the decisions would
        // count them as in flight, and their nodes as unresponsive.
        while let Some(command) = self.try_next_command() {
            if let RpcCommand::Attempt(attempt) = command {
                self.engine.attempt_ended(attempt, Outcome::NotSent, NodeResponse::default());
            }
        }
    }
}
