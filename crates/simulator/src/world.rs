//! Routers' fleets among emulated nodes in virtual time. The world keeps observations: who probed what when, what
//! passed between routers, what each was told. It decides nothing that a router decides.

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

/// Virtual time starts here, far enough from zero for clocks that are off.
pub const START_TIME: Duration = Duration::from_secs(1_000_000);
/// So many datagrams wait for a router that has been stopped; the rest is lost, as in a socket's buffer.
const BUFFER: usize = 256;
/// A node that is down lets a probe run into this.
const PROBE_TIME_OUT: Duration = Duration::from_millis(250);

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct WorldParams {
    pub routers: usize,
    pub nodes: usize,
    pub zones: usize,
    pub link_quality: LinkQuality,
    pub fleet_params: FleetParams,
    /// Whether routers know of each other; without it each is alone, as routers that share nothing are.
    pub shared: bool,
    /// How far behind every node's log position is.
    pub replication_lag: Duration,
    pub seed: u64,
}

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

/// What a router asked for during one call, and the evidence it was given.
#[derive(Default)]
struct Wishes {
    sent: Vec<(SocketAddr, Option<Incarnation>, GossipMessage)>,
    wake: Option<Duration>,
    duties: Vec<TaskId>,
    heard: Vec<TimestampedObservation>,
    events: Vec<Event>,
}

#[derive(Clone, Default)]
struct Desk(Rc<RefCell<Wishes>>);

impl Host for Desk {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, letter: GossipMessage) {
        self.0.borrow_mut().sent.push((to, session, letter));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.borrow_mut().wake = Some(after);
    }
    fn run_task(&mut self, duty: TaskId) {
        self.0.borrow_mut().duties.push(duty);
    }
    fn observation_received(&mut self, evidence: TimestampedObservation) {
        self.0.borrow_mut().heard.push(evidence);
    }
    fn report_event(&mut self, event: Event) {
        self.0.borrow_mut().events.push(event);
    }
}

/// A process of a router.
struct Process {
    fleet: Fleet<Desk>,
    desk: Desk,
    start: Incarnation,
    stopped: bool,
    /// What came while it was stopped.
    waiting: VecDeque<Happening>,
}

/// What a router has cost, and what it has seen.
#[derive(Clone, Default)]
pub struct RouterStats {
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    /// Time that its calls took on this machine, which no seed decides.
    pub cpu_time: Duration,
    /// How often it took a router for dead that ran.
    pub false_deaths: u64,
}

struct Router {
    process: Option<Process>,
    /// Grows with each process, so that what was meant for an earlier one is dropped.
    life: u64,
    /// How far its clock is ahead, or behind.
    ahead: Duration,
    behind: Duration,
    costs: RouterStats,
    events: Vec<(Duration, Event)>,
    heard: BTreeMap<usize, Duration>,
    /// The name and address it goes by: its own, unless a fault has given it another's.
    name: usize,
}

struct Node {
    zone: u16,
    up: bool,
    probes: Vec<(Duration, usize)>,
    replication_lag: Duration,
}

enum Happening {
    GossipMessage(GossipMessage),
    Timer,
    ProbeEnded { duty: TaskId, asked: Duration, position: Option<Duration> },
}

enum Due {
    Router { place: usize, life: u64, what: Happening },
    Probe { node: usize, by: usize, life: u64, duty: TaskId },
}

pub struct World {
    pub now: Duration,
    shape: WorldParams,
    pub network: Network,
    chance: ChaCha8Rng,
    queue: EventQueue<Due>,
    routers: Vec<Router>,
    nodes: Vec<Node>,
    keys: Keyring,
    sealer: Sealer,
}

/// Where a router listens, and where a node does.
pub fn router_address(place: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, (place / 250) as u8, (place % 250) as u8 + 1), 7400))
}
pub fn node_address(place: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 2, (place / 250) as u8, (place % 250) as u8 + 1), 5432))
}
pub fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

impl World {
    pub fn new(shape: WorldParams) -> Self {
        let node = |place: usize| Node {
            zone: (place % shape.zones) as u16,
            up: true,
            probes: Vec::new(),
            replication_lag: shape.replication_lag,
        };
        let router = |name: usize| Router {
            process: None,
            life: 0,
            ahead: Duration::ZERO,
            behind: Duration::ZERO,
            costs: RouterStats::default(),
            events: Vec::new(),
            heard: BTreeMap::new(),
            name,
        };
        let key = "ab".repeat(32);
        let mut world = Self {
            now: START_TIME,
            network: Network::new(shape.link_quality),
            chance: ChaCha8Rng::seed_from_u64(shape.seed),
            queue: EventQueue::default(),
            routers: (0..shape.routers).map(router).collect(),
            nodes: (0..shape.nodes).map(node).collect(),
            keys: Keyring::parse(&key).expect("64 digits"),
            sealer: Sealer::default(),
            shape,
        };
        (0..world.routers.len()).for_each(|place| world.start(place));
        world
    }

    pub fn routers(&self) -> usize {
        self.routers.len()
    }

    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// A router's own clock.
    fn clock(&self, place: usize) -> Duration {
        self.now + self.routers[place].ahead - self.routers[place].behind
    }

    /// A clock that is off from the router's next start on.
    pub fn set_clock_skew(&mut self, place: usize, ahead: Duration, behind: Duration) {
        (self.routers[place].ahead, self.routers[place].behind) = (ahead, behind);
    }

    /// From its next start on the router goes by another's name, at its own address.
    pub fn set_name(&mut self, place: usize, name: usize) {
        self.routers[place].name = name;
    }

    /// A new process, unless one runs.
    pub fn start(&mut self, place: usize) {
        if self.routers[place].process.is_some() {
            return;
        }
        let now = self.clock(place);
        let start = Incarnation(now.as_micros() as u64);
        let zone = (place % self.shape.zones) as u16;
        let me = MemberRecord {
            name: PeerName::new(&format!("r{}", self.routers[place].name)).expect("a good name"),
            version: MemberVersion { incarnation: start, revision: 0 },
            address: router_address(place),
            zone,
            weight: 1,
            state: MemberState::Joining,
        };
        // Three seeds are enough to be found by, and every router is configured alike.
        let seeds = if self.shape.shared {
            (0..self.routers.len().min(3)).map(router_address).collect()
        } else {
            vec![]
        };
        let desk = Desk::default();
        let seed = self.shape.seed ^ ((place as u64) << 32) ^ self.routers[place].life;
        let mut fleet = Fleet::new(desk.clone(), me, seeds, self.shape.fleet_params, seed, now);
        let nodes =
            self.nodes.iter().enumerate().map(|(place, node)| (node_address(place), node.zone)).collect();
        fleet.nodes_changed(now, &nodes);
        let router = &mut self.routers[place];
        router.life += 1;
        router.heard.clear();
        router.process = Some(Process { fleet, desk, start, stopped: false, waiting: VecDeque::new() });
        self.carry_out(place);
    }

    /// As by SIGKILL.
    pub fn kill(&mut self, place: usize) {
        self.routers[place].process = None;
        self.routers[place].life += 1;
    }

    /// As by SIGTERM: says goodbye and goes.
    pub fn leave(&mut self, place: usize) {
        let now = self.clock(place);
        if let Some(process) = &mut self.routers[place].process {
            process.fleet.leave(now);
            self.carry_out(place);
            self.kill(place);
        }
    }

    pub fn pause(&mut self, place: usize) {
        if let Some(process) = &mut self.routers[place].process {
            process.stopped = true;
        }
    }

    pub fn resume(&mut self, place: usize) {
        let Some(process) = &mut self.routers[place].process else { return };
        process.stopped = false;
        let waiting = std::mem::take(&mut process.waiting);
        waiting.into_iter().for_each(|what| self.happen(place, what));
    }

    pub fn set_node_up(&mut self, node: usize, up: bool) {
        self.nodes[node].up = up;
    }

    pub fn is_node_up(&self, node: usize) -> bool {
        self.nodes[node].up
    }

    pub fn is_running(&self, place: usize) -> bool {
        self.routers[place].process.as_ref().is_some_and(|process| !process.stopped)
    }

    pub fn peer_count(&self, place: usize) -> Option<usize> {
        self.routers[place].process.as_ref().map(|process| process.fleet.members().peers().count())
    }

    /// The names that this router takes to be there, itself included.
    pub fn active_members(&self, place: usize) -> Vec<String> {
        let Some(process) = &self.routers[place].process else { return Vec::new() };
        let members = process.fleet.members();
        let own = members.may_own_tasks().then(|| members.own_record().name.to_string());
        let mut names: Vec<String> =
            members.active_peers().map(|card| card.name.to_string()).chain(own).collect();
        names.sort();
        names
    }

    /// How many duties the router heads the line for.
    pub fn owned_task_count(&self, place: usize) -> usize {
        self.routers[place].process.as_ref().map_or(0, |process| process.fleet.tasks().counts().owned)
    }

    pub fn probes(&self, node: usize) -> &[(Duration, usize)] {
        &self.nodes[node].probes
    }

    pub fn stats(&self, place: usize) -> &RouterStats {
        &self.routers[place].costs
    }

    pub fn events(&self, place: usize) -> &[(Duration, Event)] {
        &self.routers[place].events
    }

    /// When the router last got evidence on the node, its own or others'.
    pub fn last_observation_at(&self, place: usize, node: usize) -> Option<Duration> {
        self.routers[place].heard.get(&node).copied()
    }

    /// A letter that one router never wrote, as from one that lies: its body, or its cards.
    pub fn forge_message(&mut self, from: usize, to: usize, body: GossipBody) {
        self.forge_message_with_records(from, to, body, Vec::new());
    }

    pub fn forge_records(&mut self, from: usize, to: usize, cards: Vec<MemberRecord>) {
        self.forge_message_with_records(from, to, GossipBody::Observations(Vec::new()), cards);
    }

    fn forge_message_with_records(
        &mut self,
        from: usize,
        to: usize,
        body: GossipBody,
        cards: Vec<MemberRecord>,
    ) {
        let Some(process) = &self.routers[from].process else { return };
        let letter =
            GossipMessage { from: process.fleet.members().own_record().clone(), body, records: cards };
        let life = self.routers[to].life;
        self.queue
            .schedule(self.now, Due::Router { place: to, life, what: Happening::GossipMessage(letter) });
    }

    /// Lets everything happen that is due until then.
    pub fn run_until(&mut self, until: Duration) {
        while self.queue.next_time().is_some_and(|at| at <= until) {
            self.step();
        }
        self.now = until;
    }

    /// One event; false when there is none.
    pub fn step(&mut self) -> bool {
        let Some((at, due)) = self.queue.pop() else { return false };
        self.now = at.max(self.now);
        match due {
            Due::Probe { node, by, life, duty } => self.probe_arrives(node, by, life, duty),
            Due::Router { place, life, what } => {
                if self.routers[place].life == life {
                    self.happen(place, what);
                }
            }
        }
        true
    }

    fn probe_arrives(&mut self, node: usize, by: usize, life: u64, duty: TaskId) {
        let (entry, now) = (&mut self.nodes[node], self.now);
        entry.probes.push((now, by));
        let (after, position) = match entry.up {
            true => (self.network.random_delay(&mut self.chance), Some(now - entry.replication_lag)),
            false => (PROBE_TIME_OUT, None),
        };
        let what = Happening::ProbeEnded { duty, asked: now, position };
        self.queue.schedule(now + after, Due::Router { place: by, life, what });
    }

    fn happen(&mut self, place: usize, what: Happening) {
        let now = self.clock(place);
        let router = &mut self.routers[place];
        let Some(process) = &mut router.process else { return };
        if process.stopped {
            let letters = matches!(what, Happening::GossipMessage(_));
            if !letters || process.waiting.len() < BUFFER {
                process.waiting.push_back(what);
            }
            return;
        }
        let began = Instant::now();
        match what {
            Happening::GossipMessage(letter) => process.fleet.message_arrived(now, letter),
            Happening::Timer => process.fleet.timer_fired(now),
            Happening::ProbeEnded { duty, asked, position } => {
                process.fleet.task_ended(now, duty);
                if let TaskTarget::Node(node) = duty.target {
                    let primary = position.map(|_| false);
                    let (age, failed) = (Duration::ZERO, position.is_none());
                    let news =
                        Observation { node, age, position, primary, waiting: None, started: None, failed };
                    let asked = asked + router.ahead - router.behind;
                    process.fleet.record_own_observation(now, asked, news);
                    router.heard.insert(index_of(node), self.now);
                }
            }
        }
        router.costs.cpu_time += began.elapsed();
        self.carry_out(place);
    }

    /// Does what the router asked for.
    fn carry_out(&mut self, place: usize) {
        let Some(process) = &self.routers[place].process else { return };
        let wishes = std::mem::take(&mut *process.desk.0.borrow_mut());
        let life = self.routers[place].life;
        if let Some(after) = wishes.wake {
            self.queue.schedule(self.now + after, Due::Router { place, life, what: Happening::Timer });
        }
        for evidence in &wishes.heard {
            let router = &mut self.routers[place];
            let at = (evidence.at + router.behind).saturating_sub(router.ahead);
            let known = router.heard.entry(index_of(evidence.node)).or_default();
            *known = at.max(*known);
        }
        for event in wishes.events {
            if let Event::PeerChanged { peer, state: MemberState::Dead, .. } = &event
                && let Some(about) = peer.as_str().strip_prefix('r').and_then(|name| name.parse().ok())
                && self.is_running(about)
            {
                self.routers[place].costs.false_deaths += 1;
            }
            self.routers[place].events.push((self.now, event));
        }
        for (to, session, letter) in wishes.sent {
            let sealed = self.sealer.seal(&self.keys, session, &letter).expect("letters fit");
            let router = &mut self.routers[place];
            router.costs.datagrams_sent += 1;
            router.costs.bytes_sent += sealed.len() as u64;
            let to = index_of(to);
            let Some(other) = self.routers.get(to) else { continue };
            let own = other.process.as_ref().map(|process| process.start);
            // What the package of datagrams refuses: a letter to another start that does not say hello.
            let taken = session.is_none_or(|session| {
                own == Some(session)
                    || other.process.as_ref().is_some_and(|process| {
                        process.fleet.members().own_record().version.incarnation == session
                    })
            });
            if !taken || (session.is_none() && letter.body != GossipBody::JoinRequest) {
                continue;
            }
            let life = other.life;
            for after in self.network.delivery_delays(&mut self.chance, HostId(place), HostId(to)) {
                let what = Happening::GossipMessage(letter.clone());
                self.queue.schedule(self.now + after, Due::Router { place: to, life, what });
            }
        }
        for duty in wishes.duties {
            let TaskTarget::Node(node) = duty.target else { continue };
            let after = self.network.random_delay(&mut self.chance);
            let due = Due::Probe { node: index_of(node), by: place, life, duty };
            self.queue.schedule(self.now + after, due);
        }
    }
}
