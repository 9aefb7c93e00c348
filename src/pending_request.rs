//! A request that has no final answer yet, and its attempts.

use std::time::Duration;

use crate::host::{NodeId, Outcome, Rpc};

/// One attempt of a request.
pub(crate) struct Attempt {
    pub node: NodeId,
    pub sent: Duration,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
    /// None where nodes check reads themselves.
    pub required: Option<RequiredPosition>,
    /// The start of its node that was known when its slow-start budget was paid.
    pub node_started: Option<Duration>,
}

impl Attempt {
    /// Whether a node may have run it.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// What the answer of an attempt has to prove of the node's log position.
#[derive(Clone, Copy)]
pub(crate) struct RequiredPosition {
    /// The answer's own position must not fall short of it.
    pub position: Duration,
    /// The node had proven as much before the send, so an answer without a position is good enough.
    pub proven_before: bool,
}

/// A request that has no final answer yet.
pub(crate) struct PendingRequest {
    pub rpc: Rpc,
    /// When its latency objective ends.
    pub objective_at: Duration,
    /// When its client stops waiting.
    pub deadline: Duration,
    pub arrived: Duration,
    /// The commit of the session's last write, where the client carries it.
    pub session_token: Option<Duration>,
    pub attempts: Vec<Attempt>,
    /// Whether it is in the wait queue of its replica set.
    pub is_queued: bool,
}

impl PendingRequest {
    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// The attempts that may have run, except the one of this number.
    pub fn may_have_run_besides(&self, except: usize) -> impl Iterator<Item = &Attempt> {
        let others = self.attempts.iter().enumerate().filter(move |(number, _)| *number != except);
        others.map(|(_, attempt)| attempt).filter(|attempt| attempt.may_have_run())
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// Whether an attempt is in flight, except the one of this number.
    pub fn is_in_flight_besides(&self, except: usize) -> bool {
        let mut attempts = self.attempts.iter().enumerate();
        attempts.any(|(number, attempt)| number != except && attempt.outcome.is_none())
    }

    pub fn has_tried(&self, node: NodeId) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node)
    }

    /// How many of its attempts ended in this way.
    pub fn ended_in(&self, outcome: Outcome) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome == Some(outcome)).count()
    }
}
