//! The attempt check: the five rules that every attempt must pass when it is started, and again right before
//! its first byte. They are listed in the order in which they are checked; the tests refer to them by their
//! numbers.
//!
//! - Rule 1: a request is sent only before its final response, to a node of its replica set, while it has
//!   attempts left and a response would still be useful.
//! - Rule 2: a request that may have run is sent again only as its method allows (`Idempotency`).
//! - Rule 3: nothing is sent to a node that is draining.
//! - Rule 5: a read goes only to a node that is fresh enough.
//! - Rule 4: a recently started node gets no more work than its slow-start budget.

use std::time::Duration;

use crate::host::{AttemptNumber, Host, NodeId, RpcId};
use crate::maintenance::DueTime;
use crate::method::Consistency;
use crate::node_state::{InFlightAttempt, NodeState};
use crate::pending_request::{Attempt, PendingRequest};
use crate::router::Router;

/// After this many average response times an attempt counts as lost; a response takes longer by chance in 1
/// of 33 cases. Without this, a node that loses some attempts would have its concurrency limit filled by them
/// until they time out.
const LOST_AFTER_RESPONSE_TIMES: f64 = 3.5;
/// Lower bound of the average response time, in seconds.
const MIN_RESPONSE_TIME_S: f64 = 1e-3;
/// The shortest timeout of an attempt.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// The point at which the check is made.
#[derive(Clone, Copy)]
enum CheckPoint {
    /// Before an attempt is started.
    Start,
    /// Before the first byte of the attempt with this number, or before its stalled write is resumed.
    FirstByte(usize),
}

impl<H: Host> Router<H> {
    /// Whether a new attempt may be started at the node.
    pub(crate) fn may_start_attempt(&self, now: Duration, id: RpcId, node: NodeId) -> bool {
        self.passes_attempt_check(now, id, node, CheckPoint::Start)
    }

    /// Whether the attempt passes all five rules, checked in the order of the module's list.
    fn passes_attempt_check(&self, now: Duration, id: RpcId, node: NodeId, point: CheckPoint) -> bool {
        let (Some(request), Some(state)) = (self.pending.get(&id), self.nodes.get(&node)) else {
            return false;
        };
        let number = match point {
            CheckPoint::Start => request.attempts.len(),
            CheckPoint::FirstByte(number) => number,
        };
        self.is_eligible(now, request, state, number)
            && self.may_be_sent_again(now, request, state, number)
            && !state.draining
            && (self.config.nodes_check_reads || self.is_fresh_enough(now, request, node))
            && Self::is_within_slow_start(state, request.attempts.get(number))
    }

    /// Rule 1: the node belongs to the request's replica set, the request has attempts left, and a response
    /// would still be useful. A request with a final response is no longer pending, which the caller has
    /// checked.
    fn is_eligible(&self, now: Duration, request: &PendingRequest, node: &NodeState, number: usize) -> bool {
        node.replica_set == request.rpc.replica_set
            && number < self.config.max_attempts
            && now < self.response_useful_until(request)
    }

    /// Rule 2: every other attempt that may have run allows a repeat, and the repeat would arrive within its
    /// window. While another attempt is in flight, hedging must be allowed too.
    fn may_be_sent_again(
        &self,
        now: Duration,
        request: &PendingRequest,
        node: &NodeState,
        number: usize,
    ) -> bool {
        let method = &self.methods[request.rpc.method.0];
        let arrives_at = now + Duration::from_secs_f64(method.response_time.baseline_s);
        let may_repeat = |earlier: &Attempt| {
            let earlier_node = self.nodes.get(&earlier.node);
            method.idempotency.router_may_repeat(earlier, earlier_node, node, arrives_at)
        };
        (!request.is_in_flight_except(number) || self.config.hedging)
            && request.may_have_run_except(number).all(may_repeat)
    }

    /// Rule 4: the slow-start budget. An attempt is charged once for each known start of its node. `attempt`
    /// is the attempt itself if it has already been started.
    fn is_within_slow_start(node: &NodeState, attempt: Option<&Attempt>) -> bool {
        let is_already_charged = attempt.is_some_and(|attempt| attempt.node_started == node.started);
        is_already_charged || node.slow_start.permits_attempt()
    }

    /// The check before an attempt's first byte. If the node has restarted since the attempt was started, the
    /// attempt is charged again, and its response has to prove the position that is required now.
    pub(crate) fn check_before_first_byte(
        &mut self,
        now: Duration,
        id: RpcId,
        number: AttemptNumber,
    ) -> bool {
        let number = number.0 as usize;
        let attempt = self.pending.get(&id).and_then(|request| request.attempts.get(number));
        let Some(node) = attempt.map(|attempt| attempt.node) else { return false };
        if !self.passes_attempt_check(now, id, node, CheckPoint::FirstByte(number)) {
            return false;
        }
        let required = self.required_of_response(now, &self.pending[&id], node);
        let Some(request) = self.pending.get_mut(&id) else { return false };
        let Some(state) = self.nodes.get_mut(&node) else { return false };
        let attempt = &mut request.attempts[number];
        if attempt.node_started != state.started {
            state.slow_start.budget_s -= self.methods[request.rpc.method.0].response_time.baseline_s;
        }
        attempt.required = required;
        attempt.node_started = state.started;
        true
    }

    /// Removes a request from its queue and starts an attempt of it, or finishes the request if it does not
    /// pass the check.
    pub(crate) fn send(&mut self, now: Duration, id: RpcId, node: NodeId) {
        self.dequeue(id);
        if !self.may_start_attempt(now, id, node) {
            return self.finish(id, Duration::ZERO);
        }
        let required = self.required_of_response(now, &self.pending[&id], node);
        let timeout = self.response_useful_until(&self.pending[&id]).saturating_sub(now).max(MIN_TIMEOUT);
        let Some(request) = self.pending.get_mut(&id) else { return };
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let method = &self.methods[request.rpc.method.0];
        let is_write = method.consistency == Consistency::Write;
        let expected_s = method.response_time.average_s.max(MIN_RESPONSE_TIME_S)
            * state.concurrency.relative_latency.max(1.0);
        if state.health_check.ended_at == now {
            self.health_check_budget.refund();
        }
        state.in_flight.push(InFlightAttempt {
            rpc: id,
            attempt: AttemptNumber(request.attempts.len() as u32),
            sent: now,
            expected_s,
            lost_at: now + Duration::from_secs_f64(LOST_AFTER_RESPONSE_TIMES * expected_s),
            writes_for: request.rpc.session.filter(|_| is_write),
            timeout,
        });
        state.slow_start.budget_s -= method.response_time.baseline_s;
        let (node_started, replica_set) = (state.started, state.replica_set);
        request.attempts.push(Attempt { node, sent: now, outcome: None, required, node_started });
        let ends_at = request.deadline.saturating_sub(self.config.tick);
        self.due.insert(DueTime { at: ends_at, rpc: id });
        self.spend_primary_quota(replica_set, node, is_write);
        self.host.start_attempt(id, node, timeout);
    }
}
