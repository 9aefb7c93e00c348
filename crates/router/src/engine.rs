//! The engine: the only owner of the decision state machine (`quillpoint::Router`), of its clock and timer,
//! and of the pending RPCs.
//!
//! The decisions act by calling their host, which only queues work: commands go to the task of the RPC,
//! health checks and requests to close idle connections to the pool, polls of the endpoint list to the
//! discovery client.

mod clock;
mod command;
mod command_queue;
mod host;
mod methods;
mod observations;
mod pending_response;
mod rpcs;

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;
use quillpoint::Router;
use quillpoint::host::{Endpoint, EndpointUpdate, MethodId, Outcome};

use crate::deployment::Deployment;
use crate::request_pipeline::StatementScope;
use crate::statement::Statement;
use host::{DecisionHost, HostState};
use methods::MethodTable;

pub use clock::Clock;
pub use command::{AttemptCommand, BackgroundTask, NodeResponse, RpcCommand};
pub use methods::DeadlineRange;
pub use observations::{LocalObservation, ObservationExchange};
pub use pending_response::PendingResponse;

/// Passes events to the decisions, with one method for each kind of event.
pub struct Engine {
    /// The clock that the decisions see.
    pub clock: Clock,
    host: Rc<HostState>,
    decisions: RefCell<Router<DecisionHost>>,
    methods: MethodTable,
    next_rpc_number: Cell<u64>,
    has_endpoint_list: Cell<bool>,
    /// When the router stops waiting for RPCs; set once it begins to shut down.
    shutdown_deadline: Cell<Option<Duration>>,
    exchange: OnceCell<Rc<dyn ObservationExchange>>,
}

/// Receivers for the work that the decisions queue for other parts of the router.
pub struct EngineOutputs {
    /// Tasks for the connection pool.
    pub background_tasks: Receiver<BackgroundTask>,
    /// Requests to the discovery client, each for a poll of the endpoint list.
    pub endpoint_requests: Receiver<()>,
}

impl Engine {
    /// Creates an engine for a deployment. `seed` seeds the random numbers of the decisions.
    pub fn new(seed: u64, deployment: &Deployment) -> (Rc<Self>, EngineOutputs) {
        let (background_tasks, background_task_receiver) = async_channel::unbounded();
        let (endpoint_requests, endpoint_request_receiver) = async_channel::unbounded();
        let clock = Clock::start();
        let settings = deployment.settings.clone();
        let host = Rc::new(HostState {
            clock,
            pending: RefCell::default(),
            max_attempts: settings.number("allowed.attempts").unwrap_or(1.0) as u32,
            unsent: RefCell::default(),
            background_tasks,
            endpoint_requests,
            timer_due: Cell::new(None),
            timer_changed: Event::new(),
        });
        let decisions = Router::new(DecisionHost(Rc::clone(&host)), seed, settings, clock.now());
        let engine = Rc::new(Self {
            clock,
            host,
            decisions: RefCell::new(decisions),
            methods: MethodTable::new(deployment),
            next_rpc_number: Cell::new(0),
            has_endpoint_list: Cell::new(false),
            shutdown_deadline: Cell::new(None),
            exchange: OnceCell::new(),
        });
        let outputs = EngineOutputs {
            background_tasks: background_task_receiver,
            endpoint_requests: endpoint_request_receiver,
        };
        (engine, outputs)
    }

    /// Calls the decisions, then reports each commanded attempt that cannot be made with
    /// [`Outcome::NotSent`].
    fn with_decisions<T>(&self, call: impl FnOnce(&mut Router<DecisionHost>, Duration) -> T) -> T {
        let result = call(&mut self.decisions.borrow_mut(), self.clock.now());
        loop {
            let Some(unsent) = self.host.unsent.borrow_mut().pop() else { return result };
            self.record_attempt_end(unsent, Outcome::NotSent, NodeResponse::default());
        }
    }

    /// Whether the router answers readiness checks as ready: it has an endpoint list, or has waited for one
    /// long enough. RPCs do not wait for this; without nodes each is rejected at once.
    pub fn is_ready(&self) -> bool {
        self.has_endpoint_list.get()
            || self.clock.uptime() >= quillpoint_discovery_watch::SERVE_WITHOUT_LIST_AFTER
    }

    /// Returns the number of pending RPCs.
    pub fn pending_rpcs(&self) -> usize {
        self.host.pending.borrow().len()
    }

    /// Looks up a method of the deployment by its name.
    pub fn method_by_name(&self, name: &str) -> Option<MethodId> {
        self.methods.by_name(name)
    }

    /// Whether RPCs of the method are writes.
    pub fn writes(&self, method: MethodId) -> bool {
        self.methods.writes(method)
    }

    /// Returns what a statement of the method reads or writes, for its order in the pipeline.
    pub fn statement_scope(&self, method: MethodId, statement: &Statement) -> StatementScope {
        self.methods.statement_scope(method, statement)
    }

    /// Returns the shortest and the longest deadline of the methods.
    pub fn deadline_range(&self) -> DeadlineRange {
        self.methods.deadline_range()
    }

    /// Limits the deadlines of all RPCs, pending and future, to `deadline`.
    pub fn set_shutdown_deadline(&self, deadline: Instant) {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let deadline = self.clock.now() + remaining;
        self.shutdown_deadline.set(Some(deadline));
        for pending in self.host.pending.borrow_mut().values_mut() {
            pending.deadline = pending.deadline.min(deadline);
        }
        self.with_decisions(|decisions, now| decisions.set_shutdown_deadline(now, deadline));
    }

    /// Passes a change of the endpoint list to the decisions and to the observation exchange.
    pub fn endpoints_changed(&self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        // An empty list counts as received if it came from discovery, but not if it is the cached one.
        if !endpoints.is_empty() || update != EndpointUpdate::CachedSnapshot {
            self.has_endpoint_list.set(true);
        }
        self.with_decisions(|decisions, now| decisions.endpoints_changed(now, update, endpoints));
        if let Some(exchange) = self.exchange.get().filter(|_| !endpoints.is_empty()) {
            exchange.endpoints_changed();
        }
    }

    /// Runs the decisions' timer until the future is dropped. An earlier due time replaces a later one; the
    /// decisions set the timer again whenever it fires.
    pub async fn run_timer(&self) {
        loop {
            let changed = self.host.timer_changed.listen();
            let due = self.host.timer_due.get();
            let expired = async {
                match due {
                    Some(at) => _ = Timer::at(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
                true
            };
            let replaced = async {
                changed.await;
                false
            };
            let has_expired = expired.or(replaced).await;
            // Checked against the decisions' clock: a timer that fires early would find nothing due.
            if has_expired && due.is_some_and(|at| at <= self.clock.now()) {
                self.host.timer_due.set(None);
                self.with_decisions(|decisions, now| decisions.timer_fired(now));
            }
        }
    }
}
