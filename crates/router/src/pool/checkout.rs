//! Checks connections out and in. A connection has one owner at a time: the pool, or the exchange that has
//! checked it out. Connections return to the pool through [`ConnectionPool::check_in`] only.

use std::future::Future;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use quillpoint::host::{NodeId, Outcome};

use super::connection::{ConnectionError, NodeConnection};
use super::{ConnectionPool, IdleConnection, NodeEntry, value_at};
use crate::descriptors::{DescriptorUse, EvictionPriority};

/// How long after its connect timeout a dial may still succeed. TCP retransmits a lost packet after one
/// second, and again after three.
const LATE_DIAL_TIMEOUT: Duration = Duration::from_millis(3500);

/// How long an exchange waits for the validation of an idle connection before it dials. Nodes answer an empty
/// query at once.
const VALIDATION_PATIENCE: Duration = Duration::from_millis(10);

/// What an exchange that waits for a connection receives.
pub(super) type CheckoutResult = Result<NodeConnection, Outcome>;

/// A connection that has been checked out, and is validated.
pub(super) struct CheckedOut {
    pub(super) connection: NodeConnection,
    /// Whether the connection was idle, so that its node may have closed it.
    pub(super) was_idle: bool,
}

/// How the wait for the validation of a connection ended.
enum ValidationEnd {
    Validated,
    Failed(ConnectionError),
    /// Another connection came first, or the wait for one failed.
    Replaced(CheckoutResult),
}

impl ConnectionPool {
    /// Checks out an idle connection that is still usable, or else a new one.
    ///
    /// # Errors
    /// No connection can be established, or none before `deadline`.
    pub(super) async fn check_out(
        self: &Rc<Self>,
        node: NodeId,
        deadline: Instant,
    ) -> Result<CheckedOut, Outcome> {
        let mut idle = self.take_idle(node);
        let mut replacement = None;
        loop {
            let was_idle = idle.is_some();
            let mut connection = match idle.take().or(replacement.take()) {
                Some(connection) => connection,
                None => self.await_connection(node, deadline).await?,
            };
            match self.await_validation(node, deadline, &mut connection).await {
                ValidationEnd::Validated => return Ok(CheckedOut { connection, was_idle }),
                ValidationEnd::Failed(error) => {
                    self.log_failed_validation(node, &error);
                    idle = self.take_idle(node);
                }
                ValidationEnd::Replaced(result) => {
                    self.check_in(node, connection);
                    replacement = Some(result?);
                }
            }
        }
    }

    /// Takes the most recently used idle connection that is validated and usable, or else the most recently
    /// used one. Closes those whose empty query has been unanswered for longer than a dial may take.
    fn take_idle(&self, node: NodeId) -> Option<NodeConnection> {
        let mut nodes = self.nodes.borrow_mut();
        let NodeEntry { idle, validation_log, .. } = nodes.get_mut(&node)?;
        // The connections are sorted by last use.
        idle.drain(..idle.partition_point(|idle| idle.idle_since.elapsed() >= self.idle_timeout));
        for index in (0..idle.len()).rev() {
            let connection = &mut idle[index].connection;
            let is_usable = match connection.try_validate() {
                Ok(true) if connection.is_open_and_quiet() => return Some(idle.remove(index).connection),
                Ok(true) => false,
                Ok(false) => connection.validation.pending_since().elapsed() < self.connect_timeout,
                Err(error) => {
                    validation_log.record(node, &error);
                    false
                }
            };
            if !is_usable {
                drop(idle.remove(index));
            }
        }
        idle.pop().map(|idle| idle.connection)
    }

    /// Waits until the connection is validated. Dials if the empty query has been unanswered for longer than
    /// [`VALIDATION_PATIENCE`].
    async fn await_validation(
        self: &Rc<Self>,
        node: NodeId,
        deadline: Instant,
        connection: &mut NodeConnection,
    ) -> ValidationEnd {
        let patience_ends = connection.validation.pending_since() + VALIDATION_PATIENCE;
        let validated = async {
            match connection.finish_validation().await {
                Ok(()) => ValidationEnd::Validated,
                Err(error) => ValidationEnd::Failed(error),
            }
        };
        let replaced = async {
            Timer::at(patience_ends).await;
            ValidationEnd::Replaced(self.await_connection(node, deadline).await)
        };
        let timed_out = value_at(deadline, ValidationEnd::Replaced(Err(Outcome::NotSent)));
        validated.or(replaced).or(timed_out).await
    }

    /// Dials the node and waits for a connection: the new one, or one that is checked in before.
    async fn await_connection(self: &Rc<Self>, node: NodeId, deadline: Instant) -> CheckoutResult {
        let (waiter, checked_out) = async_channel::bounded(1);
        self.enqueue_waiter(node, waiter);
        self.spawn_dial(node);
        let received = async { checked_out.recv().await.unwrap_or(Err(Outcome::NotSent)) };
        received.or(value_at(deadline, Err(Outcome::NotSent))).await
    }

    /// Starts a task that dials the node. Not within an async function, which would hold the space of the
    /// task's future as long as it waits.
    fn spawn_dial(self: &Rc<Self>, node: NodeId) {
        self.executor.spawn(Rc::clone(self).dial(node)).detach();
    }

    async fn dial(self: Rc<Self>, node: NodeId) {
        // Waiting for a descriptor is not the node's fault, so the connect timeout starts after it.
        let permit = self.descriptors.acquire().await;
        if self.waiting_exchanges(node) == 0 {
            return self.dial_ended(node);
        }
        // The dial continues after its exchange has ended, so that a later exchange can use the connection.
        let mut dial = pin!(NodeConnection::open(node, permit, &self.budget));
        let timeout = value_at(Instant::now() + self.connect_timeout, Err(ConnectionError::ConnectTimeout));
        match dial.as_mut().or(timeout).await {
            Ok(connection) => {
                if connection.is_open_and_quiet() {
                    self.check_in(node, connection);
                } else {
                    log::debug!(
                        "node {}: dropped a new connection: unexpected data after the startup",
                        node.0
                    );
                }
                self.dial_ended(node);
            }
            Err(error) => {
                log::debug!("node {}: failed to connect: {error}", node.0);
                self.dial_ended(node);
                if matches!(error, ConnectionError::ConnectTimeout) {
                    self.await_late_dial(node, dial).await;
                }
            }
        }
    }

    /// Lets a dial continue for a while after its connect timeout, since a packet may have been lost; a later
    /// exchange can use the connection. The dial is evicted when descriptors are short.
    async fn await_late_dial(
        self: &Rc<Self>,
        node: NodeId,
        dial: impl Future<Output = Result<NodeConnection, ConnectionError>>,
    ) {
        let (close, closed) = async_channel::bounded::<()>(1);
        let close = move || _ = close.try_send(());
        let _evictable =
            self.descriptors.register_evictable(DescriptorUse::Internal, EvictionPriority::First, close);
        let evicted = async {
            _ = closed.recv().await;
            Err(ConnectionError::ConnectTimeout)
        };
        let timeout = value_at(Instant::now() + LATE_DIAL_TIMEOUT, Err(ConnectionError::ConnectTimeout));
        if let Ok(connection) = dial.or(evicted).or(timeout).await {
            self.check_in(node, connection);
        }
    }

    fn enqueue_waiter(&self, node: NodeId, waiter: Sender<CheckoutResult>) {
        let mut nodes = self.nodes.borrow_mut();
        let entry = nodes.entry(node).or_default();
        entry.last_request = Some(Instant::now());
        entry.waiters.push_back(waiter);
        entry.active_dials += 1;
    }

    /// Returns the number of exchanges that wait for a connection.
    fn waiting_exchanges(&self, node: NodeId) -> usize {
        let mut nodes = self.nodes.borrow_mut();
        let waiters = &mut nodes.entry(node).or_default().waiters;
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.len()
    }

    /// Called when a dial has succeeded, failed or timed out. A failure is passed on only if there are more
    /// waiting exchanges than dials left: an exchange that arrived later has its own dial with its own
    /// timeout.
    fn dial_ended(&self, node: NodeId) {
        let remaining_dials = {
            let mut nodes = self.nodes.borrow_mut();
            let active_dials = &mut nodes.entry(node).or_default().active_dials;
            *active_dials -= 1;
            *active_dials
        };
        if self.waiting_exchanges(node) > remaining_dials {
            self.offer_to_waiter(node, Err(Outcome::ConnectFailed));
        }
    }

    /// Passes the result to the first exchange that still waits. Returns it if there is none.
    fn offer_to_waiter(&self, node: NodeId, mut result: CheckoutResult) -> Option<CheckoutResult> {
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.entry(node).or_default();
        while let Some(waiter) = node.waiters.pop_front() {
            match waiter.try_send(result) {
                Ok(()) => return None,
                Err(unsent) => result = unsent.into_inner(),
            }
        }
        Some(result)
    }

    /// Returns a connection to the pool: its validation is begun, and it is passed to the first waiting
    /// exchange, or becomes idle. A connection that cannot be reused is closed.
    pub(super) fn check_in(self: &Rc<Self>, node: NodeId, mut connection: NodeConnection) {
        if let Err(error) = connection.begin_validation() {
            return self.log_failed_validation(node, &error);
        }
        let Some(Ok(connection)) = self.offer_to_waiter(node, Ok(connection)) else { return };
        let id = self.next_idle_id.get();
        self.next_idle_id.set(id + 1);
        let pool = Rc::downgrade(self);
        let close = move || {
            if let Some(pool) = Weak::upgrade(&pool)
                && let Some(node) = pool.nodes.borrow_mut().get_mut(&node)
            {
                node.idle.retain(|idle| idle.id != id);
            }
        };
        let evictable =
            self.descriptors.register_evictable(DescriptorUse::Internal, EvictionPriority::Idle, close);
        let idle = IdleConnection { idle_since: connection.last_used, connection, id, _evictable: evictable };
        // Sorted by last use: a connection that is returned unused may be older than others that are idle.
        let mut nodes = self.nodes.borrow_mut();
        let connections = &mut nodes.entry(node).or_default().idle;
        connections.insert(connections.partition_point(|other| other.idle_since <= idle.idle_since), idle);
    }
}
