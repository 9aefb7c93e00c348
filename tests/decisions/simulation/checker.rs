//! The host of a simulated router. It records what the router was notified of and what it did, and checks the
//! five rules at each call. It shares no code with the router's own attempt check.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use quillpoint::host::*;

use super::ms;

/// How an RPC ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    Ok,
    Rejected,
    Aborted,
    Disconnected,
}

#[derive(Clone)]
pub struct AttemptRecord {
    pub node: NodeId,
    pub sent: Duration,
    pub outcome: Option<Outcome>,
    /// The position that the response must have reached at least. None if nodes check reads themselves, or if
    /// the node is exempt as the primary.
    pub required: Option<Duration>,
}

pub struct RequestRecord {
    pub rpc: Rpc,
    pub arrived: Duration,
    pub token: Option<Duration>,
    pub attempts: Vec<AttemptRecord>,
    pub client_outcome: Option<ClientOutcome>,
    pub retry_after: Duration,
}

impl RequestRecord {
    pub fn new(rpc: Rpc, arrived: Duration, token: Option<Duration>) -> Self {
        Self { rpc, arrived, token, attempts: vec![], client_outcome: None, retry_after: ms(0) }
    }

    pub fn newest_in_flight(&self) -> usize {
        let newest = self.attempts.iter().rposition(|attempt| attempt.outcome.is_none());
        newest.expect("the RPC should have an attempt in flight")
    }
}

#[derive(Default)]
pub struct NodeRecord {
    pub draining_since: Option<Duration>,
    pub start_known_at: Duration,
    /// The highest position that the node has reported itself.
    pub reported_position: Duration,
    /// The highest position that other routers have observed, whether correct or not.
    pub observed_position: Duration,
    pub responded_as_replica: bool,
    pub was_primary: bool,
    pub position: Duration,
    pub sends: Vec<Duration>,
    pub successes: Vec<Duration>,
}

/// What a router was notified of and what it did.
#[derive(Default)]
pub struct Record {
    pub now: Duration,
    pub values: ValueMap,
    pub nodes: BTreeMap<NodeId, NodeRecord>,
    pub endpoints: BTreeMap<NodeId, Endpoint>,
    pub requests: BTreeMap<RpcId, RequestRecord>,
    /// The nodes with a health check in flight.
    pub health_checks: Vec<NodeId>,
    pub closed_idle: Vec<NodeId>,
    pub timers: Vec<Duration>,
    pub polls: usize,
    /// The last commit that was reported to the only session.
    pub commit: Option<Duration>,
}

impl Record {
    pub fn text(&self, name: &str, index: usize) -> &str {
        self.values.text(&name.replace('#', &index.to_string()))
    }

    /// Whether responses contain positions.
    pub fn has_stamps(&self) -> bool {
        !self.values.is_false("replication.stamps")
    }

    /// Returns the position that the response must have reached.
    fn check_send(&self, id: RpcId, to: NodeId) -> Option<Duration> {
        self.check_request(id, to);
        self.check_repeat(id, to);
        let grace = self.values.duration("rules.drain_grace").unwrap();
        let draining_since = self.nodes[&to].draining_since;
        assert!(draining_since.is_none_or(|at| self.now <= at + grace), "rule 3: sent to a draining node");
        self.check_slow_start(to);
        self.check_freshness(id, to)
    }

    fn check_request(&self, id: RpcId, to: NodeId) {
        let request = &self.requests[&id];
        assert!(request.client_outcome.is_none(), "rule 1: sent after the final response");
        assert!(
            self.now < request.arrived + request.rpc.remaining,
            "rule 1: sent after the client's deadline"
        );
        assert_eq!(
            self.endpoints[&to].replica_set, request.rpc.replica_set,
            "rule 1: sent to another replica set"
        );
        assert!(request.attempts.len() < self.values.number("allowed.attempts").unwrap() as usize);
        let is_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(
            !is_in_flight || self.values.is_true("allowed.hedging"),
            "rule 2: two attempts in flight without hedging"
        );
    }

    fn check_repeat(&self, id: RpcId, to: NodeId) {
        let request = &self.requests[&id];
        let (endpoint, method) = (&self.endpoints[&to], request.rpc.method.0);
        let window = self.values.duration(&format!("methods.{method}.idempotency_window")).unwrap();
        let may_have_run = |attempt: &&AttemptRecord| !attempt.outcome.is_some_and(Outcome::never_ran);
        for attempt in request.attempts.iter().filter(may_have_run) {
            let earlier = &self.endpoints[&attempt.node];
            let in_scope = match self.text("methods.#.idempotency_scope", method) {
                "all" => true,
                "zone" => earlier.zone == endpoint.zone,
                _ => earlier.replica_set == endpoint.replica_set,
            };
            match self.text("methods.#.idempotency", method) {
                "idempotent" => {}
                "keyed" => assert!(
                    in_scope && self.now <= attempt.sent + window,
                    "rule 2: keyed RPC repeated outside its scope or window"
                ),
                _ => panic!("rule 2: a non-idempotent RPC that may have run was sent again"),
            }
        }
    }

    fn check_slow_start(&self, to: NodeId) {
        let (node, endpoint) = (&self.nodes[&to], &self.endpoints[&to]);
        let age = self.now.saturating_sub(endpoint.started.unwrap_or_default()).as_secs_f64();
        let progress = 0.25 + 0.75 * age / 10.0;
        if endpoint.started.is_none() || progress >= 1.0 {
            return;
        }
        // `carried` is what a warm node carried in its best second. A few more are allowed for chance.
        let per_second = |times: &[Duration], end: Duration| {
            times.iter().filter(|at| **at <= end && **at + ms(1000) > end).count() as f64
        };
        let best = |times: &Vec<Duration>| times.iter().map(|at| per_second(times, *at)).fold(0.0, f64::max);
        let carried = self.nodes.values().map(|node| best(&node.successes)).fold(0.0, f64::max);
        let since_start = &node.sends[node.sends.partition_point(|at| *at < node.start_known_at)..];
        let sent = per_second(since_start, self.now) + 1.0;
        assert!(
            sent <= 5.0 + 3.0 * progress * carried,
            "rule 4: {sent} sent in a second at {progress} of capacity, a warm node carries {carried}"
        );
    }

    fn check_freshness(&self, id: RpcId, to: NodeId) -> Option<Duration> {
        let (request, node) = (&self.requests[&id], &self.nodes[&to]);
        let method = request.rpc.method.0;
        let is_exempt = node.was_primary && !node.responded_as_replica;
        let required = match self.text("replication.consistency.#", method) {
            "bounded" => {
                self.now - self.values.duration(&format!("replication.staleness_bound.{method}")).unwrap()
            }
            "session" => request.token.unwrap_or_default(),
            "fresh" => request.arrived,
            _ => Duration::ZERO,
        };
        let nodes_check = self.values.text("replication.read_check") != "none";
        let known = node.reported_position.max(node.observed_position);
        assert!(
            nodes_check || is_exempt || known >= required,
            "rule 5: method {method} requires position {required:?}, {known:?} is known"
        );
        (!nodes_check && !is_exempt).then_some(required)
    }

    fn record_final_response(&mut self, id: RpcId, outcome: ClientOutcome, retry_after: Duration) {
        let text = |name| self.text(name, self.requests[&id].rpc.method.0);
        let is_harmless = match text("methods.#.idempotency") {
            "keyed" => text("methods.#.idempotency_scope") == "all",
            idempotency => idempotency == "idempotent",
        };
        let request = self.requests.get_mut(&id).unwrap();
        assert!(request.client_outcome.is_none(), "rule 1: a second final response");
        assert!(
            self.now <= request.arrived + request.rpc.remaining,
            "rule 1: final response after the client's deadline"
        );
        let may_have_run =
            request.attempts.iter().any(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran));
        assert!(
            outcome == ClientOutcome::Aborted || is_harmless || !may_have_run,
            "rule 2: rejected though it may have run"
        );
        request.client_outcome = Some(outcome);
        request.retry_after = retry_after;
    }
}

/// A host that checks the rules at each call.
#[derive(Clone, Default)]
pub struct InvariantChecker(pub Rc<RefCell<Record>>);

impl Host for InvariantChecker {
    fn start_attempt(&mut self, rpc: RpcId, node: NodeId, _: Duration) {
        let mut record = self.0.borrow_mut();
        let required = record.check_send(rpc, node);
        let now = record.now;
        record.nodes.get_mut(&node).unwrap().sends.push(now);
        let request = record.requests.get_mut(&rpc).unwrap();
        request.attempts.push(AttemptRecord { node, sent: now, outcome: None, required });
    }
    fn reject(&mut self, rpc: RpcId, retry_after: Duration) {
        self.0.borrow_mut().record_final_response(rpc, ClientOutcome::Rejected, retry_after);
    }
    fn abort(&mut self, rpc: RpcId) {
        self.0.borrow_mut().record_final_response(rpc, ClientOutcome::Aborted, Duration::ZERO);
    }
    fn start_health_check(&mut self, node: NodeId) {
        let mut record = self.0.borrow_mut();
        assert!(!record.health_checks.contains(&node), "two health checks in flight at one node");
        record.health_checks.push(node);
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.0.borrow_mut().closed_idle.push(node);
    }
    fn watch_endpoints(&mut self) {
        self.0.borrow_mut().polls += 1;
    }
    fn set_timer(&mut self, after: Duration) {
        let mut record = self.0.borrow_mut();
        let at = record.now + after;
        record.timers.push(at);
    }
    fn log(&mut self, _: &str) {}
}
