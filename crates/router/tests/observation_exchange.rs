//! When the decisions receive what others have observed: right before an RPC of a replica set, while RPCs of the replica set
//! are pending, and at once where it was published by name. The engine alone: no sockets, and nothing that depends on how long it takes.

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

/// Reports each node as up to date, where it is to; and records whom it was asked about.
struct TestExchange {
    clock: Clock,
    has_observations: Cell<bool>,
    asked: RefCell<Vec<NodeId>>,
}

impl ObservationExchange for TestExchange {
    fn observed(&self, _finding: LocalObservation) {}
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

fn node(group: u64, place: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], 5000 + 10 * group as u16 + place)))
}

/// Three replica sets of two replicas each, and bounded reads.
fn engine() -> (Rc<Engine>, EngineOutputs, Rc<TestExchange>) {
    let settings = json!({
        "Allowed": {"ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 6, "Probes": true},
        "Balancers": 3, "Discovery": "subscribe", "FailureDomains": ["a"], "Skus": ["m"], "StepMs": 2.0,
        "Classes": [{"Name": "recent", "GiveUpMs": 60000.0, "GoalTimeMs": 60000.0, "Value": 1.0, "Semantics": "free"}],
        "Extra": {"Checks": "none", "ClassBoundMs": [300], "NeedsByClass": ["recent"]},
        "Feedback": {"Fields": ["x0", "x1"], "Source": "answers"}, "Tariffs": {"Probe": 0.001},
    });
    let deployment = Deployment::new(quillpoint_settings::settings_from_json(&settings)).unwrap();
    let (engine, work) = Engine::new(3, &deployment);
    let listed = |group: u64, place: u16| Endpoint {
        node: node(group, place),
        replica_set: ReplicaSetId(group),
        zone: ZoneId(0),
        machine_type: 0,
        primary: false,
        status: EndpointStatus::InService,
        started: None,
    };
    let list: Vec<Endpoint> = (0..3).flat_map(|group| [listed(group, 0), listed(group, 1)]).collect();
    engine.endpoints_changed(EndpointUpdate::Snapshot, &list);
    let (clock, has_observations, asked) = (engine.clock, Cell::new(false), RefCell::default());
    let exchange = Rc::new(TestExchange { clock, has_observations, asked });
    engine.set_observation_exchange(Rc::clone(&exchange) as Rc<dyn ObservationExchange>);
    (engine, work, exchange)
}

fn statement(group: u64) -> Statement {
    let text = format!("/* id=7,c=recent,d=60000,cluster={group} */ SELECT data FROM facts WHERE code = 'a'");
    Statement::parse(text.into_bytes()).unwrap()
}

/// An RPC for a replica set that has just arrived.
fn arrive(engine: &Rc<Engine>, group: u64) -> PendingResponse {
    engine.rpc_arrived(MethodId(0), &statement(group), Instant::now(), None).unwrap()
}

fn asked(exchange: &TestExchange) -> Vec<NodeId> {
    std::mem::take(&mut *exchange.asked.borrow_mut())
}

#[test]
fn the_nodes_of_a_replica_set_are_asked_about_right_before_its_rpc_and_no_others() {
    let (engine, _work, exchange) = engine();
    exchange.has_observations.set(true);
    let owed = arrive(&engine, 1);
    assert_eq!(asked(&exchange), [node(1, 0), node(1, 1)]);
    let Some(RpcCommand::Attempt(attempt)) = owed.try_next_command() else {
        panic!("it is sent by the feed at once")
    };
    assert!([node(1, 0), node(1, 1)].contains(&attempt.node));
    // A replica set that is not known has no nodes.
    arrive(&engine, 9);
    assert_eq!(asked(&exchange), []);
}

#[test]
fn a_pending_rpc_goes_on_when_a_digest_arrives_and_nothing_else_is_asked_about() {
    let (engine, _work, exchange) = engine();
    engine.digest_received();
    assert_eq!(asked(&exchange), [], "nothing is pending");
    let owed = arrive(&engine, 2);
    assert!(owed.try_next_command().is_none(), "nobody says that any replica is up to date");
    asked(&exchange);
    engine.digest_received();
    assert_eq!(asked(&exchange), [node(2, 0), node(2, 1)]);
    assert!(owed.try_next_command().is_none());
    exchange.has_observations.set(true);
    engine.digest_received();
    assert!(matches!(owed.try_next_command(), Some(RpcCommand::Attempt(_))));
    // One that has ended is not pending any more.
    drop(arrive(&engine, 0));
    asked(&exchange);
    engine.digest_received();
    assert_eq!(asked(&exchange), [node(2, 0), node(2, 1)], "the one that is out may need another attempt");
}

#[test]
fn what_changes_by_name_is_received_at_once() {
    let (engine, _work, exchange) = engine();
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
    assert_eq!(asked(&exchange), [], "nobody needs to ask for it");
}

#[test]
fn an_unverified_position_lets_a_read_try_and_its_answer_decides() {
    let (engine, _work, exchange) = engine();
    exchange.has_observations.set(true);
    let owed = arrive(&engine, 1);
    let Some(RpcCommand::Attempt(attempt)) = owed.try_next_command() else {
        panic!("it is sent by the feed")
    };
    let other = if attempt.node == node(1, 0) { node(1, 1) } else { node(1, 0) };
    assert!(engine.permits_attempt(&attempt));
    let stale = engine.clock.now() - Duration::from_secs(5);
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, heard(Some(stale)));
    // No answer to the client: another replica is tried.
    let Some(RpcCommand::Attempt(attempt)) = owed.try_next_command() else { panic!("a further attempt") };
    assert_eq!(attempt.node, other);
    assert!(engine.permits_attempt(&attempt));
    // An answer that shows no position at all proves nothing either.
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, heard(None));
    assert!(!matches!(owed.try_next_command(), Some(RpcCommand::Answer { .. })));
    // One that shows what is needed goes to the client.
    let owed = arrive(&engine, 0);
    let Some(RpcCommand::Attempt(attempt)) = owed.try_next_command() else {
        panic!("it is sent by the feed")
    };
    assert!(engine.permits_attempt(&attempt));
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, heard(Some(engine.clock.now())));
    assert!(matches!(owed.try_next_command(), Some(RpcCommand::Answer { .. })));
}

fn heard(position: Option<Duration>) -> quillpoint_router::engine::NodeResponse {
    let answer = quillpoint_testbed::store::row(b"v");
    quillpoint_router::engine::NodeResponse { answer: Some(answer), role: None, position, report: None }
}
