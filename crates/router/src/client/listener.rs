//! Accepts client connections and starts a session for each.

use std::cell::RefCell;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use quillpoint_memory_budget::Category;

use super::ClientSessions;
use super::session::Session;
use crate::budget::SESSION_BYTES;
use crate::connection_memory::{ConnectionMemory, Peer};
use crate::descriptors::{DescriptorPermit, DescriptorUse};
use crate::pg::CancelKey;
use crate::receive_buffer::ReceiveBuffer;
use crate::session_commits::SessionCommits;
use crate::signal::Signal;

/// The longest time from accepting a connection to its first complete message.
const OPENING_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, so that a persistent failure does not cause a busy loop.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// At shutdown, the number of failed accepts after which the connections left in the backlog are given up.
const MAX_ACCEPT_FAILURES: usize = 4;

impl ClientSessions {
    /// Accepts connections until the future is dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            // Acquires a descriptor only once a connection is pending: acquired ahead of time, it could evict
            // the newest connection, whose client may not have had time to send anything yet.
            if let Err(error) = listener.readable().await {
                self.accept_failed(&error).await;
                continue;
            }
            // The descriptor is acquired before accepting: a connection that cannot be served yet waits in
            // the backlog.
            let permit = self.descriptors.acquire_for_client().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.begin_session(stream, permit);
                    // Lets the new session register as idle, and thus as evictable, before a descriptor is
                    // acquired for the next connection.
                    future::yield_now().await;
                }
                Err(error) if affects_one_connection(&error) => {}
                Err(error) => self.accept_failed(&error).await,
            }
        }
    }

    async fn accept_failed(&self, error: &io::Error) {
        if self.listener_log.try_acquire() {
            log::warn!("failed to accept a client connection: {error}");
        }
        Timer::after(ACCEPT_RETRY_INTERVAL).await;
    }

    /// Accepts the connections that are left in the backlog after the accepting task was cancelled. Retries
    /// after a failed accept: the connections behind it would be reset when the listener is closed.
    pub async fn accept_remaining(self: &Rc<Self>, listener: &Async<TcpListener>) {
        let mut failures = 0;
        while failures < MAX_ACCEPT_FAILURES {
            match listener.get_ref().accept() {
                Ok((stream, _)) => {
                    let permit = self.descriptors.acquire_for_client().await;
                    match Async::new(stream) {
                        Ok(stream) => self.begin_session(stream, permit),
                        Err(error) => log::warn!("failed to set up a client connection: {error}"),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if affects_one_connection(&error) => {}
                Err(error) => {
                    failures += 1;
                    self.accept_failed(&error).await;
                }
            }
        }
    }

    /// Serves a connection in its own task. The session is registered by its number and its cancel key until
    /// it ends.
    fn begin_session(self: &Rc<Self>, stream: Async<TcpStream>, permit: DescriptorPermit) {
        if permit.held_for == DescriptorUse::RejectedClient && self.listener_log.try_acquire() {
            log::warn!("the descriptor quota for clients is exhausted: rejecting new clients");
        }
        let clients = Rc::clone(self);
        let commits_memory = self.budget.empty_reservation(Category::ClientConnections);
        let memory = ConnectionMemory::new(&self.budget, Peer::Client, SESSION_BYTES);
        let number = self.next_session_number.get();
        self.next_session_number.set(number + 1);
        let close = Signal::default();
        self.open_sessions.borrow_mut().insert(number, close.clone());
        // Random, since anyone who knows the key can cancel the session's statements.
        let key = CancelKey(rand::random());
        let cancel = Signal::default();
        self.cancel_signals.borrow_mut().insert(key, cancel.clone());
        let task = async move {
            _ = stream.get_ref().set_nodelay(true);
            let session = Session {
                clients: &clients,
                stream: Rc::new(stream),
                buffer: ReceiveBuffer::new(memory),
                commits: Rc::new(RefCell::new(SessionCommits::new(commits_memory))),
                close,
                key,
                cancel,
                permit,
                discards_until_sync: false,
                consecutive_unusable_statements: 0,
                opening_deadline: Some(Instant::now() + OPENING_TIMEOUT),
            };
            let end = session.serve().await;
            log::debug!("session {number}: {end}");
            // Unregistered last: the session's descriptor has been released by now.
            clients.cancel_signals.borrow_mut().remove(&key);
            clients.open_sessions.borrow_mut().remove(&number);
        };
        self.executor.spawn(task).detach();
    }
}

/// Whether a failed accept concerns one connection alone, so that the next accept may succeed: the connection
/// was aborted before it was accepted, or a signal interrupted the call.
fn affects_one_connection(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
