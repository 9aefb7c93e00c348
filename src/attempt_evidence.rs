//! What is known when an attempt ends. It is collected before any state is updated, so that all the rules
//! that learn from the attempt see the same state, regardless of the order of their updates.

use std::time::Duration;

use crate::connection_shortage::ConnectResult;
use crate::host::{AttemptEnd, Host};
use crate::node_state::InFlightAttempt;
use crate::router::Router;

/// What is known when an attempt ends.
pub(crate) struct AttemptEvidence {
    /// None if it was no longer in flight.
    pub attempt: Option<InFlightAttempt>,
    /// The attempt already counted as lost before it ended, so its duration is not a response time.
    pub lost: bool,
    pub connect: ConnectResult,
    /// Requests queued at the node according to its last report.
    pub queued_before: Option<f64>,
    /// The relative latency of the zone with the lowest latency.
    pub lowest_zone_latency: f64,
    /// Whether nodes report how many requests they have in flight.
    pub load_is_known: bool,
}

impl<H: Host> Router<H> {
    /// Removes the attempt from its node and collects what is known at its end. None for an unknown node.
    pub(crate) fn take_attempt_evidence(
        &mut self,
        now: Duration,
        end: &AttemptEnd,
    ) -> Option<AttemptEvidence> {
        let queued_before = self.nodes.get(&end.node).and_then(|node| self.current_report(now, node)?.queued);
        let node = self.nodes.get_mut(&end.node)?;
        let is_ended =
            |attempt: &mut InFlightAttempt| attempt.rpc == end.rpc && attempt.attempt == end.attempt;
        let attempt = node.in_flight.extract_if(.., is_ended).next();
        Some(AttemptEvidence {
            lost: attempt.as_ref().is_none_or(|attempt| attempt.is_lost(now)),
            connect: self.connect_result(now, end, attempt.as_ref()),
            queued_before,
            lowest_zone_latency: self.zones.lowest(),
            load_is_known: self.fleet_load.is_reported(),
            attempt,
        })
    }
}
