//! Handles the signals to a running router: SIGTERM and SIGINT shut it down, SIGHUP reloads its
//! configuration.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::control_connections::ControlConnections;
use crate::runtime_config::{RuntimeConfig, RuntimeConfigError};

/// The parts of the router that a reloaded configuration is applied to.
pub struct ReloadTargets {
    /// Receives a new address of discovery.
    pub discovery_address: Sender<SocketAddr>,
    /// Receive new peers, control instances and keys.
    pub connections: Rc<ControlConnections>,
}

/// Installs handlers for the signals, whose default action would be to end the process.
///
/// # Errors
/// The system rejects a handler.
pub fn install() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Handles signals until the process ends, also while it drains. Closes `request_shutdown` on the first
/// shutdown signal.
pub async fn handle(
    mut signals: Signals,
    mut config: RuntimeConfig,
    reread: impl Fn() -> Result<RuntimeConfig, RuntimeConfigError>,
    targets: ReloadTargets,
    request_shutdown: Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&mut config, reread(), &targets),
            Ok(_) => {
                // Further shutdown signals have no effect.
                if request_shutdown.close() {
                    log::info!("received a shutdown signal, draining");
                }
            }
            Err(error) => log::warn!("failed to receive a signal: {error}"),
        }
    }
}

/// Applies a new address of discovery, and new peers, control instances and keys. Logs a warning for every
/// other change: those take effect only after a restart.
fn reload(
    config: &mut RuntimeConfig,
    reread: Result<RuntimeConfig, RuntimeConfigError>,
    targets: &ReloadTargets,
) {
    let reread = match reread {
        Ok(reread) => reread,
        Err(error) => {
            return log::warn!("configuration reload failed, keeping the current configuration: {error}");
        }
    };
    for key in config.restart_required(&reread) {
        log::warn!("configuration: {key} has changed, restart to apply it");
    }
    targets.connections.reload(&reread.roles);
    let discovery = reread.startup.discovery;
    log::info!("configuration reloaded, discovery at {discovery}");
    if discovery != config.startup.discovery {
        config.startup.discovery = discovery;
        _ = targets.discovery_address.try_send(discovery);
    }
}
