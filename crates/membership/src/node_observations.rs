//! What is known of one node, and what a peer's observation of it is worth.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::host::TimestampedObservation;
use crate::ids::PeerName;
use crate::message::Observation;
use crate::observation_store::{Assessment, MAX_OBSERVATION_AGE};

/// Failures of several routers count together within this time.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// How many routers must have failed to reach a node, each by itself, before that is believed.
const MIN_FAILED_ROUTERS: usize = 2;
/// Some round a log position to the millisecond, others do not.
const POSITION_ROUNDING: Duration = Duration::from_millis(2);

/// An observation with its time on this router's clock. Its age is not kept up to date.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TimedObservation {
    pub(crate) at: Duration,
    pub(crate) observation: Observation,
}

impl TimedObservation {
    /// It with its age as of now, unless it is too old.
    pub(crate) fn aged(&self, now: Duration) -> Option<Observation> {
        let age = now.saturating_sub(self.at);
        (age <= MAX_OBSERVATION_AGE).then(|| Observation { age, ..self.observation.clone() })
    }

    /// What it shows. A time ahead of this router's clock shows nothing.
    pub(crate) fn dated(&self, now: Duration) -> TimestampedObservation {
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
struct PositionClaim {
    peer: PeerName,
    position: Duration,
    /// When the peer observed it, at the latest.
    observed_at: Duration,
}

/// What is known of a node.
#[derive(Default)]
pub(crate) struct NodeObservations {
    /// This router's latest observation.
    own: Option<TimedObservation>,
    /// The latest observation of a peer that was no failure.
    from_peers: Option<TimedObservation>,
    /// The highest log position that a peer has reported.
    highest_claim: Option<PositionClaim>,
    /// When routers have lately failed to reach it, this one among them.
    failures: BTreeMap<PeerName, Duration>,
}

impl NodeObservations {
    pub(crate) fn own(&self) -> Option<&TimedObservation> {
        self.own.as_ref()
    }

    pub(crate) fn latest_from_peers(&self) -> Option<&TimedObservation> {
        self.from_peers.as_ref()
    }

    /// The latest observation of any router that was no failure.
    pub(crate) fn latest_answer(&self) -> Option<&TimedObservation> {
        let answers = self.own.iter().chain(&self.from_peers).filter(|timed| !timed.observation.failed);
        answers.max_by_key(|timed| timed.at)
    }

    pub(crate) fn failure_count(&self) -> usize {
        self.failures.len()
    }

    /// Records what this router has observed now, by a request sent at `sent_at`. Returns the peer that the node's answer
    /// contradicts, if there is one.
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
        self.own = Some(TimedObservation { at: now, observation });
        let claim = self.highest_claim.take_if(|claim| claim.is_contradicted(sent_at, position))?;
        // It must not be handed out as the latest observation any more.
        self.from_peers = None;
        Some(claim.peer)
    }

    /// Records what a peer has observed.
    pub(crate) fn record_from_peer(
        &mut self,
        now: Duration,
        peer: &PeerName,
        timed: TimedObservation,
    ) -> Assessment {
        if timed.observation.failed {
            return self.record_peer_failure(now, peer, &timed);
        }
        let dated = timed.dated(now);
        if let Some(position) = dated.position {
            self.record_claim(peer, position, timed.at);
        }
        self.failures.retain(|_, failed_at| *failed_at > timed.at);
        if self.from_peers.as_ref().is_none_or(|latest| latest.at <= timed.at) {
            self.from_peers = Some(timed);
        }
        Assessment::Accepted(dated)
    }

    fn record_peer_failure(
        &mut self,
        now: Duration,
        peer: &PeerName,
        failure: &TimedObservation,
    ) -> Assessment {
        if self.latest_answer().is_some_and(|answer| answer.at > failure.at) {
            return Assessment::Rejected;
        }
        self.failures.insert(peer.clone(), failure.at);
        self.failures.retain(|_, failed_at| *failed_at + FAILURE_WINDOW >= now);
        if self.failures.len() < MIN_FAILED_ROUTERS {
            return Assessment::Unconfirmed;
        }
        Assessment::Accepted(TimestampedObservation { failed: true, ..failure.dated(now) })
    }

    fn record_claim(&mut self, peer: &PeerName, position: Duration, observed_at: Duration) {
        match &mut self.highest_claim {
            Some(claim) if claim.position >= position => {}
            // Mostly the same peer goes on telling: its name is not cloned for each observation.
            Some(claim) if claim.peer == *peer => {
                claim.position = position;
                claim.observed_at = observed_at;
            }
            claim => *claim = Some(PositionClaim { peer: peer.clone(), position, observed_at }),
        }
    }
}

impl PositionClaim {
    /// Whether the node's answer to a request sent at `sent_at` shows that the claim was made up: log positions never fall.
    /// A claim from after the sending may be later than a slow answer.
    fn is_contradicted(&self, sent_at: Duration, answered: Option<Duration>) -> bool {
        self.observed_at <= sent_at
            && answered.is_some_and(|answered| answered + POSITION_ROUNDING < self.position)
    }
}
