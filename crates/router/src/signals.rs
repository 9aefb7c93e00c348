//! What a running router is told by signals: to stop, and to read its configuration anew.

use std::net::SocketAddr;

use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::config::Launch;
use crate::deployment::Fault;

/// From here on none of these ends the process by itself.
pub fn caught() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Obeys as long as the process runs, so also while it drains.
pub async fn obey(
    mut signals: Signals,
    mut launch: Launch,
    reread: impl Fn() -> Result<Launch, Fault>,
    moves: Sender<SocketAddr>,
    stop: Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&mut launch, reread(), &moves),
            Ok(_) => {
                // Later ones change nothing.
                if stop.close() {
                    log::info!("told to stop: draining");
                }
            }
            Err(error) => log::warn!("a signal could not be read: {error}"),
        }
    }
}

/// Takes over where discovery is. All else that differs shapes what stands by now, and waits for a restart.
fn reload(launch: &mut Launch, told: Result<Launch, Fault>, moves: &Sender<SocketAddr>) {
    let told = match told {
        Ok(told) => told,
        Err(fault) => return log::warn!("configuration not taken over: {fault}"),
    };
    for key in launch.held_back(&told) {
        log::warn!("configuration: {key} has changed, which holds from the next start on");
    }
    log::info!("configuration read anew, discovery at {}", told.discovery);
    if told.discovery != launch.discovery {
        launch.discovery = told.discovery;
        _ = moves.try_send(told.discovery);
    }
}
