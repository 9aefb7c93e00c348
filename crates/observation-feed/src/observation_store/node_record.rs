//! What a control instance knows about one database, and the entry that the snapshot should have for it.

use std::time::Duration;

use quillpoint_membership::TimestampedObservation;

use crate::message::{Entry, LAG_CLASSES, LagClass, NodeStatus};

/// Number of periods for which a database must stay in a lower lag class before that is published. A database
/// that is seen again after a silence is published at once: when a control instance has died, the next owner
/// checks its databases only every second period until the instance is declared dead.
const IMPROVEMENT_PERIODS: u32 = 10;
/// A start time is published for this long; the slow start of routers ends earlier.
pub const START_TIME_PUBLISHED_FOR: Duration = Duration::from_secs(120);
/// A database that has not answered yet gets an entry after this many periods.
const FIRST_ANSWER_PERIODS: u32 = 4;

/// The order in which changes are published.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A new role, a start, a failure or its end, or a database that was added to or removed from the
    /// endpoint list.
    Notable,
    /// A higher lag class, or a database that is no longer seen.
    Worse,
    /// A lower lag class, or a database that is seen again.
    Better,
}

/// A change that should be made to the snapshot.
pub(super) struct DesiredChange {
    pub(super) urgency: Urgency,
    /// The new entry; `None` to remove the database.
    pub(super) entry: Option<Entry>,
}

/// Tracks how long a database has been in a better state than its published entry, and the worst lag class in
/// that time.
struct Improvement {
    since: Duration,
    worst_class: LagClass,
}

pub(super) struct NodeRecord {
    listed_at: Duration,
    /// It has left the endpoint list and has to be removed from the snapshot.
    pub(super) is_removed: bool,
    /// When it last answered.
    pub(super) answered_at: Option<Duration>,
    /// The log position in the newest answer that contained one.
    pub(super) position: Option<Duration>,
    /// Whether its last answer contained a log position.
    reports_position: bool,
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
            reports_position: false,
            primary: None,
            started: None,
            is_down: false,
            published: None,
            improvement: None,
        }
    }

    /// Records an observation unless it is older than the last answer.
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
        self.reports_position = observation.position.is_some();
        self.position = observation.position.or(self.position);
        self.primary = observation.primary.or(self.primary);
        self.started = observation.started.or(self.started);
    }

    /// The published lag class; `None` unless the database is published as seen.
    pub(super) fn published_class(&self) -> Option<LagClass> {
        match self.published?.status {
            NodeStatus::Seen(class) => Some(class),
            NodeStatus::Unseen | NodeStatus::Down => None,
        }
    }

    /// Whether it is published as seen but last answered longer ago than `max_silence`. A database that has
    /// never answered is not overdue, because this measures how long answers take.
    pub(super) fn is_overdue(&self, now: Duration, max_silence: Duration) -> bool {
        self.published_class().is_some()
            && self.answered_at.is_some_and(|answered_at| answered_at + max_silence < now)
    }

    /// Whether it is published as seen although it has never answered, or not for `max_silence`. Unlike
    /// [`Self::is_overdue`], this includes a database that has never answered, because no observation
    /// supports its entry.
    pub(super) fn is_wrongly_published(&self, now: Duration, max_silence: Duration) -> bool {
        self.published_class().is_some()
            && self.answered_at.is_none_or(|answered_at| answered_at + max_silence < now)
    }

    /// Sets the published entry and restarts the tracking of improvements.
    pub(super) fn publish(&mut self, entry: Entry) {
        self.published = Some(entry);
        self.improvement = None;
    }

    /// The change that the snapshot needs now, if its entry is outdated. A database that has been silent for
    /// longer than `max_silence` is unseen; `period` is the health check period.
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
            // Wait for the first answer, so that the start of this process does not cause a burst of changes.
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
                if self.reports_position && answered_at + max_silence >= now =>
            {
                NodeStatus::Seen(lag_class(answered_at.saturating_sub(position), period))
            }
            _ => NodeStatus::Unseen,
        }
    }

    /// The status to publish. A worse status is published at once, a lower lag class only after a while, so
    /// that a database that alternates between two lag classes is published only once.
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

    /// The worst lag class since the improvement began, once the improvement has lasted long enough; until
    /// then the published status.
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

/// The lag limit of the first class is one period and doubles with each class; the last class has no limit.
fn lag_class(lag: Duration, period: Duration) -> LagClass {
    let reaches = |class: &u8| lag <= period * (1 << class);
    LagClass((0..LAG_CLASSES as u8).find(reaches).unwrap_or(LAG_CLASSES as u8 - 1))
}
