//! The fleet on sockets: its one owner, its datagrams and its clock. Decides nothing: `quillpoint-membership` does.
//!
//! The fleet acts by calling its host, [`Desk`], which only notes what is to be done; it is done when the call is
//! over. So nothing calls the fleet from inside one of its own calls.

use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use quillpoint_datagram::{OpenError, Opener};
use quillpoint_membership::ids::{Subject, TaskId};
use quillpoint_membership::{
    DatedObservation, Event, Fleet, GossipMessage, Host, Incarnation, MemberRecord, MemberState,
    MemberVersion, Observation,
};

use crate::control_host::ControlHost;
use crate::member_config::MemberConfig;
use crate::post::{Names, Passed, Post};
use crate::wire::{Traffic, Wire};

const NAMES: Names =
    Names { refused: "fleet_datagram_rejected", unsent: "fleet_send_failed", keys: "fleet_keys" };
/// How often the counts are logged.
const COUNTS_EVERY: Duration = Duration::from_secs(60);

/// What the fleet has asked for during a call.
enum Wish {
    Send { to: SocketAddr, session: Option<Incarnation>, letter: GossipMessage },
    Perform(TaskId),
    Hear(DatedObservation),
    Tell(Event),
}

#[derive(Default)]
struct Desk {
    wishes: RefCell<Vec<Wish>>,
    wake: Cell<Option<Duration>>,
}

struct Hand(Rc<Desk>);

impl Host for Hand {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, letter: GossipMessage) {
        self.0.wishes.borrow_mut().push(Wish::Send { to, session, letter });
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.wake.set(Some(after));
    }
    fn run_task(&mut self, duty: TaskId) {
        self.0.wishes.borrow_mut().push(Wish::Perform(duty));
    }
    fn observation_received(&mut self, evidence: DatedObservation) {
        self.0.wishes.borrow_mut().push(Wish::Hear(evidence));
    }
    fn report_event(&mut self, event: Event) {
        self.0.wishes.borrow_mut().push(Wish::Tell(event));
    }
}

/// What has passed since the start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub traffic: Traffic,
    /// Datagrams that were taken for letters.
    pub taken: u64,
    /// Probes that were made as a duty or claimed, and those that another router's word made needless.
    pub probes: u64,
    pub spared: u64,
    pub refused: BTreeMap<OpenError, u64>,
}

pub struct FleetMember {
    around: Rc<dyn ControlHost>,
    fleet: RefCell<Fleet<Hand>>,
    desk: Rc<Desk>,
    post: Post<GossipMessage>,
    probes: Cell<u64>,
    spared: Cell<u64>,
}

impl FleetMember {
    /// Opens the socket and makes the router a member.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn new(part: MemberConfig, around: Rc<dyn ControlHost>, seed: u64) -> io::Result<Rc<Self>> {
        let wire = Wire::bind(part.listen, Rc::clone(&around), part.letters)?;
        let (now, desk) = (around.now(), Rc::new(Desk::default()));
        let start = Incarnation(now.as_micros() as u64);
        let version = MemberVersion { incarnation: start, revision: 0 };
        let MemberConfig { name, advertise: address, zone, weight, .. } = part;
        let me = MemberRecord { name, version, address, zone, weight, state: MemberState::Joining };
        // A port that the system chooses is known only now.
        let me = if address.port() == 0 { MemberRecord { address: wire.local_addr()?, ..me } } else { me };
        let post = Post::new(wire, part.keys, Opener::default(), NAMES);
        let fleet = Fleet::new(Hand(Rc::clone(&desk)), me, part.seeds, part.plans, seed, now);
        Ok(Rc::new(Self {
            around,
            fleet: RefCell::new(fleet),
            desk,
            post,
            probes: Cell::new(0),
            spared: Cell::new(0),
        }))
    }

    /// The one way to the fleet. What it asks for is done when the call is over.
    fn call<T>(&self, what: impl FnOnce(&mut Fleet<Hand>, Duration) -> T) -> T {
        let told = what(&mut self.fleet.borrow_mut(), self.around.now());
        loop {
            let wishes = std::mem::take(&mut *self.desk.wishes.borrow_mut());
            if wishes.is_empty() {
                return told;
            }
            wishes.into_iter().for_each(|wish| self.fulfil(wish));
        }
    }

    fn fulfil(&self, wish: Wish) {
        match wish {
            Wish::Send { to, session, letter } => self.post.send(to, session, &letter),
            Wish::Perform(duty) => self.run_task(duty),
            Wish::Hear(evidence) => self.around.observation_received(evidence),
            Wish::Tell(event) => tell(&event),
        }
    }

    fn run_task(&self, duty: TaskId) {
        self.probes.set(self.probes.get() + 1);
        let goes = match duty.subject {
            Subject::Node(node) => self.around.probe(node),
            Subject::Installation => false,
        };
        if !goes {
            // One is out there by now, whose end serves as well.
            self.fleet.borrow_mut().task_ended(self.around.now(), duty);
        }
    }

    /// Takes letters as long as the process runs.
    pub async fn listen(self: Rc<Self>) {
        let own = || self.fleet.borrow().members().own_record().version.incarnation;
        let take = |_: SocketAddr, waited: Duration, letter: GossipMessage| {
            self.call(|fleet, now| fleet.message_arrived(now, letter.aged_by(waited)));
        };
        self.post.listen(own, take).await;
    }

    /// The fleet's one timer.
    pub async fn keep_time(self: Rc<Self>) {
        let mut counted = Instant::now();
        loop {
            let after = self.desk.wake.take().unwrap_or(quillpoint_membership::fleet::TICK_INTERVAL);
            Timer::after(after).await;
            self.call(|fleet, now| fleet.timer_fired(now));
            if counted.elapsed() >= COUNTS_EVERY {
                counted = Instant::now();
                self.tell_counts();
            }
        }
    }

    fn tell_counts(&self) {
        let Counts { traffic, taken, probes, spared, refused } = self.counts();
        let Traffic { sent, sent_bytes, read, read_bytes } = traffic;
        let state = self.fleet.borrow().state_bytes();
        let kinds: Vec<String> = refused.iter().map(|(kind, count)| format!("{kind:?}:{count}")).collect();
        log::info!(
            event = "fleet_counts", sent, sent_bytes, taken, read, read_bytes, probes, spared, state, refused = kinds.join(",");
            "letters and probes since the start"
        );
    }

    /// What holds at once of a configuration that was read anew.
    pub fn reload(&self, part: &MemberConfig) {
        self.post.keys_changed(&part.keys);
        self.call(|fleet, now| fleet.seeds_changed(now, part.seeds.clone()));
        self.tell_counts();
    }

    /// Hands the duties over and says goodbye.
    pub fn leave(&self) {
        self.call(|fleet, now| fleet.leave(now));
        self.tell_counts();
        log::info!(event = "fleet_left"; "duties handed over");
    }

    /// This router has found out something about a node, by an attempt or a probe that it sent at `asked`.
    pub fn found(&self, asked: Duration, by_probe: bool, news: Observation) {
        self.call(|fleet, now| {
            if by_probe {
                let duty = fleet.health_check_task(news.node);
                fleet.task_ended(now, duty);
            }
            fleet.record_own_observation(now, asked, news);
        });
    }

    /// The list of nodes has changed.
    pub fn listed(&self) {
        let nodes = self.around.nodes();
        self.call(|fleet, now| fleet.nodes_changed(now, &nodes));
    }

    /// Whether a probe out of turn is to be made here, or left to another router.
    pub fn may_probe(&self, node: SocketAddr) -> bool {
        let alone = self.around.is_shut(node);
        let may = self.call(|fleet, now| fleet.claim_health_check(now, node, alone));
        let count = if may { &self.probes } else { &self.spared };
        count.set(count.get() + 1);
        may
    }

    /// What peers have told of a node last, where that is of use yet.
    pub fn latest_observation(&self, node: SocketAddr) -> Option<DatedObservation> {
        self.fleet.borrow().latest_observation(self.around.now(), node)
    }

    pub fn traffic(&self) -> Traffic {
        self.post.traffic()
    }

    pub fn counts(&self) -> Counts {
        let Passed { traffic, taken, refused } = self.post.passed();
        Counts { traffic, taken, probes: self.probes.get(), spared: self.spared.get(), refused }
    }

    /// For whoever looks on: nothing is changed by it.
    pub fn fleet(&self) -> Ref<'_, Fleet<impl Host>> {
        self.fleet.borrow()
    }
}

fn tell(event: &Event) {
    match event {
        Event::Joined { alone } => log::info!(event = "fleet_joined", alone; "takes part in the fleet"),
        Event::ProcessPaused(span) => {
            let ms = span.as_millis() as u64;
            log::warn!(event = "fleet_process_paused", ms; "this router stood still for {ms} ms and joins anew");
        }
        Event::PeerChanged { peer, version: life, previous: was, state } => {
            let (start, version) = (life.incarnation.0, life.revision);
            let (was, state) =
                (was.map_or("unknown".to_string(), |was| format!("{was:?}")), format!("{state:?}"));
            log::info!(event = "fleet_peer", peer:% = peer, start, version, was, state; "peer {peer}: {state}");
        }
        Event::SuspicionRefuted(state) => {
            log::warn!(event = "fleet_suspicion_refuted", state:? = state; "others took this router for {state:?}");
        }
        Event::Displaced(address) => {
            log::error!(
                event = "fleet_displaced", address:% = address;
                "a later router of the same name runs at {address}: this one takes no duties"
            );
        }
        Event::Restored => log::info!(event = "fleet_restored"; "the other router of the same name is gone"),
        Event::TooManyPeers(peer) => {
            log::warn!(event = "fleet_too_many_peers", peer:% = peer; "no more peers are kept");
        }
        Event::PeerContradicted { peer, node } => {
            log::warn!(
                event = "fleet_peer_contradicted", peer:% = peer, node:% = node;
                "node {node} itself contradicts what {peer} told: {peer} is not believed for a minute"
            );
        }
        Event::TasksAssigned { owned, total: all, routers } => {
            log::info!(event = "fleet_tasks", owned, all, routers; "owns {owned} of {all} duties, among {routers}");
        }
    }
}
