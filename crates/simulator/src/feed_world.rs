//! Control instances and routers in virtual time: each control instance is a member of the fleet that divides the
//! probing and a publisher, each router a subscriber. The packages are those of the program; the world keeps
//! observations.

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

/// Head, receiver's start, number and hash of a datagram.
const DATAGRAM: usize = 55;
/// A node that does not answer lets a probe run into this.
const PROBE_TIME_OUT: Duration = Duration::from_millis(250);
/// So many datagrams wait for a process that has been stopped; the rest is lost, as in a socket's buffer.
const BUFFER: usize = 256;

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct FeedWorldParams {
    pub routers: usize,
    pub control_instances: usize,
    pub nodes: usize,
    pub regions: usize,
    pub link_quality: LinkQuality,
    /// Of the control instances' fleet.
    pub fleet_params: FleetParams,
    pub snapshot_bytes_per_s: f64,
    /// How far behind every node's log position is.
    pub replication_lag: Duration,
    pub seed: u64,
}

/// What a process asked for during one call.
#[derive(Default)]
struct Wishes {
    letters: Vec<(SocketAddr, Option<Incarnation>, GossipMessage)>,
    said: Vec<(SocketAddr, Option<Incarnation>, Message)>,
    fleet_wake: Option<Duration>,
    feed_wake: Option<Duration>,
    duties: Vec<TaskId>,
    heard: Vec<TimestampedObservation>,
    instances: Option<usize>,
}

#[derive(Clone, Default)]
struct Desk(Rc<RefCell<Wishes>>);

impl Host for Desk {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, letter: GossipMessage) {
        self.0.borrow_mut().letters.push((to, session, letter));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.borrow_mut().fleet_wake = Some(after);
    }
    fn run_task(&mut self, duty: TaskId) {
        self.0.borrow_mut().duties.push(duty);
    }
    fn observation_received(&mut self, evidence: TimestampedObservation) {
        self.0.borrow_mut().heard.push(evidence);
    }
    fn report_event(&mut self, event: Event) {
        if let Event::TasksAssigned { routers, .. } = event {
            self.0.borrow_mut().instances = Some(routers);
        }
    }
}

impl quillpoint_observation_feed::Host for Desk {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().said.push((to, session, message));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.borrow_mut().feed_wake = Some(after);
    }
    fn observation_changed(&mut self, _: FeedObservation) {}
    fn report_event(&mut self, _: quillpoint_observation_feed::Event) {}
}

/// What a process has cost.
#[derive(Clone, Copy, Default, Debug)]
pub struct ProcessStats {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Of these, what control instances said to each other, both ways.
    pub gossip_bytes: u64,
    /// Time that its calls took on this machine, which no seed decides.
    pub cpu_time: Duration,
    /// Bytes both ways in the second that is counted, and the most in any since the start.
    second: (u64, u64),
    pub peak_bytes_per_s: u64,
}

impl ProcessStats {
    fn count(&mut self, now: Duration, bytes: usize, out: bool) {
        let bytes = bytes as u64;
        let (messages, all) = if out {
            (&mut self.sent, &mut self.sent_bytes)
        } else {
            (&mut self.received, &mut self.received_bytes)
        };
        (*messages, *all) = (*messages + 1, *all + bytes);
        if self.second.0 != now.as_secs() {
            self.second = (now.as_secs(), 0);
        }
        self.second.1 += bytes;
        self.peak_bytes_per_s = self.peak_bytes_per_s.max(self.second.1);
    }
}

struct Instance {
    fleet: Fleet<Desk>,
    publisher: Publisher<Desk>,
    desk: Desk,
    start: Incarnation,
}

struct Router {
    subscriber: Subscriber<Desk>,
    desk: Desk,
    start: Incarnation,
    stopped: bool,
    waiting: VecDeque<Parcel>,
    timer_due: bool,
}

/// A place with the process that runs there. `life` grows with each, so that what was meant for an earlier one is
/// dropped.
struct Seat<P> {
    process: Option<P>,
    life: u64,
    costs: ProcessStats,
}

impl<P> Default for Seat<P> {
    fn default() -> Self {
        Self { process: None, life: 0, costs: ProcessStats::default() }
    }
}

struct Node {
    up: bool,
    primary: bool,
    probes: u64,
    /// When a probe first saw its present role.
    seen: Option<Duration>,
}

/// A message under way, with the bytes of its datagram.
#[derive(Clone)]
struct Parcel {
    from: PeerName,
    address: SocketAddr,
    start: Incarnation,
    message: Rc<Message>,
    bytes: usize,
}

enum Due {
    FleetTimer { place: usize, life: u64 },
    FeedTimer { place: usize, life: u64 },
    GossipMessage { place: usize, life: u64, letter: GossipMessage, bytes: usize },
    ProbeEnded { place: usize, life: u64, duty: TaskId, asked: Duration, found: Option<(Duration, bool)> },
    ToControl { place: usize, life: u64, parcel: Parcel },
    ToRouter { place: usize, life: u64, parcel: Parcel },
    RouterTimer { place: usize, life: u64 },
}

pub struct FeedWorld {
    pub now: Duration,
    shape: FeedWorldParams,
    network: Network,
    /// Nothing passes between regions.
    pub partitioned: bool,
    chance: ChaCha8Rng,
    queue: EventQueue<Due>,
    control: Vec<Seat<Instance>>,
    routers: Vec<Seat<Router>>,
    nodes: Vec<Node>,
    keys: Keyring,
    sealer: Sealer,
}

fn control_address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 4, 0, place as u8], 7400))
}
fn router_address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 5, (place / 250) as u8, (place % 250) as u8], 7500))
}
fn control_name(place: usize) -> PeerName {
    PeerName::new(&format!("control-{place}")).expect("a good name")
}
fn router_name(place: usize) -> PeerName {
    PeerName::new(&format!("r{place}")).expect("a good name")
}

impl FeedWorld {
    pub fn new(shape: FeedWorldParams) -> Self {
        let node = |place: usize| Node { up: true, primary: place.is_multiple_of(3), probes: 0, seen: None };
        let mut world = Self {
            now: START_TIME,
            network: Network::new(shape.link_quality),
            partitioned: false,
            chance: ChaCha8Rng::seed_from_u64(shape.seed),
            queue: EventQueue::default(),
            control: (0..shape.control_instances).map(|_| Seat::default()).collect(),
            routers: (0..shape.routers).map(|_| Seat::default()).collect(),
            nodes: (0..shape.nodes).map(node).collect(),
            keys: Keyring::parse(&"ab".repeat(32)).expect("64 digits"),
            sealer: Sealer::default(),
            shape,
        };
        (0..world.control.len()).for_each(|place| world.start_control(place));
        (0..world.routers.len()).for_each(|place| world.start_router(place));
        world
    }

    fn region(&self, place: usize) -> usize {
        place % self.shape.regions
    }

    fn apart(&self, one: usize, other: usize) -> bool {
        self.partitioned && self.region(one) != self.region(other)
    }

    pub fn start_control(&mut self, place: usize) {
        let (now, desk) = (self.now, Desk::default());
        let start = Incarnation(now.as_micros() as u64);
        let me = MemberRecord {
            name: control_name(place),
            version: MemberVersion { incarnation: start, revision: 0 },
            address: control_address(place),
            zone: self.region(place) as u16,
            weight: 1,
            state: MemberState::Joining,
        };
        let seeds = (0..self.control.len().min(3)).map(control_address).collect();
        let seed = self.shape.seed ^ ((place as u64) << 40) ^ self.control[place].life;
        let mut fleet = Fleet::new(desk.clone(), me, seeds, self.shape.fleet_params, seed, now);
        let zones: BTreeMap<SocketAddr, u16> =
            (0..self.nodes.len()).map(|node| (node_address(node), self.region(node) as u16)).collect();
        fleet.nodes_changed(now, &zones);
        let plan = publisher::PublisherParams {
            health_check_period: self.shape.fleet_params.health_check.period,
            digest_interval: Duration::from_millis(100),
            snapshot_bytes_per_second: self.shape.snapshot_bytes_per_s,
            max_subscribers: 100_000,
        };
        let mut publisher = Publisher::new(desk.clone(), plan, seed ^ 1, now);
        publisher.nodes_changed(now, &zones.into_keys().collect());
        self.control[place].life += 1;
        self.control[place].process = Some(Instance { fleet, publisher, desk, start });
        self.carry_control(place);
    }

    pub fn start_router(&mut self, place: usize) {
        let (now, desk) = (self.now, Desk::default());
        let region = |place: usize| Some(format!("region-{}", place % self.shape.regions));
        let control = (0..self.control.len())
            .map(|other| ControlInstance {
                name: control_name(other),
                address: control_address(other),
                region: region(other),
            })
            .collect();
        let plan = subscriber::SubscriberParams {
            region: region(place),
            digest_interval: Duration::from_millis(100),
            health_check_period: self.shape.fleet_params.health_check.period,
            router_count: self.shape.routers as u32,
        };
        let seed = self.shape.seed ^ ((place as u64) << 20) ^ self.routers[place].life;
        let mut subscriber = Subscriber::new(desk.clone(), router_name(place), plan, control, seed, now);
        let nodes: BTreeSet<SocketAddr> = (0..self.nodes.len()).map(node_address).collect();
        subscriber.nodes_changed(now, &nodes);
        self.routers[place].life += 1;
        self.routers[place].process = Some(Router {
            subscriber,
            desk,
            start: Incarnation(now.as_micros() as u64),
            stopped: false,
            waiting: VecDeque::new(),
            timer_due: false,
        });
        self.carry_router(place);
    }

    pub fn kill_control(&mut self, place: usize) {
        self.control[place].process = None;
        self.control[place].life += 1;
    }

    pub fn kill_router(&mut self, place: usize) {
        self.routers[place].process = None;
        self.routers[place].life += 1;
    }

    pub fn pause_router(&mut self, place: usize) {
        self.routers[place].process.iter_mut().for_each(|process| process.stopped = true);
    }

    pub fn resume_router(&mut self, place: usize) {
        let Some(process) = &mut self.routers[place].process else { return };
        process.stopped = false;
        let (waiting, timer) = (std::mem::take(&mut process.waiting), std::mem::take(&mut process.timer_due));
        let life = self.routers[place].life;
        waiting.into_iter().for_each(|parcel| self.router_message(place, parcel));
        if timer {
            self.queue.schedule(self.now, Due::RouterTimer { place, life });
        }
    }

    pub fn set_node_up(&mut self, node: usize, up: bool) {
        self.nodes[node].up = up;
    }

    /// Another of its group leads from now on.
    pub fn set_primary(&mut self, node: usize, primary: bool) {
        (self.nodes[node].primary, self.nodes[node].seen) = (primary, None);
    }

    /// When a probe first saw the node in its present role.
    pub fn role_seen_at(&self, node: usize) -> Option<Duration> {
        self.nodes[node].seen
    }

    pub fn probe_count(&self) -> u64 {
        self.nodes.iter().map(|node| node.probes).sum()
    }

    pub fn control_stats(&self, place: usize) -> ProcessStats {
        self.control[place].costs
    }

    pub fn router_stats(&self, place: usize) -> ProcessStats {
        self.routers[place].costs
    }

    /// From now on the most in any second is noted anew.
    pub fn reset_peaks(&mut self) {
        self.control
            .iter_mut()
            .for_each(|seat| (seat.costs.second, seat.costs.peak_bytes_per_s) = ((0, 0), 0));
        self.routers
            .iter_mut()
            .for_each(|seat| (seat.costs.second, seat.costs.peak_bytes_per_s) = ((0, 0), 0));
    }

    pub fn observation(&self, router: usize, node: usize) -> Option<FeedObservation> {
        let process = self.routers[router].process.as_ref()?;
        process.subscriber.observation(node_address(node))
    }

    pub fn subscriber(
        &self,
        router: usize,
    ) -> Option<&Subscriber<impl quillpoint_observation_feed::Host + use<>>> {
        self.routers[router].process.as_ref().map(|process| &process.subscriber)
    }

    pub fn publisher(
        &self,
        place: usize,
    ) -> Option<&Publisher<impl quillpoint_observation_feed::Host + use<>>> {
        self.control[place].process.as_ref().map(|process| &process.publisher)
    }

    /// Whether all routers that run are told of all nodes, by one control instance or another.
    pub fn all_subscribers_complete(&self) -> bool {
        self.routers.iter().flat_map(|seat| &seat.process).all(|process| process.subscriber.is_complete())
    }

    pub fn run_until(&mut self, until: Duration) {
        while self.queue.next_time().is_some_and(|at| at <= until) {
            let Some((at, due)) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.step(due);
        }
        self.now = until;
    }

    fn step(&mut self, due: Due) {
        let now = self.now;
        match due {
            Due::FleetTimer { place, life } => {
                self.call(place, life, |instance| instance.fleet.timer_fired(now));
            }
            Due::FeedTimer { place, life } => {
                self.call(place, life, |instance| instance.publisher.timer_fired(now));
            }
            Due::GossipMessage { place, life, letter, bytes } => {
                self.control[place].costs.count(now, bytes, false);
                self.control[place].costs.gossip_bytes += bytes as u64;
                self.call(place, life, |instance| instance.fleet.message_arrived(now, letter));
            }
            Due::ProbeEnded { place, life, duty, asked, found } => {
                self.call(place, life, |instance| probe_ended(instance, now, duty, asked, found));
            }
            Due::ToControl { place, life, parcel } => {
                self.control[place].costs.count(now, parcel.bytes, false);
                let Parcel { from, address, start, message, .. } = parcel;
                let message = Rc::unwrap_or_clone(message);
                self.call(place, life, |instance| {
                    instance.publisher.message_arrived(now, address, &from, start, message);
                });
            }
            Due::ToRouter { place, life, parcel } if self.routers[place].life == life => {
                self.router_message(place, parcel);
            }
            Due::RouterTimer { place, life } if self.routers[place].life == life => {
                let Some(process) = &mut self.routers[place].process else { return };
                if process.stopped {
                    process.timer_due = true;
                    return;
                }
                let began = Instant::now();
                process.subscriber.timer_fired(now);
                self.routers[place].costs.cpu_time += began.elapsed();
                self.carry_router(place);
            }
            Due::ToRouter { .. } | Due::RouterTimer { .. } => {}
        }
    }

    /// Calls a control instance, unless it is another process by now, and does what it asks for.
    fn call(&mut self, place: usize, life: u64, what: impl FnOnce(&mut Instance)) {
        let seat = &mut self.control[place];
        let Some(process) = seat.process.as_mut().filter(|_| seat.life == life) else { return };
        let began = Instant::now();
        what(process);
        seat.costs.cpu_time += began.elapsed();
        self.carry_control(place);
    }

    fn router_message(&mut self, place: usize, parcel: Parcel) {
        let seat = &mut self.routers[place];
        let Some(process) = &mut seat.process else { return };
        if process.stopped {
            if process.waiting.len() < BUFFER {
                process.waiting.push_back(parcel);
            }
            return;
        }
        seat.costs.count(self.now, parcel.bytes, false);
        let Parcel { from, start, message, .. } = parcel;
        // It is decoded anew at each receiver, which is no decision: copied before the time is taken.
        let message = Rc::unwrap_or_clone(message);
        let began = Instant::now();
        process.subscriber.message_arrived(self.now, &from, start, message);
        seat.costs.cpu_time += began.elapsed();
        self.carry_router(place);
    }

    /// Does what a control instance asked for.
    fn carry_control(&mut self, place: usize) {
        let (now, seat) = (self.now, &mut self.control[place]);
        let Some(process) = &mut seat.process else { return };
        let (wishes, start) = (std::mem::take(&mut *process.desk.0.borrow_mut()), process.start);
        let life = seat.life;
        let began = Instant::now();
        for evidence in wishes.heard {
            process.publisher.observe(now, evidence);
        }
        if let Some(instances) = wishes.instances {
            process.publisher.instance_count_changed(instances);
        }
        seat.costs.cpu_time += began.elapsed();
        if let Some(after) = wishes.fleet_wake {
            self.queue.schedule(now + after, Due::FleetTimer { place, life });
        }
        if let Some(after) = wishes.feed_wake {
            self.queue.schedule(now + after, Due::FeedTimer { place, life });
        }
        for (to, session, letter) in wishes.letters {
            self.post_letter(place, to, session, letter);
        }
        // The same digest goes to many: it is kept and counted once.
        let mut last: Option<(Rc<Message>, usize)> = None;
        for (to, session, message) in wishes.said {
            let same = last.take().filter(|(same, _)| **same == message);
            let (message, bytes) = same.unwrap_or_else(|| {
                let bytes = length(&control_name(place), start, &message);
                (Rc::new(message), bytes)
            });
            last = Some((Rc::clone(&message), bytes));
            let parcel =
                Parcel { from: control_name(place), address: control_address(place), start, message, bytes };
            self.post_to_router(place, to, session, parcel);
        }
        for duty in wishes.duties {
            self.probe(place, duty);
        }
    }

    fn post_letter(
        &mut self,
        place: usize,
        to: SocketAddr,
        session: Option<Incarnation>,
        letter: GossipMessage,
    ) {
        let bytes = self.sealer.seal(&self.keys, session, &letter).expect("letters fit").len();
        self.control[place].costs.count(self.now, bytes, true);
        self.control[place].costs.gossip_bytes += bytes as u64;
        let Some(other) = (0..self.control.len()).find(|other| control_address(*other) == to) else { return };
        let Some(process) = &self.control[other].process else { return };
        let current = process.fleet.members().own_record().version.incarnation;
        let taken = session.map_or(letter.body == GossipBody::JoinRequest, |session| {
            session == process.start || session == current
        });
        if !taken || self.apart(place, other) {
            return;
        }
        let life = self.control[other].life;
        for after in self.network.delivery_delays(&mut self.chance, HostId(place), HostId(other)) {
            let letter = letter.clone();
            self.queue.schedule(self.now + after, Due::GossipMessage { place: other, life, letter, bytes });
        }
    }

    fn post_to_router(&mut self, place: usize, to: SocketAddr, session: Option<Incarnation>, parcel: Parcel) {
        self.control[place].costs.count(self.now, parcel.bytes, true);
        let SocketAddr::V4(address) = to else { return };
        let [_, _, high, low] = address.ip().octets();
        let router = usize::from(high) * 250 + usize::from(low);
        let Some(process) = &self.routers[router].process else { return };
        if session != Some(process.start) || self.apart(place, router) {
            return;
        }
        let life = self.routers[router].life;
        let seat = HostId(self.control.len() + router);
        for after in self.network.delivery_delays(&mut self.chance, HostId(place), seat) {
            let parcel = parcel.clone();
            self.queue.schedule(self.now + after, Due::ToRouter { place: router, life, parcel });
        }
    }

    fn carry_router(&mut self, place: usize) {
        let Some(process) = &self.routers[place].process else { return };
        let (wishes, start) = (std::mem::take(&mut *process.desk.0.borrow_mut()), process.start);
        let life = self.routers[place].life;
        if let Some(after) = wishes.feed_wake {
            self.queue.schedule(self.now + after, Due::RouterTimer { place, life });
        }
        for (to, session, message) in wishes.said {
            let from = router_name(place);
            let bytes = length(&from, start, &message);
            self.routers[place].costs.count(self.now, bytes, true);
            let asks = message == Message::Subscribe;
            let Some(by) = (0..self.control.len()).find(|by| control_address(*by) == to) else { continue };
            let Some(process) = &self.control[by].process else { continue };
            let meant = if asks { session.is_none() } else { session == Some(process.start) };
            if !meant || self.apart(by, place) {
                continue;
            }
            let life = self.control[by].life;
            let parcel =
                Parcel { from, address: router_address(place), start, message: Rc::new(message), bytes };
            let seat = HostId(self.control.len() + place);
            for after in self.network.delivery_delays(&mut self.chance, seat, HostId(by)) {
                let parcel = parcel.clone();
                self.queue.schedule(self.now + after, Due::ToControl { place: by, life, parcel });
            }
        }
    }

    fn probe(&mut self, place: usize, duty: TaskId) {
        let TaskTarget::Node(address) = duty.target else { return };
        let (node, asked, life) = (index_of(address), self.now, self.control[place].life);
        let there = self.network.random_delay(&mut self.chance);
        let back = self.network.random_delay(&mut self.chance);
        let apart = self.apart(place, node);
        let state = &mut self.nodes[node];
        if !state.up || apart {
            let due = Due::ProbeEnded { place, life, duty, asked, found: None };
            self.queue.schedule(asked + PROBE_TIME_OUT, due);
            return;
        }
        state.probes += 1;
        state.seen.get_or_insert(asked + there + back);
        let found = Some(((asked + there).saturating_sub(self.shape.replication_lag), state.primary));
        self.queue.schedule(asked + there + back, Due::ProbeEnded { place, life, duty, asked, found });
    }
}

fn probe_ended(
    instance: &mut Instance,
    now: Duration,
    duty: TaskId,
    asked: Duration,
    found: Option<(Duration, bool)>,
) {
    instance.fleet.task_ended(now, duty);
    let TaskTarget::Node(node) = duty.target else { return };
    let (position, primary) = (found.map(|(position, _)| position), found.map(|(_, primary)| primary));
    let (age, failed, waiting, started) = (Duration::ZERO, found.is_none(), None, None);
    instance.fleet.record_own_observation(
        now,
        asked,
        Observation { node, age, position, primary, waiting, started, failed },
    );
    // An own failure is one voice; the fleet tells of it when there are two.
    if !failed {
        let evidence = TimestampedObservation { node, at: now, position, primary, waiting, started, failed };
        instance.publisher.observe(now, evidence);
    }
}

/// The bytes of a datagram.
fn length(from: &PeerName, start: Incarnation, message: &Message) -> usize {
    let envelope = Envelope { from: from.clone(), incarnation: start, message: message.clone() };
    postcard::to_stdvec(&envelope).expect("messages have a form").len() + DATAGRAM
}
