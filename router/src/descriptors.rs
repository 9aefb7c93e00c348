//! The one count of the sockets that a router holds, against its limit.
//!
//! Each socket is opened with a [`Slot`] and keeps it as long as it is open. A connection that stands idle is
//! parked here with a way to close it; when sockets are short, the one that has been idle longest goes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::Event;

type Close = Box<dyn FnOnce()>;

pub struct Descriptors {
    limit: usize,
    used: Cell<usize>,
    /// Idle connections by the order in which they became idle.
    parked: RefCell<BTreeMap<u64, Close>>,
    next: Cell<u64>,
    freed: Event,
}

/// The right to hold one socket.
pub struct Slot(Rc<Descriptors>);

/// A connection's place among the idle ones, until it is dropped.
pub struct Parked(Rc<Descriptors>, u64);

impl Descriptors {
    pub fn new(limit: usize) -> Rc<Self> {
        let (used, next) = (Cell::new(0), Cell::new(0));
        Rc::new(Self { limit, used, parked: RefCell::default(), next, freed: Event::new() })
    }

    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Waits until a socket may be opened.
    pub async fn take(self: &Rc<Self>) -> Slot {
        self.take_below(self.limit).await
    }

    /// The same for a client's connection. Clients leave a quarter to nodes and discovery, without which they
    /// could not be answered.
    pub async fn take_for_client(self: &Rc<Self>) -> Slot {
        self.take_below(self.limit - self.limit / 4).await
    }

    async fn take_below(self: &Rc<Self>, limit: usize) -> Slot {
        loop {
            let freed = self.freed.listen();
            if self.used.get() < limit {
                self.used.set(self.used.get() + 1);
                return Slot(Rc::clone(self));
            }
            // Closing may free a slot at once, or when its owner next runs.
            let oldest = self.parked.borrow_mut().pop_first();
            match oldest {
                Some((_, close)) => close(),
                None => log::debug!("{limit} sockets are open and none is idle"),
            }
            if self.used.get() >= limit {
                freed.await;
            }
        }
    }

    pub fn park(self: &Rc<Self>, close: impl FnOnce() + 'static) -> Parked {
        let place = self.next.get();
        self.next.set(place + 1);
        self.parked.borrow_mut().insert(place, Box::new(close));
        Parked(Rc::clone(self), place)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
        self.0.freed.notify(1);
    }
}

impl Drop for Parked {
    fn drop(&mut self) {
        let close = self.0.parked.borrow_mut().remove(&self.1);
        drop(close);
    }
}
