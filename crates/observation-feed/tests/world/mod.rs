//! A simulated world of publishers, subscribers and databases in virtual time. It keeps the true state of the
//! databases, passes observations to the publishers, delivers messages over an unreliable network, and checks
//! the invariants after each message that a router receives.

mod checks;
mod costs;
pub mod faults;
mod network;
mod params;
mod processes;
mod recording_host;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::TimestampedObservation;
use quillpoint_observation_feed::{FeedObservation, Publisher, Subscriber};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::checks::DelayBound;
pub use self::costs::max_per_second;
use self::costs::{Costs, tenth_of_second};
use self::network::InFlightMessage;
pub use self::params::{START, WorldParams, address, ms};
use self::processes::ProcessSlot;
use self::recording_host::RecordingHost;

/// What a successful health check has found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
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
    pub health_check_results: VecDeque<HealthCheckResult>,
}

enum Scheduled {
    HealthCheck { database: usize, by: usize },
    Observation { to: usize, observation: TimestampedObservation },
    ToPublisher { index: usize, generation: u64, message_in_flight: InFlightMessage },
    ToRouter { index: usize, generation: u64, message_in_flight: InFlightMessage },
    PublisherTimer { index: usize, generation: u64 },
    RouterTimer { index: usize, generation: u64 },
}

pub struct World {
    pub now: Duration,
    pub params: WorldParams,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), Scheduled>,
    scheduled_count: u64,
    pub databases: Vec<Database>,
    publishers: Vec<ProcessSlot<Publisher<RecordingHost>>>,
    routers: Vec<ProcessSlot<Subscriber<RecordingHost>>>,
    delay_bounds: BTreeMap<(usize, usize), DelayBound>,
    /// For each router, the maximum of the delay bounds of instances that it no longer follows, in seconds.
    past_delay_bounds: Vec<f64>,
    /// Pairs of publisher and router that cannot exchange messages.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Pairs of publisher and database that the publisher cannot observe.
    pub hidden_databases: BTreeSet<(usize, usize)>,
    /// Number of health checks that routers were granted, by tenth of a second.
    pub claimed_checks: BTreeMap<u64, u64>,
    /// The changes that were reported to the hosts of routers, with time and router.
    pub changed_observations: Vec<(Duration, usize, FeedObservation)>,
    /// Whether all invariants are checked after each message, rather than only the cache sizes.
    pub checks_invariants: bool,
}

impl World {
    pub fn new(params: WorldParams) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(params.seed);
        let random_offset =
            |rng: &mut ChaCha8Rng| params.max_clock_offset.mul_f64(rng.random_range(0.0..1.0));
        let database = |index: usize| Database {
            up: true,
            listed: true,
            lag: ms(if index.is_multiple_of(3) { 0 } else { 20 }),
            primary: index.is_multiple_of(3),
            started: START - Duration::from_secs(10_000),
            health_check_results: VecDeque::new(),
        };
        let databases = (0..params.databases).map(database).collect();
        fn slot<T>(clock_offset: Duration) -> ProcessSlot<T> {
            ProcessSlot {
                process: None,
                generation: 0,
                clock_offset,
                costs: Costs::default(),
                events: Vec::new(),
            }
        }
        let publishers = (0..params.publishers).map(|_| slot(random_offset(&mut rng))).collect();
        let routers = (0..params.routers).map(|_| slot(random_offset(&mut rng))).collect();
        let (past_delay_bounds, checks_invariants) = (vec![0.0; params.routers], true);
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
            cut_links: BTreeSet::new(),
            hidden_databases: BTreeSet::new(),
            claimed_checks: BTreeMap::new(),
            changed_observations: Vec::new(),
            checks_invariants,
            params,
        };
        for database in 0..world.params.databases {
            let by = world.owner(database);
            let phase = world.params.period.mul_f64(world.rng.random_range(0.0..1.0));
            world.schedule(world.now + phase, Scheduled::HealthCheck { database, by });
        }
        (0..world.params.publishers).for_each(|index| world.start_publisher(index));
        (0..world.params.routers).for_each(|index| world.start_router(index));
        world
    }

    fn schedule(&mut self, at: Duration, due: Scheduled) {
        self.scheduled_count += 1;
        self.queue.insert((at, self.scheduled_count), due);
    }

    /// The publisher that checks a database: the first one, from the database's index on, that runs and can
    /// observe it.
    fn owner(&self, database: usize) -> usize {
        let all = self.params.publishers;
        let runs = |index: &usize| {
            self.publishers[*index].process.as_ref().is_some_and(|process| !process.paused)
                && !self.hidden_databases.contains(&(*index, database))
        };
        (0..all).map(|step| (database + step) % all).find(runs).unwrap_or(database % all)
    }

    fn nodes(&self) -> BTreeSet<SocketAddr> {
        (0..self.databases.len()).filter(|index| self.databases[*index].listed).map(address).collect()
    }

    pub fn set_listed(&mut self, database: usize, listed: bool) {
        self.databases[database].listed = listed;
        let nodes = self.nodes();
        for slot in &mut self.publishers {
            let now = self.now + slot.clock_offset;
            slot.process.iter_mut().for_each(|process| process.state_machine.nodes_changed(now, &nodes));
        }
        for slot in &mut self.routers {
            let now = self.now + slot.clock_offset;
            slot.process.iter_mut().for_each(|process| process.state_machine.nodes_changed(now, &nodes));
        }
    }

    /// Makes a database fail, or run again with a new start time.
    pub fn set_running(&mut self, database: usize, up: bool) {
        let now = self.now;
        let database = &mut self.databases[database];
        if up && !database.up {
            database.started = now;
        }
        database.up = up;
    }

    pub fn observation(&self, router: usize, database: usize) -> Option<FeedObservation> {
        let slot = &self.routers[router];
        let process = slot.process.as_ref()?;
        let observation = process.state_machine.observation(address(database))?;
        // Converted to the world's clock, which log positions are based on.
        Some(FeedObservation {
            seen_at: observation.seen_at.saturating_sub(slot.clock_offset),
            ..observation
        })
    }

    /// Lets a router request a health check of its own.
    pub fn claim_health_check(&mut self, router: usize, database: usize, needs_own_check: bool) -> bool {
        let now = self.now + self.routers[router].clock_offset;
        let Some(process) = &mut self.routers[router].process else { return false };
        let is_granted = process.state_machine.claim_health_check(now, address(database), needs_own_check);
        if is_granted {
            *self.claimed_checks.entry(tenth_of_second(self.now)).or_default() += 1;
        }
        self.run_router_calls(router);
        is_granted
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
            Scheduled::Observation { to, observation } => {
                let now = self.now + self.publishers[to].clock_offset;
                let at = observation.at + self.publishers[to].clock_offset;
                if let Some(process) = &mut self.publishers[to].process {
                    match process.paused {
                        false => {
                            process.state_machine.observe(now, TimestampedObservation { at, ..observation })
                        }
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
                    if process.paused {
                        process.timer_due = true;
                        return;
                    }
                    process.state_machine.timer_fired(now);
                    self.run_publisher_calls(index);
                }
            }
            Scheduled::RouterTimer { index, generation } if self.routers[index].generation == generation => {
                let now = self.now + self.routers[index].clock_offset;
                if let Some(process) = &mut self.routers[index].process {
                    if process.paused {
                        process.timer_due = true;
                        return;
                    }
                    process.state_machine.timer_fired(now);
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
            self.now + self.params.period.mul_f64(jitter),
            Scheduled::HealthCheck { database: index, by: next },
        );
        let (now, runs) =
            (self.now, self.is_publisher_running(by) && !self.hidden_databases.contains(&(by, index)));
        let database = &mut self.databases[index];
        if !runs || !database.listed {
            return;
        }
        let position = now.saturating_sub(database.lag);
        let before = database.health_check_results.back().map(|result| result.position);
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
            database.health_check_results.push_back(HealthCheckResult {
                at: now,
                position,
                primary,
                started,
            });
            if database.health_check_results.len() > 600 {
                database.health_check_results.pop_front();
            }
        }
        let observation = if database.up {
            observation
        } else {
            TimestampedObservation { position: None, primary: None, started: None, ..observation }
        };
        for to in 0..self.params.publishers {
            if to == by {
                self.step(Scheduled::Observation { to, observation });
            } else if !self.rng.random_bool(self.params.missed_observations)
                && !self.hidden_databases.contains(&(to, index))
            {
                let after = self.params.observation_delay.mul_f64(self.rng.random_range(0.0..1.0));
                self.schedule(now + after, Scheduled::Observation { to, observation });
            }
        }
    }
}

/// Creates a world and runs it until all routers have current observations of all databases.
pub fn converged_world(params: WorldParams) -> World {
    let mut world = World::new(params);
    world.run(ms(5000));
    world.check_convergence().unwrap();
    world
}
