//! Relays of datagrams: one before a router, which loses what comes from some, or a part of all; and a passage between
//! two processes of which only one is told the other's place, which may be closed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The loss of what comes from an address; of any other, nothing is lost.
type Losses = Arc<Mutex<BTreeMap<SocketAddr, f64>>>;

pub struct Relay {
    /// Where the others send to.
    pub address: SocketAddr,
    losses: Losses,
}

impl Relay {
    /// Passes datagrams on to `to`, whose senders must not be told by their addresses.
    pub fn start(to: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let relay = Self { address: socket.local_addr()?, losses: Losses::default() };
        let losses = Arc::clone(&relay.losses);
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        thread::spawn(move || {
            let mut bytes = [0; 2048];
            while let Ok((length, from)) = socket.recv_from(&mut bytes) {
                let loss =
                    losses.lock().unwrap_or_else(PoisonError::into_inner).get(&from).copied().unwrap_or(0.0);
                if loss == 0.0 || !chance.random_bool(loss) {
                    // A router that is down refuses it, which is loss as well.
                    _ = socket.send_to(&bytes[..length], to);
                }
            }
        });
        Ok(relay)
    }

    /// From now on this part of what comes from there is lost.
    pub fn set_loss(&self, from: SocketAddr, part: f64) {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner).insert(from, part);
    }

    pub fn clear_losses(&self) {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

/// What the one sends here goes to the other, and what the other answers goes to the one.
pub struct TwoWayRelay {
    /// Where the one sends to, in the other's place.
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
}

impl TwoWayRelay {
    /// # Errors
    /// There is no address to be had.
    pub fn start(one: SocketAddr, other: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let passage = Self { address: socket.local_addr()?, closed: Arc::default() };
        let closed = Arc::clone(&passage.closed);
        thread::spawn(move || {
            let mut bytes = [0; 2048];
            loop {
                // One that is down refuses what is sent to it, of which the socket tells: that is loss, and no end.
                let Ok((length, from)) = socket.recv_from(&mut bytes) else { continue };
                let to = if from == one { other } else { one };
                if (from == one || from == other) && !closed.load(Ordering::SeqCst) {
                    _ = socket.send_to(&bytes[..length], to);
                }
            }
        });
        Ok(passage)
    }

    /// From now on all that comes is lost, either way; or nothing any more.
    pub fn set_blocked(&self, closed: bool) {
        self.closed.store(closed, Ordering::SeqCst);
    }
}
