//! One router with simulated nodes and virtual time. The invariant checker sees every call that the router
//! makes.

mod checker;
mod random_run;

use std::cell::{Ref, RefMut};
use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint::Router;
use quillpoint::host::*;

pub use checker::ClientOutcome;
use checker::{InvariantChecker, NodeRecord, Record, RequestRecord};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn node(number: usize) -> NodeId {
    NodeId(format!("10.0.0.{number}:7000").parse().unwrap())
}

/// Response times, by the zone of the node.
#[derive(Clone, Copy)]
pub struct ResponseTimes {
    pub even_nodes: Duration,
    pub odd_nodes: Duration,
}

impl ResponseTimes {
    pub fn all(time: Duration) -> Self {
        Self { even_nodes: time, odd_nodes: time }
    }
}

/// One router and its nodes. Methods: 0 is bounded by 300 ms, 1 any, 2 session, 3 fresh, 4 write.
pub struct Simulation {
    checker: InvariantChecker,
    pub router: Router<InvariantChecker>,
    pub primary: NodeId,
    pub response_times: ResponseTimes,
    /// Requests queued at each node, as reported with responses and health checks.
    pub queued: Option<f64>,
    /// Requests in flight at each node, as reported with health checks.
    pub in_flight: Option<f64>,
    /// The replica set of the RPCs that arrive.
    pub replica_set: ReplicaSetId,
    next_id: u64,
}

pub fn settings(overrides: &[(&str, Value)]) -> ValueMap {
    let mut values = BTreeMap::new();
    let mut put = |name: &str, value: Value| _ = values.insert(name.to_string(), value);
    let text = |text: &str| Value::Text(text.into());
    for (index, consistency) in ["bounded", "any", "session", "fresh", "write"].into_iter().enumerate() {
        let idempotency = if index == 4 { "non_idempotent" } else { "idempotent" };
        put(&format!("replication.consistency.{index}"), text(consistency));
        put(&format!("methods.{index}.idempotency"), text(idempotency));
        put(&format!("replication.staleness_bound.{index}"), Value::Duration(ms(300)));
        put(&format!("methods.{index}.latency_objective"), Value::Duration(ms(200)));
        put(&format!("methods.{index}.idempotency_window"), Value::Duration(ms(400)));
    }
    put("replication.read_check", text("none"));
    let numbers = [
        ("methods.4.late_weight", 0.5),
        ("allowed.attempts", 6.0),
        ("rules.slow_start_initial_capacity", 0.25),
        ("rules.overload_multiple", 3.0),
    ];
    numbers.into_iter().for_each(|(name, number)| put(name, Value::Number(number)));
    let rules = [
        ("drain_grace", 100),
        ("slow_start_duration", 10_000),
        ("overload_window", 1000),
        ("poll_interval", 8000),
    ];
    rules.into_iter().for_each(|(name, span)| put(&format!("rules.{name}"), Value::Duration(ms(span))));
    put("allowed.max_retry_after", Value::Duration(ms(1000)));
    put("tick", Value::Duration(ms(1)));
    let flags = ["allowed.health_checks", "allowed.cancel", "allowed.hedging"];
    flags.into_iter().for_each(|flag| put(flag, Value::Bool(true)));
    overrides.iter().for_each(|(name, value)| put(name, value.clone()));
    ValueMap(values)
}

impl Simulation {
    /// Nodes 1 to `nodes` in one replica set. Node 1 is the primary, and the first endpoint list says so.
    pub fn new(nodes: usize, seed: u64, overrides: &[(&str, Value)]) -> Self {
        let checker = InvariantChecker::default();
        checker.0.borrow_mut().now = ms(100_000);
        checker.0.borrow_mut().values = settings(overrides);
        let router = Router::new(checker.clone(), seed, settings(overrides), ms(100_000));
        let mut simulation = Self {
            checker,
            router,
            primary: node(1),
            response_times: ResponseTimes::all(ms(10)),
            queued: None,
            in_flight: None,
            replica_set: ReplicaSetId(0),
            next_id: 0,
        };
        let list: Vec<Endpoint> =
            (1..=nodes).map(|number| simulation.endpoint(number, EndpointStatus::InService)).collect();
        simulation.update_endpoints(EndpointUpdate::CachedSnapshot, &list);
        simulation
    }

    /// What the router was notified of and what it did.
    pub fn record(&self) -> Ref<'_, Record> {
        self.checker.0.borrow()
    }

    pub fn record_mut(&self) -> RefMut<'_, Record> {
        self.checker.0.borrow_mut()
    }

    pub fn endpoint(&self, number: usize, status: EndpointStatus) -> Endpoint {
        let (node, zone) = (node(number), ZoneId(number % 2));
        let primary = node == self.primary;
        Endpoint { node, replica_set: ReplicaSetId(0), zone, machine_type: 0, primary, status, started: None }
    }

    pub fn now(&self) -> Duration {
        self.record().now
    }

    pub fn update_endpoints(&mut self, update: EndpointUpdate, list: &[Endpoint]) {
        let now = self.now();
        let is_primary = |node| node == self.primary;
        for entry in list {
            let mut record = self.record_mut();
            let only_listed_draining = record.values.is_true("rules.only_listed_draining");
            let previous = record.endpoints.insert(entry.node, entry.clone());
            let new = NodeRecord {
                was_primary: is_primary(entry.node),
                position: now - ms(1),
                ..NodeRecord::default()
            };
            let node = record.nodes.entry(entry.node).or_insert(new);
            if previous.is_some_and(|previous| entry.started > previous.started) {
                node.start_known_at = now;
            }
            let is_draining = match entry.status {
                EndpointStatus::InService => false,
                EndpointStatus::Draining => true,
                EndpointStatus::Removed => !only_listed_draining || node.draining_since.is_some(),
            };
            node.draining_since = if is_draining { node.draining_since.or(Some(now)) } else { None };
        }
        self.router.endpoints_changed(now, update, list);
    }

    /// Advances the time and fires the timers that are due on the way.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now() + span;
        loop {
            let next = self.record().timers.iter().copied().min().filter(|at| *at <= end);
            let Some(at) = next else { break };
            self.record_mut().timers.retain(|timer| *timer != at);
            let now = self.now().max(at);
            self.record_mut().now = now;
            self.router.timer_fired(now);
        }
        self.record_mut().now = end;
        for request in self.record().requests.values().filter(|request| request.client_outcome.is_none()) {
            let deadline = request.arrived + request.rpc.remaining;
            assert!(end <= deadline + ms(2), "rule 1: no final response before the deadline");
        }
    }

    pub fn arrive(&mut self, method: usize, remaining: Duration, since_write: Option<Duration>) -> RpcId {
        self.next_id += 1;
        let (id, now) = (RpcId(self.next_id), self.now());
        let session = (method == 2 || method == 4).then_some(SessionKey(7));
        let (method, replica_set) = (MethodId(method), self.replica_set);
        let rpc =
            Rpc { id, method, session, replica_set, remaining, work: None, since_write, is_retry: false };
        let is_remembered = self.record().values.text("replication.session_tokens") == "remembered";
        let commit = self.record().commit;
        let token = if is_remembered { commit } else { since_write.map(|since| now - since) };
        self.record_mut().requests.insert(id, RequestRecord::new(rpc.clone(), now, token));
        self.router.rpc_arrived(now, rpc);
        id
    }

    pub fn sent_to(&self, id: RpcId) -> Vec<NodeId> {
        self.record().requests[&id].attempts.iter().map(|attempt| attempt.node).collect()
    }

    pub fn client_outcome(&self, id: RpcId) -> Option<ClientOutcome> {
        self.record().requests[&id].client_outcome
    }

    pub fn retry_after(&self, id: RpcId) -> Duration {
        self.record().requests[&id].retry_after
    }

    /// Ends the newest attempt of the RPC that is in flight.
    pub fn end_attempt(&mut self, id: RpcId, outcome: Outcome) {
        let now = self.now();
        let succeeded = outcome == Outcome::Ok;
        let outcome = self.outcome_for_client(id, outcome);
        let mut record = self.record_mut();
        let has_stamps = record.has_stamps();
        let request = record.requests.get_mut(&id).unwrap();
        let number = request.newest_in_flight();
        let attempt = &mut request.attempts[number];
        attempt.outcome = Some(outcome);
        let node = attempt.node;
        if outcome == Outcome::Ok && request.client_outcome.is_none() {
            request.client_outcome = Some(ClientOutcome::Ok);
        }
        let rpc_finished = request.client_outcome.is_some();
        let has_response =
            succeeded || matches!(outcome, Outcome::Misrouted | Outcome::Rejected | Outcome::Error);
        let role = if node == self.primary { Role::Primary } else { Role::Replica };
        let in_even_zone = record.endpoints[&node].zone.0 == 0;
        let took = if in_even_zone { self.response_times.even_nodes } else { self.response_times.odd_nodes };
        let node_record = record.nodes.get_mut(&node).unwrap();
        if outcome == Outcome::Ok {
            node_record.successes.push(now);
        }
        // A primary keeps what it has written, whatever role it has later.
        node_record.position = if role == Role::Primary { now } else { node_record.position };
        if has_response {
            node_record.responded_as_replica = role == Role::Replica;
        }
        let position = (has_response && has_stamps).then_some(node_record.position);
        node_record.reported_position = node_record.reported_position.max(position.unwrap_or_default());
        // A write counts when its success has arrived here, even if its client already has a response or has
        // disconnected.
        if outcome == Outcome::Ok && record.requests[&id].rpc.method.0 == 4 {
            record.commit = record.commit.max(position);
        }
        drop(record);
        let role = has_response.then_some(role);
        let attempt = AttemptNumber(number as u32);
        let report = self.queued.map(|queued| LoadReport { queued: Some(queued), ..LoadReport::default() });
        let end = AttemptEnd { rpc: id, attempt, node, outcome, rpc_finished, took, role, position, report };
        self.router.attempt_ended(now, end);
    }

    /// The client disconnects. Its attempts continue.
    pub fn disconnect(&mut self, id: RpcId) {
        self.record_mut().requests.get_mut(&id).unwrap().client_outcome = Some(ClientOutcome::Disconnected);
        self.router.client_disconnected(id);
    }

    /// How a host treats a successful response: it is invalid if the router cannot prove that it is fresh.
    /// One that passes must be fresh.
    fn outcome_for_client(&self, id: RpcId, outcome: Outcome) -> Outcome {
        let record = self.record();
        let request = &record.requests[&id];
        let number = request.newest_in_flight();
        let attempt = &request.attempts[number];
        if outcome != Outcome::Ok || request.client_outcome.is_some() {
            return outcome;
        }
        let position =
            if attempt.node == self.primary { record.now } else { record.nodes[&attempt.node].position };
        let reported = record.has_stamps().then_some(position);
        if !self.router.permits_response(record.now, id, AttemptNumber(number as u32), reported) {
            return Outcome::Malformed;
        }
        assert!(
            attempt.required.is_none_or(|required| position >= required),
            "rule 5: a stale response passed"
        );
        outcome
    }

    /// Reports another router's observation of a node to the router.
    pub fn peer_observes(&mut self, observation: PeerObservation) {
        let mut record = self.record_mut();
        let node = record.nodes.get_mut(&observation.node).unwrap();
        node.observed_position = node.observed_position.max(observation.position.unwrap_or_default());
        drop(record);
        self.router.peer_observed(self.now(), observation);
    }

    /// Another router's observation, made now, of a node's position.
    pub fn observation(&self, number: usize, position: Duration) -> PeerObservation {
        PeerObservation {
            node: node(number),
            at: self.now(),
            position: Some(position),
            primary: None,
            queued: None,
            started: None,
            failed: false,
        }
    }

    /// Ends all health checks in flight. Nodes for which `is_up` is false do not respond.
    pub fn end_health_checks(&mut self, is_up: impl Fn(NodeId) -> bool) {
        let checks = std::mem::take(&mut self.record_mut().health_checks);
        for node in checks {
            let (now, primary) = (self.now(), node == self.primary);
            let report = is_up(node).then(|| {
                let mut record = self.record_mut();
                let node_record = record.nodes.get_mut(&node).unwrap();
                let position = if primary { now } else { node_record.position };
                node_record.position = position;
                node_record.reported_position = node_record.reported_position.max(position);
                let (position, primary) = (Some(position), Some(primary));
                LoadReport { position, primary, in_flight: self.in_flight, queued: self.queued }
            });
            let outcome = if report.is_some() { Outcome::Ok } else { Outcome::TimedOut };
            self.router.health_check_ended(now, node, outcome, report);
        }
    }

    pub fn set_position(&mut self, number: usize, position: Duration) {
        let mut record = self.record_mut();
        let node = record.nodes.get_mut(&node(number)).unwrap();
        node.position = node.position.max(position);
    }
}
