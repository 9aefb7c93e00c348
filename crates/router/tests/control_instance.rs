//! A control instance that also serves RPCs: its decision module receives the observations of other instances
//! when one of its own RPCs needs them. Guards against RPCs that wait although another instance knows a node
//! to be up to date. Gossip arrives over a socket; no other processes are involved.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use quillpoint::host::{Endpoint, EndpointStatus, EndpointUpdate, MethodId, NodeId, ReplicaSetId, ZoneId};
use quillpoint_control_plane::{ControlHost, FleetMember, MemberConfig, PublisherConfig, PublisherService};
use quillpoint_datagram::Sealer;
use quillpoint_datagram::keys::Keyring;
use quillpoint_membership::ids::TaskKind;
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::TaskParams;
use quillpoint_membership::{
    FleetParams, GossipBody, GossipMessage, Incarnation, MemberRecord, MemberState, MemberVersion,
    Observation, PeerName,
};
use quillpoint_observation_feed::publisher;
use quillpoint_router::control_instance::ControlInstanceRuntime;
use quillpoint_router::deployment::Deployment;
use quillpoint_router::engine::{Engine, EngineOutputs, ObservationExchange, PendingResponse, RpcCommand};
use quillpoint_router::statement::Statement;
use serde_json::json;

/// Timeout for events that are expected to happen: far longer than any of them takes.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

fn local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn keys() -> Keyring {
    Keyring::parse(&"7e".repeat(32)).unwrap()
}

fn node(index: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], 5000 + index)))
}

/// A control instance in front of a replica set with two replicas, and the socket of another instance.
struct TestCluster {
    engine: Rc<Engine>,
    instance: Rc<ControlInstanceRuntime>,
    member: Rc<FleetMember>,
    other: UdpSocket,
    sealer: Cell<Sealer>,
    _outputs: EngineOutputs,
}

impl TestCluster {
    fn new() -> Self {
        let settings = json!({
            "Allowed": {"ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 6, "Probes": true},
            "Balancers": 3, "Discovery": "subscribe", "FailureDomains": ["a"], "Skus": ["m"], "StepMs": 2.0,
            "Classes": [{"Name": "recent", "GiveUpMs": 60000.0, "GoalTimeMs": 60000.0, "Value": 1.0, "Semantics": "free"}],
            "Extra": {"Checks": "none", "ClassBoundMs": [5000], "NeedsByClass": ["recent"]},
            "Feedback": {"Fields": ["x0", "x1"], "Source": "answers"}, "Tariffs": {"Probe": 0.001},
        });
        let deployment = Deployment::new(quillpoint_settings::settings_from_json(&settings)).unwrap();
        let (engine, outputs) = Engine::new(3, &deployment);
        let endpoint = |index| Endpoint {
            node: node(index),
            replica_set: ReplicaSetId(0),
            zone: ZoneId(0),
            machine_type: 0,
            primary: false,
            status: EndpointStatus::InService,
            started: None,
        };
        engine.endpoints_changed(EndpointUpdate::Snapshot, &[endpoint(0), endpoint(1)]);
        let period = Duration::from_secs(60);
        let (kind, max_task_duration, priority) = (TaskKind(0), Duration::from_secs(1), Priority(0));
        let health_check_params = TaskParams {
            kind,
            period,
            takeover_delay: period,
            min_interval: period,
            max_duration: max_task_duration,
            priority,
            cost: 1.0,
        };
        let fleet_params = FleetParams {
            health_check: health_check_params,
            work_rate: 100.0,
            work_burst: 100.0,
            gossip_bytes_per_second: 1e6,
            budgets_grow_with_nodes: true,
        };
        let name = PeerName::new("c1").unwrap();
        let params = publisher::PublisherParams {
            health_check_period: period,
            digest_interval: Duration::from_millis(100),
            snapshot_bytes_per_second: 1e6,
            max_subscribers: 10,
        };
        let publisher_config = PublisherConfig {
            name: name.clone(),
            listen: local_address(),
            keys: keys(),
            params,
            max_datagrams_per_second: 20_000,
        };
        let publisher =
            PublisherService::new(publisher_config, Rc::clone(&engine) as Rc<dyn ControlHost>, 1).unwrap();
        let instance = ControlInstanceRuntime::new(Rc::clone(&engine), publisher);
        let (listen, advertise, seeds, max_datagrams_per_second) =
            (local_address(), local_address(), Vec::new(), 20_000);
        let member_config = MemberConfig {
            name,
            listen,
            advertise,
            zone: 0,
            weight: 1,
            keys: keys(),
            seeds,
            fleet_params,
            max_datagrams_per_second,
        };
        let member = FleetMember::new(member_config, Rc::clone(&instance) as Rc<dyn ControlHost>, 1).unwrap();
        instance.set_fleet_member(Rc::clone(&member));
        engine.set_observation_exchange(Rc::clone(&instance) as Rc<dyn ObservationExchange>);
        let (other, sealer) = (UdpSocket::bind(local_address()).unwrap(), Cell::default());
        Self { engine, instance, member, other, sealer, _outputs: outputs }
    }

    /// Another instance, named `by`, reports that it has just reached the node, or failed to. Returns once
    /// the report has been received.
    fn receive_from(&self, by: &str, observed: NodeId, failed: bool) {
        let own_record = self.member.fleet().members().own_record().clone();
        let now = self.engine.clock.now();
        let observation = Observation {
            node: observed.0,
            age: Duration::ZERO,
            position: (!failed).then_some(now - Duration::from_millis(10)),
            primary: (!failed).then_some(false),
            waiting: None,
            started: None,
            failed,
        };
        let version = MemberVersion { incarnation: Incarnation(5), revision: 0 };
        let (name, address) = (PeerName::new(by).unwrap(), self.other.local_addr().unwrap());
        let from = MemberRecord { name, version, address, zone: 0, weight: 1, state: MemberState::Up };
        let message =
            GossipMessage { from, body: GossipBody::Observations(vec![observation]), records: Vec::new() };
        let mut sealer = self.sealer.take();
        let bytes = sealer.seal(&keys(), Some(own_record.version.incarnation), &message).unwrap();
        self.sealer.set(sealer);
        let before = self.member.counts().transport.accepted;
        self.other.send_to(&bytes, own_record.address).unwrap();
        let accepted = async {
            let since = Instant::now();
            while self.member.counts().transport.accepted == before {
                assert!(since.elapsed() < EVENT_TIMEOUT, "the gossip message was never accepted");
                Timer::after(Duration::from_millis(1)).await;
            }
        };
        future::block_on(future::or(async { Rc::clone(&self.member).receive().await }, accepted));
    }

    fn arrive(&self) -> PendingResponse {
        let text = "/* id=7,c=recent,d=60000,cluster=0 */ SELECT data FROM facts WHERE code = 'a'";
        let statement = Statement::parse(text.as_bytes().to_vec()).unwrap();
        self.engine.rpc_arrived(MethodId(0), &statement, Instant::now(), None).unwrap()
    }
}

fn attempted_node(pending: &PendingResponse) -> Option<NodeId> {
    match pending.try_next_command()? {
        RpcCommand::Attempt(attempt) => Some(attempt.node),
        _ => panic!("expected an attempt or no command"),
    }
}

#[test]
fn an_observation_received_before_an_rpc_lets_it_proceed_immediately() {
    let cluster = TestCluster::new();
    cluster.receive_from("c2", node(1), false);
    assert!(
        cluster.instance.latest_observation(node(1)).is_some()
            && cluster.instance.latest_observation(node(0)).is_none()
    );
    assert_eq!(attempted_node(&cluster.arrive()), Some(node(1)));
}

#[test]
fn an_observation_received_while_an_rpc_is_pending_lets_it_proceed() {
    let cluster = TestCluster::new();
    let pending = cluster.arrive();
    assert_eq!(attempted_node(&pending), None, "no replica is known to be up to date");
    cluster.receive_from("c2", node(0), false);
    assert_eq!(attempted_node(&pending), Some(node(0)));
}

#[test]
fn a_node_that_several_instances_fail_to_reach_is_ejected_immediately() {
    let cluster = TestCluster::new();
    cluster.receive_from("c2", node(1), true);
    assert!(!ControlHost::is_ejected(&*cluster.engine, node(1).0), "a single report must not eject a node");
    cluster.receive_from("c3", node(1), true);
    assert!(
        ControlHost::is_ejected(&*cluster.engine, node(1).0)
            && !ControlHost::is_ejected(&*cluster.engine, node(0).0)
    );
}
