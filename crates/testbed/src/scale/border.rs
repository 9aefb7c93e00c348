//! The border between the two halves of a fleet, where real processes are cut from each other: relays of datagrams. A
//! hollow router needs none: it is told what it reaches ([`crate::scale::observations`]).
//!
//! A closed border is what a cut between two regions is to datagrams: they are lost without a word, both ways, and
//! the half within goes on. What it is not: whoever is a process here reaches discovery and all databases over TCP all the
//! time, as nothing at a database's socket tells the processes of one half from those of the other.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use crate::relay::{Relay, TwoWayRelay};
use crate::scale::hollow::side;
use crate::scale::member::Address;

pub struct Border {
    /// Before each control instance, by where it listens for the others of its fleet, all of which send to its relay.
    fleet: BTreeMap<SocketAddr, Relay>,
    /// Between a real router and a control instance of the other half, by where both listen.
    feed: BTreeMap<(SocketAddr, SocketAddr), TwoWayRelay>,
}

impl Border {
    /// Open, between these control instances and the real routers at these addresses.
    ///
    /// # Errors
    /// There are no more addresses or threads to be had.
    pub fn new(control: &[Address], routers: impl Iterator<Item = SocketAddr>) -> io::Result<Self> {
        let relay = |address: &Address| Ok((address.datagrams, Relay::start(address.datagrams, 0)?));
        let fleet = control.iter().map(relay).collect::<io::Result<_>>()?;
        let mut feed = BTreeMap::new();
        for router in routers {
            for far in control.iter().map(|address| address.feed).filter(|feed| side(*feed) != side(router)) {
                feed.insert((router, far), TwoWayRelay::start(router, far)?);
            }
        }
        Ok(Self { fleet, feed })
    }

    /// Where the fleet reaches the control instance that listens there.
    pub fn of_fleet(&self, listens: SocketAddr) -> SocketAddr {
        self.fleet.get(&listens).map_or(listens, |relay| relay.address)
    }

    /// Where this router reaches the control instance whose feed is there.
    pub fn of_feed(&self, router: SocketAddr, feed: SocketAddr) -> SocketAddr {
        self.feed.get(&(router, feed)).map_or(feed, |passage| passage.address)
    }

    /// Each half reaches none but its own.
    pub fn close(&self) {
        for (to, relay) in &self.fleet {
            for from in self.fleet.keys().filter(|from| side(**from) != side(*to)) {
                relay.set_loss(*from, 1.0);
            }
        }
        self.feed.values().for_each(|passage| passage.set_blocked(true));
    }

    pub fn open(&self) {
        self.fleet.values().for_each(Relay::clear_losses);
        self.feed.values().for_each(|passage| passage.set_blocked(false));
    }
}
