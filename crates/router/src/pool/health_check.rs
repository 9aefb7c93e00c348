//! Health checks: a query over a pooled connection that returns the node's load report as its row.

use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint::host::NodeId;
use quillpoint_memory_budget::Category;

use super::ConnectionPool;
use super::exchange::Exchange;
use crate::budget::ATTEMPT_BYTES;
use crate::engine::Engine;
use crate::pg;

const HEALTH_CHECK_QUERY: &[u8] = b"SHOW load";

impl ConnectionPool {
    /// Starts a task that makes a health check and reports its outcome to the engine.
    pub(super) fn spawn_health_check(self: &Rc<Self>, engine: &Rc<Engine>, node: NodeId) {
        let pool = Rc::clone(self);
        let engine = Rc::clone(engine);
        let requested_at = engine.clock.now();
        let memory = self.budget.charge(Category::NodeConnections, ATTEMPT_BYTES);
        let task = async move {
            let _memory = memory;
            pool.check_health(&engine, node, requested_at).await;
        };
        self.executor.spawn(task).detach();
    }

    async fn check_health(self: &Rc<Self>, engine: &Engine, node: NodeId, requested_at: Duration) {
        let deadline = Instant::now() + self.connect_timeout;
        let query = || Some(pg::query_message(HEALTH_CHECK_QUERY));
        let Exchange { outcome, response } = self.exchange(node, deadline, query).await;
        let row = response.answer.and_then(|answer| answer.value);
        let row = row.and_then(|bytes| String::from_utf8(bytes).ok());
        let report = row.and_then(|text| self.parse_load_report(&text)).or(response.report);
        engine.health_check_ended(node, requested_at, outcome, report);
    }
}
