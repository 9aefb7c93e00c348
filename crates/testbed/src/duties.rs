//! What `measure/duties` measures of routers that share probing, and how it is drawn.

pub mod bench;
pub mod figures;
pub mod gap_plot;
pub mod rpc_costs;

/// Router processes of a run.
pub const ROUTERS: usize = 3;
/// The longest time in which nothing may tell any router of a node, in seconds.
pub const MAX_GAP_S: f64 = 2.0;
