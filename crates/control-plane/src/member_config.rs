//! A router's part in its fleet: addresses, keys, plans.

use std::net::SocketAddr;

use quillpoint_datagram::keys::Keyring;
use quillpoint_membership::{FleetParams, PeerName};

#[derive(Clone, Debug, PartialEq)]
pub struct MemberConfig {
    pub name: PeerName,
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    pub zone: u16,
    pub weight: u8,
    pub keys: Keyring,
    pub seeds: Vec<SocketAddr>,
    pub plans: FleetParams,
    /// Datagrams looked at a second.
    pub letters: u64,
}
