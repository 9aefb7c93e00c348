//! The end of a router.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};

use crate::client::Clients;

/// The front sends new connections for up to 0.4 s after SIGTERM; this is that and a margin.
const STILL_SENT_TO: Duration = Duration::from_millis(500);
/// How often it is looked whether all is answered.
const LOOK: Duration = Duration::from_millis(5);

/// Answers all that is held, and takes nothing new once the front has turned away. Ends when nothing is held.
pub async fn drain<T>(
    clients: &Rc<Clients>,
    listener: Rc<Async<TcpListener>>,
    accepting: async_executor::Task<T>,
) {
    Timer::after(STILL_SENT_TO).await;
    accepting.cancel().await;
    clients.accept_rest(&listener).await;
    drop(listener);
    clients.drain();
    while clients.open_sessions() > 0 {
        Timer::after(LOOK).await;
    }
}
