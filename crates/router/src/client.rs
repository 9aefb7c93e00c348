//! Clients: the listener, their sessions, and the life of an RPC.
//!
//! `listener` accepts connections, `session` begins and closes one, `request_loop` drives it, `intake` reads its
//! messages, `request` runs an RPC, and `response_writer` writes what comes of it.

mod intake;
mod listener;
mod receive;
mod request;
mod request_loop;
mod response_writer;
mod session;
mod session_end;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;

use crate::active_request_ids::ActiveRequestIds;
use crate::budget::SharedBudget;
use crate::deployment::Deployment;
use crate::descriptors::DescriptorLimiter;
use crate::engine::Engine;
use crate::log_rate_limiter::LogRateLimiter;
use crate::pg::CancelKey;
use crate::pool::ConnectionPool;

/// How long a message that has begun may take to arrive completely, at the most.
const MAX_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The parts of the router that sessions use.
pub struct ClientResources {
    /// Runs the sessions.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Takes the RPCs.
    pub engine: Rc<Engine>,
    /// Makes their attempts.
    pub pool: Rc<ConnectionPool>,
    /// Counts the sessions' descriptors.
    pub descriptors: Rc<DescriptorLimiter>,
    /// Accounts for the sessions' memory.
    pub budget: SharedBudget,
}

/// All sessions, and what they share.
pub struct ClientSessions {
    executor: Rc<LocalExecutor<'static>>,
    engine: Rc<Engine>,
    pool: Rc<ConnectionPool>,
    descriptors: Rc<DescriptorLimiter>,
    budget: SharedBudget,
    active_ids: Rc<ActiveRequestIds>,
    /// How long a message that has begun may take to arrive completely.
    message_timeout: Duration,
    longest_deadline: Duration,
    max_pending_rpcs: usize,
    /// Sessions that are open, and a way to have each closed when it is idle.
    open: RefCell<BTreeMap<u64, Sender<()>>>,
    /// A way to cancel what a session has under way, by its key.
    cancels: RefCell<BTreeMap<CancelKey, Sender<()>>>,
    next_session: Cell<u64>,
    draining: Cell<bool>,
    listener_log: LogRateLimiter,
}

impl ClientSessions {
    /// Without a session yet.
    pub fn new(resources: ClientResources, deployment: &Deployment) -> Rc<Self> {
        let ClientResources { executor, engine, pool, descriptors, budget } = resources;
        Rc::new(Self {
            executor,
            engine,
            pool,
            descriptors,
            budget,
            active_ids: Rc::default(),
            message_timeout: deployment.longest_deadline.min(MAX_MESSAGE_TIMEOUT),
            longest_deadline: deployment.longest_deadline,
            max_pending_rpcs: deployment.max_pending_rpcs,
            open: RefCell::default(),
            cancels: RefCell::default(),
            next_session: Cell::new(0),
            draining: Cell::new(false),
            listener_log: LogRateLimiter::default(),
        })
    }

    /// The numbers of the open sessions, the oldest first.
    pub fn session_ids(&self) -> Vec<u64> {
        self.open.borrow().keys().copied().collect()
    }

    /// Closes a session as soon as it is idle. One that is not open changes nothing.
    pub fn close_when_idle(&self, session: u64) {
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
        self.session_ids().into_iter().for_each(|session| self.close_when_idle(session));
    }

    /// How many sessions are open.
    pub fn open_session_count(&self) -> usize {
        self.open.borrow().len()
    }
}
