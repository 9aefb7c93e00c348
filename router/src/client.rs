//! Clients: the listener, their sessions, and the life of an RPC.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use quillpoint::host::Outcome;

use crate::config::Deployment;
use crate::descriptors::{Descriptors, Side, Slot};
use crate::engine::{Engine, Order};
use crate::pg::{self, Asked, Broken, Opening};
use crate::pool::Pool;
use crate::seldom::Seldom;
use crate::statement::Statement;

/// How much is read at once.
const PIECE: usize = 4096;
/// A pause after a failed accept, so that a failure that lasts does not spin.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
enum End {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Broken(#[from] Broken),
    #[error("the client left")]
    Left,
    #[error("closed while idle")]
    Closed,
    #[error("a message did not arrive whole in time")]
    Late,
}

/// All that sessions share.
pub struct Clients {
    executor: Rc<LocalExecutor<'static>>,
    engine: Rc<Engine>,
    pool: Rc<Pool>,
    descriptors: Rc<Descriptors>,
    /// How long a message that has begun may take to arrive whole.
    patience: Duration,
    most_held: usize,
    most_memory: usize,
    /// Sessions that are open, and a way to have each closed when it is idle.
    open: RefCell<BTreeMap<u64, Sender<()>>>,
    next: Cell<u64>,
    draining: Cell<bool>,
    told: Seldom,
}

impl Clients {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        engine: Rc<Engine>,
        pool: Rc<Pool>,
        descriptors: Rc<Descriptors>,
        deployment: &Deployment,
        most_memory: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            executor,
            engine,
            pool,
            descriptors,
            patience: deployment.longest_deadline,
            most_held: deployment.most_held,
            most_memory,
            open: RefCell::default(),
            next: Cell::new(0),
            draining: Cell::new(false),
            told: Seldom::default(),
        })
    }

    /// Accepts until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            // The slot first: a connection that could not be served had better wait where it is.
            let slot = self.descriptors.take_for_client().await;
            match listener.accept().await {
                Ok((stream, _)) => self.welcome(stream, slot),
                Err(error) => {
                    if self.told.is_due() {
                        log::warn!("accept failed: {error}");
                    }
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Takes what has arrived at the listener by now, before it is closed: the kernel has accepted that.
    pub async fn accept_rest(self: &Rc<Self>, listener: &Async<TcpListener>) {
        while let Ok((stream, _)) = listener.get_ref().accept() {
            let slot = self.descriptors.take_for_client().await;
            match Async::new(stream) {
                Ok(stream) => self.welcome(stream, slot),
                Err(error) => log::warn!("accept failed: {error}"),
            }
        }
    }

    fn welcome(self: &Rc<Self>, stream: Async<TcpStream>, slot: Slot) {
        if slot.side == Side::TurnedAway && self.told.is_due() {
            log::warn!("no socket left for more clients: some are turned away");
        }
        let clients = Rc::clone(self);
        let number = self.next.get();
        self.next.set(number + 1);
        let (close, closed) = async_channel::bounded(1);
        self.open.borrow_mut().insert(number, close.clone());
        let task = async move {
            _ = stream.get_ref().set_nodelay(true);
            let (unread, discards) = (Vec::new(), false);
            let mut session = Session { clients: &clients, stream, unread, close, closed, slot, discards };
            let end = session.run().await;
            if let Err(End::Broken(broken)) = &end {
                let mut out = Vec::new();
                pg::put_error(&mut out, true, broken.code(), &broken.to_string(), None);
                _ = session.send(&out).await;
            }
            if let Err(end) = end {
                log::debug!("session {number}: {end}");
            }
            drop(session);
            clients.open.borrow_mut().remove(&number);
        };
        self.executor.spawn(task).detach();
    }

    /// The open sessions, the oldest first.
    pub fn sessions(&self) -> Vec<u64> {
        self.open.borrow().keys().copied().collect()
    }

    /// Closes a session as soon as it is idle.
    pub fn close(&self, session: u64) {
        if let Some(close) = self.open.borrow().get(&session) {
            _ = close.try_send(());
        }
    }

    /// From now on each session is closed as soon as it is idle.
    pub fn drain(&self) {
        self.draining.set(true);
        self.sessions().into_iter().for_each(|session| self.close(session));
    }

    pub fn open_sessions(&self) -> usize {
        self.open.borrow().len()
    }
}

struct Session<'a> {
    clients: &'a Rc<Clients>,
    stream: Async<TcpStream>,
    unread: Vec<u8>,
    close: Sender<()>,
    closed: async_channel::Receiver<()>,
    slot: Slot,
    /// After a message of the extended protocol, all is passed over up to Sync.
    discards: bool,
}

impl Session<'_> {
    async fn run(&mut self) -> Result<(), End> {
        if !self.open().await? {
            return Ok(());
        }
        loop {
            let mut out = Vec::new();
            match self.next(pg::asked).await? {
                Asked::Terminate => return Ok(()),
                Asked::Sync => {
                    self.discards = false;
                    pg::put_ready(&mut out);
                }
                _ if self.discards => {}
                Asked::Extended => {
                    self.discards = true;
                    pg::put_error(&mut out, false, "0A000", "only simple queries are taken", None);
                }
                Asked::Query(_) if !self.slot.is_let_in() => {
                    pg::put_error(&mut out, true, "53300", "this router has no socket left for it", None);
                    return self.send(&out).await;
                }
                Asked::Query(text) => {
                    self.query(text, &mut out).await?;
                    pg::put_ready(&mut out);
                }
            }
            self.send(&out).await?;
        }
    }

    /// One write for an answer. A client that does not read it is not waited for for ever.
    async fn send(&mut self, out: &[u8]) -> Result<(), End> {
        let late = late(Instant::now() + self.clients.patience);
        let written = async { Ok(self.stream.write_all(out).await?) };
        written.or(late).await
    }

    /// Whether a session begins.
    async fn open(&mut self) -> Result<bool, End> {
        loop {
            let mut out = Vec::new();
            match self.next(pg::opening).await? {
                Opening::Cancel => return Ok(false),
                Opening::Encryption => out.push(b'N'),
                Opening::Startup => pg::put_welcome(&mut out),
            }
            self.send(&out).await?;
            if out.len() > 1 {
                return Ok(true);
            }
        }
    }

    /// The next message, by the decoder that is due.
    async fn next<T>(
        &mut self,
        decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, Broken>,
    ) -> Result<T, End> {
        let mut whole_by = None;
        loop {
            if let Some((message, taken)) = decode(&self.unread)? {
                self.unread.drain(..taken);
                if self.unread.is_empty() {
                    self.unread.shrink_to(PIECE);
                }
                return Ok(message);
            }
            if !self.unread.is_empty() {
                // Its first byte has come, so the rest is due: a trickle does not put that off.
                let by = *whole_by.get_or_insert_with(|| Instant::now() + self.clients.patience);
                read(&self.stream, &mut self.unread).or(late(by)).await?;
                continue;
            }
            // While it drains, a router still takes what has arrived by now.
            let draining = self.clients.draining.get();
            let (close, closed) = (self.close.clone(), self.closed.clone());
            let _parked = self.clients.descriptors.park(self.slot.side, move || _ = close.try_send(()));
            let closing = async {
                if !draining {
                    _ = closed.recv().await;
                }
                Err(End::Closed)
            };
            read(&self.stream, &mut self.unread).or(closing).await?;
        }
    }

    /// The life of an RPC: from its query to the answer, which is left in `out`.
    async fn query(&mut self, text: Vec<u8>, out: &mut Vec<u8>) -> Result<(), End> {
        let clients = Rc::clone(self.clients);
        let engine = &clients.engine;
        if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            match engine.is_ready() {
                true => pg::put_empty_query(out),
                false => pg::put_error(out, false, "57P03", "no list of nodes has come yet", None),
            }
            return Ok(());
        }
        let statement = match Statement::parse(text) {
            Ok(statement) => statement,
            Err(fault) => {
                pg::put_error(out, false, fault.code(), &fault.to_string(), None);
                return Ok(());
            }
        };
        let Some(method) = engine.method(&statement.method) else {
            let message = format!("the comment's c names no class: {:?}", statement.method);
            pg::put_error(out, false, "22023", &message, None);
            return Ok(());
        };
        let (count, size) = engine.held();
        if count >= clients.most_held || size + statement.size() > clients.most_memory {
            pg::put_error(out, false, "53300", "this router holds all the RPCs it may", None);
            return Ok(());
        }
        let statement = Rc::new(statement);
        let (rpc, orders) = engine.rpc_arrived(method, &statement);
        loop {
            let order = async { Ok(orders.recv().await.ok()) };
            let left = async { Err(self.left().await) };
            match order.or(left).await {
                Ok(Some(Order::CallOut(call_out))) => {
                    clients.pool.call_out(Rc::clone(engine), call_out, Rc::clone(&statement));
                }
                Ok(Some(Order::Answer(answer))) => {
                    pg::put_answer(out, &answer);
                    return Ok(());
                }
                Ok(Some(Order::PushBack(retry_after))) => {
                    let ms = retry_after.as_millis().to_string();
                    let detail = (!retry_after.is_zero()).then_some(ms.as_str());
                    pg::put_error(out, false, "53300", "nothing ran, so trying again is harmless", detail);
                    return Ok(());
                }
                Ok(Some(Order::Abort(last))) => {
                    let (code, message) = cause(last);
                    pg::put_error(out, false, code, message, None);
                    return Ok(());
                }
                // The engine gives each RPC its final answer; without one nothing is known of it.
                Ok(None) => {
                    pg::put_error(out, false, "XX000", "the RPC was dropped", None);
                    return Ok(());
                }
                Err(end) => {
                    engine.client_left(rpc);
                    return Err(end);
                }
            }
        }
    }

    /// Reads on while an RPC is out, so that a client that leaves is noticed at once.
    async fn left(&mut self) -> End {
        loop {
            // A client that sends ahead of its answers is read no further than one message.
            if self.unread.len() >= pg::LONGEST {
                return std::future::pending().await;
            }
            if let Err(end) = read(&self.stream, &mut self.unread).await {
                return end;
            }
        }
    }
}

/// The SQLSTATE of an abort, and its words, by how the last call-out ended.
fn cause(last: Option<Outcome>) -> (&'static str, &'static str) {
    match last {
        Some(Outcome::Reset) => ("08006", "the connection to the node broke; it may have run"),
        Some(Outcome::Spoilt) => ("08P01", "the node's answer cannot be read; it has run"),
        Some(Outcome::Error) => ("58000", "the node failed with it; it may have run"),
        _ => ("57014", "no answer came in time; it may have run"),
    }
}

async fn late<T>(by: Instant) -> Result<T, End> {
    Timer::at(by).await;
    Err(End::Late)
}

async fn read(stream: &Async<TcpStream>, unread: &mut Vec<u8>) -> Result<(), End> {
    let mut piece = [0; PIECE];
    let mut stream = stream;
    match stream.read(&mut piece).await? {
        0 => Err(End::Left),
        count => {
            // No more than has come: many clients may send long messages at once.
            unread.reserve_exact(count);
            unread.extend(&piece[..count]);
            Ok(())
        }
    }
}
