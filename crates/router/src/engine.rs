//! The sole owner of the decision module: its clock, its one timer, and what each RPC is still owed.
//!
//! The module acts by calling its host, [`Desk`], which only notes work: orders go to the mailbox of the
//! RPC's own task, probes and closings to the pool, asks for the list to discovery's client. So nothing calls the
//! module from inside one of its own calls.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;
use quillpoint::Router;
use quillpoint::host::{
    AttemptEnd, AttemptNumber, Endpoint, EndpointUpdate, Host, LoadReport, MethodId, NodeId, Outcome,
    PeerObservation, ReplicaSetId, Role, Rpc, RpcId, ZoneId,
};

use crate::deployment::Deployment;
use crate::line::Reach;
use crate::pg::QueryResult;
use crate::statement::Statement;

/// Unix time, read once, with a monotonic clock on top: it never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self { unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(), start: Instant::now() }
    }
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(self.unix)
    }
}

/// What an RPC's task is told.
pub enum Order {
    Attempt(Attempt),
    /// Final answers. A value comes with the position that its node told, of a write its commit.
    Answer(QueryResult, Option<Duration>),
    PushBack(Duration),
    /// With how its last attempt ended, if one has.
    Abort(Option<Outcome>),
}

/// One attempt that is to be made.
pub struct Attempt {
    pub rpc: RpcId,
    pub call: AttemptNumber,
    pub node: NodeId,
    pub at: Duration,
    /// When it times out, which is no later than its client leaves.
    pub until: Duration,
}

/// What the pool is asked for.
pub enum Chore {
    Probe(NodeId),
    /// A probe that is this router's duty towards others, and not asked for by its own module.
    ProbeInTurn(NodeId),
    CloseIdle(NodeId),
}

/// What this router has found out about a node by itself.
pub struct Finding {
    pub node: NodeId,
    /// When it was asked.
    pub asked: Duration,
    /// By a probe; it has ended then.
    pub probe: bool,
    /// The probe came to no answer.
    pub failed: bool,
    pub position: Option<Duration>,
    pub primary: Option<bool>,
    pub waiting: Option<f64>,
    pub started: Option<Duration>,
}

/// Whoever shares with other routers what is found here.
pub trait Sharing {
    fn found(&self, finding: Finding);
    /// The list of nodes has changed.
    fn listed(&self);
    /// Whether a probe that the module asks for is to be made here, or left to another router.
    fn may_probe(&self, node: NodeId) -> bool;
    /// What others have told of a node last; what it has said before may be left out. Asked for where there is use for
    /// it, as what is told of all nodes may come often.
    fn news_of(&self, _node: NodeId) -> Option<PeerObservation> {
        None
    }
}

/// What a node's answer told.
#[derive(Default)]
pub struct Heard {
    pub answer: Option<QueryResult>,
    pub role: Option<Role>,
    pub position: Option<Duration>,
    pub report: Option<LoadReport>,
}

struct Live {
    mailbox: Sender<Order>,
    group: ReplicaSetId,
    deadline: Duration,
    attempts: u32,
    last: Option<Outcome>,
}

/// The module's host.
struct Desk {
    clock: Clock,
    live: RefCell<BTreeMap<RpcId, Live>>,
    most_attempts: u32,
    /// Attempts that can not be made, to be ended as such once the module's call is over.
    unsent: RefCell<Vec<Attempt>>,
    chores: Sender<Chore>,
    list: Sender<()>,
    wake_at: Cell<Option<Duration>>,
    rearmed: Event,
}

struct Hand(Rc<Desk>);

impl Desk {
    /// The one place where an RPC ends.
    fn remove(&self, rpc: RpcId) -> Option<Live> {
        self.live.borrow_mut().remove(&rpc)
    }

    /// The final answer: whoever gives it, the RPC is over here.
    fn finish(&self, rpc: RpcId, order: impl FnOnce(&Live) -> Order) {
        if let Some(live) = self.remove(rpc) {
            // Its task may have ended with its client; then nobody is owed the answer.
            _ = live.mailbox.try_send(order(&live));
        }
    }
}

impl Host for Hand {
    fn attempt(&mut self, rpc: RpcId, node: NodeId, timeout: Duration) {
        let at = self.0.clock.now();
        let mut live = self.0.live.borrow_mut();
        let Some(entry) = live.get_mut(&rpc) else {
            // The call's number is unknown here, but so is the RPC to the module by then.
            let unsent = Attempt { rpc, call: AttemptNumber(u32::MAX), node, at, until: at };
            return self.0.unsent.borrow_mut().push(unsent);
        };
        let call = AttemptNumber(entry.attempts);
        entry.attempts += 1;
        let order = Attempt { rpc, call, node, at, until: (at + timeout).min(entry.deadline) };
        if call.0 >= self.0.most_attempts {
            return self.0.unsent.borrow_mut().push(order);
        }
        _ = entry.mailbox.try_send(Order::Attempt(order));
    }
    fn reject(&mut self, rpc: RpcId, retry_after: Duration) {
        self.0.finish(rpc, |_| Order::PushBack(retry_after));
    }
    fn abort(&mut self, rpc: RpcId) {
        self.0.finish(rpc, |live| Order::Abort(live.last));
    }
    fn health_check(&mut self, node: NodeId) {
        _ = self.0.chores.try_send(Chore::Probe(node));
    }
    fn close_idle(&mut self, node: NodeId) {
        _ = self.0.chores.try_send(Chore::CloseIdle(node));
    }
    fn watch_endpoints(&mut self) {
        _ = self.0.list.try_send(());
    }
    fn set_timer(&mut self, after: Duration) {
        let at = self.0.clock.now() + after;
        if self.0.wake_at.get().is_none_or(|armed| at < armed) {
            self.0.wake_at.set(Some(at));
            self.0.rearmed.notify(1);
        }
    }
    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

/// An RPC that is under way: one that is dropped without its final answer has no client any more.
pub struct Owed {
    engine: Rc<Engine>,
    rpc: RpcId,
    orders: Receiver<Order>,
}

impl Owed {
    /// The next order. None comes behind the final answer.
    pub async fn order(&self) -> Option<Order> {
        self.orders.recv().await.ok()
    }

    /// What has been ordered by now.
    pub fn ordered(&self) -> Option<Order> {
        self.orders.try_recv().ok()
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        // Nothing comes of it where the RPC has had its final answer.
        self.engine.client_disconnected(self.rpc);
        // An attempt that was ordered and that nobody makes any more has ended too: the module would count it as on
        // its way, and its node as one that does not answer.
        while let Some(order) = self.ordered() {
            if let Order::Attempt(attempt) = order {
                self.engine.attempt_ended(attempt, Outcome::NotSent, Heard::default());
            }
        }
    }
}

/// What this side needs to know of a method.
struct Known {
    name: String,
    /// The longest that a client waits; one that claims more would be held for ever.
    deadline: Duration,
    has_sessions: bool,
    writes: bool,
    /// Its reads must see all that was committed before them.
    fresh: bool,
}

/// Whatever the module needs is told by one method for each thing that can happen.
pub struct Engine {
    pub clock: Clock,
    desk: Rc<Desk>,
    router: RefCell<Router<Hand>>,
    methods: Vec<Known>,
    next_rpc: Cell<u64>,
    listed: Cell<bool>,
    /// When the router ends, once it has been told to.
    ends: Cell<Option<Duration>>,
    sharing: OnceCell<Rc<dyn Sharing>>,
}

/// Where the module's work for others arrives.
pub struct Work {
    pub chores: Receiver<Chore>,
    pub list: Receiver<()>,
}

impl Engine {
    pub fn new(seed: u64, deployment: &Deployment) -> (Rc<Self>, Work) {
        let (chores, chores_in) = async_channel::unbounded();
        let (list, list_in) = async_channel::unbounded();
        let clock = Clock::start();
        let values = deployment.values.clone();
        let most_attempts = values.number("allowed.attempts").unwrap_or(1.0) as u32;
        let known = |(place, name): (usize, &String)| {
            let need = values.text(&format!("replication.consistency.{place}"));
            let deadline = values.span(&format!("methods.{place}.deadline"));
            let deadline = deadline.unwrap_or(deployment.longest_deadline);
            let writes = need == "write";
            let fresh = !writes && !["session", "bounded", "any"].contains(&need);
            Known { name: name.clone(), deadline, has_sessions: writes || need == "session", writes, fresh }
        };
        let methods = deployment.methods.iter().enumerate().map(known).collect();
        let desk = Rc::new(Desk {
            clock,
            live: RefCell::default(),
            most_attempts,
            unsent: RefCell::default(),
            chores,
            list,
            wake_at: Cell::new(None),
            rearmed: Event::new(),
        });
        let router = RefCell::new(Router::new(Hand(Rc::clone(&desk)), seed, values, clock.now()));
        let (next_rpc, listed, ends) = (Cell::new(0), Cell::new(false), Cell::new(None));
        let sharing = OnceCell::new();
        let engine = Self { clock, desk, router, methods, next_rpc, listed, ends, sharing };
        (Rc::new(engine), Work { chores: chores_in, list: list_in })
    }

    /// The one way to the module.
    fn tell<T>(&self, what: impl FnOnce(&mut Router<Hand>, Duration) -> T) -> T {
        let told = what(&mut self.router.borrow_mut(), self.clock.now());
        loop {
            let Some(unsent) = self.desk.unsent.borrow_mut().pop() else { return told };
            self.end(unsent, Outcome::NotSent, Heard::default());
        }
    }

    fn end(&self, attempt: Attempt, mut outcome: Outcome, heard: Heard) {
        let Attempt { rpc, call, node, at, .. } = attempt;
        let now = self.clock.now();
        if outcome == Outcome::Ok && !self.router.borrow().permits_response(now, rpc, call, heard.position) {
            log::debug!("{}: an answer that does not show that it is fresh", node.0);
            outcome = Outcome::Malformed;
        }
        if let Some(answer) = heard.answer.filter(|_| outcome == Outcome::Ok) {
            // The first ok goes to the client by itself.
            self.desk.finish(rpc, |_| Order::Answer(answer, heard.position));
        }
        let finished = match self.desk.live.borrow_mut().get_mut(&rpc) {
            Some(live) => {
                live.last = Some(outcome);
                false
            }
            None => true,
        };
        let took = now.saturating_sub(at);
        let (role, position, report) = (heard.role, heard.position, heard.report);
        let end = AttemptEnd { rpc, attempt: call, node, outcome, finished, took, role, position, report };
        self.router.borrow_mut().attempt_ended(now, end);
        // A commit is rounded up, so that as a position it is told a millisecond lower.
        let position = position.map(|at| at.saturating_sub(Duration::from_millis(1)));
        let position = position.max(report.and_then(|report| report.position));
        if position.is_some() || role.is_some() {
            let primary = role.map(|role| role == Role::Primary);
            let waiting = report.and_then(|report| report.queued);
            self.share(node, at, false, false, (position, primary, waiting));
        }
    }

    /// The one place where what was found here goes on to others.
    fn share(
        &self,
        node: NodeId,
        asked: Duration,
        probe: bool,
        failed: bool,
        (position, primary, waiting): (Option<Duration>, Option<bool>, Option<f64>),
    ) {
        if let Some(sharing) = self.sharing.get() {
            let started = self.router.borrow().started(node);
            sharing.found(Finding { node, asked, probe, failed, position, primary, waiting, started });
        }
    }

    /// From now on others hear of what is found here. Called once.
    pub fn share_with(&self, sharing: Rc<dyn Sharing>) {
        if self.sharing.set(sharing).is_ok()
            && let Some(sharing) = self.sharing.get()
        {
            sharing.listed();
        }
    }

    /// What other routers have found out.
    pub fn peer_observed(&self, word: PeerObservation) {
        self.tell(|router, now| router.peer_observed(now, word));
    }

    /// What others have told of a group's nodes is told to the module where RPCs come for the group.
    fn catch_up(&self, group: ReplicaSetId) {
        let Some(sharing) = self.sharing.get() else { return };
        let nodes: Vec<NodeId> = self.router.borrow().nodes_of(group).collect();
        for word in nodes.into_iter().filter_map(|node| sharing.news_of(node)) {
            self.peer_observed(word);
        }
    }

    /// Others have told something new: it may let go what is held.
    pub fn catch_up_held(&self) {
        let held: BTreeSet<ReplicaSetId> = self.desk.live.borrow().values().map(|live| live.group).collect();
        held.into_iter().for_each(|group| self.catch_up(group));
    }

    /// A probe that is this router's duty. False if one is out there already.
    pub fn begin_assigned_health_check(&self, node: NodeId) -> bool {
        let goes = self.router.borrow_mut().begin_assigned_health_check(node);
        goes && self.desk.chores.try_send(Chore::ProbeInTurn(node)).is_ok()
    }

    /// Whether a probe that the module has asked for is to be made here. One that is not has ended.
    pub fn may_probe(&self, node: NodeId) -> bool {
        let may = self.sharing.get().is_none_or(|sharing| sharing.may_probe(node));
        if !may {
            self.tell(|router, now| router.health_check_ended(now, node, Outcome::Cancelled, None));
        }
        may
    }

    /// Whether only an own probe tells this router anything of the node.
    pub fn is_shut(&self, node: NodeId) -> bool {
        self.router.borrow().is_ejected(node)
    }

    /// The nodes on the list, with the places of their zones.
    pub fn nodes(&self) -> Vec<(NodeId, ZoneId)> {
        self.router.borrow().nodes().collect()
    }

    /// Whether RPCs are taken: the list of nodes has come, or has been waited for long enough.
    pub fn is_ready(&self) -> bool {
        self.listed.get()
            || self.clock.start.elapsed() >= quillpoint_discovery_watch::SERVE_WITHOUT_LIST_AFTER
    }

    /// How many RPCs are held.
    pub fn held(&self) -> usize {
        self.desk.live.borrow().len()
    }

    pub fn method(&self, name: &str) -> Option<MethodId> {
        self.methods.iter().position(|known| known.name == name).map(MethodId)
    }

    pub fn writes(&self, method: MethodId) -> bool {
        self.methods[method.0].writes
    }

    /// What a statement of this method reaches.
    pub fn reach(&self, method: MethodId, statement: &Statement) -> Reach {
        let Known { writes, fresh, .. } = self.methods[method.0];
        Reach { group: statement.replica_set, key: statement.session, writes, fresh }
    }

    /// The shortest deadline of a method, and the longest.
    pub fn deadlines(&self) -> (Duration, Duration) {
        let deadlines = || self.methods.iter().map(|known| known.deadline);
        (deadlines().min().unwrap_or_default(), deadlines().max().unwrap_or_default())
    }

    /// No RPC is waited for any longer than this, be it held by now or yet to come.
    pub fn end_by(&self, end: Instant) {
        let left = end.saturating_duration_since(Instant::now());
        let end = self.clock.now() + left;
        self.ends.set(Some(end));
        self.desk.live.borrow_mut().values_mut().for_each(|live| live.deadline = live.deadline.min(end));
        self.tell(|router, now| router.set_shutdown_deadline(now, end));
    }

    /// The RPC, as long as its client waits for it. None where its time is over, which runs from when its last byte
    /// came. `written` is the last commit that its connection knows of for its session.
    pub fn rpc_arrived(
        self: &Rc<Self>,
        method: MethodId,
        statement: &Statement,
        arrived: Instant,
        written: Option<Duration>,
    ) -> Option<Owed> {
        let now = self.clock.now();
        let known = &self.methods[method.0];
        let left = self.ends.get().map_or(Duration::MAX, |end| end.saturating_sub(now));
        let wait = statement.remaining.min(known.deadline).saturating_sub(arrived.elapsed());
        let remaining = wait.min(left);
        if wait.is_zero() {
            return None;
        }
        let (mailbox, orders) = async_channel::unbounded();
        // Counted here: a client's own id could come twice, and must not mix up two RPCs.
        let id = RpcId(self.next_rpc.get());
        self.next_rpc.set(id.0 + 1);
        let group = statement.replica_set;
        self.catch_up(group);
        let live = Live { mailbox, group, deadline: now + remaining, attempts: 0, last: None };
        self.desk.live.borrow_mut().insert(id, live);
        let after = statement.last_write.max(written);
        // By the clock that the module reads too: later by a little, the mark would lie past the commit.
        self.tell(|router, now| {
            let rpc = Rpc {
                id,
                method,
                session: statement.session.filter(|_| known.has_sessions),
                replica_set: group,
                remaining,
                work: None,
                since_write: after.map(|at| now.saturating_sub(at)),
                retried: statement.retried,
            };
            router.rpc_arrived(now, rpc);
        });
        Some(Owed { engine: Rc::clone(self), rpc: id, orders })
    }

    fn client_disconnected(&self, rpc: RpcId) {
        if self.desk.remove(rpc).is_some() {
            self.tell(|router, _| router.client_disconnected(rpc));
        }
    }

    /// Whether an attempt may be written, or more of it.
    pub fn permits_attempt(&self, attempt: &Attempt) -> bool {
        let is_owed = self.desk.live.borrow().contains_key(&attempt.rpc);
        is_owed && self.router.borrow_mut().permits_attempt(self.clock.now(), attempt.rpc, attempt.call)
    }

    pub fn attempt_ended(&self, attempt: Attempt, outcome: Outcome, heard: Heard) {
        self.end(attempt, outcome, heard);
        self.tell(|_, _| ());
    }

    pub fn health_check_ended(
        &self,
        node: NodeId,
        asked: Duration,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.tell(|router, now| router.health_check_ended(now, node, outcome, report));
        let failed = !matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let report = report.filter(|_| !failed).unwrap_or_default();
        self.share(node, asked, true, failed, (report.position, report.primary, report.queued));
    }

    pub fn endpoints_changed(&self, extent: EndpointUpdate, lines: &[Endpoint]) {
        // An empty list that has come is one; an empty memory of one is none.
        self.listed.set(self.listed.get() || !lines.is_empty() || extent != EndpointUpdate::CachedSnapshot);
        self.tell(|router, now| router.endpoints_changed(now, extent, lines));
        if let Some(sharing) = self.sharing.get().filter(|_| !lines.is_empty()) {
            sharing.listed();
        }
    }

    /// The one timer. An earlier wake replaces a later one, after which the module asks anew.
    pub async fn keep_time(&self) {
        loop {
            let rearmed = self.desk.rearmed.listen();
            let due = self.desk.wake_at.get();
            let sleep = async {
                match due {
                    Some(at) => _ = Timer::at(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
                true
            };
            let slept = sleep
                .or(async {
                    rearmed.await;
                    false
                })
                .await;
            // Never early: a timer that fired early would find nothing due.
            if slept && due.is_some_and(|at| at <= self.clock.now()) {
                self.desk.wake_at.set(None);
                self.tell(|router, now| router.timer_fired(now));
            }
        }
    }
}
