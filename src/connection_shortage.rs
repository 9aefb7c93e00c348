//! Connection shortage: a node that is up but refuses connects has no connections left. For a while, all
//! routers then close their connections after use; otherwise a few routers could hold all connections idle.

use std::time::Duration;

use crate::host::{AttemptEnd, Host, NodeId, Outcome};
use crate::node_state::InFlightAttempt;
use crate::router::Router;

/// How long idle connections are closed after a shortage was detected.
const SHORTAGE_DURATION: Duration = Duration::from_millis(5000);

/// How the connect of an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectResult {
    /// The connect was not refused, or ended too late to tell.
    NotRefused,
    /// Refused immediately: the node is down or out of connections.
    Refused,
    /// Refused immediately during a known shortage of connections.
    RefusedInShortage,
}

impl<H: Host> Router<H> {
    pub(crate) fn in_connection_shortage(&self, now: Duration) -> bool {
        now < self.connection_shortage_until
    }

    /// A refusal arrives immediately. A connect that uses up its own timeout or that of its attempt says
    /// nothing about a shortage.
    pub(crate) fn connect_result(
        &self,
        now: Duration,
        end: &AttemptEnd,
        attempt: Option<&InFlightAttempt>,
    ) -> ConnectResult {
        let timeout = self.config.connect_timeout;
        let in_time = attempt.is_some_and(|attempt| end.took < timeout.min(attempt.timeout));
        if end.outcome != Outcome::ConnectFailed || !in_time {
            ConnectResult::NotRefused
        } else if self.in_connection_shortage(now) {
            ConnectResult::RefusedInShortage
        } else {
            ConnectResult::Refused
        }
    }

    /// Counts consecutive refused connects.
    pub(crate) fn record_connect_result(&mut self, node: NodeId, result: ConnectResult) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        state.refused_connects =
            if result == ConnectResult::NotRefused { 0 } else { state.refused_connects + 1 };
    }

    /// During a shortage, closes the idle connections to the node once this router has nothing in flight
    /// there.
    pub(crate) fn release_connections(&mut self, now: Duration, node: NodeId, result: ConnectResult) {
        let is_idle = self.nodes.get(&node).is_some_and(|state| state.in_flight.is_empty());
        if result == ConnectResult::NotRefused && self.in_connection_shortage(now) && is_idle {
            self.host.close_idle_connections(node);
        }
    }

    /// Called when a node has responded to a health check. If it refused connects before, it is up but short
    /// of connections.
    pub(crate) fn detect_connection_shortage(&mut self, now: Duration, node: NodeId) {
        if self.nodes.get(&node).is_some_and(|state| state.refused_connects > 0) {
            self.connection_shortage_until = now + SHORTAGE_DURATION;
            for node in self.nodes.keys() {
                self.host.close_idle_connections(*node);
            }
        }
    }
}
