//! Converts observations between the types of the decision module, the fleet and the feed. The decision
//! module treats every observation made by another process as unverified.

use std::time::Duration;

use quillpoint::host::{NodeId, PeerObservation};
use quillpoint_membership::{Observation, TimestampedObservation};
use quillpoint_observation_feed::FeedObservation;

use crate::engine::LocalObservation;

/// Converts an observation from the feed for the decision module.
pub(crate) fn from_feed(observation: FeedObservation) -> PeerObservation {
    let FeedObservation { node, seen_at, position, primary, started, failed } = observation;
    PeerObservation { node: NodeId(node), at: seen_at, position, primary, queued: None, started, failed }
}

/// Converts an observation from another fleet member for the decision module.
pub(crate) fn from_fleet(observation: TimestampedObservation) -> PeerObservation {
    let TimestampedObservation { node, at, position, primary, waiting, started, failed } = observation;
    let queued = waiting.map(f64::from);
    PeerObservation { node: NodeId(node), at, position, primary, queued, started, failed }
}

/// Converts an observation made by this router for its fleet.
pub(crate) fn to_fleet(observation: &LocalObservation) -> Observation {
    let LocalObservation { node: NodeId(node), failed, position, primary, queued, started, .. } =
        *observation;
    let waiting = queued.map(|queued| queued.clamp(0.0, f64::from(u32::MAX)) as u32);
    Observation { node, age: Duration::ZERO, position, primary, waiting, started, failed }
}
