//! The configuration of a publisher and of a subscriber.

use std::net::SocketAddr;

use quillpoint_datagram::keys::Keyring;
use quillpoint_membership::PeerName;
use quillpoint_observation_feed::ControlInstance;
use quillpoint_observation_feed::publisher::PublisherParams;
use quillpoint_observation_feed::subscriber::SubscriberParams;

/// The configuration of a control instance's publisher.
#[derive(Clone, Debug, PartialEq)]
pub struct PublisherConfig {
    /// The control instance's name.
    pub name: PeerName,
    /// The address to bind the socket to.
    pub listen: SocketAddr,
    /// The keys that the feed's datagrams are sealed with.
    pub keys: Keyring,
    /// The publisher's settings.
    pub params: PublisherParams,
    /// Maximum number of datagrams read per second; the others wait in the socket's receive buffer.
    pub max_datagrams_per_second: u64,
}

/// The configuration of a router's subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberConfig {
    /// The router's name.
    pub name: PeerName,
    /// The address to bind the socket to.
    pub listen: SocketAddr,
    /// The keys that the feed's datagrams are sealed with.
    pub keys: Keyring,
    /// The subscriber's settings.
    pub params: SubscriberParams,
    /// The control instances that it may follow.
    pub control_instances: Vec<ControlInstance>,
    /// Maximum number of datagrams read per second; the others wait in the socket's receive buffer.
    pub max_datagrams_per_second: u64,
}
