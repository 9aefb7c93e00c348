//! Signals to a running router: to stop, and to read its configuration anew.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::control_connections::ControlConnections;
use crate::runtime_config::{RuntimeConfig, RuntimeConfigError};

/// What takes over a configuration that was read anew.
pub struct ReloadTargets {
    /// Takes the address of discovery.
    pub discovery_address: Sender<SocketAddr>,
    /// Take their peers, control instances and keys.
    pub connections: Rc<ControlConnections>,
}

/// Takes over the handling of the signals: from here on none of them ends the process by itself.
///
/// # Errors
/// The system's.
pub fn install() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Handles signals as long as the process runs, so also while it drains. `stop` is closed when the router is to stop.
pub async fn handle(
    mut signals: Signals,
    mut config: RuntimeConfig,
    reread: impl Fn() -> Result<RuntimeConfig, RuntimeConfigError>,
    targets: ReloadTargets,
    stop: Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&mut config, reread(), &targets),
            Ok(_) => {
                // Later ones change nothing.
                if stop.close() {
                    log::info!("received a shutdown signal, draining");
                }
            }
            Err(error) => log::warn!("failed to receive a signal: {error}"),
        }
    }
}

/// Takes over where discovery is, and where peers and control instances are and by which keys they speak. All else that
/// differs waits for a restart.
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
