//! What a control side needs of the process that it stands in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A router's engine, or a hollow router's books.
pub trait ControlHost {
    /// Unix time at the start, plus what a monotonic clock has counted since.
    fn now(&self) -> Duration;
    /// The databases on the list, with the places of their zones.
    fn nodes(&self) -> BTreeMap<SocketAddr, u16>;
    /// What another router has found out: hearsay.
    fn observation_received(&self, evidence: quillpoint_membership::DatedObservation);
    /// What a control instance tells by name: hearsay.
    fn learnt(&self, word: quillpoint_observation_feed::FeedObservation);
    /// A probe in turn, whose end is told by `found`, once this call is over. False if one is out there already.
    fn probe(&self, node: SocketAddr) -> bool;
    /// Whether only an own probe tells this router anything of the node.
    fn is_shut(&self, node: SocketAddr) -> bool;
    /// A digest has come: what is known of all databases may be newer.
    fn refreshed(&self) {}
    /// Whether datagrams pass to and from there. They always do, but where a measurement cuts routers off.
    fn reaches(&self, _other: SocketAddr) -> bool {
        true
    }
}
