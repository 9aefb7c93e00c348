//! UDP relays that drop datagrams. A [`Relay`] stands in front of one router and drops datagrams by their
//! sender. A [`TwoWayRelay`] connects two processes, of which only one is configured with the other's
//! address, and can be blocked.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The part of datagrams to drop, by sender. Datagrams of other senders are not dropped.
type Losses = Arc<Mutex<BTreeMap<SocketAddr, f64>>>;

/// A relay in front of one receiver, with a loss rate for each sender.
pub struct Relay {
    /// Where senders send to in place of the receiver.
    pub address: SocketAddr,
    losses: Losses,
}

impl Relay {
    /// Starts to forward datagrams to `to`. The receiver sees the relay's address as the sender of all of
    /// them, so it must not identify senders by their addresses.
    ///
    /// # Errors
    /// No loopback port can be bound.
    pub fn start(to: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let relay = Self { address: socket.local_addr()?, losses: Losses::default() };
        let losses = Arc::clone(&relay.losses);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        thread::spawn(move || {
            let mut bytes = [0; 2048];
            while let Ok((length, from)) = socket.recv_from(&mut bytes) {
                let loss =
                    losses.lock().unwrap_or_else(PoisonError::into_inner).get(&from).copied().unwrap_or(0.0);
                if loss == 0.0 || !rng.random_bool(loss) {
                    // A send error means that the router is down, so the datagram is lost as well.
                    _ = socket.send_to(&bytes[..length], to);
                }
            }
        });
        Ok(relay)
    }

    /// Drops this part (0 to 1) of the datagrams from a sender from now on.
    pub fn set_loss(&self, from: SocketAddr, rate: f64) {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner).insert(from, rate);
    }

    /// Drops no datagrams from now on.
    pub fn clear_losses(&self) {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

/// A relay between two processes: it forwards datagrams of either one to the other.
pub struct TwoWayRelay {
    /// Where the first process sends to in place of the second.
    pub address: SocketAddr,
    blocked: Arc<AtomicBool>,
}

impl TwoWayRelay {
    /// Starts to forward datagrams between two addresses.
    ///
    /// # Errors
    /// No loopback port can be bound.
    pub fn start(first: SocketAddr, second: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let relay = Self { address: socket.local_addr()?, blocked: Arc::default() };
        let blocked = Arc::clone(&relay.blocked);
        thread::spawn(move || {
            let mut bytes = [0; 2048];
            loop {
                // After a send to a process that is down, the socket returns an error. The datagram is lost,
                // and the relay keeps running.
                let Ok((length, from)) = socket.recv_from(&mut bytes) else { continue };
                let to = if from == first { second } else { first };
                if (from == first || from == second) && !blocked.load(Ordering::SeqCst) {
                    _ = socket.send_to(&bytes[..length], to);
                }
            }
        });
        Ok(relay)
    }

    /// Drops all datagrams in both directions from now on, or forwards all again.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::SeqCst);
    }
}
