//! Limits the number of file descriptors that a router uses for sockets.
//!
//! Each open socket holds a [`DescriptorPermit`]. Idle connections are registered as evictable, with a
//! closure that closes them; when the limit is reached, the connection that has been idle longest is closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use event_listener::{Event, EventListener};
use futures_lite::FutureExt;

/// How long to wait for an evicted connection to release its permit before evicting another one. A connection
/// that was just reused when it was asked to close does not release it.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The purpose of a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorUse {
    /// A client's connection.
    Client,
    /// The connection of a client over the limit, which is sent an error and closed.
    RejectedClient,
    /// The router's own sockets: listeners and connections to nodes and to discovery.
    Internal,
}

/// The order in which idle connections are closed when the limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// Connections that can be closed without harm: the client has not sent anything yet, or the connection
    /// is being closed anyway.
    First,
    /// Connections that have been used and are idle now.
    Idle,
}

type Close = Box<dyn FnOnce()>;

/// Sorted by eviction priority, then by the order in which the connections became idle.
type EvictionKey = (EvictionPriority, u64);

struct Evictable {
    held_for: DescriptorUse,
    close: Close,
}

/// Counts descriptors against a limit, and closes idle connections when it is reached.
pub struct DescriptorLimiter {
    limit: usize,
    /// Indexed by [`DescriptorUse`].
    used: [Cell<usize>; 3],
    evictable: RefCell<BTreeMap<EvictionKey, Evictable>>,
    next_registration: Cell<u64>,
    released: Event,
}

/// The permission to hold one descriptor, released on drop.
pub struct DescriptorPermit {
    limiter: Rc<DescriptorLimiter>,
    /// The purpose of the descriptor.
    pub held_for: DescriptorUse,
}

/// Keeps a connection registered as evictable until it is dropped.
pub struct EvictableRegistration {
    limiter: Rc<DescriptorLimiter>,
    key: EvictionKey,
}

impl DescriptorLimiter {
    /// Creates a limiter with no descriptors in use.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Default::default(),
            evictable: RefCell::default(),
            next_registration: Cell::new(0),
            released: Event::new(),
        })
    }

    /// Clients may use half of the limit, since each may need a connection to a node as well. Clients over
    /// that quota are accepted and rejected with an error: if they were left in the accept queue, their RPCs
    /// would be neither read nor answered.
    fn quota(&self, held_for: DescriptorUse) -> usize {
        match held_for {
            DescriptorUse::Client => self.limit / 2,
            DescriptorUse::RejectedClient => self.limit / 8,
            DescriptorUse::Internal => self.limit,
        }
    }

    fn is_exhausted(&self) -> bool {
        self.used.iter().map(Cell::get).sum::<usize>() >= self.limit
    }

    fn used(&self, held_for: DescriptorUse) -> &Cell<usize> {
        &self.used[held_for as usize]
    }

    fn try_acquire(self: &Rc<Self>, held_for: DescriptorUse) -> Option<DescriptorPermit> {
        let used = self.used(held_for);
        if self.is_exhausted() || used.get() >= self.quota(held_for) {
            return None;
        }
        used.set(used.get() + 1);
        Some(DescriptorPermit { limiter: Rc::clone(self), held_for })
    }

    /// Closes the connection that has been idle longest among those whose closing allows another descriptor
    /// for this purpose. Returns false if there is none.
    fn evict(&self, held_for: DescriptorUse) -> bool {
        let is_exhausted = self.is_exhausted();
        let mut evictable = self.evictable.borrow_mut();
        let makes_room = |connection: &Evictable| is_exhausted || connection.held_for == held_for;
        let key = evictable.iter().find(|(_, connection)| makes_room(connection)).map(|(key, _)| *key);
        let victim = key.and_then(|key| evictable.remove(&key));
        drop(evictable);
        match victim {
            Some(connection) => {
                (connection.close)();
                true
            }
            None => false,
        }
    }

    /// Waits for a permit for one of the router's own sockets.
    pub async fn acquire(self: &Rc<Self>) -> DescriptorPermit {
        loop {
            let released = self.released.listen();
            if let Some(permit) = self.try_acquire(DescriptorUse::Internal) {
                return permit;
            }
            if self.evict(DescriptorUse::Internal) {
                released_or_retry(released).await;
            } else {
                released.await;
            }
        }
    }

    /// Waits for a permit for a client's connection. If the clients' quota is exhausted, the permit is one
    /// for a client that has to be rejected.
    pub async fn acquire_for_client(self: &Rc<Self>) -> DescriptorPermit {
        loop {
            let released = self.released.listen();
            if let Some(permit) = self.try_acquire(DescriptorUse::Client) {
                return permit;
            }
            if self.evict(DescriptorUse::Client) {
                released_or_retry(released).await;
            } else if let Some(permit) = self.try_acquire(DescriptorUse::RejectedClient) {
                return permit;
            } else {
                _ = self.evict(DescriptorUse::RejectedClient);
                released.await;
            }
        }
    }

    /// Registers an idle connection, which `close` closes when the limit is reached.
    pub fn register_evictable(
        self: &Rc<Self>,
        held_for: DescriptorUse,
        priority: EvictionPriority,
        close: impl FnOnce() + 'static,
    ) -> EvictableRegistration {
        let registration = self.next_registration.get();
        self.next_registration.set(registration + 1);
        let key = (priority, registration);
        self.evictable.borrow_mut().insert(key, Evictable { held_for, close: Box::new(close) });
        EvictableRegistration { limiter: Rc::clone(self), key }
    }
}

async fn released_or_retry(released: EventListener) {
    let retry = async {
        Timer::after(EVICTION_RETRY_INTERVAL).await;
    };
    released.or(retry).await;
}

impl DescriptorPermit {
    /// Whether the client is admitted. A client that was to be rejected is admitted if the quota has room for
    /// it by now.
    pub fn try_admit(&mut self) -> bool {
        let clients = self.limiter.used(DescriptorUse::Client);
        let has_room = clients.get() < self.limiter.quota(DescriptorUse::Client);
        if self.held_for == DescriptorUse::RejectedClient && has_room {
            let rejected = self.limiter.used(DescriptorUse::RejectedClient);
            rejected.set(rejected.get() - 1);
            clients.set(clients.get() + 1);
            self.held_for = DescriptorUse::Client;
        }
        self.held_for != DescriptorUse::RejectedClient
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let used = self.limiter.used(self.held_for);
        used.set(used.get() - 1);
        self.limiter.released.notify(usize::MAX);
    }
}

impl Drop for EvictableRegistration {
    fn drop(&mut self) {
        let connection = self.limiter.evictable.borrow_mut().remove(&self.key);
        // Dropped after the borrow has ended: the closure may own values that use this limiter when they are
        // dropped.
        drop(connection);
    }
}
