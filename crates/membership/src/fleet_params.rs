//! The settings of a fleet, and its budgets by the number of nodes.

use crate::observation_store::TYPICAL_OBSERVATION_BYTES;
use crate::sharded_tasks::TaskParams;

/// How many times the budgets exceed what health checks of all nodes take: the rest of the fleet may be gone.
const HEADROOM: f64 = 2.0;

/// The settings of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetParams {
    /// The health checks of nodes.
    pub health_check: TaskParams,
    /// The budget of background work, in cost units a second.
    pub work_rate: f64,
    /// The most of it that can be saved up, in cost units.
    pub work_burst: f64,
    /// The budget of observations that are sent, in bytes a second to all peers together.
    pub gossip_bytes_per_second: f64,
    /// Whether the budgets grow with the nodes that are listed, as at a control instance: one that is too small leaves the
    /// same nodes unchecked, or untold, for good.
    pub budgets_grow_with_nodes: bool,
}

/// The budgets of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budgets {
    pub(crate) work_rate: f64,
    pub(crate) work_burst: f64,
    pub(crate) gossip_bytes_per_second: f64,
}

impl FleetParams {
    /// The budgets for so many nodes: the configured ones, or larger ones where they grow.
    pub(crate) fn budgets(&self, nodes: usize) -> Budgets {
        let checks_per_second = if self.budgets_grow_with_nodes {
            nodes as f64 / self.health_check.period.as_secs_f64()
        } else {
            0.0
        };
        let work_rate = self.work_rate.max(checks_per_second * self.health_check.cost * HEADROOM);
        Budgets {
            work_rate,
            work_burst: self.work_burst * (work_rate / self.work_rate),
            gossip_bytes_per_second: self
                .gossip_bytes_per_second
                .max(checks_per_second * TYPICAL_OBSERVATION_BYTES * HEADROOM),
        }
    }
}
