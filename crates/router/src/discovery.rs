//! The client of discovery: it makes the calls that `quillpoint_discovery_watch` times, and hands the module what they tell.
//!
//! Each call is a task of its own, which tells here how far it has come. A call whose time is over, or that was made to
//! where discovery was before, stays open for a while beside the one that takes its place: an answer that discovery has
//! written is heard, whenever it comes.

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
    ANSWER_TAKEN, Basis, Failed, ListWatch, MOST_LATE_CALLS, Part, Use, Versions,
};

use crate::deployment::Deployment;
use crate::descriptors::{DescriptorLimiter, DescriptorPermit};
use crate::engine::{Clock, Engine};
use crate::list::{Page, Reader};
use crate::list_call::{Answered, Connection, Failure, ListCall};

/// The newest call, the late ones, and a connection that is kept for the next: each holds a socket.
const SOCKETS: usize = 1 + MOST_LATE_CALLS;
/// So many nodes that drain or are gone are named in one line of the log.
const MOST_NAMED: usize = 8;

/// A call that has been made and not ended.
struct CallOut {
    number: u64,
    basis: Basis,
    began: Duration,
    /// Dropped, the call is over and its connection closed.
    _task: Task<()>,
}

/// What a call's task tells.
struct Progress {
    call: u64,
    step: Step,
}

enum Step {
    Reached(Part),
    Ended(Result<Answered, Failure>),
}

enum Event {
    Progress(Progress),
    Moved(SocketAddr),
    /// The module wants the list.
    Asked,
    /// Something is due by the watch.
    Due,
}

/// The one that calls discovery.
pub struct DiscoveryClient {
    address: SocketAddr,
    reader: Reader,
    versions: Versions,
    watch: ListWatch,
    /// Of the last call that was answered.
    connection: Option<Connection>,
    newest: Option<CallOut>,
    /// Calls whose time is over, the oldest first.
    late: VecDeque<CallOut>,
    next_number: u64,
    progress: (Sender<Progress>, Receiver<Progress>),
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    /// Kept for as long as the router runs, so that no client can have them while discovery is down.
    _slots: Vec<DescriptorPermit>,
}

impl DiscoveryClient {
    /// Reads the list that the router had last; the lines are for the module. Waits until it has its sockets.
    pub async fn new(
        address: SocketAddr,
        deployment: &Deployment,
        known: &Page,
        seed: u64,
        clock: Clock,
        (executor, descriptors): (Rc<LocalExecutor<'static>>, &Rc<DescriptorLimiter>),
    ) -> (Self, Vec<Endpoint>) {
        let mut reader = Reader::new(deployment);
        let lines = reader.lines(known);
        let mut slots = Vec::new();
        for _ in 0..SOCKETS {
            slots.push(descriptors.acquire().await);
        }
        let client = Self {
            address,
            reader,
            versions: Versions::new((!lines.is_empty()).then_some(known.rev)),
            watch: ListWatch::new(deployment.poll_interval, deployment.pushes_endpoints, seed),
            connection: None,
            newest: None,
            late: VecDeque::new(),
            next_number: 0,
            progress: async_channel::unbounded(),
            clock,
            executor,
            _slots: slots,
        };
        (client, lines)
    }

    /// Calls whenever the watch of the list is due to, until the router ends. `asked` is the module's wish for the
    /// list, `moves` tells where discovery is from now on.
    pub async fn run(mut self, engine: Rc<Engine>, asked: Receiver<()>, moves: Receiver<SocketAddr>) {
        loop {
            let now = self.clock.now();
            if let Some(hold) = self.watch.begin(now) {
                self.call(now, hold);
            }
            match self.event(&asked, &moves).await {
                Event::Progress(progress) => self.progressed(progress, &engine),
                Event::Moved(address) => self.move_to(address),
                Event::Asked => self.watch.asked(self.clock.now()),
                Event::Due => self.time_over(),
            }
        }
    }

    /// What happens next. What a call tells goes before the end of its time.
    async fn event(&self, asked: &Receiver<()>, moves: &Receiver<SocketAddr>) -> Event {
        let progressed = async { Event::Progress(received(&self.progress.1).await) };
        let moved = async { Event::Moved(received(moves).await) };
        let asked = async {
            received(asked).await;
            Event::Asked
        };
        let due = async {
            match self.watch.due() {
                Some(due) => _ = Timer::at(self.clock.instant(due)).await,
                None => future::pending().await,
            }
            Event::Due
        };
        progressed.or(moved).or(asked).or(due).await
    }

    fn call(&mut self, now: Duration, hold: Duration) {
        let (basis, number) = (self.versions.basis(), self.next_number);
        self.next_number += 1;
        let path = match basis.from {
            None => "/catalog/members".to_string(),
            Some(from) => format!("/catalog/members?from={from}&hold_ms={}", hold.as_millis()),
        };
        let call = ListCall { address: self.address, path };
        let (kept, progress) = (self.connection.take(), self.progress.0.clone());
        let task = async move {
            let tell = |step| _ = progress.try_send(Progress { call: number, step });
            let made = call.make(kept, |part| tell(Step::Reached(part)));
            let over = async {
                Timer::after(hold + ANSWER_TAKEN).await;
                Err(Failure::Late)
            };
            tell(Step::Ended(made.or(over).await));
        };
        let task = self.executor.spawn(task);
        self.newest = Some(CallOut { number, basis, began: now, _task: task });
    }

    fn progressed(&mut self, Progress { call, step }: Progress, engine: &Engine) {
        let is_newest = self.newest.as_ref().is_some_and(|newest| newest.number == call);
        match step {
            Step::Reached(part) if is_newest => self.watch.reached(self.clock.now(), part),
            Step::Reached(_) => {}
            Step::Ended(result) if is_newest => {
                if let Some(call) = self.newest.take() {
                    self.newest_ended(&call, result, engine);
                }
            }
            Step::Ended(result) => {
                let place = self.late.iter().position(|late| late.number == call);
                if let Some(call) = place.and_then(|place| self.late.remove(place)) {
                    self.late_ended(&call, result, engine);
                }
            }
        }
    }

    fn newest_ended(&mut self, call: &CallOut, result: Result<Answered, Failure>, engine: &Engine) {
        match result.and_then(|answered| self.take(call, answered, engine)) {
            Ok(news) => self.watch.answered(self.clock.now(), news),
            Err(failure) => self.failed(call, &failure),
        }
    }

    fn late_ended(&mut self, call: &CallOut, result: Result<Answered, Failure>, engine: &Engine) {
        match result.and_then(|answered| self.take(call, answered, engine)) {
            Ok(_) if self.versions.is_present(call.basis) => self.watch.answered_late(self.clock.now()),
            Ok(_) => {}
            Err(failure) => log::debug!("list call {}, late, failed: {failure}", call.number),
        }
    }

    /// Hands the module what an answer tells. Whether it told anything.
    fn take(&mut self, call: &CallOut, answered: Answered, engine: &Engine) -> Result<bool, Failure> {
        let Answered { page, connection } = answered;
        if self.versions.is_present(call.basis) {
            self.connection = connection;
        }
        let (extent, lines) = match self.versions.judge(call.basis, page.rev) {
            Use::All => {
                let lines = self.reader.lines(&page);
                // Guards against taking a list in a form that is not known here for one on which nobody is left.
                if lines.is_empty() && !page.targets.is_empty() {
                    return Err(Failure::Entries);
                }
                self.taken(page.rev);
                (if page.all { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta }, lines)
            }
            Use::Stops => (EndpointUpdate::Delta, self.reader.stops(&page)),
            Use::Nothing => {
                log::info!(
                    event = "endpoint_list_superseded", call = call.number, version = page.rev;
                    "an answer with version {} of the list came behind a newer one", page.rev
                );
                return Ok(false);
            }
        };
        if !lines.is_empty() {
            self.tell_list(call, page.rev, &lines);
        }
        engine.endpoints_changed(extent, &lines);
        Ok(!lines.is_empty())
    }

    /// All of an answer is taken: calls to where discovery was before have nothing to add.
    fn taken(&mut self, version: u64) {
        self.versions.taken(version);
        let versions = &self.versions;
        self.late.retain(|late| versions.is_present(late.basis));
    }

    fn tell_list(&self, call: &CallOut, version: u64, lines: &[Endpoint]) {
        let waited_ms = self.waited_ms(call);
        let stops: Vec<String> = lines
            .iter()
            .filter(|line| line.status != EndpointStatus::InService)
            .map(|line| line.node.0.to_string())
            .collect();
        let named = stops[..stops.len().min(MOST_NAMED)].join(" ");
        log::info!(
            event = "endpoint_list", version = version, call = call.number, waited_ms = waited_ms,
            stops = stops.len(), stopped = named.as_str();
            "list {version}: {} entries", lines.len()
        );
    }

    fn failed(&mut self, call: &CallOut, failure: &Failure) {
        let waited_ms = self.waited_ms(call);
        match self.watch.failed(self.clock.now()) {
            Failed::Watch => log::warn!(
                event = "endpoint_poll_failed", call = call.number, waited_ms = waited_ms;
                "the watch of the list has fallen silent"
            ),
            Failed::Call => log::warn!(
                event = "endpoint_poll_failed", call = call.number, waited_ms = waited_ms;
                "list call failed: {failure}"
            ),
        }
    }

    fn waited_ms(&self, call: &CallOut) -> u64 {
        self.clock.now().saturating_sub(call.began).as_millis() as u64
    }

    /// What was due is a call, which begins by itself, or the end of the newest call's time.
    fn time_over(&mut self) {
        if self.watch.due().is_none_or(|due| due > self.clock.now()) {
            return;
        }
        if let Some(call) = self.newest.take() {
            self.failed(&call, &Failure::Late);
            self.keep_late(call);
        }
    }

    fn keep_late(&mut self, call: CallOut) {
        self.late.push_back(call);
        if self.late.len() > MOST_LATE_CALLS
            && let Some(oldest) = self.late.pop_front()
        {
            log::info!(
                event = "endpoint_poll_abandoned", call = oldest.number, waited_ms = self.waited_ms(&oldest);
                "a call for the list was closed without an answer"
            );
        }
    }

    /// Elsewhere the versions may be others, so the whole list is asked for, on a connection of its own.
    fn move_to(&mut self, address: SocketAddr) {
        (self.connection, self.address) = (None, address);
        self.versions.moved();
        self.watch.moved(self.clock.now());
        if let Some(call) = self.newest.take() {
            self.keep_late(call);
        }
    }
}

/// The next that comes; never, where nothing more can come.
async fn received<T>(channel: &Receiver<T>) -> T {
    match channel.recv().await {
        Ok(message) => message,
        Err(_) => future::pending().await,
    }
}
