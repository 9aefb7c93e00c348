//! What a control instance knows of each database, and how that stands in the copy that it tells.
//!
//! The copy changes only when it is revised, right before a digest, and by no more than that digest can tell. So a
//! chunk of a copy and a digest of the same revision say the same, whichever comes first, and a burst of changes
//! is told in order instead of making every copy useless at once. What has to wait does no harm: one that is better
//! than its entry says is an exception a little longer; a part with one that is worse than its entry says, being
//! silent, is not spoken for until its turn comes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::DatedObservation;

use crate::encoded_size;
use crate::message::{
    CHANGES_ALONG, CLASSES, Change, Chunk, Digest, ENTRIES_ALONG, Entry, LagClass, NodeStatus, PARTITIONS,
    PartitionId, Revision,
};
use crate::sorted_table::SortedTable;

/// A database that has not been seen for so many periods is `Unseen`, come what may, so that it does not age the others.
/// One whose prober has died is seen by the next in line within two and a half.
const SILENT_PERIODS: u32 = 4;
/// One that is later than all others is so sooner, by this part of a period, as long as they are few.
const LATE_PERIODS: f64 = 1.5;
const LATE_MOST: usize = 8;
/// Before a better class of lag is told it must have held for so many periods. One that is seen again is told at once: where
/// a control instance has died, the next in line sees its databases only every second period until it passes for dead.
const BETTER_PERIODS: u32 = 10;
/// A start is told for so long: routers spare a cold database no longer.
pub const YOUNG: Duration = Duration::from_secs(120);
/// A database that nobody has answered for is entered after so many periods all the same.
const UNHEARD_PERIODS: u32 = 4;
/// Each change is told so many times where there is room, and so many are kept for that.
const TELLS: u8 = 3;
const LOG_MOST: usize = 256;

struct Known {
    listed: Duration,
    /// Whether it has left the list, and is to be taken out of the copy.
    gone: bool,
    /// When it last answered, and the newest position that it has shown; whether its last answer showed one.
    at: Option<Duration>,
    position: Option<Duration>,
    shows: bool,
    primary: Option<bool>,
    started: Option<Duration>,
    /// Several have failed to reach it since it last answered.
    failed: bool,
    /// `None` until it is entered in the copy.
    told: Option<Entry>,
    /// Since when it has been better than the copy says, and the worst class of lag since then.
    better: Option<(Duration, LagClass)>,
}

impl Known {
    fn stands_as_seen(&self) -> bool {
        self.told.is_some_and(|entry| matches!(entry.standing, NodeStatus::Seen(_)))
    }
}

#[derive(Default)]
struct Part {
    revision: Revision,
    nodes: SortedTable<SocketAddr, Known>,
    /// Not spoken for: one that stands as seen has been silent, and it cannot be told yet.
    silent: bool,
}

struct Logged {
    change: Change,
    tells: u8,
}

/// How much a change matters; the first are told first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A role, a start, a failure, a database that is listed or no more.
    ByName,
    Worse,
    Better,
}

pub struct ObservationStore {
    period: Duration,
    parts: Vec<Part>,
    log: VecDeque<Logged>,
    /// With which part the next revision begins, so that none waits for ever.
    turn: usize,
}

impl ObservationStore {
    /// `period`: how often each database is probed by all together.
    pub fn new(period: Duration, turn: usize) -> Self {
        let parts = (0..PARTITIONS).map(|_| Part::default()).collect();
        Self { period, parts, log: VecDeque::new(), turn: turn % PARTITIONS }
    }

    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeSet<SocketAddr>) {
        for part in &mut self.parts {
            part.nodes.iter_mut().for_each(|(node, known)| known.gone = !nodes.contains(node));
            part.nodes.retain(|_, known| !known.gone || known.told.is_some());
        }
        let mut of_parts: Vec<Vec<SocketAddr>> = vec![Vec::new(); PARTITIONS];
        nodes.iter().for_each(|node| of_parts[PartitionId::of(*node).0 as usize].push(*node));
        for (part, nodes) in self.parts.iter_mut().zip(of_parts) {
            part.nodes.enter(nodes, || Known {
                listed: now,
                gone: false,
                at: None,
                position: None,
                shows: false,
                primary: None,
                started: None,
                failed: false,
                told: None,
                better: None,
            });
        }
    }

    /// A word that is older than what is known changes nothing.
    pub fn seen(&mut self, now: Duration, evidence: DatedObservation) {
        let part = &mut self.parts[PartitionId::of(evidence.node).0 as usize];
        let Some(known) = part.nodes.get_mut(&evidence.node) else { return };
        let at = evidence.at.min(now);
        if known.at.is_some_and(|known| at < known) {
            return;
        }
        if evidence.failed {
            known.failed = true;
            return;
        }
        (known.at, known.failed, known.shows) = (Some(at), false, evidence.position.is_some());
        known.position = evidence.position.or(known.position);
        known.primary = evidence.primary.or(known.primary);
        known.started = evidence.started.or(known.started);
    }

    /// Takes into the copy what has changed, as far as `room` bytes can tell it; without `told` nobody follows, and
    /// all of it. Whether anything has to wait.
    pub fn revise(&mut self, now: Duration, room: usize, told: bool) -> bool {
        let (silent, late) = (self.period * SILENT_PERIODS, self.period.mul_f64(LATE_PERIODS));
        // The few that are later than all others are told by name; where many are, that is how things are here.
        let is_late = |known: &&Known| known.stands_as_seen() && known.at.is_some_and(|at| at + late < now);
        let lates = self.parts.iter().flat_map(|part| part.nodes.values()).filter(is_late).count();
        let cut = if lates <= LATE_MOST { late } else { silent };
        let mut due: Vec<(Rank, usize, SocketAddr, Option<Entry>)> = Vec::new();
        let mut fresh = [false; PARTITIONS];
        for step in 0..PARTITIONS {
            let place = (self.turn + step) % PARTITIONS;
            let part = &mut self.parts[place];
            fresh[place] = part.revision == Revision::default();
            for (node, known) in part.nodes.iter_mut() {
                if let Some((rank, wanted)) = wanted(known, now, cut, self.period) {
                    due.push((rank, step, *node, wanted));
                }
            }
        }
        self.turn = (self.turn + 1) % PARTITIONS;
        due.sort_by_key(|(rank, step, _, _)| (*rank, *step));
        let (mut left, mut waits) = (room, false);
        let mut count = 0;
        for (_, step, node, wanted) in due {
            let place = (self.turn + PARTITIONS - 1 + step) % PARTITIONS;
            let free = fresh[place] || !told;
            let part = &mut self.parts[place];
            let change = Change { revision: Revision(part.revision.0 + 1), node, entry: wanted };
            let bytes = encoded_size::change(&change);
            if !free && (bytes > left || count >= CHANGES_ALONG) {
                waits = true;
                continue;
            }
            match (wanted, part.nodes.get_mut(&node)) {
                (Some(_), Some(known)) => (known.told, known.better) = (wanted, None),
                _ => part.nodes.remove(&node),
            }
            if fresh[place] {
                // Nobody has a copy of it yet: its first revision has them all.
                continue;
            }
            part.revision = change.revision;
            if told {
                (left, count) = (left - bytes, count + 1);
                self.log.push_back(Logged { change, tells: 0 });
            }
        }
        for (part, fresh) in self.parts.iter_mut().zip(fresh) {
            if fresh {
                part.revision = Revision(1);
            }
            part.silent = part
                .nodes
                .values()
                .any(|known| known.stands_as_seen() && known.at.is_none_or(|at| at + silent < now));
        }
        while self.log.len() > LOG_MOST {
            self.log.pop_front();
        }
        waits
    }

    /// The changes that go along with a digest that has room for so many bytes of them: those that have been told
    /// least, in the order in which they were made.
    pub fn changes(&mut self, room: usize) -> Vec<Change> {
        let mut picked: Vec<usize> = (0..self.log.len()).collect();
        picked.sort_by_key(|place| (self.log[*place].tells, *place));
        let (mut left, mut along) = (room, Vec::new());
        for place in picked {
            let bytes = encoded_size::change(&self.log[place].change);
            if bytes > left || along.len() >= CHANGES_ALONG {
                break;
            }
            left -= bytes;
            self.log[place].tells += 1;
            along.push(place);
        }
        along.sort_unstable();
        let changes = along.into_iter().map(|place| self.log[place].change).collect();
        self.log.retain(|logged| logged.tells < TELLS);
        changes
    }

    /// Fills in what holds at this moment of all that stands as seen in the parts that are spoken for: how old the
    /// oldest is, and the lowest position of each class of lag.
    pub fn fill(&self, now: Duration, digest: &mut Digest) {
        let mut marks = [None; CLASSES];
        let mut oldest = now;
        for (part, revision) in self.parts.iter().zip(&digest.revisions) {
            if *revision == Revision::default() {
                continue;
            }
            for known in part.nodes.values() {
                if let Some(Entry { standing: NodeStatus::Seen(LagClass(class)), .. }) = known.told
                    && let (Some(at), Some(position)) = (known.at, known.position)
                {
                    oldest = oldest.min(at);
                    let mark: &mut Option<Duration> = &mut marks[class as usize];
                    *mark = Some(mark.map_or(position, |mark| mark.min(position)));
                }
            }
        }
        (digest.sent, digest.age, digest.watermarks) = (now, now.saturating_sub(oldest), marks);
    }

    /// What a digest may speak for: the default revision where it says nothing of a part.
    pub fn revisions(&self) -> Vec<Revision> {
        self.parts.iter().map(|part| if part.silent { Revision::default() } else { part.revision }).collect()
    }

    /// What the revisions cannot be beyond after the next revision.
    pub fn highest_revisions(&self) -> Vec<Revision> {
        self.parts.iter().map(|part| Revision(part.revision.0 + CHANGES_ALONG as u32)).collect()
    }

    /// The copy of a part in chunks that fit a datagram each. None before the first revision.
    pub fn copy(&self, part: PartitionId) -> Vec<Chunk> {
        let Some(Part { revision, nodes, .. }) = self.parts.get(part.0 as usize) else { return Vec::new() };
        if *revision == Revision::default() {
            return Vec::new();
        }
        let mut alike: BTreeMap<Entry, Vec<SocketAddr>> = BTreeMap::new();
        for (node, known) in nodes.iter() {
            known.told.into_iter().for_each(|entry| alike.entry(entry).or_default().push(*node));
        }
        let mut chunks: Vec<Vec<(Entry, Vec<SocketAddr>)>> = vec![Vec::new()];
        let (mut left, mut count) = (encoded_size::ROOM, 0);
        for (entry, nodes) in alike {
            let mut begun = false;
            for node in nodes {
                let head = encoded_size::entry(&entry) + 2;
                let bytes = encoded_size::address(node) + if begun { 0 } else { head };
                if bytes > left || count >= ENTRIES_ALONG {
                    chunks.push(Vec::new());
                    (left, count, begun) = (encoded_size::ROOM - head, 0, false);
                }
                let Some(chunk) = chunks.last_mut() else { continue };
                if !std::mem::replace(&mut begun, true) {
                    chunk.push((entry, Vec::new()));
                }
                (left, count) = (left.saturating_sub(bytes), count + 1);
                chunk.last_mut().into_iter().for_each(|(_, nodes)| nodes.push(node));
            }
        }
        let (revision, of) = (*revision, chunks.len() as u16);
        (0..).zip(chunks).map(|(place, alike)| Chunk { part, revision, place, of, alike }).collect()
    }

    /// About the bytes that it takes.
    pub fn state_bytes(&self) -> usize {
        self.parts.len() * size_of::<Part>()
            + self.len() * size_of::<(SocketAddr, Known)>()
            + self.log.len() * size_of::<Logged>()
    }

    /// How many databases are listed.
    pub fn len(&self) -> usize {
        self.parts.iter().map(|part| part.nodes.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What the copy should say of a database now, where it says something else: the change, and how much it matters.
fn wanted(
    known: &mut Known,
    now: Duration,
    cut: Duration,
    period: Duration,
) -> Option<(Rank, Option<Entry>)> {
    if known.gone {
        return Some((Rank::ByName, None));
    }
    let started = known.started.filter(|started| *started + YOUNG > now);
    let stands = if known.failed {
        NodeStatus::Down
    } else {
        match (known.at, known.position) {
            (Some(at), Some(position)) if known.shows && at + cut >= now => {
                NodeStatus::Seen(class(at.saturating_sub(position), period))
            }
            _ => NodeStatus::Unseen,
        }
    };
    let Some(was) = known.told else {
        // One that nobody has heard of is given time to answer, so that a start is no burst of changes.
        let heard = known.at.is_some() || known.failed || known.listed + period * UNHEARD_PERIODS <= now;
        let entry = Entry { primary: known.primary, started, standing: stands };
        return heard.then_some((Rank::ByName, Some(entry)));
    };
    let stood = was.standing;
    // Worse holds at once, better only after a while: one that goes to and fro is told once.
    let (standing, rank) = match (stood, stands) {
        (NodeStatus::Down, NodeStatus::Down) | (NodeStatus::Unseen, NodeStatus::Unseen) => {
            (stood, Rank::Better)
        }
        (NodeStatus::Down, _) | (_, NodeStatus::Down) => (stands, Rank::ByName),
        (NodeStatus::Seen(_), NodeStatus::Unseen) => (stands, Rank::Worse),
        (NodeStatus::Seen(was), NodeStatus::Seen(is)) if is > was => (stands, Rank::Worse),
        (NodeStatus::Seen(was), NodeStatus::Seen(is)) if is == was => (stood, Rank::Better),
        (_, NodeStatus::Seen(is)) => {
            let (since, worst) = known.better.unwrap_or((now, is));
            let worst = worst.max(is);
            let after = if stood == NodeStatus::Unseen { 0 } else { BETTER_PERIODS };
            known.better = Some((since, worst));
            let holds = since + period * after <= now;
            (if holds { NodeStatus::Seen(worst) } else { stood }, Rank::Better)
        }
    };
    if matches!(stands, NodeStatus::Unseen) || stood == stands {
        known.better = None;
    }
    let by_name = known.primary != was.primary || (started != was.started && started.is_some());
    let rank = if by_name { Rank::ByName } else { rank };
    let entry = Entry { primary: known.primary, started, standing };
    (entry != was).then_some((rank, Some(entry)))
}

/// The first class reaches as far behind as a period; the last holds all that is beyond the others.
fn class(lag: Duration, period: Duration) -> LagClass {
    let reaches = |class: &u8| lag <= period * (1 << class);
    LagClass((0..CLASSES as u8).find(reaches).unwrap_or(CLASSES as u8 - 1))
}
