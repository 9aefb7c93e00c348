//! The attempt check: the five rules that every attempt passes when it is ordered, and again right before its first
//! byte. They are listed in the order in which they are checked; their numbers are those of the tests.
//!
//! - Rule 1: only a request without a final answer is sent, to a node of its replica set, with attempts left, and only
//!   while the answer is of use.
//! - Rule 2: what may have run is sent again only as its method allows (`Idempotency`).
//! - Rule 3: nothing is sent to a node once it is told to drain.
//! - Rule 5: a read goes only to a node that is fresh enough.
//! - Rule 4: a node that has just started gets no more than its slow-start budget.

use std::time::Duration;

use crate::host::{AttemptNumber, Host, NodeId, RpcId};
use crate::maintenance::DueTime;
use crate::method::Consistency;
use crate::node_state::{InFlightAttempt, NodeState};
use crate::pending_request::{Attempt, PendingRequest};
use crate::router::Router;

/// Present answer times after which an attempt counts as lost: by chance 1 in 33. A node that loses some attempts would
/// otherwise have its limit filled by them until they time out.
const LOST_ANSWER_TIMES: f64 = 3.5;
/// The least present answer time that is used, in seconds.
const MIN_ANSWER_TIME_S: f64 = 1e-3;
/// The least timeout of an attempt.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// When the check is made.
#[derive(Clone, Copy)]
enum CheckPoint {
    /// Before an attempt is ordered.
    Order,
    /// Before the first byte of the attempt of this number, or before more of it after a stall.
    FirstByte(usize),
}

impl<H: Host> Router<H> {
    /// Whether a new attempt may be ordered at the node.
    pub(crate) fn may_order_attempt(&self, now: Duration, id: RpcId, node: NodeId) -> bool {
        self.passes_attempt_check(now, id, node, CheckPoint::Order)
    }

    /// Whether the attempt passes all five rules, in the order of the list above.
    fn passes_attempt_check(&self, now: Duration, id: RpcId, node: NodeId, point: CheckPoint) -> bool {
        let (Some(request), Some(state)) = (self.pending.get(&id), self.nodes.get(&node)) else {
            return false;
        };
        let number = match point {
            CheckPoint::Order => request.attempts.len(),
            CheckPoint::FirstByte(number) => number,
        };
        self.is_of_use(now, request, state, number)
            && self.may_run_again(now, request, state, number)
            && !state.draining
            && (self.config.nodes_check_reads || self.is_fresh_enough(now, request, node))
            && Self::is_within_slow_start(state, request.attempts.get(number))
    }

    /// Rule 1: the node is of the request's replica set, an attempt is left, and its answer would be of use. That the
    /// request has no final answer is seen before, by its being pending.
    fn is_of_use(&self, now: Duration, request: &PendingRequest, node: &NodeState, number: usize) -> bool {
        node.replica_set == request.rpc.replica_set
            && number < self.config.max_attempts
            && now < self.answer_useful_until(request)
    }

    /// Rule 2: other attempts that may have run allow a further one, and it would arrive within their window. A hedged
    /// request, beside one in flight, has to be allowed too.
    fn may_run_again(
        &self,
        now: Duration,
        request: &PendingRequest,
        node: &NodeState,
        number: usize,
    ) -> bool {
        let method = &self.methods[request.rpc.method.0];
        let arrives_at = now + Duration::from_secs_f64(method.answer_time.shortest_s);
        let may_repeat = |earlier: &Attempt| {
            let earlier_node = self.nodes.get(&earlier.node);
            method.idempotency.router_may_repeat(earlier, earlier_node, node, arrives_at)
        };
        (!request.is_in_flight_besides(number) || self.config.hedging)
            && request.may_have_run_besides(number).all(may_repeat)
    }

    /// Rule 4: the slow-start budget, which an attempt pays once for each start of its node that is known. `ordered` is
    /// the attempt itself, once it is ordered.
    fn is_within_slow_start(node: &NodeState, ordered: Option<&Attempt>) -> bool {
        let has_paid = ordered.is_some_and(|attempt| attempt.node_started == node.started);
        has_paid || node.slow_start.permits_attempt()
    }

    /// The check before an attempt's first byte. One whose node has started anew meanwhile pays for that start, and its
    /// answer has to prove the position that is required now.
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
        let required = self.required_of_answer(now, &self.pending[&id], node);
        let Some(request) = self.pending.get_mut(&id) else { return false };
        let Some(state) = self.nodes.get_mut(&node) else { return false };
        let attempt = &mut request.attempts[number];
        if attempt.node_started != state.started {
            state.slow_start.budget_s -= self.methods[request.rpc.method.0].answer_time.shortest_s;
        }
        attempt.required = required;
        attempt.node_started = state.started;
        true
    }

    /// Takes a request out of its queue and orders an attempt of it, or ends it if it does not pass the check.
    pub(crate) fn send(&mut self, now: Duration, id: RpcId, node: NodeId) {
        self.dequeue(id);
        if !self.may_order_attempt(now, id, node) {
            return self.finish(id, Duration::ZERO);
        }
        let required = self.required_of_answer(now, &self.pending[&id], node);
        let timeout = self.answer_useful_until(&self.pending[&id]).saturating_sub(now).max(MIN_TIMEOUT);
        let Some(request) = self.pending.get_mut(&id) else { return };
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let method = &self.methods[request.rpc.method.0];
        let is_write = method.consistency == Consistency::Write;
        let expected_s =
            method.answer_time.present_s.max(MIN_ANSWER_TIME_S) * state.concurrency.relative_latency.max(1.0);
        if state.health_check.ended_at == now {
            self.health_check_budget.refund();
        }
        state.in_flight.push(InFlightAttempt {
            rpc: id,
            attempt: AttemptNumber(request.attempts.len() as u32),
            sent: now,
            expected_s,
            lost_at: now + Duration::from_secs_f64(LOST_ANSWER_TIMES * expected_s),
            writes_for: request.rpc.session.filter(|_| is_write),
            timeout,
        });
        state.slow_start.budget_s -= method.answer_time.shortest_s;
        let (node_started, replica_set) = (state.started, state.replica_set);
        request.attempts.push(Attempt { node, sent: now, outcome: None, required, node_started });
        let ends_at = request.deadline.saturating_sub(self.config.tick);
        self.due.insert(DueTime { at: ends_at, rpc: id });
        self.spend_primary_quota(replica_set, node, is_write);
        self.host.start_attempt(id, node, timeout);
    }
}
