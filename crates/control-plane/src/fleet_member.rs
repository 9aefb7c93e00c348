//! A router's membership in its fleet: owns the fleet's state machine, its socket and its timer. The
//! decisions are made in `quillpoint-membership`.

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
use crate::sealed_transport::{COUNTS_LOG_INTERVAL, SealedTransport, TransportCounts};

/// Counts since the start.
#[derive(Clone, Debug, Default)]
pub struct MemberCounts {
    /// Counts of datagrams.
    pub transport: TransportCounts,
    /// Health checks that this router made as the owner of a task, or after a granted claim.
    pub health_checks: u64,
    /// Health checks that this router did not make because an observation of another router made them
    /// unnecessary.
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
    /// Opens the socket and joins the fleet.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn new(config: MemberConfig, host: Rc<dyn ControlHost>, seed: u64) -> io::Result<Rc<Self>> {
        let max_datagrams_per_second = config.max_datagrams_per_second;
        let socket = DatagramSocket::bind(config.listen, Rc::clone(&host), max_datagrams_per_second)?;
        let now = host.now();
        // Port 0 lets the operating system choose the port, so the address is known only after binding.
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

    /// Calls the fleet, then runs the commands that it has queued, including those queued while running
    /// commands.
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
            // A health check is already in progress and does the task's work.
            self.fleet.borrow_mut().task_ended(self.host.now(), task);
        }
    }

    /// Receives gossip until the process exits.
    pub async fn receive(self: Rc<Self>) {
        let own_incarnation = || self.fleet.borrow().members().own_record().version.incarnation;
        let handle = |_: SocketAddr, socket_delay: Duration, message: GossipMessage| {
            self.call(|fleet, now| fleet.message_arrived(now, message.aged_by(socket_delay)));
        };
        self.transport.receive(own_incarnation, handle).await;
    }

    /// Runs the fleet's timer until the process exits.
    pub async fn run_timer(self: Rc<Self>) {
        let mut counts_logged = Instant::now();
        loop {
            let delay = self.queue.take_timer().unwrap_or(TICK_INTERVAL);
            Timer::after(delay).await;
            self.call(|fleet, now| fleet.timer_fired(now));
            if counts_logged.elapsed() >= COUNTS_LOG_INTERVAL {
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
            "fleet: counts of datagrams and health checks since the start"
        );
    }

    /// Applies the parts of a changed configuration that do not need a restart.
    pub fn reload(&self, config: &MemberConfig) {
        self.transport.keys_changed(&config.keys);
        self.call(|fleet, now| fleet.seeds_changed(now, config.seeds.clone()));
        self.log_counts();
    }

    /// Hands over this router's tasks and leaves the fleet.
    pub fn leave(&self) {
        self.call(|fleet, now| fleet.leave(now));
        self.log_counts();
        log::info!(event = "fleet_left"; "left the fleet; its tasks are handed over");
    }

    /// Records what this router has observed of a node by an attempt sent at `sent_at`.
    pub fn attempt_observed(&self, sent_at: Duration, observation: Observation) {
        self.call(|fleet, now| fleet.record_own_observation(now, sent_at, observation));
    }

    /// Records what this router has observed of a node by a health check sent at `sent_at`, and ends the
    /// task.
    pub fn health_check_observed(&self, sent_at: Duration, observation: Observation) {
        self.call(|fleet, now| {
            let task = fleet.health_check_task(observation.node);
            fleet.task_ended(now, task);
            fleet.record_own_observation(now, sent_at, observation);
        });
    }

    /// Updates the nodes after a change of the endpoint list.
    pub fn nodes_changed(&self) {
        let nodes = self.host.nodes();
        self.call(|fleet, now| fleet.nodes_changed(now, &nodes));
    }

    /// Whether this router should make an unscheduled health check of the node itself; otherwise it is left
    /// to another router. If so, the check is counted as made.
    pub fn claim_health_check(&self, node: SocketAddr) -> bool {
        let needs_own_check = self.host.is_ejected(node);
        let is_granted = self.call(|fleet, now| fleet.claim_health_check(now, node, needs_own_check));
        let count = if is_granted { &self.health_checks } else { &self.health_checks_avoided };
        count.set(count.get() + 1);
        is_granted
    }

    /// The latest observation of a node by a peer, unless it is too old to be used.
    pub fn latest_observation(&self, node: SocketAddr) -> Option<TimestampedObservation> {
        self.fleet.borrow().latest_observation(self.host.now(), node)
    }

    /// Datagrams sent and read since the start.
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
