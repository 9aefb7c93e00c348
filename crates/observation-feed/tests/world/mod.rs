//! Publishers and subscribers in virtual time, among databases whose true state the world keeps. It hands observations to
//! the publishers, carries messages over a network with faults, and checks the rules after each step.

mod checks;
mod costs;
pub mod faults;
mod network;
mod processes;
mod recording_host;
mod shape;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::TimestampedObservation;
use quillpoint_observation_feed::{FeedObservation, Publisher, Subscriber};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::checks::DelayBound;
pub use self::costs::most_a_second;
use self::costs::{Costs, tenth};
use self::network::InFlightMessage;
use self::processes::ProcessSlot;
use self::recording_host::RecordingHost;
pub use self::shape::{START, Shape, address, ms};

/// What a health check found.
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

enum Scheduled {
    HealthCheck { database: usize, by: usize },
    TimestampedObservation { to: usize, observation: TimestampedObservation },
    ToPublisher { index: usize, generation: u64, message_in_flight: InFlightMessage },
    ToRouter { index: usize, generation: u64, message_in_flight: InFlightMessage },
    PublisherTimer { index: usize, generation: u64 },
    RouterTimer { index: usize, generation: u64 },
}

pub struct World {
    pub now: Duration,
    pub shape: Shape,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), Scheduled>,
    scheduled_count: u64,
    pub databases: Vec<Database>,
    publishers: Vec<ProcessSlot<Publisher<RecordingHost>>>,
    routers: Vec<ProcessSlot<Subscriber<RecordingHost>>>,
    delay_bounds: BTreeMap<(usize, usize), DelayBound>,
    /// The least favourable of the delay bounds of earlier times, by router.
    past_delay_bounds: Vec<f64>,
    /// Cut paths between publishers and routers, and what publishers do not see of databases.
    pub cut: BTreeSet<(usize, usize)>,
    pub blind: BTreeSet<(usize, usize)>,
    /// Health checks that routers claimed, by tenth of a second.
    pub isolated_checks: BTreeMap<u64, u64>,
    /// What routers have received by name.
    pub changed: Vec<(Duration, usize, FeedObservation)>,
    /// Whether each step is followed by the full check.
    pub checked: bool,
}

impl World {
    pub fn new(shape: Shape) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(shape.seed);
        let skew = |rng: &mut ChaCha8Rng| shape.skew.mul_f64(rng.random_range(0.0..1.0));
        let database = |index: usize| Database {
            up: true,
            listed: true,
            lag: ms(if index.is_multiple_of(3) { 0 } else { 20 }),
            primary: index.is_multiple_of(3),
            started: START - Duration::from_secs(10_000),
            sightings: VecDeque::new(),
        };
        let databases = (0..shape.databases).map(database).collect();
        fn slot<T>(clock_offset: Duration) -> ProcessSlot<T> {
            ProcessSlot {
                process: None,
                generation: 0,
                clock_offset,
                costs: Costs::default(),
                events: Vec::new(),
            }
        }
        let publishers = (0..shape.publishers).map(|_| slot(skew(&mut rng))).collect();
        let routers = (0..shape.routers).map(|_| slot(skew(&mut rng))).collect();
        let (past_delay_bounds, checked) = (vec![0.0; shape.routers], true);
        let mut world = Self {
            now: START,
            rng,
            queue: BTreeMap::new(),
            scheduled_count: 0,
            databases,
            publishers,
            routers,
            delay_bounds: BTreeMap::new(),
            past_delay_bounds,
            cut: BTreeSet::new(),
            blind: BTreeSet::new(),
            isolated_checks: BTreeMap::new(),
            changed: Vec::new(),
            checked,
            shape,
        };
        for database in 0..world.shape.databases {
            let by = world.owner(database);
            let phase = world.shape.period.mul_f64(world.rng.random_range(0.0..1.0));
            world.schedule(world.now + phase, Scheduled::HealthCheck { database, by });
        }
        (0..world.shape.publishers).for_each(|index| world.start_publisher(index));
        (0..world.shape.routers).for_each(|index| world.start_router(index));
        world
    }

    fn schedule(&mut self, at: Duration, due: Scheduled) {
        self.scheduled_count += 1;
        self.queue.insert((at, self.scheduled_count), due);
    }

    /// Which publisher checks a database: the first in its ranking that runs and sees it.
    fn owner(&self, database: usize) -> usize {
        let all = self.shape.publishers;
        let runs = |index: &usize| {
            self.publishers[*index].process.as_ref().is_some_and(|process| !process.stopped)
                && !self.blind.contains(&(*index, database))
        };
        (0..all).map(|step| (database + step) % all).find(runs).unwrap_or(database % all)
    }

    fn nodes(&self) -> BTreeSet<SocketAddr> {
        (0..self.databases.len()).filter(|index| self.databases[*index].listed).map(address).collect()
    }

    pub fn list(&mut self, database: usize, listed: bool) {
        self.databases[database].listed = listed;
        let nodes = self.nodes();
        for slot in &mut self.publishers {
            let now = self.now + slot.clock_offset;
            slot.process.iter_mut().for_each(|process| process.side.nodes_changed(now, &nodes));
        }
        for slot in &mut self.routers {
            let now = self.now + slot.clock_offset;
            slot.process.iter_mut().for_each(|process| process.side.nodes_changed(now, &nodes));
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
        let slot = &self.routers[router];
        let process = slot.process.as_ref()?;
        let observation = process.side.observation(address(database))?;
        // On the world's clock, which positions are on.
        Some(FeedObservation {
            seen_at: observation.seen_at.saturating_sub(slot.clock_offset),
            ..observation
        })
    }

    /// A router wants to look at a database by itself.
    pub fn claim(&mut self, router: usize, database: usize, needs_own_check: bool) -> bool {
        let now = self.now + self.routers[router].clock_offset;
        let Some(process) = &mut self.routers[router].process else { return false };
        let may = process.side.claim_health_check(now, address(database), needs_own_check);
        if may {
            *self.isolated_checks.entry(tenth(self.now)).or_default() += 1;
        }
        self.run_router_calls(router);
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

    fn step(&mut self, due: Scheduled) {
        match due {
            Scheduled::HealthCheck { database, by } => self.check_database(database, by),
            Scheduled::TimestampedObservation { to, observation } => {
                let now = self.now + self.publishers[to].clock_offset;
                let at = observation.at + self.publishers[to].clock_offset;
                if let Some(process) = &mut self.publishers[to].process {
                    match process.stopped {
                        false => process.side.observe(now, TimestampedObservation { at, ..observation }),
                        true => {
                            process.pending_observations.push(TimestampedObservation { at, ..observation })
                        }
                    }
                }
            }
            Scheduled::ToPublisher { index, generation, message_in_flight }
                if self.publishers[index].generation == generation =>
            {
                self.publisher_message(index, message_in_flight);
            }
            Scheduled::ToRouter { index, generation, message_in_flight }
                if self.routers[index].generation == generation =>
            {
                self.router_message(index, message_in_flight);
            }
            Scheduled::PublisherTimer { index, generation }
                if self.publishers[index].generation == generation =>
            {
                let now = self.now + self.publishers[index].clock_offset;
                if let Some(process) = &mut self.publishers[index].process {
                    if process.stopped {
                        process.timer_due = true;
                        return;
                    }
                    process.side.timer_fired(now);
                    self.run_publisher_calls(index);
                }
            }
            Scheduled::RouterTimer { index, generation } if self.routers[index].generation == generation => {
                let now = self.now + self.routers[index].clock_offset;
                if let Some(process) = &mut self.routers[index].process {
                    if process.stopped {
                        process.timer_due = true;
                        return;
                    }
                    process.side.timer_fired(now);
                    self.run_router_calls(index);
                }
            }
            _ => {}
        }
    }

    fn check_database(&mut self, index: usize, by: usize) {
        let next = self.owner(index);
        let jitter = self.rng.random_range(0.95..1.05);
        self.schedule(
            self.now + self.shape.period.mul_f64(jitter),
            Scheduled::HealthCheck { database: index, by: next },
        );
        let (now, runs) = (self.now, self.runs_publisher(by) && !self.blind.contains(&(by, index)));
        let database = &mut self.databases[index];
        if !runs || !database.listed {
            return;
        }
        let position = now.saturating_sub(database.lag);
        let before = database.sightings.back().map(|sighting| sighting.position);
        let position = before.map_or(position, |before| before.max(position));
        let observation = TimestampedObservation {
            node: address(index),
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
        let observation = if database.up {
            observation
        } else {
            TimestampedObservation { position: None, primary: None, started: None, ..observation }
        };
        for to in 0..self.shape.publishers {
            if to == by {
                self.step(Scheduled::TimestampedObservation { to, observation });
            } else if !self.rng.random_bool(self.shape.unseen) && !self.blind.contains(&(to, index)) {
                let after = self.shape.observation_delay.mul_f64(self.rng.random_range(0.0..1.0));
                self.schedule(now + after, Scheduled::TimestampedObservation { to, observation });
            }
        }
    }
}

/// A world in which all routers know all databases.
pub fn settled(shape: Shape) -> World {
    let mut world = World::new(shape);
    world.run(ms(5000));
    world.agrees().unwrap();
    world
}
