//! Simulates a network partition between the two sides of a fleet: datagram relays in front of real
//! processes. Hollow routers need no relay; their host tells them which addresses they can reach
//! ([`crate::scale::observations`]).
//!
//! While the relays are closed they drop, in both directions, every datagram between the two sides, as a cut
//! between two regions does; traffic within a side goes on. TCP is not partitioned: real processes on both
//! sides always reach discovery and all databases, since a database's socket cannot tell which side a process
//! belongs to.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use crate::relay::{Relay, TwoWayRelay};
use crate::scale::hollow::side;
use crate::scale::member::Address;

/// Datagram relays between the two sides of a fleet; they forward everything until they are closed.
pub struct PartitionRelays {
    /// One relay in front of each control instance, by the address where the instance listens for its fleet.
    /// All other members send to the relay.
    fleet: BTreeMap<SocketAddr, Relay>,
    /// One relay for each pair of a real router and a control instance on the other side, by the listen
    /// addresses of both.
    feed: BTreeMap<(SocketAddr, SocketAddr), TwoWayRelay>,
}

impl PartitionRelays {
    /// Creates open relays for these control instances and for the real routers at these addresses.
    ///
    /// # Errors
    /// No free address or thread is available.
    pub fn new(control: &[Address], routers: impl Iterator<Item = SocketAddr>) -> io::Result<Self> {
        let relay = |address: &Address| Ok((address.datagrams, Relay::start(address.datagrams, 0)?));
        let fleet = control.iter().map(relay).collect::<io::Result<_>>()?;
        let mut feed = BTreeMap::new();
        for router in routers {
            for remote in
                control.iter().map(|address| address.feed).filter(|feed| side(*feed) != side(router))
            {
                feed.insert((router, remote), TwoWayRelay::start(router, remote)?);
            }
        }
        Ok(Self { fleet, feed })
    }

    /// The address at which fleet members reach the control instance that listens at `listens`.
    pub fn fleet_address(&self, listens: SocketAddr) -> SocketAddr {
        self.fleet.get(&listens).map_or(listens, |relay| relay.address)
    }

    /// The address at which this router reaches the control instance that serves its feed at `feed`.
    pub fn feed_address(&self, router: SocketAddr, feed: SocketAddr) -> SocketAddr {
        self.feed.get(&(router, feed)).map_or(feed, |passage| passage.address)
    }

    /// Drops all datagrams between the two sides.
    pub fn close(&self) {
        for (to, relay) in &self.fleet {
            for from in self.fleet.keys().filter(|from| side(**from) != side(*to)) {
                relay.set_loss(*from, 1.0);
            }
        }
        self.feed.values().for_each(|passage| passage.set_blocked(true));
    }

    /// Forwards all datagrams again.
    pub fn open(&self) {
        self.fleet.values().for_each(Relay::clear_losses);
        self.feed.values().for_each(|passage| passage.set_blocked(false));
    }
}
