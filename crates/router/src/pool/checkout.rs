//! Checking connections out and in. A connection has one owner at a time: the pool, or the exchange that has checked
//! it out; [`ConnectionPool::check_in`] is the one place where it comes back.

use std::future::Future;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_channel::Sender;
use futures_lite::FutureExt;
use quillpoint::host::{NodeId, Outcome};

use super::connection::{ConnectionError, NodeConnection};
use super::{ConnectionPool, IdleConnection, value_at};
use crate::descriptors::{DescriptorUse, EvictionPriority};

/// How long past its time a dial may still come up: a lost packet is sent again after one second, and after three.
const LATE_DIAL_TIMEOUT: Duration = Duration::from_millis(3500);

/// What an exchange that waits for a connection gets.
pub(super) type CheckoutResult = Result<NodeConnection, Outcome>;

impl ConnectionPool {
    /// The most recently used idle connection that is still good.
    pub(super) fn check_out_idle(&self, node: NodeId) -> Option<NodeConnection> {
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.get_mut(&node)?;
        while let Some(IdleConnection { connection, since, .. }) = node.idle.pop() {
            if since.elapsed() >= self.idle_timeout {
                // The ones below have been idle for longer.
                node.idle.clear();
            } else if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Waits for a connection: one that is opened for this exchange, or one that is checked in earlier.
    pub(super) async fn check_out(self: &Rc<Self>, node: NodeId) -> CheckoutResult {
        let (waiter, checked_out) = async_channel::bounded(1);
        self.enqueue_waiter(node, waiter);
        self.executor.spawn(Rc::clone(self).dial(node)).detach();
        checked_out.recv().await.unwrap_or(Err(Outcome::NotSent))
    }

    async fn dial(self: Rc<Self>, node: NodeId) {
        // A shortage of descriptors here is no fault of the node's, so that its time runs from then on.
        let permit = self.descriptors.acquire().await;
        if self.waiting_exchanges(node) == 0 {
            return self.dial_ended(node);
        }
        // The dial goes on when its exchange has ended: what has been paid for serves the next.
        let mut dial = pin!(NodeConnection::open(node, permit, &self.budget));
        let timeout = value_at(Instant::now() + self.connect_timeout, Err(ConnectionError::ConnectTimeout));
        match dial.as_mut().or(timeout).await {
            Ok(connection) => {
                if !connection.is_reusable() {
                    // More than a greeting came: nothing that follows could be told apart from a response.
                    log::debug!("{}: no connection: it says more than it was asked", node.0);
                }
                self.check_in(node, connection);
                self.dial_ended(node);
            }
            Err(error) => {
                log::debug!("{}: no connection: {error}", node.0);
                self.dial_ended(node);
                if matches!(error, ConnectionError::ConnectTimeout) {
                    self.await_late_dial(node, dial).await;
                }
            }
        }
    }

    /// A dial whose time is over goes on for a while, for the next exchange: a packet may have been lost. It is evicted
    /// where descriptors are short.
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
        entry.dials += 1;
    }

    /// How many exchanges wait for a connection.
    fn waiting_exchanges(&self, node: NodeId) -> usize {
        let mut nodes = self.nodes.borrow_mut();
        let waiters = &mut nodes.entry(node).or_default().waiters;
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.len()
    }

    /// A dial has come to its end, or to that of its time. Its failure goes to an exchange that no dial is left for,
    /// and to no other: one that came later has a dial with a time of its own.
    fn dial_ended(&self, node: NodeId) {
        let remaining_dials = {
            let mut nodes = self.nodes.borrow_mut();
            let dials = &mut nodes.entry(node).or_default().dials;
            *dials -= 1;
            *dials
        };
        if self.waiting_exchanges(node) > remaining_dials {
            self.offer(node, Err(Outcome::ConnectFailed));
        }
    }

    /// Gives the result to the first exchange that still waits. What nobody waited for comes back.
    fn offer(&self, node: NodeId, mut result: CheckoutResult) -> Option<CheckoutResult> {
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

    /// The one place where a connection comes back: it goes to the first exchange that waits, or becomes idle. One that
    /// cannot carry another query is closed.
    pub(super) fn check_in(self: &Rc<Self>, node: NodeId, connection: NodeConnection) {
        if !connection.is_reusable() {
            return;
        }
        let Some(Ok(connection)) = self.offer(node, Ok(connection)) else { return };
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
        let idle = IdleConnection { since: connection.last_used, connection, id, _evictable: evictable };
        // In the order in which they were used; one that came back unused is older than those that were.
        let mut nodes = self.nodes.borrow_mut();
        let all = &mut nodes.entry(node).or_default().idle;
        all.insert(all.partition_point(|other| other.since <= idle.since), idle);
    }
}
