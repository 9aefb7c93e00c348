//! Seals the datagrams that are sent on a socket, opens those that arrive, and counts accepted and rejected
//! ones.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_datagram::keys::Keyring;
use quillpoint_datagram::{MAX_DATAGRAM_BYTES, OpenError, Opener, Payload, Sealer};
use quillpoint_membership::Incarnation;

use crate::datagram_socket::{DatagramSocket, ReceivedDatagram, Traffic};
use crate::log_rate_limiter::LogRateLimiter;

/// Interval at which the counts are logged.
pub(crate) const COUNTS_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Counts since the start.
#[derive(Clone, Debug, Default)]
pub struct TransportCounts {
    /// Datagrams sent and read.
    pub traffic: Traffic,
    /// Datagrams that were accepted.
    pub accepted: u64,
    /// Datagrams that were rejected, by kind.
    pub rejected: BTreeMap<OpenError, u64>,
}

impl TransportCounts {
    /// The counts of rejected datagrams as text for the log: `kind:count`, separated by commas.
    pub fn rejected_by_kind(&self) -> String {
        let kinds: Vec<String> =
            self.rejected.iter().map(|(kind, count)| format!("{kind:?}:{count}")).collect();
        kinds.join(",")
    }
}

/// The names under which a transport's events are logged.
pub struct TransportEventNames {
    /// A datagram was rejected.
    pub rejected: &'static str,
    /// A datagram could not be sent.
    pub send_failed: &'static str,
    /// The keys have changed.
    pub keys_changed: &'static str,
}

/// Sends and receives payloads as sealed datagrams on a socket.
pub struct SealedTransport<P> {
    socket: DatagramSocket,
    keys: RefCell<Keyring>,
    sealer: RefCell<Sealer>,
    opener: RefCell<Opener<P>>,
    counts: RefCell<TransportCounts>,
    event_names: TransportEventNames,
    rejected_limiter: LogRateLimiter,
    send_failed_limiter: LogRateLimiter,
}

impl<P: Payload> SealedTransport<P> {
    /// Creates a transport on this socket.
    pub fn new(
        socket: DatagramSocket,
        keys: Keyring,
        opener: Opener<P>,
        event_names: TransportEventNames,
    ) -> Self {
        Self {
            socket,
            keys: RefCell::new(keys),
            sealer: RefCell::default(),
            opener: RefCell::new(opener),
            counts: RefCell::default(),
            event_names,
            rejected_limiter: LogRateLimiter::default(),
            send_failed_limiter: LogRateLimiter::default(),
        }
    }

    /// The underlying socket.
    pub fn socket(&self) -> &DatagramSocket {
        &self.socket
    }

    /// Datagrams sent and read since the start.
    pub fn traffic(&self) -> Traffic {
        self.socket.traffic()
    }

    /// The counts since the start.
    pub fn counts(&self) -> TransportCounts {
        TransportCounts { traffic: self.socket.traffic(), ..self.counts.borrow().clone() }
    }

    /// Sends a payload. `receiver` is the receiver's incarnation, if known. A payload that cannot be sent
    /// immediately is dropped; this is safe because every message is repeated.
    pub fn send(&self, to: SocketAddr, receiver: Option<Incarnation>, payload: &P) {
        let sealed = self.sealer.borrow_mut().seal(&self.keys.borrow(), receiver, payload);
        let sent = match &sealed {
            Ok(bytes) => self.socket.send(bytes, to).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(error) = sent
            && self.send_failed_limiter.try_acquire()
        {
            let event = self.event_names.send_failed;
            log::warn!(event = event, to:% = to, error; "failed to send a datagram to {to}");
        }
    }

    /// Receives payloads until the process exits. Calls `handle` for each with the sender's address and how
    /// long the datagram waited in the socket's receive buffer. `own_incarnation` is called for each
    /// datagram.
    pub async fn receive(
        &self,
        own_incarnation: impl Fn() -> Incarnation,
        handle: impl Fn(SocketAddr, Duration, P),
    ) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let ReceivedDatagram { length, from, socket_delay } = self.socket.read(&mut bytes).await;
            if let Some(payload) = self.open(own_incarnation(), &bytes[..length]) {
                handle(from, socket_delay, payload);
            }
        }
    }

    fn open(&self, own_incarnation: Incarnation, bytes: &[u8]) -> Option<P> {
        let opened = self.opener.borrow_mut().open(&self.keys.borrow(), own_incarnation, bytes);
        let mut counts = self.counts.borrow_mut();
        match opened {
            Ok(payload) => {
                counts.accepted += 1;
                Some(payload)
            }
            Err(error) => {
                *counts.rejected.entry(error).or_default() += 1;
                if self.rejected_limiter.try_acquire() {
                    let kind = format!("{error:?}");
                    let event = self.event_names.rejected;
                    log::warn!(event = event, kind; "rejected a datagram: {error}");
                }
                None
            }
        }
    }

    /// Uses these keys from now on to seal and open datagrams.
    pub fn keys_changed(&self, keys: &Keyring) {
        if *self.keys.borrow() != *keys {
            *self.keys.borrow_mut() = keys.clone();
            let ids: Vec<String> = keys.ids().map(|id| id.to_string()).collect();
            let event = self.event_names.keys_changed;
            log::info!(event = event, keys = ids.join(","); "now using a changed set of keys");
        }
    }
}
