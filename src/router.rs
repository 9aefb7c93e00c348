//! The root type, with one method for each event. It passes each event to the modules that decide and defines
//! the order in which their rules act.
//!
//! The order of these calls also determines the order of the host's calls and of the random draws, so a run
//! can be replayed from its seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config::Config;
use crate::endpoints::PollSchedule;
use crate::freshness::{MAX_FRESHNESS_WAIT, is_plausible};
use crate::health_checks::HealthCheckBudget;
use crate::host::{
    AttemptEnd, AttemptNumber, Endpoint, EndpointUpdate, Host, LoadReport, NodeId, Outcome, PeerObservation,
    ReplicaSetId, Rpc, RpcId, ValueMap,
};
use crate::load_reports::FleetLoad;
use crate::maintenance::{DueTime, Maintenance};
use crate::method::{Consistency, Method};
use crate::node_state::NodeState;
use crate::pending_request::PendingRequest;
use crate::replica_set::ReplicaSet;
use crate::session_tokens::SessionTokens;
use crate::zone_latency::ZoneLatencies;

/// Decides where each RPC goes. It is notified of each event and its time, and acts by calling its [`Host`].
pub struct Router<H: Host> {
    pub(crate) host: H,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) config: Config,
    /// In the order of the settings; a [`crate::host::MethodId`] is an index into it.
    pub(crate) methods: Vec<Method>,
    pub(crate) nodes: BTreeMap<NodeId, NodeState>,
    pub(crate) replica_sets: BTreeMap<ReplicaSetId, ReplicaSet>,
    /// The requests without a final response.
    pub(crate) pending: BTreeMap<RpcId, PendingRequest>,
    /// The latest time at which each pending request must be examined again.
    pub(crate) due: BTreeSet<DueTime>,
    pub(crate) session_tokens: SessionTokens,
    pub(crate) fleet_load: FleetLoad,
    pub(crate) zones: ZoneLatencies,
    /// Until this time connections are short, and idle ones are closed instead of kept.
    pub(crate) connection_shortage_until: Duration,
    pub(crate) health_check_budget: HealthCheckBudget,
    pub(crate) poll_schedule: PollSchedule,
    pub(crate) maintenance: Maintenance,
}

impl<H: Host> Router<H> {
    /// Creates a router that knows no nodes yet. `seed` initializes the random generator. `values` are the
    /// settings; a missing setting gets its strictest value.
    pub fn new(host: H, seed: u64, values: ValueMap, now: Duration) -> Self {
        let methods: Vec<Method> =
            (0..).map_while(|index| Method::from_values(&values, index, now)).collect();
        let config = Config::new(&values, &methods);
        let mut router = Router {
            host,
            rng: ChaCha8Rng::seed_from_u64(seed),
            health_check_budget: HealthCheckBudget::new(config.health_checks, config.health_check_cost),
            poll_schedule: PollSchedule::new(config.watches_endpoints, now),
            config,
            methods,
            nodes: BTreeMap::new(),
            replica_sets: BTreeMap::new(),
            pending: BTreeMap::new(),
            due: BTreeSet::new(),
            session_tokens: SessionTokens::new(),
            fleet_load: FleetLoad::default(),
            zones: ZoneLatencies::default(),
            connection_shortage_until: now,
            maintenance: Maintenance { maintained_at: now, dispatched_at: now, timer_at: None },
        };
        router.run_maintenance(now);
        router.schedule_timer(now);
        router
    }

    /// The endpoint list has changed.
    pub fn endpoints_changed(&mut self, now: Duration, update: EndpointUpdate, list: &[Endpoint]) {
        self.apply_endpoints(now, update, list);
        self.run_maintenance(now);
        self.schedule_timer(now);
    }

    /// A poll of the endpoint list has failed.
    pub fn endpoint_poll_failed(&mut self, now: Duration) {
        self.poll_schedule.failed(now, self.config.poll_interval);
    }

    /// An RPC arrived. Its final response is given now or later, before the client's deadline.
    pub fn rpc_arrived(&mut self, now: Duration, rpc: Rpc) {
        let (id, replica_set) = (rpc.id, rpc.replica_set);
        let Some(objective_at) = self.objective_end(now, &rpc) else { return self.host.abort(id) };
        // An unknown replica set gets no state: its id can be any number, so state would grow without bound.
        if !self.replica_sets.contains_key(&replica_set) {
            return self.reject(id, MAX_FRESHNESS_WAIT);
        }
        let is_write = self.methods[rpc.method.0].consistency == Consistency::Write;
        let admitted_fraction = self.admitted_fraction();
        self.earn_primary_quota(replica_set, is_write);
        self.health_check_budget.earn(admitted_fraction, self.fleet_load.is_reported());
        // Must come first: `finish` gives the final response only to tracked requests.
        self.track_pending(now, rpc, objective_at);
        let is_shed = !is_write && self.rng.random_bool(1.0 - admitted_fraction);
        if is_shed {
            return self.finish(id, self.config.max_retry_after);
        }
        self.enqueue(now, id);
        self.dispatch_and_schedule(now, replica_set);
    }

    /// An attempt ended. Unless the RPC already has its final response, it gets another attempt or its final
    /// response.
    pub fn attempt_ended(&mut self, now: Duration, mut end: AttemptEnd) {
        end.position = end.position.filter(|position| is_plausible(now, *position));
        if let Some(request) = self.pending.get_mut(&end.rpc)
            && let Some(attempt) = request.attempts.get_mut(end.attempt.0 as usize)
        {
            attempt.outcome = Some(end.outcome);
        }
        self.learn_from_attempt(now, &end);
        if end.rpc_finished {
            self.forget(end.rpc);
        } else if self.pending.get(&end.rpc).is_some_and(|it| !it.is_in_flight() && !it.is_queued) {
            self.retry_or_finish(now, end.rpc);
        }
        self.dispatch_and_schedule(now, self.replica_set_of(end.node).unwrap_or_default());
    }

    /// Learns from an ended attempt about its node, method and session, with one call for each concern.
    fn learn_from_attempt(&mut self, now: Duration, end: &AttemptEnd) {
        let Some(evidence) = self.take_attempt_evidence(now, end) else { return };
        self.record_connect_result(end.node, evidence.connect);
        self.pause_after_rejection(now, end, &evidence);
        self.update_ejection(end, evidence.connect);
        self.release_connections(now, end.node, evidence.connect);
        if let Some(method) = self.pending.get(&end.rpc).map(|request| request.rpc.method) {
            let response_time = &self.methods[method.0].response_time;
            let (sample_s, baseline_s) =
                (response_time.sample(end.took, end.outcome), response_time.baseline_s);
            self.update_success_rate(end);
            self.adapt_concurrency_limit(now, end, &evidence, sample_s / baseline_s);
            self.pause_after_response(now, end, &evidence);
            self.record_work(end.node, baseline_s, end.outcome);
            let is_response_time =
                end.outcome == Outcome::Ok || (end.outcome == Outcome::TimedOut && !evidence.lost);
            if is_response_time {
                self.methods[method.0].response_time.record(now, sample_s);
            }
        }
        self.record_response_role(now, end);
        self.record_response_position(now, end);
        self.remember_commit(now, end, &evidence);
        self.record_report(now, end.node, end.report.as_ref());
        self.check_if_ejected(end.node);
    }

    /// The client of an RPC has disconnected. Attempts in flight continue, and the host still reports their
    /// ends.
    pub fn client_disconnected(&mut self, rpc: RpcId) {
        self.forget(rpc);
    }

    /// This router shuts down at `end`: all pending requests get their final responses by then, even if their
    /// clients would wait longer.
    pub fn set_shutdown_deadline(&mut self, now: Duration, end: Duration) {
        for (id, request) in &mut self.pending {
            request.deadline = request.deadline.min(end);
            self.due.insert(DueTime { at: now, rpc: *id });
        }
        self.schedule_timer(now);
    }

    /// The timer that the host was asked to set has fired.
    pub fn timer_fired(&mut self, now: Duration) {
        self.clear_timer(now);
        self.run_due_requests(now);
        self.run_due_rounds(now);
        self.schedule_timer(now);
    }

    /// Another router has observed a node. The observation allows a read to try the node, whose own response
    /// then decides. It establishes a primary only if none has been proven recently, and it ejects a node
    /// that several routers cannot reach.
    pub fn peer_observed(&mut self, now: Duration, observation: PeerObservation) {
        let PeerObservation { node, at, .. } = observation;
        let Some(state) = self.nodes.get(&node) else { return };
        let replica_set = state.replica_set;
        let is_newer = state.log.last_heard_at < Some(at);
        if observation.failed {
            if is_newer {
                self.eject_unreachable(now, node);
            }
            return;
        }
        self.record_peer_position(now, node, observation.position, at);
        if let Some(queued) = observation.queued.filter(|_| is_newer) {
            self.record_peer_load(now, node, queued);
        }
        self.record_peer_start(now, node, observation.started);
        if observation.primary == Some(true) {
            self.record_peer_primary(now, node, at);
        }
        self.dispatch_and_schedule(now, replica_set);
    }

    /// A health check ended, with the node's load report if it sent one. [`Outcome::Cancelled`] means that
    /// the check was left to another router.
    pub fn health_check_ended(
        &mut self,
        now: Duration,
        node: NodeId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(replica_set) = self.replica_set_of(node) else { return };
        if outcome == Outcome::Cancelled {
            return self.cancel_health_check(node);
        }
        self.record_health_check(now, node, outcome);
        self.record_report(now, node, report.as_ref());
        self.dispatch_and_schedule(now, replica_set);
    }

    /// The host is about to make a health check that was assigned to this router, independently of the
    /// router's own needs. Returns false if the check must not be made: one to the node is already in flight,
    /// or the node is unknown.
    pub fn begin_assigned_health_check(&mut self, node: NodeId) -> bool {
        let Some(state) = self.nodes.get_mut(&node) else { return false };
        if state.health_check.in_flight {
            return false;
        }
        state.health_check.in_flight = true;
        self.charge_assigned_health_check(node);
        true
    }

    /// Whether the attempt may be written. The host asks right before the first byte, and again before it
    /// resumes a stalled write. A permitted attempt is charged to its node's slow-start budget, once for each
    /// start of the node.
    pub fn permits_attempt(&mut self, now: Duration, id: RpcId, attempt: AttemptNumber) -> bool {
        self.check_before_first_byte(now, id, attempt)
    }

    /// Whether a successful response may be passed to its client. `position` is the node's log position
    /// according to the response. A response whose position shows that it is stale may not pass, nor one
    /// without a position if only observations of other routers showed the node to be fresh enough.
    pub fn permits_response(
        &self,
        now: Duration,
        id: RpcId,
        attempt: AttemptNumber,
        position: Option<Duration>,
    ) -> bool {
        self.response_is_fresh_enough(now, id, attempt, position)
    }

    fn replica_set_of(&self, node: NodeId) -> Option<ReplicaSetId> {
        self.nodes.get(&node).map(|state| state.replica_set)
    }

    /// The last step of most events: sends queued requests of the replica set that can be sent now.
    fn dispatch_and_schedule(&mut self, now: Duration, replica_set: ReplicaSetId) {
        self.dispatch(now, replica_set);
        self.schedule_timer(now);
    }
}
