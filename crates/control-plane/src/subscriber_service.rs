//! A router's side of the feed: owns the subscriber's state machine, its socket and its timer. The decisions
//! are made in [`Subscriber`].
//!
//! Each digest, ten times a second or more often, may make the observations of all databases newer. The
//! router queries only the databases that it needs: [`SubscriberService::newer_observation`] returns an
//! observation at most once per digest and database.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint_datagram::Opener;
use quillpoint_membership::{Incarnation, PeerName};
use quillpoint_observation_feed::{Envelope, FeedObservation, Host, Message, Subscriber};

use crate::control_host::ControlHost;
use crate::datagram_socket::{DatagramSocket, Traffic};
use crate::feed_commands::{Command, CommandQueue, QueueHandle};
use crate::feed_config::SubscriberConfig;
use crate::feed_log::{EVENT_NAMES, log_event};
use crate::log_rate_limiter::LogRateLimiter;
use crate::sealed_transport::{COUNTS_LOG_INTERVAL, SealedTransport, TransportCounts};

/// Maximum number of control instance incarnations for which a replay window is kept.
const REPLAY_WINDOWS: usize = 256;

/// Counts since the start.
#[derive(Clone, Debug, Default)]
pub struct SubscriberCounts {
    /// Counts of datagrams.
    pub transport: TransportCounts,
    /// Health checks whose claim was granted.
    pub health_checks: u64,
    /// Health checks that this router did not make because an observation of the feed made them unnecessary,
    /// or because the quota deferred them.
    pub health_checks_avoided: u64,
}

/// What [`SubscriberService::newer_observation`] last returned for a database.
#[derive(Clone, Copy, Default)]
struct LastReturned {
    digest_count: u64,
    seen_at: Duration,
}

/// A subscriber on its socket.
pub struct SubscriberService {
    host: Rc<dyn ControlHost>,
    name: PeerName,
    incarnation: Incarnation,
    subscriber: RefCell<Subscriber<QueueHandle>>,
    queue: Rc<CommandQueue>,
    transport: SealedTransport<Envelope>,
    /// Required by [`log_event`], though it only limits events of publishers.
    subscriber_event_limiter: LogRateLimiter,
    digest_count: Cell<u64>,
    last_returned: RefCell<BTreeMap<SocketAddr, LastReturned>>,
    health_checks: Cell<u64>,
    health_checks_avoided: Cell<u64>,
}

impl SubscriberService {
    /// Opens the socket and starts to follow control instances.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn new(config: SubscriberConfig, host: Rc<dyn ControlHost>, seed: u64) -> io::Result<Rc<Self>> {
        let SubscriberConfig { name, listen, keys, params, control_instances, max_datagrams_per_second } =
            config;
        let socket = DatagramSocket::bind(listen, Rc::clone(&host), max_datagrams_per_second)?;
        let transport = SealedTransport::new(socket, keys, Opener::new(REPLAY_WINDOWS), EVENT_NAMES);
        let now = host.now();
        let queue = Rc::new(CommandQueue::default());
        let handle = QueueHandle(Rc::clone(&queue));
        let subscriber = Subscriber::new(handle, name.clone(), params, control_instances, seed, now);
        Ok(Rc::new(Self {
            host,
            name,
            incarnation: Incarnation(now.as_micros() as u64),
            subscriber: RefCell::new(subscriber),
            queue,
            transport,
            subscriber_event_limiter: LogRateLimiter::default(),
            digest_count: Cell::new(0),
            last_returned: RefCell::default(),
            health_checks: Cell::new(0),
            health_checks_avoided: Cell::new(0),
        }))
    }

    /// Calls the subscriber, then runs the commands that it has queued.
    fn call<T>(&self, operation: impl FnOnce(&mut Subscriber<QueueHandle>, Duration) -> T) -> T {
        let result = operation(&mut self.subscriber.borrow_mut(), self.host.now());
        for command in self.queue.take() {
            match command {
                Command::Send { to, receiver, message } => {
                    let from = self.name.clone();
                    let envelope = Envelope { from, incarnation: self.incarnation, message };
                    self.transport.send(to, receiver, &envelope);
                }
                Command::ReceiveObservation(observation) => {
                    self.host.feed_observation_received(observation);
                }
                Command::LogEvent(event) => log_event(&event, &self.subscriber_event_limiter),
            }
        }
        result
    }

    /// Receives messages of control instances until the process exits.
    pub async fn receive(self: Rc<Self>) {
        let handle = |_: SocketAddr, socket_delay: Duration, envelope: Envelope| {
            let Envelope { from, incarnation, message } = envelope;
            let Some(message) = message.aged_by(socket_delay) else { return };
            let is_digest = matches!(message, Message::Digest(_));
            self.call(|subscriber, now| subscriber.message_arrived(now, &from, incarnation, message));
            if is_digest {
                self.digest_count.set(self.digest_count.get() + 1);
                self.host.digest_received();
            }
        };
        self.transport.receive(|| self.incarnation, handle).await;
    }

    /// Runs the subscriber's timer until the process exits.
    pub async fn run_timer(self: Rc<Self>) {
        let mut counts_logged = Instant::now();
        loop {
            self.queue.timer.expired().await;
            self.call(|subscriber, now| subscriber.timer_fired(now));
            if counts_logged.elapsed() >= COUNTS_LOG_INTERVAL {
                counts_logged = Instant::now();
                self.log_counts();
            }
        }
    }

    fn log_counts(&self) {
        let counts = self.counts();
        let SubscriberCounts { transport, health_checks: probes, health_checks_avoided: spared } = counts;
        let Traffic { sent, sent_bytes, read, read_bytes } = transport.traffic;
        let taken = transport.accepted;
        let following = self.subscriber.borrow().active_instance_names().count();
        let state = self.state_bytes();
        let refused = transport.rejected_by_kind();
        log::info!(
            event = "feed_counts", sent, sent_bytes, taken, read, read_bytes, probes, spared, following, state,
            refused;
            "feed: counts of datagrams to and from control instances, and of health checks, since the start"
        );
    }

    /// The current observation of a database, if it is newer than all observations returned before.
    pub fn newer_observation(&self, node: SocketAddr) -> Option<FeedObservation> {
        let digest_count = self.digest_count.get();
        let last = self.last_returned.borrow().get(&node).copied().unwrap_or_default();
        if last.digest_count == digest_count {
            return None;
        }
        let observation = self.observation(node)?;
        let seen_at = last.seen_at.max(observation.seen_at);
        self.last_returned.borrow_mut().insert(node, LastReturned { digest_count, seen_at });
        (observation.seen_at > last.seen_at).then_some(observation)
    }

    /// Updates the databases after a change of the endpoint list.
    pub fn nodes_changed(&self) {
        let nodes: BTreeSet<SocketAddr> = self.host.nodes().into_keys().collect();
        self.last_returned.borrow_mut().retain(|node, _| nodes.contains(node));
        self.call(|subscriber, now| subscriber.nodes_changed(now, &nodes));
    }

    /// Whether this router should make a health check of the node itself; otherwise it is left to the control
    /// instances. If so, the check is counted as made.
    pub fn claim_health_check(&self, node: SocketAddr) -> bool {
        let needs_own_check = self.host.is_ejected(node);
        let is_granted =
            self.call(|subscriber, now| subscriber.claim_health_check(now, node, needs_own_check));
        let count = if is_granted { &self.health_checks } else { &self.health_checks_avoided };
        count.set(count.get() + 1);
        is_granted
    }

    /// Applies the parts of a changed configuration that do not need a restart.
    pub fn reload(&self, config: &SubscriberConfig) {
        self.transport.keys_changed(&config.keys);
        let control_instances = config.control_instances.clone();
        self.call(|subscriber, now| subscriber.control_instances_changed(now, control_instances));
        self.log_counts();
    }

    /// Unsubscribes from all control instances.
    pub fn leave(&self) {
        self.call(|subscriber, now| subscriber.leave(now));
        self.log_counts();
        log::info!(event = "feed_left"; "unsubscribed from all control instances");
    }

    /// Datagrams sent and read since the start.
    pub fn traffic(&self) -> Traffic {
        self.transport.traffic()
    }

    /// The counts since the start.
    pub fn counts(&self) -> SubscriberCounts {
        SubscriberCounts {
            transport: self.transport.counts(),
            health_checks: self.health_checks.get(),
            health_checks_avoided: self.health_checks_avoided.get(),
        }
    }

    /// The current observation of a database, whether or not it has been returned before.
    pub fn observation(&self, node: SocketAddr) -> Option<FeedObservation> {
        self.call(|subscriber, _| subscriber.observation(node))
    }

    /// Approximate memory of the subscriber in bytes.
    pub fn state_bytes(&self) -> usize {
        let last_returned_bytes = self.last_returned.borrow().len() * size_of::<(SocketAddr, LastReturned)>();
        self.subscriber.borrow().state_bytes() + last_returned_bytes
    }

    /// The subscriber's state, read-only.
    pub fn subscriber(&self) -> Ref<'_, Subscriber<impl Host>> {
        self.subscriber.borrow()
    }
}
