//! Connection shortage: a node that is up and refuses connects has none left. All routers then give back theirs after
//! use for a while, or a few of them would hold all connections idle.

use std::time::Duration;

use crate::host::{AttemptEnd, Host, NodeId, Outcome};
use crate::node_state::InFlightAttempt;
use crate::router::Router;

/// How long idle connections are given back after a refusal.
const SHORTAGE_DURATION: Duration = Duration::from_millis(5000);

/// How the connect of an attempt went.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectResult {
    /// It was not refused, or ended too late to tell.
    NotRefused,
    /// Refused at once: the node is down or out of connections.
    Refused,
    /// Refused at once while connections are known to be short.
    RefusedInShortage,
}

impl<H: Host> Router<H> {
    pub(crate) fn in_connection_shortage(&self, now: Duration) -> bool {
        now < self.connection_shortage_until
    }

    /// A refusal comes at once. A connect that takes its whole time, or that of its attempt, tells of no shortage.
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

    /// Counts refused connects in a row.
    pub(crate) fn note_connect_result(&mut self, node: NodeId, result: ConnectResult) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        state.refused_connects =
            if result == ConnectResult::NotRefused { 0 } else { state.refused_connects + 1 };
    }

    /// In a shortage, the node's connections are given back once nothing of this router is in flight there.
    pub(crate) fn give_back_connections(&mut self, now: Duration, node: NodeId, result: ConnectResult) {
        let is_unused = self.nodes.get(&node).is_some_and(|state| state.in_flight.is_empty());
        if result == ConnectResult::NotRefused && self.in_connection_shortage(now) && is_unused {
            self.host.close_idle_connections(node);
        }
    }

    /// A node has answered a health check. If it refused connects before, it is short of connections and not down.
    pub(crate) fn detect_connection_shortage(&mut self, now: Duration, node: NodeId) {
        if self.nodes.get(&node).is_some_and(|state| state.refused_connects > 0) {
            self.connection_shortage_until = now + SHORTAGE_DURATION;
            for node in self.nodes.keys() {
                self.host.close_idle_connections(*node);
            }
        }
    }
}
