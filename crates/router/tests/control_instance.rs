//! A control instance's own decisions: they receive what other instances observed where an RPC of its own needs it, and
//! not before. The fleet's gossip comes over a socket; there are no other processes.

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

/// Nothing here takes so long.
const NEVER: Duration = Duration::from_secs(30);

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn keys() -> Keyring {
    Keyring::parse(&"7e".repeat(32)).unwrap()
}

fn node(place: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], 5000 + place)))
}

/// A control instance before a group of two replicas, and another instance's socket.
struct World {
    engine: Rc<Engine>,
    instance: Rc<ControlInstanceRuntime>,
    member: Rc<FleetMember>,
    other: UdpSocket,
    sealer: Cell<Sealer>,
    _work: EngineOutputs,
}

impl World {
    fn new() -> Self {
        let settings = json!({
            "Allowed": {"ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 6, "Probes": true},
            "Balancers": 3, "Discovery": "subscribe", "FailureDomains": ["a"], "Skus": ["m"], "StepMs": 2.0,
            "Classes": [{"Name": "recent", "GiveUpMs": 60000.0, "GoalTimeMs": 60000.0, "Value": 1.0, "Semantics": "free"}],
            "Extra": {"Checks": "none", "ClassBoundMs": [5000], "NeedsByClass": ["recent"]},
            "Feedback": {"Fields": ["x0", "x1"], "Source": "answers"}, "Tariffs": {"Probe": 0.001},
        });
        let deployment = Deployment::new(quillpoint_settings::settings_from_json(&settings)).unwrap();
        let (engine, work) = Engine::new(3, &deployment);
        let listed = |place| Endpoint {
            node: node(place),
            replica_set: ReplicaSetId(0),
            zone: ZoneId(0),
            machine_type: 0,
            primary: false,
            status: EndpointStatus::InService,
            started: None,
        };
        engine.endpoints_changed(EndpointUpdate::Snapshot, &[listed(0), listed(1)]);
        let period = Duration::from_secs(60);
        let (kind, longest, priority) = (TaskKind(0), Duration::from_secs(1), Priority(0));
        let probe = TaskParams {
            kind,
            period,
            takeover_delay: period,
            min_interval: period,
            max_duration: longest,
            priority,
            cost: 1.0,
        };
        let fleet_params = FleetParams {
            health_check: probe,
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
            listen: local(),
            keys: keys(),
            params,
            max_datagrams_per_second: 20_000,
        };
        let publisher =
            PublisherService::new(publisher_config, Rc::clone(&engine) as Rc<dyn ControlHost>, 1).unwrap();
        let instance = ControlInstanceRuntime::new(Rc::clone(&engine), publisher);
        let (listen, advertise, seeds, max_datagrams_per_second) = (local(), local(), Vec::new(), 20_000);
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
        let (other, sealer) = (UdpSocket::bind(local()).unwrap(), Cell::default());
        Self { engine, instance, member, other, sealer, _work: work }
    }

    /// Another instance has just seen this, or failed to; it has been taken in when this is over.
    fn receive_from(&self, by: &str, at: NodeId, failed: bool) {
        let own_record = self.member.fleet().members().own_record().clone();
        let now = self.engine.clock.now();
        let observation = Observation {
            node: at.0,
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
        let taken = async {
            let since = Instant::now();
            while self.member.counts().transport.accepted == before {
                assert!(since.elapsed() < NEVER, "never taken");
                Timer::after(Duration::from_millis(1)).await;
            }
        };
        future::block_on(future::or(async { Rc::clone(&self.member).receive().await }, taken));
    }

    fn arrive(&self) -> PendingResponse {
        let text = "/* id=7,c=recent,d=60000,cluster=0 */ SELECT data FROM facts WHERE code = 'a'";
        let statement = Statement::parse(text.as_bytes().to_vec()).unwrap();
        self.engine.rpc_arrived(MethodId(0), &statement, Instant::now(), None).unwrap()
    }
}

fn sent(owed: &PendingResponse) -> Option<NodeId> {
    match owed.try_next_command()? {
        RpcCommand::Attempt(attempt) => Some(attempt.node),
        _ => panic!("an answer to what was never sent"),
    }
}

#[test]
fn what_another_instance_observed_before_an_rpc_arrived_lets_it_go_at_once() {
    let world = World::new();
    world.receive_from("c2", node(1), false);
    assert!(
        world.instance.latest_observation(node(1)).is_some()
            && world.instance.latest_observation(node(0)).is_none()
    );
    assert_eq!(sent(&world.arrive()), Some(node(1)));
}

#[test]
fn what_another_instance_observes_lets_a_pending_rpc_go() {
    let world = World::new();
    let owed = world.arrive();
    assert_eq!(sent(&owed), None, "nobody has said that any replica is up to date");
    world.receive_from("c2", node(0), false);
    assert_eq!(sent(&owed), Some(node(0)));
}

#[test]
fn a_node_that_several_do_not_reach_is_ejected_at_once() {
    let world = World::new();
    world.receive_from("c2", node(1), true);
    assert!(!ControlHost::is_ejected(&*world.engine, node(1).0), "one voice alone");
    world.receive_from("c3", node(1), true);
    assert!(
        ControlHost::is_ejected(&*world.engine, node(1).0)
            && !ControlHost::is_ejected(&*world.engine, node(0).0)
    );
}
