//! Clients: the listener, their sessions, and the life of an RPC.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};

use quillpoint::host::Outcome;
use quillpoint_accounts::{Pace, Progress, Purpose, Relief};

use crate::budget::{Accounts, Exhausted, Held};
use crate::deployment::Deployment;
use crate::descriptors::{Descriptors, Rank, Side, Slot};
use crate::engine::{Engine, Order};
use crate::open_ids::OpenIds;
use crate::pg::{self, Asked, Broken, CancelKey, Opening};
use crate::pool::Pool;
use crate::presence::{Presence, has_hung_up};
use crate::seldom::Seldom;
use crate::statement::{Kept, Statement};

/// How much is read at once.
const PIECE: usize = 4096;
/// How far a client that sends ahead of its answers is read while an RPC is out.
const READ_AHEAD: usize = 4 * PIECE;
/// How long a connection may take to its first whole message, and a message that has begun at the most.
const OPENING: Duration = Duration::from_secs(2);
const LONGEST_MESSAGE: Duration = Duration::from_secs(2);
/// So many statements in a row that cannot be used end a session: it is no client of this service.
const FAULTS_BORNE: usize = 8;
/// How often it is looked whether a client that is not read on has hung up.
const LOOK_FOR_LEAVE: Duration = Duration::from_millis(25);
/// What still comes from a client after the router's end of sending is passed over for so long, and so many bytes
/// of it. A close at once would be a reset, which can take an answer that is still on its way with it.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 * 1024;
/// Bytes a second that a client must read of an answer, in the mean: a slow line does.
const LEAST_PACE: u64 = 16 * 1024;
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
    #[error("all is said")]
    Done,
    #[error("a message did not arrive whole in time")]
    Late,
    #[error("{0}")]
    Exhausted(#[from] Exhausted),
    #[error("too many statements in a row that cannot be used")]
    Faults,
}

impl End {
    /// What the client is told of it, where it is the client's doing.
    fn code(&self) -> Option<&'static str> {
        match self {
            Self::Broken(broken) => Some(broken.code()),
            Self::Late => Some("57014"),
            Self::Exhausted(_) => Some("53200"),
            Self::Faults => Some("08P01"),
            Self::Io(_) | Self::Left | Self::Closed | Self::Done => None,
        }
    }
}

/// All that sessions share.
pub struct Clients {
    executor: Rc<LocalExecutor<'static>>,
    engine: Rc<Engine>,
    pool: Rc<Pool>,
    descriptors: Rc<Descriptors>,
    accounts: Accounts,
    open_ids: Rc<OpenIds>,
    /// How long a message that has begun may take to arrive whole, and an answer to be read.
    patience: Duration,
    longest_deadline: Duration,
    most_held: usize,
    /// Sessions that are open, and a way to have each closed when it is idle.
    open: RefCell<BTreeMap<u64, Sender<()>>>,
    /// A way to cancel what a session has under way, by its key.
    cancels: RefCell<BTreeMap<CancelKey, Sender<()>>>,
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
        accounts: Accounts,
        deployment: &Deployment,
    ) -> Rc<Self> {
        Rc::new(Self {
            executor,
            engine,
            pool,
            descriptors,
            accounts,
            open_ids: Rc::default(),
            patience: deployment.longest_deadline.min(LONGEST_MESSAGE),
            longest_deadline: deployment.longest_deadline,
            most_held: deployment.most_held,
            open: RefCell::default(),
            cancels: RefCell::default(),
            next: Cell::new(0),
            draining: Cell::new(false),
            told: Seldom::default(),
        })
    }

    async fn accept_failed(&self, error: &io::Error) {
        if self.told.is_due() {
            log::warn!("accept failed: {error}");
        }
        Timer::after(ACCEPT_AGAIN).await;
    }

    /// Accepts until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            // Room is made only for one that has come: made ahead, it would cost the one before, which may not
            // have had time to say anything, its connection.
            if let Err(error) = listener.readable().await {
                self.accept_failed(&error).await;
                continue;
            }
            // The slot first: a connection that could not be served had better wait where it is.
            let slot = self.descriptors.take_for_client().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.welcome(stream, slot);
                    // It is idle from now on, and must be known as such before a place is made for the next.
                    future::yield_now().await;
                }
                Err(error) => self.accept_failed(&error).await,
            }
        }
    }

    /// Takes what has come to the listener while its task was ended.
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
        // Nobody may guess it, as whoever knows it can end what the session has under way.
        let key = CancelKey(rand::random());
        let (cancel, cancelled) = async_channel::bounded(1);
        self.cancels.borrow_mut().insert(key, cancel);
        let task = async move {
            _ = stream.get_ref().set_nodelay(true);
            let session = Session {
                clients: &clients,
                stream: Rc::new(stream),
                unread: Vec::new(),
                memory: clients.accounts.owner(Purpose::Coming),
                close,
                closed,
                key,
                cancelled,
                slot,
                discards: false,
                opening: Some(Instant::now() + OPENING),
            };
            let end = session.live().await;
            log::debug!("session {number}: {end}");
            // Its slot is free by now.
            clients.cancels.borrow_mut().remove(&key);
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

    /// Cancels what the session of this key has under way. One that is not known changes nothing.
    fn cancel(&self, key: CancelKey) {
        if let Some(cancel) = self.cancels.borrow().get(&key) {
            _ = cancel.try_send(());
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
    /// Attempts look whether the client is still there.
    stream: Rc<Async<TcpStream>>,
    unread: Vec<u8>,
    memory: Held,
    close: Sender<()>,
    closed: async_channel::Receiver<()>,
    key: CancelKey,
    cancelled: async_channel::Receiver<()>,
    slot: Slot,
    /// After a message of the extended protocol, all is passed over up to Sync.
    discards: bool,
    /// By when the first whole message within the session must have come, until it has.
    opening: Option<Instant>,
}

impl Session<'_> {
    /// From its first byte to its last. Why it ended.
    async fn live(mut self) -> End {
        let end = match self.run().await {
            Ok(()) => End::Done,
            Err(end) => end,
        };
        self.part(&end).await;
        end
    }

    async fn run(&mut self) -> Result<(), End> {
        if !self.open().await? {
            return Ok(());
        }
        let mut faults = 0;
        loop {
            let mut out = Vec::new();
            let asked = self.next(pg::asked).await?;
            self.opening = None;
            match asked {
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
                    put_no_room(&mut out, true, "this router has no socket left for it");
                    return self.send(&out).await;
                }
                Asked::Query(text) => {
                    let usable = self.query(text, &mut out).await?;
                    faults = if usable { 0 } else { faults + 1 };
                    pg::put_ready(&mut out);
                }
            }
            self.send(&out).await?;
            if faults >= FAULTS_BORNE {
                return Err(End::Faults);
            }
            // A client that always has more to say must not keep the others from theirs.
            future::yield_now().await;
        }
    }

    /// The one place that ends a client's connection from this side: the router ends its sending, reads on for a
    /// while without acting on it, and closes then. The end of the sending is the point of no return: what has
    /// been read before it is answered, what comes after it is not.
    async fn part(&mut self, end: &End) {
        if matches!(end, End::Left | End::Io(_)) {
            return;
        }
        // A client is told why its session ends, if that is its own doing.
        if let Some(code) = end.code() {
            let mut out = Vec::new();
            pg::put_error(&mut out, true, code, &end.to_string(), None);
            if self.send(&out).await.is_err() {
                return;
            }
        }
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.unread = Vec::new();
        _ = self.memory.resize(0);
        // It gives way at once where descriptors are short, and to nothing else.
        let (close, closed) = async_channel::bounded::<()>(1);
        let _parked =
            self.clients.descriptors.park(self.slot.side, Rank::Unopened, move || _ = close.try_send(()));
        let mut stream = &*self.stream;
        let rest = async {
            let (mut piece, mut left) = ([0; PIECE], LINGER_BYTES);
            while let Ok(count) = stream.read(&mut piece).await
                && count > 0
                && count < left
            {
                left -= count;
                future::yield_now().await;
            }
        };
        let closing = async { _ = closed.recv().await };
        let long_enough = async { _ = Timer::after(LINGER).await };
        rest.or(closing).or(long_enough).await;
    }

    /// The writes of an answer. A client that does not read it is not waited for for ever, but one that reads on,
    /// however long the answer.
    async fn send(&mut self, out: &[u8]) -> Result<(), End> {
        let (began, accounts) = (Instant::now(), &self.clients.accounts);
        let _memory = accounts.charge(Purpose::Writes, out.len().saturating_sub(PIECE));
        let pace = Pace { still: self.clients.longest_deadline, least: LEAST_PACE };
        let mut progress = Progress::new(pace, Duration::ZERO);
        let mut left = out;
        while !left.is_empty() {
            let hurried = accounts.look(|ledger| ledger.calls_for(Relief::EndSlowest));
            let late = late(began + progress.until(hurried));
            let mut stream = &*self.stream;
            let written = async { Ok(stream.write(left).await?) };
            let count = written.or(late).await?;
            if count == 0 {
                return Err(End::Left);
            }
            left = &left[count..];
            progress.moved(began.elapsed(), count as u64);
        }
        Ok(())
    }

    /// Whether a session begins.
    async fn open(&mut self) -> Result<bool, End> {
        loop {
            let mut out = Vec::new();
            match self.next(pg::opening).await? {
                Opening::Cancel(key) => {
                    self.clients.cancel(key);
                    return Ok(false);
                }
                Opening::Encryption => out.push(b'N'),
                Opening::Startup => pg::put_welcome(&mut out, Some(self.key)),
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
        let mut whole_by = self.opening;
        loop {
            if let Some((message, taken)) = decode(&self.unread)? {
                self.unread.drain(..taken);
                if self.unread.is_empty() {
                    self.unread.shrink_to(PIECE);
                    _ = self.memory.resize(beyond_a_piece(&self.unread));
                }
                return Ok(message);
            }
            if !self.unread.is_empty() {
                // Its first byte has come, so the rest is due: a trickle does not put that off.
                let by = *whole_by.get_or_insert_with(|| Instant::now() + self.clients.patience);
                read(&self.stream, &mut self.unread, &mut self.memory).or(late(by)).await?;
                continue;
            }
            // While it drains, a router still takes what has arrived by now.
            let draining = self.clients.draining.get();
            let (close, closed) = (self.close.clone(), self.closed.clone());
            let rank = if self.opening.is_some() { Rank::Unopened } else { Rank::Idle };
            let _parked = self.clients.descriptors.park(self.slot.side, rank, move || _ = close.try_send(()));
            let opened = async {
                match self.opening {
                    Some(by) => late(by).await,
                    None => future::pending().await,
                }
            };
            let closing = async {
                if !draining {
                    _ = closed.recv().await;
                }
                Err(End::Closed)
            };
            read(&self.stream, &mut self.unread, &mut self.memory).or(closing).or(opened).await?;
        }
    }

    /// The life of an RPC: from its query to the answer, which is left in `out`. Whether it was one at all.
    async fn query(&mut self, text: Vec<u8>, out: &mut Vec<u8>) -> Result<bool, End> {
        let clients = Rc::clone(self.clients);
        let engine = &clients.engine;
        if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            match engine.is_ready() {
                true => pg::put_empty_query(out),
                false => pg::put_error(out, false, "57P03", "no list of nodes has come yet", None),
            }
            return Ok(true);
        }
        let statement = match Statement::parse(text) {
            Ok(statement) => statement,
            Err(fault) => {
                pg::put_error(out, false, fault.code(), &fault.to_string(), None);
                return Ok(false);
            }
        };
        let Some((method, writes)) = engine.method(&statement.method) else {
            let message = format!("the comment's c names no class: {:?}", statement.method);
            pg::put_error(out, false, "22023", &message, None);
            return Ok(false);
        };
        if writes != statement.writes {
            // Taken for a read, it could be repeated though it writes.
            let message = format!("the statement is none of class {:?}", statement.method);
            pg::put_error(out, false, "22023", &message, None);
            return Ok(false);
        }
        let Some(open) = clients.open_ids.open(statement.id.clone()) else {
            pg::put_error(out, false, "42710", "an RPC of this id is under way", None);
            return Ok(false);
        };
        let memory = clients
            .accounts
            .hold(Purpose::Statements, statement.size())
            .ok()
            .filter(|_| engine.held() < clients.most_held);
        let Some(memory) = memory else {
            put_no_room(out, false, "this router holds all the RPCs it may");
            return Ok(true);
        };
        let client = Presence::new(Rc::downgrade(&self.stream));
        let statement = Rc::new(Kept { statement, client, _memory: memory, _open: open });
        // What was cancelled before it came is over.
        while self.cancelled.try_recv().is_ok() {}
        let cancelled = self.cancelled.clone();
        let (rpc, orders) = engine.rpc_arrived(method, &statement.statement);
        loop {
            let order = async { Ok(orders.recv().await.ok()) };
            let cancel = async {
                match cancelled.recv().await {
                    Ok(()) => Ok(None),
                    Err(_) => future::pending().await,
                }
            };
            let left = async { Err(self.left().await) };
            // Whether the client is still there is looked at first: an order may have come at the same time.
            match left.or(cancel).or(order).await {
                Ok(Some(Order::Attempt(attempt))) => {
                    clients.pool.attempt(Rc::clone(engine), attempt, Rc::clone(&statement));
                }
                Ok(Some(Order::Answer(answer))) => {
                    pg::put_answer(out, &answer);
                    return Ok(true);
                }
                Ok(Some(Order::PushBack(retry_after))) => {
                    let ms = retry_after.as_millis().to_string();
                    let detail = (!retry_after.is_zero()).then_some(ms.as_str());
                    pg::put_error(out, false, "53300", "nothing ran, so trying again is harmless", detail);
                    return Ok(true);
                }
                Ok(Some(Order::Abort(last))) => {
                    let (code, message) = cause(last);
                    pg::put_error(out, false, code, message, None);
                    return Ok(true);
                }
                // The engine gives each RPC its final answer, so that there is none only for one that is cancelled.
                Ok(None) => {
                    engine.client_left(rpc);
                    pg::put_error(out, false, "57014", "cancelled by its client; it may have run", None);
                    return Ok(true);
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
        while self.unread.len() < READ_AHEAD {
            match read(&self.stream, &mut self.unread, &mut self.memory).await {
                Ok(()) => {}
                // It is read on once the RPC is answered, if there is room by then.
                Err(End::Exhausted(_)) => break,
                Err(end) => return end,
            }
        }
        while !has_hung_up(self.stream.get_ref()) {
            Timer::after(LOOK_FOR_LEAVE).await;
        }
        End::Left
    }
}

/// The SQLSTATE of an abort, and its words, by how the last attempt ended.
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

/// What counts against the budget: a piece for each session is bounded by the count of sockets.
fn beyond_a_piece(unread: &Vec<u8>) -> usize {
    unread.capacity().saturating_sub(PIECE)
}

/// For a client that there is no room for: nothing has run, and soon there may be some.
fn put_no_room(out: &mut Vec<u8>, fatal: bool, message: &str) {
    let wait = quillpoint::HOLD.as_millis().to_string();
    pg::put_error(out, fatal, "53300", message, Some(&wait));
}

async fn read(stream: &Async<TcpStream>, unread: &mut Vec<u8>, memory: &mut Held) -> Result<(), End> {
    let mut piece = [0; PIECE];
    let mut stream = stream;
    match stream.read(&mut piece).await? {
        0 => Err(End::Left),
        count => {
            // No more than has come: many clients may send long messages at once.
            unread.reserve_exact(count);
            unread.extend(&piece[..count]);
            Ok(memory.resize(beyond_a_piece(unread))?)
        }
    }
}
