//! Retry policy: whether a request gets another attempt or its final response, and how long sending it or
//! responding to it is useful.

use std::time::Duration;

use crate::host::{Host, Outcome, RpcId};
use crate::pending_request::{Attempt, PendingRequest};
use crate::router::Router;

/// After errors from this many nodes, the request itself is considered the cause.
const MAX_ERRORS: usize = 2;
/// A request is sent only if at least this many average response times are left.
const RESPONSE_TIMES_NEEDED: f64 = 2.0;
/// Upper bound of that time as a fraction of the request's whole time. Without it, a method whose responses
/// were slow would never be sent again, so its response time could never be seen to drop.
const MAX_NEEDED_FRACTION: f64 = 0.75;
/// A request that was never sent is given up after this fraction of its time, which leaves its client time
/// for another try.
const UNSENT_FRACTION: f64 = 0.45;

impl<H: Host> Router<H> {
    /// After an attempt that did not finish its request: queues another attempt or gives the final response.
    pub(crate) fn retry_or_finish(&mut self, now: Duration, id: RpcId) {
        let request = &self.pending[&id];
        let idempotency = self.methods[request.rpc.method.0].idempotency;
        let may_not_repeat = !idempotency.router_may_repeat_somewhere() && request.may_have_run();
        if request.attempts.len() >= self.config.max_attempts || may_not_repeat {
            return self.finish(id, Duration::ZERO);
        }
        if request.count_ended_with(Outcome::Error) >= MAX_ERRORS {
            return self.finish(id, self.config.max_retry_after);
        }
        self.enqueue(now, id);
    }

    /// When a response stops being useful, or the client stops waiting.
    pub(crate) fn response_useful_until(&self, request: &PendingRequest) -> Duration {
        let last = request.deadline.saturating_sub(2 * self.config.tick);
        let late_response_counts = self.methods[request.rpc.method.0].late_weight > 0.0;
        if late_response_counts { last } else { last.min(request.objective_at) }
    }

    /// The latest time at which sending the request is useful, because a response can still arrive in time.
    pub(crate) fn send_useful_until(&self, request: &PendingRequest) -> Duration {
        let response_time = &self.methods[request.rpc.method.0].response_time;
        let needed = Duration::from_secs_f64(response_time.average_s * RESPONSE_TIMES_NEEDED);
        let end = self.response_useful_until(request);
        let max_needed = end.saturating_sub(request.arrived).mul_f64(MAX_NEEDED_FRACTION);
        let last = end - needed.min(max_needed);
        let is_unsent = |attempt: &Attempt| attempt.outcome.is_some_and(Outcome::never_sent);
        if !request.attempts.iter().all(is_unsent) {
            return last;
        }
        let whole_time = request.deadline - request.arrived;
        last.min(request.arrived + whole_time.mul_f64(UNSENT_FRACTION))
    }

    /// Gives the final response; no other function rejects or aborts an admitted request. The request is
    /// rejected only if a repeat by the client does no harm (rule 2), and then with `retry_after`, if clients
    /// get a Retry-After.
    pub(crate) fn finish(&mut self, id: RpcId, retry_after: Duration) {
        let Some(request) = self.pending.get(&id) else { return };
        let idempotency = self.methods[request.rpc.method.0].idempotency;
        let client_may_repeat = idempotency.client_may_repeat() || !request.may_have_run();
        self.forget(id);
        if client_may_repeat {
            self.reject(id, retry_after);
        } else {
            self.host.abort(id);
        }
    }

    /// Rejects with a Retry-After, if clients get one.
    pub(crate) fn reject(&mut self, id: RpcId, retry_after: Duration) {
        let advertised = if self.config.sends_retry_after { retry_after } else { Duration::ZERO };
        self.host.reject(id, advertised);
    }

    /// Drops the state of a finished request.
    pub(crate) fn forget(&mut self, id: RpcId) {
        self.dequeue(id);
        self.pending.remove(&id);
    }
}
