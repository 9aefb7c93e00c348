//! Publishers and subscribers in virtual time, among databases whose truth the world keeps. It hands evidence to the
//! publishers, carries messages over a network with faults, and checks the rules after each step by books that share
//! no code with what decides.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::{DatedObservation, Incarnation, PeerName};
use quillpoint_observation_feed::publisher::{self, Publisher};
use quillpoint_observation_feed::subscriber::{self, Subscriber};
use quillpoint_observation_feed::{ControlInstance, Envelope, Event, FeedObservation, Host, Message};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const START: Duration = Duration::from_secs(1_000_000);
/// Head, receiver's start, number and hash of a datagram.
const DATAGRAM: usize = 55;
/// No datagram is longer.
const LONGEST: usize = 1200;
/// The rules of dating leave clocks this much a second.
const DRIFT: f64 = 500e-6;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub routers: usize,
    pub publishers: usize,
    pub databases: usize,
    pub regions: usize,
    pub period: Duration,
    pub copy_rate: f64,
    pub most_subscribers: usize,
    /// What part of the datagrams is lost, and what part comes twice.
    pub loss: f64,
    pub doubled: f64,
    /// What part is under way for up to so long, instead of one to three milliseconds.
    pub slow: (f64, Duration),
    /// What part of the evidence does not reach a publisher, and how late it may be.
    pub unseen: f64,
    pub evidence_late: Duration,
    /// How far clocks are apart.
    pub skew: Duration,
    pub seed: u64,
}

impl Shape {
    pub fn calm(routers: usize, publishers: usize, databases: usize, seed: u64) -> Self {
        Self {
            routers,
            publishers,
            databases,
            regions: 1,
            period: ms(150),
            copy_rate: 400_000.0,
            most_subscribers: 10_000,
            loss: 0.0,
            doubled: 0.0,
            slow: (0.0, Duration::ZERO),
            unseen: 0.0,
            evidence_late: ms(30),
            skew: Duration::ZERO,
            seed,
        }
    }
}

#[derive(Default)]
struct Wishes {
    sent: Vec<(SocketAddr, Option<Incarnation>, Message)>,
    wake: Option<Duration>,
    learnt: Vec<FeedObservation>,
    events: Vec<Event>,
}

#[derive(Clone, Default)]
pub struct Desk(Rc<RefCell<Wishes>>);

impl Host for Desk {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().sent.push((to, session, message));
    }
    fn set_timer(&mut self, after: Duration) {
        let before = self.0.borrow_mut().wake.replace(after);
        assert_eq!(before, None, "one timer each");
    }
    fn learnt(&mut self, word: FeedObservation) {
        self.0.borrow_mut().learnt.push(word);
    }
    fn tell(&mut self, event: Event) {
        self.0.borrow_mut().events.push(event);
    }
}

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sighting {
    pub at: Duration,
    pub position: Duration,
    pub primary: bool,
    pub started: Duration,
}

pub struct Database {
    pub up: bool,
    pub listed: bool,
    pub lag: Duration,
    pub primary: bool,
    pub started: Duration,
    pub sightings: VecDeque<Sighting>,
}

/// One side's process.
struct Process<T> {
    side: T,
    desk: Desk,
    start: Incarnation,
    stopped: bool,
    waiting: VecDeque<Parcel>,
    /// What its fleet has sent it meanwhile, dated when it was seen.
    unheard: Vec<DatedObservation>,
    timer_due: bool,
}

#[derive(Default, Clone)]
pub struct Costs {
    pub messages: u64,
    pub bytes: u64,
    /// Bytes sent in each tenth of a second, all and those of copies.
    pub tenths: BTreeMap<u64, (u64, u64)>,
    pub subscribes: BTreeMap<u64, u64>,
}

/// How fresh digests of a publisher may have made what a router knows: the shortest of their ways as they were drawn,
/// by the rule. How long they then wait until the router reads them makes nothing fresher.
#[derive(Clone, Copy)]
struct Way {
    start: Incarnation,
    least: f64,
    at: Duration,
    digests: u32,
    /// The longest that it was since words were dated by it: some may date from then.
    most: f64,
}

struct Seat<T> {
    process: Option<Process<T>>,
    life: u64,
    ahead: Duration,
    costs: Costs,
    events: Vec<(Duration, Event)>,
}

enum Due {
    Probe { database: usize, by: usize },
    DatedObservation { to: usize, evidence: DatedObservation },
    ToPublisher { place: usize, life: u64, parcel: Parcel },
    ToRouter { place: usize, life: u64, parcel: Parcel },
    PublisherTimer { place: usize, life: u64 },
    RouterTimer { place: usize, life: u64 },
}

/// A message under way, when it was sent, and when it comes: read it may be much later.
#[derive(Clone)]
struct Parcel {
    from: PeerName,
    address: SocketAddr,
    start: Incarnation,
    sent: Duration,
    comes: Duration,
    message: Message,
}

pub struct World {
    pub now: Duration,
    pub shape: Shape,
    chance: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), Due>,
    entered: u64,
    pub databases: Vec<Database>,
    publishers: Vec<Seat<Publisher<Desk>>>,
    routers: Vec<Seat<Subscriber<Desk>>>,
    ways: BTreeMap<(usize, usize), Way>,
    /// The least favourable of the ways of earlier times, by router.
    past_ways: Vec<f64>,
    /// Cut ways between publishers and routers, and what publishers do not see of databases.
    pub cut: BTreeSet<(usize, usize)>,
    pub blind: BTreeSet<(usize, usize)>,
    /// Probes of routers that claimed them, by tenth of a second.
    pub alone_probes: BTreeMap<u64, u64>,
    /// What routers were told by name.
    pub learnt: Vec<(Duration, usize, FeedObservation)>,
    /// Whether each step is followed by the full check.
    pub checked: bool,
}

pub fn address(database: usize) -> SocketAddr {
    SocketAddr::from(([10, 3, (database / 250) as u8, (database % 250) as u8], 5432))
}

pub fn publisher_address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, place as u8], 7000))
}

pub fn router_address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (place / 250) as u8, (place % 250) as u8], 7000))
}

pub fn publisher_name(place: usize) -> PeerName {
    PeerName::new(&format!("control-{place}")).unwrap()
}

pub fn router_name(place: usize) -> PeerName {
    PeerName::new(&format!("r{place}")).unwrap()
}

fn region(place: usize, regions: usize) -> Option<String> {
    Some(format!("region-{}", place % regions))
}

pub fn control(shape: &Shape) -> Vec<ControlInstance> {
    let one = |place| ControlInstance {
        name: publisher_name(place),
        address: publisher_address(place),
        region: region(place, shape.regions),
    };
    (0..shape.publishers).map(one).collect()
}

impl World {
    pub fn new(shape: Shape) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(shape.seed);
        let skew = |chance: &mut ChaCha8Rng| shape.skew.mul_f64(chance.random_range(0.0..1.0));
        let database = |place: usize| Database {
            up: true,
            listed: true,
            lag: ms(if place.is_multiple_of(3) { 0 } else { 20 }),
            primary: place.is_multiple_of(3),
            started: START - Duration::from_secs(10_000),
            sightings: VecDeque::new(),
        };
        let databases = (0..shape.databases).map(database).collect();
        fn seat<T>(ahead: Duration) -> Seat<T> {
            Seat { process: None, life: 0, ahead, costs: Costs::default(), events: Vec::new() }
        }
        let publishers = (0..shape.publishers).map(|_| seat(skew(&mut chance))).collect();
        let routers = (0..shape.routers).map(|_| seat(skew(&mut chance))).collect();
        let (past_ways, checked) = (vec![0.0; shape.routers], true);
        let mut world = Self {
            now: START,
            chance,
            queue: BTreeMap::new(),
            entered: 0,
            databases,
            publishers,
            routers,
            ways: BTreeMap::new(),
            past_ways,
            cut: BTreeSet::new(),
            blind: BTreeSet::new(),
            alone_probes: BTreeMap::new(),
            learnt: Vec::new(),
            checked,
            shape,
        };
        for database in 0..world.shape.databases {
            let by = world.owner(database);
            let phase = world.shape.period.mul_f64(world.chance.random_range(0.0..1.0));
            world.enter(world.now + phase, Due::Probe { database, by });
        }
        (0..world.shape.publishers).for_each(|place| world.start_publisher(place));
        (0..world.shape.routers).for_each(|place| world.start_router(place));
        world
    }

    fn enter(&mut self, at: Duration, due: Due) {
        self.entered += 1;
        self.queue.insert((at, self.entered), due);
    }

    /// Which publisher probes a database: the first in its line that runs and sees it.
    fn owner(&self, database: usize) -> usize {
        let all = self.shape.publishers;
        let runs = |place: &usize| {
            self.publishers[*place].process.as_ref().is_some_and(|process| !process.stopped)
                && !self.blind.contains(&(*place, database))
        };
        (0..all).map(|step| (database + step) % all).find(runs).unwrap_or(database % all)
    }

    fn nodes(&self) -> BTreeSet<SocketAddr> {
        (0..self.databases.len()).filter(|place| self.databases[*place].listed).map(address).collect()
    }

    pub fn start_publisher(&mut self, place: usize) {
        let desk = Desk::default();
        let now = self.now + self.publishers[place].ahead;
        let plan = publisher::PublisherParams {
            period: self.shape.period,
            every: ms(100),
            copy_rate: self.shape.copy_rate,
            most_subscribers: self.shape.most_subscribers,
        };
        let seed = self.shape.seed ^ ((place as u64) << 20) ^ self.publishers[place].life;
        let mut side = Publisher::new(desk.clone(), plan, seed, now);
        side.nodes_changed(now, &self.nodes());
        side.instances_changed(self.shape.publishers);
        self.publishers[place].life += 1;
        let start = Incarnation(self.now.as_micros() as u64);
        self.publishers[place].process = Some(process(side, desk, start));
        self.carry_publisher(place);
    }

    pub fn start_router(&mut self, place: usize) {
        let desk = Desk::default();
        let now = self.now + self.routers[place].ahead;
        let plan = subscriber::SubscriberParams {
            region: region(place, self.shape.regions),
            every: ms(100),
            period: self.shape.period,
            routers: self.shape.routers as u32,
        };
        let seed = self.shape.seed ^ ((place as u64) << 32) ^ self.routers[place].life;
        let mut side =
            Subscriber::new(desk.clone(), router_name(place), plan, control(&self.shape), seed, now);
        side.nodes_changed(now, &self.nodes());
        self.routers[place].life += 1;
        self.ways.retain(|(router, _), _| *router != place);
        self.past_ways[place] = 0.0;
        let start = Incarnation(self.now.as_micros() as u64);
        self.routers[place].process = Some(process(side, desk, start));
        self.carry_router(place);
    }

    pub fn kill_publisher(&mut self, place: usize) {
        self.publishers[place].process = None;
        self.publishers[place].life += 1;
    }

    pub fn kill_router(&mut self, place: usize) {
        self.routers[place].process = None;
        self.routers[place].life += 1;
    }

    pub fn leave_publisher(&mut self, place: usize) {
        let now = self.now + self.publishers[place].ahead;
        if let Some(process) = &mut self.publishers[place].process {
            process.side.leave(now);
            self.carry_publisher(place);
        }
        self.kill_publisher(place);
    }

    pub fn stop_publisher(&mut self, place: usize) {
        self.publishers[place].process.iter_mut().for_each(|process| process.stopped = true);
    }

    pub fn stop_router(&mut self, place: usize) {
        self.routers[place].process.iter_mut().for_each(|process| process.stopped = true);
    }

    pub fn go_on_publisher(&mut self, place: usize) {
        let now = self.now + self.publishers[place].ahead;
        let Some(process) = &mut self.publishers[place].process else { return };
        process.stopped = false;
        std::mem::take(&mut process.unheard)
            .into_iter()
            .for_each(|evidence| process.side.seen(now, evidence));
        let (waiting, timer) = (std::mem::take(&mut process.waiting), std::mem::take(&mut process.timer_due));
        waiting.into_iter().for_each(|parcel| self.publisher_message(place, parcel));
        if timer {
            let life = self.publishers[place].life;
            self.enter(self.now, Due::PublisherTimer { place, life });
        }
    }

    pub fn go_on_router(&mut self, place: usize) {
        let Some(process) = &mut self.routers[place].process else { return };
        process.stopped = false;
        let (waiting, timer) = (std::mem::take(&mut process.waiting), std::mem::take(&mut process.timer_due));
        waiting.into_iter().for_each(|parcel| self.router_message(place, parcel));
        if timer {
            let life = self.routers[place].life;
            self.enter(self.now, Due::RouterTimer { place, life });
        }
    }

    pub fn runs_publisher(&self, place: usize) -> bool {
        self.publishers[place].process.as_ref().is_some_and(|process| !process.stopped)
    }

    pub fn runs_router(&self, place: usize) -> bool {
        self.routers[place].process.as_ref().is_some_and(|process| !process.stopped)
    }

    pub fn list(&mut self, database: usize, listed: bool) {
        self.databases[database].listed = listed;
        let nodes = self.nodes();
        for seat in &mut self.publishers {
            let now = self.now + seat.ahead;
            seat.process.iter_mut().for_each(|process| process.side.nodes_changed(now, &nodes));
        }
        for seat in &mut self.routers {
            let now = self.now + seat.ahead;
            seat.process.iter_mut().for_each(|process| process.side.nodes_changed(now, &nodes));
        }
    }

    /// A database that fails, or is back as one that has just started.
    pub fn set_up(&mut self, database: usize, up: bool) {
        let now = self.now;
        let database = &mut self.databases[database];
        if up && !database.up {
            database.started = now;
        }
        database.up = up;
    }

    pub fn known(&self, router: usize, database: usize) -> Option<FeedObservation> {
        let seat = &self.routers[router];
        let process = seat.process.as_ref()?;
        let word = process.side.known(self.now + seat.ahead, address(database))?;
        // On the world's clock, which positions are on.
        Some(FeedObservation { at: word.at.saturating_sub(seat.ahead), ..word })
    }

    pub fn subscriber(&self, router: usize) -> Option<&Subscriber<Desk>> {
        self.routers[router].process.as_ref().map(|process| &process.side)
    }

    pub fn publisher(&self, place: usize) -> Option<&Publisher<Desk>> {
        self.publishers[place].process.as_ref().map(|process| &process.side)
    }

    pub fn publisher_costs(&self, place: usize) -> &Costs {
        &self.publishers[place].costs
    }

    pub fn router_costs(&self, place: usize) -> &Costs {
        &self.routers[place].costs
    }

    pub fn router_events(&self, place: usize) -> &[(Duration, Event)] {
        &self.routers[place].events
    }

    /// A router wants to look at a database by itself.
    pub fn claim(&mut self, router: usize, database: usize, alone: bool) -> bool {
        let now = self.now + self.routers[router].ahead;
        let Some(process) = &mut self.routers[router].process else { return false };
        let may = process.side.claim_health_check(now, address(database), alone);
        if may {
            *self.alone_probes.entry(tenth(self.now)).or_default() += 1;
        }
        self.carry_router(router);
        may
    }

    pub fn run_until(&mut self, until: Duration) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= until
        {
            let ((at, _), due) = entry.remove_entry();
            self.now = self.now.max(at);
            self.step(due);
        }
        self.now = until;
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Probe { database, by } => self.probe(database, by),
            Due::DatedObservation { to, evidence } => {
                let now = self.now + self.publishers[to].ahead;
                let at = evidence.at + self.publishers[to].ahead;
                if let Some(process) = &mut self.publishers[to].process {
                    match process.stopped {
                        false => process.side.seen(now, DatedObservation { at, ..evidence }),
                        true => process.unheard.push(DatedObservation { at, ..evidence }),
                    }
                }
            }
            Due::ToPublisher { place, life, parcel } if self.publishers[place].life == life => {
                self.publisher_message(place, parcel);
            }
            Due::ToRouter { place, life, parcel } if self.routers[place].life == life => {
                self.router_message(place, parcel);
            }
            Due::PublisherTimer { place, life } if self.publishers[place].life == life => {
                let now = self.now + self.publishers[place].ahead;
                if let Some(process) = &mut self.publishers[place].process {
                    if process.stopped {
                        process.timer_due = true;
                        return;
                    }
                    process.side.timer_fired(now);
                    self.carry_publisher(place);
                }
            }
            Due::RouterTimer { place, life } if self.routers[place].life == life => {
                let now = self.now + self.routers[place].ahead;
                if let Some(process) = &mut self.routers[place].process {
                    if process.stopped {
                        process.timer_due = true;
                        return;
                    }
                    process.side.timer_fired(now);
                    self.carry_router(place);
                }
            }
            _ => {}
        }
    }

    fn probe(&mut self, place: usize, by: usize) {
        let next = self.owner(place);
        let jitter = self.chance.random_range(0.95..1.05);
        self.enter(self.now + self.shape.period.mul_f64(jitter), Due::Probe { database: place, by: next });
        let (now, runs) = (self.now, self.runs_publisher(by) && !self.blind.contains(&(by, place)));
        let database = &mut self.databases[place];
        if !runs || !database.listed {
            return;
        }
        let position = now.saturating_sub(database.lag);
        let before = database.sightings.back().map(|sighting| sighting.position);
        let position = before.map_or(position, |before| before.max(position));
        let evidence = DatedObservation {
            node: address(place),
            at: now,
            position: Some(position),
            primary: Some(database.primary),
            waiting: None,
            started: Some(database.started),
            failed: !database.up,
        };
        if database.up {
            let (primary, started) = (database.primary, database.started);
            database.sightings.push_back(Sighting { at: now, position, primary, started });
            if database.sightings.len() > 600 {
                database.sightings.pop_front();
            }
        }
        let evidence = if database.up {
            evidence
        } else {
            DatedObservation { position: None, primary: None, started: None, ..evidence }
        };
        for to in 0..self.shape.publishers {
            if to == by {
                self.step(Due::DatedObservation { to, evidence });
            } else if !self.chance.random_bool(self.shape.unseen) && !self.blind.contains(&(to, place)) {
                let after = self.shape.evidence_late.mul_f64(self.chance.random_range(0.0..1.0));
                self.enter(now + after, Due::DatedObservation { to, evidence });
            }
        }
    }

    fn publisher_message(&mut self, place: usize, parcel: Parcel) {
        let now = self.now + self.publishers[place].ahead;
        let Some(process) = &mut self.publishers[place].process else { return };
        if process.stopped {
            process.waiting.push_back(parcel);
            return;
        }
        let Parcel { from, address, start, message, .. } = parcel;
        process.side.message_arrived(now, address, &from, start, message);
        self.carry_publisher(place);
    }

    fn router_message(&mut self, place: usize, parcel: Parcel) {
        let now = self.now + self.routers[place].ahead;
        let Some(process) = &mut self.routers[place].process else { return };
        if process.stopped {
            process.waiting.push_back(parcel);
            return;
        }
        let Parcel { from, start, sent, comes, message, .. } = parcel;
        // What the socket's owner does.
        let Some(message) = message.waited(self.now.saturating_sub(comes)) else { return };
        if matches!(message, Message::Digest(_)) && process.side.follows(&from) {
            let by: usize = from.as_str().strip_prefix("control-").unwrap().parse().unwrap();
            note_way(&mut self.ways, (place, by), start, self.now, comes.saturating_sub(sent));
        }
        process.side.message_arrived(now, &from, start, message);
        self.carry_router(place);
        self.check_router(place);
    }

    fn carry_publisher(&mut self, place: usize) {
        let Some(process) = &self.publishers[place].process else { return };
        let (wishes, start) = (std::mem::take(&mut *process.desk.0.borrow_mut()), process.start);
        let life = self.publishers[place].life;
        if let Some(after) = wishes.wake {
            self.enter(self.now + after, Due::PublisherTimer { place, life });
        }
        let now = self.now;
        self.publishers[place].events.extend(wishes.events.into_iter().map(|event| (now, event)));
        for (to, session, message) in wishes.sent {
            let parcel = Parcel {
                from: publisher_name(place),
                address: publisher_address(place),
                start,
                sent: now,
                comes: now,
                message,
            };
            count(&mut self.publishers[place].costs, now, &parcel);
            let octets = match to.ip() {
                std::net::IpAddr::V4(ip) => ip.octets(),
                std::net::IpAddr::V6(_) => panic!("an unknown address"),
            };
            let router = usize::from(octets[2]) * 250 + usize::from(octets[3]);
            let Some(process) = &self.routers[router].process else { continue };
            // What the package of datagrams refuses.
            if session != Some(process.start) || self.cut.contains(&(place, router)) {
                continue;
            }
            let life = self.routers[router].life;
            for after in self.arrivals() {
                let parcel = Parcel { comes: now + after, ..parcel.clone() };
                self.enter(now + after, Due::ToRouter { place: router, life, parcel });
            }
        }
    }

    fn carry_router(&mut self, place: usize) {
        let Some(process) = &self.routers[place].process else { return };
        let (wishes, start) = (std::mem::take(&mut *process.desk.0.borrow_mut()), process.start);
        let life = self.routers[place].life;
        if let Some(after) = wishes.wake {
            self.enter(self.now + after, Due::RouterTimer { place, life });
        }
        let now = self.now;
        self.routers[place].events.extend(wishes.events.into_iter().map(|event| (now, event)));
        self.learnt.extend(wishes.learnt.into_iter().map(|word| (now, place, word)));
        for (to, session, message) in wishes.sent {
            let by = (0..self.shape.publishers).find(|by| publisher_address(*by) == to).unwrap();
            if matches!(message, Message::Unsubscribe) {
                // What it follows from now on is measured anew; what it keeps was dated by the old measure.
                if let Some(way) = self.ways.remove(&(place, by)) {
                    self.past_ways[place] = self.past_ways[place].max(way.most);
                }
            }
            let asks = matches!(message, Message::Subscribe);
            if asks {
                *self.routers[place].costs.subscribes.entry(now.as_secs()).or_default() += 1;
            }
            let parcel = Parcel {
                from: router_name(place),
                address: router_address(place),
                start,
                sent: now,
                comes: now,
                message,
            };
            count(&mut self.routers[place].costs, now, &parcel);
            let Some(process) = &self.publishers[by].process else { continue };
            let meant = if asks { session.is_none() } else { session == Some(process.start) };
            if !meant || self.cut.contains(&(by, place)) {
                continue;
            }
            let life = self.publishers[by].life;
            for after in self.arrivals() {
                let parcel = Parcel { comes: now + after, ..parcel.clone() };
                self.enter(now + after, Due::ToPublisher { place: by, life, parcel });
            }
        }
    }

    fn arrivals(&mut self) -> Vec<Duration> {
        if self.chance.random_bool(self.shape.loss) {
            return Vec::new();
        }
        let twice = self.chance.random_bool(self.shape.doubled);
        (0..=usize::from(twice))
            .map(|_| {
                let (part, most) = self.shape.slow;
                let micros = self.chance.random_range(1000..3000);
                if self.chance.random_bool(part) {
                    most.mul_f64(self.chance.random_range(0.0..1.0)) + Duration::from_micros(micros)
                } else {
                    Duration::from_micros(micros)
                }
            })
            .collect()
    }

    /// How much too fresh what a router knows may be dated: the shortest way that its digests had.
    fn allowance(&self, router: usize) -> Duration {
        let ways = self.ways.range((router, 0)..(router + 1, 0));
        let most = ways.map(|(_, way)| way.most).fold(self.past_ways[router], f64::max);
        Duration::from_secs_f64(most) + Duration::from_micros(10)
    }

    /// The rules, for one router.
    pub fn check_router(&self, router: usize) {
        let Some(process) = &self.routers[router].process else { return };
        let (named, waiting) = process.side.kept();
        // Two that are followed, one on its way in, two that rest; each may still name what has just left the list.
        assert!(
            named <= 5 * self.databases.len() && waiting <= 3 * self.databases.len(),
            "{named} {waiting}"
        );
        if !self.checked {
            return;
        }
        let allowance = self.allowance(router);
        for place in 0..self.databases.len() {
            let Some(word) = self.known(router, place) else { continue };
            let database = &self.databases[place];
            assert!(database.listed, "told of one that is not listed");
            assert!(word.at <= self.now, "of the future");
            if word.failed {
                continue;
            }
            let seen: Vec<&Sighting> = database.sightings.iter().collect();
            let last = seen.last().expect("told of one that nobody has seen");
            assert!(
                word.at <= last.at + allowance,
                "database {place} at router {router}: told as seen at {:?}, seen last at {:?}, way {allowance:?}, now {:?}",
                word.at,
                last.at,
                self.now
            );
            if let Some(position) = word.position {
                assert!(
                    position <= last.position,
                    "database {place} at router {router}: told {position:?}, showed {:?}",
                    last.position
                );
            }
            self.check_names(router, place, &word, &seen);
        }
    }

    /// A role and a start are those that were seen about when the word is dated, or since.
    fn check_names(&self, router: usize, place: usize, word: &FeedObservation, seen: &[&Sighting]) {
        let since = word.at.saturating_sub(ms(1500));
        let first = seen.iter().rposition(|sighting| sighting.at <= since).unwrap_or(0);
        let may = &seen[first..];
        let role = word.primary.is_none_or(|role| may.iter().any(|sighting| sighting.primary == role));
        assert!(role, "database {place} at router {router}: {word:?}, seen {may:?}");
        let Some(started) = word.started else { return };
        assert!(
            may.iter().any(|sighting| sighting.started == started),
            "database {place} at router {router}: {word:?}, seen {may:?}"
        );
    }

    /// Whether all routers that run know all that is true by now: who is up, who is primary, seen within a second.
    pub fn agrees(&self) -> Result<(), String> {
        for router in (0..self.shape.routers).filter(|router| self.runs_router(*router)) {
            for (place, database) in self.databases.iter().enumerate().filter(|(_, one)| one.listed) {
                let word = self.known(router, place);
                let good = word.is_some_and(|word| match database.up {
                    false => word.failed,
                    true => {
                        !word.failed
                            && word.primary == Some(database.primary)
                            && word.at + ms(1000) >= self.now
                            && word.position.is_some()
                    }
                });
                if !good {
                    return Err(format!("router {router}, database {place}: {word:?} at {:?}", self.now));
                }
            }
        }
        Ok(())
    }

    /// Ages of what routers that run know of databases that are up, in order.
    pub fn ages(&self) -> Vec<Duration> {
        let mut ages = Vec::new();
        for router in (0..self.shape.routers).filter(|router| self.runs_router(*router)) {
            for place in (0..self.databases.len()).filter(|place| self.databases[*place].up) {
                let at = self.known(router, place).map_or(Duration::ZERO, |word| word.at);
                ages.push(self.now.saturating_sub(at));
            }
        }
        ages.sort_unstable();
        ages
    }
}

fn process<T>(side: T, desk: Desk, start: Incarnation) -> Process<T> {
    Process {
        side,
        desk,
        start,
        stopped: false,
        waiting: VecDeque::new(),
        unheard: Vec::new(),
        timer_due: false,
    }
}

fn tenth(now: Duration) -> u64 {
    now.as_millis() as u64 / 100
}

fn count(costs: &mut Costs, now: Duration, parcel: &Parcel) {
    let Parcel { from, start, message, .. } = parcel;
    let envelope = Envelope { from: from.clone(), start: *start, message: message.clone() };
    let bytes = postcard::to_stdvec(&envelope).unwrap().len() + DATAGRAM;
    assert!(bytes <= LONGEST, "{bytes} bytes: {message:?}");
    costs.messages += 1;
    costs.bytes += bytes as u64;
    let tenth = costs.tenths.entry(tenth(now)).or_default();
    tenth.0 += bytes as u64;
    if matches!(message, Message::Chunk(_)) {
        tenth.1 += bytes as u64;
    }
}

/// The most in any second.
pub fn most_a_second(tenths: impl Iterator<Item = (u64, u64)>) -> u64 {
    let tenths: Vec<(u64, u64)> = tenths.collect();
    let window =
        |first: u64| tenths.iter().filter(|(at, _)| (first..first + 10).contains(at)).map(|(_, of)| of).sum();
    tenths.iter().map(|(at, _)| window(*at)).max().unwrap_or(0)
}

fn note_way(
    ways: &mut BTreeMap<(usize, usize), Way>,
    key: (usize, usize),
    start: Incarnation,
    now: Duration,
    took: Duration,
) {
    let took = took.as_secs_f64();
    let way = ways.entry(key).or_insert(Way { start, least: took, at: now, digests: 0, most: 0.0 });
    if start < way.start {
        return;
    }
    if way.start != start {
        *way = Way { start, least: took, at: now, digests: 0, most: 0.0 };
    }
    way.least = (way.least + DRIFT * now.saturating_sub(way.at).as_secs_f64()).min(took);
    (way.at, way.digests) = (now, way.digests + 1);
    if way.digests > 2 {
        way.most = way.most.max(way.least);
    }
}
