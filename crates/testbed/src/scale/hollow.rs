//! One hollow router: its control side, its observations, and the tasks that run both.

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

use crate::scale::observations::{Asks, Observations};
use crate::scale::orders::Place;
use crate::scale::prober::Prober;

/// How often statements ask for databases that nobody tells of.
const ASKED_EVERY: Duration = Duration::from_millis(250);

/// What routers are to each other.
pub enum Role {
    Member(MemberConfig),
    Subscriber(SubscriberConfig),
}

/// What all hollow routers of a process have in common.
pub struct Common {
    pub executor: Rc<LocalExecutor<'static>>,
    pub prober: Rc<Prober>,
    /// What a real router of this run is told, of which these differ by name and address alone.
    pub role: Role,
    /// Each router's sessions use one in so many databases.
    pub uses_one_in: usize,
    /// Nothing but control sides runs.
    pub bare: bool,
    /// Statements a second of each router, to these groups in turn.
    pub statements: f64,
    pub groups: Rc<Vec<Vec<SocketAddr>>>,
    pub nodes: Rc<BTreeMap<SocketAddr, u16>>,
    pub movers: Rc<BTreeSet<SocketAddr>>,
    pub cut: Rc<Cell<bool>>,
    pub sampled: usize,
    pub seed: u64,
}

/// Whether a router stands still, as a stopped process does: its datagrams wait at its socket.
#[derive(Default)]
struct Still {
    is_still: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl Still {
    fn set(&self, is_still: bool) {
        self.is_still.set(is_still);
        if !is_still {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Runs it while the router does not stand still.
    async fn hold(self: Rc<Self>, what: impl Future<Output = ()>) {
        let mut what = pin!(what);
        poll_fn(|context| {
            if self.is_still.get() {
                self.waiting.borrow_mut().push(context.waker().clone());
                return Poll::Pending;
            }
            what.as_mut().poll(context)
        })
        .await;
    }
}

/// A router's control side.
#[derive(Clone)]
enum Control {
    Member(Rc<FleetMember>),
    Subscriber(Rc<SubscriberService>),
}

impl Control {
    fn traffic(&self) -> Traffic {
        match self {
            Self::Member(peers) => peers.traffic(),
            Self::Subscriber(subscription) => subscription.traffic(),
        }
    }

    fn probes(&self) -> u64 {
        match self {
            Self::Member(peers) => peers.counts().health_checks,
            Self::Subscriber(subscription) => subscription.counts().health_checks,
        }
    }

    fn state_bytes(&self) -> usize {
        match self {
            Self::Member(peers) => peers.fleet().state_bytes(),
            Self::Subscriber(subscription) => subscription.state_bytes(),
        }
    }
}

struct Running {
    control: Control,
    observations: Rc<Observations>,
    still: Rc<Still>,
    _tasks: Vec<Task<()>>,
}

pub struct Hollow {
    pub name: String,
    listen: SocketAddr,
    place: usize,
    running: Option<Running>,
    /// Of earlier starts.
    before: (Traffic, u64),
}

impl Hollow {
    /// Not yet started.
    pub fn new(place: usize, told: Place) -> Self {
        Self { name: told.name, listen: told.listen, place, running: None, before: Default::default() }
    }

    /// # Errors
    /// Its address cannot be had, or its name is none.
    pub fn start(&mut self, common: &Common) -> std::io::Result<()> {
        let (probes, asked) = async_channel::unbounded();
        let seed = common.seed.wrapping_add(self.place as u64);
        let all = common.nodes.len();
        // Spread evenly, from another place at each router.
        let stride = (all / common.sampled.max(1)).max(1);
        let sampled = (0..common.sampled.min(all))
            .map(|place| (seed.wrapping_mul(7919) as usize + place * stride) % all);
        let sampled: BTreeSet<usize> = sampled.collect();
        let sampled = common.nodes.keys().enumerate().filter(|(place, _)| sampled.contains(place));
        let (nodes, movers) = (Rc::clone(&common.nodes), Rc::clone(&common.movers));
        let sampled = sampled.map(|(_, node)| *node);
        let observations =
            Rc::new(Observations::new(self.listen, nodes, sampled, movers, probes, Rc::clone(&common.cut)));
        let name = PeerName::new(&self.name).map_err(std::io::Error::other)?;
        let around = Rc::clone(&observations) as Rc<dyn ControlHost>;
        let still = Rc::new(Still::default());
        let spawn =
            |task: Pin<Box<dyn Future<Output = ()>>>| common.executor.spawn(Rc::clone(&still).hold(task));
        let (control, mut tasks) = match &common.role {
            Role::Member(part) => {
                let part = MemberConfig { name, listen: self.listen, advertise: self.listen, ..part.clone() };
                let peers = FleetMember::new(part, around, seed)?;
                peers.nodes_changed();
                let (one, other) = (Rc::clone(&peers), Rc::clone(&peers));
                let tasks = vec![spawn(Box::pin(one.receive())), spawn(Box::pin(other.run_timer()))];
                (Control::Member(peers), tasks)
            }
            Role::Subscriber(part) => {
                let mut part = SubscriberConfig { name, listen: self.listen, ..part.clone() };
                part.params.region = Some(region(self.listen).to_string());
                let subscription = SubscriberService::new(part, around, seed)?;
                subscription.nodes_changed();
                observations.asks(Asks::new(&subscription, Rc::clone(&common.groups), common.statements));
                let (one, other) = (Rc::clone(&subscription), Rc::clone(&subscription));
                let uses = common.nodes.keys().skip(self.place % common.uses_one_in.max(1));
                let uses = uses.step_by(common.uses_one_in.max(1)).copied().collect();
                let alone = ask_alone(Rc::clone(&subscription), Rc::clone(&observations), uses);
                let mut tasks = vec![spawn(Box::pin(one.receive())), spawn(Box::pin(other.run_timer()))];
                if !common.bare {
                    tasks.push(spawn(Box::pin(alone)));
                }
                (Control::Subscriber(subscription), tasks)
            }
        };
        let hands = (Rc::clone(&common.executor), Rc::clone(&common.prober));
        let fleet = match &control {
            Control::Member(peers) => Rc::downgrade(peers),
            // What it finds is nobody else's matter.
            Control::Subscriber(_) => Weak::new(),
        };
        let probing = probe(asked, Rc::clone(&observations), fleet, hands, Rc::clone(&still));
        tasks.push(spawn(Box::pin(probing)));
        self.running = Some(Running { control, observations, still, _tasks: tasks });
        Ok(())
    }

    /// Ends at once, as by SIGKILL.
    pub fn kill(&mut self) {
        self.before = (self.traffic(), self.probes());
        self.running = None;
    }

    pub fn stand_still(&self, is_still: bool) {
        if let Some(running) = &self.running {
            running.still.set(is_still);
        }
    }

    /// Whether it runs and does not stand still.
    pub fn runs(&self) -> bool {
        self.running.as_ref().is_some_and(|running| !running.still.is_still.get())
    }

    /// Sums over all its starts.
    pub fn traffic(&self) -> Traffic {
        let now = self.running.as_ref().map(|running| running.control.traffic()).unwrap_or_default();
        self.before.0.plus(now)
    }

    pub fn probes(&self) -> u64 {
        self.before.1 + self.running.as_ref().map_or(0, |running| running.control.probes())
    }

    pub fn state_bytes(&self) -> usize {
        self.running.as_ref().map_or(0, |running| running.control.state_bytes())
    }

    /// On which side of a cut it is.
    pub fn side(&self) -> usize {
        usize::from(side(self.listen))
    }

    /// How long it runs, and how old what it knows of its sampled databases is.
    pub fn ages(&self) -> (Duration, Vec<Option<Duration>>) {
        let Some(Running { control, observations, .. }) = &self.running else { return Default::default() };
        if let Control::Subscriber(subscription) = control {
            for node in observations.sampled() {
                if let Some(word) = subscription.observation(node) {
                    observations.feed_observation_received(word);
                }
            }
        }
        (observations.ran(), observations.ages())
    }

    pub fn risen(&self, node: SocketAddr) -> Option<Duration> {
        self.running.as_ref()?.observations.risen(node)
    }
}

/// A subscriber that no control instance tells probes by itself what its sessions use, as far as its share lets it: as
/// a real one does while statements come.
async fn ask_alone(
    subscription: Rc<SubscriberService>,
    observations: Rc<Observations>,
    uses: Vec<SocketAddr>,
) {
    loop {
        Timer::after(ASKED_EVERY).await;
        if !subscription.subscriber().is_isolated() {
            continue;
        }
        for node in &uses {
            if subscription.claim_health_check(*node) {
                observations.start_health_check(*node);
            }
        }
    }
}

/// On which side of a cut an address is; the sides are two regions.
pub fn side(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3] & 1,
        SocketAddr::V6(address) => address.ip().octets()[15] & 1,
    }
}

/// By side.
pub const REGIONS: [&str; 2] = ["even", "odd"];

pub fn region(address: SocketAddr) -> &'static str {
    REGIONS[usize::from(side(address))]
}

/// Makes the probes that fall to the router, each as a task of its own, which does not keep a killed one's socket.
async fn probe(
    asked: Receiver<SocketAddr>,
    observations: Rc<Observations>,
    peers: Weak<FleetMember>,
    (executor, prober): (Rc<LocalExecutor<'static>>, Rc<Prober>),
    still: Rc<Still>,
) {
    while let Ok(node) = asked.recv().await {
        let (observations, peers, prober) = (Rc::clone(&observations), peers.clone(), Rc::clone(&prober));
        let task = async move {
            let at = observations.now();
            let report = prober.probe(node).await;
            let (failed, report) = (report.is_none(), report.unwrap_or_default());
            observations.health_check_ended(node, !failed, report.primary);
            if let Some(peers) = peers.upgrade() {
                let (position, primary) = (report.position, report.primary);
                let news = Observation {
                    node,
                    age: Duration::ZERO,
                    position,
                    primary,
                    waiting: None,
                    started: None,
                    failed,
                };
                peers.health_check_observed(at, news);
            }
        };
        executor.spawn(Rc::clone(&still).hold(task)).detach();
    }
}
