//! Observations in the forms of the decisions, the fleet and the feed. Whoever made them, they are unverified to the
//! decisions.

use std::time::Duration;

use quillpoint::host::{NodeId, PeerObservation};
use quillpoint_membership::{Observation, TimestampedObservation};
use quillpoint_observation_feed::FeedObservation;

use crate::engine::LocalObservation;

/// An observation from the feed, for the decisions.
pub(crate) fn from_feed(observation: FeedObservation) -> PeerObservation {
    let FeedObservation { node, seen_at, position, primary, started, failed } = observation;
    PeerObservation { node: NodeId(node), at: seen_at, position, primary, queued: None, started, failed }
}

/// An observation of another member of the fleet, for the decisions.
pub(crate) fn from_fleet(observation: TimestampedObservation) -> PeerObservation {
    let TimestampedObservation { node, at, position, primary, waiting, started, failed } = observation;
    let queued = waiting.map(f64::from);
    PeerObservation { node: NodeId(node), at, position, primary, queued, started, failed }
}

/// What this router has found out, for its fleet.
pub(crate) fn to_fleet(observation: &LocalObservation) -> Observation {
    let LocalObservation { node: NodeId(node), failed, position, primary, queued, started, .. } =
        *observation;
    let waiting = queued.map(|queued| queued.clamp(0.0, f64::from(u32::MAX)) as u32);
    Observation { node, age: Duration::ZERO, position, primary, waiting, started, failed }
}
