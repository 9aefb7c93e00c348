//! A control instance's side of the feed: owns the publisher's state machine, its socket and its timer. The
//! decisions are made in [`Publisher`].

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint_datagram::Opener;
use quillpoint_membership::{Incarnation, PeerName, TimestampedObservation};
use quillpoint_observation_feed::{Envelope, Publisher};

use crate::control_host::ControlHost;
use crate::datagram_socket::{DatagramSocket, Traffic};
use crate::feed_commands::{Command, CommandQueue, QueueHandle};
use crate::feed_config::PublisherConfig;
use crate::feed_log::{EVENT_NAMES, log_event};
use crate::log_rate_limiter::LogRateLimiter;
use crate::sealed_transport::{COUNTS_LOG_INTERVAL, SealedTransport, TransportCounts};

/// Number of replay windows kept for each allowed subscriber. More than one is needed, because windows of
/// routers that have restarted or now follow another control instance remain.
const REPLAY_WINDOWS_PER_SUBSCRIBER: usize = 2;

/// A publisher on its socket.
pub struct PublisherService {
    host: Rc<dyn ControlHost>,
    name: PeerName,
    incarnation: Incarnation,
    publisher: RefCell<Publisher<QueueHandle>>,
    queue: Rc<CommandQueue>,
    transport: SealedTransport<Envelope>,
    /// One limiter for all events about subscribers.
    subscriber_event_limiter: LogRateLimiter,
}

impl PublisherService {
    /// Opens the socket. From then on, routers can subscribe.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn new(config: PublisherConfig, host: Rc<dyn ControlHost>, seed: u64) -> io::Result<Rc<Self>> {
        let PublisherConfig { name, listen, keys, params, max_datagrams_per_second } = config;
        let socket = DatagramSocket::bind(listen, Rc::clone(&host), max_datagrams_per_second)?;
        let opener = Opener::new(params.max_subscribers.saturating_mul(REPLAY_WINDOWS_PER_SUBSCRIBER));
        let now = host.now();
        let queue = Rc::new(CommandQueue::default());
        let publisher = Publisher::new(QueueHandle(Rc::clone(&queue)), params, seed, now);
        Ok(Rc::new(Self {
            host,
            name,
            incarnation: Incarnation(now.as_micros() as u64),
            publisher: RefCell::new(publisher),
            queue,
            transport: SealedTransport::new(socket, keys, opener, EVENT_NAMES),
            subscriber_event_limiter: LogRateLimiter::default(),
        }))
    }

    /// Calls the publisher, then runs the commands that it has queued.
    fn call<T>(&self, operation: impl FnOnce(&mut Publisher<QueueHandle>, Duration) -> T) -> T {
        let result = operation(&mut self.publisher.borrow_mut(), self.host.now());
        for command in self.queue.take() {
            match command {
                Command::Send { to, receiver, message } => {
                    let from = self.name.clone();
                    let envelope = Envelope { from, incarnation: self.incarnation, message };
                    self.transport.send(to, receiver, &envelope);
                }
                // Only queued by subscribers.
                Command::ReceiveObservation(_) => {}
                Command::LogEvent(event) => log_event(&event, &self.subscriber_event_limiter),
            }
        }
        result
    }

    /// Receives messages of routers until the process exits.
    pub async fn receive(self: Rc<Self>) {
        let handle = |address: SocketAddr, _: Duration, envelope: Envelope| {
            let Envelope { from, incarnation, message } = envelope;
            self.call(|publisher, now| publisher.message_arrived(now, address, &from, incarnation, message));
        };
        self.transport.receive(|| self.incarnation, handle).await;
    }

    /// Runs the publisher's timer until the process exits.
    pub async fn run_timer(self: Rc<Self>) {
        let mut counts_logged = Instant::now();
        loop {
            self.queue.timer.expired().await;
            self.call(|publisher, now| publisher.timer_fired(now));
            if counts_logged.elapsed() >= COUNTS_LOG_INTERVAL {
                counts_logged = Instant::now();
                self.log_counts();
            }
        }
    }

    fn log_counts(&self) {
        let counts = self.counts();
        let Traffic { sent, sent_bytes, read, read_bytes } = counts.traffic;
        let taken = counts.accepted;
        let subscribers = self.subscriber_count();
        let state = self.state_bytes();
        let refused = counts.rejected_by_kind();
        log::info!(
            event = "feed_counts", sent, sent_bytes, taken, read, read_bytes, subscribers, state, refused;
            "feed: counts of datagrams to and from routers since the start"
        );
    }

    /// Records an observation made by this control instance or by a trusted member of its fleet.
    pub fn observe(&self, observation: TimestampedObservation) {
        self.call(|publisher, now| publisher.observe(now, observation));
    }

    /// Updates the databases after a change of the endpoint list.
    pub fn nodes_changed(&self) {
        let nodes = self.host.nodes().into_keys().collect();
        self.call(|publisher, now| publisher.nodes_changed(now, &nodes));
    }

    /// Sets the number of control instances that divide the health checks, including this one.
    pub fn instance_count_changed(&self, instance_count: usize) {
        self.call(|publisher, _| publisher.instance_count_changed(instance_count));
    }

    /// Applies the parts of a changed configuration that do not need a restart.
    pub fn reload(&self, config: &PublisherConfig) {
        self.transport.keys_changed(&config.keys);
        self.log_counts();
    }

    /// Notifies all subscribers that this control instance is shutting down.
    pub fn leave(&self) {
        self.call(|publisher, now| publisher.leave(now));
        self.log_counts();
        log::info!(event = "feed_left"; "notified the subscribers that this control instance is shutting down");
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// Fails if the operating system cannot report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.transport.socket().local_addr()
    }

    /// Datagrams sent and read since the start.
    pub fn traffic(&self) -> Traffic {
        self.transport.traffic()
    }

    /// The counts since the start.
    pub fn counts(&self) -> TransportCounts {
        self.transport.counts()
    }

    /// Number of subscribed routers.
    pub fn subscriber_count(&self) -> usize {
        self.publisher.borrow().subscriber_count()
    }

    /// Approximate memory of the publisher in bytes.
    pub fn state_bytes(&self) -> usize {
        self.publisher.borrow().state_bytes()
    }
}
