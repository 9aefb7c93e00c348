//! The one count of the sockets that a router holds, against its limit.
//!
//! Each socket is opened with a [`Slot`] and keeps it as long as it is open. A connection that stands idle is
//! parked here with a way to close it; when sockets are short, the one that has been idle longest goes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;

/// A connection that was asked to close may just have been put to use again: it is looked again after this.
const LOOK: Duration = Duration::from_millis(5);

/// What a socket is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Client,
    /// A client that there is no room for: it is told so and closed.
    TurnedAway,
    Inner,
}

/// Which idle connections go first when sockets are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// A client's that has not said anything yet, or is being closed.
    Unopened,
    Idle,
}

type Close = Box<dyn FnOnce()>;

pub struct Descriptors {
    limit: usize,
    used: [Cell<usize>; 3],
    /// Idle connections by their rank and the order in which they became idle.
    parked: RefCell<BTreeMap<(Rank, u64), (Side, Close)>>,
    next: Cell<u64>,
    freed: Event,
}

/// The right to hold one socket.
pub struct Slot {
    descriptors: Rc<Descriptors>,
    pub side: Side,
}

/// A connection's place among the idle ones, until it is dropped.
pub struct Parked(Rc<Descriptors>, (Rank, u64));

impl Descriptors {
    pub fn new(limit: usize) -> Rc<Self> {
        let (used, next) = (Default::default(), Cell::new(0));
        Rc::new(Self { limit, used, parked: RefCell::default(), next, freed: Event::new() })
    }

    /// Half is for clients, since each may need a connection to a node too. Those beyond are not left waiting
    /// unread, where their RPCs would be lost, but turned away.
    fn share(&self, side: Side) -> usize {
        match side {
            Side::Client => self.limit / 2,
            Side::TurnedAway => self.limit / 8,
            Side::Inner => self.limit,
        }
    }

    fn is_full(&self) -> bool {
        self.used.iter().map(Cell::get).sum::<usize>() >= self.limit
    }

    fn try_take(self: &Rc<Self>, side: Side) -> Option<Slot> {
        let used = &self.used[side as usize];
        if self.is_full() || used.get() >= self.share(side) {
            return None;
        }
        used.set(used.get() + 1);
        Some(Slot { descriptors: Rc::clone(self), side })
    }

    /// Closes the longest idle connection that would make room, if there is one.
    fn evict(&self, side: Side) -> bool {
        let full = self.is_full();
        let mut parked = self.parked.borrow_mut();
        let place = parked.iter().find(|(_, (whose, _))| full || *whose == side).map(|(place, _)| *place);
        let oldest = place.and_then(|place| parked.remove(&place));
        drop(parked);
        oldest.map(|(_, close)| close()).is_some()
    }

    /// Waits until a socket may be opened to a node, or to discovery.
    pub async fn take(self: &Rc<Self>) -> Slot {
        loop {
            let freed = self.freed.listen();
            if let Some(slot) = self.try_take(Side::Inner) {
                return slot;
            }
            match self.evict(Side::Inner) {
                true => look_again(freed).await,
                false => freed.await,
            }
        }
    }

    /// The same for a client's connection, which may have to be turned away.
    pub async fn take_for_client(self: &Rc<Self>) -> Slot {
        loop {
            let freed = self.freed.listen();
            if let Some(slot) = self.try_take(Side::Client) {
                return slot;
            }
            if self.evict(Side::Client) {
                look_again(freed).await;
            } else if let Some(slot) = self.try_take(Side::TurnedAway) {
                return slot;
            } else {
                _ = self.evict(Side::TurnedAway);
                freed.await;
            }
        }
    }

    pub fn park(self: &Rc<Self>, side: Side, rank: Rank, close: impl FnOnce() + 'static) -> Parked {
        let place = (rank, self.next.get());
        self.next.set(place.1 + 1);
        self.parked.borrow_mut().insert(place, (side, Box::new(close)));
        Parked(Rc::clone(self), place)
    }
}

async fn look_again(freed: event_listener::EventListener) {
    let look = async {
        Timer::after(LOOK).await;
    };
    freed.or(look).await;
}

impl Slot {
    /// Whether there is room for this client, be it only by now.
    pub fn is_let_in(&mut self) -> bool {
        let (from, to) =
            (&self.descriptors.used[self.side as usize], &self.descriptors.used[Side::Client as usize]);
        if self.side == Side::TurnedAway && to.get() < self.descriptors.share(Side::Client) {
            from.set(from.get() - 1);
            to.set(to.get() + 1);
            self.side = Side::Client;
        }
        self.side != Side::TurnedAway
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let used = &self.descriptors.used[self.side as usize];
        used.set(used.get() - 1);
        self.descriptors.freed.notify(usize::MAX);
    }
}

impl Drop for Parked {
    fn drop(&mut self) {
        let close = self.0.parked.borrow_mut().remove(&self.1);
        drop(close);
    }
}
