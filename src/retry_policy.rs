//! Retry policy: a further attempt or the final answer, and until when either is of use.

use std::time::Duration;

use crate::host::{Host, Outcome, RpcId};
use crate::pending_request::{Attempt, PendingRequest};
use crate::router::Router;

/// After errors at so many nodes the request itself is taken to be at fault.
const MAX_ERRORS: usize = 2;
/// A request is sent only if so many present answer times are left to it.
const ANSWER_TIMES_NEEDED: f64 = 2.0;
/// These are at most this part of its whole time: a method with slow answers would otherwise never be sent again, and
/// its answer time never be seen to fall.
const MAX_NEEDED_PART: f64 = 0.75;
/// A request that no node was sent is given up after this part of its time: its client then has time for a further try.
const UNSENT_PART: f64 = 0.45;

impl<H: Host> Router<H> {
    /// After an attempt that did not finish its request: a further one, or the final answer.
    pub(crate) fn retry_or_finish(&mut self, now: Duration, id: RpcId) {
        let request = &self.pending[&id];
        let idempotency = self.methods[request.rpc.method.0].idempotency;
        let may_not_repeat = !idempotency.router_may_repeat_somewhere() && request.may_have_run();
        if request.attempts.len() >= self.config.max_attempts || may_not_repeat {
            return self.finish(id, Duration::ZERO);
        }
        if request.ended_in(Outcome::Error) >= MAX_ERRORS {
            return self.finish(id, self.config.max_retry_after);
        }
        self.enqueue(now, id);
    }

    /// When an answer stops being of use, or the client stops waiting.
    pub(crate) fn answer_useful_until(&self, request: &PendingRequest) -> Duration {
        let last = request.deadline.saturating_sub(2 * self.config.tick);
        let is_late_of_use = self.methods[request.rpc.method.0].late_weight > 0.0;
        if is_late_of_use { last } else { last.min(request.objective_at) }
    }

    /// The last moment at which sending the request is of use: there is time for its answer.
    pub(crate) fn send_useful_until(&self, request: &PendingRequest) -> Duration {
        let answer_time = &self.methods[request.rpc.method.0].answer_time;
        let needed = Duration::from_secs_f64(answer_time.present_s * ANSWER_TIMES_NEEDED);
        let end = self.answer_useful_until(request);
        let most_needed = end.saturating_sub(request.arrived).mul_f64(MAX_NEEDED_PART);
        let last = end - needed.min(most_needed);
        let is_unsent = |attempt: &Attempt| attempt.outcome.is_some_and(Outcome::never_sent);
        if !request.attempts.iter().all(is_unsent) {
            return last;
        }
        let whole_time = request.deadline - request.arrived;
        last.min(request.arrived + whole_time.mul_f64(UNSENT_PART))
    }

    /// Gives the final answer: the one place that rejects or aborts a request that was admitted. It is rejected only
    /// where a repeat by the client is harmless (rule 2): `retry_after` is then told, where clients get one.
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

    /// Rejects with a Retry-After, where clients get one.
    pub(crate) fn reject(&mut self, id: RpcId, retry_after: Duration) {
        let advertised = if self.config.tells_retry_after { retry_after } else { Duration::ZERO };
        self.host.reject(id, advertised);
    }

    /// Drops a request that is over.
    pub(crate) fn forget(&mut self, id: RpcId) {
        self.dequeue(id);
        self.pending.remove(&id);
    }
}
