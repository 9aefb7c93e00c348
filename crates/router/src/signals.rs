//! What a running router is told by signals: to stop, and to read its configuration anew.

use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::runtime_config::{RuntimeConfig, RuntimeConfigError};
use crate::ties::Ties;

/// From here on none of these ends the process by itself.
pub fn caught() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Obeys as long as the process runs, so also while it drains.
pub async fn obey(
    mut signals: Signals,
    mut config: RuntimeConfig,
    reread: impl Fn() -> Result<RuntimeConfig, RuntimeConfigError>,
    (moves, ties): (Sender<SocketAddr>, Rc<Ties>),
    stop: Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&mut config, reread(), &moves, &ties),
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

/// Takes over where discovery is, and where peers and control instances are and by which keys they speak. All else that differs shapes
/// what stands by now, and waits for a restart.
fn reload(
    config: &mut RuntimeConfig,
    told: Result<RuntimeConfig, RuntimeConfigError>,
    moves: &Sender<SocketAddr>,
    ties: &Ties,
) {
    let told = match told {
        Ok(told) => told,
        Err(fault) => return log::warn!("configuration not taken over: {fault}"),
    };
    for key in config.restart_required(&told) {
        log::warn!("configuration: {key} has changed, which holds from the next start on");
    }
    ties.reload(&told.parts);
    let discovery = told.startup.discovery;
    log::info!("configuration read anew, discovery at {discovery}");
    if discovery != config.startup.discovery {
        config.startup.discovery = discovery;
        _ = moves.try_send(discovery);
    }
}
