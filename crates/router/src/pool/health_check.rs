//! Health checks: a query over a pooled connection that returns the node's load report as its row.

use std::rc::Rc;
use std::time::{Duration, Instant};

use quillpoint::host::{NodeId, Outcome};

use super::ConnectionPool;
use super::exchange::Exchange;
use crate::engine::Engine;
use crate::pg;

const HEALTH_CHECK_QUERY: &[u8] = b"SHOW load";

impl ConnectionPool {
    /// Starts a task that makes a health check and reports its outcome to the engine.
    pub(super) fn spawn_health_check(self: &Rc<Self>, engine: &Rc<Engine>, node: NodeId) {
        let pool = Rc::clone(self);
        let engine = Rc::clone(engine);
        let requested_at = engine.clock.now();
        let task = async move { pool.check_health(&engine, node, requested_at).await };
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

    /// Logs when a node becomes unreachable, and when it is reachable again.
    pub(super) fn log_reachability(&self, node: NodeId, outcome: Outcome) {
        let is_unreachable = match outcome {
            Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Ok | Outcome::Misrouted | Outcome::Error | Outcome::Rejected | Outcome::Malformed => {
                false
            }
            _ => return,
        };
        let mut nodes = self.nodes.borrow_mut();
        let entry = nodes.entry(node).or_default();
        if is_unreachable == entry.logged_unreachable || !entry.reachability_log.try_acquire() {
            return;
        }
        entry.logged_unreachable = is_unreachable;
        if is_unreachable {
            log::warn!("node {} is unreachable: {outcome:?}", node.0);
        } else {
            log::info!("node {} is reachable again", node.0);
        }
    }
}
