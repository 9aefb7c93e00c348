//! When the module is told what others tell: right before an RPC of a group, while RPCs of the group are held, and at
//! once where it is said by name. The engine alone: no sockets, and nothing that depends on how long it takes.

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
    Clock, Command, Engine, EngineOutputs, LocalObservation, ObservationExchange, PendingResponse,
};
use quillpoint_router::statement::Statement;
use serde_json::json;

/// Tells of each node, where it is to, that it is up to date; and keeps whom it was asked about.
struct Teller {
    clock: Clock,
    has_news: Cell<bool>,
    asked: RefCell<Vec<NodeId>>,
}

impl ObservationExchange for Teller {
    fn observed(&self, _finding: LocalObservation) {}
    fn endpoints_changed(&self) {}
    fn permits_health_check(&self, _node: NodeId) -> bool {
        false
    }
    fn latest_observation(&self, node: NodeId) -> Option<PeerObservation> {
        self.asked.borrow_mut().push(node);
        let now = self.clock.now();
        self.has_news.get().then_some(PeerObservation {
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

/// Three groups of two replicas each, and bounded reads.
fn engine() -> (Rc<Engine>, EngineOutputs, Rc<Teller>) {
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
        kind: 0,
        primary: false,
        status: EndpointStatus::InService,
        started: None,
    };
    let list: Vec<Endpoint> = (0..3).flat_map(|group| [listed(group, 0), listed(group, 1)]).collect();
    engine.endpoints_changed(EndpointUpdate::Snapshot, &list);
    let (clock, has_news, asked) = (engine.clock, Cell::new(false), RefCell::default());
    let teller = Rc::new(Teller { clock, has_news, asked });
    engine.set_observation_exchange(Rc::clone(&teller) as Rc<dyn ObservationExchange>);
    (engine, work, teller)
}

fn statement(group: u64) -> Statement {
    let text = format!("/* id=7,c=recent,d=60000,cluster={group} */ SELECT data FROM facts WHERE code = 'a'");
    Statement::parse(text.into_bytes()).unwrap()
}

/// An RPC for a group that has just come.
fn arrive(engine: &Rc<Engine>, group: u64) -> PendingResponse {
    engine.rpc_arrived(MethodId(0), &statement(group), Instant::now(), None).unwrap()
}

fn asked(teller: &Teller) -> Vec<NodeId> {
    std::mem::take(&mut *teller.asked.borrow_mut())
}

#[test]
fn the_nodes_of_a_group_are_told_of_right_before_its_rpc_and_no_others() {
    let (engine, _work, teller) = engine();
    teller.has_news.set(true);
    let owed = arrive(&engine, 1);
    assert_eq!(asked(&teller), [node(1, 0), node(1, 1)]);
    let Some(Command::Attempt(attempt)) = owed.try_next_command() else {
        panic!("it is sent on their word at once")
    };
    assert!([node(1, 0), node(1, 1)].contains(&attempt.node));
    // A group that is not known has no nodes.
    arrive(&engine, 9);
    assert_eq!(asked(&teller), []);
}

#[test]
fn what_is_held_goes_on_when_a_digest_comes_and_nothing_else_is_asked() {
    let (engine, _work, teller) = engine();
    engine.refreshed();
    assert_eq!(asked(&teller), [], "nothing is held");
    let owed = arrive(&engine, 2);
    assert!(owed.try_next_command().is_none(), "nobody says that any replica is up to date");
    asked(&teller);
    engine.refreshed();
    assert_eq!(asked(&teller), [node(2, 0), node(2, 1)]);
    assert!(owed.try_next_command().is_none());
    teller.has_news.set(true);
    engine.refreshed();
    assert!(matches!(owed.try_next_command(), Some(Command::Attempt(_))));
    // One that has ended is not held any more.
    drop(arrive(&engine, 0));
    asked(&teller);
    engine.refreshed();
    assert_eq!(asked(&teller), [node(2, 0), node(2, 1)], "the one that is out may need another attempt");
}

#[test]
fn what_changes_by_name_is_told_at_once() {
    let (engine, _work, teller) = engine();
    let at = engine.clock.now();
    let word = FeedObservation {
        node: node(0, 1).0,
        seen_at: at,
        position: None,
        primary: None,
        started: None,
        failed: true,
    };
    engine.learnt(word);
    assert!(engine.is_ejected(node(0, 1)) && !engine.is_ejected(node(0, 0)));
    assert_eq!(asked(&teller), [], "nobody needs to ask for it");
}

#[test]
fn a_position_that_is_told_lets_a_read_try_and_its_answer_decides() {
    let (engine, _work, teller) = engine();
    teller.has_news.set(true);
    let owed = arrive(&engine, 1);
    let Some(Command::Attempt(attempt)) = owed.try_next_command() else { panic!("it is sent on their word") };
    let other = if attempt.node == node(1, 0) { node(1, 1) } else { node(1, 0) };
    assert!(engine.permits_attempt(&attempt));
    let stale = engine.clock.now() - Duration::from_secs(5);
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, heard(Some(stale)));
    // No answer to the client: another replica is tried.
    let Some(Command::Attempt(attempt)) = owed.try_next_command() else { panic!("a further attempt") };
    assert_eq!(attempt.node, other);
    assert!(engine.permits_attempt(&attempt));
    // An answer that shows no position at all proves nothing either.
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, heard(None));
    assert!(!matches!(owed.try_next_command(), Some(Command::Answer { .. })));
    // One that shows what is needed goes to the client.
    let owed = arrive(&engine, 0);
    let Some(Command::Attempt(attempt)) = owed.try_next_command() else { panic!("it is sent on their word") };
    assert!(engine.permits_attempt(&attempt));
    engine.attempt_ended(attempt, quillpoint::host::Outcome::Ok, heard(Some(engine.clock.now())));
    assert!(matches!(owed.try_next_command(), Some(Command::Answer { .. })));
}

fn heard(position: Option<Duration>) -> quillpoint_router::engine::NodeResponse {
    let answer = quillpoint_testbed::store::row(b"v");
    quillpoint_router::engine::NodeResponse { answer: Some(answer), role: None, position, report: None }
}
