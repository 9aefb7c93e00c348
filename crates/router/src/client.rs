//! Clients: the listener, their sessions, and the life of an RPC.

mod listener;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};

use quillpoint::host::{MethodId, Outcome};
use quillpoint_memory_budget::{Pace, Progress, Purpose, Relief};

use crate::budget::{Accounts, Exhausted};
use crate::deployment::Deployment;
use crate::descriptors::{Descriptors, Rank, Slot};
use crate::engine::{Engine, Order};
use crate::incoming::{Incoming, PIECE, Stop};
use crate::line::{Answered, Line, Written};
use crate::log_rate_limiter::LogRateLimiter;
use crate::open_ids::OpenIds;
use crate::pg::{self, CancelKey, FrontendMessage, ProtocolViolation, StartupPacket};
use crate::pool::Pool;
use crate::presence::{Presence, has_hung_up};
use crate::socket;
use crate::statement::{InFlightStatement, Statement};

/// How far a client that sends ahead of its answers is read while something is in line, beyond what is in line.
const READ_AHEAD: usize = 4 * PIECE;
/// So many times in a row a client is heard before what it has in line goes on.
const HEARD_IN_A_ROW: usize = READ_AHEAD / PIECE;
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

const HOLDS_ALL: &str = "this router holds all the RPCs it may";

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
enum End {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Broken(#[from] ProtocolViolation),
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

impl From<Stop> for End {
    fn from(stop: Stop) -> Self {
        match stop {
            Stop::Io(error) => Self::Io(error),
            Stop::Exhausted(exhausted) => Self::Exhausted(exhausted),
            Stop::End => Self::Left,
        }
    }
}

/// What a session has to go on with.
enum Event {
    Came,
    Cancelled,
    Answered,
    Sent(Result<(), End>),
}

impl End {
    /// What the client is told of it, where it is the client's doing.
    fn code(&self) -> Option<&'static str> {
        match self {
            Self::Broken(broken) => Some(broken.sqlstate()),
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
    told: LogRateLimiter,
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
            most_held: deployment.max_queued,
            open: RefCell::default(),
            cancels: RefCell::default(),
            next: Cell::new(0),
            draining: Cell::new(false),
            told: LogRateLimiter::default(),
        })
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
    incoming: Incoming,
    /// What RPCs of this connection have written.
    written: Rc<RefCell<Written>>,
    close: Sender<()>,
    closed: async_channel::Receiver<()>,
    key: CancelKey,
    cancelled: async_channel::Receiver<()>,
    slot: Slot,
    /// After a message of the extended protocol, all is passed over up to Sync.
    discards: bool,
    /// Statements in a row that cannot be used.
    faults: usize,
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

    /// Reads ahead, goes on with what is in line, and writes what is due, all of it side by side.
    async fn run(&mut self) -> Result<(), End> {
        if !self.open().await? {
            return Ok(());
        }
        let (mut line, mut sending) = (Line::default(), None);
        // How the session ends once all that came before has been answered.
        let mut last = None;
        let mut whole_by = self.opening;
        let mut heard = 0;
        loop {
            let accounts = &self.clients.accounts;
            while last.is_none()
                && line.has_room(accounts.look(|ledger| ledger.calls_for(Relief::EndSlowest)))
            {
                last = match self.incoming.take(pg::decode_frontend_message) {
                    Ok(None) => break,
                    Ok(Some((asked, arrived))) => {
                        (self.opening, whole_by) = (None, None);
                        self.take(asked, arrived, &mut line)
                    }
                    Err(broken) => Some(Err(broken.into())),
                };
            }
            if sending.is_none() {
                if let Some(answered) = line.due() {
                    sending =
                        Some(Box::pin(send(Rc::clone(self.clients), Rc::clone(&self.stream), answered)));
                } else if line.is_empty()
                    && let Some(end) = last
                {
                    return end;
                }
            }
            let (cancelled, rests) = (self.cancelled.clone(), line.is_empty() && sending.is_none());
            let came = async {
                match rests {
                    true => self.more(&mut whole_by).await,
                    false => self.ahead().await,
                }?;
                Ok(Event::Came)
            };
            let cancel = async {
                match cancelled.recv().await {
                    Ok(()) => Ok(Event::Cancelled),
                    Err(_) => future::pending().await,
                }
            };
            let answered = future::poll_fn(|cx| match line.poll(cx) {
                true => Poll::Ready(Ok(Event::Answered)),
                false => Poll::Pending,
            });
            let sent = async {
                match &mut sending {
                    Some(sending) => Ok(Event::Sent(sending.as_mut().await)),
                    None => future::pending().await,
                }
            };
            // Whether the client is still there is looked at first: an order may have come at the same time. But one
            // that sends without a pause what is passed over has what it asked before go on, too.
            let event = match heard < HEARD_IN_A_ROW {
                true => came.or(cancel).or(answered).or(sent).await,
                false => answered.or(sent).or(cancel).or(came).await,
            };
            heard = if heard < HEARD_IN_A_ROW && matches!(event, Ok(Event::Came)) { heard + 1 } else { 0 };
            match event {
                // A client that always has more to say must not keep the others from theirs: nothing here waits
                // while there is something to read.
                Ok(Event::Came) => future::yield_now().await,
                Ok(Event::Answered) => {}
                Ok(Event::Cancelled) => {
                    let mut out = Vec::new();
                    pg::encode_error(
                        &mut out,
                        false,
                        "57014",
                        "cancelled by its client; it may have run",
                        None,
                    );
                    line.cancel(self.clients.ready(out));
                }
                Ok(Event::Sent(whole)) => {
                    whole?;
                    sending = None;
                    future::yield_now().await;
                }
                Err(end) => {
                    // What is under way ends at once, and what waits is not begun; a last answer may still go out.
                    drop(line);
                    if let Some(sending) = sending {
                        _ = sending.await;
                    }
                    return Err(end);
                }
            }
        }
    }

    /// Puts a message in line. How the session ends, where it is the last one.
    fn take(&mut self, asked: FrontendMessage, arrived: Instant, line: &mut Line) -> Option<Result<(), End>> {
        let mut out = Vec::new();
        match asked {
            FrontendMessage::Terminate => return Some(Ok(())),
            FrontendMessage::Sync => {
                self.discards = false;
                pg::encode_ready_for_query(&mut out);
            }
            _ if self.discards => {}
            FrontendMessage::ExtendedQuery => {
                self.discards = true;
                pg::encode_error(&mut out, false, "0A000", "only simple queries are taken", None);
            }
            FrontendMessage::Query(_) if !self.slot.is_let_in() => {
                put_no_room(&mut out, true, "this router has no socket left for it");
                line.answer(self.clients.answered(out));
                return Some(Ok(()));
            }
            FrontendMessage::Query(text) => match self.statement(text, &mut out) {
                Ok(Some((method, kept))) => {
                    self.faults = 0;
                    // What was cancelled before anything was under way is over.
                    while !line.is_busy() && self.cancelled.try_recv().is_ok() {}
                    let reach = self.clients.engine.reach(method, &kept.statement);
                    let (clients, written) = (Rc::clone(self.clients), Rc::clone(&self.written));
                    line.ask(reach, Box::pin(clients.rpc(method, Rc::new(kept), arrived, written)));
                    return None;
                }
                Ok(None) => {
                    self.faults = 0;
                    pg::encode_ready_for_query(&mut out);
                }
                Err(Unusable) => {
                    self.faults += 1;
                    pg::encode_ready_for_query(&mut out);
                }
            },
        }
        if !out.is_empty() {
            line.answer(self.clients.answered(out));
        }
        (self.faults >= FAULTS_BORNE).then_some(Err(End::Faults))
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
            pg::encode_error(&mut out, true, code, &end.to_string(), None);
            if self.send(out).await.is_err() {
                return;
            }
        }
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.incoming.clear();
        // It gives way at once where descriptors are short, and to nothing else.
        let (close, closed) = async_channel::bounded::<()>(1);
        let _parked =
            self.clients.descriptors.park(self.slot.side, Rank::Unopened, move || _ = close.try_send(()));
        let rest = async {
            let (mut piece, mut left) = ([0; PIECE], LINGER_BYTES);
            while let Ok(count) = socket::read(&self.stream, &mut piece).await
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

    async fn send(&self, out: Vec<u8>) -> Result<(), End> {
        send(Rc::clone(self.clients), Rc::clone(&self.stream), self.clients.answered(out)).await
    }

    /// Whether a session begins.
    async fn open(&mut self) -> Result<bool, End> {
        loop {
            let mut out = Vec::new();
            match self.next(pg::decode_startup_packet).await? {
                StartupPacket::CancelRequest(key) => {
                    self.clients.cancel(key);
                    return Ok(false);
                }
                StartupPacket::EncryptionRequest => out.push(b'N'),
                StartupPacket::Startup => pg::encode_session_start(&mut out, Some(self.key)),
            }
            let begins = out.len() > 1;
            self.send(out).await?;
            if begins {
                return Ok(true);
            }
            // One that asks for encryption again and again must neither keep the others from theirs nor stay.
            future::yield_now().await;
            if self.opening.is_some_and(|by| Instant::now() >= by) {
                return Err(End::Late);
            }
        }
    }

    /// The next message, by the decoder that is due.
    async fn next<T>(
        &mut self,
        decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, ProtocolViolation>,
    ) -> Result<T, End> {
        let mut whole_by = self.opening;
        loop {
            if let Some((message, _)) = self.incoming.take(&decode)? {
                return Ok(message);
            }
            self.more(&mut whole_by).await?;
        }
    }

    /// Reads on while nothing else is to be done.
    async fn more(&mut self, whole_by: &mut Option<Instant>) -> Result<(), End> {
        if !self.incoming.is_empty() {
            // Its first byte has come, so the rest is due: a trickle does not put that off.
            let by = *whole_by.get_or_insert_with(|| Instant::now() + self.clients.patience);
            return async { Ok(self.incoming.read(&self.stream).await?) }.or(late(by)).await;
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
        async { Ok(self.incoming.read(&self.stream).await?) }.or(closing).or(opened).await
    }

    /// Reads on while something is in line, so that a client that leaves is noticed at once, and what it asks
    /// ahead of its answers is known from when it came. Only so far: what lies beyond waits in the system, and of
    /// that it is looked how much there is.
    async fn ahead(&mut self) -> Result<(), End> {
        if self.incoming.len() < READ_AHEAD && !self.incoming.is_full {
            match self.incoming.read(&self.stream).await {
                Ok(()) => return Ok(()),
                // It is read on once something is taken out, if there is room by then.
                Err(Stop::Exhausted(_)) => {}
                Err(stop) => return Err(stop.into()),
            }
        }
        loop {
            if has_hung_up(self.stream.get_ref()) {
                return Err(End::Left);
            }
            self.incoming.note_waiting(self.stream.get_ref());
            Timer::after(LOOK_FOR_LEAVE).await;
        }
    }

    /// The statement that a query is, with what it takes up. None where it is answered at once, which is left in
    /// `out`.
    ///
    /// # Errors
    /// It cannot be used, as `out` says.
    fn statement(
        &self,
        text: Vec<u8>,
        out: &mut Vec<u8>,
    ) -> Result<Option<(MethodId, InFlightStatement)>, Unusable> {
        let (clients, engine) = (self.clients, &self.clients.engine);
        if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            match engine.is_ready() {
                true => pg::encode_empty_query_response(out),
                false => pg::encode_error(out, false, "57P03", "no list of nodes has come yet", None),
            }
            return Ok(None);
        }
        let mut refuse = |code, message: &str| {
            pg::encode_error(out, false, code, message, None);
            Unusable
        };
        let statement =
            Statement::parse(text).map_err(|fault| refuse(fault.sqlstate(), &fault.to_string()))?;
        let Some(method) = engine.method(&statement.method) else {
            return Err(refuse("22023", &format!("the comment's c names no class: {:?}", statement.method)));
        };
        if engine.writes(method) != statement.writes {
            // Taken for a read, it could be repeated though it writes.
            return Err(refuse("22023", &format!("the statement is none of class {:?}", statement.method)));
        }
        let Some(open) = clients.open_ids.open(statement.id.clone()) else {
            return Err(refuse("42710", "an RPC of this id is under way"));
        };
        let Ok(memory) = clients.accounts.hold(Purpose::Statements, statement.size()) else {
            put_no_room(out, false, HOLDS_ALL);
            return Ok(None);
        };
        let client = Presence::new(Rc::downgrade(&self.stream));
        Ok(Some((method, InFlightStatement { statement, client, memory, open_id: open })))
    }
}

/// A statement that cannot be used.
struct Unusable;

impl Clients {
    /// The life of an RPC: from its turn, which comes at once where nothing ahead of it on its connection must end
    /// first, to its answer. Its time runs since it arrived.
    async fn rpc(
        self: Rc<Self>,
        method: MethodId,
        kept: Rc<InFlightStatement>,
        arrived: Instant,
        written: Rc<RefCell<Written>>,
    ) -> Answered {
        let (mut out, engine, statement) = (Vec::new(), &self.engine, &kept.statement);
        if arrived.elapsed() >= LOOK_FOR_LEAVE && !kept.client.is_there() {
            // It is not begun. Its session has not looked since, and is about to.
            return future::pending().await;
        }
        if engine.held() >= self.most_held {
            put_no_room(&mut out, false, HOLDS_ALL);
            return self.ready(out);
        }
        let known = statement.session.and_then(|key| written.borrow().last(statement.replica_set, key));
        let Some(owed) = engine.rpc_arrived(method, statement, arrived, known) else {
            pg::encode_error(
                &mut out,
                false,
                "53300",
                "its time was over before its turn: nothing ran",
                None,
            );
            return self.ready(out);
        };
        loop {
            match owed.order().await {
                Some(Order::Attempt(attempt)) => {
                    self.pool.attempt(Rc::clone(engine), attempt, Rc::clone(&kept));
                    continue;
                }
                Some(Order::Answer(answer, position)) => {
                    if let Some(commit) = position.filter(|_| statement.writes) {
                        written.borrow_mut().note(statement.replica_set, statement.session, commit);
                    }
                    pg::encode_result(&mut out, &answer);
                }
                Some(Order::PushBack(retry_after)) => {
                    let ms = retry_after.as_millis().to_string();
                    let detail = (!retry_after.is_zero()).then_some(ms.as_str());
                    pg::encode_error(
                        &mut out,
                        false,
                        "53300",
                        "nothing ran, so trying again is harmless",
                        detail,
                    );
                }
                Some(Order::Abort(last)) => {
                    let (code, message) = cause(last);
                    pg::encode_error(&mut out, false, code, message, None);
                }
                // The engine gives each RPC that it holds its final answer.
                None => return future::pending().await,
            }
            return self.ready(out);
        }
    }

    /// With the end that each answer to a query has.
    fn ready(&self, mut out: Vec<u8>) -> Answered {
        pg::encode_ready_for_query(&mut out);
        self.answered(out)
    }

    fn answered(&self, out: Vec<u8>) -> Answered {
        let memory = self.accounts.charge(Purpose::Writes, out.len().saturating_sub(PIECE));
        Answered { out, memory }
    }
}

/// The writes of an answer. A client that does not read it is not waited for for ever, but one that reads on,
/// however long the answer.
async fn send(clients: Rc<Clients>, stream: Rc<Async<TcpStream>>, answered: Answered) -> Result<(), End> {
    let (began, accounts) = (Instant::now(), &clients.accounts);
    let pace = Pace { still: clients.longest_deadline, least: LEAST_PACE };
    let mut progress = Progress::new(pace, Duration::ZERO);
    let Answered { out, memory: _memory } = answered;
    let mut left = &out[..];
    while !left.is_empty() {
        let hurried = accounts.look(|ledger| ledger.calls_for(Relief::EndSlowest));
        let late = late(began + progress.until(hurried));
        let written = async { Ok(socket::write(&stream, left).await?) };
        let count = written.or(late).await?;
        if count == 0 {
            return Err(End::Left);
        }
        left = &left[count..];
        progress.moved(began.elapsed(), count as u64);
    }
    Ok(())
}

/// The SQLSTATE of an abort, and its words, by how the last attempt ended.
fn cause(last: Option<Outcome>) -> (&'static str, &'static str) {
    match last {
        Some(Outcome::Reset) => ("08006", "the connection to the node broke; it may have run"),
        Some(Outcome::Malformed) => ("08P01", "the node's answer cannot be read; it has run"),
        Some(Outcome::Error) => ("58000", "the node failed with it; it may have run"),
        _ => ("57014", "no answer came in time; it may have run"),
    }
}

async fn late<T>(by: Instant) -> Result<T, End> {
    Timer::at(by).await;
    Err(End::Late)
}

/// For a client that there is no room for: nothing has run, and soon there may be some.
fn put_no_room(out: &mut Vec<u8>, fatal: bool, message: &str) {
    let wait = quillpoint::FRESHNESS_WAIT.as_millis().to_string();
    pg::encode_error(out, fatal, "53300", message, Some(&wait));
}
