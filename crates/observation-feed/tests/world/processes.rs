//! The processes of publishers and routers: started, killed, stopped and resumed.

use std::collections::VecDeque;
use std::time::Duration;

use quillpoint_membership::{Incarnation, TimestampedObservation};
use quillpoint_observation_feed::publisher::PublisherParams;
use quillpoint_observation_feed::subscriber::SubscriberParams;
use quillpoint_observation_feed::{Event, Publisher, Subscriber};

use super::costs::Costs;
use super::network::InFlightMessage;
use super::recording_host::RecordingHost;
use super::shape::{control, ms, region, router_name};
use super::{Scheduled, World};

/// One side's process.
pub(super) struct Process<T> {
    pub(super) side: T,
    pub(super) host: RecordingHost,
    pub(super) start: Incarnation,
    pub(super) stopped: bool,
    pub(super) waiting: VecDeque<InFlightMessage>,
    /// What its fleet has sent it meanwhile, dated when it was seen.
    pub(super) pending_observations: Vec<TimestampedObservation>,
    pub(super) timer_due: bool,
}

pub(super) struct ProcessSlot<T> {
    pub(super) process: Option<Process<T>>,
    pub(super) generation: u64,
    pub(super) clock_offset: Duration,
    pub(super) costs: Costs,
    pub(super) events: Vec<(Duration, Event)>,
}

impl World {
    pub fn start_publisher(&mut self, index: usize) {
        let host = RecordingHost::default();
        let now = self.now + self.publishers[index].clock_offset;
        let params = PublisherParams {
            health_check_period: self.shape.period,
            digest_interval: ms(100),
            snapshot_bytes_per_second: self.shape.snapshot_bytes_per_second,
            max_subscribers: self.shape.max_subscribers,
        };
        let seed = self.shape.seed ^ ((index as u64) << 20) ^ self.publishers[index].generation;
        let mut side = Publisher::new(host.clone(), params, seed, now);
        side.nodes_changed(now, &self.nodes());
        side.instance_count_changed(self.shape.publishers);
        self.publishers[index].generation += 1;
        let start = Incarnation(self.now.as_micros() as u64);
        self.publishers[index].process = Some(process(side, host, start));
        self.run_publisher_calls(index);
    }

    pub fn start_router(&mut self, index: usize) {
        let host = RecordingHost::default();
        let now = self.now + self.routers[index].clock_offset;
        let params = SubscriberParams {
            region: region(index, self.shape.regions),
            digest_interval: ms(100),
            health_check_period: self.shape.period,
            router_count: self.shape.routers as u32,
        };
        let seed = self.shape.seed ^ ((index as u64) << 32) ^ self.routers[index].generation;
        let mut side =
            Subscriber::new(host.clone(), router_name(index), params, control(&self.shape), seed, now);
        side.nodes_changed(now, &self.nodes());
        self.routers[index].generation += 1;
        self.delay_bounds.retain(|(router, _), _| *router != index);
        self.past_delay_bounds[index] = 0.0;
        let start = Incarnation(self.now.as_micros() as u64);
        self.routers[index].process = Some(process(side, host, start));
        self.run_router_calls(index);
    }

    pub fn kill_publisher(&mut self, index: usize) {
        self.publishers[index].process = None;
        self.publishers[index].generation += 1;
    }

    pub fn kill_router(&mut self, index: usize) {
        self.routers[index].process = None;
        self.routers[index].generation += 1;
    }

    pub fn leave_publisher(&mut self, index: usize) {
        let now = self.now + self.publishers[index].clock_offset;
        if let Some(process) = &mut self.publishers[index].process {
            process.side.leave(now);
            self.run_publisher_calls(index);
        }
        self.kill_publisher(index);
    }

    pub fn stop_publisher(&mut self, index: usize) {
        self.publishers[index].process.iter_mut().for_each(|process| process.stopped = true);
    }

    pub fn stop_router(&mut self, index: usize) {
        self.routers[index].process.iter_mut().for_each(|process| process.stopped = true);
    }

    pub fn resume_publisher(&mut self, index: usize) {
        let now = self.now + self.publishers[index].clock_offset;
        let Some(process) = &mut self.publishers[index].process else { return };
        process.stopped = false;
        std::mem::take(&mut process.pending_observations)
            .into_iter()
            .for_each(|observation| process.side.observe(now, observation));
        let (waiting, timer) = (std::mem::take(&mut process.waiting), std::mem::take(&mut process.timer_due));
        waiting.into_iter().for_each(|message_in_flight| self.publisher_message(index, message_in_flight));
        if timer {
            let generation = self.publishers[index].generation;
            self.schedule(self.now, Scheduled::PublisherTimer { index, generation });
        }
    }

    pub fn resume_router(&mut self, index: usize) {
        let Some(process) = &mut self.routers[index].process else { return };
        process.stopped = false;
        let (waiting, timer) = (std::mem::take(&mut process.waiting), std::mem::take(&mut process.timer_due));
        waiting.into_iter().for_each(|message_in_flight| self.router_message(index, message_in_flight));
        if timer {
            let generation = self.routers[index].generation;
            self.schedule(self.now, Scheduled::RouterTimer { index, generation });
        }
    }

    pub fn runs_publisher(&self, index: usize) -> bool {
        self.publishers[index].process.as_ref().is_some_and(|process| !process.stopped)
    }

    pub fn runs_router(&self, index: usize) -> bool {
        self.routers[index].process.as_ref().is_some_and(|process| !process.stopped)
    }

    pub fn subscriber(&self, router: usize) -> Option<&Subscriber<RecordingHost>> {
        self.routers[router].process.as_ref().map(|process| &process.side)
    }

    pub fn publisher(&self, index: usize) -> Option<&Publisher<RecordingHost>> {
        self.publishers[index].process.as_ref().map(|process| &process.side)
    }

    pub fn publisher_costs(&self, index: usize) -> &Costs {
        &self.publishers[index].costs
    }

    pub fn router_costs(&self, index: usize) -> &Costs {
        &self.routers[index].costs
    }

    pub fn router_events(&self, index: usize) -> &[(Duration, Event)] {
        &self.routers[index].events
    }
}

fn process<T>(side: T, host: RecordingHost, start: Incarnation) -> Process<T> {
    Process {
        side,
        host,
        start,
        stopped: false,
        waiting: VecDeque::new(),
        pending_observations: Vec::new(),
        timer_due: false,
    }
}
