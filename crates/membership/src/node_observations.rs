//! The observations of one node, and whether an observation by a peer is accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::host::TimestampedObservation;
use crate::ids::PeerName;
use crate::message::Observation;
use crate::observation_store::{Assessment, MAX_OBSERVATION_AGE};

/// Failures to reach a node that are older than this do not count any more.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// How many routers must have failed to reach a node independently before the failure is accepted.
const MIN_FAILED_ROUTERS: usize = 2;
/// Tolerance in the comparison of log positions: some reporters round them to the millisecond, others do not.
const POSITION_ROUNDING_TOLERANCE: Duration = Duration::from_millis(2);

/// An observation with its time on this router's clock, which replaces the age in `observation`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StoredObservation {
    pub(crate) at: Duration,
    pub(crate) observation: Observation,
}

impl StoredObservation {
    /// The observation with its current age, or `None` if it is too old.
    pub(crate) fn aged(&self, now: Duration) -> Option<Observation> {
        let age = now.saturating_sub(self.at);
        (age <= MAX_OBSERVATION_AGE).then(|| Observation { age, ..self.observation.clone() })
    }

    /// The observation as passed to the host. A log position or start time ahead of this router's clock is
    /// invalid and is dropped.
    pub(crate) fn timestamped(&self, now: Duration) -> TimestampedObservation {
        let &Observation { node, position, primary, waiting, started, .. } = &self.observation;
        let is_past = |time: &Duration| *time <= now;
        TimestampedObservation {
            node,
            at: self.at,
            position: position.filter(is_past),
            primary,
            waiting,
            started: started.filter(is_past),
            failed: false,
        }
    }
}

/// A log position that a peer has reported.
struct ReportedPosition {
    peer: PeerName,
    position: Duration,
    /// Upper bound of the time at which the peer observed it.
    observed_at: Duration,
}

/// What this router knows about a node.
#[derive(Default)]
pub(crate) struct NodeObservations {
    /// This router's latest own observation.
    own: Option<StoredObservation>,
    /// The latest observation by a peer that was not a failure.
    from_peers: Option<StoredObservation>,
    /// The highest log position that a peer has reported.
    highest_reported: Option<ReportedPosition>,
    /// When each router, including this one, last failed to reach the node; older failures are removed.
    failures: BTreeMap<PeerName, Duration>,
}

impl NodeObservations {
    pub(crate) fn own(&self) -> Option<&StoredObservation> {
        self.own.as_ref()
    }

    pub(crate) fn latest_from_peers(&self) -> Option<&StoredObservation> {
        self.from_peers.as_ref()
    }

    /// The latest observation by any router that was not a failure.
    pub(crate) fn latest_success(&self) -> Option<&StoredObservation> {
        let successes = self.own.iter().chain(&self.from_peers).filter(|stored| !stored.observation.failed);
        successes.max_by_key(|stored| stored.at)
    }

    pub(crate) fn failure_count(&self) -> usize {
        self.failures.len()
    }

    /// Records this router's own observation, made by a request sent at `sent_at`. Returns the peer whose
    /// report the node's response contradicts, if any.
    pub(crate) fn record_own(
        &mut self,
        now: Duration,
        sent_at: Duration,
        own_name: &PeerName,
        observation: Observation,
    ) -> Option<PeerName> {
        if observation.failed {
            self.failures.insert(own_name.clone(), now);
        } else {
            self.failures.clear();
        }
        let position = observation.position;
        self.own = Some(StoredObservation { at: now, observation });
        let reported =
            self.highest_reported.take_if(|reported| reported.is_contradicted(sent_at, position))?;
        // The peer's observation is wrong, so it must not be returned as the latest observation any more.
        self.from_peers = None;
        Some(reported.peer)
    }

    /// Records an observation by a peer.
    pub(crate) fn record_from_peer(
        &mut self,
        now: Duration,
        peer: &PeerName,
        stored: StoredObservation,
    ) -> Assessment {
        if stored.observation.failed {
            return self.record_peer_failure(now, peer, &stored);
        }
        let timestamped = stored.timestamped(now);
        if let Some(position) = timestamped.position {
            self.record_reported_position(peer, position, stored.at);
        }
        self.failures.retain(|_, failed_at| *failed_at > stored.at);
        if self.from_peers.as_ref().is_none_or(|latest| latest.at <= stored.at) {
            self.from_peers = Some(stored);
        }
        Assessment::Accepted(timestamped)
    }

    fn record_peer_failure(
        &mut self,
        now: Duration,
        peer: &PeerName,
        failure: &StoredObservation,
    ) -> Assessment {
        if self.latest_success().is_some_and(|success| success.at > failure.at) {
            return Assessment::Rejected;
        }
        self.failures.insert(peer.clone(), failure.at);
        self.failures.retain(|_, failed_at| *failed_at + FAILURE_WINDOW >= now);
        if self.failures.len() < MIN_FAILED_ROUTERS {
            return Assessment::Unconfirmed;
        }
        Assessment::Accepted(TimestampedObservation { failed: true, ..failure.timestamped(now) })
    }

    fn record_reported_position(&mut self, peer: &PeerName, position: Duration, observed_at: Duration) {
        match &mut self.highest_reported {
            Some(reported) if reported.position >= position => {}
            // Usually the same peer reports the next position as well: avoids cloning its name for each
            // observation.
            Some(reported) if reported.peer == *peer => {
                reported.position = position;
                reported.observed_at = observed_at;
            }
            reported => *reported = Some(ReportedPosition { peer: peer.clone(), position, observed_at }),
        }
    }
}

impl ReportedPosition {
    /// Whether the node's response to a request sent at `sent_at` shows that the reported position was wrong:
    /// log positions never decrease. A position observed after the request was sent can be ahead of a slow
    /// response.
    fn is_contradicted(&self, sent_at: Duration, own_position: Option<Duration>) -> bool {
        self.observed_at <= sent_at
            && own_position.is_some_and(|position| position + POSITION_ROUNDING_TOLERANCE < self.position)
    }
}
