//! A router's membership of its fleet: the owner of the fleet's state machine, its socket and its timer. The decisions are
//! those of `quillpoint-membership`.

use std::cell::{Cell, Ref, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use quillpoint_datagram::Opener;
use quillpoint_membership::fleet::TICK_INTERVAL;
use quillpoint_membership::ids::{TaskId, TaskTarget};
use quillpoint_membership::{
    Fleet, GossipMessage, Host, Incarnation, MemberRecord, MemberState, MemberVersion, Observation,
    TimestampedObservation,
};

use crate::control_host::ControlHost;
use crate::datagram_socket::{DatagramSocket, Traffic};
use crate::fleet_commands::{Command, CommandQueue, QueueHandle};
use crate::fleet_log::{EVENT_NAMES, log_event};
use crate::member_config::MemberConfig;
use crate::sealed_transport::{COUNTS_INTERVAL, SealedTransport, TransportCounts};

/// Counts since the start.
#[derive(Clone, Debug, Default)]
pub struct MemberCounts {
    /// Datagrams.
    pub transport: TransportCounts,
    /// Health checks that were made as a task or claimed.
    pub health_checks: u64,
    /// Health checks that another router's observation made needless.
    pub health_checks_avoided: u64,
}

/// A member of a fleet on its socket.
pub struct FleetMember {
    host: Rc<dyn ControlHost>,
    fleet: RefCell<Fleet<QueueHandle>>,
    queue: Rc<CommandQueue>,
    transport: SealedTransport<GossipMessage>,
    health_checks: Cell<u64>,
    health_checks_avoided: Cell<u64>,
}

impl FleetMember {
    /// Opens the socket and makes the router a member.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn new(config: MemberConfig, host: Rc<dyn ControlHost>, seed: u64) -> io::Result<Rc<Self>> {
        let max_datagrams_per_second = config.max_datagrams_per_second;
        let socket = DatagramSocket::bind(config.listen, Rc::clone(&host), max_datagrams_per_second)?;
        let now = host.now();
        // A port that the system chooses is known only now.
        let address = match config.advertise.port() {
            0 => socket.local_addr()?,
            _ => config.advertise,
        };
        let own_record = MemberRecord {
            name: config.name,
            version: MemberVersion { incarnation: Incarnation(now.as_micros() as u64), revision: 0 },
            address,
            zone: config.zone,
            weight: config.weight,
            state: MemberState::Joining,
        };
        let queue = Rc::new(CommandQueue::default());
        let handle = QueueHandle(Rc::clone(&queue));
        let fleet = Fleet::new(handle, own_record, config.seeds, config.fleet_params, seed, now);
        Ok(Rc::new(Self {
            host,
            fleet: RefCell::new(fleet),
            queue,
            transport: SealedTransport::new(socket, config.keys, Opener::default(), EVENT_NAMES),
            health_checks: Cell::new(0),
            health_checks_avoided: Cell::new(0),
        }))
    }

    /// The one way to the fleet. Its commands are run when the call is over, and those that come of them as well.
    fn call<T>(&self, operation: impl FnOnce(&mut Fleet<QueueHandle>, Duration) -> T) -> T {
        let result = operation(&mut self.fleet.borrow_mut(), self.host.now());
        loop {
            let commands = self.queue.take();
            if commands.is_empty() {
                return result;
            }
            for command in commands {
                self.run_command(command);
            }
        }
    }

    fn run_command(&self, command: Command) {
        match command {
            Command::Send { to, receiver, message } => self.transport.send(to, receiver, &message),
            Command::RunTask(task) => self.run_task(task),
            Command::ReceiveObservation(observation) => self.host.observation_received(observation),
            Command::LogEvent(event) => log_event(&event),
        }
    }

    fn run_task(&self, task: TaskId) {
        self.health_checks.set(self.health_checks.get() + 1);
        let has_started = match task.target {
            TaskTarget::Node(node) => self.host.start_health_check(node),
            TaskTarget::Deployment => false,
        };
        if !has_started {
            // One is under way already, whose end serves as well.
            self.fleet.borrow_mut().task_ended(self.host.now(), task);
        }
    }

    /// Receives gossip as long as the process runs.
    pub async fn receive(self: Rc<Self>) {
        let own_incarnation = || self.fleet.borrow().members().own_record().version.incarnation;
        let handle = |_: SocketAddr, socket_delay: Duration, message: GossipMessage| {
            self.call(|fleet, now| fleet.message_arrived(now, message.aged_by(socket_delay)));
        };
        self.transport.receive(own_incarnation, handle).await;
    }

    /// Runs the fleet's timer as long as the process runs.
    pub async fn run_timer(self: Rc<Self>) {
        let mut counts_logged = Instant::now();
        loop {
            let delay = self.queue.take_timer().unwrap_or(TICK_INTERVAL);
            Timer::after(delay).await;
            self.call(|fleet, now| fleet.timer_fired(now));
            if counts_logged.elapsed() >= COUNTS_INTERVAL {
                counts_logged = Instant::now();
                self.log_counts();
            }
        }
    }

    fn log_counts(&self) {
        let MemberCounts { transport, health_checks: probes, health_checks_avoided: spared } = self.counts();
        let Traffic { sent, sent_bytes, read, read_bytes } = transport.traffic;
        let taken = transport.accepted;
        let state = self.fleet.borrow().state_bytes();
        let refused = transport.rejected_by_kind();
        log::info!(
            event = "fleet_counts", sent, sent_bytes, taken, read, read_bytes, probes, spared, state, refused;
            "datagrams and health checks since the start"
        );
    }

    /// Applies what takes effect at once of a changed configuration.
    pub fn reload(&self, config: &MemberConfig) {
        self.transport.keys_changed(&config.keys);
        self.call(|fleet, now| fleet.seeds_changed(now, config.seeds.clone()));
        self.log_counts();
    }

    /// Hands the tasks over and leaves the fleet.
    pub fn leave(&self) {
        self.call(|fleet, now| fleet.leave(now));
        self.log_counts();
        log::info!(event = "fleet_left"; "tasks handed over");
    }

    /// This router has observed a node by an attempt that it sent at `sent_at`.
    pub fn attempt_observed(&self, sent_at: Duration, observation: Observation) {
        self.call(|fleet, now| fleet.record_own_observation(now, sent_at, observation));
    }

    /// This router has observed a node by a health check that it sent at `sent_at`.
    pub fn health_check_observed(&self, sent_at: Duration, observation: Observation) {
        self.call(|fleet, now| {
            let task = fleet.health_check_task(observation.node);
            fleet.task_ended(now, task);
            fleet.record_own_observation(now, sent_at, observation);
        });
    }

    /// The endpoint list has changed.
    pub fn nodes_changed(&self) {
        let nodes = self.host.nodes();
        self.call(|fleet, now| fleet.nodes_changed(now, &nodes));
    }

    /// Whether a health check out of turn is to be made here, or left to another router. It counts as made.
    pub fn claim_health_check(&self, node: SocketAddr) -> bool {
        let needs_own_check = self.host.is_ejected(node);
        let is_granted = self.call(|fleet, now| fleet.claim_health_check(now, node, needs_own_check));
        let count = if is_granted { &self.health_checks } else { &self.health_checks_avoided };
        count.set(count.get() + 1);
        is_granted
    }

    /// What peers have observed of a node last, if that is of use yet.
    pub fn latest_observation(&self, node: SocketAddr) -> Option<TimestampedObservation> {
        self.fleet.borrow().latest_observation(self.host.now(), node)
    }

    /// What the socket has sent and read since the start.
    pub fn traffic(&self) -> Traffic {
        self.transport.traffic()
    }

    /// The counts since the start.
    pub fn counts(&self) -> MemberCounts {
        MemberCounts {
            transport: self.transport.counts(),
            health_checks: self.health_checks.get(),
            health_checks_avoided: self.health_checks_avoided.get(),
        }
    }

    /// The fleet's state, read-only.
    pub fn fleet(&self) -> Ref<'_, Fleet<impl Host>> {
        self.fleet.borrow()
    }
}
