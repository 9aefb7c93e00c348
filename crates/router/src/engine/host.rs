//! The host of the decisions. It only queues the work that they request, so that no call into the decisions
//! can be reentrant.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use event_listener::Event;
use quillpoint::host::{AttemptNumber, Host, NodeId, Outcome, ReplicaSetId, RpcId};

use super::clock::Clock;
use super::command::{AttemptCommand, BackgroundTask, RpcCommand};
use super::command_queue::CommandSender;

/// An RPC whose final response is pending.
pub(super) struct PendingRpc {
    pub(super) commands: CommandSender,
    pub(super) replica_set: ReplicaSetId,
    pub(super) deadline: Duration,
    pub(super) attempts: u32,
    pub(super) last_outcome: Option<Outcome>,
}

/// The state that the engine shares with the host.
pub(super) struct HostState {
    pub(super) clock: Clock,
    pub(super) pending: RefCell<BTreeMap<RpcId, PendingRpc>>,
    pub(super) max_attempts: u32,
    /// Commanded attempts that cannot be made; reported as not sent once the current call into the decisions
    /// has returned.
    pub(super) unsent: RefCell<Vec<AttemptCommand>>,
    pub(super) background_tasks: Sender<BackgroundTask>,
    pub(super) endpoint_requests: Sender<()>,
    pub(super) timer_due: Cell<Option<Duration>>,
    pub(super) timer_changed: Event,
}

impl HostState {
    /// Ends an RPC by removing it from the pending ones; the only place that does so.
    pub(super) fn remove(&self, rpc: RpcId) -> Option<PendingRpc> {
        self.pending.borrow_mut().remove(&rpc)
    }

    /// Ends the RPC and sends its final response to its task. Does nothing if the RPC has already ended.
    pub(super) fn finish(&self, rpc: RpcId, command: impl FnOnce(&PendingRpc) -> RpcCommand) {
        if let Some(pending) = self.remove(rpc) {
            pending.commands.send(command(&pending));
        }
    }
}

/// Implements the decisions' [`Host`] trait for [`HostState`].
pub(super) struct DecisionHost(pub(super) Rc<HostState>);

impl Host for DecisionHost {
    fn start_attempt(&mut self, rpc: RpcId, node: NodeId, timeout: Duration) {
        let state = &self.0;
        let started = state.clock.now();
        let mut pending = state.pending.borrow_mut();
        let Some(entry) = pending.get_mut(&rpc) else {
            // The attempt's number is unknown. The decisions do not need it, since the RPC has ended for them
            // too.
            let number = AttemptNumber(u32::MAX);
            let unsent = AttemptCommand { rpc, number, node, started, deadline: started };
            return state.unsent.borrow_mut().push(unsent);
        };
        let number = AttemptNumber(entry.attempts);
        entry.attempts += 1;
        let deadline = (started + timeout).min(entry.deadline);
        let attempt = AttemptCommand { rpc, number, node, started, deadline };
        if number.0 >= state.max_attempts {
            return state.unsent.borrow_mut().push(attempt);
        }
        entry.commands.send(RpcCommand::Attempt(attempt));
    }

    fn reject(&mut self, rpc: RpcId, retry_after: Duration) {
        self.0.finish(rpc, |_| RpcCommand::Reject { retry_after });
    }

    fn abort(&mut self, rpc: RpcId) {
        self.0.finish(rpc, |pending| RpcCommand::Abort { last_outcome: pending.last_outcome });
    }

    fn start_health_check(&mut self, node: NodeId) {
        _ = self.0.background_tasks.try_send(BackgroundTask::HealthCheck(node));
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        _ = self.0.background_tasks.try_send(BackgroundTask::CloseIdle(node));
    }

    fn watch_endpoints(&mut self) {
        _ = self.0.endpoint_requests.try_send(());
    }

    fn set_timer(&mut self, after: Duration) {
        let due = self.0.clock.now() + after;
        if self.0.timer_due.get().is_none_or(|set| due < set) {
            self.0.timer_due.set(Some(due));
            self.0.timer_changed.notify(1);
        }
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}
