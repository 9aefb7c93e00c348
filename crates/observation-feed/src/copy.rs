//! A router's copy of what one start of one control instance tells.
//!
//! A digest covers a part only if the copy has the revision that it names. What is covered is dated by it; what is
//! not keeps the date that it had. So whatever is missed makes things older and never fresher.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::host::FeedObservation;
use crate::message::{
    CLASSES, Change, Chunk, DigestNo, Entry, LagClass, NodeStatus, PARTITIONS, PartitionId, Revision,
};

/// A part with more databases than this is not kept.
const MOST_IN_PART: usize = 2048;

/// What a digest says of all that stands as seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cover {
    pub number: DigestNo,
    /// When each had been seen last, at the earliest, on the router's clock.
    pub at: Duration,
    pub watermarks: [Option<Duration>; CLASSES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kept {
    entry: Entry,
    /// The last digest that its entry is not from: only a later one covers it.
    after: Option<DigestNo>,
    /// What was known of it before, and of one that is down when that was told.
    before: Option<(Duration, Option<Duration>)>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Part {
    revision: Revision,
    nodes: BTreeMap<SocketAddr, Kept>,
    cover: Option<Cover>,
    /// It was taken over whole, and no digest has covered it since.
    fresh: bool,
    coming: Option<Coming>,
}

/// The chunks that have come of a copy, by their place, and how many there are.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Coming {
    revision: Revision,
    of: u16,
    chunks: BTreeMap<u16, Vec<(SocketAddr, Entry)>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Copy {
    parts: Vec<Part>,
}

impl Default for Copy {
    fn default() -> Self {
        Self { parts: (0..PARTITIONS).map(|_| Part::default()).collect() }
    }
}

impl Part {
    /// By one entry as it stands from now on.
    fn set(&mut self, node: SocketAddr, entry: Entry) {
        let before = self.nodes.get(&node).and_then(|kept| self.dated(kept));
        let after = self.cover.map(|cover| cover.number);
        self.nodes.insert(node, Kept { entry, after, before });
    }

    /// When a database had been seen last at the earliest, and the position that it had shown by then.
    fn dated(&self, kept: &Kept) -> Option<(Duration, Option<Duration>)> {
        match (kept.entry.standing, self.cover) {
            (NodeStatus::Seen(LagClass(class)), Some(cover)) if kept.after < Some(cover.number) => {
                Some((cover.at, cover.watermarks.get(usize::from(class)).copied().flatten()))
            }
            _ => kept.before,
        }
    }

    fn word(&self, node: SocketAddr, kept: &Kept) -> Option<FeedObservation> {
        let (at, position) = self.dated(kept)?;
        let Entry { primary, started, standing } = kept.entry;
        let failed = standing == NodeStatus::Down;
        let position = position.filter(|_| !failed);
        Some(FeedObservation { node, at, position, primary, started, failed })
    }
}

impl Copy {
    /// Takes the changes that follow on the copy, one by one and none left out. Names the databases of which
    /// something else holds by name from now on.
    pub fn change(&mut self, mut changes: Vec<Change>, at: Duration) -> Vec<SocketAddr> {
        changes.sort_by_key(|change| change.revision);
        let mut named = Vec::new();
        for Change { revision, node, entry } in changes {
            let part = &mut self.parts[PartitionId::of(node).0 as usize];
            if part.revision == Revision::default() || Revision(part.revision.0.wrapping_add(1)) != revision {
                continue;
            }
            part.revision = revision;
            let Some(entry) = entry else {
                part.nodes.remove(&node);
                continue;
            };
            let was = part.nodes.get(&node).map(|kept| kept.entry);
            if part.nodes.len() >= MOST_IN_PART && was.is_none() {
                continue;
            }
            part.set(node, entry);
            if let Some(kept) = part.nodes.get_mut(&node)
                && entry.standing == NodeStatus::Down
            {
                kept.before = Some((at, None));
            }
            let down = |entry: Entry| entry.standing == NodeStatus::Down;
            let same = was.is_some_and(|was| {
                let no_start = entry.started.is_none() || entry.started == was.started;
                was.primary == entry.primary && down(was) == down(entry) && no_start
            });
            if !same {
                named.push(node);
            }
        }
        named
    }

    /// Takes what a digest says of the parts whose revision the copy has. Names the databases of parts that have come
    /// whole and of which more is to be said by name than that they are there.
    pub fn cover(&mut self, revisions: &[Revision], cover: Cover) -> Vec<SocketAddr> {
        let mut named = Vec::new();
        for (part, revision) in self.parts.iter_mut().zip(revisions) {
            if *revision == Revision::default() || part.revision != *revision {
                continue;
            }
            part.cover = Some(cover);
            if std::mem::take(&mut part.fresh) {
                for (node, kept) in &mut part.nodes {
                    let Entry { primary, started, standing } = kept.entry;
                    let down = standing == NodeStatus::Down;
                    if down && kept.before.is_none() {
                        kept.before = Some((cover.at, None));
                    }
                    if down || primary == Some(true) || started.is_some() {
                        named.push(*node);
                    }
                }
            }
        }
        named
    }

    /// Keeps a chunk until all of its revision have come, and then takes the part over. One that is for another part,
    /// of an earlier revision or not as the others are changes nothing.
    pub fn chunk(&mut self, chunk: Chunk) {
        let Chunk { part: id, revision, place, of, alike } = chunk;
        let Some(part) = self.parts.get_mut(usize::from(id.0)) else { return };
        let own = alike.iter().flat_map(|(_, nodes)| nodes).all(|node| PartitionId::of(*node) == id);
        if !own || place >= of || usize::from(of) > MOST_IN_PART || revision <= part.revision {
            return;
        }
        match &part.coming {
            Some(coming) if (coming.revision, coming.of) == (revision, of) => {}
            Some(coming) if coming.revision > revision => return,
            _ => part.coming = Some(Coming { revision, of, chunks: BTreeMap::new() }),
        }
        let Some(Coming { chunks, .. }) = &mut part.coming else { return };
        let entries: Vec<(SocketAddr, Entry)> = alike
            .into_iter()
            .flat_map(|(entry, nodes)| nodes.into_iter().map(move |node| (node, entry)))
            .collect();
        let kept: usize = chunks.values().map(Vec::len).sum();
        if kept + entries.len() > MOST_IN_PART {
            part.coming = None;
            return;
        }
        chunks.insert(place, entries);
        if chunks.len() < usize::from(of) {
            return;
        }
        let entries = std::mem::take(chunks).into_values().flatten().collect();
        part.coming = None;
        part.take_over(revision, entries);
    }

    /// The default before a copy has come whole.
    pub fn revision(&self, part: PartitionId) -> Revision {
        self.parts.get(usize::from(part.0)).map_or(Revision::default(), |part| part.revision)
    }

    /// Whether a digest has ever spoken for the part.
    pub fn is_covered(&self, part: PartitionId) -> bool {
        self.parts.get(usize::from(part.0)).is_some_and(|part| part.cover.is_some())
    }

    pub fn is_whole(&self) -> bool {
        self.parts.iter().all(|part| part.cover.is_some())
    }

    pub fn word(&self, node: SocketAddr) -> Option<FeedObservation> {
        let part = &self.parts[PartitionId::of(node).0 as usize];
        part.word(node, part.nodes.get(&node)?)
    }

    /// About the bytes that it takes.
    pub fn state_bytes(&self) -> usize {
        let (named, waiting) = self.len();
        size_of::<Self>()
            + self.parts.len() * size_of::<Part>()
            + named * size_of::<(SocketAddr, Kept)>()
            + waiting * size_of::<(SocketAddr, Entry)>()
    }

    /// How many databases it names, and how many entries wait for the rest of their copies.
    pub fn len(&self) -> (usize, usize) {
        let waiting =
            |part: &Part| part.coming.iter().flat_map(|coming| coming.chunks.values()).map(Vec::len).sum();
        let waiting = self.parts.iter().map(|part| -> usize { waiting(part) }).sum();
        (self.parts.iter().map(|part| part.nodes.len()).sum(), waiting)
    }
}

impl Part {
    fn take_over(&mut self, revision: Revision, entries: BTreeMap<SocketAddr, Entry>) {
        self.nodes.retain(|node, _| entries.contains_key(node));
        for (node, entry) in entries {
            // What has not changed stays dated as it was.
            if self.nodes.get(&node).is_some_and(|kept| kept.entry == entry) {
                continue;
            }
            self.set(node, entry);
            if entry.standing == NodeStatus::Down
                && let Some(kept) = self.nodes.get_mut(&node)
            {
                // Dated by the first digest that speaks for it.
                kept.before = None;
            }
        }
        (self.revision, self.fresh) = (revision, true);
    }
}
