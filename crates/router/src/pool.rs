//! The sole owner of connections to nodes: they are opened, checked out and checked in here, and closed once they have
//! been idle for too long.

mod checkout;
mod connection;
mod exchange;
mod health_check;
mod node_status;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use quillpoint::host::NodeId;

use crate::budget::SharedBudget;
use crate::deployment::Deployment;
use crate::descriptors::{DescriptorLimiter, EvictableRegistration};
use crate::engine::{AttemptCommand, BackgroundTask, Engine};
use crate::log_rate_limiter::LogRateLimiter;
use crate::pg;
use crate::statement::InFlightStatement;
use checkout::CheckoutResult;
use connection::NodeConnection;
use exchange::Exchange;

/// A node's entry is dropped after this many idle timeouts without a request: the node's own restart is over by then,
/// or it is gone.
const ENTRY_LIFETIME_IDLE_TIMEOUTS: u32 = 10;

/// `value`, at that time.
async fn value_at<T>(time: Instant, value: T) -> T {
    Timer::at(time).await;
    value
}

/// A connection that nobody has checked out.
struct IdleConnection {
    connection: NodeConnection,
    since: Instant,
    id: u64,
    _evictable: EvictableRegistration,
}

/// What the pool keeps of one node.
#[derive(Default)]
struct NodeEntry {
    /// The most recently used one last.
    idle: Vec<IdleConnection>,
    /// Exchanges that wait for a connection, in the order in which they came. Each has a connection of its own being
    /// opened, but takes whichever comes first.
    waiters: VecDeque<Sender<CheckoutResult>>,
    /// Connections that are being opened and have time left: no fewer than exchanges that wait.
    dials: usize,
    /// Whether the log says last that it is unreachable.
    is_unreachable: bool,
    reachability_log: LogRateLimiter,
    /// When a connection to it was last asked for.
    last_request: Option<Instant>,
}

/// The connections to all nodes.
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
    /// An empty pool. Its tasks run on `executor`.
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
            // A query may be under way for as long as a connect may take; the node must not close meanwhile.
            idle_timeout: deployment.idle_connection_timeout
                - deployment.connect_timeout.min(deployment.idle_connection_timeout / 2),
            report_fields: deployment.report_fields.clone(),
        })
    }

    /// Does what the decisions ask of the pool, as long as the engine lives.
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

    /// Closes connections that have been idle for as long as they may, until it is dropped.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            let oldest = self.nodes.borrow().values().filter_map(|node| Some(node.idle.first()?.since)).min();
            let next = oldest.unwrap_or_else(Instant::now) + self.idle_timeout;
            Timer::at(next).await;
            self.nodes.borrow_mut().retain(|_, node| self.expire(node));
        }
    }

    /// Closes a node's expired connections. Whether its entry is still needed.
    fn expire(&self, node: &mut NodeEntry) -> bool {
        node.idle.retain(|idle| idle.since.elapsed() < self.idle_timeout);
        let lifetime = self.idle_timeout * ENTRY_LIFETIME_IDLE_TIMEOUTS;
        let is_recent = node.last_request.is_some_and(|last| last.elapsed() < lifetime);
        is_recent || !node.idle.is_empty() || node.dials > 0
    }

    /// Makes an attempt. The engine is notified of its end, whether or not its RPC is over by then.
    pub fn make_attempt(
        self: &Rc<Self>,
        engine: Rc<Engine>,
        attempt: AttemptCommand,
        statement: Rc<InFlightStatement>,
    ) {
        let pool = Rc::clone(self);
        let task = async move {
            let deadline = engine.clock.instant(attempt.deadline);
            // The one place that every attempt passes right before its first byte, and before more of it where
            // its write has stalled: its RPC is pending, its client is there, and the rules hold as of now.
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
