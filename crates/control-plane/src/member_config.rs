//! The configuration of a fleet member.

use std::net::SocketAddr;

use quillpoint_datagram::keys::Keyring;
use quillpoint_membership::{FleetParams, PeerName};

/// A router's configuration as a member of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberConfig {
    /// Its name, unique in the fleet.
    pub name: PeerName,
    /// The address to bind the socket to.
    pub listen: SocketAddr,
    /// The address at which other members reach it; with port 0, the socket's local address.
    pub advertise: SocketAddr,
    /// The index of its zone.
    pub zone: u16,
    /// Its weight in the assignment of tasks.
    pub weight: u8,
    /// The keys that the fleet's datagrams are sealed with.
    pub keys: Keyring,
    /// Addresses of members that it contacts to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The budgets of the fleet and the timing of its health checks.
    pub fleet_params: FleetParams,
    /// Maximum number of datagrams read per second; the others wait in the socket's receive buffer.
    pub max_datagrams_per_second: u64,
}
