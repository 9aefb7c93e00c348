//! What `measure/duties` measures of routers that share health checks, and the plot it draws.

pub mod bench;
pub mod figures;
pub mod gap_plot;
pub mod rpc_costs;

/// Router processes of a run.
pub const ROUTERS: usize = 3;
/// The longest accepted gap: a time, in seconds, in which no router receives any news of some node.
pub const MAX_GAP_S: f64 = 2.0;
