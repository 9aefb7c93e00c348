//! The settings of a fleet member, and its budgets for a number of nodes.

use crate::observation_store::TYPICAL_OBSERVATION_BYTES;
use crate::sharded_tasks::TaskParams;

/// Budgets that grow with the nodes are this multiple of what health checks of all nodes cost: if the rest of
/// the fleet fails, this router checks all nodes alone.
const BUDGET_HEADROOM_FACTOR: f64 = 2.0;

/// The settings of a fleet member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetParams {
    /// The health checks of nodes, which are tasks of one kind.
    pub health_check: TaskParams,
    /// The budget for background work, in cost units per second.
    pub work_rate: f64,
    /// The burst of that budget, in cost units.
    pub work_burst: f64,
    /// The budget for sending observations, in bytes per second to all peers together.
    pub gossip_bytes_per_second: f64,
    /// Whether the budgets grow with the number of listed nodes, as on a control instance. With a budget that
    /// is too small always the same nodes would remain unchecked, or their observations unsent.
    pub budgets_grow_with_nodes: bool,
}

/// The budgets of a fleet member for a number of nodes. The units are those of [`FleetParams`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budgets {
    pub(crate) work_rate: f64,
    pub(crate) work_burst: f64,
    pub(crate) gossip_bytes_per_second: f64,
}

impl FleetParams {
    /// The budgets for `nodes` nodes: the configured ones, or larger ones if they grow with the nodes.
    pub(crate) fn budgets(&self, nodes: usize) -> Budgets {
        let checks_per_second = if self.budgets_grow_with_nodes {
            nodes as f64 / self.health_check.period.as_secs_f64()
        } else {
            0.0
        };
        let work_rate =
            self.work_rate.max(checks_per_second * self.health_check.cost * BUDGET_HEADROOM_FACTOR);
        Budgets {
            work_rate,
            work_burst: self.work_burst * (work_rate / self.work_rate),
            gossip_bytes_per_second: self
                .gossip_bytes_per_second
                .max(checks_per_second * TYPICAL_OBSERVATION_BYTES * BUDGET_HEADROOM_FACTOR),
        }
    }
}
