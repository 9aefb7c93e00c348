//! The fleet on sockets: its one owner, its datagrams and its clock. Decides nothing: `quillpoint-fleet` does.
//!
//! The fleet acts by calling its host, [`Desk`], which only notes what is to be done; it is done when the call is
//! over. So nothing calls the fleet from inside one of its own calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use quillpoint::host::{NodeId, PeerWord};
use quillpoint_datagram::keys::Keyring;
use quillpoint_datagram::{LONGEST, Opener, Refusal, Sealer};
use quillpoint_fleet::ids::{DutyId, Subject};
use quillpoint_fleet::{Card, Event, Evidence, Fleet, Host, Incarnation, Letter, Life, News, State};

use crate::engine::{Engine, Finding, Sharing};
use crate::part::Part;
use crate::seldom::Seldom;

/// So many datagrams are read before others have their turn.
const AT_ONCE: u32 = 32;
/// A pause when more come than are looked at, and after a failed read.
const PAUSE: Duration = Duration::from_millis(10);
/// How often the counts are logged.
const COUNTS_EVERY: Duration = Duration::from_secs(60);

/// What the fleet has asked for during a call.
enum Wish {
    Send { to: SocketAddr, session: Option<Incarnation>, letter: Letter },
    Perform(DutyId),
    Hear(Evidence),
    Tell(Event),
}

#[derive(Default)]
struct Desk {
    wishes: RefCell<Vec<Wish>>,
    wake: Cell<Option<Duration>>,
}

struct Hand(Rc<Desk>);

impl Host for Hand {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, letter: Letter) {
        self.0.wishes.borrow_mut().push(Wish::Send { to, session, letter });
    }
    fn wake(&mut self, after: Duration) {
        self.0.wake.set(Some(after));
    }
    fn perform(&mut self, duty: DutyId) {
        self.0.wishes.borrow_mut().push(Wish::Perform(duty));
    }
    fn hear(&mut self, evidence: Evidence) {
        self.0.wishes.borrow_mut().push(Wish::Hear(evidence));
    }
    fn tell(&mut self, event: Event) {
        self.0.wishes.borrow_mut().push(Wish::Tell(event));
    }
}

/// What has passed since the start.
#[derive(Default)]
struct Counts {
    sent: Cell<u64>,
    sent_bytes: Cell<u64>,
    taken: Cell<u64>,
    probes: Cell<u64>,
    spared: Cell<u64>,
    refused: RefCell<BTreeMap<Refusal, u64>>,
}

fn add(count: &Cell<u64>, more: u64) {
    count.set(count.get() + more);
}

pub struct Peers {
    engine: Rc<Engine>,
    fleet: RefCell<Fleet<Hand>>,
    desk: Rc<Desk>,
    socket: Async<UdpSocket>,
    keys: RefCell<Keyring>,
    sealer: RefCell<Sealer>,
    opener: RefCell<Opener>,
    letters: u64,
    counts: Counts,
    told_refused: Seldom,
    told_unsent: Seldom,
}

impl Peers {
    /// Opens the socket and makes the router a member.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn new(part: Part, engine: Rc<Engine>, seed: u64) -> io::Result<Rc<Self>> {
        let socket = Async::<UdpSocket>::bind(part.listen)?;
        let (now, desk) = (engine.clock.now(), Rc::new(Desk::default()));
        let start = Incarnation(now.as_micros() as u64);
        let life = Life { incarnation: start, version: 0 };
        let Part { name, advertise: address, zone, weight, .. } = part;
        let me = Card { name, life, address, zone, weight, state: State::Joining };
        // A port that the system chooses is known only now.
        let me =
            if address.port() == 0 { Card { address: socket.get_ref().local_addr()?, ..me } } else { me };
        let fleet = Fleet::new(Hand(Rc::clone(&desk)), me, part.seeds, part.plans, seed, now);
        Ok(Rc::new(Self {
            engine,
            fleet: RefCell::new(fleet),
            desk,
            socket,
            keys: RefCell::new(part.keys),
            sealer: RefCell::default(),
            opener: RefCell::default(),
            letters: part.letters,
            counts: Counts::default(),
            told_refused: Seldom::default(),
            told_unsent: Seldom::default(),
        }))
    }

    /// The one way to the fleet. What it asks for is done when the call is over.
    fn call<T>(&self, what: impl FnOnce(&mut Fleet<Hand>, Duration) -> T) -> T {
        let told = what(&mut self.fleet.borrow_mut(), self.engine.clock.now());
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
            Wish::Send { to, session, letter } => self.send(to, session, &letter),
            Wish::Perform(duty) => self.perform(duty),
            Wish::Hear(evidence) => {
                let Evidence { node, at, position, primary, waiting, started, failed } = evidence;
                let (node, waiting) = (NodeId(node), waiting.map(f64::from));
                self.engine.peer_told(PeerWord { node, at, position, primary, waiting, started, failed });
            }
            Wish::Tell(event) => tell(&event),
        }
    }

    fn perform(&self, duty: DutyId) {
        add(&self.counts.probes, 1);
        let goes = match duty.subject {
            Subject::Node(node) => self.engine.probe_in_turn(NodeId(node)),
            Subject::Installation => false,
        };
        if !goes {
            // One is out there by now, whose end serves as well.
            self.fleet.borrow_mut().duty_ended(self.engine.clock.now(), duty);
        }
    }

    /// A datagram that cannot be sent at once is lost: all that is said is said again.
    fn send(&self, to: SocketAddr, session: Option<Incarnation>, letter: &Letter) {
        let sealed = self.sealer.borrow_mut().seal(&self.keys.borrow(), session, letter);
        let sent = match &sealed {
            Ok(bytes) => self.socket.get_ref().send_to(bytes, to).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match sent {
            Ok(bytes) => {
                add(&self.counts.sent, 1);
                add(&self.counts.sent_bytes, bytes as u64);
            }
            Err(error) if self.told_unsent.is_due() => {
                log::warn!(event = "fleet_unsent", to:% = to, error; "a letter could not be sent");
            }
            Err(_) => {}
        }
    }

    /// Takes letters as long as the process runs. A flood of datagrams gets no more than its share of the thread.
    pub async fn listen(self: Rc<Self>) {
        let mut bytes = [0; LONGEST + 1];
        let (mut since, mut looked_at, mut in_a_row) = (Instant::now(), 0, 0);
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, _)) => self.arrived(&bytes[..length]),
                Err(error) => {
                    log::debug!("datagrams: {error}");
                    Timer::after(PAUSE).await;
                }
            }
            (looked_at, in_a_row) = (looked_at + 1, in_a_row + 1);
            if in_a_row >= AT_ONCE {
                in_a_row = 0;
                future::yield_now().await;
            }
            if since.elapsed() >= PAUSE {
                (since, looked_at) = (Instant::now(), 0);
            } else if looked_at as f64 > (self.letters as f64 * PAUSE.as_secs_f64()).max(1.0) {
                Timer::after(PAUSE).await;
                (since, looked_at) = (Instant::now(), 0);
            }
        }
    }

    fn arrived(&self, bytes: &[u8]) {
        let own = self.fleet.borrow().members().me().life.incarnation;
        let opened = self.opener.borrow_mut().open(&self.keys.borrow(), own, bytes);
        match opened {
            Ok(letter) => {
                add(&self.counts.taken, 1);
                self.call(|fleet, now| fleet.letter_arrived(now, letter));
            }
            Err(refusal) => {
                *self.counts.refused.borrow_mut().entry(refusal).or_default() += 1;
                if self.told_refused.is_due() {
                    let kind = format!("{refusal:?}");
                    log::warn!(event = "fleet_refused", kind; "a datagram was not taken: {refusal}");
                }
            }
        }
    }

    /// The fleet's one timer.
    pub async fn keep_time(self: Rc<Self>) {
        let mut counted = Instant::now();
        loop {
            let after = self.desk.wake.take().unwrap_or(quillpoint_fleet::fleet::TICK);
            Timer::after(after).await;
            self.call(|fleet, now| fleet.timer_fired(now));
            if counted.elapsed() >= COUNTS_EVERY {
                counted = Instant::now();
                self.tell_counts();
            }
        }
    }

    fn tell_counts(&self) {
        let Counts { sent, sent_bytes, taken, probes, spared, refused } = &self.counts;
        let kinds: Vec<String> =
            refused.borrow().iter().map(|(kind, count)| format!("{kind:?}:{count}")).collect();
        log::info!(
            event = "fleet_counts", sent = sent.get(), sent_bytes = sent_bytes.get(), taken = taken.get(),
            probes = probes.get(), spared = spared.get(), refused = kinds.join(",");
            "letters and probes since the start"
        );
    }

    /// What holds at once of a configuration that was read anew.
    pub fn reload(&self, part: &Part) {
        if *self.keys.borrow() != part.keys {
            *self.keys.borrow_mut() = part.keys.clone();
            let ids: Vec<String> = part.keys.ids().map(|id| id.to_string()).collect();
            log::info!(event = "fleet_keys", keys = ids.join(","); "keys taken over");
        }
        self.call(|fleet, now| fleet.seeds_changed(now, part.seeds.clone()));
    }

    /// Hands the duties over and says goodbye.
    pub fn leave(&self) {
        self.call(|fleet, now| fleet.leave(now));
        self.tell_counts();
        log::info!(event = "fleet_left"; "duties handed over");
    }
}

impl Sharing for Peers {
    fn found(&self, finding: Finding) {
        let Finding { node: NodeId(node), asked, probe, failed, position, primary, waiting, started } =
            finding;
        let waiting = waiting.map(|waiting| waiting.clamp(0.0, f64::from(u32::MAX)) as u32);
        let news = News { node, age: Duration::ZERO, position, primary, waiting, started, failed };
        self.call(|fleet, now| {
            if probe {
                let duty = fleet.probe_of(node);
                fleet.duty_ended(now, duty);
            }
            fleet.found(now, asked, news);
        });
    }

    fn listed(&self) {
        let nodes = self.engine.nodes().into_iter().map(|(node, zone)| (node.0, zone.0 as u16)).collect();
        self.call(|fleet, now| fleet.nodes_changed(now, &nodes));
    }

    fn may_probe(&self, node: NodeId) -> bool {
        let alone = self.engine.is_shut(node);
        let may = self.call(|fleet, now| fleet.claim_probe(now, node.0, alone));
        add(if may { &self.counts.probes } else { &self.counts.spared }, 1);
        may
    }
}

fn tell(event: &Event) {
    match event {
        Event::Joined { alone } => log::info!(event = "fleet_joined", alone; "takes part in the fleet"),
        Event::Stopped(span) => {
            let ms = span.as_millis() as u64;
            log::warn!(event = "fleet_stopped", ms; "this router stood still for {ms} ms and joins anew");
        }
        Event::PeerChanged { peer, life, was, state } => {
            let (start, version) = (life.incarnation.0, life.version);
            let (was, state) =
                (was.map_or("unknown".to_string(), |was| format!("{was:?}")), format!("{state:?}"));
            log::info!(event = "fleet_peer", peer:% = peer, start, version, was, state; "peer {peer}: {state}");
        }
        Event::Contradicted(state) => {
            log::warn!(event = "fleet_contradicted", state:? = state; "others took this router for {state:?}");
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
        Event::Liar { peer, node } => {
            log::warn!(
                event = "fleet_liar", peer:% = peer, node:% = node;
                "node {node} itself contradicts what {peer} told: {peer} is not believed for a minute"
            );
        }
        Event::Duties { owned, all, routers } => {
            log::info!(event = "fleet_duties", owned, all, routers; "owns {owned} of {all} duties, among {routers}");
        }
    }
}
