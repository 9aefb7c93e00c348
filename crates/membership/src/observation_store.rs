//! What has been found out about nodes: own findings on their way to the peers, and what peers have told.
//!
//! What a peer's word may do is settled here. A position in it lets a read try a replica, no more: the answer's own
//! position then decides (the decision module's matter). A role in it says where to look. A failure is a reason to
//! look for oneself, and counts only once several routers have failed by themselves. A peer whose word a node's
//! own answer contradicts is not believed for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::fast_hash_map::FastHashMap;
use crate::host::DatedObservation;
use crate::ids::PeerName;
use crate::message::{NEWS_ALONG, NEWS_ROOM, Observation};

/// Older news than this is of no use to anybody.
pub const OLDEST: Duration = Duration::from_secs(10);
/// Failures count together that lie no further apart.
const VOICES_WITHIN: Duration = Duration::from_secs(2);
/// So many routers must have failed by themselves.
const VOICES: usize = 2;
/// How long a peer is not believed that a node has contradicted.
const DISTRUST: Duration = Duration::from_secs(60);
/// A position is rounded to the millisecond by some and not by others.
const ROUNDING: Duration = Duration::from_millis(2);
/// About the bytes of a letter, and of each piece of news in it.
const LETTER_BYTES: f64 = 160.0;
pub const NEWS_BYTES: f64 = 40.0;
/// So many seconds of the budget may be saved up.
const SAVED: f64 = 0.25;

/// A finding, dated on this router's clock.
#[derive(Clone, Debug, PartialEq)]
struct Found {
    at: Duration,
    news: Observation,
}

#[derive(Default)]
struct Known {
    /// The newest finding of this router.
    own: Option<Found>,
    /// The newest word of a peer that was an answer.
    told: Option<Found>,
    /// Whose word brought the highest position told, that, and when it was found out at the latest.
    highest: Option<(PeerName, Duration, Duration)>,
    /// Who has failed to reach it of late, this router too.
    failures: BTreeMap<PeerName, Duration>,
}

/// What is to be done about a piece of news.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// It is of use, for the record.
    Believed(DatedObservation),
    /// A reason to look for oneself.
    Doubt,
    /// Old, of an unknown node, or from one who is not believed.
    Dropped,
}

pub struct ObservationStore {
    me: PeerName,
    /// By hash, as each piece of news looks one up; the record goes by address.
    nodes: FastHashMap<SocketAddr, Known>,
    /// Own findings that have not been sent.
    fresh: BTreeSet<SocketAddr>,
    distrusted: BTreeMap<PeerName, Duration>,
    /// The budget in bytes a second, what is saved of it, and when that was counted.
    rate: f64,
    saved: f64,
    counted: Duration,
}

/// What an answer that a peer tells of shows; what lies ahead of this router's clock shows nothing.
fn evidence(now: Duration, at: Duration, news: &Observation) -> DatedObservation {
    let &Observation { node, position, primary, waiting, started, .. } = news;
    let past = |time: &Duration| *time <= now;
    let (position, started) = (position.filter(past), started.filter(past));
    DatedObservation { node, at, position, primary, waiting, started, failed: false }
}

impl ObservationStore {
    /// `rate` is in bytes a second, to all peers together.
    pub fn new(me: PeerName, rate: f64, now: Duration) -> Self {
        Self {
            me,
            nodes: FastHashMap::default(),
            fresh: BTreeSet::new(),
            distrusted: BTreeMap::new(),
            rate,
            saved: rate * SAVED,
            counted: now,
        }
    }

    /// From now on so many bytes a second may be told.
    pub fn budget_changed(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// The nodes there are. Nothing is kept of any other.
    pub fn nodes_changed(&mut self, nodes: &BTreeSet<SocketAddr>) {
        self.nodes.retain(|node, _| nodes.contains(node));
        self.fresh.retain(|node| nodes.contains(node));
        for node in nodes {
            self.nodes.entry(*node).or_default();
        }
    }

    /// This router found this out itself, by what it asked at `asked`. Names the peer whose word it contradicts,
    /// if it does.
    pub fn found(&mut self, now: Duration, asked: Duration, news: Observation) -> Option<PeerName> {
        let known = self.nodes.get_mut(&news.node)?;
        if news.failed {
            known.failures.insert(self.me.clone(), now);
        } else {
            known.failures.clear();
        }
        self.fresh.insert(news.node);
        let said = news.position;
        known.own = Some(Found { at: now, news });
        // A log position never falls, so one that was told before the node was asked, and lies above what it then
        // said, was made up. Without the former an answer that is long in coming would make liars.
        let lied = |(_, told, at): &mut (PeerName, Duration, Duration)| {
            *at <= asked && said.is_some_and(|said| said + ROUNDING < *told)
        };
        let (liar, _, _) = known.highest.take_if(lied)?;
        // Whoever asks what was told last must not hear it again.
        known.told = None;
        self.distrusted.insert(liar.clone(), now + DISTRUST);
        Some(liar)
    }

    /// A peer says this.
    pub fn told(&mut self, now: Duration, by: &PeerName, news: Observation) -> Verdict {
        if self.distrusted.get(by).is_some_and(|until| *until > now) || news.age > OLDEST {
            return Verdict::Dropped;
        }
        self.distrusted.remove(by);
        let at = now.saturating_sub(news.age);
        let Some(known) = self.nodes.get_mut(&news.node) else { return Verdict::Dropped };
        let mut evidence = evidence(now, at, &news);
        if news.failed {
            // What was heard of the node since outweighs it.
            let heard = known.own.iter().chain(&known.told).any(|found| found.at > at && !found.news.failed);
            if heard {
                return Verdict::Dropped;
            }
            known.failures.insert(by.clone(), at);
            known.failures.retain(|_, failed| *failed + VOICES_WITHIN >= now);
            evidence.failed = known.failures.len() >= VOICES;
            return if evidence.failed { Verdict::Believed(evidence) } else { Verdict::Doubt };
        }
        if let Some(position) = evidence.position {
            match &mut known.highest {
                Some((_, highest, _)) if *highest >= position => {}
                // Mostly it is the one who told the one before: no other name is made for each piece of news.
                Some((teller, highest, since)) if teller == by => (*highest, *since) = (position, at),
                highest => *highest = Some((by.clone(), position, at)),
            }
        }
        known.failures.retain(|_, failed| *failed > at);
        if known.told.as_ref().is_none_or(|told| told.at <= at) {
            known.told = Some(Found { at, news });
        }
        Verdict::Believed(evidence)
    }

    /// What peers have told of a node last, where that is of use yet.
    pub fn latest_observation(&self, now: Duration, node: SocketAddr) -> Option<DatedObservation> {
        let Found { at, news } = self.nodes.get(&node)?.told.as_ref()?;
        (now.saturating_sub(*at) <= OLDEST).then(|| evidence(now, *at, news))
    }

    /// Own findings that are due to be sent to so many peers, newest first, in letters; what the budget does not
    /// allow now waits, and what is too old by then is never sent.
    pub fn outgoing(&mut self, now: Duration, peers: usize) -> Vec<Vec<Observation>> {
        let passed = now.saturating_sub(self.counted).as_secs_f64();
        (self.saved, self.counted) = ((self.saved + self.rate * passed).min(self.rate * SAVED), now);
        if peers == 0 {
            // Whoever comes is told the record.
            self.fresh.clear();
            return Vec::new();
        }
        self.fresh.retain(|node| self.nodes[node].own.as_ref().is_some_and(|found| found.at + OLDEST > now));
        let mut due: Vec<(Duration, SocketAddr)> = Vec::new();
        for node in &self.fresh {
            due.extend(self.nodes[node].own.as_ref().map(|found| (found.at, *node)));
        }
        due.sort_by(|one, other| other.cmp(one));
        let (mut letters, mut room): (Vec<Vec<Observation>>, usize) = (Vec::new(), 0);
        for part in due.chunks(NEWS_ALONG) {
            let bytes = (LETTER_BYTES + NEWS_BYTES * part.len() as f64) * peers as f64;
            // A budget too small for one letter would send none ever.
            if self.saved < bytes.min(self.rate * SAVED) {
                break;
            }
            self.saved -= bytes;
            part.iter().for_each(|(_, node)| _ = self.fresh.remove(node));
            for news in self.letter(now, part.iter().map(|(_, node)| *node), false) {
                // Each letter costs its sender a call of the system for each peer, and each receiver another.
                let bytes = news.bytes();
                match letters.last_mut() {
                    Some(last) if bytes <= room => last.push(news),
                    _ => {
                        letters.push(vec![news]);
                        room = NEWS_ROOM;
                    }
                }
                room = room.saturating_sub(bytes);
            }
        }
        letters
    }

    /// All that is known and not too old, for one who starts or comes back, in letters. Failures are not told:
    /// only who has failed itself may say so.
    pub fn record(&self, now: Duration) -> Vec<Vec<Observation>> {
        let mut nodes: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        nodes.sort_unstable();
        let letters = nodes.chunks(NEWS_ALONG).map(|part| self.letter(now, part.iter().copied(), true));
        letters.filter(|letter| !letter.is_empty()).collect()
    }

    fn letter(
        &self,
        now: Duration,
        nodes: impl Iterator<Item = SocketAddr>,
        whole: bool,
    ) -> Vec<Observation> {
        let pick = |known: &Known| -> Option<Observation> {
            let told = known.told.as_ref().filter(|_| whole);
            let all = known.own.iter().chain(told).filter(|found| !whole || !found.news.failed);
            let Found { at, news } = all.max_by_key(|found| found.at)?;
            let age = now.saturating_sub(*at);
            (age <= OLDEST).then(|| Observation { age, ..news.clone() })
        };
        nodes.filter_map(|node| pick(&self.nodes[&node])).collect()
    }

    /// In bytes, without what an allocator adds.
    pub fn state_bytes(&self) -> usize {
        let voices: usize = self.nodes.values().map(|known| known.failures.len()).sum();
        self.nodes.len() * size_of::<(SocketAddr, Known)>()
            + self.fresh.len() * size_of::<SocketAddr>()
            + (voices + self.distrusted.len()) * size_of::<(PeerName, Duration)>()
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}
