//! The configuration of a fleet member.

use std::net::SocketAddr;

use quillpoint_datagram::keys::Keyring;
use quillpoint_membership::{FleetParams, PeerName};

/// A router's configuration as a member of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberConfig {
    /// Its name, which no other member has.
    pub name: PeerName,
    /// Where its socket is bound.
    pub listen: SocketAddr,
    /// Where others reach it; port 0 stands for the one that the system chooses.
    pub advertise: SocketAddr,
    /// The index of its zone.
    pub zone: u16,
    /// Its weight in the assignment of tasks.
    pub weight: u8,
    /// The keys that its datagrams are sealed with.
    pub keys: Keyring,
    /// Members that it joins by.
    pub seeds: Vec<SocketAddr>,
    /// The budgets of the fleet and the timing of its health checks.
    pub fleet_params: FleetParams,
    /// The most datagrams that are read a second; the others wait in the socket.
    pub max_datagrams_per_second: u64,
}
