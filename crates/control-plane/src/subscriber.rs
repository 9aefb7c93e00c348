//! A router's end of the feed on a socket: its one owner, its datagrams and its clock. Decides nothing:
//! `quillpoint_observation_feed::Subscriber` does.
//!
//! What is known of all databases may be newer with each digest, ten times a second and more. The process around asks
//! for it where it has use for it: `news_of` has something to say once a digest and database at most.

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
use crate::feed::{COUNTS_EVERY, Desk, Hand, NAMES, SubscriberConfig, Wish, tell};
use crate::log_rate_limiter::LogRateLimiter;
use crate::post::{Passed, Post};
use crate::wire::{Traffic, Wire};

/// Windows against what was sent before are kept of so many starts of control instances.
const WINDOWS: usize = 256;

/// What has passed since the start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub passed: Passed,
    /// Probes that were claimed, and those that a control instance's word made needless or that had to wait.
    pub probes: u64,
    pub spared: u64,
}

pub struct SubscriberService {
    around: Rc<dyn ControlHost>,
    name: PeerName,
    start: Incarnation,
    subscriber: RefCell<Subscriber<Hand>>,
    desk: Rc<Desk>,
    post: Post<Envelope>,
    often: LogRateLimiter,
    /// Grows with each digest.
    round: Cell<u64>,
    /// In which round a database was last asked about, and how new the word was.
    told: RefCell<BTreeMap<SocketAddr, (u64, Duration)>>,
    probes: Cell<u64>,
    spared: Cell<u64>,
}

impl SubscriberService {
    /// Opens the socket, and follows control instances from then on.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn new(part: SubscriberConfig, around: Rc<dyn ControlHost>, seed: u64) -> io::Result<Rc<Self>> {
        let SubscriberConfig { name, listen, keys, plan, control, letters } = part;
        let wire = Wire::bind(listen, Rc::clone(&around), letters)?;
        let post = Post::new(wire, keys, Opener::new(WINDOWS), NAMES);
        let (now, desk) = (around.now(), Rc::new(Desk::default()));
        let subscriber = Subscriber::new(Hand(Rc::clone(&desk)), name.clone(), plan, control, seed, now);
        Ok(Rc::new(Self {
            around,
            name,
            start: Incarnation(now.as_micros() as u64),
            subscriber: RefCell::new(subscriber),
            desk,
            post,
            often: LogRateLimiter::default(),
            round: Cell::new(0),
            told: RefCell::default(),
            probes: Cell::new(0),
            spared: Cell::new(0),
        }))
    }

    /// The one way to the subscriber. What it asks for is done when the call is over.
    fn call<T>(&self, what: impl FnOnce(&mut Subscriber<Hand>, Duration) -> T) -> T {
        let told = what(&mut self.subscriber.borrow_mut(), self.around.now());
        for wish in self.desk.take() {
            match wish {
                Wish::Send { to, session, message } => {
                    let envelope = Envelope { from: self.name.clone(), incarnation: self.start, message };
                    self.post.send(to, session, &envelope);
                }
                Wish::Learnt(word) => self.around.learnt(word),
                Wish::Tell(event) => tell(&event, &self.often),
            }
        }
        told
    }

    /// Takes what control instances say as long as the process runs.
    pub async fn listen(self: Rc<Self>) {
        let take = |_: SocketAddr, waited: Duration, envelope: Envelope| {
            let Envelope { from, incarnation: start, message } = envelope;
            let Some(message) = message.delayed_by(waited) else { return };
            let digest = matches!(message, Message::Digest(_));
            self.call(|subscriber, now| subscriber.message_arrived(now, &from, start, message));
            if digest {
                self.round.set(self.round.get() + 1);
                self.around.refreshed();
            }
        };
        self.post.listen(|| self.start, take).await;
    }

    /// The subscriber's one timer.
    pub async fn keep_time(self: Rc<Self>) {
        let mut counted = Instant::now();
        loop {
            self.desk.alarm.due().await;
            self.call(|subscriber, now| subscriber.timer_fired(now));
            if counted.elapsed() >= COUNTS_EVERY {
                counted = Instant::now();
                self.tell_counts();
            }
        }
    }

    fn tell_counts(&self) {
        let Counts { passed: Passed { traffic, taken, refused }, probes, spared } = self.counts();
        let Traffic { sent, sent_bytes, read, read_bytes } = traffic;
        let (following, state) =
            (self.subscriber.borrow().active_instance_names().count(), self.state_bytes());
        let kinds: Vec<String> = refused.iter().map(|(kind, count)| format!("{kind:?}:{count}")).collect();
        log::info!(
            event = "feed_counts", sent, sent_bytes, taken, read, read_bytes, probes, spared, following, state,
            refused = kinds.join(",");
            "datagrams to and from control instances, and probes, since the start"
        );
    }

    /// What is told of a database, where that is newer than what this has said of it before.
    pub fn news_of(&self, node: SocketAddr) -> Option<FeedObservation> {
        let round = self.round.get();
        let (asked, said) = self.told.borrow().get(&node).copied().unwrap_or_default();
        if asked == round {
            return None;
        }
        let word = self.call(|subscriber, _| subscriber.observation(node))?;
        self.told.borrow_mut().insert(node, (round, said.max(word.seen_at)));
        (word.seen_at > said).then_some(word)
    }

    /// The list of databases has changed.
    pub fn listed(&self) {
        let nodes: BTreeSet<SocketAddr> = self.around.nodes().into_keys().collect();
        self.told.borrow_mut().retain(|node, _| nodes.contains(node));
        self.call(|subscriber, now| subscriber.nodes_changed(now, &nodes));
    }

    /// Whether a probe that this router has use for is to be made, or left to the control instances.
    pub fn may_probe(&self, node: SocketAddr) -> bool {
        let alone = self.around.is_shut(node);
        let may = self.call(|subscriber, now| subscriber.claim_health_check(now, node, alone));
        let count = if may { &self.probes } else { &self.spared };
        count.set(count.get() + 1);
        may
    }

    /// What holds at once of a configuration that was read anew.
    pub fn reload(&self, part: &SubscriberConfig) {
        self.post.keys_changed(&part.keys);
        self.call(|subscriber, now| subscriber.control_instances_changed(now, part.control.clone()));
        self.tell_counts();
    }

    /// Says goodbye to those that are followed.
    pub fn leave(&self) {
        self.call(|subscriber, now| subscriber.leave(now));
        self.tell_counts();
        log::info!(event = "feed_left"; "no control instance is followed any more");
    }

    pub fn traffic(&self) -> Traffic {
        self.post.traffic()
    }

    pub fn counts(&self) -> Counts {
        Counts { passed: self.post.passed(), probes: self.probes.get(), spared: self.spared.get() }
    }

    /// What is told of a database by now, whether it has been said before or not.
    pub fn known(&self, node: SocketAddr) -> Option<FeedObservation> {
        self.call(|subscriber, _| subscriber.observation(node))
    }

    /// About the bytes that it keeps.
    pub fn state_bytes(&self) -> usize {
        let told = self.told.borrow().len() * size_of::<(SocketAddr, (u64, Duration))>();
        self.subscriber.borrow().state_bytes() + told
    }

    /// For whoever looks on: nothing is changed by it.
    pub fn subscriber(&self) -> Ref<'_, Subscriber<impl Host>> {
        self.subscriber.borrow()
    }
}
