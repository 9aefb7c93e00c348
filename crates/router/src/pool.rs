//! The sole owner of connections to nodes: they are opened, lent and given back here.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use quillpoint::host::{LoadReport, NodeId, Outcome, Role};
use quillpoint_memory_budget::Purpose;

use crate::budget::{Accounts, Exhausted, Held};
use crate::deployment::Deployment;
use crate::descriptors::{Descriptors, Parked, Rank, Side, Slot};
use crate::engine::{Attempt, Chore, Engine, Heard};
use crate::log_rate_limiter::LogRateLimiter;
use crate::pg::{self, BackendMessage, ProtocolViolation, Response};
use crate::socket;
use crate::statement::InFlightStatement;

/// How much is read at once.
const PIECE: usize = 4096;
/// How long past its time a dial may still come up: a lost packet is sent again after one second, and after three.
const LATE_DIAL: Duration = Duration::from_millis(3500);
/// No answer of one value comes near this, whatever else is told beside it.
const LONGEST_ANSWER: usize = 2 << 20;
/// Nodes accept any user; these are the ones that clients name.
const USER: &str = "portal";
const DATABASE: &str = "crm";
/// A probe that needs no more than what any answer can carry.
const PROBE: &[u8] = b"SHOW load";

/// Why an exchange came to no whole answer.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Broken(#[from] ProtocolViolation),
    #[error("the connection ended")]
    Ended,
    #[error("it did not come up in time")]
    Late,
    #[error("{0}")]
    Exhausted(#[from] Exhausted),
    /// Its RPC is over, or may not go there any more.
    #[error("it no longer goes")]
    Called,
    #[error("its answer does not end")]
    Endless,
}

/// `then`, at that time.
async fn at<T>(time: Instant, then: T) -> T {
    Timer::at(time).await;
    then
}

/// One connection to a node, with what has been read of it.
struct Link {
    stream: Async<TcpStream>,
    unread: Vec<u8>,
    memory: Held,
    /// Whether the first byte of the query it carries has been written, and the last.
    begun: bool,
    written: bool,
    /// Bytes read since that query.
    read: usize,
    /// When its node last had something of it: a loan that came to nothing does not make it younger.
    used: Instant,
    _slot: Slot,
}

struct Idle {
    link: Link,
    since: Instant,
    place: u64,
    _parked: Parked,
}

/// What an attempt that waits for a connection gets.
type Lent = Result<Link, Outcome>;

#[derive(Default)]
struct Node {
    /// The most recently used one last.
    idle: Vec<Idle>,
    /// Attempts that wait, the first come first. Each has a connection of its own being opened, but takes
    /// whichever comes first.
    waiting: VecDeque<Sender<Lent>>,
    /// Connections that are being opened in their time: no fewer than attempts that wait.
    dials: usize,
    /// Whether it was last found out of reach, as the log has it.
    out_of_reach: bool,
    told: LogRateLimiter,
    /// When something was last asked of it. Long after that nothing is kept of it.
    asked: Option<Instant>,
}

/// So many times what a node keeps an idle connection for: its own restart is over by then, or it is gone.
const KEPT: u32 = 10;

pub struct Pool {
    executor: Rc<LocalExecutor<'static>>,
    descriptors: Rc<Descriptors>,
    accounts: Accounts,
    nodes: RefCell<BTreeMap<NodeId, Node>>,
    next: Cell<u64>,
    connect_timeout: Duration,
    idle_time: Duration,
    report_fields: Vec<String>,
}

impl Pool {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        descriptors: Rc<Descriptors>,
        accounts: Accounts,
        deployment: &Deployment,
    ) -> Rc<Self> {
        Rc::new(Self {
            executor,
            descriptors,
            accounts,
            nodes: RefCell::default(),
            next: Cell::new(0),
            connect_timeout: deployment.connect_timeout,
            // A query may be under way for as long as a connect may take; the node must not close meanwhile.
            idle_time: deployment.idle_connection_timeout
                - deployment.connect_timeout.min(deployment.idle_connection_timeout / 2),
            report_fields: deployment.report_fields.clone(),
        })
    }

    /// Does what the module asks of the pool.
    pub async fn run(self: Rc<Self>, engine: Rc<Engine>, chores: Receiver<Chore>) {
        while let Ok(chore) = chores.recv().await {
            match chore {
                Chore::CloseIdle(node) => {
                    if let Some(node) = self.nodes.borrow_mut().get_mut(&node) {
                        node.idle.clear();
                    }
                }
                Chore::Probe(node) if !engine.may_probe(node) => {}
                Chore::Probe(node) | Chore::ProbeInTurn(node) => {
                    let (pool, engine) = (Rc::clone(&self), Rc::clone(&engine));
                    let asked = engine.clock.now();
                    let probe = async move {
                        let until = Instant::now() + pool.connect_timeout;
                        let (outcome, heard) =
                            pool.exchange(node, until, || Some(pg::query_message(PROBE))).await;
                        // The row is the report, for a probe.
                        let row = heard.answer.and_then(|answer| answer.value);
                        let row = row.and_then(|bytes| String::from_utf8(bytes).ok());
                        let report = row.and_then(|text| pool.report(&text)).or(heard.report);
                        engine.health_check_ended(node, asked, outcome, report);
                    };
                    self.executor.spawn(probe).detach();
                }
            }
        }
    }

    /// Closes what has stood idle for as long as it may.
    pub async fn close_old(self: Rc<Self>) {
        loop {
            let oldest = self.nodes.borrow().values().filter_map(|node| Some(node.idle.first()?.since)).min();
            let next = oldest.unwrap_or_else(Instant::now) + self.idle_time;
            Timer::at(next).await;
            self.nodes.borrow_mut().retain(|_, node| {
                node.idle.retain(|idle| idle.since.elapsed() < self.idle_time);
                let asked = node.asked.is_some_and(|asked| asked.elapsed() < self.idle_time * KEPT);
                asked || !node.idle.is_empty() || node.dials > 0
            });
        }
    }

    /// Makes an attempt; its end is told to the engine, whether or not its RPC is over by then.
    pub fn attempt(self: &Rc<Self>, engine: Rc<Engine>, attempt: Attempt, statement: Rc<InFlightStatement>) {
        let pool = Rc::clone(self);
        let task = async move {
            let until = engine.clock.instant(attempt.until);
            // The one place that every attempt passes right before its first byte, and before more of it where
            // its write has stalled: its RPC is owed an answer, its client is there, and the rules hold as of now.
            let query = || {
                let goes = statement.client.is_there() && engine.permits_attempt(&attempt);
                let wait = attempt.until.saturating_sub(engine.clock.now());
                goes.then(|| pg::query_message(&statement.statement.with_remaining(wait)))
            };
            let (outcome, heard) = pool.exchange(attempt.node, until, query).await;
            pool.tell_reach(attempt.node, outcome);
            engine.attempt_ended(attempt, outcome, heard);
        };
        self.executor.spawn(task).detach();
    }

    /// One query to a node and its outcome. Whether it is asked, and in which words, is settled when there is a
    /// connection for it. The connection is back in the pool, or closed, before this ends.
    async fn exchange(
        self: &Rc<Self>,
        node: NodeId,
        until: Instant,
        query: impl Fn() -> Option<Vec<u8>>,
    ) -> (Outcome, Heard) {
        let mut heard = Heard::default();
        loop {
            let idle = self.idle(node);
            let waited = idle.is_none();
            let mut link = match idle {
                Some(link) => link,
                None => match self.lend(node).or(at(until, Err(Outcome::NotSent))).await {
                    Ok(link) => link,
                    Err(outcome) => return (outcome, heard),
                },
            };
            let asked = async { Some(self.ask(&mut link, &query, &mut heard).await) };
            return match asked.or(at(until, None)).await {
                Some(Ok(outcome)) => {
                    self.give_back(node, link);
                    (outcome, heard)
                }
                Some(Err((Some(outcome), _))) => (outcome, heard),
                Some(Err((None, Fault::Called))) => {
                    // Closed where a part of it is on its way: without the rest it never runs.
                    if !link.begun {
                        self.give_back(node, link);
                    }
                    (Outcome::NotSent, heard)
                }
                // A node may close an idle connection at any time. What it has not been sent whole cannot
                // have run, so a used connection that breaks before that is no failure of the attempt.
                Some(Err((None, _))) if !waited && !link.written => continue,
                Some(Err((None, fault))) => {
                    log::debug!("{}: {fault}", node.0);
                    let outcome = match (fault, link.written) {
                        (_, false) => Outcome::ConnectFailed,
                        (Fault::Broken(_) | Fault::Exhausted(_) | Fault::Endless, true) => Outcome::Malformed,
                        _ => Outcome::Reset,
                    };
                    // What an answer that breaks off has told is not believed.
                    (outcome, Heard::default())
                }
                None => (if link.written { Outcome::TimedOut } else { Outcome::NotSent }, heard),
            };
        }
    }

    /// A line when a node goes out of reach, and one when it is back.
    fn tell_reach(&self, node: NodeId, outcome: Outcome) {
        let out_of_reach = match outcome {
            Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Ok | Outcome::Misrouted | Outcome::Error | Outcome::Rejected | Outcome::Malformed => {
                false
            }
            _ => return,
        };
        let mut nodes = self.nodes.borrow_mut();
        let entry = nodes.entry(node).or_default();
        if out_of_reach == entry.out_of_reach || !entry.told.is_due() {
            return;
        }
        entry.out_of_reach = out_of_reach;
        match out_of_reach {
            true => log::warn!("node {} out of reach: {outcome:?}", node.0),
            false => log::info!("node {} answers again", node.0),
        }
    }

    /// Sends the query and reads up to ReadyForQuery. An error that comes with an outcome is the node's last
    /// word on a connection that it then ended.
    async fn ask(
        &self,
        link: &mut Link,
        query: &impl Fn() -> Option<Vec<u8>>,
        heard: &mut Heard,
    ) -> Result<Outcome, (Option<Outcome>, Fault)> {
        link.write(query).await.map_err(|fault| (None, fault))?;
        let (mut reading, mut outcome) = (pg::ResponseReader::default(), None);
        loop {
            // What comes behind a whole answer can cost the connection, but no longer the answer.
            let told = link.told().await.map_err(|fault| (outcome, fault))?;
            match told {
                BackendMessage::ParameterStatus { name, value } => self.note(&name, &value, heard),
                BackendMessage::Ignored => {}
                BackendMessage::ReadyForQuery => {
                    return outcome.ok_or((None, ProtocolViolation::UnexpectedOrder.into()));
                }
                told if outcome.is_none() => {
                    match reading.take(told).map_err(|fault| (None, fault.into()))? {
                        None => {}
                        Some(Response::Result(answer)) => {
                            outcome = Some(Outcome::Ok);
                            heard.answer = Some(answer);
                        }
                        Some(Response::Error { code, message, fatal }) => {
                            log::debug!("a node answered {code}: {message}");
                            outcome = Some(match code.as_str() {
                                "25006" | "72000" => Outcome::Misrouted,
                                "53300" => Outcome::Rejected,
                                // It is down, or not up yet. Were that an answer, it would pass for a node that
                                // is up and short of connections.
                                "57P03" => Outcome::ConnectFailed,
                                _ => Outcome::Error,
                            });
                            if fatal {
                                return Err((outcome, Fault::Ended));
                            }
                        }
                    }
                }
                _ => return Err((outcome, ProtocolViolation::UnexpectedOrder.into())),
            }
        }
    }

    fn note(&self, name: &str, value: &str, heard: &mut Heard) {
        match (name, value) {
            ("role", "primary") => heard.role = Some(Role::Primary),
            ("role", "replica") => heard.role = Some(Role::Replica),
            ("applied_ms", ms) => heard.position = ms.parse().ok().map(Duration::from_millis),
            ("load", report) => heard.report = self.report(report),
            _ => {}
        }
    }

    /// `name=value` pairs, or bare values in the order of the settings' names.
    fn report(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for (place, pair) in text.split(',').enumerate() {
            let field = self.report_fields.get(place).map_or("", String::as_str);
            let (name, value) = pair.split_once('=').unwrap_or((field, pair));
            quillpoint_settings::set_report_field(
                &mut report,
                name.trim(),
                value.trim().parse().ok()?,
                Duration::ZERO,
            );
        }
        Some(report)
    }

    /// The most recently used idle connection that is still good.
    fn idle(&self, node: NodeId) -> Option<Link> {
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.get_mut(&node)?;
        while let Some(Idle { link, since, .. }) = node.idle.pop() {
            if since.elapsed() >= self.idle_time {
                // The ones below have stood longer.
                node.idle.clear();
            } else if link.is_quiet() {
                return Some(link);
            }
        }
        None
    }

    /// A connection for one attempt: its own, or one that is given back earlier.
    async fn lend(self: &Rc<Self>, node: NodeId) -> Lent {
        let (lender, lent) = async_channel::bounded(1);
        self.wait(node, lender);
        let pool = Rc::clone(self);
        let open = async move {
            // A shortage of sockets here is no fault of the node's, so that its time runs from then on.
            let slot = pool.descriptors.take().await;
            if pool.awaited(node) == 0 {
                return pool.dial_ended(node);
            }
            // It goes on when its attempt has ended: what has been paid for serves the next.
            let mut dial = pin!(Link::open(node, slot, &pool.accounts));
            let late = at(Instant::now() + pool.connect_timeout, Err(Fault::Late));
            match dial.as_mut().or(late).await {
                Ok(link) => {
                    if !link.is_quiet() {
                        // More than a greeting came: nothing that follows could be told apart from an answer.
                        log::debug!("{}: no connection: it says more than it was asked", node.0);
                    }
                    pool.give_back(node, link);
                    pool.dial_ended(node);
                }
                Err(fault) => {
                    log::debug!("{}: no connection: {fault}", node.0);
                    pool.dial_ended(node);
                    if matches!(fault, Fault::Late) {
                        pool.await_late(node, dial).await;
                    }
                }
            }
        };
        self.executor.spawn(open).detach();
        lent.recv().await.unwrap_or(Err(Outcome::NotSent))
    }

    /// A dial whose time is over goes on for a while, for whoever asks next: a packet may have been lost. It gives
    /// way where descriptors are short.
    async fn await_late(self: &Rc<Self>, node: NodeId, dial: impl Future<Output = Result<Link, Fault>>) {
        let (close, closed) = async_channel::bounded::<()>(1);
        let _parked = self.descriptors.park(Side::Inner, Rank::Unopened, move || _ = close.try_send(()));
        let gives_way = async {
            _ = closed.recv().await;
            Err(Fault::Late)
        };
        let late = at(Instant::now() + LATE_DIAL, Err(Fault::Late));
        if let Ok(link) = dial.or(gives_way).or(late).await {
            self.give_back(node, link);
        }
    }

    fn wait(&self, node: NodeId, lender: Sender<Lent>) {
        let mut nodes = self.nodes.borrow_mut();
        let entry = nodes.entry(node).or_default();
        entry.asked = Some(Instant::now());
        entry.waiting.push_back(lender);
        entry.dials += 1;
    }

    /// How many attempts wait for a connection.
    fn awaited(&self, node: NodeId) -> usize {
        let mut nodes = self.nodes.borrow_mut();
        let waiting = &mut nodes.entry(node).or_default().waiting;
        waiting.retain(|waiting| !waiting.is_closed());
        waiting.len()
    }

    /// A dial has come to its end, or to that of its time. Its failure is told to an attempt that no dial is left for,
    /// and to no other: one that came later has a dial with a time of its own.
    fn dial_ended(&self, node: NodeId) {
        let left = {
            let mut nodes = self.nodes.borrow_mut();
            let dials = &mut nodes.entry(node).or_default().dials;
            *dials -= 1;
            *dials
        };
        if self.awaited(node) > left {
            self.hand_out(node, Err(Outcome::ConnectFailed));
        }
    }

    /// To the first that still waits; what nobody waited for comes back.
    fn hand_out(&self, node: NodeId, mut lent: Lent) -> Option<Lent> {
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.entry(node).or_default();
        while let Some(waiting) = node.waiting.pop_front() {
            match waiting.try_send(lent) {
                Ok(()) => return None,
                Err(back) => lent = back.into_inner(),
            }
        }
        Some(lent)
    }

    /// The one place where a connection comes back.
    fn give_back(self: &Rc<Self>, node: NodeId, link: Link) {
        if !link.is_quiet() {
            return;
        }
        let Some(Ok(link)) = self.hand_out(node, Ok(link)) else { return };
        let place = self.next.get();
        self.next.set(place + 1);
        let pool = Rc::downgrade(self);
        let close = move || {
            if let Some(pool) = Weak::upgrade(&pool)
                && let Some(node) = pool.nodes.borrow_mut().get_mut(&node)
            {
                node.idle.retain(|idle| idle.place != place);
            }
        };
        let _parked = self.descriptors.park(Side::Inner, Rank::Idle, close);
        let idle = Idle { since: link.used, link, place, _parked };
        // In the order in which they were used; one that came back unused is older than those that were.
        let mut nodes = self.nodes.borrow_mut();
        let all = &mut nodes.entry(node).or_default().idle;
        all.insert(all.partition_point(|other| other.since <= idle.since), idle);
    }
}

impl Link {
    /// Connects, and is greeted up to ReadyForQuery.
    async fn open(node: NodeId, slot: Slot, accounts: &Accounts) -> Result<Self, Fault> {
        let stream = Async::<TcpStream>::connect(node.0).await?;
        stream.get_ref().set_nodelay(true)?;
        let memory = accounts.owner(Purpose::Answers);
        let mut link = Link {
            stream,
            unread: Vec::new(),
            memory,
            begun: false,
            written: false,
            read: 0,
            used: Instant::now(),
            _slot: slot,
        };
        let mut startup = Vec::new();
        pg::encode_startup(&mut startup, USER, DATABASE);
        socket::write_all(&link.stream, &startup).await?;
        loop {
            match link.told().await? {
                BackendMessage::ReadyForQuery => return Ok(link),
                BackendMessage::ErrorResponse { code, message, .. } => {
                    log::debug!("{} turned a connection away with {code}: {message}", node.0);
                    return Err(Fault::Ended);
                }
                BackendMessage::Authentication(kind) if kind != 0 => {
                    log::debug!("{} asks for a password, which routers have none of", node.0);
                    return Err(Fault::Ended);
                }
                _ => {}
            }
        }
    }

    /// Writes a query while it may go. Looked at right before each write: before the first byte, and again after
    /// a stall, as its RPC may have ended meanwhile.
    async fn write(&mut self, query: &impl Fn() -> Option<Vec<u8>>) -> Result<(), Fault> {
        (self.begun, self.written, self.read) = (false, false, 0);
        let mut message = query().ok_or(Fault::Called)?;
        self.used = Instant::now();
        let mut done = 0;
        while done < message.len() {
            match self.stream.get_ref().write(&message[done..]) {
                Ok(0) => return Err(Fault::Ended),
                Ok(count) => (self.begun, done) = (true, done + count),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                    let anew = query().ok_or(Fault::Called)?;
                    // Nothing has gone out, so the time that is left is told as of now.
                    message = if self.begun { message } else { anew };
                }
                Err(error) => return Err(error.into()),
            }
        }
        self.written = true;
        Ok(())
    }

    async fn told(&mut self) -> Result<BackendMessage, Fault> {
        loop {
            if let Some((told, taken)) = pg::decode_backend_message(&self.unread)? {
                self.unread.drain(..taken);
                if self.unread.is_empty() {
                    // What a long value took is not kept for the next.
                    self.unread.shrink_to(PIECE);
                    self.memory.resize(self.unread.capacity().saturating_sub(PIECE))?;
                }
                return Ok(told);
            }
            if self.written && self.read == 0 {
                // Its answer has not come yet: a look at once would be in vain, at each of thousands of probes.
                self.stream.readable().await?;
            }
            let Self { stream, unread, .. } = self;
            // No part of the task, which would be as much larger, and moved as it begins.
            let read = |mut stream: &TcpStream| {
                let mut piece = [0; PIECE];
                let count = socket::uninterrupted(|| stream.read(&mut piece))?;
                unread.extend(&piece[..count]);
                Ok(count)
            };
            match stream.read_with(read).await? {
                0 => return Err(Fault::Ended),
                count => (self.read, self.used) = (self.read + count, Instant::now()),
            }
            self.memory.resize(self.unread.capacity().saturating_sub(PIECE))?;
            if self.read > LONGEST_ANSWER {
                return Err(Fault::Endless);
            }
            // A node that never stops must not keep the other tasks, nor the time-out, from their turn.
            if self.read > PIECE {
                future::yield_now().await;
            }
        }
    }

    /// Nothing unread, and not ended by the node.
    fn is_quiet(&self) -> bool {
        let peeked = socket::uninterrupted(|| self.stream.get_ref().peek(&mut [0]));
        self.unread.is_empty() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}
