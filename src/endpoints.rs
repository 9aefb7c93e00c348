//! The endpoint list: which nodes are added, drain or are removed, and how often the list is polled.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;

use crate::health_checks::MAX_FAILURES;
use crate::host::{Endpoint, EndpointStatus, EndpointUpdate, Host, NodeId};
use crate::node_state::NodeState;
use crate::replica_set::ReplicaSet;
use crate::router::Router;

/// Delay of the next poll after a failed one. It doubles with each further failure.
const INITIAL_POLL_BACKOFF: Duration = Duration::from_millis(300);
/// The longest delay after a failed poll: poll interval / this.
const MAX_BACKOFF_DIVISOR: u32 = 4;
/// A poll without a response is repeated after: poll interval / this. The repeat is then within the interval.
const UNANSWERED_POLL_DIVISOR: u32 = 2;

/// When the host is asked for the list again. Only quillpoint-adapter relies on this schedule. The router
/// process needs only the first request: it never calls `endpoint_poll_failed`, and
/// quillpoint-discovery-watch handles polls, timeouts and backoff.
pub(crate) struct PollSchedule {
    /// None while the host maintains the watch by itself.
    next_at: Option<Duration>,
    backoff: Duration,
}

impl PollSchedule {
    pub fn new(watches_endpoints: bool, now: Duration) -> Self {
        Self { next_at: watches_endpoints.then_some(now), backoff: INITIAL_POLL_BACKOFF }
    }

    /// A snapshot or a delta shows that the watch is active. A cached snapshot does not.
    fn succeeded(&mut self, update: EndpointUpdate) {
        self.backoff = INITIAL_POLL_BACKOFF;
        if update != EndpointUpdate::CachedSnapshot {
            self.next_at = None;
        }
    }

    /// A poll failed, which does not show whether a watch is active. Polling again is always allowed, and the
    /// delay stays within `poll_interval`.
    pub fn failed(&mut self, now: Duration, poll_interval: Duration) {
        let longest = poll_interval / MAX_BACKOFF_DIVISOR;
        self.next_at = Some(now + self.backoff.min(longest));
        self.backoff = (self.backoff * 2).min(longest);
    }
}

impl<H: Host> Router<H> {
    /// Periodic: polls the endpoint list when it is due.
    pub(crate) fn poll_endpoints(&mut self, now: Duration) {
        if self.poll_schedule.next_at.is_some_and(|at| at <= now) {
            self.poll_schedule.next_at = Some(now + self.config.poll_interval / UNANSWERED_POLL_DIVISOR);
            self.host.watch_endpoints();
        }
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn apply_endpoints(&mut self, now: Duration, update: EndpointUpdate, list: &[Endpoint]) {
        self.poll_schedule.succeeded(update);
        if update != EndpointUpdate::Delta {
            self.remove_unlisted(list);
        }
        // A node that is added to an already known list has just started, even if its entry has no start
        // time.
        let is_known_list = !self.nodes.is_empty() && update == EndpointUpdate::Delta;
        let assumed_start = is_known_list.then_some(now);
        for endpoint in list {
            // An unknown node that is listed as removed has already drained and been forgotten.
            if endpoint.status != EndpointStatus::Removed || self.nodes.contains_key(&endpoint.node) {
                self.apply_endpoint(endpoint, assumed_start);
            }
        }
    }

    /// A snapshot is the whole list, so a node that is missing from it is removed. If `only_listed_draining`
    /// is set, a removed node may still be sent requests.
    fn remove_unlisted(&mut self, list: &[Endpoint]) {
        let listed: BTreeSet<NodeId> = list.iter().map(|endpoint| endpoint.node).collect();
        for (node, state) in &mut self.nodes {
            state.removed = !listed.contains(node);
            state.draining |= state.removed && !self.config.only_listed_draining;
        }
    }

    /// Applies one entry. A node that is new or has restarted begins its slow start. A new replica set starts
    /// with a random fraction of one read in its primary's quota: otherwise none of many routers would ever
    /// earn a whole read.
    fn apply_endpoint(&mut self, endpoint: &Endpoint, assumed_start: Option<Duration>) {
        let routers = self.config.routers;
        let new_node = || NodeState::new(endpoint, assumed_start, routers);
        let state = self.nodes.entry(endpoint.node).or_insert_with(new_node);
        state.removed = endpoint.status == EndpointStatus::Removed;
        let is_unlisted_draining = state.removed && (!self.config.only_listed_draining || state.draining);
        state.draining = endpoint.status == EndpointStatus::Draining || is_unlisted_draining;
        if endpoint.started > state.started || state.slow_start.has_no_capacity_yet() {
            self.restart_node(endpoint.node, endpoint.started);
        }
        let new_replica_set =
            || ReplicaSet { primary_quota: self.rng.random_range(0.0..1.0), ..ReplicaSet::default() };
        let replica_set = self.replica_sets.entry(endpoint.replica_set).or_insert_with(new_replica_set);
        replica_set.nodes.insert(endpoint.node);
        if endpoint.primary {
            self.record_listed_primary(endpoint);
        }
    }

    /// Periodic: drops the state of removed nodes that get no requests, once everything in flight to them has
    /// ended.
    pub(crate) fn forget_removed_nodes(&mut self, now: Duration) {
        let can_be_forgotten = |node: &NodeState| {
            let is_dead = node.draining || node.health_check.failed_in_row == MAX_FAILURES;
            node.removed && is_dead && node.in_flight.is_empty() && !node.health_check.in_flight
        };
        let forgotten = self.nodes.iter().filter(|(_, state)| can_be_forgotten(state));
        let forgotten: Vec<_> = forgotten.map(|(node, state)| (*node, state.replica_set)).collect();
        for (node, replica_set) in forgotten {
            self.nodes.remove(&node);
            self.clear_primary(now, replica_set, node);
            self.replica_sets.entry(replica_set).or_default().nodes.remove(&node);
            self.host.close_idle_connections(node);
        }
    }
}
