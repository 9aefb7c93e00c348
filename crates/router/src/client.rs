//! The client side: the listener, client sessions, and the life cycle of an RPC.
//!
//! `listener` accepts connections, `session` opens and closes a session, `request_loop` drives it, `receive`
//! reads from its socket, `intake` turns its messages into pipeline requests, `request` runs an RPC,
//! `response_writer` writes responses, and `rejection` answers what has arrived when a session ends.

mod intake;
mod listener;
mod receive;
mod rejection;
mod request;
mod request_loop;
mod response_writer;
mod session;
mod session_end;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;

use crate::active_request_ids::ActiveRequestIds;
use crate::budget::SharedBudget;
use crate::deployment::Deployment;
use crate::descriptors::DescriptorLimiter;
use crate::engine::Engine;
use crate::log_rate_limiter::LogRateLimiter;
use crate::pg::CancelKey;
use crate::pool::ConnectionPool;
use crate::signal::Signal;

/// Upper bound for the time between the first and the last byte of a message.
const MAX_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The parts of the router that client sessions use.
pub struct ClientResources {
    /// Runs the session tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Receives the RPCs.
    pub engine: Rc<Engine>,
    /// Makes the attempts of RPCs.
    pub pool: Rc<ConnectionPool>,
    /// Limits the descriptors of client connections.
    pub descriptors: Rc<DescriptorLimiter>,
    /// Limits the memory of client sessions.
    pub budget: SharedBudget,
}

/// All client sessions and the state they share.
pub struct ClientSessions {
    executor: Rc<LocalExecutor<'static>>,
    engine: Rc<Engine>,
    pool: Rc<ConnectionPool>,
    descriptors: Rc<DescriptorLimiter>,
    budget: SharedBudget,
    active_ids: Rc<ActiveRequestIds>,
    /// The longest time between the first and the last byte of a message.
    message_timeout: Duration,
    longest_deadline: Duration,
    max_pending_rpcs: usize,
    /// Open sessions by number; the signal closes the session once it is idle.
    open_sessions: RefCell<BTreeMap<u64, Signal>>,
    /// By a session's cancel key; the signal cancels the session's oldest unanswered statement.
    cancel_signals: RefCell<BTreeMap<CancelKey, Signal>>,
    next_session_number: Cell<u64>,
    draining: Cell<bool>,
    /// Whether sessions end once the statements that have arrived are answered, even if more follow.
    stopping: Cell<bool>,
    listener_log: LogRateLimiter,
}

impl ClientSessions {
    /// Creates the shared state without any open session.
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
            open_sessions: RefCell::default(),
            cancel_signals: RefCell::default(),
            next_session_number: Cell::new(0),
            draining: Cell::new(false),
            stopping: Cell::new(false),
            listener_log: LogRateLimiter::default(),
        })
    }

    /// Returns the numbers of the open sessions, oldest first.
    pub fn session_ids(&self) -> Vec<u64> {
        self.open_sessions.borrow().keys().copied().collect()
    }

    /// Closes a session as soon as it is idle. Does nothing if the session is not open.
    pub fn close_when_idle(&self, session: u64) {
        if let Some(close) = self.open_sessions.borrow().get(&session) {
            close.set();
        }
    }

    /// Cancels the oldest unanswered statement of the session with this key. Does nothing if the key is
    /// unknown.
    fn cancel(&self, key: CancelKey) {
        if let Some(cancel) = self.cancel_signals.borrow().get(&key) {
            cancel.set();
        }
    }

    /// Closes each session as soon as it is idle, including sessions that are opened later.
    pub fn drain(&self) {
        self.draining.set(true);
        self.session_ids().into_iter().for_each(|session| self.close_when_idle(session));
    }

    /// Ends each session after the messages that have arrived, whose statements are rejected. Without this, a
    /// client that never pauses would keep its session open until the process exits, which leaves the
    /// statements that arrived last without an answer.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Returns the number of open sessions.
    pub fn open_session_count(&self) -> usize {
        self.open_sessions.borrow().len()
    }
}
