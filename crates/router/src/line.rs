//! The line of a connection: what its client has asked and is not answered yet, in order. What may run side by
//! side does; answers leave in the order in which they were asked for.

use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::time::Duration;

use quillpoint::host::{ReplicaSetId, SessionKey};

use crate::budget::Held;

/// So many statements of a connection are under way, or wait to be, or wait to be written, at the most.
pub const SIDE_BY_SIDE: usize = 16;
/// With so many bytes of answers that wait to be written nothing more is begun, but for what these wait for.
const ANSWERS_WAIT: usize = 64 * 1024;

/// What a statement reaches, as far as its order among others goes.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    pub group: ReplicaSetId,
    /// None may be any.
    pub key: Option<SessionKey>,
    pub writes: bool,
    /// It must see all that was committed before it, of any session.
    pub fresh: bool,
}

impl Reach {
    /// Whether this one, which came later, is begun only when the other one has ended. Reads pass reads. A read
    /// sees the write of its own session that it came behind, and does not see the one that it came ahead of.
    /// Writes of a group keep their order whatever their keys: of a statement only one literal is known here, and
    /// a client that sends one behind the other may count on the first.
    pub fn waits_for(&self, earlier: &Self) -> bool {
        let one_key = self.key.is_none() || earlier.key.is_none() || self.key == earlier.key;
        let both_write = self.writes && earlier.writes;
        let must_see = self.fresh && earlier.writes;
        let one_writes = self.writes || earlier.writes;
        self.group == earlier.group && (both_write || must_see || (one_writes && one_key))
    }
}

/// An answer, and the room that it takes.
pub struct Answered {
    pub out: Vec<u8>,
    pub memory: Held,
}

/// From its turn to its answer. Dropped, it ends.
pub type Life = Pin<Box<dyn Future<Output = Answered>>>;

enum Place {
    Asked { reach: Reach, life: Life, begun: bool },
    Answered(Answered),
}

#[derive(Default)]
pub struct Line(VecDeque<Place>);

impl Line {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether one more may join; `alone` where memory is short: then one at a time.
    pub fn has_room(&self, alone: bool) -> bool {
        self.0.is_empty() || (!alone && self.0.len() < SIDE_BY_SIDE && self.answers() < ANSWERS_WAIT)
    }

    /// Bytes of answers that wait to be written.
    fn answers(&self) -> usize {
        let answers = self.0.iter().map(|place| match place {
            Place::Answered(answered) => answered.out.len(),
            Place::Asked { .. } => 0,
        });
        answers.sum()
    }

    /// Joins the line. Its life begins when none that it waits for is ahead of it.
    pub fn ask(&mut self, reach: Reach, life: Life) {
        self.0.push_back(Place::Asked { reach, life, begun: false });
    }

    /// For what is answered at once, when all before it has been.
    pub fn answer(&mut self, answered: Answered) {
        self.0.push_back(Place::Answered(answered));
    }

    /// The next answer that is due, once it is there.
    pub fn due(&mut self) -> Option<Answered> {
        match self.0.pop_front()? {
            Place::Answered(answered) => Some(answered),
            asked => {
                self.0.push_front(asked);
                None
            }
        }
    }

    /// Whether a statement has no answer yet.
    pub fn is_busy(&self) -> bool {
        self.0.iter().any(|place| matches!(place, Place::Asked { .. }))
    }

    /// Ends the first statement that has no answer yet, which is the one that its client waits for, with this one.
    pub fn cancel(&mut self, answered: Answered) {
        let first = self.0.iter_mut().find(|place| matches!(place, Place::Asked { .. }));
        if let Some(first) = first {
            *first = Place::Answered(answered);
        }
    }

    /// Goes on with all that may. Whether one has been answered.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> bool {
        let (mut ahead, mut any, mut answers) = (Vec::new(), false, self.answers());
        for place in &mut self.0 {
            let Place::Asked { reach, life, begun } = place else { continue };
            // The first one is what the others' answers wait for.
            let permits_attempt = ahead.is_empty() || answers < ANSWERS_WAIT;
            *begun |= permits_attempt && !ahead.iter().any(|earlier| reach.waits_for(earlier));
            match begun.then(|| life.as_mut().poll(cx)) {
                Some(std::task::Poll::Ready(answered)) => {
                    answers += answered.out.len();
                    (*place, any) = (Place::Answered(answered), true);
                }
                _ => ahead.push(*reach),
            }
        }
        any
    }
}

/// The last commits of what wrote on a connection: a client that asks ahead of its answers cannot tell of them yet.
#[derive(Default)]
pub struct Written {
    sessions: BTreeMap<(ReplicaSetId, SessionKey), Duration>,
    /// By group: the last commit of those that are kept no more, or had no key and may be any session's. It holds for
    /// all sessions, as one whose own is not kept may have asked long before its turn.
    others: BTreeMap<ReplicaSetId, Duration>,
}

/// So many sessions are kept.
const MOST_WRITTEN: usize = 4 * SIDE_BY_SIDE;

impl Written {
    /// The last commit that this session's read must see, as far as it was written here.
    pub fn last(&self, group: ReplicaSetId, key: SessionKey) -> Option<Duration> {
        self.sessions.get(&(group, key)).max(self.others.get(&group)).copied()
    }

    /// A write has been committed.
    pub fn note(&mut self, group: ReplicaSetId, key: Option<SessionKey>, commit: Duration) {
        let Some(key) = key else { return self.note_other(group, commit) };
        let known = self.sessions.entry((group, key)).or_default();
        *known = commit.max(*known);
        let oldest = self.sessions.iter().min_by_key(|(_, commit)| **commit);
        let oldest = oldest.map(|(session, commit)| (*session, *commit));
        if let Some((session, commit)) = oldest.filter(|_| self.sessions.len() > MOST_WRITTEN) {
            self.sessions.remove(&session);
            self.note_other(session.0, commit);
        }
    }

    /// Only groups that have a primary commit, so that there are no more of these than groups.
    fn note_other(&mut self, group: ReplicaSetId, commit: Duration) {
        let known = self.others.entry(group).or_default();
        *known = commit.max(*known);
    }
}
