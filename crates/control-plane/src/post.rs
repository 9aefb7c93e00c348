//! What is said on a socket: sealed when it goes, opened when it comes, counted and refused by kind.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_datagram::keys::Keyring;
use quillpoint_datagram::{MAX_DATAGRAM_BYTES, OpenError, Opener, Payload, Sealer};
use quillpoint_membership::Incarnation;

use crate::log_rate_limiter::LogRateLimiter;
use crate::wire::{Arrival, Traffic, Wire};

/// What has passed since the start.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    pub traffic: Traffic,
    /// Datagrams that were taken, and how many were not, by kind.
    pub taken: u64,
    pub refused: BTreeMap<OpenError, u64>,
}

/// What the events of a socket are called.
pub struct Names {
    pub refused: &'static str,
    pub unsent: &'static str,
    pub keys: &'static str,
}

pub struct Post<P> {
    wire: Wire,
    keys: RefCell<Keyring>,
    sealer: RefCell<Sealer>,
    opener: RefCell<Opener<P>>,
    passed: RefCell<Passed>,
    names: Names,
    told_refused: LogRateLimiter,
    told_unsent: LogRateLimiter,
}

impl<P: Payload> Post<P> {
    pub fn new(wire: Wire, keys: Keyring, opener: Opener<P>, names: Names) -> Self {
        Self {
            wire,
            keys: RefCell::new(keys),
            sealer: RefCell::default(),
            opener: RefCell::new(opener),
            passed: RefCell::default(),
            names,
            told_refused: LogRateLimiter::default(),
            told_unsent: LogRateLimiter::default(),
        }
    }

    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    pub fn traffic(&self) -> Traffic {
        self.wire.traffic()
    }

    pub fn passed(&self) -> Passed {
        Passed { traffic: self.wire.traffic(), ..self.passed.borrow().clone() }
    }

    /// A datagram that cannot be sent at once is lost: all that is said is said again.
    pub fn send(&self, to: SocketAddr, session: Option<Incarnation>, payload: &P) {
        let sealed = self.sealer.borrow_mut().seal(&self.keys.borrow(), session, payload);
        let sent = match &sealed {
            Ok(bytes) => self.wire.send(bytes, to).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match sent {
            Err(error) if self.told_unsent.is_due() => {
                log::warn!(event = self.names.unsent, to:% = to, error; "a datagram could not be sent");
            }
            _ => {}
        }
    }

    /// Takes what comes as long as the process runs, with how long it has waited in the socket. `own` is the start of
    /// this process by now.
    pub async fn listen(&self, own: impl Fn() -> Incarnation, take: impl Fn(SocketAddr, Duration, P)) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Arrival { length, from, waited } = self.wire.read(&mut bytes).await;
            if let Some(payload) = self.opened(own(), &bytes[..length]) {
                take(from, waited, payload);
            }
        }
    }

    fn opened(&self, own: Incarnation, bytes: &[u8]) -> Option<P> {
        let opened = self.opener.borrow_mut().open(&self.keys.borrow(), own, bytes);
        let mut passed = self.passed.borrow_mut();
        match opened {
            Ok(payload) => {
                passed.taken += 1;
                Some(payload)
            }
            Err(refusal) => {
                *passed.refused.entry(refusal).or_default() += 1;
                if self.told_refused.is_due() {
                    let kind = format!("{refusal:?}");
                    log::warn!(event = self.names.refused, kind; "a datagram was not taken: {refusal}");
                }
                None
            }
        }
    }

    /// From now on it speaks by these.
    pub fn keys_changed(&self, keys: &Keyring) {
        if *self.keys.borrow() != *keys {
            *self.keys.borrow_mut() = keys.clone();
            let ids: Vec<String> = keys.ids().map(|id| id.to_string()).collect();
            log::info!(event = self.names.keys, keys = ids.join(","); "keys taken over");
        }
    }
}
