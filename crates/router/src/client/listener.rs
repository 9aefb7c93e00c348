//! The listener: connections of clients are accepted, and each becomes a session.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use quillpoint_memory_budget::Category;

use super::ClientSessions;
use super::session::Session;
use crate::descriptors::{DescriptorPermit, DescriptorUse};
use crate::pg::CancelKey;
use crate::receive_buffer::ReceiveBuffer;

/// How long a connection may take to its first complete message.
const OPENING_TIMEOUT: Duration = Duration::from_secs(2);
/// A pause after a failed accept, so that a failure that lasts does not spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How often accepting may fail at shutdown before the connections that still wait are given up.
const MAX_ACCEPT_FAILURES: usize = 4;

impl ClientSessions {
    /// Accepts connections until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            // Room is made only for one that has come: made ahead, it would cost the one before, which may not
            // have had time to say anything, its connection.
            if let Err(error) = listener.readable().await {
                self.accept_failed(&error).await;
                continue;
            }
            // The descriptor first: a connection that could not be served had better wait where it is.
            let permit = self.descriptors.acquire_for_client().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.begin_session(stream, permit);
                    // It is idle from now on, and must be known as such before a place is made for the next.
                    future::yield_now().await;
                }
                Err(error) if concerns_one_connection(&error) => {}
                Err(error) => self.accept_failed(&error).await,
            }
        }
    }

    async fn accept_failed(&self, error: &io::Error) {
        if self.listener_log.is_due() {
            log::warn!("accept failed: {error}");
        }
        Timer::after(ACCEPT_RETRY_INTERVAL).await;
    }

    /// Accepts what has come to the listener while its task was ended. One connection that cannot be taken leaves those
    /// behind it waiting, and they would be reset with the listener.
    pub async fn accept_remaining(self: &Rc<Self>, listener: &Async<TcpListener>) {
        let mut failures = 0;
        while failures < MAX_ACCEPT_FAILURES {
            match listener.get_ref().accept() {
                Ok((stream, _)) => {
                    let permit = self.descriptors.acquire_for_client().await;
                    match Async::new(stream) {
                        Ok(stream) => self.begin_session(stream, permit),
                        Err(error) => log::warn!("accept failed: {error}"),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if concerns_one_connection(&error) => {}
                Err(error) => {
                    failures += 1;
                    self.accept_failed(&error).await;
                }
            }
        }
    }

    /// Serves a connection in a task of its own. The session is known under its number and its key until it ends.
    fn begin_session(self: &Rc<Self>, stream: Async<TcpStream>, permit: DescriptorPermit) {
        if permit.held_for == DescriptorUse::RejectedClient && self.listener_log.is_due() {
            log::warn!("no descriptor left for more clients: some are rejected");
        }
        let clients = Rc::clone(self);
        let number = self.next_session.get();
        self.next_session.set(number + 1);
        let (close, closed) = async_channel::bounded(1);
        self.open.borrow_mut().insert(number, close.clone());
        // Nobody may guess it, as whoever knows it can end what the session has under way.
        let key = CancelKey(rand::random());
        let (cancel, cancelled) = async_channel::bounded(1);
        self.cancels.borrow_mut().insert(key, cancel);
        let task = async move {
            _ = stream.get_ref().set_nodelay(true);
            let session = Session {
                clients: &clients,
                stream: Rc::new(stream),
                buffer: ReceiveBuffer::new(clients.budget.empty_reservation(Category::IncomingMessages)),
                commits: Rc::default(),
                close,
                closed,
                key,
                cancelled,
                permit,
                discards_until_sync: false,
                unusable_statements: 0,
                opening_deadline: Some(Instant::now() + OPENING_TIMEOUT),
            };
            let end = session.serve().await;
            log::debug!("session {number}: {end}");
            // Its descriptor is free by now.
            clients.cancels.borrow_mut().remove(&key);
            clients.open.borrow_mut().remove(&number);
        };
        self.executor.spawn(task).detach();
    }
}

/// Whether a failed accept says nothing of the next: the connection broke before it was taken, or a signal came.
fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
