//! The last commits of what was written on a connection: a client that asks ahead of its responses cannot carry their
//! positions yet.

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint::host::{ReplicaSetId, SessionKey};

use crate::request_pipeline::MAX_PIPELINED_REQUESTS;

/// How many sessions are kept apart.
const MAX_SESSIONS: usize = 4 * MAX_PIPELINED_REQUESTS;

/// The last commit of each session, as times since the Unix epoch.
#[derive(Default)]
pub struct SessionCommits {
    sessions: BTreeMap<(ReplicaSetId, SessionKey), Duration>,
    /// By replica set: the last commit of sessions that are kept no more, or that had no key and may be any session's.
    /// It holds for all sessions, as one whose own is not kept may have asked long before its turn.
    any_session: BTreeMap<ReplicaSetId, Duration>,
}

impl SessionCommits {
    /// The last commit that a read of this session must see, as far as it was written on the connection.
    pub fn last_commit(&self, replica_set: ReplicaSetId, key: SessionKey) -> Option<Duration> {
        self.sessions.get(&(replica_set, key)).max(self.any_session.get(&replica_set)).copied()
    }

    /// A write has been committed.
    pub fn record(&mut self, replica_set: ReplicaSetId, key: Option<SessionKey>, commit: Duration) {
        let Some(key) = key else { return self.record_for_any_session(replica_set, commit) };
        let known = self.sessions.entry((replica_set, key)).or_default();
        *known = commit.max(*known);
        if self.sessions.len() > MAX_SESSIONS {
            self.drop_oldest();
        }
    }

    /// Keeps the session with the oldest commit apart no more.
    fn drop_oldest(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(_, commit)| **commit);
        let oldest = oldest.map(|(session, commit)| (*session, *commit));
        if let Some((session, commit)) = oldest {
            self.sessions.remove(&session);
            self.record_for_any_session(session.0, commit);
        }
    }

    /// Only replica sets that have a primary commit, so that there are no more of these than replica sets.
    fn record_for_any_session(&mut self, replica_set: ReplicaSetId, commit: Duration) {
        let known = self.any_session.entry(replica_set).or_default();
        *known = commit.max(*known);
    }
}
