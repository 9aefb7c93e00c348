//! The root type: one method for each event. It hands each event on to the modules that decide, and owns the order in
//! which their rules act.
//!
//! The host is called in the order of these calls, and chance is drawn in it, so a run with a seed replays.

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

/// Decides where each RPC goes. It is told of each event, with the time, and acts by calling its [`Host`].
pub struct Router<H: Host> {
    pub(crate) host: H,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) config: Config,
    /// By their place in the settings.
    pub(crate) methods: Vec<Method>,
    pub(crate) nodes: BTreeMap<NodeId, NodeState>,
    pub(crate) replica_sets: BTreeMap<ReplicaSetId, ReplicaSet>,
    /// The requests without a final answer.
    pub(crate) pending: BTreeMap<RpcId, PendingRequest>,
    /// When each pending request is to be looked at, at the latest.
    pub(crate) due: BTreeSet<DueTime>,
    pub(crate) session_tokens: SessionTokens,
    pub(crate) fleet_load: FleetLoad,
    pub(crate) zones: ZoneLatencies,
    /// Idle connections are given back until then.
    pub(crate) connection_shortage_until: Duration,
    pub(crate) health_check_budget: HealthCheckBudget,
    pub(crate) poll_schedule: PollSchedule,
    pub(crate) maintenance: Maintenance,
}

impl<H: Host> Router<H> {
    /// A router that knows no node yet. `seed` is that of its random draws, `values` are the settings; one that is
    /// missing is taken in its strictest reading.
    pub fn new(host: H, seed: u64, values: ValueMap, now: Duration) -> Self {
        let methods: Vec<Method> =
            (0..).map_while(|place| Method::from_values(&values, place, now)).collect();
        let config = Config::new(&values, &methods);
        let mut router = Router {
            host,
            rng: ChaCha8Rng::seed_from_u64(seed),
            health_check_budget: HealthCheckBudget::new(config.health_checks, config.health_check_price),
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
            maintenance: Maintenance { nodes_at: now, dispatch_at: now, timer_at: None },
        };
        router.maintain(now);
        router.schedule_timer(now);
        router
    }

    /// The endpoint list has changed.
    pub fn endpoints_changed(&mut self, now: Duration, update: EndpointUpdate, list: &[Endpoint]) {
        self.apply_endpoints(now, update, list);
        self.maintain(now);
        self.schedule_timer(now);
    }

    /// A poll of the endpoint list has failed.
    pub fn endpoint_poll_failed(&mut self, now: Duration) {
        self.poll_schedule.failed(now, self.config.poll_interval);
    }

    /// An RPC arrived. Its final answer comes at once or later, in time for its client.
    pub fn rpc_arrived(&mut self, now: Duration, rpc: Rpc) {
        let (id, replica_set) = (rpc.id, rpc.replica_set);
        let Some(objective_at) = self.objective_end(now, &rpc) else { return self.host.abort(id) };
        // Of a replica set without nodes nothing is kept: its number may be anything.
        if !self.replica_sets.contains_key(&replica_set) {
            return self.reject(id, MAX_FRESHNESS_WAIT);
        }
        let is_write = self.methods[rpc.method.0].consistency == Consistency::Write;
        let admitted_part = self.admitted_part();
        self.earn_primary_quota(replica_set, is_write);
        self.health_check_budget.earn(admitted_part, self.fleet_load.is_reported());
        // Tracked first: finish gives the final answer of tracked requests only.
        self.track_pending(now, rpc, objective_at);
        let is_shed = !is_write && self.rng.random_bool(1.0 - admitted_part);
        if is_shed {
            return self.finish(id, self.config.max_retry_after);
        }
        self.enqueue(now, id);
        self.dispatch_and_schedule(now, replica_set);
    }

    /// An attempt ended. Its request gets a further one or its final answer, if it is not finished.
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

    /// What an ended attempt shows of its node, its method and its session, one call a concern.
    fn learn_from_attempt(&mut self, now: Duration, end: &AttemptEnd) {
        let Some(evidence) = self.take_attempt_evidence(now, end) else { return };
        self.note_connect_result(end.node, evidence.connect);
        self.rest_after_rejection(now, end, &evidence);
        self.update_ejection(end, evidence.connect);
        self.give_back_connections(now, end.node, evidence.connect);
        if let Some(method) = self.pending.get(&end.rpc).map(|request| request.rpc.method) {
            let answer_time = &self.methods[method.0].answer_time;
            let (sample_s, shortest_s) = (answer_time.sample(end.took, end.outcome), answer_time.shortest_s);
            self.update_success_rate(end);
            self.adapt_concurrency_limit(now, end, &evidence, sample_s / shortest_s);
            self.rest_after_answer(now, end, &evidence);
            self.record_work(end.node, shortest_s, end.outcome);
            let is_answer_time =
                end.outcome == Outcome::Ok || (end.outcome == Outcome::TimedOut && !evidence.lost);
            if is_answer_time {
                self.methods[method.0].answer_time.record(now, sample_s);
            }
        }
        self.note_answered_role(now, end);
        self.note_answered_position(now, end);
        self.remember_commit(now, end, &evidence);
        self.note_report(now, end.node, end.report.as_ref());
        self.check_if_ejected(end.node);
    }

    /// The client of an RPC no longer waits. Attempts in flight run on, and their ends are still told.
    pub fn client_disconnected(&mut self, rpc: RpcId) {
        self.forget(rpc);
    }

    /// This router itself is to end at `end`: all pending requests get their final answers by then, however long their
    /// clients would wait.
    pub fn set_shutdown_deadline(&mut self, now: Duration, end: Duration) {
        for (id, request) in &mut self.pending {
            request.deadline = request.deadline.min(end);
            self.due.insert(DueTime { at: now, rpc: *id });
        }
        self.schedule_timer(now);
    }

    /// The timer fired that the host was asked to set.
    pub fn timer_fired(&mut self, now: Duration) {
        self.clear_timer(now);
        self.run_due_requests(now);
        self.run_due_rounds(now);
        self.schedule_timer(now);
    }

    /// Another router has observed something of a node. That lets a read try the node, whose own answer then decides;
    /// it names a primary only where none has been proven of late, and ejects a node that several routers do not reach.
    pub fn peer_observed(&mut self, now: Duration, observation: PeerObservation) {
        let PeerObservation { node, at, .. } = observation;
        let Some(state) = self.nodes.get(&node) else { return };
        let replica_set = state.replica_set;
        let is_newer = state.log.heard_at < Some(at);
        if observation.failed {
            if is_newer {
                self.eject_unreachable(now, node);
            }
            return;
        }
        self.note_peer_position(now, node, observation.position, at);
        if let Some(queued) = observation.queued.filter(|_| is_newer) {
            self.note_peer_load(now, node, queued);
        }
        self.note_peer_start(now, node, observation.started);
        if observation.primary == Some(true) {
            self.note_peer_primary(now, node, at);
        }
        self.dispatch_and_schedule(now, replica_set);
    }

    /// A health check ended, with the node's report if it gave one. [`Outcome::Cancelled`] says that it was left to
    /// another router.
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
        self.note_report(now, node, report.as_ref());
        self.dispatch_and_schedule(now, replica_set);
    }

    /// The host is about to make a health check that was assigned to this router, whatever it needs itself. False while
    /// one is in flight to the node, or for an unknown one: it must then not be made.
    pub fn begin_assigned_health_check(&mut self, node: NodeId) -> bool {
        let Some(state) = self.nodes.get_mut(&node) else { return false };
        if state.health_check.in_flight {
            return false;
        }
        state.health_check.in_flight = true;
        self.charge_assigned_health_check(node);
        true
    }

    /// Whether the attempt may begin: asked right before its first byte, and before more of it where its write has
    /// stalled. One that is permitted counts against its node's slow-start budget, once for each start of the node.
    pub fn permits_attempt(&mut self, now: Duration, id: RpcId, attempt: AttemptNumber) -> bool {
        self.check_before_first_byte(now, id, attempt)
    }

    /// Whether an ok may go to its client: not if its position shows it to be stale, nor without one if only other
    /// routers have observed the node to be fresh enough. `position` is the node's, as the answer tells it.
    pub fn permits_response(
        &self,
        now: Duration,
        id: RpcId,
        attempt: AttemptNumber,
        position: Option<Duration>,
    ) -> bool {
        self.answer_is_fresh_enough(now, id, attempt, position)
    }

    /// The replica set of a known node.
    fn replica_set_of(&self, node: NodeId) -> Option<ReplicaSetId> {
        self.nodes.get(&node).map(|state| state.replica_set)
    }

    /// The end of most events: what waits in the replica set may now be sent.
    fn dispatch_and_schedule(&mut self, now: Duration, replica_set: ReplicaSetId) {
        self.dispatch(now, replica_set);
        self.schedule_timer(now);
    }
}
