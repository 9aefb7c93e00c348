//! Control instances, routers and nodes in virtual time. Each control instance is a member of the fleet that
//! divides the probing of the nodes, and a publisher of the observation feed; each router is a subscriber.
//! They run the product's own state machines. The world only emulates their surroundings and records what
//! happens.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint_datagram::Sealer;
use quillpoint_datagram::keys::Keyring;
use quillpoint_membership::ids::{TaskId, TaskTarget};
use quillpoint_membership::{
    Event, Fleet, FleetParams, GossipBody, GossipMessage, Host, Incarnation, MemberRecord, MemberState,
    MemberVersion, Observation, PeerName, TimestampedObservation,
};
use quillpoint_observation_feed::{
    ControlInstance, Envelope, FeedObservation, Message, Publisher, Subscriber, publisher, subscriber,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::network::{HostId, LinkQuality, Network};
use crate::queue::EventQueue;
use crate::world::{START_TIME, index_of, node_address};

/// Bytes that sealing adds to a message: a header of 23 bytes, which includes the incarnation of the receiver
/// and the sequence number, and a hash of 32 bytes.
const DATAGRAM_OVERHEAD_BYTES: usize = 55;
/// A probe of a node that does not answer ends with this timeout.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of datagrams buffered for a paused router; further ones are lost, as with a full socket buffer.
const MAX_BUFFERED_DATAGRAMS: usize = 256;

/// Parameters of a [`FeedWorld`].
#[derive(Clone, Debug)]
pub struct FeedWorldParams {
    /// Number of routers.
    pub routers: usize,
    /// Number of control instances.
    pub control_instances: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of regions, to which routers, control instances and nodes are assigned in turn.
    pub regions: usize,
    /// Quality of the network between all hosts.
    pub link_quality: LinkQuality,
    /// Parameters of the control instances' fleet.
    pub fleet_params: FleetParams,
    /// Rate limit of each control instance for sending snapshots to subscribers, in bytes per second.
    pub snapshot_bytes_per_s: f64,
    /// How far the log position of every node lags behind.
    pub replication_lag: Duration,
    /// Seed of all random decisions.
    pub seed: u64,
}

/// Calls that a process made to its host while it handled one event.
#[derive(Default)]
struct HostCalls {
    /// Messages between control instances: the receiver's address, its incarnation if known, and the message.
    gossip_messages: Vec<(SocketAddr, Option<Incarnation>, GossipMessage)>,
    /// Messages of the observation feed, likewise.
    feed_messages: Vec<(SocketAddr, Option<Incarnation>, Message)>,
    /// Delay after which the fleet's timer fires.
    fleet_timer: Option<Duration>,
    /// Delay after which the timer of the publisher or subscriber fires.
    feed_timer: Option<Duration>,
    /// Probes to send.
    tasks_to_run: Vec<TaskId>,
    /// Observations that other control instances shared.
    received_observations: Vec<TimestampedObservation>,
    /// Number of control instances that tasks are divided among, if it was reported.
    instance_count: Option<usize>,
}

/// Records the calls of a process; the world carries them out afterwards.
#[derive(Clone, Default)]
struct SimulatedHost(Rc<RefCell<HostCalls>>);

impl Host for SimulatedHost {
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: GossipMessage) {
        self.0.borrow_mut().gossip_messages.push((to, receiver, message));
    }
    fn set_timer(&mut self, delay: Duration) {
        self.0.borrow_mut().fleet_timer = Some(delay);
    }
    fn run_task(&mut self, task: TaskId) {
        self.0.borrow_mut().tasks_to_run.push(task);
    }
    fn observation_received(&mut self, observation: TimestampedObservation) {
        self.0.borrow_mut().received_observations.push(observation);
    }
    fn report_event(&mut self, event: Event) {
        if let Event::TasksAssigned { routers, .. } = event {
            self.0.borrow_mut().instance_count = Some(routers);
        }
    }
}

impl quillpoint_observation_feed::Host for SimulatedHost {
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().feed_messages.push((to, receiver, message));
    }
    fn set_timer(&mut self, delay: Duration) {
        self.0.borrow_mut().feed_timer = Some(delay);
    }
    fn observation_changed(&mut self, _: FeedObservation) {}
    fn report_event(&mut self, _: quillpoint_observation_feed::Event) {}
}

/// Counters of a control instance or a router, accumulated over all its processes.
#[derive(Clone, Copy, Default, Debug)]
pub struct ProcessStats {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received. A control instance also counts those addressed to a process that was killed before
    /// they arrived; a paused router counts those it buffered when it resumes.
    pub received: u64,
    /// Bytes of the datagrams received.
    pub received_bytes: u64,
    /// Bytes sent to and received from other control instances; included in the totals above.
    pub gossip_bytes: u64,
    /// Real time that the state machine's calls took on this machine. Not determined by the seed.
    pub cpu_time: Duration,
    /// The current second of virtual time, and the bytes sent and received in it so far.
    current_second: (u64, u64),
    /// Most bytes sent and received in any one second, since the start or since [`FeedWorld::reset_peaks`].
    pub peak_bytes_per_s: u64,
}

impl ProcessStats {
    fn count(&mut self, now: Duration, bytes: usize, outgoing: bool) {
        let bytes = bytes as u64;
        let (messages, total_bytes) = if outgoing {
            (&mut self.sent, &mut self.sent_bytes)
        } else {
            (&mut self.received, &mut self.received_bytes)
        };
        (*messages, *total_bytes) = (*messages + 1, *total_bytes + bytes);
        if self.current_second.0 != now.as_secs() {
            self.current_second = (now.as_secs(), 0);
        }
        self.current_second.1 += bytes;
        self.peak_bytes_per_s = self.peak_bytes_per_s.max(self.current_second.1);
    }
}

/// A process of a control instance.
struct Instance {
    fleet: Fleet<SimulatedHost>,
    publisher: Publisher<SimulatedHost>,
    host: SimulatedHost,
    incarnation: Incarnation,
}

/// A running or paused process of a router.
struct Router {
    subscriber: Subscriber<SimulatedHost>,
    host: SimulatedHost,
    incarnation: Incarnation,
    paused: bool,
    /// Datagrams that arrived while the process was paused.
    buffered: VecDeque<FeedDatagram>,
    /// Whether its timer fired while the process was paused.
    timer_due: bool,
}

/// A control instance or a router with its current process, if any. `generation` increases whenever a process
/// starts or is killed, so that events scheduled for an earlier process are dropped.
struct ProcessSlot<P> {
    process: Option<P>,
    generation: u64,
    stats: ProcessStats,
}

impl<P> Default for ProcessSlot<P> {
    fn default() -> Self {
        Self { process: None, generation: 0, stats: ProcessStats::default() }
    }
}

struct Node {
    up: bool,
    primary: bool,
    probes: u64,
    /// When the answer to the first successful probe since its role was last set arrives. Computed when that
    /// probe is sent, so it can lie in the future.
    role_seen_at: Option<Duration>,
}

/// A message of the observation feed in transit, with its sender and the size of its datagram in bytes.
#[derive(Clone)]
struct FeedDatagram {
    from: PeerName,
    address: SocketAddr,
    incarnation: Incarnation,
    message: Rc<Message>,
    bytes: usize,
}

/// An event in the queue for the process of a control instance or of a router.
enum ScheduledEvent {
    FleetTimer {
        index: usize,
        generation: u64,
    },
    FeedTimer {
        index: usize,
        generation: u64,
    },
    GossipMessage {
        index: usize,
        generation: u64,
        message: GossipMessage,
        bytes: usize,
    },
    ProbeEnded {
        index: usize,
        generation: u64,
        task: TaskId,
        probed_at: Duration,
        /// Log position and whether the node is a primary; `None` if the probe failed.
        result: Option<(Duration, bool)>,
    },
    MessageToControl {
        index: usize,
        generation: u64,
        datagram: FeedDatagram,
    },
    MessageToRouter {
        index: usize,
        generation: u64,
        datagram: FeedDatagram,
    },
    RouterTimer {
        index: usize,
        generation: u64,
    },
}

/// Control instances, routers and nodes, and the network between them.
pub struct FeedWorld {
    /// Current virtual time.
    pub now: Duration,
    params: FeedWorldParams,
    network: Network,
    /// Whether the regions are partitioned from each other: no message or probe crosses between them
    /// while true.
    pub partitioned: bool,
    rng: ChaCha8Rng,
    queue: EventQueue<ScheduledEvent>,
    control: Vec<ProcessSlot<Instance>>,
    routers: Vec<ProcessSlot<Router>>,
    nodes: Vec<Node>,
    keys: Keyring,
    sealer: Sealer,
}

fn control_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 4, 0, index as u8], 7400))
}
fn router_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 5, (index / 250) as u8, (index % 250) as u8], 7500))
}
fn control_name(index: usize) -> PeerName {
    PeerName::new(&format!("control-{index}")).expect("a valid peer name")
}
fn router_name(index: usize) -> PeerName {
    PeerName::new(&format!("r{index}")).expect("a valid peer name")
}

impl FeedWorld {
    /// Creates the world and starts all control instances and routers.
    pub fn new(params: FeedWorldParams) -> Self {
        let node =
            |index: usize| Node { up: true, primary: index.is_multiple_of(3), probes: 0, role_seen_at: None };
        let mut world = Self {
            now: START_TIME,
            network: Network::new(params.link_quality),
            partitioned: false,
            rng: ChaCha8Rng::seed_from_u64(params.seed),
            queue: EventQueue::default(),
            control: (0..params.control_instances).map(|_| ProcessSlot::default()).collect(),
            routers: (0..params.routers).map(|_| ProcessSlot::default()).collect(),
            nodes: (0..params.nodes).map(node).collect(),
            keys: Keyring::parse(&"ab".repeat(32)).expect("64 hex digits are a valid key"),
            sealer: Sealer::default(),
            params,
        };
        (0..world.control.len()).for_each(|index| world.start_control(index));
        (0..world.routers.len()).for_each(|index| world.start_router(index));
        world
    }

    fn region(&self, index: usize) -> usize {
        index % self.params.regions
    }

    fn are_partitioned(&self, left: usize, right: usize) -> bool {
        self.partitioned && self.region(left) != self.region(right)
    }

    /// Starts a process of a control instance.
    pub fn start_control(&mut self, index: usize) {
        let (now, host) = (self.now, SimulatedHost::default());
        let incarnation = Incarnation(now.as_micros() as u64);
        let own_record = MemberRecord {
            name: control_name(index),
            version: MemberVersion { incarnation, revision: 0 },
            address: control_address(index),
            zone: self.region(index) as u16,
            weight: 1,
            state: MemberState::Joining,
        };
        let seeds = (0..self.control.len().min(3)).map(control_address).collect();
        let seed = self.params.seed ^ ((index as u64) << 40) ^ self.control[index].generation;
        let mut fleet = Fleet::new(host.clone(), own_record, seeds, self.params.fleet_params, seed, now);
        let zones: BTreeMap<SocketAddr, u16> =
            (0..self.nodes.len()).map(|node| (node_address(node), self.region(node) as u16)).collect();
        fleet.nodes_changed(now, &zones);
        let params = publisher::PublisherParams {
            health_check_period: self.params.fleet_params.health_check.period,
            digest_interval: Duration::from_millis(100),
            snapshot_bytes_per_second: self.params.snapshot_bytes_per_s,
            max_subscribers: 100_000,
        };
        let mut publisher = Publisher::new(host.clone(), params, seed ^ 1, now);
        publisher.nodes_changed(now, &zones.into_keys().collect());
        self.control[index].generation += 1;
        self.control[index].process = Some(Instance { fleet, publisher, host, incarnation });
        self.carry_out_control_calls(index);
    }

    /// Starts a process of a router.
    pub fn start_router(&mut self, index: usize) {
        let (now, host) = (self.now, SimulatedHost::default());
        let region = |index: usize| Some(format!("region-{}", index % self.params.regions));
        let control = (0..self.control.len())
            .map(|other| ControlInstance {
                name: control_name(other),
                address: control_address(other),
                region: region(other),
            })
            .collect();
        let params = subscriber::SubscriberParams {
            region: region(index),
            digest_interval: Duration::from_millis(100),
            health_check_period: self.params.fleet_params.health_check.period,
            router_count: self.params.routers as u32,
        };
        let seed = self.params.seed ^ ((index as u64) << 20) ^ self.routers[index].generation;
        let mut subscriber = Subscriber::new(host.clone(), router_name(index), params, control, seed, now);
        let nodes: BTreeSet<SocketAddr> = (0..self.nodes.len()).map(node_address).collect();
        subscriber.nodes_changed(now, &nodes);
        self.routers[index].generation += 1;
        self.routers[index].process = Some(Router {
            subscriber,
            host,
            incarnation: Incarnation(now.as_micros() as u64),
            paused: false,
            buffered: VecDeque::new(),
            timer_due: false,
        });
        self.carry_out_router_calls(index);
    }

    /// Kills a control instance, as by SIGKILL.
    pub fn kill_control(&mut self, index: usize) {
        self.control[index].process = None;
        self.control[index].generation += 1;
    }

    /// Kills a router, as by SIGKILL.
    pub fn kill_router(&mut self, index: usize) {
        self.routers[index].process = None;
        self.routers[index].generation += 1;
    }

    /// Pauses a router, as by SIGSTOP.
    pub fn pause_router(&mut self, index: usize) {
        self.routers[index].process.iter_mut().for_each(|process| process.paused = true);
    }

    /// Resumes a paused router, as by SIGCONT, and delivers the buffered datagrams and its timer.
    pub fn resume_router(&mut self, index: usize) {
        let Some(process) = &mut self.routers[index].process else { return };
        process.paused = false;
        let (buffered, timer) =
            (std::mem::take(&mut process.buffered), std::mem::take(&mut process.timer_due));
        let generation = self.routers[index].generation;
        buffered.into_iter().for_each(|datagram| self.deliver_to_router(index, datagram));
        if timer {
            self.queue.schedule(self.now, ScheduledEvent::RouterTimer { index, generation });
        }
    }

    /// Sets whether a node answers probes.
    pub fn set_node_up(&mut self, node: usize, up: bool) {
        self.nodes[node].up = up;
    }

    /// Sets whether a node is a primary, as after a failover, and forgets when its previous role was first
    /// reported.
    pub fn set_primary(&mut self, node: usize, primary: bool) {
        (self.nodes[node].primary, self.nodes[node].role_seen_at) = (primary, None);
    }

    /// When a probe first reports the current role of a node: the arrival of its answer, which can lie in the
    /// future. `None` if no such probe has been sent.
    pub fn role_seen_at(&self, node: usize) -> Option<Duration> {
        self.nodes[node].role_seen_at
    }

    /// Number of probes that nodes have answered.
    pub fn probe_count(&self) -> u64 {
        self.nodes.iter().map(|node| node.probes).sum()
    }

    /// The counters of a control instance.
    pub fn control_stats(&self, index: usize) -> ProcessStats {
        self.control[index].stats
    }

    /// The counters of a router.
    pub fn router_stats(&self, index: usize) -> ProcessStats {
        self.routers[index].stats
    }

    /// Resets the peak bytes per second of all control instances and routers.
    pub fn reset_peaks(&mut self) {
        self.control
            .iter_mut()
            .for_each(|slot| (slot.stats.current_second, slot.stats.peak_bytes_per_s) = ((0, 0), 0));
        self.routers
            .iter_mut()
            .for_each(|slot| (slot.stats.current_second, slot.stats.peak_bytes_per_s) = ((0, 0), 0));
    }

    /// What a router knows about a node through the feed.
    pub fn observation(&self, router: usize, node: usize) -> Option<FeedObservation> {
        let process = self.routers[router].process.as_ref()?;
        process.subscriber.observation(node_address(node))
    }

    /// The subscriber of a router, unless the router is killed.
    pub fn subscriber(
        &self,
        router: usize,
    ) -> Option<&Subscriber<impl quillpoint_observation_feed::Host + use<>>> {
        self.routers[router].process.as_ref().map(|process| &process.subscriber)
    }

    /// The publisher of a control instance, unless the instance is killed.
    pub fn publisher(
        &self,
        index: usize,
    ) -> Option<&Publisher<impl quillpoint_observation_feed::Host + use<>>> {
        self.control[index].process.as_ref().map(|process| &process.publisher)
    }

    /// Whether every running router receives digests for every partition from some control instance.
    pub fn all_subscribers_complete(&self) -> bool {
        self.routers.iter().flat_map(|slot| &slot.process).all(|process| process.subscriber.is_complete())
    }

    /// Runs all events that are due at or before `until`, and advances virtual time to it.
    pub fn run_until(&mut self, until: Duration) {
        while self.queue.next_time().is_some_and(|at| at <= until) {
            let Some((at, scheduled)) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.step(scheduled);
        }
        self.now = until;
    }

    fn step(&mut self, scheduled: ScheduledEvent) {
        let now = self.now;
        match scheduled {
            ScheduledEvent::FleetTimer { index, generation } => {
                self.with_instance(index, generation, |instance| instance.fleet.timer_fired(now));
            }
            ScheduledEvent::FeedTimer { index, generation } => {
                self.with_instance(index, generation, |instance| instance.publisher.timer_fired(now));
            }
            ScheduledEvent::GossipMessage { index, generation, message, bytes } => {
                self.control[index].stats.count(now, bytes, false);
                self.control[index].stats.gossip_bytes += bytes as u64;
                self.with_instance(index, generation, |instance| {
                    instance.fleet.message_arrived(now, message)
                });
            }
            ScheduledEvent::ProbeEnded { index, generation, task, probed_at, result } => {
                self.with_instance(index, generation, |instance| {
                    probe_ended(instance, now, task, probed_at, result)
                });
            }
            ScheduledEvent::MessageToControl { index, generation, datagram } => {
                self.control[index].stats.count(now, datagram.bytes, false);
                let FeedDatagram { from, address, incarnation, message, .. } = datagram;
                let message = Rc::unwrap_or_clone(message);
                self.with_instance(index, generation, |instance| {
                    instance.publisher.message_arrived(now, address, &from, incarnation, message);
                });
            }
            ScheduledEvent::MessageToRouter { index, generation, datagram }
                if self.routers[index].generation == generation =>
            {
                self.deliver_to_router(index, datagram);
            }
            ScheduledEvent::RouterTimer { index, generation }
                if self.routers[index].generation == generation =>
            {
                let Some(process) = &mut self.routers[index].process else { return };
                if process.paused {
                    process.timer_due = true;
                    return;
                }
                let started_at = Instant::now();
                process.subscriber.timer_fired(now);
                self.routers[index].stats.cpu_time += started_at.elapsed();
                self.carry_out_router_calls(index);
            }
            ScheduledEvent::MessageToRouter { .. } | ScheduledEvent::RouterTimer { .. } => {}
        }
    }

    /// Lets a control instance handle an event and carries out its host calls. Does nothing if the event was
    /// scheduled for an earlier process.
    fn with_instance(&mut self, index: usize, generation: u64, handler: impl FnOnce(&mut Instance)) {
        let slot = &mut self.control[index];
        let Some(process) = slot.process.as_mut().filter(|_| slot.generation == generation) else { return };
        let started_at = Instant::now();
        handler(process);
        slot.stats.cpu_time += started_at.elapsed();
        self.carry_out_control_calls(index);
    }

    fn deliver_to_router(&mut self, index: usize, datagram: FeedDatagram) {
        let slot = &mut self.routers[index];
        let Some(process) = &mut slot.process else { return };
        if process.paused {
            if process.buffered.len() < MAX_BUFFERED_DATAGRAMS {
                process.buffered.push_back(datagram);
            }
            return;
        }
        slot.stats.count(self.now, datagram.bytes, false);
        let FeedDatagram { from, incarnation, message, .. } = datagram;
        // Real receivers each decode their own copy. Decoding is not part of the measured CPU time, so the
        // message is copied before the measurement starts.
        let message = Rc::unwrap_or_clone(message);
        let started_at = Instant::now();
        process.subscriber.message_arrived(self.now, &from, incarnation, message);
        slot.stats.cpu_time += started_at.elapsed();
        self.carry_out_router_calls(index);
    }

    /// Carries out the calls that a control instance made to its host.
    fn carry_out_control_calls(&mut self, index: usize) {
        let (now, slot) = (self.now, &mut self.control[index]);
        let Some(process) = &mut slot.process else { return };
        let (calls, incarnation) = (std::mem::take(&mut *process.host.0.borrow_mut()), process.incarnation);
        let generation = slot.generation;
        let started_at = Instant::now();
        for observation in calls.received_observations {
            process.publisher.observe(now, observation);
        }
        if let Some(count) = calls.instance_count {
            process.publisher.instance_count_changed(count);
        }
        slot.stats.cpu_time += started_at.elapsed();
        if let Some(delay) = calls.fleet_timer {
            self.queue.schedule(now + delay, ScheduledEvent::FleetTimer { index, generation });
        }
        if let Some(delay) = calls.feed_timer {
            self.queue.schedule(now + delay, ScheduledEvent::FeedTimer { index, generation });
        }
        for (to, receiver, message) in calls.gossip_messages {
            self.send_gossip(index, to, receiver, message);
        }
        // The same digest goes to many subscribers: its message is stored, and its size computed, only once.
        let mut last: Option<(Rc<Message>, usize)> = None;
        for (to, receiver, message) in calls.feed_messages {
            let reused = last.take().filter(|(previous, _)| **previous == message);
            let (message, bytes) = reused.unwrap_or_else(|| {
                let bytes = datagram_bytes(&control_name(index), incarnation, &message);
                (Rc::new(message), bytes)
            });
            last = Some((Rc::clone(&message), bytes));
            let datagram = FeedDatagram {
                from: control_name(index),
                address: control_address(index),
                incarnation,
                message,
                bytes,
            };
            self.send_to_router(index, to, receiver, datagram);
        }
        for task in calls.tasks_to_run {
            self.probe(index, task);
        }
    }

    fn send_gossip(
        &mut self,
        index: usize,
        to: SocketAddr,
        receiver: Option<Incarnation>,
        message: GossipMessage,
    ) {
        let bytes = self
            .sealer
            .seal(&self.keys, receiver, &message)
            .expect("a gossip message fits into a datagram")
            .len();
        self.control[index].stats.count(self.now, bytes, true);
        self.control[index].stats.gossip_bytes += bytes as u64;
        let Some(other) = (0..self.control.len()).find(|other| control_address(*other) == to) else { return };
        let Some(process) = &self.control[other].process else { return };
        let current = process.fleet.members().own_record().version.incarnation;
        // As the datagram package does, rejects a message that is sealed for another incarnation of the
        // receiver. Accepted are the incarnation that the process started with and the one that its fleet has
        // now, which may be later. A message that names no incarnation must be a join request.
        let accepted = receiver.map_or(message.body == GossipBody::JoinRequest, |receiver| {
            receiver == process.incarnation || receiver == current
        });
        if !accepted || self.are_partitioned(index, other) {
            return;
        }
        let generation = self.control[other].generation;
        for delay in self.network.delivery_delays(&mut self.rng, HostId(index), HostId(other)) {
            let message = message.clone();
            self.queue.schedule(
                self.now + delay,
                ScheduledEvent::GossipMessage { index: other, generation, message, bytes },
            );
        }
    }

    fn send_to_router(
        &mut self,
        index: usize,
        to: SocketAddr,
        receiver: Option<Incarnation>,
        datagram: FeedDatagram,
    ) {
        self.control[index].stats.count(self.now, datagram.bytes, true);
        let SocketAddr::V4(address) = to else { return };
        let [_, _, high, low] = address.ip().octets();
        let router = usize::from(high) * 250 + usize::from(low);
        let Some(process) = &self.routers[router].process else { return };
        if receiver != Some(process.incarnation) || self.are_partitioned(index, router) {
            return;
        }
        let generation = self.routers[router].generation;
        let receiver_host = HostId(self.control.len() + router);
        for delay in self.network.delivery_delays(&mut self.rng, HostId(index), receiver_host) {
            let datagram = datagram.clone();
            self.queue.schedule(
                self.now + delay,
                ScheduledEvent::MessageToRouter { index: router, generation, datagram },
            );
        }
    }

    /// Carries out the calls that a router made to its host.
    fn carry_out_router_calls(&mut self, index: usize) {
        let Some(process) = &self.routers[index].process else { return };
        let (calls, incarnation) = (std::mem::take(&mut *process.host.0.borrow_mut()), process.incarnation);
        let generation = self.routers[index].generation;
        if let Some(delay) = calls.feed_timer {
            self.queue.schedule(self.now + delay, ScheduledEvent::RouterTimer { index, generation });
        }
        for (to, receiver, message) in calls.feed_messages {
            let from = router_name(index);
            let bytes = datagram_bytes(&from, incarnation, &message);
            self.routers[index].stats.count(self.now, bytes, true);
            let is_subscribe = message == Message::Subscribe;
            let Some(other) = (0..self.control.len()).find(|other| control_address(*other) == to) else {
                continue;
            };
            let Some(process) = &self.control[other].process else { continue };
            // Subscribe requests name no incarnation; other messages must be for the current process.
            let accepted =
                if is_subscribe { receiver.is_none() } else { receiver == Some(process.incarnation) };
            if !accepted || self.are_partitioned(other, index) {
                continue;
            }
            let generation = self.control[other].generation;
            let datagram = FeedDatagram {
                from,
                address: router_address(index),
                incarnation,
                message: Rc::new(message),
                bytes,
            };
            let sender_host = HostId(self.control.len() + index);
            for delay in self.network.delivery_delays(&mut self.rng, sender_host, HostId(other)) {
                let datagram = datagram.clone();
                self.queue.schedule(
                    self.now + delay,
                    ScheduledEvent::MessageToControl { index: other, generation, datagram },
                );
            }
        }
    }

    fn probe(&mut self, index: usize, task: TaskId) {
        let TaskTarget::Node(address) = task.target else { return };
        let (node, probed_at, generation) = (index_of(address), self.now, self.control[index].generation);
        let delay_to_node = self.network.random_delay(&mut self.rng);
        let delay_to_prober = self.network.random_delay(&mut self.rng);
        let partitioned = self.are_partitioned(index, node);
        let state = &mut self.nodes[node];
        if !state.up || partitioned {
            let scheduled = ScheduledEvent::ProbeEnded { index, generation, task, probed_at, result: None };
            self.queue.schedule(probed_at + PROBE_TIMEOUT, scheduled);
            return;
        }
        state.probes += 1;
        state.role_seen_at.get_or_insert(probed_at + delay_to_node + delay_to_prober);
        let result =
            Some(((probed_at + delay_to_node).saturating_sub(self.params.replication_lag), state.primary));
        self.queue.schedule(
            probed_at + delay_to_node + delay_to_prober,
            ScheduledEvent::ProbeEnded { index, generation, task, probed_at, result },
        );
    }
}

/// Passes the result of a probe (log position and whether the node is a primary; `None` if it failed) to the
/// fleet and the publisher.
fn probe_ended(
    instance: &mut Instance,
    now: Duration,
    task: TaskId,
    probed_at: Duration,
    result: Option<(Duration, bool)>,
) {
    instance.fleet.task_ended(now, task);
    let TaskTarget::Node(node) = task.target else { return };
    let (position, primary) = (result.map(|(position, _)| position), result.map(|(_, primary)| primary));
    let (age, failed, waiting, started) = (Duration::ZERO, result.is_none(), None, None);
    instance.fleet.record_own_observation(
        now,
        probed_at,
        Observation { node, age, position, primary, waiting, started, failed },
    );
    // A failed probe of this instance alone is not published. The fleet reports the failure, as an
    // observation, when a second member has confirmed it.
    if !failed {
        let observation =
            TimestampedObservation { node, at: now, position, primary, waiting, started, failed };
        instance.publisher.observe(now, observation);
    }
}

/// Size in bytes of the datagram that carries a message.
fn datagram_bytes(from: &PeerName, incarnation: Incarnation, message: &Message) -> usize {
    let envelope = Envelope { from: from.clone(), incarnation, message: message.clone() };
    postcard::to_stdvec(&envelope).expect("every feed message can be encoded").len() + DATAGRAM_OVERHEAD_BYTES
}
