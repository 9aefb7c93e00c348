//! What this router observes of the nodes and shares with others, and what others have observed.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use quillpoint::host::{NodeId, Outcome, PeerObservation, ReplicaSetId, ZoneId};

use super::Engine;
use super::command::BackgroundTask;

/// What this router has observed of a node by itself.
pub struct LocalObservation {
    /// The node.
    pub node: NodeId,
    /// When the request was sent to the node, on the engine's clock.
    pub requested_at: Duration,
    /// Whether it comes from a health check, which has ended then.
    pub by_health_check: bool,
    /// Whether the health check brought nothing of use: no answer, or one that could not be read.
    pub failed: bool,
    /// The node's log position.
    pub position: Option<Duration>,
    /// Whether the node is the primary.
    pub primary: Option<bool>,
    /// Requests queued at the node.
    pub queued: Option<f64>,
    /// When the node's process started.
    pub started: Option<Duration>,
}

/// What the observation itself says of the node.
#[derive(Clone, Copy, Default)]
pub(super) struct ObservedState {
    pub(super) position: Option<Duration>,
    pub(super) primary: Option<bool>,
    pub(super) queued: Option<f64>,
}

/// Where the observation comes from.
#[derive(Clone, Copy)]
pub(super) enum ObservationSource {
    Attempt,
    HealthCheck { failed: bool },
}

/// The exchange of observations with other routers.
pub trait ObservationExchange {
    /// This router has observed something of a node.
    fn observed(&self, observation: LocalObservation);
    /// The endpoint list has changed.
    fn endpoints_changed(&self);
    /// Whether a health check that the decisions ask for is made here, and not left to another router.
    fn permits_health_check(&self, node: NodeId) -> bool;
    /// The latest observation of the node by others; one that was returned before may be left out. Asked for when an RPC needs
    /// it, since observations of all nodes may come often.
    fn latest_observation(&self, _node: NodeId) -> Option<PeerObservation> {
        None
    }
}

impl Engine {
    /// From now on observations are exchanged with other routers. Called once.
    pub fn set_observation_exchange(&self, exchange: Rc<dyn ObservationExchange>) {
        if self.exchange.set(exchange).is_ok()
            && let Some(exchange) = self.exchange.get()
        {
            exchange.endpoints_changed();
        }
    }

    /// The one place where a local observation goes on to others.
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

    /// Another router has observed something of a node.
    pub fn peer_observed(&self, observation: PeerObservation) {
        self.with_decisions(|decisions, now| decisions.peer_observed(now, observation));
    }

    /// Tells the decisions what others have observed of a replica set's nodes.
    pub(super) fn refresh_observations(&self, replica_set: ReplicaSetId) {
        let Some(exchange) = self.exchange.get() else { return };
        let nodes: Vec<NodeId> = self.decisions.borrow().nodes_of(replica_set).collect();
        for observation in nodes.into_iter().filter_map(|node| exchange.latest_observation(node)) {
            self.peer_observed(observation);
        }
    }

    /// Others have observed something new, which may let pending RPCs go on.
    pub fn refresh_pending_rpcs(&self) {
        let pending: BTreeSet<ReplicaSetId> =
            self.host.pending.borrow().values().map(|pending| pending.replica_set).collect();
        pending.into_iter().for_each(|replica_set| self.refresh_observations(replica_set));
    }

    /// Begins a health check that is assigned to this router. False if one is under way already.
    pub fn begin_assigned_health_check(&self, node: NodeId) -> bool {
        let begins = self.decisions.borrow_mut().begin_assigned_health_check(node);
        begins && self.host.background_tasks.try_send(BackgroundTask::AssignedHealthCheck(node)).is_ok()
    }

    /// Whether a health check that the decisions have asked for is made here. One that is not has ended.
    pub fn permits_health_check(&self, node: NodeId) -> bool {
        let permitted = self.exchange.get().is_none_or(|exchange| exchange.permits_health_check(node));
        if !permitted {
            self.with_decisions(|decisions, now| {
                decisions.health_check_ended(now, node, Outcome::Cancelled, None);
            });
        }
        permitted
    }

    /// Whether the node is ejected: only a health check of this router tells it anything of the node.
    pub fn is_ejected(&self, node: NodeId) -> bool {
        self.decisions.borrow().is_ejected(node)
    }

    /// The nodes on the endpoint list, with their zones.
    pub fn nodes(&self) -> Vec<(NodeId, ZoneId)> {
        self.decisions.borrow().nodes().collect()
    }
}
