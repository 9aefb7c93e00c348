//! The listener: connections of clients are accepted, and each becomes a session.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use quillpoint_memory_budget::Purpose;

use super::{Clients, OPENING, Session};
use crate::descriptors::{Side, Slot};
use crate::incoming::Incoming;
use crate::pg::CancelKey;

/// A pause after a failed accept, so that a failure that lasts does not spin.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// So many times the system may refuse a connection at the end of a stop before the rest is given up.
const MOST_ACCEPT_FAILURES: usize = 4;

impl Clients {
    async fn accept_failed(&self, error: &io::Error) {
        if self.told.try_acquire() {
            log::warn!("accept failed: {error}");
        }
        Timer::after(ACCEPT_AGAIN).await;
    }

    /// Accepts until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            // Room is made only for one that has come: made ahead, it would cost the one before, which may not
            // have had time to say anything, its connection.
            if let Err(error) = listener.readable().await {
                self.accept_failed(&error).await;
                continue;
            }
            // The slot first: a connection that could not be served had better wait where it is.
            let slot = self.descriptors.take_for_client().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.welcome(stream, slot);
                    // It is idle from now on, and must be known as such before a place is made for the next.
                    future::yield_now().await;
                }
                Err(error) if concerns_one_connection(&error) => {}
                Err(error) => self.accept_failed(&error).await,
            }
        }
    }

    /// Takes what has come to the listener while its task was ended. One connection that cannot be taken leaves those
    /// behind it waiting, and they would be reset with the listener.
    pub async fn accept_rest(self: &Rc<Self>, listener: &Async<TcpListener>) {
        let mut failures = 0;
        while failures < MOST_ACCEPT_FAILURES {
            match listener.get_ref().accept() {
                Ok((stream, _)) => {
                    let slot = self.descriptors.take_for_client().await;
                    match Async::new(stream) {
                        Ok(stream) => self.welcome(stream, slot),
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

    fn welcome(self: &Rc<Self>, stream: Async<TcpStream>, slot: Slot) {
        if slot.side == Side::TurnedAway && self.told.try_acquire() {
            log::warn!("no socket left for more clients: some are turned away");
        }
        let clients = Rc::clone(self);
        let number = self.next.get();
        self.next.set(number + 1);
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
                incoming: Incoming::new(clients.accounts.owner(Purpose::Coming)),
                written: Rc::default(),
                close,
                closed,
                key,
                cancelled,
                slot,
                discards: false,
                faults: 0,
                opening: Some(Instant::now() + OPENING),
            };
            let end = session.live().await;
            log::debug!("session {number}: {end}");
            // Its slot is free by now.
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
