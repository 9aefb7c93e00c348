//! The processes of publishers and routers: started, killed, paused and resumed.

use std::collections::VecDeque;
use std::time::Duration;

use quillpoint_membership::{Incarnation, TimestampedObservation};
use quillpoint_observation_feed::publisher::PublisherParams;
use quillpoint_observation_feed::subscriber::SubscriberParams;
use quillpoint_observation_feed::{Event, Publisher, Subscriber};

use super::costs::Costs;
use super::network::InFlightMessage;
use super::params::{control_instances, ms, region, router_name};
use super::recording_host::RecordingHost;
use super::{Scheduled, World};

/// The process of a publisher or a subscriber.
pub(super) struct Process<T> {
    pub(super) state_machine: T,
    pub(super) host: RecordingHost,
    pub(super) incarnation: Incarnation,
    pub(super) paused: bool,
    pub(super) pending_messages: VecDeque<InFlightMessage>,
    /// Observations that arrived while the process was paused, dated by when they were made.
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
            health_check_period: self.params.period,
            digest_interval: ms(100),
            snapshot_bytes_per_second: self.params.snapshot_bytes_per_second,
            max_subscribers: self.params.max_subscribers,
        };
        let seed = self.params.seed ^ ((index as u64) << 20) ^ self.publishers[index].generation;
        let mut state_machine = Publisher::new(host.clone(), params, seed, now);
        state_machine.nodes_changed(now, &self.nodes());
        state_machine.instance_count_changed(self.params.publishers);
        self.publishers[index].generation += 1;
        let incarnation = Incarnation(self.now.as_micros() as u64);
        self.publishers[index].process = Some(process(state_machine, host, incarnation));
        self.run_publisher_calls(index);
    }

    pub fn start_router(&mut self, index: usize) {
        let host = RecordingHost::default();
        let now = self.now + self.routers[index].clock_offset;
        let params = SubscriberParams {
            region: region(index, self.params.regions),
            digest_interval: ms(100),
            health_check_period: self.params.period,
            router_count: self.params.routers as u32,
        };
        let seed = self.params.seed ^ ((index as u64) << 32) ^ self.routers[index].generation;
        let mut state_machine = Subscriber::new(
            host.clone(),
            router_name(index),
            params,
            control_instances(&self.params),
            seed,
            now,
        );
        state_machine.nodes_changed(now, &self.nodes());
        self.routers[index].generation += 1;
        self.delay_bounds.retain(|(router, _), _| *router != index);
        self.past_delay_bounds[index] = 0.0;
        let incarnation = Incarnation(self.now.as_micros() as u64);
        self.routers[index].process = Some(process(state_machine, host, incarnation));
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
            process.state_machine.leave(now);
            self.run_publisher_calls(index);
        }
        self.kill_publisher(index);
    }

    pub fn pause_publisher(&mut self, index: usize) {
        self.publishers[index].process.iter_mut().for_each(|process| process.paused = true);
    }

    pub fn pause_router(&mut self, index: usize) {
        self.routers[index].process.iter_mut().for_each(|process| process.paused = true);
    }

    pub fn resume_publisher(&mut self, index: usize) {
        let now = self.now + self.publishers[index].clock_offset;
        let Some(process) = &mut self.publishers[index].process else { return };
        process.paused = false;
        std::mem::take(&mut process.pending_observations)
            .into_iter()
            .for_each(|observation| process.state_machine.observe(now, observation));
        let (pending_messages, timer) =
            (std::mem::take(&mut process.pending_messages), std::mem::take(&mut process.timer_due));
        pending_messages
            .into_iter()
            .for_each(|message_in_flight| self.publisher_message(index, message_in_flight));
        if timer {
            let generation = self.publishers[index].generation;
            self.schedule(self.now, Scheduled::PublisherTimer { index, generation });
        }
    }

    pub fn resume_router(&mut self, index: usize) {
        let Some(process) = &mut self.routers[index].process else { return };
        process.paused = false;
        let (pending_messages, timer) =
            (std::mem::take(&mut process.pending_messages), std::mem::take(&mut process.timer_due));
        pending_messages
            .into_iter()
            .for_each(|message_in_flight| self.router_message(index, message_in_flight));
        if timer {
            let generation = self.routers[index].generation;
            self.schedule(self.now, Scheduled::RouterTimer { index, generation });
        }
    }

    pub fn is_publisher_running(&self, index: usize) -> bool {
        self.publishers[index].process.as_ref().is_some_and(|process| !process.paused)
    }

    pub fn is_router_running(&self, index: usize) -> bool {
        self.routers[index].process.as_ref().is_some_and(|process| !process.paused)
    }

    pub fn subscriber(&self, router: usize) -> Option<&Subscriber<RecordingHost>> {
        self.routers[router].process.as_ref().map(|process| &process.state_machine)
    }

    pub fn publisher(&self, index: usize) -> Option<&Publisher<RecordingHost>> {
        self.publishers[index].process.as_ref().map(|process| &process.state_machine)
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

fn process<T>(state_machine: T, host: RecordingHost, incarnation: Incarnation) -> Process<T> {
    Process {
        state_machine,
        host,
        incarnation,
        paused: false,
        pending_messages: VecDeque::new(),
        pending_observations: Vec::new(),
        timer_due: false,
    }
}
