//! A router's part in its fleet: one method for each thing that can happen.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::host::{DatedObservation, Event, Host};
use crate::ids::{PeerName, Subject, TaskId};
use crate::membership::Membership;
use crate::message::{GossipBody, GossipMessage, MemberRecord, MemberState, Observation};
use crate::observation_store::{NEWS_BYTES, ObservationStore, Verdict};
use crate::rendezvous::Candidate;
use crate::sharded_tasks::{ShardedTasks, TaskParams};

/// Periodic work is looked at so often.
pub const TICK: Duration = Duration::from_millis(20);
/// News is sent so often, and with more than twenty peers once a millisecond for each: a router then sends about a
/// thousand letters a second at the most.
const FLUSH: Duration = TICK;
const FLUSH_PER_PEER: Duration = Duration::from_millis(1);
/// So many letters of a record go out in one tick, so that nobody's receive buffer is flooded.
const RECORD_A_TICK: usize = 8;

/// What a fleet is told at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetParams {
    /// The probing of nodes.
    pub probe: TaskParams,
    /// The budget of background work, in cost units a second, and the most that is saved of it.
    pub work_rate: f64,
    pub work_burst: f64,
    /// The budget of news to peers, in bytes a second.
    pub news_rate: f64,
    /// Probing is what this member is for, as of a control instance: neither budget is below what the listed nodes
    /// take by [`HEADROOM`]. One that is short leaves the same nodes unprobed, or untold, ever.
    pub grows: bool,
}

/// So many times what probing all nodes takes, and telling the others of it: the rest of the fleet may be gone.
const HEADROOM: f64 = 2.0;

impl FleetParams {
    /// With the budgets that so many nodes take, where those are larger and may grow.
    fn for_nodes(&self, nodes: usize) -> Self {
        let probes = if self.grows { nodes as f64 / self.probe.period.as_secs_f64() } else { 0.0 };
        let work_rate = self.work_rate.max(probes * self.probe.cost * HEADROOM);
        let work_burst = self.work_burst * (work_rate / self.work_rate);
        let news_rate = self.news_rate.max(probes * NEWS_BYTES * HEADROOM);
        Self { work_rate, work_burst, news_rate, ..*self }
    }
}

pub struct Fleet<H: Host> {
    host: H,
    members: Membership,
    duties: ShardedTasks,
    book: ObservationStore,
    plans: FleetParams,
    /// What is left to be sent of the record, by who asked.
    records: BTreeMap<PeerName, Vec<Vec<Observation>>>,
    next_flush: Duration,
    told: (usize, usize, usize),
    /// The nodes have changed since the duties were last counted.
    recount: bool,
}

impl<H: Host> Fleet<H> {
    /// `me` names this router, its start and its address; `seeds` are where others may be found.
    pub fn new(
        host: H,
        me: MemberRecord,
        seeds: Vec<SocketAddr>,
        plans: FleetParams,
        seed: u64,
        now: Duration,
    ) -> Self {
        let name = me.name.clone();
        let mut fleet = Self {
            host,
            members: Membership::new(me, seeds, seed, now),
            duties: ShardedTasks::new(name.clone(), plans.work_rate, plans.work_burst, now),
            book: ObservationStore::new(name, plans.news_rate, now),
            plans,
            records: BTreeMap::new(),
            next_flush: now,
            told: (0, 0, 0),
            recount: true,
        };
        fleet.host.set_timer(Duration::ZERO);
        fleet
    }

    /// A letter that is authentic and not one that came before.
    pub fn message_arrived(&mut self, now: Duration, letter: GossipMessage) {
        self.members.ran(now, &mut self.host);
        let GossipMessage { from, body, cards } = letter;
        if self.members.message_arrived(now, &from, &body, &cards, &mut self.host) {
            self.records.insert(from.name.clone(), self.book.record(now));
        }
        if let GossipBody::Observations(news) = body
            && self.members.is_current(&from)
        {
            news.into_iter().for_each(|news| self.observation_received(now, &from.name, news));
        }
    }

    fn observation_received(&mut self, now: Duration, by: &PeerName, news: Observation) {
        let (id, at) = (self.health_check_task(news.node), now.saturating_sub(news.age));
        match self.book.told(now, by, news) {
            Verdict::Believed(evidence) => {
                self.duties.done(id, at);
                self.host.observation_received(evidence);
            }
            Verdict::Doubt => {
                self.duties.done(id, at);
                self.duties.doubted(now, id);
            }
            Verdict::Dropped => {}
        }
    }

    pub fn timer_fired(&mut self, now: Duration) {
        if self.members.ran(now, &mut self.host) {
            self.records.clear();
        }
        self.members.tick(now, &mut self.host);
        self.look_around(now);
        while let Some(duty) = self.duties.next(now) {
            self.host.run_task(duty);
        }
        if now >= self.next_flush {
            self.flush(now);
        }
        self.send_records();
        self.host.set_timer(TICK);
    }

    /// The nodes there are, with their zones.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeMap<SocketAddr, u16>) {
        let all: BTreeSet<SocketAddr> = nodes.keys().copied().collect();
        self.book.nodes_changed(&all);
        let subjects = nodes.iter().map(|(node, zone)| (Subject::Node(*node), *zone)).collect();
        self.duties.subjects_changed(now, self.plans.probe, &subjects);
        let FleetParams { work_rate, work_burst, news_rate, .. } = self.plans.for_nodes(nodes.len());
        self.duties.budget_changed(work_rate, work_burst);
        self.book.budget_changed(news_rate);
        self.recount = true;
    }

    pub fn seeds_changed(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        self.members.seeds_changed(now, seeds);
    }

    /// This router has found out something about a node, by a probe or an attempt that it sent at `asked`.
    pub fn found(&mut self, now: Duration, asked: Duration, news: Observation) {
        let (node, id, failed) = (news.node, self.health_check_task(news.node), news.failed);
        if let Some(peer) = self.book.found(now, asked, news) {
            self.host.tell(Event::Liar { peer, node });
        }
        if !failed {
            // Any answer tells what a probe would.
            self.duties.done(id, now);
        }
    }

    /// Whether this router may probe a node now, out of turn: `alone` where no other's probe is of use to it.
    pub fn claim_health_check(&mut self, now: Duration, node: SocketAddr, alone: bool) -> bool {
        let id = self.health_check_task(node);
        self.duties.claim(now, id, alone)
    }

    /// What peers have told of a node last, where that is of use yet: for who does not take it as it comes.
    pub fn latest_observation(&self, now: Duration, node: SocketAddr) -> Option<DatedObservation> {
        self.book.latest_observation(now, node)
    }

    pub fn task_ended(&mut self, now: Duration, duty: TaskId) {
        self.duties.ended(now, duty);
    }

    /// Hands over and says goodbye. Nothing is performed from then on.
    pub fn leave(&mut self, now: Duration) {
        if self.members.me().state == MemberState::Left {
            return;
        }
        self.flush(now);
        self.members.leave(&mut self.host);
        self.duties.view_changed(now, Vec::new());
    }

    pub fn members(&self) -> &Membership {
        &self.members
    }

    pub fn duties(&self) -> &ShardedTasks {
        &self.duties
    }

    /// What is kept of routers, nodes and duties, in bytes: by count and size of the entries, without what an
    /// allocator adds.
    pub fn state_bytes(&self) -> usize {
        self.members.state_bytes() + self.duties.state_bytes() + self.book.state_bytes()
    }

    pub fn health_check_task(&self, node: SocketAddr) -> TaskId {
        TaskId { kind: self.plans.probe.kind, subject: Subject::Node(node) }
    }

    /// Who may own duties by now.
    fn look_around(&mut self, now: Duration) {
        let owns = |card: &MemberRecord| matches!(card.state, MemberState::Up | MemberState::Suspect);
        let candidate =
            |card: &MemberRecord| Candidate { name: card.name.clone(), zone: card.zone, weight: card.weight };
        let mut view: Vec<Candidate> =
            self.members.peers().filter(|card| owns(card)).map(candidate).collect();
        if self.members.takes_part() {
            view.push(candidate(self.members.me()));
        } else {
            view.clear();
        }
        let routers = view.len();
        // Looked at each tick, counted only when something has changed: there may be thousands of duties.
        if !(self.duties.view_changed(now, view) | std::mem::take(&mut self.recount)) {
            return;
        }
        let (owned, all) = self.duties.owned();
        if self.told != (owned, all, routers) {
            self.told = (owned, all, routers);
            self.host.tell(Event::TasksAssigned { owned, all, routers });
        }
    }

    fn flush(&mut self, now: Duration) {
        let peers: Vec<PeerName> = self.members.there().map(|card| card.name.clone()).collect();
        self.next_flush = now + FLUSH.max(FLUSH_PER_PEER * peers.len() as u32);
        for letter in self.book.outgoing(now, peers.len()) {
            for peer in &peers {
                self.members.send_to(peer, GossipBody::Observations(letter.clone()), &mut self.host);
            }
        }
    }

    fn send_records(&mut self) {
        let Self { records, members, host, .. } = self;
        records.retain(|peer, letters| {
            for _ in 0..RECORD_A_TICK {
                let Some(news) = letters.pop() else { break };
                members.send_to(peer, GossipBody::Observations(news), host);
            }
            !letters.is_empty()
        });
    }
}
