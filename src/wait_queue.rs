//! The wait queue of a replica set: requests for which no node has capacity, ordered separately for each
//! method and stage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::host::{MethodId, RpcId};
use crate::pending_request::PendingRequest;

/// First attempts are served before retries, so that retries cannot amplify an overload.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptStage {
    First,
    Retry,
}

/// The key of the requests that are ordered together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    stage: AttemptStage,
    method: MethodId,
}

impl QueueKey {
    fn of(request: &PendingRequest) -> Self {
        let stage = if request.attempts.is_empty() { AttemptStage::First } else { AttemptStage::Retry };
        Self { stage, method: request.rpc.method }
    }
}

/// Ordered by `objective_at`: the latest, which is the newest request of its method, is served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    pub objective_at: Duration,
    pub rpc: RpcId,
}

impl QueueEntry {
    fn of(request: &PendingRequest) -> Self {
        Self { objective_at: request.objective_at, rpc: request.rpc.id }
    }
}

/// The request of a method that is served first.
#[derive(Clone, Copy)]
pub(crate) struct QueueHead {
    pub method: MethodId,
    pub entry: QueueEntry,
}

/// The queued requests of one replica set.
#[derive(Default)]
pub(crate) struct WaitQueue {
    entries_by_key: BTreeMap<QueueKey, BTreeSet<QueueEntry>>,
}

impl WaitQueue {
    pub fn insert(&mut self, request: &PendingRequest) {
        self.entries_by_key.entry(QueueKey::of(request)).or_default().insert(QueueEntry::of(request));
    }

    /// Removes the request. Its attempts must be the same as when it was inserted.
    pub fn remove(&mut self, request: &PendingRequest) {
        if let Some(entries) = self.entries_by_key.get_mut(&QueueKey::of(request)) {
            entries.remove(&QueueEntry::of(request));
        }
    }

    /// The request of each method that is served first at this stage.
    pub fn heads(&self, stage: AttemptStage) -> impl Iterator<Item = QueueHead> {
        let first = QueueKey { stage, method: MethodId(0) };
        let last = QueueKey { stage, method: MethodId(usize::MAX) };
        self.entries_by_key.range(first..=last).filter_map(|(key, entries)| {
            let entry = *entries.last()?;
            Some(QueueHead { method: key.method, entry })
        })
    }
}
