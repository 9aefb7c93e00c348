//! The observations of a hollow router: the part of a router's engine that its control side needs, and no
//! more.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_channel::Sender;
use quillpoint_control_plane::{ControlHost, SubscriberService};
use quillpoint_membership::TimestampedObservation;
use quillpoint_observation_feed::FeedObservation;

use crate::now;
use crate::scale::hollow::side;

/// When a database was first seen as a primary, and whether the latest observation still says so.
#[derive(Clone, Copy)]
struct SeenRole {
    at: Duration,
    is_primary: bool,
}

/// Simulates statements that read from a subscriber: each one reads the new observations of a group of
/// databases.
pub struct StatementReads {
    subscriber: Weak<SubscriberService>,
    groups: Rc<Vec<Vec<SocketAddr>>>,
    per_second: f64,
    completed: u64,
}

impl StatementReads {
    /// Simulates `per_second` statements a second.
    pub fn new(
        subscriber: &Rc<SubscriberService>,
        groups: Rc<Vec<Vec<SocketAddr>>>,
        per_second: f64,
    ) -> Self {
        Self { subscriber: Rc::downgrade(subscriber), groups, per_second, completed: 0 }
    }
}

/// The observations of one hollow router, and the host of its control side.
pub struct Observations {
    unix: Duration,
    start: Instant,
    nodes: Rc<BTreeMap<SocketAddr, u16>>,
    /// Sampled databases, with the time of the latest observation of each.
    sampled: RefCell<BTreeMap<SocketAddr, Option<Duration>>>,
    promotable: Rc<BTreeSet<SocketAddr>>,
    roles: RefCell<BTreeMap<SocketAddr, SeenRole>>,
    /// Databases with a health check in flight.
    in_flight: RefCell<BTreeSet<SocketAddr>>,
    probes: Sender<SocketAddr>,
    /// Set once for a router that is a subscriber.
    statement_reads: OnceCell<RefCell<StatementReads>>,
    /// Whether the two sides are currently cut off from each other.
    pub partitioned: Rc<Cell<bool>>,
    side: u8,
}

impl Observations {
    /// Creates the observations of a router that listens at `listen`; requested health checks are sent to
    /// `probes`.
    pub fn new(
        listen: SocketAddr,
        nodes: Rc<BTreeMap<SocketAddr, u16>>,
        sampled: impl Iterator<Item = SocketAddr>,
        promotable: Rc<BTreeSet<SocketAddr>>,
        probes: Sender<SocketAddr>,
        partitioned: Rc<Cell<bool>>,
    ) -> Self {
        Self {
            unix: now(),
            start: Instant::now(),
            nodes,
            sampled: RefCell::new(sampled.map(|node| (node, None)).collect()),
            promotable,
            roles: RefCell::default(),
            in_flight: RefCell::default(),
            probes,
            statement_reads: OnceCell::new(),
            partitioned,
            side: side(listen),
        }
    }

    /// Starts the simulated statements. Called once.
    pub fn start_statements(&self, statement_reads: StatementReads) {
        _ = self.statement_reads.set(RefCell::new(statement_reads));
    }

    /// Runs the statements that were due since the last digest: each reads its group, one group after the
    /// other. A real router wakes up for each statement anyway; a hollow one would wake up only for this, so
    /// it waits for the next digest.
    fn read_due_statements(&self) {
        let Some(statement_reads) = self.statement_reads.get() else { return };
        let StatementReads { subscriber, groups, per_second, completed } = &mut *statement_reads.borrow_mut();
        let Some(subscriber) = subscriber.upgrade() else { return };
        let due = (self.uptime().as_secs_f64() * *per_second) as u64;
        while *completed < due && !groups.is_empty() {
            let group = &groups[(*completed % groups.len() as u64) as usize];
            group
                .iter()
                .filter_map(|node| subscriber.newer_observation(*node))
                .for_each(|observation| self.feed_observation_received(observation));
            *completed += 1;
        }
    }

    fn record(&self, node: SocketAddr, at: Duration, primary: Option<bool>) {
        if let Some(last_seen) = self.sampled.borrow_mut().get_mut(&node) {
            *last_seen = (*last_seen).max(Some(at));
        }
        if let Some(primary) = primary
            && self.promotable.contains(&node)
        {
            let now = self.now();
            let roles = &mut *self.roles.borrow_mut();
            let known = roles.entry(node).or_insert(SeenRole { at: now, is_primary: false });
            if primary && !known.is_primary {
                known.at = now;
            }
            known.is_primary = primary;
        }
    }

    /// A health check has ended. Returns false if none was in flight.
    pub fn health_check_ended(&self, node: SocketAddr, answered: bool, primary: Option<bool>) -> bool {
        if answered {
            self.record(node, self.now(), primary);
        }
        self.in_flight.borrow_mut().remove(&node)
    }

    /// The age of the latest observation of each sampled database; `None` without one.
    pub fn ages(&self) -> Vec<Option<Duration>> {
        let now = self.now();
        let age = |last_seen: &Option<Duration>| last_seen.map(|at| now.saturating_sub(at));
        self.sampled.borrow().values().map(age).collect()
    }

    /// The time since the router's start.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// The sampled databases.
    pub fn sampled(&self) -> Vec<SocketAddr> {
        self.sampled.borrow().keys().copied().collect()
    }

    /// When the database was first seen as a primary, provided that it has been one in every observation
    /// since.
    pub fn promotion_seen_at(&self, node: SocketAddr) -> Option<Duration> {
        self.roles.borrow().get(&node).filter(|role| role.is_primary).map(|role| role.at)
    }
}

impl ControlHost for Observations {
    fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }
    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        (*self.nodes).clone()
    }
    fn observation_received(&self, observation: TimestampedObservation) {
        let TimestampedObservation { node, at, primary, failed, .. } = observation;
        if !failed {
            self.record(node, at, primary);
        }
    }
    fn feed_observation_received(&self, observation: FeedObservation) {
        if !observation.failed {
            self.record(observation.node, observation.seen_at, observation.primary);
        }
    }
    fn digest_received(&self) {
        self.read_due_statements();
    }
    fn start_health_check(&self, node: SocketAddr) -> bool {
        self.in_flight.borrow_mut().insert(node) && self.probes.try_send(node).is_ok()
    }
    fn is_ejected(&self, _node: SocketAddr) -> bool {
        false
    }
    fn can_reach(&self, other: SocketAddr) -> bool {
        !self.partitioned.get() || side(other) == self.side
    }
}
