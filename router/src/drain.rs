//! The end of a router: SIGTERM, or a signal to stop from within.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::client::Clients;

/// The front sends new connections for up to 0.4 s after SIGTERM; this is that and a margin.
const STILL_SENT_TO: Duration = Duration::from_millis(500);
/// How often it is looked whether all is answered.
const LOOK: Duration = Duration::from_millis(5);

/// Ends once SIGTERM or SIGINT has come. Later ones change nothing while what this returns is kept.
pub async fn told_to_stop() -> std::io::Result<Signals> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await.transpose()?;
    log::info!("told to stop: draining");
    Ok(signals)
}

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
