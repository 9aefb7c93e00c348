//! What the control side needs of the process around it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::TimestampedObservation;
use quillpoint_observation_feed::FeedObservation;

/// The process around the control side: a router's engine or a hollow router.
pub trait ControlHost {
    /// Unix time at the start, plus what a monotonic clock has counted since.
    fn now(&self) -> Duration;
    /// The databases on the endpoint list, with the indices of their zones.
    fn nodes(&self) -> BTreeMap<SocketAddr, u16>;
    /// Takes what another member of the fleet has observed; unverified.
    fn observation_received(&self, observation: TimestampedObservation);
    /// Takes what a control instance has published by name; unverified.
    fn feed_observation_received(&self, observation: FeedObservation);
    /// Starts an assigned health check, whose end is reported after this call. False if one is under way already.
    fn start_health_check(&self, node: SocketAddr) -> bool;
    /// Whether the node is ejected here, so that only an own health check tells this router anything of it.
    fn is_ejected(&self, node: SocketAddr) -> bool;
    /// A digest has been received: what is known of all databases may be newer.
    fn digest_received(&self) {}
    /// Whether datagrams pass to and from this address. They always do, except where a measurement cuts routers off.
    fn can_reach(&self, _other: SocketAddr) -> bool {
        true
    }
}
