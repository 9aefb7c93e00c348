//! A control instance's end of the feed on a socket: its one owner, its datagrams and its clock. Decides nothing:
//! `quillpoint_observation_feed::Publisher` does.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint_datagram::Opener;
use quillpoint_membership::{DatedObservation, Incarnation, PeerName};
use quillpoint_observation_feed::{Envelope, Publisher};

use crate::control_host::ControlHost;
use crate::feed::{COUNTS_EVERY, Desk, Hand, NAMES, PublisherConfig, Wish, tell};
use crate::log_rate_limiter::LogRateLimiter;
use crate::post::{Passed, Post};
use crate::wire::{Traffic, Wire};

/// Windows against what was sent before are kept of so many times as many routers as may subscribe: those that have
/// started anew, and those that turned to another, leave theirs behind.
const WINDOWS: usize = 2;

pub struct PublisherService {
    around: Rc<dyn ControlHost>,
    name: PeerName,
    start: Incarnation,
    publisher: RefCell<Publisher<Hand>>,
    desk: Rc<Desk>,
    post: Post<Envelope>,
    often: LogRateLimiter,
}

impl PublisherService {
    /// Opens the socket. Routers may subscribe from then on.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn new(part: PublisherConfig, around: Rc<dyn ControlHost>, seed: u64) -> io::Result<Rc<Self>> {
        let PublisherConfig { name, listen, keys, plan, letters } = part;
        let wire = Wire::bind(listen, Rc::clone(&around), letters)?;
        let opener = Opener::new(plan.max_subscribers.saturating_mul(WINDOWS));
        let post = Post::new(wire, keys, opener, NAMES);
        let (now, desk) = (around.now(), Rc::new(Desk::default()));
        let publisher = Publisher::new(Hand(Rc::clone(&desk)), plan, seed, now);
        let (publisher, start) = (RefCell::new(publisher), Incarnation(now.as_micros() as u64));
        Ok(Rc::new(Self { around, name, start, publisher, desk, post, often: LogRateLimiter::default() }))
    }

    /// The one way to the publisher. What it asks for is done when the call is over.
    fn call<T>(&self, what: impl FnOnce(&mut Publisher<Hand>, Duration) -> T) -> T {
        let told = what(&mut self.publisher.borrow_mut(), self.around.now());
        for wish in self.desk.take() {
            match wish {
                Wish::Send { to, session, message } => {
                    let envelope = Envelope { from: self.name.clone(), incarnation: self.start, message };
                    self.post.send(to, session, &envelope);
                }
                // Said to routers alone.
                Wish::Learnt(_) => {}
                Wish::Tell(event) => tell(&event, &self.often),
            }
        }
        told
    }

    /// Takes what routers say as long as the process runs.
    pub async fn listen(self: Rc<Self>) {
        let take = |from: SocketAddr, _: Duration, envelope: Envelope| {
            let Envelope { from: who, incarnation: start, message } = envelope;
            self.call(|publisher, now| publisher.message_arrived(now, from, &who, start, message));
        };
        self.post.listen(|| self.start, take).await;
    }

    /// The publisher's one timer.
    pub async fn keep_time(self: Rc<Self>) {
        let mut counted = Instant::now();
        loop {
            self.desk.alarm.due().await;
            self.call(|publisher, now| publisher.timer_fired(now));
            if counted.elapsed() >= COUNTS_EVERY {
                counted = Instant::now();
                self.tell_counts();
            }
        }
    }

    fn tell_counts(&self) {
        let Passed { traffic, taken, refused } = self.post.passed();
        let Traffic { sent, sent_bytes, read, read_bytes } = traffic;
        let (subscribers, state) = (self.subscribers(), self.state_bytes());
        let kinds: Vec<String> = refused.iter().map(|(kind, count)| format!("{kind:?}:{count}")).collect();
        log::info!(
            event = "feed_counts", sent, sent_bytes, taken, read, read_bytes, subscribers, state,
            refused = kinds.join(",");
            "datagrams to and from routers since the start"
        );
    }

    /// This control instance has seen this, or another of its fleet, as far as that may be believed.
    pub fn seen(&self, evidence: DatedObservation) {
        self.call(|publisher, now| publisher.observe(now, evidence));
    }

    /// The list of databases has changed.
    pub fn listed(&self) {
        let nodes = self.around.nodes().into_keys().collect();
        self.call(|publisher, now| publisher.nodes_changed(now, &nodes));
    }

    /// So many control instances divide the probing by now.
    pub fn instances_changed(&self, instances: usize) {
        self.call(|publisher, _| publisher.instance_count_changed(instances));
    }

    /// What holds at once of a configuration that was read anew.
    pub fn reload(&self, part: &PublisherConfig) {
        self.post.keys_changed(&part.keys);
        self.tell_counts();
    }

    /// Says goodbye to all routers.
    pub fn leave(&self) {
        self.call(|publisher, now| publisher.leave(now));
        self.tell_counts();
        log::info!(event = "feed_left"; "the routers are told that it ends");
    }

    /// Where routers reach it.
    ///
    /// # Errors
    /// The system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.post.wire().local_addr()
    }

    pub fn traffic(&self) -> Traffic {
        self.post.traffic()
    }

    pub fn passed(&self) -> Passed {
        self.post.passed()
    }

    pub fn subscribers(&self) -> usize {
        self.publisher.borrow().subscriber_count()
    }

    /// About the bytes that it keeps.
    pub fn state_bytes(&self) -> usize {
        self.publisher.borrow().state_bytes()
    }
}
