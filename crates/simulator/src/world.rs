//! A fleet of routers and the nodes that they probe, in virtual time. The routers run the product's
//! membership code. The world only emulates their surroundings and records what happens for the tests: which
//! router probed which node when, what was sent between routers, and when each router last got an observation
//! of each node.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint_datagram::Sealer;
use quillpoint_datagram::keys::Keyring;
use quillpoint_membership::ids::{TaskId, TaskKind, TaskTarget};
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::TaskParams;
use quillpoint_membership::{
    Event, Fleet, FleetParams, GossipBody, GossipMessage, Host, Incarnation, MemberRecord, MemberState,
    MemberVersion, Observation, PeerName, TimestampedObservation,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::network::{HostId, LinkQuality, Network};
use crate::queue::EventQueue;

/// Start of virtual time; far enough from zero that a clock can be set back without underflow.
pub const START_TIME: Duration = Duration::from_secs(1_000_000);
/// Number of datagrams buffered for a paused router; further ones are lost, as with a full socket buffer.
const MAX_BUFFERED_DATAGRAMS: usize = 256;
/// A probe of a node that is down ends with this timeout.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Parameters of a [`World`].
#[derive(Clone, Debug)]
pub struct WorldParams {
    /// Number of routers.
    pub routers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones, to which routers and nodes are assigned in turn.
    pub zones: usize,
    /// Quality of the network between routers, and between routers and nodes.
    pub link_quality: LinkQuality,
    /// Parameters of the routers' fleet.
    pub fleet_params: FleetParams,
    /// Whether routers know each other and divide the probing; otherwise each router probes every node.
    pub shared: bool,
    /// How far the log position of every node lags behind.
    pub replication_lag: Duration,
    /// Seed of all random decisions.
    pub seed: u64,
}

/// Fleet parameters for a probe period, a takeover delay and a minimum interval between probes of a node by
/// one router. The budgets are fixed.
pub fn fleet_params(period: Duration, takeover_grace: Duration, interval_floor: Duration) -> FleetParams {
    let probe = TaskParams {
        kind: TaskKind(0),
        period,
        takeover_delay: takeover_grace,
        min_interval: interval_floor,
        max_duration: Duration::from_secs(1),
        priority: Priority(0),
        cost: 1.0,
    };
    FleetParams {
        health_check: probe,
        work_rate: 20_000.0,
        work_burst: 2_000.0,
        gossip_bytes_per_second: 4e6,
        budgets_grow_with_nodes: false,
    }
}

/// Calls that a router's fleet made to its host while it handled one event.
#[derive(Default)]
struct HostCalls {
    /// Messages to send: receiver, its incarnation if known, and the message.
    sent: Vec<(SocketAddr, Option<Incarnation>, GossipMessage)>,
    /// Delay after which the timer fires.
    timer: Option<Duration>,
    /// Probes to send.
    tasks_to_run: Vec<TaskId>,
    /// Observations that peers shared.
    received_observations: Vec<TimestampedObservation>,
    events: Vec<Event>,
}

/// Records the calls of a fleet; the world carries them out afterwards.
#[derive(Clone, Default)]
struct SimulatedHost(Rc<RefCell<HostCalls>>);

impl Host for SimulatedHost {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, message: GossipMessage) {
        self.0.borrow_mut().sent.push((to, session, message));
    }
    fn set_timer(&mut self, delay: Duration) {
        self.0.borrow_mut().timer = Some(delay);
    }
    fn run_task(&mut self, task: TaskId) {
        self.0.borrow_mut().tasks_to_run.push(task);
    }
    fn observation_received(&mut self, observation: TimestampedObservation) {
        self.0.borrow_mut().received_observations.push(observation);
    }
    fn report_event(&mut self, event: Event) {
        self.0.borrow_mut().events.push(event);
    }
}

/// A running or paused process of a router.
struct Process {
    fleet: Fleet<SimulatedHost>,
    host: SimulatedHost,
    start: Incarnation,
    paused: bool,
    /// Events that arrived while the process was paused.
    buffered: VecDeque<RouterEvent>,
}

/// Counters of a router, accumulated over all its processes.
#[derive(Clone, Default)]
pub struct RouterStats {
    /// Datagrams sent to other routers.
    pub datagrams_sent: u64,
    /// Bytes of these datagrams.
    pub bytes_sent: u64,
    /// Real time that the fleet's calls took on this machine. Not determined by the seed.
    pub cpu_time: Duration,
    /// How often this router declared a running router dead.
    pub false_deaths: u64,
}

struct Router {
    process: Option<Process>,
    /// Increases whenever the process starts or ends, so that events scheduled for an earlier process are
    /// dropped.
    generation: u64,
    /// The router's clock shows virtual time + `clock_ahead` - `clock_behind`.
    clock_ahead: Duration,
    clock_behind: Duration,
    stats: RouterStats,
    events: Vec<(Duration, Event)>,
    /// When the newest observation of each node was made, in virtual time.
    last_observation_at: BTreeMap<usize, Duration>,
    /// Number in the router's name: its own index, unless it uses the name of another router.
    name: usize,
}

struct Node {
    zone: u16,
    up: bool,
    /// Time and router of each probe that arrived.
    probes: Vec<(Duration, usize)>,
    replication_lag: Duration,
}

/// An event that a router's process handles.
enum RouterEvent {
    GossipMessage(GossipMessage),
    Timer,
    ProbeEnded { task: TaskId, probed_at: Duration, position: Option<Duration> },
}

/// An event in the queue: one for a router's process, or the arrival of a probe at a node.
enum ScheduledEvent {
    Router { index: usize, generation: u64, event: RouterEvent },
    Probe { node: usize, prober: usize, generation: u64, task: TaskId },
}

/// A fleet of routers, the nodes that they probe, and the network between them.
pub struct World {
    /// Current virtual time.
    pub now: Duration,
    params: WorldParams,
    /// The network between routers, on which faults can be set.
    pub network: Network,
    rng: ChaCha8Rng,
    queue: EventQueue<ScheduledEvent>,
    routers: Vec<Router>,
    nodes: Vec<Node>,
    keys: Keyring,
    sealer: Sealer,
}

/// The address of a router.
pub fn router_address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, (index / 250) as u8, (index % 250) as u8 + 1), 7400))
}
/// The address of a node.
pub fn node_address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 2, (index / 250) as u8, (index % 250) as u8 + 1), 5432))
}
/// The index of the router or node with this address.
pub fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

impl World {
    /// Creates the world and starts all routers.
    pub fn new(params: WorldParams) -> Self {
        let node = |index: usize| Node {
            zone: (index % params.zones) as u16,
            up: true,
            probes: Vec::new(),
            replication_lag: params.replication_lag,
        };
        let router = |name: usize| Router {
            process: None,
            generation: 0,
            clock_ahead: Duration::ZERO,
            clock_behind: Duration::ZERO,
            stats: RouterStats::default(),
            events: Vec::new(),
            last_observation_at: BTreeMap::new(),
            name,
        };
        let key_hex = "ab".repeat(32);
        let mut world = Self {
            now: START_TIME,
            network: Network::new(params.link_quality),
            rng: ChaCha8Rng::seed_from_u64(params.seed),
            queue: EventQueue::default(),
            routers: (0..params.routers).map(router).collect(),
            nodes: (0..params.nodes).map(node).collect(),
            keys: Keyring::parse(&key_hex).expect("64 hex digits are a valid key"),
            sealer: Sealer::default(),
            params,
        };
        (0..world.routers.len()).for_each(|index| world.start(index));
        world
    }

    /// Number of routers.
    pub fn routers(&self) -> usize {
        self.routers.len()
    }

    /// Number of nodes.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// The time that a router's own clock shows.
    fn clock(&self, index: usize) -> Duration {
        self.now + self.routers[index].clock_ahead - self.routers[index].clock_behind
    }

    /// Sets how far a router's clock is ahead of virtual time and behind it. Takes effect at once: set it
    /// before the router's next start, not while it runs.
    pub fn set_clock_skew(&mut self, index: usize, clock_ahead: Duration, clock_behind: Duration) {
        (self.routers[index].clock_ahead, self.routers[index].clock_behind) = (clock_ahead, clock_behind);
    }

    /// Makes a router use another router's name from its next start on, at its own address.
    pub fn set_name(&mut self, index: usize, name: usize) {
        self.routers[index].name = name;
    }

    /// Starts a process of a router, unless one exists.
    pub fn start(&mut self, index: usize) {
        if self.routers[index].process.is_some() {
            return;
        }
        let now = self.clock(index);
        let start = Incarnation(now.as_micros() as u64);
        let zone = (index % self.params.zones) as u16;
        let own_record = MemberRecord {
            name: PeerName::new(&format!("r{}", self.routers[index].name)).expect("a valid peer name"),
            version: MemberVersion { incarnation: start, revision: 0 },
            address: router_address(index),
            zone,
            weight: 1,
            state: MemberState::Joining,
        };
        // Three seed members are enough to be discovered, and every router has the same configuration.
        let seeds = if self.params.shared {
            (0..self.routers.len().min(3)).map(router_address).collect()
        } else {
            vec![]
        };
        let host = SimulatedHost::default();
        let seed = self.params.seed ^ ((index as u64) << 32) ^ self.routers[index].generation;
        let mut fleet = Fleet::new(host.clone(), own_record, seeds, self.params.fleet_params, seed, now);
        let nodes =
            self.nodes.iter().enumerate().map(|(index, node)| (node_address(index), node.zone)).collect();
        fleet.nodes_changed(now, &nodes);
        let router = &mut self.routers[index];
        router.generation += 1;
        router.last_observation_at.clear();
        router.process = Some(Process { fleet, host, start, paused: false, buffered: VecDeque::new() });
        self.process_host_calls(index);
    }

    /// Kills a router, as by SIGKILL.
    pub fn kill(&mut self, index: usize) {
        self.routers[index].process = None;
        self.routers[index].generation += 1;
    }

    /// Shuts a router down, as by SIGTERM: it announces its leave to the fleet first.
    pub fn leave(&mut self, index: usize) {
        let now = self.clock(index);
        if let Some(process) = &mut self.routers[index].process {
            process.fleet.leave(now);
            self.process_host_calls(index);
            self.kill(index);
        }
    }

    /// Pauses a router, as by SIGSTOP.
    pub fn pause(&mut self, index: usize) {
        if let Some(process) = &mut self.routers[index].process {
            process.paused = true;
        }
    }

    /// Resumes a paused router, as by SIGCONT, and delivers the buffered events.
    pub fn resume(&mut self, index: usize) {
        let Some(process) = &mut self.routers[index].process else { return };
        process.paused = false;
        let buffered = std::mem::take(&mut process.buffered);
        buffered.into_iter().for_each(|event| self.handle_event(index, event));
    }

    /// Sets whether a node answers probes.
    pub fn set_node_up(&mut self, node: usize, up: bool) {
        self.nodes[node].up = up;
    }

    /// Whether a node answers probes.
    pub fn is_node_up(&self, node: usize) -> bool {
        self.nodes[node].up
    }

    /// Whether a router has a process that is not paused.
    pub fn is_running(&self, index: usize) -> bool {
        self.routers[index].process.as_ref().is_some_and(|process| !process.paused)
    }

    /// Number of peers in a router's membership table; `None` if it has no process.
    pub fn peer_count(&self, index: usize) -> Option<usize> {
        self.routers[index].process.as_ref().map(|process| process.fleet.members().peers().count())
    }

    /// Sorted names of the members that this router considers active, itself included.
    pub fn active_members(&self, index: usize) -> Vec<String> {
        let Some(process) = &self.routers[index].process else { return Vec::new() };
        let members = process.fleet.members();
        let own_name = members.may_own_tasks().then(|| members.own_record().name.to_string());
        let mut names: Vec<String> =
            members.active_peers().map(|record| record.name.to_string()).chain(own_name).collect();
        names.sort();
        names
    }

    /// Number of tasks that a router owns.
    pub fn owned_task_count(&self, index: usize) -> usize {
        self.routers[index].process.as_ref().map_or(0, |process| process.fleet.tasks().counts().owned)
    }

    /// All probes of a node so far: arrival time and router.
    pub fn probes(&self, node: usize) -> &[(Duration, usize)] {
        &self.nodes[node].probes
    }

    /// The counters of a router.
    pub fn stats(&self, index: usize) -> &RouterStats {
        &self.routers[index].stats
    }

    /// The events that a router has reported, with their times.
    pub fn events(&self, index: usize) -> &[(Duration, Event)] {
        &self.routers[index].events
    }

    /// Time of the router's newest observation of a node, its own or one that a peer shared.
    pub fn last_observation_at(&self, index: usize, node: usize) -> Option<Duration> {
        self.routers[index].last_observation_at.get(&node).copied()
    }

    /// Sends a forged gossip message under a router's identity, as from a faulty or malicious member.
    pub fn forge_message(&mut self, from: usize, to: usize, body: GossipBody) {
        self.forge_message_with_records(from, to, body, Vec::new());
    }

    /// Like [`World::forge_message`], with forged member records.
    pub fn forge_records(&mut self, from: usize, to: usize, member_records: Vec<MemberRecord>) {
        self.forge_message_with_records(from, to, GossipBody::Observations(Vec::new()), member_records);
    }

    fn forge_message_with_records(
        &mut self,
        from: usize,
        to: usize,
        body: GossipBody,
        member_records: Vec<MemberRecord>,
    ) {
        let Some(process) = &self.routers[from].process else { return };
        let message = GossipMessage {
            from: process.fleet.members().own_record().clone(),
            body,
            records: member_records,
        };
        let generation = self.routers[to].generation;
        self.queue.schedule(
            self.now,
            ScheduledEvent::Router { index: to, generation, event: RouterEvent::GossipMessage(message) },
        );
    }

    /// Runs all events that are due until then, and advances virtual time to it.
    pub fn run_until(&mut self, until: Duration) {
        while self.queue.next_time().is_some_and(|at| at <= until) {
            self.step();
        }
        self.now = until;
    }

    /// Runs the next event; returns false if there is none.
    pub fn step(&mut self) -> bool {
        let Some((at, scheduled)) = self.queue.pop() else { return false };
        self.now = at.max(self.now);
        match scheduled {
            ScheduledEvent::Probe { node, prober, generation, task } => {
                self.probe_arrives(node, prober, generation, task)
            }
            ScheduledEvent::Router { index, generation, event } => {
                if self.routers[index].generation == generation {
                    self.handle_event(index, event);
                }
            }
        }
        true
    }

    fn probe_arrives(&mut self, node: usize, prober: usize, generation: u64, task: TaskId) {
        let (target, now) = (&mut self.nodes[node], self.now);
        target.probes.push((now, prober));
        let (delay, position) = match target.up {
            true => (self.network.random_delay(&mut self.rng), Some(now - target.replication_lag)),
            false => (PROBE_TIMEOUT, None),
        };
        let event = RouterEvent::ProbeEnded { task, probed_at: now, position };
        self.queue.schedule(now + delay, ScheduledEvent::Router { index: prober, generation, event });
    }

    fn handle_event(&mut self, index: usize, event: RouterEvent) {
        let now = self.clock(index);
        let router = &mut self.routers[index];
        let Some(process) = &mut router.process else { return };
        if process.paused {
            let is_message = matches!(event, RouterEvent::GossipMessage(_));
            if !is_message || process.buffered.len() < MAX_BUFFERED_DATAGRAMS {
                process.buffered.push_back(event);
            }
            return;
        }
        let started_at = Instant::now();
        match event {
            RouterEvent::GossipMessage(message) => process.fleet.message_arrived(now, message),
            RouterEvent::Timer => process.fleet.timer_fired(now),
            RouterEvent::ProbeEnded { task, probed_at, position } => {
                process.fleet.task_ended(now, task);
                if let TaskTarget::Node(node) = task.target {
                    let primary = position.map(|_| false);
                    let (age, failed) = (Duration::ZERO, position.is_none());
                    let observation =
                        Observation { node, age, position, primary, waiting: None, started: None, failed };
                    let probed_at = probed_at + router.clock_ahead - router.clock_behind;
                    process.fleet.record_own_observation(now, probed_at, observation);
                    router.last_observation_at.insert(index_of(node), self.now);
                }
            }
        }
        router.stats.cpu_time += started_at.elapsed();
        self.process_host_calls(index);
    }

    /// Carries out the calls that a router's fleet made to its host.
    fn process_host_calls(&mut self, index: usize) {
        let Some(process) = &self.routers[index].process else { return };
        let calls = std::mem::take(&mut *process.host.0.borrow_mut());
        let generation = self.routers[index].generation;
        if let Some(delay) = calls.timer {
            self.queue.schedule(
                self.now + delay,
                ScheduledEvent::Router { index, generation, event: RouterEvent::Timer },
            );
        }
        for observation in &calls.received_observations {
            let router = &mut self.routers[index];
            let at = (observation.at + router.clock_behind).saturating_sub(router.clock_ahead);
            let newest = router.last_observation_at.entry(index_of(observation.node)).or_default();
            *newest = at.max(*newest);
        }
        for event in calls.events {
            if let Event::PeerChanged { peer, state: MemberState::Dead, .. } = &event
                && let Some(subject) = peer.as_str().strip_prefix('r').and_then(|name| name.parse().ok())
                && self.is_running(subject)
            {
                self.routers[index].stats.false_deaths += 1;
            }
            self.routers[index].events.push((self.now, event));
        }
        for (to, session, message) in calls.sent {
            let sealed = self
                .sealer
                .seal(&self.keys, session, &message)
                .expect("a gossip message fits into a datagram");
            let router = &mut self.routers[index];
            router.stats.datagrams_sent += 1;
            router.stats.bytes_sent += sealed.len() as u64;
            let to = index_of(to);
            let Some(other) = self.routers.get(to) else { continue };
            let own_start = other.process.as_ref().map(|process| process.start);
            // As the datagram package does, rejects a message that is sealed for another incarnation of the
            // receiver. A message without a session must be a join request.
            let accepted = session.is_none_or(|session| {
                own_start == Some(session)
                    || other.process.as_ref().is_some_and(|process| {
                        process.fleet.members().own_record().version.incarnation == session
                    })
            });
            if !accepted || (session.is_none() && message.body != GossipBody::JoinRequest) {
                continue;
            }
            let generation = other.generation;
            for delay in self.network.delivery_delays(&mut self.rng, HostId(index), HostId(to)) {
                let event = RouterEvent::GossipMessage(message.clone());
                self.queue
                    .schedule(self.now + delay, ScheduledEvent::Router { index: to, generation, event });
            }
        }
        for task in calls.tasks_to_run {
            let TaskTarget::Node(node) = task.target else { continue };
            let delay = self.network.random_delay(&mut self.rng);
            let scheduled = ScheduledEvent::Probe { node: index_of(node), prober: index, generation, task };
            self.queue.schedule(self.now + delay, scheduled);
        }
    }
}
