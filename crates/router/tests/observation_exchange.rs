//! When the decision module receives observations made by other processes: right before an RPC for the
//! replica set, when a digest arrives while RPCs for the replica set are pending, and immediately if the feed
//! publishes a change of one node. Fetching them at any other time would cost work for every node; fetching
//! them later would delay RPCs.
//!
//! Uses the engine alone, without sockets, and depends on no timing.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint::host::{
    Endpoint, EndpointStatus, EndpointUpdate, MethodId, NodeId, PeerObservation, ReplicaSetId, ZoneId,
};
use quillpoint_control_plane::ControlHost;
use quillpoint_observation_feed::FeedObservation;
use quillpoint_router::deployment::Deployment;
use quillpoint_router::engine::{
    Clock, Engine, EngineOutputs, LocalObservation, ObservationExchange, PendingResponse, RpcCommand,
};
use quillpoint_router::statement::Statement;
use serde_json::json;

/// An exchange that reports every node as up to date once `has_observations` is set, and records the nodes
/// that the engine asks about.
struct TestExchange {
    clock: Clock,
    has_observations: Cell<bool>,
    asked: RefCell<Vec<NodeId>>,
}

impl ObservationExchange for TestExchange {
    fn observed(&self, _observation: LocalObservation) {}
    fn endpoints_changed(&self) {}
    fn permits_health_check(&self, _node: NodeId) -> bool {
        false
    }
    fn latest_observation(&self, node: NodeId) -> Option<PeerObservation> {
        self.asked.borrow_mut().push(node);
        let now = self.clock.now();
        self.has_observations.get().then_some(PeerObservation {
            node,
            at: now,
            position: Some(now),
            primary: Some(false),
            queued: None,
            started: None,
            failed: false,
        })
    }
}

fn node(replica_set: u64, index: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], 5000 + 10 * replica_set as u16 + index)))
}

/// An engine with three replica sets of two replicas each, and bounded reads.
fn engine() -> (Rc<Engine>, EngineOutputs, Rc<TestExchange>) {
    let settings = json!({
        "Allowed": {"ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 6, "Probes": true},
        "Balancers": 3, "Discovery": "subscribe", "FailureDomains": ["a"], "Skus": ["m"], "StepMs": 2.0,
        "Classes": [{"Name": "recent", "GiveUpMs": 60000.0, "GoalTimeMs": 60000.0, "Value": 1.0, "Semantics": "free"}],
        "Extra": {"Checks": "none", "ClassBoundMs": [300], "NeedsByClass": ["recent"]},
        "Feedback": {"Fields": ["x0", "x1"], "Source": "answers"}, "Tariffs": {"Probe": 0.001},
    });
    let deployment = Deployment::new(quillpoint_settings::settings_from_json(&settings)).unwrap();
    let (engine, outputs) = Engine::new(3, &deployment);
    let endpoint = |replica_set: u64, index: u16| Endpoint {
        node: node(replica_set, index),
        replica_set: ReplicaSetId(replica_set),
        zone: ZoneId(0),
        machine_type: 0,
        primary: false,
        status: EndpointStatus::InService,
        started: None,
    };
    let list: Vec<Endpoint> =
        (0..3).flat_map(|replica_set| [endpoint(replica_set, 0), endpoint(replica_set, 1)]).collect();
    engine.endpoints_changed(EndpointUpdate::Snapshot, &list);
    let (clock, has_observations, asked) = (engine.clock, Cell::new(false), RefCell::default());
    let exchange = Rc::new(TestExchange { clock, has_observations, asked });
    engine.set_observation_exchange(Rc::clone(&exchange) as Rc<dyn ObservationExchange>);
    (engine, outputs, exchange)
}

fn statement(replica_set: u64) -> Statement {
    let text =
        format!("/* id=7,c=recent,d=60000,cluster={replica_set} */ SELECT data FROM facts WHERE code = 'a'");
    Statement::parse(text.into_bytes()).unwrap()
}

/// Starts an RPC for a replica set.
fn arrive(engine: &Rc<Engine>, replica_set: u64) -> PendingResponse {
    engine.rpc_arrived(MethodId(0), &statement(replica_set), Instant::now(), None).unwrap()
}

fn asked(exchange: &TestExchange) -> Vec<NodeId> {
    std::mem::take(&mut *exchange.asked.borrow_mut())
}

#[test]
fn an_arriving_rpc_fetches_observations_of_its_replica_set_only() {
    let (engine, _outputs, exchange) = engine();
    exchange.has_observations.set(true);
    let pending = arrive(&engine, 1);
    assert_eq!(asked(&exchange), [node(1, 0), node(1, 1)]);
    let Some(RpcCommand::Attempt(attempt)) = pending.try_next_command() else {
        panic!("expected an attempt at once, based on the observations of others")
    };
    assert!([node(1, 0), node(1, 1)].contains(&attempt.node));
    // An unknown replica set has no nodes.
    arrive(&engine, 9);
    assert_eq!(asked(&exchange), []);
}

#[test]
fn a_digest_fetches_observations_for_pending_rpcs_only_and_lets_them_proceed() {
    let (engine, _outputs, exchange) = engine();
    engine.digest_received();
    assert_eq!(asked(&exchange), [], "no RPC is pending");
    let pending = arrive(&engine, 2);
    assert!(pending.try_next_command().is_none(), "no replica is known to be up to date");
    asked(&exchange);
    engine.digest_received();
    assert_eq!(asked(&exchange), [node(2, 0), node(2, 1)]);
    assert!(pending.try_next_command().is_none());
    exchange.has_observations.set(true);
    engine.digest_received();
    assert!(matches!(pending.try_next_command(), Some(RpcCommand::Attempt(_))));
    // An RPC that has ended is no longer pending.
    drop(arrive(&engine, 0));
    asked(&exchange);
    engine.digest_received();
    assert_eq!(
        asked(&exchange),
        [node(2, 0), node(2, 1)],
        "the RPC with an attempt in flight may need another one"
    );
}

#[test]
fn a_change_of_a_single_node_is_received_immediately() {
    let (engine, _outputs, exchange) = engine();
    let at = engine.clock.now();
    let observation = FeedObservation {
        node: node(0, 1).0,
        seen_at: at,
        position: None,
        primary: None,
        started: None,
        failed: true,
    };
    engine.feed_observation_received(observation);
    assert!(engine.is_ejected(node(0, 1)) && !engine.is_ejected(node(0, 0)));
    assert_eq!(asked(&exchange), [], "the change is received without fetching");
}

#[test]
fn a_read_sent_on_an_unverified_position_succeeds_only_if_the_answer_confirms_it() {
    let (engine, _outputs, exchange) = engine();
    exchange.has_observations.set(true);
    let pending = arrive(&engine, 1);
    let Some(RpcCommand::Attempt(attempt)) = pending.try_next_command() else {
        panic!("expected an attempt, based on the observations of others")
    };
    let other = if attempt.node == node(1, 0) { node(1, 1) } else { node(1, 0) };
    assert!(engine.permits_attempt(&attempt));
    let stale = engine.clock.now() - Duration::from_secs(5);
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, node_response(Some(stale)));
    // The answer is stale: it does not reach the client, and another replica is tried.
    let Some(RpcCommand::Attempt(attempt)) = pending.try_next_command() else {
        panic!("expected an attempt at the other replica")
    };
    assert_eq!(attempt.node, other);
    assert!(engine.permits_attempt(&attempt));
    // An answer without a position does not confirm anything either.
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, node_response(None));
    assert!(!matches!(pending.try_next_command(), Some(RpcCommand::Answer { .. })));
    // An answer with a recent position reaches the client.
    let pending = arrive(&engine, 0);
    let Some(RpcCommand::Attempt(attempt)) = pending.try_next_command() else {
        panic!("expected an attempt, based on the observations of others")
    };
    assert!(engine.permits_attempt(&attempt));
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, node_response(Some(engine.clock.now())));
    assert!(matches!(pending.try_next_command(), Some(RpcCommand::Answer { .. })));
}

fn node_response(position: Option<Duration>) -> quillpoint_router::engine::NodeResponse {
    let answer = quillpoint_testbed::replica_set::single_value_result(b"v");
    quillpoint_router::engine::NodeResponse { answer: Some(answer), position, ..Default::default() }
}
