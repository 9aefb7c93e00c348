//! Session tokens: the commit times of sessions that wrote through this router. Used where clients do not
//! carry tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::attempt_evidence::AttemptEvidence;
use crate::host::{AttemptEnd, Host, Outcome, ReplicaSetId, Rpc, SessionKey};
use crate::node_state::NodeState;
use crate::router::Router;

/// If there are more tokens than this, all are dropped to bound the memory. The newest one then applies to
/// every session without a token.
const MAX_TOKENS: usize = 10_000;
/// A response that has not arrived within this time after the node sent it counts as lost.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(100);

/// A session within a replica set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionInSet {
    pub replica_set: ReplicaSetId,
    pub session: SessionKey,
}

/// The newest commit of each session that wrote through this router.
pub(crate) type SessionTokens = BTreeMap<SessionInSet, Duration>;

impl<H: Host> Router<H> {
    /// The position up to which the RPC's session has written through this router. A write without a response
    /// may have been committed and its response lost.
    pub(crate) fn remembered_commit(&self, now: Duration, rpc: &Rpc) -> Option<Duration> {
        let session = rpc.session.filter(|_| self.config.remembers_session_tokens)?;
        let replica_set = self.replica_sets.get(&rpc.replica_set)?;
        let mut in_flight = replica_set.nodes.iter().flat_map(|node| &self.nodes[node].in_flight);
        let may_be_lost = in_flight
            .any(|attempt| attempt.writes_for == Some(session) && attempt.sent + MAX_RESPONSE_DELAY <= now);
        let token = self.session_tokens.get(&SessionInSet { replica_set: rpc.replica_set, session }).copied();
        let lost_commit = may_be_lost.then(|| now - MAX_RESPONSE_DELAY);
        token.or(replica_set.newest_dropped_token).max(lost_commit)
    }

    /// Remembers the commit of a write, even if its client has disconnected. If no complete response shows
    /// when the commit happened, it happened before the attempt ended.
    pub(crate) fn remember_commit(&mut self, now: Duration, end: &AttemptEnd, evidence: &AttemptEvidence) {
        let Some(node) = self.nodes.get(&end.node) else { return };
        let session = evidence.attempt.as_ref().and_then(|attempt| attempt.writes_for);
        if !self.config.remembers_session_tokens || end.outcome.never_ran() {
            return;
        }
        if let Some(session) = session {
            let key = SessionInSet { replica_set: node.replica_set, session };
            let commit = end.position.filter(|_| end.outcome == Outcome::Ok).unwrap_or(now);
            let token = self.session_tokens.entry(key).or_default();
            *token = commit.max(*token);
        }
    }

    /// Periodic: drops the tokens that all nodes of their replica set have reached. Such a token could only
    /// exclude a node that comes back later. The newest dropped token, which applies to every session without
    /// a token, still excludes it.
    pub(crate) fn drop_replicated_tokens(&mut self) {
        let nodes = &self.nodes;
        let replica_sets = &mut self.replica_sets;
        let has_capacity = self.session_tokens.len() <= MAX_TOKENS;
        self.session_tokens.retain(|key, token| {
            let is_behind = |node: &NodeState| {
                node.replica_set == key.replica_set && !node.draining && node.log.position < Some(*token)
            };
            let keep = has_capacity && nodes.values().any(is_behind);
            let replica_set = replica_sets.entry(key.replica_set).or_default();
            if !keep {
                replica_set.newest_dropped_token = replica_set.newest_dropped_token.max(Some(*token));
            }
            keep
        });
    }
}
