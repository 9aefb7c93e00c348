//! Observations of nodes: sharing this router's own, and passing those of other routers to the decisions.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use quillpoint::host::{NodeId, Outcome, PeerObservation, ReplicaSetId, ZoneId};

use super::Engine;
use super::command::BackgroundTask;

/// An observation of a node that this router made itself.
pub struct LocalObservation {
    /// The node.
    pub node: NodeId,
    /// When the request was sent to the node, on the engine's clock.
    pub requested_at: Duration,
    /// Whether it comes from a health check that has ended, not from an attempt.
    pub by_health_check: bool,
    /// Whether the health check failed: the node gave no answer, or a malformed one.
    pub failed: bool,
    /// The node's log position, if reported.
    pub position: Option<Duration>,
    /// Whether the node is the primary, if reported.
    pub primary: Option<bool>,
    /// The number of requests queued at the node, if reported.
    pub queued: Option<f64>,
    /// When the node's process started, if known.
    pub started: Option<Duration>,
}

/// The state of a node as reported in one response.
#[derive(Clone, Copy, Default)]
pub(super) struct ObservedState {
    pub(super) position: Option<Duration>,
    pub(super) primary: Option<bool>,
    pub(super) queued: Option<f64>,
}

/// The kind of request that an observation comes from.
#[derive(Clone, Copy)]
pub(super) enum ObservationSource {
    Attempt,
    HealthCheck { failed: bool },
}

/// Exchanges observations of nodes with other routers.
pub trait ObservationExchange {
    /// Shares an observation that this router made.
    fn observed(&self, observation: LocalObservation);
    /// Called when the endpoint list has changed.
    fn endpoints_changed(&self);
    /// Whether this router makes a health check that its decisions want, instead of leaving it to another
    /// router.
    fn permits_health_check(&self, node: NodeId) -> bool;
    /// Returns the latest observation of the node by other routers, or `None` if there is none or it was
    /// returned before. Called when an RPC needs it, since observations of all nodes may arrive too often to
    /// pass each one on.
    fn latest_observation(&self, _node: NodeId) -> Option<PeerObservation> {
        None
    }
}

impl Engine {
    /// Starts exchanging observations with other routers. A second call has no effect.
    pub fn set_observation_exchange(&self, exchange: Rc<dyn ObservationExchange>) {
        if self.exchange.set(exchange).is_ok()
            && let Some(exchange) = self.exchange.get()
        {
            exchange.endpoints_changed();
        }
    }

    /// Shares a local observation with other routers; the only place that does so.
    pub(super) fn share(
        &self,
        node: NodeId,
        requested_at: Duration,
        source: ObservationSource,
        observed: ObservedState,
    ) {
        let Some(exchange) = self.exchange.get() else { return };
        let started = self.decisions.borrow().process_start(node);
        exchange.observed(LocalObservation {
            node,
            requested_at,
            by_health_check: matches!(source, ObservationSource::HealthCheck { .. }),
            failed: matches!(source, ObservationSource::HealthCheck { failed: true }),
            position: observed.position,
            primary: observed.primary,
            queued: observed.queued,
            started,
        });
    }

    /// Passes an observation by another router to the decisions.
    pub fn peer_observed(&self, observation: PeerObservation) {
        self.with_decisions(|decisions, now| decisions.peer_observed(now, observation));
    }

    /// Passes the latest observations by other routers of a replica set's nodes to the decisions.
    pub(super) fn refresh_observations(&self, replica_set: ReplicaSetId) {
        let Some(exchange) = self.exchange.get() else { return };
        let nodes: Vec<NodeId> = self.decisions.borrow().nodes_of(replica_set).collect();
        for observation in nodes.into_iter().filter_map(|node| exchange.latest_observation(node)) {
            self.peer_observed(observation);
        }
    }

    /// Refreshes the observations of all replica sets with pending RPCs, which may allow these RPCs to
    /// proceed.
    pub fn refresh_pending_rpcs(&self) {
        let pending: BTreeSet<ReplicaSetId> =
            self.host.pending.borrow().values().map(|pending| pending.replica_set).collect();
        pending.into_iter().for_each(|replica_set| self.refresh_observations(replica_set));
    }

    /// Queues a health check that is assigned to this router. Returns false if one is already in progress.
    pub fn begin_assigned_health_check(&self, node: NodeId) -> bool {
        let has_begun = self.decisions.borrow_mut().begin_assigned_health_check(node);
        has_begun && self.host.background_tasks.try_send(BackgroundTask::AssignedHealthCheck(node)).is_ok()
    }

    /// Whether this router makes a health check that the decisions want. If not, the check is reported as
    /// cancelled.
    pub fn permits_health_check(&self, node: NodeId) -> bool {
        let permitted = self.exchange.get().is_none_or(|exchange| exchange.permits_health_check(node));
        if !permitted {
            self.with_decisions(|decisions, now| {
                decisions.health_check_ended(now, node, Outcome::Cancelled, None);
            });
        }
        permitted
    }

    /// Whether the node is ejected, so that only this router's own health checks reveal its state to this
    /// router.
    pub fn is_ejected(&self, node: NodeId) -> bool {
        self.decisions.borrow().is_ejected(node)
    }

    /// Returns the nodes on the endpoint list with their zones.
    pub fn nodes(&self) -> Vec<(NodeId, ZoneId)> {
        self.decisions.borrow().nodes().collect()
    }
}
