//! What a control instance knows of one database, and which entry the snapshot should have for it.

use std::time::Duration;

use quillpoint_membership::TimestampedObservation;

use crate::message::{Entry, LAG_CLASSES, LagClass, NodeStatus};

/// For how many periods a lower lag class must hold before it is published. A database that is seen again is published at
/// once: where a control instance has died, its successor sees its databases only every second period until it passes
/// for dead.
const IMPROVEMENT_PERIODS: u32 = 10;
/// A start is published for this long: routers' slow start ends sooner.
pub const START_TIME_PUBLISHED_FOR: Duration = Duration::from_secs(120);
/// A database that has not answered yet gets an entry after this many periods.
const FIRST_ANSWER_PERIODS: u32 = 4;

/// How urgent a change is; the first are published first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A role, a start, a failure, a database that was listed or removed.
    Notable,
    /// A higher lag class, or silence.
    Worse,
    /// A lower lag class, or the end of a silence.
    Better,
}

/// A change that the snapshot should take.
pub(super) struct DesiredChange {
    pub(super) urgency: Urgency,
    /// `None`: the database is to be removed.
    pub(super) entry: Option<Entry>,
}

/// Since when a database has been better than its entry says, and the worst lag class since then.
struct Improvement {
    since: Duration,
    worst_class: LagClass,
}

pub(super) struct NodeRecord {
    listed_at: Duration,
    /// It has left the endpoint list, and is to be removed from the snapshot.
    pub(super) is_removed: bool,
    /// When it last answered.
    pub(super) answered_at: Option<Duration>,
    /// The newest log position that it has shown.
    pub(super) position: Option<Duration>,
    /// Whether its last answer showed a position.
    shows_position: bool,
    primary: Option<bool>,
    started: Option<Duration>,
    /// Several control instances have failed to reach it since it last answered.
    is_down: bool,
    /// Its entry in the snapshot; `None` before the first.
    pub(super) published: Option<Entry>,
    improvement: Option<Improvement>,
}

impl NodeRecord {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            listed_at: now,
            is_removed: false,
            answered_at: None,
            position: None,
            shows_position: false,
            primary: None,
            started: None,
            is_down: false,
            published: None,
            improvement: None,
        }
    }

    /// Takes an observation unless it is older than what is known.
    pub(super) fn observe(&mut self, now: Duration, observation: TimestampedObservation) {
        let observed_at = observation.at.min(now);
        if self.answered_at.is_some_and(|answered_at| observed_at < answered_at) {
            return;
        }
        if observation.failed {
            self.is_down = true;
            return;
        }
        self.answered_at = Some(observed_at);
        self.is_down = false;
        self.shows_position = observation.position.is_some();
        self.position = observation.position.or(self.position);
        self.primary = observation.primary.or(self.primary);
        self.started = observation.started.or(self.started);
    }

    /// The lag class of a database that is published as seen.
    pub(super) fn published_class(&self) -> Option<LagClass> {
        match self.published?.status {
            NodeStatus::Seen(class) => Some(class),
            NodeStatus::Unseen | NodeStatus::Down => None,
        }
    }

    /// Whether it is published as seen, but was last seen longer ago than this. One that has never answered is not late: this
    /// counts how long answers take.
    pub(super) fn is_overdue(&self, now: Duration, max_silence: Duration) -> bool {
        self.published_class().is_some()
            && self.answered_at.is_some_and(|answered_at| answered_at + max_silence < now)
    }

    /// Whether it is published as seen although it has never answered, or not for this long. Other than for
    /// [`Self::is_overdue`], one that has never answered counts: nothing vouches for its entry.
    pub(super) fn is_wrongly_published(&self, now: Duration, max_silence: Duration) -> bool {
        self.published_class().is_some()
            && self.answered_at.is_none_or(|answered_at| answered_at + max_silence < now)
    }

    /// Takes a published entry.
    pub(super) fn publish(&mut self, entry: Entry) {
        self.published = Some(entry);
        self.improvement = None;
    }

    /// The change that the snapshot needs now, if its entry is not right. A database that is silent for longer than
    /// `max_silence` is unseen; `period` is that of the health checks.
    pub(super) fn desired_change(
        &mut self,
        now: Duration,
        max_silence: Duration,
        period: Duration,
    ) -> Option<DesiredChange> {
        if self.is_removed {
            return Some(DesiredChange { urgency: Urgency::Notable, entry: None });
        }
        let started = self.started.filter(|started| *started + START_TIME_PUBLISHED_FOR > now);
        let status = self.current_status(now, max_silence, period);
        let Some(published) = self.published else {
            // Time to answer first, so that a start is no burst of changes.
            let is_known = self.answered_at.is_some()
                || self.is_down
                || self.listed_at + period * FIRST_ANSWER_PERIODS <= now;
            let entry = Entry { primary: self.primary, started, status };
            return is_known.then_some(DesiredChange { urgency: Urgency::Notable, entry: Some(entry) });
        };
        let (next_status, status_urgency) = self.next_status(now, published.status, status, period);
        if status == NodeStatus::Unseen || status == published.status {
            self.improvement = None;
        }
        let has_new_start = started.is_some() && started != published.started;
        let is_notable = self.primary != published.primary || has_new_start;
        let urgency = if is_notable { Urgency::Notable } else { status_urgency };
        let entry = Entry { primary: self.primary, started, status: next_status };
        (entry != published).then_some(DesiredChange { urgency, entry: Some(entry) })
    }

    fn current_status(&self, now: Duration, max_silence: Duration, period: Duration) -> NodeStatus {
        if self.is_down {
            return NodeStatus::Down;
        }
        match (self.answered_at, self.position) {
            (Some(answered_at), Some(position))
                if self.shows_position && answered_at + max_silence >= now =>
            {
                NodeStatus::Seen(lag_class(answered_at.saturating_sub(position), period))
            }
            _ => NodeStatus::Unseen,
        }
    }

    /// The status to publish. A worse one is published at once, a better one after a while, so that a database that goes to
    /// and fro is published once.
    fn next_status(
        &mut self,
        now: Duration,
        published: NodeStatus,
        current: NodeStatus,
        period: Duration,
    ) -> (NodeStatus, Urgency) {
        match (published, current) {
            (NodeStatus::Down, NodeStatus::Down) | (NodeStatus::Unseen, NodeStatus::Unseen) => {
                (published, Urgency::Better)
            }
            (NodeStatus::Down, _) | (_, NodeStatus::Down) => (current, Urgency::Notable),
            (NodeStatus::Seen(_), NodeStatus::Unseen) => (current, Urgency::Worse),
            (NodeStatus::Seen(before), NodeStatus::Seen(after)) if after > before => {
                (current, Urgency::Worse)
            }
            (NodeStatus::Seen(before), NodeStatus::Seen(after)) if after == before => {
                (published, Urgency::Better)
            }
            (_, NodeStatus::Seen(class)) => {
                let status = self.improved_status(now, published, class, period);
                (status, Urgency::Better)
            }
        }
    }

    /// The worst lag class since the improvement began, once that has held for long enough.
    fn improved_status(
        &mut self,
        now: Duration,
        published: NodeStatus,
        class: LagClass,
        period: Duration,
    ) -> NodeStatus {
        let improvement = self.improvement.get_or_insert(Improvement { since: now, worst_class: class });
        improvement.worst_class = improvement.worst_class.max(class);
        let hold_periods = if published == NodeStatus::Unseen { 0 } else { IMPROVEMENT_PERIODS };
        if improvement.since + period * hold_periods <= now {
            NodeStatus::Seen(improvement.worst_class)
        } else {
            published
        }
    }
}

/// The first class reaches as far behind as a period; the last has no end.
fn lag_class(lag: Duration, period: Duration) -> LagClass {
    let reaches = |class: &u8| lag <= period * (1 << class);
    LagClass((0..LAG_CLASSES as u8).find(reaches).unwrap_or(LAG_CLASSES as u8 - 1))
}
