//! The one count of the descriptors that a router holds for sockets, against its limit.
//!
//! Each socket is opened with a [`DescriptorPermit`] and keeps it as long as it is open. An idle connection is registered
//! as evictable with a way to close it; when descriptors are short, the one that has been idle longest is closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use event_listener::{Event, EventListener};
use futures_lite::FutureExt;

/// A connection that was asked to close may just have been put to use again: its permit is waited for no longer.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// What a descriptor is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorUse {
    /// A client's connection.
    Client,
    /// The connection of a client that there is no room for: it gets an error and is closed.
    RejectedClient,
    /// The router's own: connections to nodes and to discovery, listeners.
    Internal,
}

/// Which idle connections are closed first when descriptors are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// One that nothing depends on: its client has not said anything yet, or it is being closed.
    First,
    /// One that has been used and is idle.
    Idle,
}

type Close = Box<dyn FnOnce()>;

/// By eviction priority, and by the order in which connections became idle.
type EvictionKey = (EvictionPriority, u64);

struct Evictable {
    held_for: DescriptorUse,
    close: Close,
}

/// Counts descriptors, and makes room by closing idle connections.
pub struct DescriptorLimiter {
    limit: usize,
    /// By [`DescriptorUse`].
    used: [Cell<usize>; 3],
    evictable: RefCell<BTreeMap<EvictionKey, Evictable>>,
    next_registration: Cell<u64>,
    released: Event,
}

/// The right to hold one descriptor, given back when it is dropped.
pub struct DescriptorPermit {
    limiter: Rc<DescriptorLimiter>,
    /// What it is held for.
    pub held_for: DescriptorUse,
}

/// A connection's registration as evictable, until it is dropped.
pub struct EvictableRegistration {
    limiter: Rc<DescriptorLimiter>,
    key: EvictionKey,
}

impl DescriptorLimiter {
    /// A limiter of this many descriptors, none of which is held.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Default::default(),
            evictable: RefCell::default(),
            next_registration: Cell::new(0),
            released: Event::new(),
        })
    }

    /// Half is for clients, since each may need a connection to a node too. Those beyond are not left waiting
    /// unread, where their RPCs would be lost, but rejected.
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

    /// Closes the longest idle connection that would make room. False if there is none.
    fn evict(&self, held_for: DescriptorUse) -> bool {
        let is_exhausted = self.is_exhausted();
        let mut evictable = self.evictable.borrow_mut();
        let makes_room = |connection: &Evictable| is_exhausted || connection.held_for == held_for;
        let key = evictable.iter().find(|(_, connection)| makes_room(connection)).map(|(key, _)| *key);
        let oldest = key.and_then(|key| evictable.remove(&key));
        drop(evictable);
        match oldest {
            Some(connection) => {
                (connection.close)();
                true
            }
            None => false,
        }
    }

    /// Waits until a descriptor may be held for the router's own use.
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

    /// Waits until a descriptor may be held for a client, which may have to be rejected.
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

    /// Registers an idle connection, which `close` closes when descriptors are short.
    pub fn register_evictable(
        self: &Rc<Self>,
        held_for: DescriptorUse,
        priority: EvictionPriority,
        close: impl FnOnce() + 'static,
    ) -> EvictableRegistration {
        let number = self.next_registration.get();
        self.next_registration.set(number + 1);
        let key = (priority, number);
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
    /// Whether its client is admitted; one that was to be rejected is, if there is room for it by now.
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
        // Behind the borrow: dropping the closure may drop what it owns.
        drop(connection);
    }
}
