//! The host of a simulated router: it records what the router was told and did, and checks the five rules at each call.
//! It shares no code with the attempt check of the router.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use quillpoint::host::*;

use super::ms;

/// How an RPC ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
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
    /// The position that its answer must at least stand for, unless the primary is excused.
    pub required: Option<Duration>,
}

pub struct RequestRecord {
    pub rpc: Rpc,
    pub arrived: Duration,
    pub token: Option<Duration>,
    pub attempts: Vec<AttemptRecord>,
    pub answer: Option<FinalAnswer>,
    pub retry_after: Duration,
}

impl RequestRecord {
    pub fn new(rpc: Rpc, arrived: Duration, token: Option<Duration>) -> Self {
        Self { rpc, arrived, token, attempts: vec![], answer: None, retry_after: ms(0) }
    }

    pub fn newest_in_flight(&self) -> usize {
        let newest = self.attempts.iter().rposition(|attempt| attempt.outcome.is_none());
        newest.expect("an attempt is in flight")
    }
}

#[derive(Default)]
pub struct NodeRecord {
    pub draining_since: Option<Duration>,
    pub start_told_at: Duration,
    /// The highest position that it has told itself.
    pub told_position: Duration,
    /// The highest position that other routers have observed, true or not.
    pub observed_position: Duration,
    pub answered_as_replica: bool,
    pub was_primary: bool,
    pub position: Duration,
    pub sends: Vec<Duration>,
    pub oks: Vec<Duration>,
}

/// What a router was told and did.
#[derive(Default)]
pub struct Record {
    pub now: Duration,
    pub values: ValueMap,
    pub nodes: BTreeMap<NodeId, NodeRecord>,
    pub endpoints: BTreeMap<NodeId, Endpoint>,
    pub requests: BTreeMap<RpcId, RequestRecord>,
    /// The nodes that are being checked.
    pub health_checks: Vec<NodeId>,
    pub closed_idle: Vec<NodeId>,
    pub timers: Vec<Duration>,
    pub polls: usize,
    /// The last commit that the one session was told.
    pub commit: Option<Duration>,
}

impl Record {
    pub fn text(&self, name: &str, place: usize) -> &str {
        self.values.text(&name.replace('#', &place.to_string()))
    }

    /// Whether answers tell positions.
    pub fn has_stamps(&self) -> bool {
        !self.values.is_false("replication.stamps")
    }

    /// Returns the position that the answer must stand for.
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
        assert!(request.answer.is_none(), "rule 1: sent after the final answer");
        assert!(
            self.now < request.arrived + request.rpc.remaining,
            "rule 1: sent after the client's deadline"
        );
        assert_eq!(self.endpoints[&to].replica_set, request.rpc.replica_set, "sent to another replica set");
        assert!(request.attempts.len() < self.values.number("allowed.attempts").unwrap() as usize);
        let is_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(!is_in_flight || self.values.is_true("allowed.hedging"), "two attempts at once");
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
                "keyed" => assert!(in_scope && self.now <= attempt.sent + window, "rule 2: keyed"),
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
        // A warm node has carried so many in its best second; a few more are allowed for chance.
        let in_a_second = |times: &[Duration], end: Duration| {
            times.iter().filter(|at| **at <= end && **at + ms(1000) > end).count() as f64
        };
        let best = |oks: &Vec<Duration>| oks.iter().map(|at| in_a_second(oks, *at)).fold(0.0, f64::max);
        let carried = self.nodes.values().map(|node| best(&node.oks)).fold(0.0, f64::max);
        let since_start = &node.sends[node.sends.partition_point(|at| *at < node.start_told_at)..];
        let sent = in_a_second(since_start, self.now) + 1.0;
        assert!(sent <= 5.0 + 3.0 * progress * carried, "rule 4: {sent} at {progress}, warm {carried}");
    }

    fn check_freshness(&self, id: RpcId, to: NodeId) -> Option<Duration> {
        let (request, node) = (&self.requests[&id], &self.nodes[&to]);
        let method = request.rpc.method.0;
        let excused = node.was_primary && !node.answered_as_replica;
        let required = match self.text("replication.consistency.#", method) {
            "bounded" => {
                self.now - self.values.duration(&format!("replication.staleness_bound.{method}")).unwrap()
            }
            "session" => request.token.unwrap_or_default(),
            "fresh" => request.arrived,
            _ => Duration::ZERO,
        };
        let nodes_check = self.values.text("replication.read_check") != "none";
        let known = node.told_position.max(node.observed_position);
        assert!(nodes_check || excused || known >= required, "rule 5: {required:?} by method {method}");
        (!nodes_check && !excused).then_some(required)
    }

    fn answer(&mut self, id: RpcId, answer: FinalAnswer, retry_after: Duration) {
        let text = |name| self.text(name, self.requests[&id].rpc.method.0);
        let is_harmless = match text("methods.#.idempotency") {
            "keyed" => text("methods.#.idempotency_scope") == "all",
            idempotency => idempotency == "idempotent",
        };
        let request = self.requests.get_mut(&id).unwrap();
        assert!(request.answer.is_none(), "rule 1: a second final answer");
        assert!(self.now <= request.arrived + request.rpc.remaining, "rule 1: a late final answer");
        let may_have_run =
            request.attempts.iter().any(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran));
        assert!(
            answer == FinalAnswer::Aborted || is_harmless || !may_have_run,
            "rule 2: rejected though it may have run"
        );
        request.answer = Some(answer);
        request.retry_after = retry_after;
    }
}

/// The host that checks.
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
        self.0.borrow_mut().answer(rpc, FinalAnswer::Rejected, retry_after);
    }
    fn abort(&mut self, rpc: RpcId) {
        self.0.borrow_mut().answer(rpc, FinalAnswer::Aborted, Duration::ZERO);
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
