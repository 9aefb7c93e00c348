//! The engine: sole owner of the decisions, of their clock and of their one timer, and of what each RPC is still owed.
//!
//! The decisions act by calling their host, which only queues work: commands go to the task of the RPC, health checks
//! and closings to the pool, polls of the endpoint list to the discovery client.

mod clock;
mod command;
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

/// Tells the decisions of each thing that happens, by one method for each.
pub struct Engine {
    /// The clock that the decisions see.
    pub clock: Clock,
    host: Rc<HostState>,
    decisions: RefCell<Router<DecisionHost>>,
    methods: MethodTable,
    next_rpc: Cell<u64>,
    has_endpoint_list: Cell<bool>,
    /// When the router ends, once it has been told to stop.
    shutdown_deadline: Cell<Option<Duration>>,
    exchange: OnceCell<Rc<dyn ObservationExchange>>,
}

/// Where the decisions' work for other parts of the router arrives.
pub struct EngineOutputs {
    /// For the pool.
    pub background_tasks: Receiver<BackgroundTask>,
    /// For the discovery client: each one asks it for the endpoint list.
    pub endpoint_requests: Receiver<()>,
}

impl Engine {
    /// An engine for a deployment. Equal seeds draw the same random numbers.
    pub fn new(seed: u64, deployment: &Deployment) -> (Rc<Self>, EngineOutputs) {
        let (background_tasks, background_task_receiver) = async_channel::unbounded();
        let (endpoint_requests, endpoint_request_receiver) = async_channel::unbounded();
        let clock = Clock::start();
        let values = deployment.settings.clone();
        let host = Rc::new(HostState {
            clock,
            pending: RefCell::default(),
            max_attempts: values.number("allowed.attempts").unwrap_or(1.0) as u32,
            unsent: RefCell::default(),
            background_tasks,
            endpoint_requests,
            timer_due: Cell::new(None),
            timer_changed: Event::new(),
        });
        let decisions = Router::new(DecisionHost(Rc::clone(&host)), seed, values, clock.now());
        let engine = Rc::new(Self {
            clock,
            host,
            decisions: RefCell::new(decisions),
            methods: MethodTable::new(deployment),
            next_rpc: Cell::new(0),
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

    /// Calls the decisions, and then ends the attempts that they commanded and that cannot be made.
    fn with_decisions<T>(&self, call: impl FnOnce(&mut Router<DecisionHost>, Duration) -> T) -> T {
        let result = call(&mut self.decisions.borrow_mut(), self.clock.now());
        loop {
            let Some(unsent) = self.host.unsent.borrow_mut().pop() else { return result };
            self.record_attempt_end(unsent, Outcome::NotSent, NodeResponse::default());
        }
    }

    /// Whether an empty query is answered as ready: the endpoint list has come, or has been waited for long enough. RPCs are not
    /// held back: without nodes each is rejected at once.
    pub fn is_ready(&self) -> bool {
        self.has_endpoint_list.get()
            || self.clock.uptime() >= quillpoint_discovery_watch::SERVE_WITHOUT_LIST_AFTER
    }

    /// How many RPCs are pending.
    pub fn pending_rpcs(&self) -> usize {
        self.host.pending.borrow().len()
    }

    /// The method of this name, if the deployment has one.
    pub fn method_by_name(&self, name: &str) -> Option<MethodId> {
        self.methods.by_name(name)
    }

    /// Whether RPCs of the method write.
    pub fn writes(&self, method: MethodId) -> bool {
        self.methods.writes(method)
    }

    /// What a statement of the method reads or writes.
    pub fn statement_scope(&self, method: MethodId, statement: &Statement) -> StatementScope {
        self.methods.statement_scope(method, statement)
    }

    /// The shortest deadline of a method, and the longest.
    pub fn deadline_range(&self) -> DeadlineRange {
        self.methods.deadline_range()
    }

    /// No RPC is waited for past this time, be it pending by now or yet to come.
    pub fn set_shutdown_deadline(&self, deadline: Instant) {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let deadline = self.clock.now() + remaining;
        self.shutdown_deadline.set(Some(deadline));
        for pending in self.host.pending.borrow_mut().values_mut() {
            pending.deadline = pending.deadline.min(deadline);
        }
        self.with_decisions(|decisions, now| decisions.set_shutdown_deadline(now, deadline));
    }

    /// The endpoint list has changed.
    pub fn endpoints_changed(&self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        // An empty list from discovery is a list; an empty cached one is none.
        if !endpoints.is_empty() || update != EndpointUpdate::CachedSnapshot {
            self.has_endpoint_list.set(true);
        }
        self.with_decisions(|decisions, now| decisions.endpoints_changed(now, update, endpoints));
        if let Some(exchange) = self.exchange.get().filter(|_| !endpoints.is_empty()) {
            exchange.endpoints_changed();
        }
    }

    /// Runs the decisions' one timer until it is dropped. An earlier time replaces a later one, after which the
    /// decisions set the timer anew.
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
            // Never early: a timer that fired early would find nothing due.
            if has_expired && due.is_some_and(|at| at <= self.clock.now()) {
                self.host.timer_due.set(None);
                self.with_decisions(|decisions, now| decisions.timer_fired(now));
            }
        }
    }
}
