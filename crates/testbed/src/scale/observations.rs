//! What a hollow router has heard of databases: the part of an engine that its control side needs, and no more.

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

/// When a database was first heard to be a primary, and whether it was so by the last word.
#[derive(Clone, Copy)]
struct Risen {
    at: Duration,
    is_primary: bool,
}

/// What statements ask of a subscription: of each group that one comes for, what is told of its databases.
pub struct Asks {
    subscription: Weak<SubscriberService>,
    groups: Rc<Vec<Vec<SocketAddr>>>,
    a_second: f64,
    asked: u64,
}

impl Asks {
    pub fn new(
        subscription: &Rc<SubscriberService>,
        groups: Rc<Vec<Vec<SocketAddr>>>,
        a_second: f64,
    ) -> Self {
        Self { subscription: Rc::downgrade(subscription), groups, a_second, asked: 0 }
    }
}

/// What one hollow router has heard, and the host of its control side.
pub struct Observations {
    unix: Duration,
    start: Instant,
    nodes: Rc<BTreeMap<SocketAddr, u16>>,
    /// Databases of which it is noted when they were last heard of, with that time.
    sampled: RefCell<BTreeMap<SocketAddr, Option<Duration>>>,
    movers: Rc<BTreeSet<SocketAddr>>,
    risen: RefCell<BTreeMap<SocketAddr, Risen>>,
    /// Probes that are out there.
    asked: RefCell<BTreeSet<SocketAddr>>,
    probes: Sender<SocketAddr>,
    /// Its subscription's, where it has one.
    asks: OnceCell<RefCell<Asks>>,
    pub cut: Rc<Cell<bool>>,
    side: u8,
}

impl Observations {
    pub fn new(
        listen: SocketAddr,
        nodes: Rc<BTreeMap<SocketAddr, u16>>,
        sampled: impl Iterator<Item = SocketAddr>,
        movers: Rc<BTreeSet<SocketAddr>>,
        probes: Sender<SocketAddr>,
        cut: Rc<Cell<bool>>,
    ) -> Self {
        Self {
            unix: now(),
            start: Instant::now(),
            nodes,
            sampled: RefCell::new(sampled.map(|node| (node, None)).collect()),
            movers,
            risen: RefCell::default(),
            asked: RefCell::default(),
            probes,
            asks: OnceCell::new(),
            cut,
            side: side(listen),
        }
    }

    /// From now on statements ask. Called once.
    pub fn asks(&self, asks: Asks) {
        _ = self.asks.set(RefCell::new(asks));
    }

    /// Statements that have come since the last digest ask for their groups, one after the other. A real router is awake
    /// for each of them in any case; this one is so for digests alone.
    fn catch_up(&self) {
        let Some(asks) = self.asks.get() else { return };
        let Asks { subscription, groups, a_second, asked } = &mut *asks.borrow_mut();
        let Some(subscription) = subscription.upgrade() else { return };
        let come = (self.ran().as_secs_f64() * *a_second) as u64;
        while *asked < come && !groups.is_empty() {
            let group = &groups[(*asked % groups.len() as u64) as usize];
            group
                .iter()
                .filter_map(|node| subscription.newer_observation(*node))
                .for_each(|word| self.feed_observation_received(word));
            *asked += 1;
        }
    }

    fn note(&self, node: SocketAddr, at: Duration, primary: Option<bool>) {
        if let Some(heard) = self.sampled.borrow_mut().get_mut(&node) {
            *heard = (*heard).max(Some(at));
        }
        if let Some(primary) = primary
            && self.movers.contains(&node)
        {
            let now = self.now();
            let risen = &mut *self.risen.borrow_mut();
            let known = risen.entry(node).or_insert(Risen { at: now, is_primary: false });
            if primary && !known.is_primary {
                known.at = now;
            }
            known.is_primary = primary;
        }
    }

    /// A probe has ended. False if none was out there.
    pub fn health_check_ended(&self, node: SocketAddr, answered: bool, primary: Option<bool>) -> bool {
        if answered {
            self.note(node, self.now(), primary);
        }
        self.asked.borrow_mut().remove(&node)
    }

    /// How old what is known of each sampled database is; `None` where nothing is known.
    pub fn ages(&self) -> Vec<Option<Duration>> {
        let now = self.now();
        let age = |heard: &Option<Duration>| heard.map(|at| now.saturating_sub(at));
        self.sampled.borrow().values().map(age).collect()
    }

    /// How long this router runs.
    pub fn ran(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn sampled(&self) -> Vec<SocketAddr> {
        self.sampled.borrow().keys().copied().collect()
    }

    /// When it was first heard that the database is a primary, which it has been all the time since.
    pub fn risen(&self, node: SocketAddr) -> Option<Duration> {
        self.risen.borrow().get(&node).filter(|risen| risen.is_primary).map(|risen| risen.at)
    }
}

impl ControlHost for Observations {
    fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }
    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        (*self.nodes).clone()
    }
    fn observation_received(&self, evidence: TimestampedObservation) {
        let TimestampedObservation { node, at, primary, failed, .. } = evidence;
        if !failed {
            self.note(node, at, primary);
        }
    }
    fn feed_observation_received(&self, word: FeedObservation) {
        if !word.failed {
            self.note(word.node, word.seen_at, word.primary);
        }
    }
    fn digest_received(&self) {
        self.catch_up();
    }
    fn start_health_check(&self, node: SocketAddr) -> bool {
        self.asked.borrow_mut().insert(node) && self.probes.try_send(node).is_ok()
    }
    fn is_ejected(&self, _node: SocketAddr) -> bool {
        false
    }
    fn can_reach(&self, other: SocketAddr) -> bool {
        !self.cut.get() || side(other) == self.side
    }
}
