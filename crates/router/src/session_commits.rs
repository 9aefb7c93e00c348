//! The last commit of each session that was written to on a connection. A pipelining client sends statements
//! before it has the commit times of earlier writes, so it cannot state them itself.

use std::collections::BTreeMap;
use std::time::Duration;

use quillpoint::host::{ReplicaSetId, SessionKey};

use crate::budget::Reservation;
use crate::request_pipeline::MAX_PIPELINED_REQUESTS;

/// How many sessions are tracked individually.
const MAX_SESSIONS: usize = 4 * MAX_PIPELINED_REQUESTS;

/// What a tracked session holds, in bytes.
const ENTRY_BYTES: usize = 64;

/// The last commit times of sessions, in Unix time.
pub struct SessionCommits {
    sessions: BTreeMap<(ReplicaSetId, SessionKey), Duration>,
    /// By replica set: the last commit of sessions that are no longer tracked, and of writes without a
    /// session key. It applies to all sessions: a read that was sent long before its turn may belong to a
    /// session that is no longer tracked.
    any_session: BTreeMap<ReplicaSetId, Duration>,
    /// The memory reserved for the tracked sessions.
    memory: Reservation,
}

impl SessionCommits {
    /// Tracks no session yet. Accounts for its memory with `memory`.
    pub fn new(memory: Reservation) -> Self {
        Self { sessions: BTreeMap::new(), any_session: BTreeMap::new(), memory }
    }

    /// Returns the last commit on this connection that a read of the session must see.
    pub fn last_commit(&self, replica_set: ReplicaSetId, key: SessionKey) -> Option<Duration> {
        self.sessions.get(&(replica_set, key)).max(self.any_session.get(&replica_set)).copied()
    }

    /// Records the commit of a write.
    pub fn record(&mut self, replica_set: ReplicaSetId, key: Option<SessionKey>, commit: Duration) {
        let Some(key) = key else { return self.record_for_any_session(replica_set, commit) };
        let known = self.sessions.entry((replica_set, key)).or_default();
        *known = commit.max(*known);
        let has_memory = self.memory.resize(self.sessions.len() * ENTRY_BYTES).is_ok();
        if self.sessions.len() > MAX_SESSIONS || !has_memory {
            self.stop_tracking_oldest();
        }
    }

    /// Stops tracking the session with the oldest commit; its commit then applies to all sessions.
    fn stop_tracking_oldest(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(_, commit)| **commit);
        let oldest = oldest.map(|(session, commit)| (*session, *commit));
        if let Some((session, commit)) = oldest {
            self.sessions.remove(&session);
            self.record_for_any_session(session.0, commit);
        }
    }

    /// Records a commit that applies to all sessions. Only replica sets with a primary commit, so the number
    /// of entries is bounded by the number of replica sets.
    fn record_for_any_session(&mut self, replica_set: ReplicaSetId, commit: Duration) {
        let known = self.any_session.entry(replica_set).or_default();
        *known = commit.max(*known);
    }
}
