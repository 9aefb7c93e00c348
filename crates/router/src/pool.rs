//! The connection pool, the only owner of connections to nodes. It opens connections, checks them out and in,
//! and closes them after an idle timeout.

mod checkout;
mod connection;
mod exchange;
mod health_check;
mod node_status;
mod reachability;
mod validation;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use quillpoint::host::NodeId;
use quillpoint_memory_budget::Category;

use crate::budget::{ATTEMPT_BYTES, SharedBudget};
use crate::deployment::Deployment;
use crate::descriptors::{DescriptorLimiter, EvictableRegistration};
use crate::engine::{AttemptCommand, BackgroundTask, Engine};
use crate::pg;
use crate::statement::InFlightStatement;
use checkout::CheckoutResult;
use connection::NodeConnection;
use exchange::Exchange;
use reachability::ReachabilityLog;
use validation::ValidationLog;

/// A node's entry is dropped after this many idle timeouts without a request: by then the node has restarted
/// or is gone for good.
const ENTRY_LIFETIME_IDLE_TIMEOUTS: u32 = 10;

/// Waits until `time` and returns `value`.
async fn value_at<T>(time: Instant, value: T) -> T {
    Timer::at(time).await;
    value
}

/// A connection that is not checked out.
struct IdleConnection {
    connection: NodeConnection,
    idle_since: Instant,
    id: u64,
    _evictable: EvictableRegistration,
}

/// The pool's state for one node.
#[derive(Default)]
struct NodeEntry {
    /// Idle connections, most recently used last.
    idle: Vec<IdleConnection>,
    /// Exchanges that wait for a connection, in order of arrival. A dial is started for each, but a waiter
    /// takes whichever connection becomes available first.
    waiters: VecDeque<Sender<CheckoutResult>>,
    /// Dials that have neither ended nor timed out. Never fewer than the waiting exchanges.
    active_dials: usize,
    reachability_log: ReachabilityLog,
    validation_log: ValidationLog,
    /// When an exchange last had to wait for a connection to the node.
    last_request: Option<Instant>,
}

/// The pooled connections to all nodes.
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    descriptors: Rc<DescriptorLimiter>,
    budget: SharedBudget,
    nodes: RefCell<BTreeMap<NodeId, NodeEntry>>,
    next_idle_id: Cell<u64>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    report_fields: Vec<String>,
}

impl ConnectionPool {
    /// Creates an empty pool. Its tasks run on `executor`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        descriptors: Rc<DescriptorLimiter>,
        budget: SharedBudget,
        deployment: &Deployment,
    ) -> Rc<Self> {
        Rc::new(Self {
            executor,
            descriptors,
            budget,
            nodes: RefCell::default(),
            next_idle_id: Cell::new(0),
            connect_timeout: deployment.connect_timeout,
            // A query may be in transit for as long as the connect timeout; the node must not close the idle
            // connection during that time.
            idle_timeout: deployment.idle_connection_timeout
                - deployment.connect_timeout.min(deployment.idle_connection_timeout / 2),
            report_fields: deployment.report_fields.clone(),
        })
    }

    /// Runs the background tasks that the decisions queue for the pool, until the engine is dropped.
    pub async fn run_background_tasks(self: Rc<Self>, engine: Rc<Engine>, tasks: Receiver<BackgroundTask>) {
        while let Ok(task) = tasks.recv().await {
            match task {
                BackgroundTask::CloseIdle(node) => self.close_idle(node),
                BackgroundTask::HealthCheck(node) if !engine.permits_health_check(node) => {}
                BackgroundTask::HealthCheck(node) | BackgroundTask::AssignedHealthCheck(node) => {
                    self.spawn_health_check(&engine, node);
                }
            }
        }
    }

    fn close_idle(&self, node: NodeId) {
        if let Some(node) = self.nodes.borrow_mut().get_mut(&node) {
            node.idle.clear();
        }
    }

    /// Closes connections that have reached the idle timeout. Runs until the future is dropped.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            let oldest =
                self.nodes.borrow().values().filter_map(|node| Some(node.idle.first()?.idle_since)).min();
            let next_expiry = oldest.unwrap_or_else(Instant::now) + self.idle_timeout;
            Timer::at(next_expiry).await;
            self.nodes.borrow_mut().retain(|_, node| self.close_expired_of_node(node));
        }
    }

    /// Closes a node's expired connections and returns whether its entry is still needed.
    fn close_expired_of_node(&self, node: &mut NodeEntry) -> bool {
        node.idle.retain(|idle| idle.idle_since.elapsed() < self.idle_timeout);
        let lifetime = self.idle_timeout * ENTRY_LIFETIME_IDLE_TIMEOUTS;
        let is_recent = node.last_request.is_some_and(|last| last.elapsed() < lifetime);
        is_recent || !node.idle.is_empty() || node.active_dials > 0
    }

    /// Starts a task that makes an attempt and reports its end to the engine, even if its RPC has ended
    /// before.
    pub fn make_attempt(
        self: &Rc<Self>,
        engine: Rc<Engine>,
        attempt: AttemptCommand,
        statement: Rc<InFlightStatement>,
    ) {
        let pool = Rc::clone(self);
        let memory = self.budget.charge(Category::PendingRpcs, ATTEMPT_BYTES);
        let task = async move {
            let _memory = memory;
            let deadline = engine.clock.instant(attempt.deadline);
            // Every attempt passes this check right before its first byte is written, and again after a
            // stalled write: its RPC is pending, its client is connected, and the decisions still permit it.
            let query = || {
                let permitted = statement.client.is_connected() && engine.permits_attempt(&attempt);
                let wait = attempt.deadline.saturating_sub(engine.clock.now());
                permitted.then(|| pg::query_message(&statement.statement.with_remaining(wait)))
            };
            let Exchange { outcome, response } = pool.exchange(attempt.node, deadline, query).await;
            pool.log_reachability(attempt.node, outcome);
            engine.attempt_ended(attempt, outcome, response);
        };
        self.executor.spawn(task).detach();
    }
}
