//! The discovery client: polls the endpoint list on the schedule of `quillpoint_discovery_watch` and passes
//! the endpoints to the decision module.
//!
//! Each poll runs in its own task, which reports its progress here. A poll that has timed out, or that was
//! made to a previous address of discovery, stays open for a while next to its replacement: discovery
//! considers a response delivered once it is written, so a late response must still be processed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::{FutureExt, future};
use quillpoint::host::{Endpoint, EndpointStatus, EndpointUpdate};
use quillpoint_discovery_watch::{
    ApplyScope, DiscoveryWatch, FailureKind, LATE_RESPONSE_WINDOW, ListVersions, MAX_LATE_POLLS, PollBasis,
    PollPhase, WatchStart,
};

use crate::deployment::Deployment;
use crate::descriptors::{DescriptorLimiter, DescriptorPermit};
use crate::endpoint_list::{EndpointList, EndpointParser};
use crate::endpoint_poll::{Connection, EndpointPoll, PollError, PollResponse};
use crate::engine::{Clock, Engine};

/// Sockets for the newest poll and the late ones. The idle connection is counted as the newest poll's socket.
const SOCKETS: usize = 1 + MAX_LATE_POLLS;
/// Maximum number of draining or removed nodes that are named in a log line.
const MAX_NODES_NAMED: usize = 8;

/// Parameters of a [`DiscoveryClient`].
pub struct DiscoveryParams<'a> {
    /// The address of discovery at startup.
    pub address: SocketAddr,
    /// The settings of the deployment.
    pub deployment: &'a Deployment,
    /// The last list that the router received before it was started.
    pub cached_list: &'a EndpointList,
    /// Seed for the jitter of the poll schedule, which keeps routers from polling at the same time.
    pub seed: u64,
    /// The router's clock.
    pub clock: Clock,
    /// Runs the tasks of the polls.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Counts the sockets of the polls.
    pub descriptors: &'a Rc<DescriptorLimiter>,
}

/// A poll that has not ended yet.
struct PollInFlight {
    number: u64,
    basis: PollBasis,
    started: Duration,
    /// Dropping the task cancels the poll and closes its connection.
    _task: Task<()>,
}

/// A progress report from the task of a poll.
struct PollReport {
    poll: u64,
    progress: Progress,
}

enum Progress {
    PhaseReached(PollPhase),
    Ended(Result<PollResponse, PollError>),
}

enum Event {
    PollReported(PollReport),
    AddressChanged(SocketAddr),
    /// The decision module has requested the list.
    ListRequested,
    /// The deadline of the watch has passed.
    Deadline,
}

/// Polls discovery for the endpoint list until the router ends.
pub struct DiscoveryClient {
    address: SocketAddr,
    parser: EndpointParser,
    versions: ListVersions,
    watch: DiscoveryWatch,
    /// The connection of the last successful poll, to be reused by the next one.
    idle_connection: Option<Connection>,
    newest: Option<PollInFlight>,
    /// Polls that have timed out or went to a previous address, the oldest first.
    late: VecDeque<PollInFlight>,
    next_poll: u64,
    report_sender: Sender<PollReport>,
    reports: Receiver<PollReport>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    /// Held as long as the router runs, so that clients cannot use up these descriptors while discovery is
    /// down.
    _permits: Vec<DescriptorPermit>,
}

impl DiscoveryClient {
    /// Waits for the permits for its sockets, then returns the client and the endpoints of the cached list.
    pub async fn new(params: DiscoveryParams<'_>) -> (Self, Vec<Endpoint>) {
        let DiscoveryParams { address, deployment, cached_list, seed, clock, executor, descriptors } = params;
        let mut parser = EndpointParser::new(deployment);
        let endpoints = parser.apply(cached_list);
        let mut permits = Vec::new();
        for _ in 0..SOCKETS {
            permits.push(descriptors.acquire().await);
        }
        let start = if deployment.polls_from_start { WatchStart::Immediate } else { WatchStart::OnRequest };
        let (report_sender, reports) = async_channel::unbounded();
        let client = Self {
            address,
            parser,
            versions: ListVersions::new((!endpoints.is_empty()).then_some(cached_list.version)),
            watch: DiscoveryWatch::new(deployment.poll_interval, start, seed),
            idle_connection: None,
            newest: None,
            late: VecDeque::new(),
            next_poll: 0,
            report_sender,
            reports,
            clock,
            executor,
            _permits: permits,
        };
        (client, endpoints)
    }

    /// Makes a poll whenever the watch schedules one, until the router ends. `requests` receives the decision
    /// module's requests for the list, `addresses` the new addresses of discovery.
    pub async fn run(mut self, engine: Rc<Engine>, requests: Receiver<()>, addresses: Receiver<SocketAddr>) {
        loop {
            let now = self.clock.now();
            if let Some(hold) = self.watch.start_poll_if_due(now) {
                self.begin_poll(now, hold);
            }
            match self.next_event(&requests, &addresses).await {
                Event::PollReported(report) => self.poll_reported(report, &engine),
                Event::AddressChanged(address) => self.address_changed(address),
                Event::ListRequested => self.watch.list_requested(self.clock.now()),
                Event::Deadline => self.deadline_passed(),
            }
        }
    }

    /// Waits for the next event. If a poll has reported and its deadline has passed as well, the report is
    /// handled first.
    async fn next_event(&self, requests: &Receiver<()>, addresses: &Receiver<SocketAddr>) -> Event {
        let reported = async { Event::PollReported(receive(&self.reports).await) };
        let address_changed = async { Event::AddressChanged(receive(addresses).await) };
        let requested = async {
            receive(requests).await;
            Event::ListRequested
        };
        let deadline = async {
            match self.watch.deadline() {
                Some(deadline) => Timer::at(self.clock.instant(deadline)).await,
                None => future::pending().await,
            };
            Event::Deadline
        };
        reported.or(address_changed).or(requested).or(deadline).await
    }

    fn begin_poll(&mut self, now: Duration, hold: Duration) {
        let basis = self.versions.poll_basis();
        let number = self.next_poll;
        self.next_poll += 1;
        let path = match basis.from_version {
            None => "/catalog/members".to_string(),
            Some(from) => format!("/catalog/members?from={from}&hold_ms={}", hold.as_millis()),
        };
        let poll = EndpointPoll { address: self.address, path };
        let idle_connection = self.idle_connection.take();
        let sender = self.report_sender.clone();
        let task = async move {
            let report = |progress| report(&sender, number, progress);
            let response = poll.run(idle_connection, |phase| report(Progress::PhaseReached(phase)));
            let timeout = async {
                Timer::after(hold + LATE_RESPONSE_WINDOW).await;
                Err(PollError::TimedOut)
            };
            report(Progress::Ended(response.or(timeout).await));
        };
        let task = self.executor.spawn(task);
        self.newest = Some(PollInFlight { number, basis, started: now, _task: task });
    }

    fn poll_reported(&mut self, PollReport { poll, progress }: PollReport, engine: &Engine) {
        let is_newest = self.newest.as_ref().is_some_and(|newest| newest.number == poll);
        match progress {
            Progress::PhaseReached(phase) if is_newest => self.watch.phase_reached(self.clock.now(), phase),
            Progress::PhaseReached(_) => {}
            Progress::Ended(result) if is_newest => {
                if let Some(poll) = self.newest.take() {
                    self.newest_ended(&poll, result, engine);
                }
            }
            Progress::Ended(result) => {
                let index = self.late.iter().position(|late| late.number == poll);
                if let Some(poll) = index.and_then(|index| self.late.remove(index)) {
                    self.late_ended(&poll, result, engine);
                }
            }
        }
    }

    fn newest_ended(
        &mut self,
        poll: &PollInFlight,
        result: Result<PollResponse, PollError>,
        engine: &Engine,
    ) {
        match result.and_then(|response| self.apply(poll, response, engine)) {
            Ok(has_changes) => self.watch.response_received(self.clock.now(), has_changes),
            Err(error) => self.poll_failed(poll, &error),
        }
    }

    fn late_ended(&mut self, poll: &PollInFlight, result: Result<PollResponse, PollError>, engine: &Engine) {
        match result.and_then(|response| self.apply(poll, response, engine)) {
            Ok(_) if self.versions.is_from_current_address(poll.basis) => {
                self.watch.late_response_received(self.clock.now())
            }
            Ok(_) => {}
            Err(error) => log::debug!("late endpoint list poll {} failed: {error}", poll.number),
        }
    }

    /// Passes the endpoints of a response to the decision module. Returns whether there were any.
    fn apply(
        &mut self,
        poll: &PollInFlight,
        response: PollResponse,
        engine: &Engine,
    ) -> Result<bool, PollError> {
        let PollResponse { list, connection } = response;
        if self.versions.is_from_current_address(poll.basis) {
            self.idle_connection = connection;
        }
        let (update, endpoints) = match self.versions.apply_scope(poll.basis, list.version) {
            ApplyScope::All => self.apply_list(&list)?,
            ApplyScope::DrainingOnly => (EndpointUpdate::Delta, self.parser.draining_or_removed(&list)),
            ApplyScope::Nothing => {
                log::info!(
                    event = "endpoint_list_superseded", call = poll.number, version = list.version;
                    "discarded endpoint list version {}: a newer version has already been applied",
                    list.version
                );
                return Ok(false);
            }
        };
        if !endpoints.is_empty() {
            self.log_list(poll, list.version, &endpoints);
        }
        engine.endpoints_changed(update, &endpoints);
        Ok(!endpoints.is_empty())
    }

    fn apply_list(&mut self, list: &EndpointList) -> Result<(EndpointUpdate, Vec<Endpoint>), PollError> {
        let endpoints = self.parser.apply(list);
        // A list in an unknown format must not be taken for an empty one.
        if list.entries.is_empty() && list.unreadable_entries > 0 {
            return Err(PollError::NoReadableEntry { entries: list.unreadable_entries });
        }
        self.versions.record_applied(list.version);
        // Responses to polls made to previous addresses of discovery are obsolete now.
        let versions = &self.versions;
        self.late.retain(|late| versions.is_from_current_address(late.basis));
        let update = if list.is_snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        Ok((update, endpoints))
    }

    fn log_list(&self, poll: &PollInFlight, version: u64, endpoints: &[Endpoint]) {
        let waited_ms = self.waited_ms(poll);
        let stopped: Vec<String> = endpoints
            .iter()
            .filter(|endpoint| endpoint.status != EndpointStatus::InService)
            .map(|endpoint| endpoint.node.0.to_string())
            .collect();
        let stopped_addresses = stopped[..stopped.len().min(MAX_NODES_NAMED)].join(" ");
        log::info!(
            event = "endpoint_list", version = version, call = poll.number, waited_ms = waited_ms,
            stops = stopped.len(), stopped = stopped_addresses.as_str();
            "endpoint list {version}: {} entries", endpoints.len()
        );
    }

    fn poll_failed(&mut self, poll: &PollInFlight, error: &PollError) {
        let waited_ms = self.waited_ms(poll);
        match self.watch.poll_failed(self.clock.now()) {
            FailureKind::WatchTimeout => log::warn!(
                event = "endpoint_poll_failed", call = poll.number, waited_ms = waited_ms;
                "endpoint list watch timed out without an answer"
            ),
            FailureKind::PollFailed => log::warn!(
                event = "endpoint_poll_failed", call = poll.number, waited_ms = waited_ms;
                "poll of the endpoint list failed: {error}"
            ),
        }
    }

    fn waited_ms(&self, poll: &PollInFlight) -> u64 {
        self.clock.now().saturating_sub(poll.started).as_millis() as u64
    }

    /// The deadline is either that of the next poll, which `run` begins, or the timeout of the newest poll.
    fn deadline_passed(&mut self) {
        if self.watch.deadline().is_none_or(|deadline| deadline > self.clock.now()) {
            return;
        }
        if let Some(poll) = self.newest.take() {
            self.poll_failed(&poll, &PollError::TimedOut);
            self.keep_late(poll);
        }
    }

    fn keep_late(&mut self, poll: PollInFlight) {
        self.late.push_back(poll);
        if self.late.len() > MAX_LATE_POLLS
            && let Some(oldest) = self.late.pop_front()
        {
            log::info!(
                event = "endpoint_poll_abandoned", call = oldest.number, waited_ms = self.waited_ms(&oldest);
                "endpoint list poll abandoned without an answer"
            );
        }
    }

    /// The new address may number its versions differently, so the next poll requests a snapshot, on a new
    /// connection.
    fn address_changed(&mut self, address: SocketAddr) {
        self.address = address;
        self.idle_connection = None;
        self.versions.address_changed();
        self.watch.address_changed(self.clock.now());
        if let Some(poll) = self.newest.take() {
            self.keep_late(poll);
        }
    }
}

/// Reports the progress of a poll. Sending fails only if the client has ended, in which case the report is
/// not needed.
fn report(sender: &Sender<PollReport>, poll: u64, progress: Progress) {
    sender.try_send(PollReport { poll, progress }).ok();
}

/// Returns the next message; pends forever once the channel is closed.
async fn receive<T>(channel: &Receiver<T>) -> T {
    match channel.recv().await {
        Ok(message) => message,
        Err(_) => future::pending().await,
    }
}
