//! A router's side: whom it follows, what it knows by them, and what it does while none speaks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Shortest;
use crate::copy::Cover;
use crate::health_check_quota::{HealthCheckQuota, QuotaParams};
use crate::host::{Event, FeedObservation, Host};
use crate::message::{CHANGES_ALONG, Digest, DigestNo, Message, PARTITIONS, PartitionId, Revision};
use crate::preference::{ControlInstance, line};
use crate::publisher_replica::{PublisherReplica, Start};

/// So many control instances are followed, and one more while it takes another's place.
const FOLLOWED: usize = 2;
/// Copies of so many others are kept for when they speak again.
const RESTING: usize = 2;
const TICK: Duration = Duration::from_millis(50);
/// A timer that fires so long after the last time was held up with its process.
const HELD_UP: Duration = Duration::from_millis(200);
/// One that has sent no digest for so many of their intervals is lost.
const SILENT: u32 = 5;
/// How often a subscription is said again, and at first, until the other speaks.
const ASK_EVERY: Duration = Duration::from_secs(1);
const ASK_FIRST: Duration = Duration::from_millis(400);
/// One that has not spoken by then is taken for gone.
const PATIENCE: Duration = Duration::from_millis(1500);
/// How long one that is gone is left alone: twice as long each time, up to this many times; the first while alone.
const LEFT_ALONE: Duration = Duration::from_millis(750);
const LEFT_ALONE_MOST: u32 = 16;
/// How long one that has no room is left alone.
const FULL: Duration = Duration::from_secs(10);
/// When the one that stands further in front is tried again, about.
const RETURN: Duration = Duration::from_secs(10);
/// The first digests tell only how long the way is. Those that come within half of their interval count as one: they
/// may have waited for this router together.
const MEASURED: u32 = 2;
/// One whose way was so much shorter than any before it shows that they had waited somewhere, and it may have as well:
/// it only measures.
const QUICKER: Duration = Duration::from_millis(50);
/// A digest that is later than this is worth nothing; nor is what it says of the way.
const LATEST: Duration = Duration::from_secs(2);
/// No datagram is under way for so long: which start of one was the last does not matter any more. Its copy may still be
/// of use for a while: where nothing has changed, none need be fetched anew.
const REMEMBERED: Duration = Duration::from_secs(10);
const KEPT: Duration = Duration::from_secs(60);
/// So many parts are asked for at a time, again after this, and twice as long after each further try, up to a bound that
/// no chance goes beyond: a part whose copy has been lost several times over ages meanwhile. A publisher notes a part once
/// however often it is asked for, and paces what it sends.
const IN_FLIGHT: usize = 16;
const PULL_AGAIN: Duration = Duration::from_millis(600);
const PULL_MOST: Duration = Duration::from_millis(1600);
/// What chance leaves of it: the first answer has 400 ms.
const PULL_LEAST: f64 = 2.0 / 3.0;
/// A second copy of what one has told is asked for after once to twice this, when the rush is over.
const SECOND_COPY: Duration = Duration::from_secs(3);
/// Periods beyond these are nobody's.
const LEAST_PERIOD: Duration = Duration::from_millis(1);
const MOST_PERIOD: Duration = Duration::from_secs(3600);
/// What has been told counts as known for so long, and no control instance speaking for as long is told to people.
const TOLD_FOR: Duration = Duration::from_secs(1);

/// What a subscriber is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberParams {
    /// Control instances of this region go first.
    pub region: Option<String>,
    /// The time between two digests.
    pub every: Duration,
    /// How often each database is probed, and about how many routers there are, as long as none has said so.
    pub period: Duration,
    pub routers: u32,
}

struct Pull {
    /// When it is asked for, or asked for again.
    due: Duration,
    tries: u32,
}

/// A control instance that is followed, or has been.
struct Followed {
    control: ControlInstance,
    /// Since when, and when the last digest came since then.
    since: Duration,
    heard: Option<Duration>,
    /// When the last came that was taken at any time, or since when it is known.
    spoke: Duration,
    ask: Duration,
    told: PublisherReplica,
    /// The way of its digests, how many came since then, and when the last of these was counted.
    way: Shortest,
    digests: u32,
    counted: Option<Duration>,
    /// The parts that its last digest names another revision of.
    pulls: BTreeMap<PartitionId, Pull>,
    /// From when on it may be asked for a copy although there is one of another's.
    second: Option<Duration>,
}

/// One that has been in vain.
#[derive(Clone, Copy)]
struct Gone {
    until: Duration,
    times: u32,
}

pub struct Subscriber<H: Host> {
    host: H,
    me: PeerName,
    plan: SubscriberParams,
    chance: ChaCha8Rng,
    /// All control instances, in the order of preference.
    line: Vec<ControlInstance>,
    followed: Vec<Followed>,
    resting: Vec<Followed>,
    /// The start and the last digest of each that has been followed, and until when.
    heard: BTreeMap<PeerName, ((Incarnation, DigestNo), Duration)>,
    gone: BTreeMap<PeerName, Gone>,
    return_at: Option<Duration>,
    share: HealthCheckQuota,
    /// When a control instance last spoke; whether none does, and whether people know.
    spoken: Duration,
    alone: bool,
    told_alone: bool,
    left: bool,
    /// When the timer fired last.
    ticked: Duration,
}

impl Followed {
    fn speaks(&self, now: Duration, silent: Duration) -> bool {
        self.heard.is_some_and(|heard| heard + silent >= now)
    }

    fn is_whole(&self) -> bool {
        self.told.copy().is_whole()
    }

    fn start(&self) -> Option<Incarnation> {
        self.told.heard().map(|(start, _)| start)
    }

    /// Another process of that name: nothing of the earlier one holds.
    fn start_anew(&mut self) {
        (self.way, self.digests, self.counted, self.second) = (Shortest::default(), 0, None, None);
        self.pulls.clear();
    }
}

impl<H: Host> Subscriber<H> {
    /// `control`: name, address and region of each control instance. Two are followed.
    pub fn new(
        host: H,
        me: PeerName,
        plan: SubscriberParams,
        control: Vec<ControlInstance>,
        seed: u64,
        now: Duration,
    ) -> Self {
        let line = line(&me, plan.region.as_deref(), control);
        let basis = QuotaParams { period: plan.period, routers: plan.routers };
        let mut subscriber = Self {
            host,
            me,
            plan,
            chance: ChaCha8Rng::seed_from_u64(seed),
            line,
            followed: Vec::new(),
            resting: Vec::new(),
            heard: BTreeMap::new(),
            gone: BTreeMap::new(),
            return_at: None,
            share: HealthCheckQuota::new(basis, now),
            spoken: now,
            alone: true,
            told_alone: false,
            left: false,
            ticked: now,
        };
        subscriber.share.begin(now, &mut subscriber.chance);
        let first = subscriber.part_of(TICK);
        subscriber.host.set_timer(first);
        subscriber
    }

    /// Others stand on the list of control instances from now on.
    pub fn control_changed(&mut self, now: Duration, control: Vec<ControlInstance>) {
        self.line = line(&self.me, self.plan.region.as_deref(), control);
        let line = &self.line;
        let listed = |followed: &Followed| line.contains(&followed.control);
        let off: Vec<PeerName> = self
            .followed
            .iter()
            .filter(|followed| !listed(followed))
            .map(|followed| followed.control.name.clone())
            .collect();
        self.resting.retain(listed);
        let named = |name: &PeerName| line.iter().any(|control| control.name == *name);
        self.heard.retain(|name, _| named(name));
        self.gone.retain(|name, _| named(name));
        off.iter().for_each(|name| _ = self.stop_following(name));
        self.resting.retain(|followed| self.line.contains(&followed.control));
        self.return_at = None;
        self.look(now);
    }

    /// The databases there are. Nothing is said of any other.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        self.share.nodes_changed(now, nodes);
    }

    /// A message that is authentic and not one that came before.
    pub fn message_arrived(&mut self, now: Duration, from: &PeerName, start: Incarnation, message: Message) {
        if self.left {
            return;
        }
        let Some(place) = self.followed.iter().position(|followed| followed.control.name == *from) else {
            return;
        };
        let followed = &mut self.followed[place];
        match followed.told.came(start) {
            Start::Earlier => return,
            Start::Same => {}
            Start::Later => {
                followed.start_anew();
                followed.ask = now;
            }
        }
        match message {
            Message::Digest(digest) => self.digest(now, place, digest),
            Message::Chunk(chunk) => followed.told.copy_mut().chunk(chunk),
            Message::Full => self.give_up(now, from, FULL),
            Message::Leaving => self.give_up(now, from, LEFT_ALONE * 4),
            // What a router says is no matter of another's.
            Message::Subscribe | Message::Renew | Message::Unsubscribe | Message::Pull(_) => {}
        }
    }

    fn digest(&mut self, now: Duration, place: usize, digest: Digest) {
        let Digest { number, sent, age, watermarks, revisions, changes, period, routers } = digest;
        let grace = self.plan.every * 2;
        let followed = &mut self.followed[place];
        let name = followed.control.name.clone();
        let whole = revisions.len() == PARTITIONS && changes.len() <= CHANGES_ALONG;
        if !whole || !followed.told.count(number) {
            return;
        }
        let quicker = followed.way.quicker(now, sent);
        let late = followed.way.late(now, sent);
        if late > LATEST {
            return;
        }
        if followed.counted.is_none_or(|at| at + self.plan.every / 2 <= now) {
            (followed.digests, followed.counted) = (followed.digests.saturating_add(1), Some(now));
        }
        followed.spoke = now;
        if followed.heard.replace(now).is_none() {
            // Answered at once: until then it is told on trial.
            followed.ask = now;
            self.gone.remove(&name);
            self.host.tell(Event::Following(name));
            self.ask(now);
        }
        self.spoken = now;
        self.share
            .basis_changed(now, QuotaParams { period: period.clamp(LEAST_PERIOD, MOST_PERIOD), routers });
        self.look(now);
        let followed = &mut self.followed[place];
        if followed.digests <= MEASURED || quicker > QUICKER {
            return;
        }
        // What was late is as much older: the age counts from the sending.
        let at = now.saturating_sub(late).saturating_sub(age);
        let copy = followed.told.copy_mut();
        let mut named = copy.change(changes, at);
        named.extend(copy.cover(&revisions, Cover { number, at, watermarks }));
        for (part, revision) in (0..).map(PartitionId).zip(&revisions) {
            let own = copy.revision(part);
            if own >= *revision {
                followed.pulls.remove(&part);
            } else if *revision != Revision::default() {
                // A change that was missed is told again soon; only then is the part asked for.
                let after = if own == Revision::default() { Duration::ZERO } else { grace };
                let due = now + after.mul_f64(self.chance.random_range(1.0..2.0));
                followed.pulls.entry(part).or_insert(Pull { due, tries: 0 });
            }
        }
        for node in named {
            if self.share.is_listed(node)
                && let Some(word) = copy.word(node)
            {
                self.host.learnt(word);
            }
        }
    }

    pub fn timer_fired(&mut self, now: Duration) {
        if self.left {
            return;
        }
        let held_up = now.saturating_sub(self.ticked) >= HELD_UP;
        self.ticked = now;
        if held_up {
            // It reads first what has come meanwhile, and would else take its own silence for that of others.
            return self.host.set_timer(TICK);
        }
        self.lose_silent(now);
        self.look(now);
        self.follow_enough(now);
        self.go_back(now);
        self.ask(now);
        self.pull(now);
        self.host.set_timer(TICK);
    }

    fn silent(&self) -> Duration {
        self.plan.every * SILENT
    }

    /// Those that have been silent for too long are lost.
    fn lose_silent(&mut self, now: Duration) {
        let silent = self.silent();
        let over = |followed: &&Followed| match followed.heard {
            Some(heard) => heard + silent < now,
            None => followed.since + PATIENCE < now,
        };
        let lost: Vec<PeerName> =
            self.followed.iter().filter(over).map(|followed| followed.control.name.clone()).collect();
        for name in lost {
            let alone = !self.followed.iter().any(|followed| followed.speaks(now, silent));
            let times = self.gone.get(&name).map_or(1, |gone| (gone.times * 2).min(LEFT_ALONE_MOST));
            let times = if alone { 1 } else { times };
            self.give_up(now, &name, LEFT_ALONE * times);
            if let Some(gone) = self.gone.get_mut(&name) {
                gone.times = times;
            }
        }
    }

    /// It is no more followed, and left alone for about so long.
    fn give_up(&mut self, now: Duration, name: &PeerName, about: Duration) {
        let until = now + about.mul_f64(self.chance.random_range(0.75..1.5));
        let times = self.gone.get(name).map_or(1, |gone| gone.times);
        self.gone.insert(name.clone(), Gone { until, times });
        if self.stop_following(name) {
            self.host.tell(Event::Lost(name.clone()));
        }
        self.look(now);
    }

    /// Whether it had spoken. What is known by it is kept for a while: it may speak again.
    fn stop_following(&mut self, name: &PeerName) -> bool {
        let Some(place) = self.followed.iter().position(|followed| followed.control.name == *name) else {
            return false;
        };
        let mut followed = self.followed.remove(place);
        if let Some(start) = followed.start() {
            self.host.send(followed.control.address, Some(start), Message::Unsubscribe);
        }
        let spoke = followed.heard.take().is_some();
        if let Some(heard) = followed.told.heard() {
            self.heard.insert(name.clone(), (heard, followed.spoke));
            followed.pulls.clear();
            self.resting.push(followed);
            if self.resting.len() > RESTING {
                self.resting.remove(0);
            }
        }
        spoke
    }

    /// Notes whether any control instance speaks.
    fn look(&mut self, now: Duration) {
        let silent = self.silent();
        let speaks = self.followed.iter().any(|followed| followed.speaks(now, silent));
        if self.alone && speaks && std::mem::take(&mut self.told_alone) {
            self.host.tell(Event::NotAlone);
        }
        if !self.alone && !speaks {
            self.share.begin(now, &mut self.chance);
        }
        self.alone = !speaks;
        if self.alone && !self.told_alone && self.spoken + TOLD_FOR < now {
            self.told_alone = true;
            self.host.tell(Event::Alone);
        }
    }

    /// As many are followed as should be: the next in line that are not known to be gone.
    fn follow_enough(&mut self, now: Duration) {
        while self.followed.len() < FOLLOWED {
            let free = |control: &&ControlInstance| {
                !self.follows(&control.name) && !self.is_gone(now, &control.name)
            };
            let Some(next) = self.line.iter().find(free).cloned() else { return };
            self.follow(now, next);
        }
    }

    /// Whether its digests are taken.
    pub fn follows(&self, name: &PeerName) -> bool {
        self.followed.iter().any(|followed| followed.control.name == *name)
    }

    fn is_gone(&self, now: Duration, name: &PeerName) -> bool {
        self.gone.get(name).is_some_and(|gone| gone.until > now)
    }

    fn follow(&mut self, now: Duration, control: ControlInstance) {
        self.heard.retain(|_, (_, at)| *at + REMEMBERED > now);
        self.resting.retain(|rested| rested.spoke + KEPT > now);
        let told = self
            .heard
            .get(&control.name)
            .map_or_else(PublisherReplica::default, |(heard, _)| PublisherReplica::after(*heard));
        let rested = self.resting.iter().position(|rested| rested.control == control);
        let followed = match rested.map(|place| self.resting.remove(place)) {
            Some(mut rested) => {
                if rested.spoke + REMEMBERED <= now {
                    rested.told.was_silent();
                }
                // The way may be another by now.
                let way = Shortest::default();
                Followed { since: now, ask: now, digests: 0, counted: None, way, second: None, ..rested }
            }
            None => Followed {
                control,
                since: now,
                heard: None,
                spoke: now,
                ask: now,
                told,
                way: Shortest::default(),
                digests: 0,
                counted: None,
                pulls: BTreeMap::new(),
                second: None,
            },
        };
        self.followed.push(followed);
    }

    /// Where others stand further in front than those that are followed, the first of them is followed too after a
    /// while, and takes the place of the last once it is known what it knows.
    fn go_back(&mut self, now: Duration) {
        let place = |name: &PeerName| self.line.iter().position(|control| control.name == *name);
        let last = self.followed.iter().filter_map(|followed| place(&followed.control.name)).max();
        let Some(last) = last else { return };
        if self.followed.len() > FOLLOWED {
            let whole = self.followed.iter().all(|followed| followed.is_whole());
            if whole && let Some(control) = self.line.get(last) {
                let name = control.name.clone();
                self.stop_following(&name);
                self.return_at = None;
            }
            return;
        }
        let better = self.line.iter().take(last).find(|control| !self.follows(&control.name)).cloned();
        let (Some(better), FOLLOWED) = (better, self.followed.len()) else {
            self.return_at = None;
            return;
        };
        match self.return_at {
            None => self.return_at = Some(now + RETURN.mul_f64(self.chance.random_range(0.5..1.5))),
            Some(at) if at <= now && !self.is_gone(now, &better.name) => {
                self.return_at = None;
                self.follow(now, better);
            }
            Some(_) => {}
        }
    }

    /// Subscriptions are said again and again, by the other's start as soon as it has spoken.
    fn ask(&mut self, now: Duration) {
        for followed in &mut self.followed {
            if followed.ask > now {
                continue;
            }
            let start = followed.start().filter(|_| followed.heard.is_some());
            let again = if start.is_some() { ASK_EVERY } else { ASK_FIRST };
            followed.ask = now + again.mul_f64(self.chance.random_range(0.8..1.2));
            let message = if start.is_some() { Message::Renew } else { Message::Subscribe };
            self.host.send(followed.control.address, start, message);
        }
    }

    /// Parts whose copy is not as the digests say are asked for, a few at a time.
    fn pull(&mut self, now: Duration) {
        let (silent, whole) = (self.silent(), self.is_whole());
        let speaking: Vec<usize> =
            (0..self.followed.len()).filter(|place| self.followed[*place].speaks(now, silent)).collect();
        for (turn, place) in speaking.iter().enumerate() {
            let covered = |part: PartitionId| {
                let others = speaking.iter().filter(|other| *other != place);
                others.clone().any(|other| self.followed[*other].told.copy().is_covered(part))
            };
            let followed = &self.followed[*place];
            let asked = followed.pulls.values().filter(|pull| pull.tries > 0 && pull.due > now).count();
            // Of a part that nobody has told yet, a copy is fetched from one of them first: two would take twice as
            // long. The other's follows when the rush is over, and so does any second copy.
            let (second, waited) = (followed.second, followed.since + SECOND_COPY <= now);
            let may = |part: PartitionId| {
                let again = followed.told.copy().revision(part) != Revision::default();
                let turn = usize::from(part.0) % speaking.len() == turn;
                again || if covered(part) { second.is_some_and(|at| at <= now) } else { turn || waited }
            };
            let due = followed.pulls.iter().filter(|(part, pull)| pull.due <= now && may(**part));
            let mut due: Vec<(u32, PartitionId)> = due.map(|(part, pull)| (pull.tries, *part)).collect();
            // What has been asked for in vain does not keep the others waiting.
            due.sort_unstable();
            let room = IN_FLIGHT.saturating_sub(asked);
            let parts: Vec<PartitionId> = due.into_iter().take(room).map(|(_, part)| part).collect();
            let later = SECOND_COPY.mul_f64(self.chance.random_range(1.0..2.0));
            let followed = &mut self.followed[*place];
            if whole {
                followed.second.get_or_insert(now + later);
            }
            for part in &parts {
                let Some(pull) = followed.pulls.get_mut(part) else { continue };
                let again = PULL_AGAIN.saturating_mul(1 << pull.tries.min(16)).min(PULL_MOST);
                pull.due = now + again.mul_f64(self.chance.random_range(PULL_LEAST..1.0));
                pull.tries = pull.tries.saturating_add(1);
            }
            if !parts.is_empty() {
                self.host.send(followed.control.address, followed.start(), Message::Pull(parts));
            }
        }
    }

    /// What may be believed of a database by now: the best of what is followed, and of what was.
    pub fn known(&self, _now: Duration, node: SocketAddr) -> Option<FeedObservation> {
        if !self.share.is_listed(node) {
            return None;
        }
        let all = self.followed.iter().chain(&self.resting);
        all.filter_map(|followed| followed.told.copy().word(node)).max_by_key(|word| word.at)
    }

    /// Whether this router may probe a database now. While it is told of it: only where `alone` (nobody else's probe
    /// is of use). While no control instance speaks, or none that has seen it: within its own paced share.
    pub fn claim_health_check(&mut self, now: Duration, node: SocketAddr, alone: bool) -> bool {
        if self.left {
            return false;
        }
        self.look(now);
        let word = self.known(now, node).filter(|_| !self.alone);
        let told = word.is_some_and(|word| word.failed || word.at + TOLD_FOR >= now);
        if told && !alone {
            return false;
        }
        let news = word.filter(|word| !word.failed).map(|word| word.at);
        self.share.claim(now, node, news, &mut self.chance)
    }

    pub fn is_alone(&self) -> bool {
        self.alone
    }

    /// Says goodbye. Nothing is asked for from then on.
    pub fn leave(&mut self, _now: Duration) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        for followed in self.followed.iter().filter(|followed| followed.start().is_some()) {
            self.host.send(followed.control.address, followed.start(), Message::Unsubscribe);
        }
    }

    /// About the bytes that all this takes, by count and size of what it holds.
    pub fn state_bytes(&self) -> usize {
        let all = self.followed.iter().chain(&self.resting);
        let of = |one: &Followed| {
            size_of::<Followed>()
                + one.told.copy().state_bytes()
                + one.pulls.len() * size_of::<(PartitionId, Pull)>()
        };
        let control = self.line.len() * (size_of::<ControlInstance>() + 2 * size_of::<PeerName>());
        size_of::<Self>() + control + all.map(of).sum::<usize>() + self.share.state_bytes()
    }

    /// How many databases the copies name, those kept for later too, and how many entries wait for the rest of theirs.
    pub fn kept(&self) -> (usize, usize) {
        let all = self.followed.iter().chain(&self.resting).map(|followed| followed.told.copy().len());
        all.fold((0, 0), |sum, (named, waiting)| (sum.0 + named, sum.1 + waiting))
    }

    /// Whether all there is to know has been told by those who speak, by one or another.
    pub fn is_whole(&self) -> bool {
        let speaking = || self.followed.iter().filter(|followed| followed.heard.is_some());
        (0..PARTITIONS as u8).all(|part| speaking().any(|one| one.told.copy().is_covered(PartitionId(part))))
    }

    pub fn follows_by(&self) -> impl Iterator<Item = &PeerName> {
        self.followed
            .iter()
            .filter(|followed| followed.heard.is_some())
            .map(|followed| &followed.control.name)
    }

    fn part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.chance.random_range(0.0..1.0))
    }
}
