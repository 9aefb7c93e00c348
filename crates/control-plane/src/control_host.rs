//! The interface between the control side and the process that it runs in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::TimestampedObservation;
use quillpoint_observation_feed::FeedObservation;

/// The process that the control side runs in: a router, or a process with many hollow routers (routers
/// without clients and statements, used for measurements).
pub trait ControlHost {
    /// The current time: Unix time at the start of the process plus the time elapsed since on a monotonic
    /// clock.
    fn now(&self) -> Duration;
    /// The databases on the endpoint list, with the indices of their zones.
    fn nodes(&self) -> BTreeMap<SocketAddr, u16>;
    /// Handles an observation made by another member of the fleet. It is unverified.
    fn observation_received(&self, observation: TimestampedObservation);
    /// Handles a role, failure or start time of a single database that a control instance has published. It
    /// is unverified.
    fn feed_observation_received(&self, observation: FeedObservation);
    /// Starts an assigned health check. Its end must be reported after this call has returned. Returns false
    /// if a health check of the node is already in progress.
    fn start_health_check(&self, node: SocketAddr) -> bool;
    /// Whether this router has ejected the node. Only its own health checks tell it anything about an ejected
    /// node.
    fn is_ejected(&self, node: SocketAddr) -> bool;
    /// Called after each received digest, which may have made the observations of all databases newer.
    fn digest_received(&self) {}
    /// Whether datagrams can be exchanged with this address. Always true, except in measurements that cut
    /// routers off.
    fn can_reach(&self, _other: SocketAddr) -> bool {
        true
    }
}
