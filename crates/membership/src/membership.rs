//! Which routers there are: gossip with indirect probing, suspicion and contradiction, after SWIM (Das, Gupta and
//! Motivala, 2002), with incarnations that come from the clock and a greeting that carries sessions.
//!
//! Each period one peer is pinged; where no ack comes, some others are asked to ping it. Where that fails too, it is
//! suspect, and dead if it does not contradict in time. All of it travels on cards, a few with each letter.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::host::{Event, Host};
use crate::ids::{Incarnation, MemberVersion, PeerName, PingNumber};
use crate::message::{CARDS_ALONG, CARDS_WHOLE, GossipBody, GossipMessage, MemberRecord, MemberState};

/// Peers are pinged in turn, one a period.
pub const PERIOD: Duration = Duration::from_millis(250);
/// When others are asked to ping a peer that has not answered, and how many.
const INDIRECT_AFTER: Duration = Duration::from_millis(100);
const INDIRECT: usize = 3;
/// How long a suspect may contradict, for each doubling of the routers past two.
const SUSPECT_FOR: Duration = Duration::from_millis(750);
/// Meanwhile it is pinged so often by about so many routers, each ping with the word that it has to contradict. With
/// one ping a period, a fifth of all datagrams lost made a router of three dead once in twenty seconds.
const SUSPECT_PINGED: Duration = Duration::from_millis(100);
const SUSPECT_PINGERS: f64 = 5.0;
/// A router that starts says hello so often, and takes part alone after so long without a welcome.
const HELLO_EVERY: Duration = Duration::from_millis(50);
const ALONE_AFTER: Duration = Duration::from_millis(400);
/// How often a router greets one that it has lost, or a seed: this is what heals partitions.
const GREET_EVERY: Duration = Duration::from_millis(500);
/// A welcome is given no more often to one name.
const WELCOME_EVERY: Duration = Duration::from_millis(40);
/// A router that has not run for so long has been stopped: what it thinks it owns is others' by now.
pub const STOPPED: Duration = Duration::from_millis(800);
/// Nothing is kept of one that has been gone for so long.
const FORGET: Duration = Duration::from_secs(600);
/// No more are kept.
pub const MOST_PEERS: usize = 256;
/// Each change of a card travels with so many letters for each doubling of the routers.
const TELLS: u32 = 4;

struct Peer {
    card: MemberRecord,
    /// When its card last changed.
    since: Duration,
    /// When it last spoke itself.
    heard: Duration,
    /// With how many more letters its card travels.
    tells: u32,
    welcomed: Duration,
    /// When it was last pinged as a suspect.
    looked: Duration,
}

struct Ping {
    peer: PeerName,
    sent: Duration,
    asked_others: bool,
}

/// A ping made for another: whose it is, and under which number it awaits the ack.
struct Errand {
    for_whom: PeerName,
    number: PingNumber,
    until: Duration,
}

pub struct Membership {
    me: MemberRecord,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<PeerName, Peer>,
    chance: ChaCha8Rng,
    /// Whom to ping next, last first; shuffled anew when all have had their turn.
    turn: Vec<PeerName>,
    next_ping: Duration,
    pings: BTreeMap<PingNumber, Ping>,
    errands: BTreeMap<PingNumber, Errand>,
    last_number: PingNumber,
    next_hello: Duration,
    next_greeting: Duration,
    started: Duration,
    ran: Duration,
    /// The own card travels with so many more letters.
    tells: u32,
    /// A later process of this name, and where it runs.
    displaced: Option<MemberRecord>,
    too_many_told: bool,
}

impl Membership {
    /// `me` is this router's card; its state is not heeded.
    pub fn new(me: MemberRecord, seeds: Vec<SocketAddr>, seed: u64, now: Duration) -> Self {
        Self {
            me: MemberRecord { state: MemberState::Joining, ..me },
            seeds,
            peers: BTreeMap::new(),
            chance: ChaCha8Rng::seed_from_u64(seed),
            turn: Vec::new(),
            next_ping: now,
            pings: BTreeMap::new(),
            errands: BTreeMap::new(),
            last_number: PingNumber(0),
            next_hello: now,
            next_greeting: now + GREET_EVERY,
            started: now,
            ran: now,
            tells: 0,
            displaced: None,
            too_many_told: false,
        }
    }

    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Whether this router owns duties.
    pub fn takes_part(&self) -> bool {
        self.me.state == MemberState::Up && self.displaced.is_none()
    }

    /// In bytes, without what an allocator adds.
    pub fn state_bytes(&self) -> usize {
        let names: usize = self.peers.keys().map(|name| 2 * name.as_str().len()).sum();
        names
            + self.peers.len() * size_of::<(PeerName, Peer)>()
            + self.turn.len() * size_of::<PeerName>()
            + self.pings.len() * size_of::<(PingNumber, Ping)>()
            + self.errands.len() * size_of::<(PingNumber, Errand)>()
    }

    /// All peers, whatever their state.
    pub fn peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.values().map(|peer| &peer.card)
    }

    /// Those that are there.
    pub fn there(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers().filter(|card| card.state.is_there())
    }

    /// Whether what this sender says counts: it is known, and no later start of it is.
    pub fn is_current(&self, card: &MemberRecord) -> bool {
        self.peers.get(&card.name).is_some_and(|peer| {
            peer.card.life.incarnation == card.life.incarnation && peer.card.state.is_there()
        })
    }

    /// Whether it stood still before this; it then joins anew. Called first whatever happens.
    pub fn ran(&mut self, now: Duration, host: &mut impl Host) -> bool {
        let still = now.saturating_sub(self.ran);
        self.ran = now.max(self.ran);
        if still < STOPPED || self.me.state == MemberState::Left {
            return false;
        }
        host.tell(Event::Stopped(still));
        self.me.state = MemberState::Joining;
        self.bump();
        (self.started, self.next_hello, self.next_ping) = (now, now, now + PERIOD);
        self.pings.clear();
        self.errands.clear();
        // Nobody is blamed for silence while nobody listened.
        self.peers.values_mut().filter(|peer| peer.card.state.is_there()).for_each(|peer| peer.heard = now);
        true
    }

    /// The seeds as configured from now on.
    pub fn seeds_changed(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.next_greeting = now;
    }

    /// Says goodbye to all: its duties are others' from then on.
    pub fn leave(&mut self, host: &mut impl Host) {
        self.me.state = MemberState::Left;
        self.bump();
        for name in self.names_there() {
            // Twice, as a goodbye that is lost costs the others a detection.
            (0..2).for_each(|_| self.send_to(&name, GossipBody::JoinRequest, host));
        }
    }

    /// A letter, whose sender is who it says it is. True if the sender is to be told the record.
    pub fn message_arrived(
        &mut self,
        now: Duration,
        from: &MemberRecord,
        body: &GossipBody,
        cards: &[MemberRecord],
        host: &mut impl Host,
    ) -> bool {
        if from.name == self.me.name {
            self.meet_namesake(from, host);
            return false;
        }
        let was = self.peers.get(&from.name).map(|peer| (peer.card.life.incarnation, peer.card.state));
        if was.is_some_and(|(known, _)| known > from.life.incarnation) {
            // Under way while its sender started anew; or its clock has gone back, or another process has its
            // name. The last two say hello, and must know.
            if *body == GossipBody::JoinRequest && self.may_welcome(now, &from.name) {
                let known = vec![self.peers[&from.name].card.clone()];
                self.send(from.address, Some(from.life.incarnation), GossipBody::JoinReply, known, host);
            }
            return false;
        }
        self.merge(now, from, host);
        for card in cards {
            match card.name == self.me.name {
                true => self.hear_of_me(card, host),
                false => self.merge(now, card, host),
            }
        }
        let Some(peer) = self.peers.get_mut(&from.name) else { return false };
        peer.heard = now;
        if peer.card.state == MemberState::Suspect {
            // It speaks, so it has time to contradict.
            peer.since = now;
        }
        let is_there = peer.card.state.is_there();
        self.pings.retain(|_, ping| ping.peer != from.name);
        match body {
            // It does not know yet that it passes for dead.
            _ if !is_there => {
                if from.state.is_there() && self.may_welcome(now, &from.name) {
                    self.welcome(&from.name, host);
                }
            }
            GossipBody::JoinRequest => {
                if self.may_welcome(now, &from.name) {
                    self.welcome(&from.name, host);
                    return true;
                }
            }
            GossipBody::JoinReply => self.joined(false, host),
            GossipBody::Ping(number) => self.send_to(&from.name, GossipBody::Ack(*number), host),
            GossipBody::Ack(number) => self.ack_arrived(now, *number, host),
            GossipBody::IndirectPing(number, about) => self.run_errand(now, &from.name, *number, about, host),
            GossipBody::Observations(_) => {}
        }
        is_there && !was.is_some_and(|(known, state)| known == from.life.incarnation && state.is_there())
    }

    /// An ack to this router's own ping comes from the pinged one, or from one who was asked to ping it.
    fn ack_arrived(&mut self, now: Duration, number: PingNumber, host: &mut impl Host) {
        if let Some(errand) = self.errands.remove(&number) {
            self.send_to(&errand.for_whom, GossipBody::Ack(errand.number), host);
        }
        if let Some(ping) = self.pings.remove(&number)
            && let Some(peer) = self.peers.get_mut(&ping.peer)
        {
            peer.heard = now;
        }
    }

    fn may_welcome(&mut self, now: Duration, name: &PeerName) -> bool {
        let peer = self.peers.get_mut(name).filter(|peer| now >= peer.welcomed + WELCOME_EVERY);
        peer.map(|peer| peer.welcomed = now).is_some()
    }

    /// Periodic work, all of which may be late.
    pub fn tick(&mut self, now: Duration, host: &mut impl Host) {
        if self.me.state == MemberState::Left {
            return;
        }
        if self.me.state == MemberState::Joining && now >= self.next_hello {
            self.next_hello = now + HELLO_EVERY;
            self.say_hello(host);
        }
        if self.me.state == MemberState::Joining && now >= self.started + ALONE_AFTER {
            self.joined(true, host);
        }
        self.errands.retain(|_, errand| errand.until > now);
        self.follow_pings(now, host);
        if now >= self.next_ping {
            self.next_ping = now + PERIOD;
            self.ping_next(now, host);
        }
        self.question(now, host);
        self.bury(now, host);
        if now >= self.next_greeting {
            self.next_greeting = now + GREET_EVERY;
            self.greet(host);
        }
    }

    fn say_hello(&mut self, host: &mut impl Host) {
        let known: Vec<SocketAddr> = self.there().map(|card| card.address).collect();
        let seeds: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| !known.contains(seed)).collect();
        seeds.into_iter().for_each(|seed| self.send(seed, None, GossipBody::JoinRequest, Vec::new(), host));
        for name in self.names_there() {
            self.send_to(&name, GossipBody::JoinRequest, host);
        }
    }

    fn joined(&mut self, alone: bool, host: &mut impl Host) {
        if self.me.state == MemberState::Joining {
            self.me.state = MemberState::Up;
            self.tells = self.most_tells();
            host.tell(Event::Joined { alone });
        }
    }

    fn welcome(&mut self, name: &PeerName, host: &mut impl Host) {
        let cards: Vec<MemberRecord> = self.peers().filter(|card| card.name != *name).cloned().collect();
        let Some(peer) = self.peers.get(name) else { return };
        let (to, session) = (peer.card.address, Some(peer.card.life.incarnation));
        // What is said of it comes first, so that it can contradict.
        let own = [peer.card.clone()];
        let mut parts: Vec<Vec<MemberRecord>> =
            cards.chunks(CARDS_WHOLE).map(<[MemberRecord]>::to_vec).collect();
        parts.is_empty().then(|| parts.push(Vec::new()));
        parts[0].extend(own);
        parts.into_iter().for_each(|part| self.send(to, session, GossipBody::JoinReply, part, host));
    }

    /// A peer that has not answered directly is asked for through others, and then suspect.
    fn follow_pings(&mut self, now: Duration, host: &mut impl Host) {
        let late = |ping: &Ping| !ping.asked_others && now >= ping.sent + INDIRECT_AFTER;
        let due: Vec<PingNumber> =
            self.pings.iter().filter(|(_, ping)| late(ping)).map(|(no, _)| *no).collect();
        for number in due {
            let Some(ping) = self.pings.get_mut(&number) else { continue };
            ping.asked_others = true;
            let about = ping.peer.clone();
            let others: Vec<PeerName> =
                self.names_there().into_iter().filter(|name| *name != about).collect();
            let asked: Vec<PeerName> = others.sample(&mut self.chance, INDIRECT).cloned().collect();
            asked
                .iter()
                .for_each(|name| self.send_to(name, GossipBody::IndirectPing(number, about.clone()), host));
        }
        let over: Vec<PingNumber> =
            self.pings.iter().filter(|(_, ping)| now >= ping.sent + PERIOD).map(|(no, _)| *no).collect();
        for number in over {
            let Some(ping) = self.pings.remove(&number) else { continue };
            let Some(peer) = self.peers.get(&ping.peer) else { continue };
            if peer.heard < ping.sent && peer.card.state < MemberState::Suspect {
                self.change(now, &ping.peer, peer.card.life, MemberState::Suspect, host);
            }
        }
    }

    fn ping_next(&mut self, now: Duration, host: &mut impl Host) {
        let there = |peers: &BTreeMap<PeerName, Peer>, name: &PeerName| {
            peers.get(name).is_some_and(|peer| peer.card.state.is_there())
        };
        let next = loop {
            match self.turn.pop() {
                Some(name) if there(&self.peers, &name) => break name,
                Some(_) => {}
                None => {
                    self.turn = self.names_there();
                    self.turn.shuffle(&mut self.chance);
                    if self.turn.is_empty() {
                        return;
                    }
                }
            }
        };
        let number = self.number();
        self.pings.insert(number, Ping { peer: next.clone(), sent: now, asked_others: false });
        self.send_to(&next, GossipBody::Ping(number), host);
    }

    fn run_errand(
        &mut self,
        now: Duration,
        for_whom: &PeerName,
        number: PingNumber,
        about: &PeerName,
        host: &mut impl Host,
    ) {
        if self.errands.len() >= MOST_PEERS || !self.peers.contains_key(about) {
            return;
        }
        let own = self.number();
        let errand = Errand { for_whom: for_whom.clone(), number, until: now + PERIOD };
        self.errands.insert(own, errand);
        self.send_to(about, GossipBody::Ping(own), host);
    }

    /// Suspects are pinged, each with the word that it has to contradict.
    fn question(&mut self, now: Duration, host: &mut impl Host) {
        let routers = self.there().count() as f64;
        let due =
            |peer: &Peer| peer.card.state == MemberState::Suspect && now >= peer.looked + SUSPECT_PINGED;
        let suspects: Vec<PeerName> =
            self.peers.iter().filter(|(_, peer)| due(peer)).map(|(name, _)| name.clone()).collect();
        for name in suspects {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.looked = now;
            }
            if self.chance.random_bool((SUSPECT_PINGERS / routers).min(1.0)) {
                let number = self.number();
                self.pings.insert(number, Ping { peer: name.clone(), sent: now, asked_others: true });
                self.send_to(&name, GossipBody::Ping(number), host);
            }
        }
    }

    /// Suspects whose time is over are dead; the long gone are forgotten.
    fn bury(&mut self, now: Duration, host: &mut impl Host) {
        let routers = self.there().count() as u32 + 1;
        let patience = SUSPECT_FOR * routers.max(2).ilog2().max(1);
        let over = |peer: &Peer| peer.card.state == MemberState::Suspect && now >= peer.since + patience;
        let dead: Vec<PeerName> =
            self.peers.iter().filter(|(_, peer)| over(peer)).map(|(name, _)| name.clone()).collect();
        for name in dead {
            let life = self.peers[&name].card.life;
            self.change(now, &name, life, MemberState::Dead, host);
        }
        self.peers.retain(|_, peer| peer.card.state.is_there() || now < peer.since + FORGET);
    }

    /// One lost peer or seed, by chance.
    fn greet(&mut self, host: &mut impl Host) {
        // One that has given way asks everybody whether the other is gone.
        let there: Vec<SocketAddr> = match self.displaced {
            None => self.there().map(|card| card.address).collect(),
            Some(_) => Vec::new(),
        };
        let lost = self.peers().filter(|card| card.state == MemberState::Dead).map(|card| card.address);
        let mut far: Vec<SocketAddr> = self.seeds.iter().copied().chain(lost).collect();
        far.retain(|address| !there.contains(address) && *address != self.me.address);
        if let Some(address) = far.choose(&mut self.chance) {
            self.send(*address, None, GossipBody::JoinRequest, Vec::new(), host);
        }
    }

    /// The one place where a word about a peer is taken over, if it is newer or worse.
    fn merge(&mut self, now: Duration, card: &MemberRecord, host: &mut impl Host) {
        match self.peers.get(&card.name) {
            None => {
                // Of one long gone nothing need be known; and no flood of names may crowd out the others.
                if !card.state.is_there() || !self.has_room(&card.name, host) {
                    return;
                }
                let (welcomed, looked) = (Duration::ZERO, Duration::ZERO);
                let peer = Peer { card: card.clone(), since: now, heard: now, tells: 0, welcomed, looked };
                self.peers.insert(card.name.clone(), peer);
                self.announce(now, &card.name, None, host);
            }
            Some(known) if (card.life, card.state) > (known.card.life, known.card.state) => {
                let was = known.card.state;
                let Some(peer) = self.peers.get_mut(&card.name) else { return };
                if peer.card.life.incarnation != card.life.incarnation {
                    peer.heard = now;
                }
                peer.card = card.clone();
                self.announce(now, &card.name, Some(was), host);
            }
            Some(known) if card.state > known.card.state && card.life < known.card.life => {
                self.doubt(now, &card.name);
            }
            Some(_) => {}
        }
    }

    /// Others speak ill of a peer by an older word than is known here. Either they have missed the newer one, which
    /// then travels again; or it has died since, and nobody but this router still thinks otherwise: at a hundred
    /// routers its turn to be pinged would come 25 s later.
    fn doubt(&mut self, now: Duration, name: &PeerName) {
        let tells = self.most_tells();
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.heard + PERIOD * 2 > now {
            peer.tells = tells;
        } else if peer.card.state < MemberState::Suspect && self.turn.last() != Some(name) {
            // Moved to the end, which is next: it stands there once.
            self.turn.retain(|other| other != name);
            self.turn.push(name.clone());
        }
    }

    fn change(
        &mut self,
        now: Duration,
        name: &PeerName,
        life: MemberVersion,
        state: MemberState,
        host: &mut impl Host,
    ) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let was = peer.card.state;
        (peer.card.life, peer.card.state) = (life, state);
        self.announce(now, name, Some(was), host);
    }

    /// What has changed about a peer travels from here on.
    fn announce(&mut self, now: Duration, name: &PeerName, was: Option<MemberState>, host: &mut impl Host) {
        let tells = self.most_tells();
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.tells = tells;
        let (life, state) = (peer.card.life, peer.card.state);
        if was != Some(state) {
            peer.since = now;
            host.tell(Event::PeerChanged { peer: name.clone(), life, was, state });
        }
    }

    fn has_room(&mut self, name: &PeerName, host: &mut impl Host) -> bool {
        if self.peers.len() < MOST_PEERS {
            self.too_many_told = false;
            return true;
        }
        let gone = self.peers.iter().filter(|(_, peer)| !peer.card.state.is_there());
        let oldest = gone.min_by_key(|(_, peer)| peer.since).map(|(name, _)| name.clone());
        match oldest {
            Some(oldest) => self.peers.remove(&oldest).is_some(),
            None => {
                if !std::mem::replace(&mut self.too_many_told, true) {
                    host.tell(Event::TooManyPeers(name.clone()));
                }
                false
            }
        }
    }

    /// A letter under the own name: from a later process elsewhere, or one that runs on after this started.
    fn meet_namesake(&mut self, other: &MemberRecord, host: &mut impl Host) {
        if other.life.incarnation > self.me.life.incarnation && other.address != self.me.address {
            self.give_way(other, host);
        }
    }

    /// What others say of this router.
    fn hear_of_me(&mut self, card: &MemberRecord, host: &mut impl Host) {
        let mine = self.me.life;
        if card.life.incarnation > mine.incarnation {
            if card.address == self.me.address {
                // An earlier process here, by a clock that has gone back since: nothing else runs at this
                // address, so that is over.
                self.me.life =
                    MemberVersion { incarnation: Incarnation(card.life.incarnation.0 + 1), version: 0 };
                self.tells = self.most_tells();
                host.tell(Event::Contradicted(card.state));
            } else if card.state.is_there() {
                self.give_way(card, host);
            } else if self.displaced.as_ref().is_some_and(|other| other.life <= card.life) {
                self.displaced = None;
                self.me.life =
                    MemberVersion { incarnation: Incarnation(card.life.incarnation.0 + 1), version: 0 };
                self.tells = self.most_tells();
                host.tell(Event::Restored);
            }
        } else if card.life.incarnation == mine.incarnation
            && card.state > self.me.state
            && card.life.version >= mine.version
            && card.state >= MemberState::Suspect
        {
            self.me.life.version = card.life.version;
            self.bump();
            host.tell(Event::Contradicted(card.state));
        }
    }

    fn give_way(&mut self, other: &MemberRecord, host: &mut impl Host) {
        let told = self.displaced.replace(other.clone());
        if told.is_none_or(|told| told.life.incarnation != other.life.incarnation) {
            host.tell(Event::Displaced(other.address));
        }
    }

    /// The own word is newer than what has been said so far.
    fn bump(&mut self) {
        self.me.life.version += 1;
        self.tells = self.most_tells();
    }

    fn most_tells(&self) -> u32 {
        TELLS * (self.peers.len() as u32 + 2).ilog2().max(1)
    }

    fn names_there(&self) -> Vec<PeerName> {
        self.there().map(|card| card.name.clone()).collect()
    }

    fn number(&mut self) -> PingNumber {
        self.last_number = PingNumber(self.last_number.0.wrapping_add(1));
        self.last_number
    }

    /// To a peer, with the cards that it should see most.
    pub fn send_to(&mut self, name: &PeerName, body: GossipBody, host: &mut impl Host) {
        let Some(peer) = self.peers.get(name) else { return };
        let (to, session) = (peer.card.address, Some(peer.card.life.incarnation));
        let mut cards: Vec<MemberRecord> = Vec::new();
        if peer.card.state >= MemberState::Suspect {
            cards.push(peer.card.clone());
        }
        let mut news: Vec<(u32, &PeerName)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.tells > 0)
            .map(|(name, peer)| (peer.tells, name))
            .collect();
        // What has been told least comes first; of equals the order of names.
        news.sort_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(other.1)));
        let picked: Vec<PeerName> = news
            .into_iter()
            .map(|(_, other)| other.clone())
            .filter(|other| other != name)
            .take(CARDS_ALONG)
            .collect();
        for other in picked {
            if let Some(peer) = self.peers.get_mut(&other) {
                peer.tells -= 1;
                cards.push(peer.card.clone());
            }
        }
        self.send(to, session, body, cards, host);
    }

    fn send(
        &mut self,
        to: SocketAddr,
        session: Option<Incarnation>,
        body: GossipBody,
        cards: Vec<MemberRecord>,
        host: &mut impl Host,
    ) {
        if to == self.me.address || (self.displaced.is_some() && body != GossipBody::JoinRequest) {
            // One that has given way only asks: its words would pass for the other's.
            return;
        }
        host.send(to, session, GossipMessage { from: self.me.clone(), body, cards });
    }
}
