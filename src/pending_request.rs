//! A request without a final response, and its attempts.

use std::time::Duration;

use crate::host::{NodeId, Outcome, Rpc};

/// One attempt of a request.
pub(crate) struct Attempt {
    pub node: NodeId,
    pub sent: Duration,
    /// None while the attempt is in flight.
    pub outcome: Option<Outcome>,
    /// None if nodes check reads themselves.
    pub required: Option<RequiredPosition>,
    /// The start of the node that was known when the attempt was charged to the node's slow-start budget.
    pub node_started: Option<Duration>,
}

impl Attempt {
    /// Whether a node may have run the attempt.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// What the response to an attempt has to prove about the node's log position.
#[derive(Clone, Copy)]
pub(crate) struct RequiredPosition {
    /// The position in the response must be at least this.
    pub position: Duration,
    /// The node had proven this position before the attempt was sent, so a response without a position is
    /// accepted.
    pub proven_before: bool,
}

/// A request without a final response.
pub(crate) struct PendingRequest {
    pub rpc: Rpc,
    /// When the latency objective ends.
    pub objective_at: Duration,
    /// When the client stops waiting.
    pub deadline: Duration,
    pub arrived: Duration,
    /// The commit time of the session's last write, if the client sends it.
    pub session_token: Option<Duration>,
    pub attempts: Vec<Attempt>,
    /// Whether the request is in the wait queue of its replica set.
    pub is_queued: bool,
}

impl PendingRequest {
    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// The attempts that may have run, without the one with this number.
    pub fn may_have_run_except(&self, except: usize) -> impl Iterator<Item = &Attempt> {
        let others = self.attempts.iter().enumerate().filter(move |(number, _)| *number != except);
        others.map(|(_, attempt)| attempt).filter(|attempt| attempt.may_have_run())
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// Whether an attempt other than the one with this number is in flight.
    pub fn is_in_flight_except(&self, except: usize) -> bool {
        let mut attempts = self.attempts.iter().enumerate();
        attempts.any(|(number, attempt)| number != except && attempt.outcome.is_none())
    }

    pub fn has_tried(&self, node: NodeId) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node)
    }

    /// How many attempts ended with this outcome.
    pub fn count_ended_with(&self, outcome: Outcome) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome == Some(outcome)).count()
    }
}
