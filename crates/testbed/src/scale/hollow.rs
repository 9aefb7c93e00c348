//! A hollow router: its control side, its observations, and the tasks that run both.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Duration;

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use quillpoint_control_plane::{
    ControlHost, FleetMember, MemberConfig, SubscriberConfig, SubscriberService, Traffic,
};
use quillpoint_membership::{Observation, PeerName};

use crate::scale::commands::HollowRouterPlan;
use crate::scale::observations::{Observations, StatementReads};
use crate::scale::prober::Prober;

/// How often an isolated subscriber probes the databases it uses, as a real one does while statements arrive.
const ISOLATED_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The configuration of a hollow router's control side.
pub enum ControlRole {
    /// A member of a fleet in which all routers share tasks (mode shared).
    Member(MemberConfig),
    /// A subscriber to the observation feed of control instances (mode feed).
    Subscriber(SubscriberConfig),
}

/// What all hollow routers of a process share.
pub struct ProcessContext {
    /// Runs the tasks of all routers.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Makes the health checks of all routers.
    pub prober: Rc<Prober>,
    /// The configuration of a real router of this run; hollow routers replace only the name and the
    /// addresses.
    pub role: ControlRole,
    /// The sessions of each router use one in this many databases.
    pub uses_one_in: usize,
    /// Runs nothing but the control side; an isolated router does not probe the databases it uses.
    pub control_only: bool,
    /// Statements per second of each router, spread over these groups in turn.
    pub statements: f64,
    /// Groups of databases: a primary and its replicas each.
    pub groups: Rc<Vec<Vec<SocketAddr>>>,
    /// All databases, each with its zone.
    pub nodes: Rc<BTreeMap<SocketAddr, u16>>,
    /// Databases that may be promoted during the run.
    pub promotable: Rc<BTreeSet<SocketAddr>>,
    /// Whether routers are currently cut off from the other side.
    pub partitioned: Rc<Cell<bool>>,
    /// Databases of each router whose observation age is sampled.
    pub sampled: usize,
    /// Seed of the run; each router adds its index.
    pub seed: u64,
}

/// Pauses all tasks of a router, as SIGSTOP does to a process: datagrams wait in its socket buffer.
#[derive(Default)]
struct PauseGate {
    paused: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl PauseGate {
    fn set(&self, paused: bool) {
        self.paused.set(paused);
        if !paused {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Polls the future only while the router is not paused.
    async fn run_gated(self: Rc<Self>, future: impl Future<Output = ()>) {
        let mut future = pin!(future);
        poll_fn(|context| {
            if self.paused.get() {
                self.waiting.borrow_mut().push(context.waker().clone());
                return Poll::Pending;
            }
            future.as_mut().poll(context)
        })
        .await;
    }
}

/// The control side of a router.
#[derive(Clone)]
enum Control {
    Member(Rc<FleetMember>),
    Subscriber(Rc<SubscriberService>),
}

impl Control {
    fn traffic(&self) -> Traffic {
        match self {
            Self::Member(member) => member.traffic(),
            Self::Subscriber(subscriber) => subscriber.traffic(),
        }
    }

    fn probes(&self) -> u64 {
        match self {
            Self::Member(member) => member.counts().health_checks,
            Self::Subscriber(subscriber) => subscriber.counts().health_checks,
        }
    }

    fn state_bytes(&self) -> usize {
        match self {
            Self::Member(member) => member.fleet().state_bytes(),
            Self::Subscriber(subscriber) => subscriber.state_bytes(),
        }
    }
}

struct Running {
    control: Control,
    observations: Rc<Observations>,
    pause: Rc<PauseGate>,
    _tasks: Vec<Task<()>>,
}

/// A hollow router, which can be started, killed and paused.
pub struct HollowRouter {
    /// The router's name in its fleet.
    pub name: String,
    listen: SocketAddr,
    index: usize,
    running: Option<Running>,
    /// Traffic and health checks of earlier starts.
    earlier_starts: (Traffic, u64),
}

impl HollowRouter {
    /// Creates a router without starting it.
    pub fn new(index: usize, plan: HollowRouterPlan) -> Self {
        Self {
            name: plan.name,
            listen: plan.listen,
            index,
            running: None,
            earlier_starts: Default::default(),
        }
    }

    /// Starts the router's tasks.
    ///
    /// # Errors
    /// The address cannot be bound, or the name is invalid.
    pub fn start(&mut self, context: &ProcessContext) -> std::io::Result<()> {
        let (probes, requests) = async_channel::unbounded();
        let seed = context.seed.wrapping_add(self.index as u64);
        let all = context.nodes.len();
        // Spread evenly over all databases, starting elsewhere at each router.
        let stride = (all / context.sampled.max(1)).max(1);
        let sampled = (0..context.sampled.min(all))
            .map(|index| (seed.wrapping_mul(7919) as usize + index * stride) % all);
        let sampled: BTreeSet<usize> = sampled.collect();
        let sampled = context.nodes.keys().enumerate().filter(|(index, _)| sampled.contains(index));
        let (nodes, promotable) = (Rc::clone(&context.nodes), Rc::clone(&context.promotable));
        let sampled = sampled.map(|(_, node)| *node);
        let observations = Rc::new(Observations::new(
            self.listen,
            nodes,
            sampled,
            promotable,
            probes,
            Rc::clone(&context.partitioned),
        ));
        let name = PeerName::new(&self.name).map_err(std::io::Error::other)?;
        let host = Rc::clone(&observations) as Rc<dyn ControlHost>;
        let pause = Rc::new(PauseGate::default());
        let spawn = |task: Pin<Box<dyn Future<Output = ()>>>| {
            context.executor.spawn(Rc::clone(&pause).run_gated(task))
        };
        let (control, mut tasks) = match &context.role {
            ControlRole::Member(config) => {
                let config =
                    MemberConfig { name, listen: self.listen, advertise: self.listen, ..config.clone() };
                let member = FleetMember::new(config, host, seed)?;
                member.nodes_changed();
                let (receiver, timer) = (Rc::clone(&member), Rc::clone(&member));
                let tasks = vec![spawn(Box::pin(receiver.receive())), spawn(Box::pin(timer.run_timer()))];
                (Control::Member(member), tasks)
            }
            ControlRole::Subscriber(config) => {
                let mut config = SubscriberConfig { name, listen: self.listen, ..config.clone() };
                config.params.region = Some(region(self.listen).to_string());
                let subscriber = SubscriberService::new(config, host, seed)?;
                subscriber.nodes_changed();
                observations.start_statements(StatementReads::new(
                    &subscriber,
                    Rc::clone(&context.groups),
                    context.statements,
                ));
                let (receiver, timer) = (Rc::clone(&subscriber), Rc::clone(&subscriber));
                let used_databases = context.nodes.keys().skip(self.index % context.uses_one_in.max(1));
                let used_databases = used_databases.step_by(context.uses_one_in.max(1)).copied().collect();
                let isolated_probes =
                    probe_while_isolated(Rc::clone(&subscriber), Rc::clone(&observations), used_databases);
                let mut tasks = vec![spawn(Box::pin(receiver.receive())), spawn(Box::pin(timer.run_timer()))];
                if !context.control_only {
                    tasks.push(spawn(Box::pin(isolated_probes)));
                }
                (Control::Subscriber(subscriber), tasks)
            }
        };
        let runtime = (Rc::clone(&context.executor), Rc::clone(&context.prober));
        let fleet = match &control {
            Control::Member(member) => Rc::downgrade(member),
            // A subscriber keeps its health check results to itself.
            Control::Subscriber(_) => Weak::new(),
        };
        let probing = probe(requests, Rc::clone(&observations), fleet, runtime, Rc::clone(&pause));
        tasks.push(spawn(Box::pin(probing)));
        self.running = Some(Running { control, observations, pause, _tasks: tasks });
        Ok(())
    }

    /// Stops the router at once, as SIGKILL does; a later start begins without state.
    pub fn kill(&mut self) {
        self.earlier_starts = (self.traffic(), self.probes());
        self.running = None;
    }

    /// Pauses or continues the router; no effect while it is down.
    pub fn set_paused(&self, paused: bool) {
        if let Some(running) = &self.running {
            running.pause.set(paused);
        }
    }

    /// Whether it is started and not paused.
    pub fn is_running(&self) -> bool {
        self.running.as_ref().is_some_and(|running| !running.pause.paused.get())
    }

    /// Traffic over all starts.
    pub fn traffic(&self) -> Traffic {
        let now = self.running.as_ref().map(|running| running.control.traffic()).unwrap_or_default();
        self.earlier_starts.0.plus(now)
    }

    /// Health checks over all starts.
    pub fn probes(&self) -> u64 {
        self.earlier_starts.1 + self.running.as_ref().map_or(0, |running| running.control.probes())
    }

    /// Bytes of state of the control side; 0 while it is down.
    pub fn state_bytes(&self) -> usize {
        self.running.as_ref().map_or(0, |running| running.control.state_bytes())
    }

    /// The side of a partition that it belongs to, 0 or 1.
    pub fn side(&self) -> usize {
        usize::from(side(self.listen))
    }

    /// The time since the start, and the age of the latest observation of each sampled database.
    pub fn ages(&self) -> (Duration, Vec<Option<Duration>>) {
        let Some(Running { control, observations, .. }) = &self.running else { return Default::default() };
        if let Control::Subscriber(subscriber) = control {
            for node in observations.sampled() {
                if let Some(observation) = subscriber.observation(node) {
                    observations.feed_observation_received(observation);
                }
            }
        }
        (observations.uptime(), observations.ages())
    }

    /// When it first learned that the database is a primary, as a time since the Unix epoch.
    pub fn promotion_seen_at(&self, node: SocketAddr) -> Option<Duration> {
        self.running.as_ref()?.observations.promotion_seen_at(node)
    }
}

/// Lets an isolated subscriber, one that no control instance serves, probe the databases its sessions use,
/// within its health check quota. A real subscriber does so whenever statements arrive.
async fn probe_while_isolated(
    subscriber: Rc<SubscriberService>,
    observations: Rc<Observations>,
    used_databases: Vec<SocketAddr>,
) {
    loop {
        Timer::after(ISOLATED_PROBE_INTERVAL).await;
        if !subscriber.subscriber().is_isolated() {
            continue;
        }
        for node in &used_databases {
            if subscriber.claim_health_check(*node) {
                observations.start_health_check(*node);
            }
        }
    }
}

/// The side of a partition that an address belongs to, by the parity of its last octet. The two sides are two
/// regions.
pub fn side(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3] & 1,
        SocketAddr::V6(address) => address.ip().octets()[15] & 1,
    }
}

/// Region names, by side.
pub const REGIONS: [&str; 2] = ["even", "odd"];

/// The region of an address.
pub fn region(address: SocketAddr) -> &'static str {
    REGIONS[usize::from(side(address))]
}

/// Makes the health checks that the control side requests, each in a detached task. Those tasks hold no
/// reference to the router's socket, so a killed router's socket closes at once.
async fn probe(
    requests: Receiver<SocketAddr>,
    observations: Rc<Observations>,
    member: Weak<FleetMember>,
    (executor, prober): (Rc<LocalExecutor<'static>>, Rc<Prober>),
    pause: Rc<PauseGate>,
) {
    while let Ok(node) = requests.recv().await {
        let (observations, member, prober) = (Rc::clone(&observations), member.clone(), Rc::clone(&prober));
        let task = async move {
            let at = observations.now();
            let report = prober.probe(node).await;
            let (failed, report) = (report.is_none(), report.unwrap_or_default());
            observations.health_check_ended(node, !failed, report.primary);
            if let Some(member) = member.upgrade() {
                let (position, primary) = (report.position, report.primary);
                let observation = Observation {
                    node,
                    age: Duration::ZERO,
                    position,
                    primary,
                    waiting: None,
                    started: None,
                    failed,
                };
                member.health_check_observed(at, observation);
            }
        };
        executor.spawn(Rc::clone(&pause).run_gated(task)).detach();
    }
}
